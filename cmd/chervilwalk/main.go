// Command chervilwalk is the router: it runs the gateway of a host, does the
// operators' work on bundles, hosts and domains, and tries whole deployments on
// loopback.
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
	mustAdd(pr, "front", "Run the gateway of a host", &frontCommand{})
	addBundle(pr)
	addHost(pr)
	addDomain(pr)
	mustAdd(pr, "dump", "Show the state of a host's gateway", &dumpCommand{})
	mustAdd(pr, "explain", "Report on one request from the hosts' logs", &explainCommand{})
	mustAdd(pr, "try", "Try two whole deployments on loopback", &tryCommand{})
	mustAdd(pr, "version", "Say which source this was built from", &versionCommand{})
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

// mustAdd registers a command; a failure is a mistake in the program.
func mustAdd(pr *flags.Parser, name, text string, command any) {
	if _, err := pr.AddCommand(name, text, "", command); err != nil {
		panic(err)
	}
}
