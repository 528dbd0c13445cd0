package main

import (
	"fmt"
	"runtime/debug"

	"github.com/rotisserie/eris"
)

// versionCommand says which source the program was built from.
type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return eris.New("the program was built without a record of its source")
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
