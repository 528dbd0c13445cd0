// Command chervilbench measures the router's decisions in virtual time, and the
// cost of its real code on this machine.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// subcommand is one measurement.
type subcommand struct {
	name    string
	text    string
	command any
}

// subcommands lists the measurements; each stands in a file of its own.
func subcommands() []subcommand {
	return []subcommand{
		{"rollout", "Measure the roll-out of bundles on fleets of real nodes", &rolloutCommand{}},
		{"own", "Measure ownership: losses, churn, costs and load imbalance", &ownCommand{}},
		{"route", "Compare routing policies in virtual time", &routeCommand{}},
		{"relay", "Measure entry and holder on loopback against a direct call", &relayCommand{}},
		{"slopes", "Measure how the costs of the roles grow", &slopesCommand{}},
		{"page", "Write the computed part of the capacity page", &pageCommand{}},
	}
}

func main() {
	pr := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	pr.Name = "chervilbench"
	for _, sc := range subcommands() {
		if _, err := pr.AddCommand(sc.name, sc.text, "", sc.command); err != nil {
			panic(err)
		}
	}
	if _, err := pr.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "chervilbench:", err)
		os.Exit(1)
	}
}
