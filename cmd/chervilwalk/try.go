package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"chervilwalk/examples"
	"chervilwalk/internal/operations/trial"
)

// tryWorkers is how many callers ask at a time.
const tryWorkers = 16

// errBroken says that the trial saw a broken promise.
var errBroken = eris.New("a promise was broken")

// tryCommand runs both example fleets under a mixed load.
type tryCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"Seed of what is asked"`
	Requests int    `long:"requests" default:"4000" description:"Requests over both fleets"`
}

// Execute implements flags.Commander.
func (tc *tryCommand) Execute([]string) error {
	log.SetLevel(log.WarnLevel)
	var total []trial.Counts
	for _, fleet := range []struct {
		name string
		body []byte
	}{{"mushi", examples.Mushi}, {"abrigo", examples.Abrigo}} {
		ct, err := tc.fleet(fleet.name, fleet.body)
		if err != nil {
			return err
		}
		total = append(total, ct)
	}
	return report(total)
}

func (tc *tryCommand) fleet(name string, body []byte) (trial.Counts, error) {
	fmt.Printf("%s: starting\n", name)
	fl, err := trial.StartFleet(name, body)
	if err != nil {
		return trial.Counts{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	defer func() { _ = fl.Close(ctx) }()
	if err := fl.AwaitServing(ctx); err != nil {
		return trial.Counts{}, err
	}
	fmt.Printf("%s: %d requests\n", name, tc.Requests/2)
	ld := trial.NewLoad(fl)
	ld.Run(ctx, tc.Seed, tc.Requests/2, tryWorkers)
	return ld.Count(), nil
}

func report(fleets []trial.Counts) error {
	sum := trial.Sum(fleets)
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
