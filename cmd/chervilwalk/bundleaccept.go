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

// platformOptions holds the options of commands that use the platform's store.
type platformOptions struct {
	Platform string        `long:"platform" env:"CHERVILWALK_PLATFORM" required:"true" description:"IP and port of the platform's store"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"Timeout of the whole command"`
}

// connect returns a context that ends at the timeout, the accepted bundles in the
// platform's store, and a function that releases both.
func (po *platformOptions) connect() (context.Context, acceptance.Repository, func()) {
	ctx, cancel := context.WithTimeout(context.Background(), po.Timeout)
	db := platform.NewStore(po.Platform, func(string, time.Duration, error) {})
	return ctx, acceptance.NewRepository(db), func() {
		cancel()
		db.Close()
	}
}

// hostVersion asks a host for the version of the bundle that it has in force.
func hostVersion(ctx context.Context, ho bundle.Host) (bundle.Version, error) {
	dm, err := fetchDump(ctx, ho.Admin)
	return bundle.Version(dm.DesiredVersion), err
}

// acceptCommand accepts a signed bundle.
type acceptCommand struct {
	platformOptions
	Key  string `long:"key" env:"CHERVILWALK_KEY" description:"Sign with this key file instead of reading FILE.seal"`
	Wait bool   `long:"wait" description:"Wait until the bundle is in force on every host that can be reached"`
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
	ctx, rp, closeStore := ac.connect()
	defer closeStore()
	return acceptSeal(ctx, rp, sl, ac.Wait)
}

// seal signs the bundle with the given key, or reads its signature file.
func (ac *acceptCommand) seal() (bundle.Seal, error) {
	if ac.Key == "" {
		return readSeal(ac.Args.File)
	}
	sl, _, err := signFile(ac.Args.File, ac.Key)
	return sl, err
}

// acceptSeal accepts a signed bundle. With wait it returns when every host that
// can be reached has the bundle in force, or with an error at the timeout.
func acceptSeal(ctx context.Context, rp acceptance.Repository, sl bundle.Seal, wait bool) error {
	accepted, err := rp.Accept(ctx, sl)
	if err != nil {
		return err
	}
	fmt.Printf("bundle %d accepted, signed with key %q\n", sl.Version, sl.Key)
	if !wait {
		return nil
	}
	states, allUpToDate := acceptance.Await(ctx, accepted.Bundle, hostVersion)
	return reportHosts(accepted.Bundle, states, allUpToDate)
}

// reportHosts prints how many hosts have a bundle in force, and the name of each
// other host. It returns an error unless all hosts that answered have it.
func reportHosts(bn *bundle.Bundle, states []acceptance.HostState, allUpToDate bool) error {
	upToDate := 0
	for _, hs := range states {
		switch {
		case hs.Err != nil:
			fmt.Printf("not reached: %s (%s)\n", hs.Host.Name, hs.Host.Admin)
		case hs.Version < bn.Version:
			fmt.Printf("still on bundle %d: %s\n", hs.Version, hs.Host.Name)
		default:
			upToDate++
		}
	}
	fmt.Printf("bundle %d in force on %d of %d hosts\n", bn.Version, upToDate, len(states))
	if !allUpToDate {
		return eris.Errorf("bundle %d is accepted, but not yet in force on every host that answered", bn.Version)
	}
	return nil
}

// showCommand prints the text of the accepted bundle.
type showCommand struct{ platformOptions }

// Execute implements flags.Commander.
func (sc *showCommand) Execute([]string) error {
	ctx, rp, closeStore := sc.connect()
	defer closeStore()
	ac, err := rp.Current(ctx)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(ac.Seal.Body)
	return err
}

// diffCommand compares two bundle files, or one with the accepted bundle.
type diffCommand struct {
	Platform string        `long:"platform" env:"CHERVILWALK_PLATFORM" description:"IP and port of the platform's store; not needed for two files"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"Timeout of the whole command"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" required:"1-2"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (dc *diffCommand) Execute([]string) error {
	from, err := dc.baseBundle()
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

// baseBundle returns the bundle to compare with: the first of two files, or the
// accepted bundle.
func (dc *diffCommand) baseBundle() (*bundle.Bundle, error) {
	if len(dc.Args.Files) == 2 {
		_, bn, err := readBundle(dc.Args.Files[0])
		return bn, err
	}
	if dc.Platform == "" {
		return nil, eris.New("give two files, or use --platform to compare one file with the accepted bundle")
	}
	po := platformOptions{Platform: dc.Platform, Timeout: dc.Timeout}
	ctx, rp, closeStore := po.connect()
	defer closeStore()
	ac, err := rp.Current(ctx)
	return ac.Bundle, err
}

// statusCommand shows the accepted bundle and the version in force on each host.
type statusCommand struct{ platformOptions }

// Execute implements flags.Commander.
func (sc *statusCommand) Execute([]string) error {
	ctx, rp, closeStore := sc.connect()
	defer closeStore()
	ac, err := rp.Current(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("accepted: %s; signed with key %q\n", summarize(ac.Bundle), ac.Seal.Key)
	tw := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "host\tdomain\tservice\tin force")
	for _, hs := range acceptance.Survey(ctx, ac.Bundle, hostVersion) {
		version := fmt.Sprint(hs.Version)
		if hs.Err != nil {
			version = "not reached"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", hs.Host.Name, hs.Host.Domain, serviceState(ac.Bundle, hs.Host), version)
	}
	return tw.Flush()
}

// serviceState returns "in" if the host and its domain are in service, else "out".
func serviceState(bn *bundle.Bundle, ho bundle.Host) string {
	ef, _ := bundle.Effective(bn).Host(ho.Name)
	if ef.Out {
		return "out"
	}
	return "in"
}
