// Command chervilwalk runs the gateway of an entry host. It also has the
// operators' commands for bundles, hosts and failure domains, and runs trials of
// whole deployments on loopback.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	pr := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	pr.Name = "chervilwalk"
	mustAddCommand(pr, "front", "Run the gateway of a host", &frontCommand{})
	addBundleCommands(pr)
	addHostCommands(pr)
	addDomainCommands(pr)
	mustAddCommand(pr, "check", "Check settings files before a start", &checkSettingsCommand{})
	mustAddCommand(pr, "dump", "Print the state of a host's gateway as JSON", &dumpCommand{})
	mustAddCommand(pr, "explain", "Explain what happened to a request, from the hosts' logs", &explainCommand{})
	mustAddCommand(pr, "try", "Run two deployments on loopback under load and failures", &tryCommand{})
	mustAddCommand(pr, "version", "Print the source revision and the Go version of this build", &versionCommand{})
	if _, err := pr.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "chervilwalk:", err)
		os.Exit(1)
	}
}

// mustAddCommand registers a top-level command. It panics on failure, which is a
// programming error.
func mustAddCommand(pr *flags.Parser, name, description string, command any) {
	if _, err := pr.AddCommand(name, description, "", command); err != nil {
		panic(err)
	}
}
