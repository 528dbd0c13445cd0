package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"chervilwalk/internal/stand/deployment"
)

// errBroken says that the trial saw a broken promise.
var errBroken = eris.New("a promise was broken")

// dealTime is how long a new deployment needs until its keys have owners.
const dealTime = 5 * time.Second

// tryCommand runs two whole deployments on loopback under load and trouble.
type tryCommand struct {
	Seed      int64 `long:"seed" default:"1" description:"Seed of what is asked"`
	PerSecond int   `long:"per-second" default:"60" description:"Requests a second to each deployment"`
	Logs      bool  `long:"logs" description:"Write the hosts' logs to standard error"`
	Hold      bool  `long:"hold" description:"Stay up afterwards, until SIGINT or SIGTERM"`
}

// tried is one deployment's trial.
type tried struct {
	name   string
	config deployment.Config
	counts deployment.Counts
}

// Execute implements flags.Commander.
func (tc *tryCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trials := []*tried{
		{name: "mushi", config: deployment.Config{Hosts: 4, Keyed: 6, Orders: 4, Files: 3, Net: 200}},
		{name: "abrigo", config: deployment.Config{Hosts: 3, Keyed: 6, Orders: 3, Files: 3, Net: 201, Bundles: true}},
	}
	var mu sync.Mutex
	say := func(name, step string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			step += ": " + err.Error()
		}
		fmt.Printf("%-8s %s\n", name, step)
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, tr := range trials {
		group.Go(func() error { return tc.try(ctx, tr, say) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return report(trials)
}

// try runs one deployment's trial.
func (tc *tryCommand) try(ctx context.Context, tr *tried, say func(name, step string, err error)) error {
	dir, err := os.MkdirTemp("", "chervilwalk-try-")
	if err != nil {
		return eris.Wrap(err, "directory for settings")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	tr.config.Dir, tr.config.Seed = dir, tc.Seed
	if tc.Logs {
		tr.config.Log = os.Stderr
	}
	dp, err := deployment.Start(tr.config)
	if err != nil {
		return err
	}
	defer dp.Close()
	select {
	case <-time.After(dealTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	tr.counts = dp.Trial(ctx, tc.PerSecond, func(step string, err error) { say(tr.name, step, err) })
	if tc.Hold {
		say(tr.name, "asks go to http://"+dp.Hosts[0].Address+"/lookup/… with the headers of README.md; SIGINT ends", nil)
		<-ctx.Done()
	}
	return nil
}

// report prints each trial's counts as one line of JSON.
func report(trials []*tried) error {
	broken := false
	for _, tr := range trials {
		line, err := json.Marshal(tr.counts)
		if err != nil {
			return eris.Wrap(err, "counts")
		}
		fmt.Printf("%-8s %s\n", tr.name, line)
		broken = broken || tr.counts.Broken()
	}
	if broken {
		return errBroken
	}
	return nil
}
