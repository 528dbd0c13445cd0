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

// errGuaranteeViolated means that a trial counted violations of the router's
// guarantees.
var errGuaranteeViolated = eris.New("the router violated a guarantee: see the counts")

// startupDelay is the time in which a new deployment assigns its keys to owners.
const startupDelay = 5 * time.Second

// tryCommand runs two deployments on loopback under load and failures.
type tryCommand struct {
	Seed      int64 `long:"seed" default:"1" description:"Seed of the random requests"`
	PerSecond int   `long:"per-second" default:"60" description:"Requests per second to each deployment"`
	Logs      bool  `long:"logs" description:"Write the hosts' logs to standard error"`
	Hold      bool  `long:"hold" description:"Keep the deployments running afterwards, until SIGINT or SIGTERM"`
}

// trial is the trial of one deployment and its result.
type trial struct {
	name   string
	config deployment.Config
	counts deployment.Counts
}

// Execute implements flags.Commander.
func (tc *tryCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trials := []*trial{
		{name: "mushi", config: deployment.Config{Hosts: 4, Keyed: 6, Orders: 4, Files: 3, Subnet: 200}},
		{name: "abrigo", config: deployment.Config{Hosts: 3, Keyed: 6, Orders: 3, Files: 3, Subnet: 201, Bundles: true}},
	}
	var mu sync.Mutex
	printStep := func(name, step string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			step += ": " + err.Error()
		}
		fmt.Printf("%-8s %s\n", name, step)
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, tr := range trials {
		group.Go(func() error { return tc.try(ctx, tr, printStep) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return printCounts(trials)
}

// try starts a deployment, runs its trial and stores the counts.
func (tc *tryCommand) try(ctx context.Context, tr *trial, printStep func(name, step string, err error)) error {
	dir, err := os.MkdirTemp("", "chervilwalk-try-")
	if err != nil {
		return eris.Wrap(err, "create a directory for settings")
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
	case <-time.After(startupDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	tr.counts = dp.Trial(ctx, tc.PerSecond, func(step string, err error) { printStep(tr.name, step, err) })
	if tc.Hold {
		printStep(tr.name, "send requests to http://"+dp.Hosts[0].Address+"/lookup/… with the headers from README.md; SIGINT stops", nil)
		<-ctx.Done()
	}
	return nil
}

// printCounts prints each trial's counts as one line of JSON and returns
// errGuaranteeViolated if any of them shows a violation.
func printCounts(trials []*trial) error {
	violated := false
	for _, tr := range trials {
		line, err := json.Marshal(tr.counts)
		if err != nil {
			return eris.Wrap(err, "counts")
		}
		fmt.Printf("%-8s %s\n", tr.name, line)
		violated = violated || tr.counts.Broken()
	}
	if violated {
		return errGuaranteeViolated
	}
	return nil
}
