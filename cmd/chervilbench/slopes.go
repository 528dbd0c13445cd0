package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"chervilwalk/internal/operations/capacity"
)

// slopesCommand measures how the costs of the roles grow.
type slopesCommand struct {
	Record string `long:"record" description:"File that the slopes are written to, for the capacity page"`
	Shrink int    `long:"shrink" default:"1" description:"Divide all sizes by this, for a quick run"`
}

// Execute implements flags.Commander.
func (sc *slopesCommand) Execute([]string) error {
	list, err := capacity.Measure(sc.Shrink)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "role\tslope\tvalue\tunit\tintercept\tresidual")
	for _, sl := range list {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%.4g\t%s per %s\t%.4g\t%.1f%%\n",
			sl.Role, sl.Name, sl.Value, sl.Unit, sl.Per, sl.Intercept, 100*sl.Residual)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	line, err := capacity.Encode(list)
	if err != nil {
		return err
	}
	if sc.Record != "" {
		if err := os.WriteFile(sc.Record, append(line, '\n'), 0o644); err != nil {
			return err
		}
	}
	fmt.Println(string(line))
	return nil
}
