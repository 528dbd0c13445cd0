package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/stand/soak"
)

// soakCommand plays one seed after the other.
type soakCommand struct {
	Program   string        `long:"program" required:"true" description:"Path of chervilwalk's binary"`
	Logs      string        `long:"logs" required:"true" description:"Directory for the hosts' settings and logs; those of seeds without a violation are removed"`
	Seed      int64         `long:"seed" default:"1" description:"First seed"`
	Seeds     int           `long:"seeds" default:"1" description:"Number of seeds"`
	Hosts     int           `long:"hosts" default:"5" description:"Number of hosts"`
	PerSecond int           `long:"per-second" default:"60" description:"Requests per second"`
	Span      time.Duration `long:"span" default:"15s" description:"How long the deployment is disturbed"`
	Subnet    int           `long:"subnet" default:"210" description:"Selects the loopback addresses; runs at the same time need different ones"`
	Steps     bool          `long:"steps" description:"Print each disturbance"`
}

// errSoak means that a seed violated a guarantee.
var errSoak = eris.New("a guarantee was violated: see the seeds above and their logs")

// Execute implements flags.Commander.
func (sc *soakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := false
	for seed := sc.Seed; seed < sc.Seed+int64(sc.Seeds); seed++ {
		dir := filepath.Join(sc.Logs, "seed-"+strconv.FormatInt(seed, 10))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return eris.Wrap(err, "create a directory for logs")
		}
		cf := soak.Config{Program: sc.Program, Dir: dir, Seed: seed, Hosts: sc.Hosts, PerSecond: sc.PerSecond, Span: sc.Span, Subnet: sc.Subnet}
		if sc.Steps {
			cf.Report = func(step string) { fmt.Println(step) }
		}
		rs, err := soak.Run(ctx, cf)
		if err != nil {
			return eris.Wrapf(err, "seed %d", seed)
		}
		if err := json.NewEncoder(os.Stdout).Encode(rs); err != nil {
			return eris.Wrap(err, "print the result")
		}
		if rs.Broken() {
			failed = true
			fmt.Printf("seed %d FAILED, logs in %s\n", seed, dir)
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return eris.Wrap(err, "remove logs")
		}
	}
	if failed {
		return errSoak
	}
	return nil
}
