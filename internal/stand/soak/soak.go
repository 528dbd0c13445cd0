// Package soak runs a deployment whose hosts are processes of their own, disturbs it
// at random from outside, and checks the router's guarantees by what callers and
// upstreams saw. A seed decides the disturbances and their times.
//
//	rs, err := soak.Run(ctx, soak.Config{Program: "bin/chervilwalk", Dir: dir, Seed: 7, Span: 20 * time.Second})
//	if rs.Broken() { /* see rs and the logs in dir */ }
package soak

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/faultproxy"
	"chervilwalk/internal/stand/metastore"
)

// Config configures a run.
type Config struct {
	// Program is the path of chervilwalk's binary.
	Program string
	// Dir gets the hosts' settings files and logs.
	Dir  string
	Seed int64
	// Hosts is the number of hosts, PerSecond the rate of requests.
	Hosts, PerSecond int
	// Span is how long the deployment is disturbed.
	Span time.Duration
	// Subnet is that of deployment.Config.
	Subnet int
	// Report is called with each disturbance.
	Report func(step string)
}

// Result is the result of a run.
type Result struct {
	Seed int64 `json:"seed"`
	// During are the counts under disturbance, After those afterwards.
	During deployment.Counts `json:"during"`
	After  deployment.Counts `json:"after"`
	// PeakKB is the largest peak memory of a host.
	PeakKB int `json:"peakKB"`
	// Steps are the disturbances with their times.
	Steps []string `json:"steps"`
}

const (
	// startupTime is the time in which the hosts start and the keys get owners.
	startupTime = 5 * time.Second
	// recoveryTime is the platform's limit for serving requests again.
	recoveryTime = 15 * time.Second
	// afterSpan is how long requests are sent after the recovery.
	afterSpan = 3 * time.Second
	// minAnswered is the share of these that must be answered.
	minAnswered = 0.97
	// maxPeakKB is the memory that the smallest hosts have for a process.
	maxPeakKB = 128 << 10
	// Disturbances come at intervals of up to maxPause and last up to maxLength.
	maxPause  = 1200 * time.Millisecond
	maxLength = 3 * time.Second
	// maxDeadlyTime is how long a deadly request is repeated: until a trial after the first ones
	// is not due yet.
	maxDeadlyTime = 12 * time.Second
)

// Broken reports whether a guarantee was violated.
func (rs *Result) Broken() bool {
	return rs.During.Broken() || rs.After.Broken() || float64(rs.After.Answered) < minAnswered*float64(rs.After.Requests) || rs.PeakKB > maxPeakKB
}

// run is the state of a run.
type run struct {
	cf     Config
	dp     *deployment.Deployment
	random *rand.Rand
	result Result
	began  time.Time
	// undo ends the disturbances that last.
	undo []func()
}

// Run plays one seed.
func Run(ctx context.Context, cf Config) (Result, error) {
	dp, err := deployment.Start(deployment.Config{
		Dir: cf.Dir, Hosts: cf.Hosts, Keyed: 5, Orders: 4, Files: 3, Seed: cf.Seed, Subnet: cf.Subnet, Program: cf.Program, Proxies: true,
	})
	if err != nil {
		return Result{}, eris.Wrap(err, "start the deployment")
	}
	defer dp.Close()
	rn := &run{cf: cf, dp: dp, random: rand.New(rand.NewSource(cf.Seed)), result: Result{Seed: cf.Seed}}
	if err := wait(ctx, startupTime); err != nil {
		return rn.result, err
	}
	rn.began = time.Now()
	loaded := make(chan deployment.Counts, 1)
	go func() { loaded <- dp.Load(ctx, cf.PerSecond, cf.Span) }()
	for time.Since(rn.began) < cf.Span && ctx.Err() == nil {
		rn.disturb()
		if err := wait(ctx, time.Duration(rn.random.Int63n(int64(maxPause)))); err != nil {
			break
		}
	}
	rn.result.During = <-loaded
	rn.heal()
	if err := wait(ctx, recoveryTime); err != nil {
		return rn.result, err
	}
	rn.result.After = dp.Load(ctx, cf.PerSecond, afterSpan)
	for _, host := range dp.Hosts {
		rn.result.PeakKB = max(rn.result.PeakKB, host.PeakKB())
	}
	return rn.result, ctx.Err()
}

