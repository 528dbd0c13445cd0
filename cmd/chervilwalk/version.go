package main

import (
	"fmt"
	"runtime/debug"

	"github.com/rotisserie/eris"
)

// versionCommand prints the source revision and the Go version of the build.
type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return eris.New("this program has no build information")
	}
	revision, modified := "of unknown revision", ""
	for _, st := range info.Settings {
		switch {
		case st.Key == "vcs.revision":
			revision = st.Value
		case st.Key == "vcs.modified" && st.Value == "true":
			modified = ", modified"
		}
	}
	fmt.Printf("chervilwalk %s%s, %s\n", revision, modified, info.GoVersion)
	return nil
}
