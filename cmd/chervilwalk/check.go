package main

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/gateway"
	"chervilwalk/platform"
)

// checkSettingsCommand checks settings files before a host starts with them.
type checkSettingsCommand struct {
	Args struct {
		Files []string `positional-arg-name:"SETTINGS" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (cc *checkSettingsCommand) Execute([]string) error {
	return checkSettings(os.Stdout, cc.Args.Files)
}

// checkSettings writes a line for each file and one for each bound that this build cannot
// keep. It returns an error if a host could not run with one of the files as it should.
func checkSettings(to io.Writer, files []string) error {
	bad := 0
	for _, path := range files {
		st, err := platform.LoadSettings(path)
		if err != nil {
			fmt.Fprintf(to, "%s: %v\n", path, err)
			bad++
			continue
		}
		low := gateway.Shortfalls(st.Bounds)
		for _, sf := range low {
			fmt.Fprintf(to, "%s: bounds: %v; raise it, or upstreams get requests or keep keys for longer than allowed\n", path, sf)
		}
		if len(low) > 0 {
			bad++
			continue
		}
		fmt.Fprintf(to, "%s: valid: host %s in domain %s, callers at %s, store at %s\n", path, st.Host, st.Domain, st.CallerAddress, st.StoreAddress)
	}
	if bad > 0 {
		return eris.Errorf("%d of %d settings files are not valid", bad, len(files))
	}
	return nil
}
