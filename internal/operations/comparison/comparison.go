// Package comparison runs the real admission cores under several policies in
// virtual time, each with the same arrivals, and tells what the callers got.
//
//	cf := comparison.Config{Seed: 1, Slow: 3, Slowdown: 10, Load: 0.7, …}
//	for _, rs := range comparison.Run(cf, "") { fmt.Println(rs.Policy, rs.P99Ms) }
package comparison

import (
	"time"
)

// Config is what a comparison is run with.
type Config struct {
	Seed uint64
	// Slow upstreams take Slowdown times as long in the scenario "slowed".
	Slow     int
	Slowdown float64
	// Load is the share of the capacity that the callers ask for.
	Load float64
	// ReportLag is how late the upstreams' own load reports come.
	ReportLag time.Duration
	// Requests is how many requests each run has.
	Requests int
	// Service is the mean time that an upstream works on a request.
	Service time.Duration
}

// Sizes and distances of the deployments.
const (
	domains     = 3
	entryNodes  = 20
	slots       = 2
	coldLimit   = 1
	connections = 300
	sliceCount  = 256
	// nearHop is the way between two processes of one domain, and between a
	// caller and its entry node.
	nearHop = time.Millisecond
	// farHop is the way between two processes of different domains.
	farHop = 1500 * time.Microsecond
	// connectTime is what a new connection costs.
	connectTime = time.Millisecond
	// probeTime is what a healthy upstream takes for a probe.
	probeTime = 6 * time.Millisecond
	// patience is a caller's deadline.
	patience = time.Second
	// tickEvery is how often a core is told the time.
	tickEvery = 5 * time.Millisecond
	// renewEvery is how often a holder learns of an upstream's incarnation.
	renewEvery = 250 * time.Millisecond
	// reportEvery is how often an upstream reports its load.
	reportEvery = 100 * time.Millisecond
	// overload is the load of the scenario of that name.
	overload = 3.0
)

// Service is a kind of upstreams that is compared.
type Service struct {
	Name    string
	Targets int
	Keyed   bool
}

// Services lists the deployments' services that are compared.
func Services() []Service {
	return []Service{
		{Name: "orders11", Targets: 11},
		{Name: "orders7", Targets: 7},
		{Name: "lookup20", Targets: 20, Keyed: true},
	}
}

// Result is what one policy did in one scenario.
type Result struct {
	Service  string
	Scenario string
	Policy   string
	Figures  Figures
}

// Figures are the measures of one run. A request without an answer counts in
// the latencies as its deadline.
type Figures struct {
	P50Ms  float64 `json:"p50Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	// Goodput is the rate of answers in time over the capacity.
	Goodput float64 `json:"goodput"`
	// SlotViolations counts requests that were sent beyond an upstream's slots,
	// or beyond its cold limit by a core that had been told.
	SlotViolations int `json:"slotViolations"`
	// EarlySheds counts requests that a cold upstream shed because they were
	// sent before their core could know of its restart.
	EarlySheds int `json:"earlySheds"`
	// ExtraLoad is the runs beyond one a request, over the requests.
	ExtraLoad float64 `json:"extraLoad"`
	// Refused and Failed are the requests that were not run, and that may have
	// been, over all.
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// DoubleRuns counts non-idempotent requests that ran twice, FalseNotRun
	// refusals of requests that ran.
	DoubleRuns  int `json:"doubleRuns"`
	FalseNotRun int `json:"falseNotRun"`
}

// Run compares all policies on all services in all scenarios, or in the one
// that only names as "service/scenario".
func Run(cf Config, only string) []Result {
	var results []Result
	for _, sv := range Services() {
		for _, sc := range Scenarios() {
			if only != "" && only != sv.Name+"/"+sc.Name {
				continue
			}
			results = append(results, RunScenario(cf, sv, sc)...)
		}
	}
	return results
}

// RunScenario compares all policies on one service in one scenario. A key has
// its owner in one domain, so that there is no choice of domains for it.
func RunScenario(cf Config, sv Service, sc Scenario) []Result {
	requests := arrivals(cf, sv, sc)
	var results []Result
	for _, py := range Policies() {
		if py.byDomain && sv.Keyed {
			continue
		}
		fl := newFleet(cf, sv, py, requests)
		fl.run(sc)
		results = append(results, Result{Service: sv.Name, Scenario: sc.Name, Policy: py.Name, Figures: fl.figures()})
	}
	return results
}

// capacity is what the service's slots serve through a holder, in requests a
// second: a slot is taken for the work and for the way there and back.
func capacity(cf Config, sv Service) float64 {
	taken := cf.Service + 2*nearHop
	return float64(sv.Targets*slots) / taken.Seconds()
}
