package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/operations/acceptance"
	"chervilwalk/platform"
)

// platformOption is how a command reaches the platform.
type platformOption struct {
	Platform string        `long:"platform" env:"CHERVILWALK_PLATFORM" required:"true" description:"IP and port of the platform's store"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"Time for the whole command"`
}

// shelf opens the place of accepted bundles for the time of a command.
func (po *platformOption) shelf() (context.Context, acceptance.Repository, func()) {
	ctx, cancel := context.WithTimeout(context.Background(), po.Timeout)
	db := platform.NewStore(po.Platform, func(string, time.Duration, error) {})
	return ctx, acceptance.NewRepository(db), func() {
		cancel()
		db.Close()
	}
}

// askHost asks a host for the version of the bundle in force.
func askHost(ctx context.Context, ho bundle.Host) (bundle.Version, error) {
	dm, err := fetchDump(ctx, ho.Admin)
	return bundle.Version(dm.DesiredVersion), err
}

// acceptCommand accepts a signed bundle.
type acceptCommand struct {
	platformOption
	Key  string `long:"key" env:"CHERVILWALK_KEY" description:"Sign with this key file instead of reading FILE.seal"`
	Wait bool   `long:"wait" description:"Return when every host that can be reached has it in force"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (ac *acceptCommand) Execute([]string) error {
	sl, err := ac.seal()
	if err != nil {
		return err
	}
	ctx, shelf, done := ac.shelf()
	defer done()
	return acceptSeal(ctx, shelf, sl, ac.Wait)
}

func (ac *acceptCommand) seal() (bundle.Seal, error) {
	if ac.Key == "" {
		return readSeal(ac.Args.File)
	}
	sl, _, err := signFile(ac.Args.File, ac.Key)
	return sl, err
}

// acceptSeal accepts a seal and, if told so, waits until it is in force.
func acceptSeal(ctx context.Context, shelf acceptance.Repository, sl bundle.Seal, wait bool) error {
	accepted, err := shelf.Accept(ctx, sl)
	if err != nil {
		return err
	}
	fmt.Printf("bundle %d accepted, signed with key %q\n", sl.Version, sl.Key)
	if !wait {
		return nil
	}
	states, all := acceptance.Await(ctx, accepted.Bundle, askHost)
	return reportHosts(accepted.Bundle, states, all)
}

// reportHosts prints who has a bundle and names who has not.
func reportHosts(bn *bundle.Bundle, states []acceptance.HostState, all bool) error {
	has := 0
	for _, hs := range states {
		switch {
		case hs.Err != nil:
			fmt.Printf("not reached: %s (%s)\n", hs.Host.Name, hs.Host.Admin)
		case hs.Version < bn.Version:
			fmt.Printf("still on bundle %d: %s\n", hs.Version, hs.Host.Name)
		default:
			has++
		}
	}
	fmt.Printf("bundle %d in force on %d of %d hosts\n", bn.Version, has, len(states))
	if !all {
		return eris.Errorf("bundle %d is accepted but not in force on every host that answers", bn.Version)
	}
	return nil
}

// showCommand prints the accepted bundle's text.
type showCommand struct{ platformOption }

// Execute implements flags.Commander.
func (sc *showCommand) Execute([]string) error {
	ctx, shelf, done := sc.shelf()
	defer done()
	ac, err := shelf.Current(ctx)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(ac.Seal.Body)
	return err
}

// diffCommand compares bundles.
type diffCommand struct {
	Platform string        `long:"platform" env:"CHERVILWALK_PLATFORM" description:"IP and port of the platform; not needed for two files"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"Time for the whole command"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" required:"1-2"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (dc *diffCommand) Execute([]string) error {
	from, err := dc.first()
	if err != nil {
		return err
	}
	_, to, err := readBundle(dc.Args.Files[len(dc.Args.Files)-1])
	if err != nil {
		return err
	}
	for _, line := range bundle.Diff(from, to) {
		fmt.Println(line)
	}
	return nil
}

func (dc *diffCommand) first() (*bundle.Bundle, error) {
	if len(dc.Args.Files) == 2 {
		_, bn, err := readBundle(dc.Args.Files[0])
		return bn, err
	}
	if dc.Platform == "" {
		return nil, eris.New("give two files, or --platform to compare with the accepted bundle")
	}
	po := platformOption{Platform: dc.Platform, Timeout: dc.Timeout}
	ctx, shelf, done := po.shelf()
	defer done()
	ac, err := shelf.Current(ctx)
	return ac.Bundle, err
}

// statusCommand shows the accepted bundle and who has it.
type statusCommand struct{ platformOption }

// Execute implements flags.Commander.
func (sc *statusCommand) Execute([]string) error {
	ctx, shelf, done := sc.shelf()
	defer done()
	ac, err := shelf.Current(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("accepted: %s; signed with key %q\n", summary(ac.Bundle), ac.Seal.Key)
	tw := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "host\tdomain\tservice\tin force")
	for _, hs := range acceptance.Survey(ctx, ac.Bundle, askHost) {
		version := fmt.Sprint(hs.Version)
		if hs.Err != nil {
			version = "not reached"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", hs.Host.Name, hs.Host.Domain, serviceState(ac.Bundle, hs.Host), version)
	}
	return tw.Flush()
}

// serviceState says whether the bundle has a host in service.
func serviceState(bn *bundle.Bundle, ho bundle.Host) string {
	ef, _ := bundle.Effective(bn).Host(ho.Name)
	if ef.Out {
		return "out"
	}
	return "in"
}
