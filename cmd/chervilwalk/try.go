package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"chervilwalk/examples"
	"chervilwalk/internal/operations/trial"
)

// startTimeout bounds the wait until all nodes of a fleet serve.
const startTimeout = 30 * time.Second

// errBroken says that the trial saw a broken promise.
var errBroken = eris.New("a promise was broken")

// tryCommand runs both example fleets under a mixed load and planned trouble.
type tryCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"Seed of what is asked"`
	Requests int    `long:"requests" default:"4000" description:"Requests over both fleets, besides the probes"`
	LogLevel string `long:"log-level" default:"error" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"What the nodes log"`
	Hold     bool   `long:"hold" description:"Stay up afterwards, until SIGINT or SIGTERM"`
}

// tried is one fleet's trial.
type tried struct {
	fleet    *trial.Fleet
	counts   trial.Counts
	failures []trial.Failure
}

// Execute implements flags.Commander.
func (tc *tryCommand) Execute([]string) error {
	log.SetLevelFromString(tc.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trials := []tried{{}, {}}
	var gr errgroup.Group
	gr.Go(func() error { return tc.try(ctx, "mushi", examples.Mushi, &trials[0]) })
	gr.Go(func() error { return tc.try(ctx, "abrigo", examples.Abrigo, &trials[1]) })
	defer closeAll(trials)
	if err := gr.Wait(); err != nil {
		return err
	}
	if tc.Hold {
		hold(ctx, trials)
	}
	return report(trials)
}

func (tc *tryCommand) try(ctx context.Context, name string, body []byte, tr *tried) error {
	say("%s: starting", name)
	fl, err := trial.StartFleet(name, body)
	if err != nil {
		return err
	}
	tr.fleet = fl
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fl.AwaitServing(limited); err != nil {
		return err
	}
	tr.counts, tr.failures, err = trial.NewScript(fl, say).Run(ctx, tc.Seed, tc.Requests/2)
	return err
}

var sayMutex sync.Mutex

// say prints a line of progress.
func say(format string, args ...any) {
	sayMutex.Lock()
	defer sayMutex.Unlock()
	fmt.Printf(format+"\n", args...)
}

// hold prints the addresses and waits for a signal.
func hold(ctx context.Context, trials []tried) {
	for _, tr := range trials {
		say("%s: platform %s", tr.fleet.Name, tr.fleet.PlatformAddress())
		for _, ho := range tr.fleet.Bundle.Hosts {
			say("%s: node %s for callers http://%s", tr.fleet.Name, ho.Name, tr.fleet.Entry(ho.Name))
		}
	}
	say("holding until SIGINT or SIGTERM")
	<-ctx.Done()
}

func closeAll(trials []tried) {
	for _, tr := range trials {
		if tr.fleet != nil {
			tr.fleet.Close()
		}
	}
}

func report(trials []tried) error {
	var counts []trial.Counts
	for _, tr := range trials {
		counts = append(counts, tr.counts)
		printFailures(tr)
	}
	sum := trial.Sum(counts)
	tw := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, line := range sum.Lines() {
		_, _ = fmt.Fprintln(tw, line)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(sum); err != nil {
		return err
	}
	if sum.Broken() {
		return errBroken
	}
	return nil
}

// printFailures lists why requests were not answered.
func printFailures(tr tried) {
	for _, fa := range tr.failures {
		fmt.Printf("%s: %s\n", tr.fleet.Name, fa)
	}
}