func wait(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// note records a step.
func (rn *run) note(format string, args ...any) {
	step := fmt.Sprintf("%6.2f ", time.Since(rn.began).Seconds()) + fmt.Sprintf(format, args...)
	rn.result.Steps = append(rn.result.Steps, step)
	if rn.cf.Report != nil {
		rn.cf.Report(step)
	}
}

// later runs an action after a random time, at the latest when the run heals.
func (rn *run) later(action func()) {
	done := make(chan struct{})
	tm := time.AfterFunc(time.Duration(200+rn.random.Intn(int(maxLength.Milliseconds())))*time.Millisecond, func() {
		defer close(done)
		action()
	})
	rn.undo = append(rn.undo, func() {
		if tm.Stop() {
			action()
			return
		}
		<-done
	})
}

// heal ends all disturbances.
func (rn *run) heal() {
	for _, undo := range rn.undo {
		undo()
	}
	rn.undo = nil
	rn.dp.Store.SetFaults(metastore.Faults{})
	for _, px := range rn.dp.Proxies() {
		px.SetFaults(faultproxy.Faults{})
	}
	for _, id := range rn.dp.UpstreamIDs() {
		rn.dp.Upstream(id).SetFaults(fakeupstream.Faults{})
	}
	rn.note("healed")
}

// disturb causes one disturbance. Those that last end by themselves or when the run
// heals.
func (rn *run) disturb() {
	host := rn.dp.Hosts[rn.random.Intn(len(rn.dp.Hosts))]
	ids := rn.dp.UpstreamIDs()
	id := ids[rn.random.Intn(len(ids))]
	proxies := rn.dp.Proxies()
	px := proxies[rn.random.Intn(len(proxies))]
	kinds := []struct {
		name string
		do   func()
	}{
		{"kill " + host.Name, func() {
			rn.dp.KillHost(host)
			rn.later(func() { rn.start(host) })
		}},
		{"terminate " + host.Name, func() {
			done := make(chan struct{})
			go func() {
				defer close(done)
				rn.dp.StopHost(host)
				rn.start(host)
			}()
			rn.undo = append(rn.undo, func() { <-done })
		}},
		{"freeze " + host.Name, func() {
			host.Freeze()
			rn.later(host.Thaw)
		}},
		{"reload " + host.Name, host.Reload},
		{"store down", func() { rn.storeFaults(metastore.Faults{Down: true}) }},
		{"store silent", func() { rn.storeFaults(metastore.Faults{Unresponsive: true}) }},
		{"store slow", func() { rn.storeFaults(metastore.Faults{Delay: 150 * time.Millisecond}) }},
		{"store loses answers", func() { rn.storeFaults(metastore.Faults{LoseAnswers: 0.3}) }},
		{"store loses its history", rn.dp.Store.Compact},
		{"store returns from a copy", func() {
			rn.dp.ReturnStore(time.Duration(rn.random.Intn(6000))*time.Millisecond, 200*time.Millisecond, 500*time.Millisecond)
		}},
		{"desired state changes", func() { rn.dp.Configure(nil) }},
		{"all hosts restart as the store goes away", func() {
			for _, host := range rn.dp.Hosts {
				rn.dp.KillHost(host)
				rn.start(host)
			}
			time.Sleep(time.Duration(rn.random.Intn(600)) * time.Millisecond)
			rn.storeFaults(metastore.Faults{Down: true})
		}},
		{"proxy of " + px.Name + " delays", func() { rn.proxyFaults(px, faultproxy.Faults{Delay: 80 * time.Millisecond}) }},
		{"proxy of " + px.Name + " is silent", func() { rn.proxyFaults(px, faultproxy.Faults{DropRequests: true, DropAnswers: true}) }},
		{"proxy of " + px.Name + " drops answers", func() { rn.proxyFaults(px, faultproxy.Faults{DropAnswers: true}) }},
		{"proxy of " + px.Name + " resets", px.Reset},
		{id + " restarts", func() { rn.restart(id) }},
		{id + " is slow", func() { rn.upstreamFaults(id, fakeupstream.Faults{Slow: 8}) }},
		{id + " breaks answers", func() {
			rn.upstreamFaults(id, fakeupstream.Faults{Truncate: 0.2, Reset: 0.1, Stray: 0.3})
		}},
		{id + " pours", func() { rn.upstreamFaults(id, fakeupstream.Faults{Pour: 0.3}) }},
		{id + " refuses", func() { rn.upstreamFaults(id, fakeupstream.Faults{Shed: 0.5, PauseMs: 800}) }},
		{id + " names a limit", func() {
			// Limits count from some seconds after they were named, so they last until
			// another fault of the upstream or the end.
			rn.dp.Upstream(id).SetFaults(fakeupstream.Faults{Limit: strconv.FormatFloat(0.5+4*rn.random.Float64(), 'f', 1, 64)})
		}},
		{id + " takes grants late", func() { rn.upstreamFaults(id, fakeupstream.Faults{LateGrants: 0.4}) }},
		{id + " is silent", func() { rn.upstreamFaults(id, fakeupstream.Faults{Unresponsive: true}) }},
		{"a deadly request of " + rn.dp.Upstream(id).Config().Service, func() { rn.repeatDeadly(rn.dp.Upstream(id).Config().Service) }},
		{id + " leaves and starts anew", func() {
			rn.dp.Upstream(id).SetFaults(fakeupstream.Faults{Leaving: true})
			rn.later(func() { rn.restart(id) })
		}},
	}
	kind := kinds[rn.random.Intn(len(kinds))]
	rn.note("%s", kind.name)
	kind.do()
}

// start starts a host unless it runs.
func (rn *run) start(host *deployment.Host) {
	if err := rn.dp.StartHost(host); err != nil {
		rn.note("%s did not start: %v", host.Name, err)
	}
}

func (rn *run) storeFaults(fl metastore.Faults) {
	rn.dp.Store.SetFaults(fl)
	rn.later(func() { rn.dp.Store.SetFaults(metastore.Faults{}) })
}

func (rn *run) proxyFaults(px *deployment.Proxy, fl faultproxy.Faults) {
	px.SetFaults(fl)
	rn.later(func() { px.SetFaults(faultproxy.Faults{}) })
}

func (rn *run) upstreamFaults(id string, fl fakeupstream.Faults) {
	up := rn.dp.Upstream(id)
	up.SetFaults(fl)
	rn.later(func() { up.SetFaults(fakeupstream.Faults{}) })
}

// repeatDeadly sends a deadly request for some seconds.
func (rn *run) repeatDeadly(service string) {
	ctx, cancel := context.WithTimeout(context.Background(), maxDeadlyTime)
	done := make(chan struct{})
	name := "deadly" + strconv.Itoa(len(rn.result.Steps))
	go func() {
		defer close(done)
		rn.dp.Repeat(ctx, deployment.Deadly(name, service))
	}()
	rn.undo = append(rn.undo, func() {
		cancel()
		<-done
	})
}

// restart crashes an upstream and starts it again under its id.
func (rn *run) restart(id string) {
	rn.dp.Upstream(id).Close()
	cf := rn.dp.Upstream(id).Config()
	if err := rn.dp.AddUpstream(id, cf.Service, cf.Zone); err != nil {
		rn.note("%s did not start: %v", id, err)
	}
}

// String returns the result in a few lines.
func (rs *Result) String() string {
	return fmt.Sprintf("seed %d: during %+v, after %+v, peak %d KB\n%s", rs.Seed, rs.During, rs.After, rs.PeakKB, strings.Join(rs.Steps, "\n"))
}
