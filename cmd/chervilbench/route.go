package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/operations/comparison"
)

// routeCommand compares routing policies in virtual time.
type routeCommand struct {
	Seed      uint64  `long:"seed" default:"1" description:"seed of the arrivals"`
	Slow      int     `long:"slow" default:"3" description:"how many upstreams are slowed"`
	Slowdown  float64 `long:"slowdown" default:"10" description:"how many times as long a slowed upstream takes"`
	Load      float64 `long:"load" default:"0.7" description:"share of the capacity that is asked for"`
	ReportLag int     `long:"report-lag" default:"1000" description:"how late load reports come, in milliseconds"`
	Requests  int     `long:"requests" default:"20000" description:"requests of each run"`
	Only      string  `long:"only" description:"one scenario of one service, as in orders11/slowed; all when empty"`
	Service   int     `long:"service" default:"10" description:"mean time of a request at an upstream, in milliseconds"`
}

// Execute prints a table, then one line of JSON.
func (rc *routeCommand) Execute([]string) error {
	cf := comparison.Config{
		Seed:      rc.Seed,
		Slow:      rc.Slow,
		Slowdown:  rc.Slowdown,
		Load:      rc.Load,
		ReportLag: time.Duration(rc.ReportLag) * time.Millisecond,
		Requests:  max(1, rc.Requests),
		Service:   time.Duration(rc.Service) * time.Millisecond,
	}
	results := comparison.Run(cf, rc.Only)
	if len(results) == 0 {
		return eris.Errorf("no service and scenario is called %q", rc.Only)
	}
	if err := printRoutes(results); err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(nestRoutes(results))
}

func printRoutes(results []comparison.Result) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "service\tscenario\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\tgoodput\tslot violations\textra load\trefused\tfailed")
	for _, rs := range results {
		fg := rs.Figures
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.3f\t%d\t%.4f\t%.4f\t%.4f\n", rs.Service, rs.Scenario, rs.Policy,
			fg.P50Ms, fg.P99Ms, fg.P999Ms, fg.Goodput, fg.SlotViolations, fg.ExtraLoad, fg.Refused, fg.Failed)
	}
	return tw.Flush()
}

// nestRoutes gives the figures by service, scenario and policy.
func nestRoutes(results []comparison.Result) map[string]map[string]map[string]comparison.Figures {
	nested := map[string]map[string]map[string]comparison.Figures{}
	for _, rs := range results {
		if nested[rs.Service] == nil {
			nested[rs.Service] = map[string]map[string]comparison.Figures{}
		}
		if nested[rs.Service][rs.Scenario] == nil {
			nested[rs.Service][rs.Scenario] = map[string]comparison.Figures{}
		}
		nested[rs.Service][rs.Scenario][rs.Policy] = rs.Figures
	}
	return nested
}
