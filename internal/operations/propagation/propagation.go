// Package propagation measures on real nodes on loopback how fast a bundle is
// in force everywhere, what a change costs, how fast a domain gets no new work,
// and how fast a node that has just started answers.
//
//	rs, err := propagation.Run(ctx, 6)
package propagation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/examples"
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/trial"
	standplatform "chervilwalk/internal/stand/platform"
)

const (
	// changes is how many changes a figure is the worst of.
	changes = 5
	// patience bounds the wait for one change.
	patience = 30 * time.Second
	// look is the time between two looks at all nodes.
	look = 2 * time.Millisecond
	// loadRequests and loadTime shape the load while a domain is taken out.
	loadRequests = 4000
	loadTime     = 8 * time.Second
)

// Result holds the figures of one fleet, times in milliseconds.
type Result struct {
	Nodes int `json:"nodes"`
	// BodyBytes is the size of the bundle's text.
	BodyBytes int `json:"bodyBytes"`
	// InForceMs is the worst of several changes with the platform; the change
	// without it is known to one domain only, all others are cut off from it.
	InForceMs           float64 `json:"inForceMs"`
	InForceNoPlatformMs float64 `json:"inForceNoPlatformMs"`
	// IdleReadsPerSecond are reads of the platform by all nodes between changes.
	IdleReadsPerSecond float64 `json:"idleReadsPerSecond"`
	// ReadsPerChange are reads from the acceptance until it is in force.
	ReadsPerChange float64 `json:"readsPerChange"`
	// LastNewRequestMs is from the acceptance of a domain out to the start of
	// the last request at one of its upstreams; Served counts the requests
	// that the domain had served before.
	LastNewRequestMs float64 `json:"lastNewRequestMs"`
	Served           int     `json:"served"`
	// FirstAnswerMs is from the start of a node to its first answer.
	FirstAnswerMs float64 `json:"firstAnswerMs"`
}

// Run measures a fleet of three domains with this many nodes.
func Run(ctx context.Context, nodes int) (*Result, error) {
	body, err := fleetOf(nodes)
	if err != nil {
		return nil, err
	}
	fl, err := trial.StartFleet("propagation", body)
	if err != nil {
		return nil, err
	}
	defer fl.Close()
	if err := fl.AwaitServing(ctx); err != nil {
		return nil, err
	}
	rs := &Result{Nodes: nodes, BodyBytes: len(body)}
	for _, step := range []func(context.Context, *trial.Fleet, *Result) error{
		measureIdle, measureWith, measureWithout, measureStart, measureOut,
	} {
		if err := step(ctx, fl, rs); err != nil {
			return nil, err
		}
	}
	return rs, nil
}

// fleetOf spreads hosts evenly over the domains of an example.
func fleetOf(nodes int) ([]byte, error) {
	bn, err := bundle.Parse("mushi", examples.Mushi)
	if err != nil {
		return nil, err
	}
	bn.Hosts = nil
	for ix := range nodes {
		dm := bn.Domains[ix%len(bn.Domains)].Name
		bn.Hosts = append(bn.Hosts, bundle.Host{
			Name: ident.Host(fmt.Sprintf("%s-entry-%d", dm, ix)), Domain: dm, Inner: fmt.Sprintf("127.0.0.1:%d", 1+ix),
		})
	}
	return bundle.Format(bn)
}

func measureIdle(_ context.Context, fl *trial.Fleet, rs *Result) error {
	const idle = 5 * time.Second
	before, _ := fl.Platform.Counts()
	time.Sleep(idle)
	after, _ := fl.Platform.Counts()
	rs.IdleReadsPerSecond = float64(after-before) / idle.Seconds()
	return nil
}

// change accepts the next version and waits until all nodes have it.
func change(ctx context.Context, fl *trial.Fleet) (time.Duration, error) {
	fl.Bundle.Version++
	begun := time.Now()
	if err := fl.Accept(ctx); err != nil {
		return 0, err
	}
	for time.Since(begun) < patience {
		if everywhere(fl) {
			return time.Since(begun), nil
		}
		time.Sleep(look)
	}
	return 0, eris.Errorf("bundle %d is not in force everywhere after %s", fl.Bundle.Version, patience)
}

func everywhere(fl *trial.Fleet) bool {
	for _, nd := range fl.Nodes() {
		if bn := nd.Bundle(); bn == nil || bn.Version != fl.Bundle.Version {
			return false
		}
	}
	return true
}

func worst(ctx context.Context, fl *trial.Fleet) (float64, error) {
	var slowest time.Duration
	for range changes {
		took, err := change(ctx, fl)
		if err != nil {
			return 0, err
		}
		slowest = max(slowest, took)
	}
	return millis(slowest), nil
}

func millis(dr time.Duration) float64 {
	return float64(dr.Microseconds()) / 1000
}

func measureWith(ctx context.Context, fl *trial.Fleet, rs *Result) error {
	before, _ := fl.Platform.Counts()
	slowest, err := worst(ctx, fl)
	after, _ := fl.Platform.Counts()
	rs.InForceMs, rs.ReadsPerChange = slowest, float64(after-before)/changes
	return err
}

// measureWithout cuts all domains but the first off from the platform.
func measureWithout(ctx context.Context, fl *trial.Fleet, rs *Result) error {
	var cut []string
	for _, dm := range fl.Bundle.Domains[1:] {
		cut = append(cut, string(dm.Name))
	}
	fl.Platform.SetFaults(standplatform.Faults{CutDomains: cut})
	defer fl.Platform.SetFaults(standplatform.Faults{})
	slowest, err := worst(ctx, fl)
	rs.InForceNoPlatformMs = slowest
	return err
}

func measureStart(ctx context.Context, fl *trial.Fleet, rs *Result) error {
	name := fl.Bundle.Hosts[0].Name
	if err := fl.Restart(ctx, name); err != nil {
		return err
	}
	begun := time.Now()
	cl := &http.Client{Timeout: time.Second}
	defer cl.CloseIdleConnections()
	for time.Since(begun) < patience {
		answer, err := cl.Get("http://" + fl.Entry(name) + "/certificates/one")
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				rs.FirstAnswerMs = millis(time.Since(begun))
				return nil
			}
		}
		time.Sleep(look)
	}
	return eris.New("the restarted node has not answered")
}

// measureOut takes the last domain out under load and looks for the start of
// the last request that it got.
func measureOut(ctx context.Context, fl *trial.Fleet, rs *Result) error {
	loaded, stop := context.WithTimeout(ctx, loadTime)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		trial.NewLoad(fl).Run(loaded, 1, loadRequests, loadTime)
	}()
	time.Sleep(loadTime / 4)
	fl.Bundle.Domains[len(fl.Bundle.Domains)-1].Out = true
	begun := clock.Boot{}.Now()
	if _, err := change(ctx, fl); err != nil {
		return err
	}
	<-done
	var last time.Duration
	out := fl.Bundle.Domains[len(fl.Bundle.Domains)-1].Name
	for name, us := range fl.Upstreams {
		if !inDomain(fl.Bundle, name, out) {
			continue
		}
		for _, rn := range us.Runs() {
			last = max(last, rn.Started.Sub(begun))
			rs.Served++
		}
	}
	rs.LastNewRequestMs = millis(last)
	return nil
}

func inDomain(bn *bundle.Bundle, name ident.Upstream, dm ident.Domain) bool {
	for ix := range bn.Services {
		for _, up := range bn.Services[ix].Upstreams {
			if up.Name == name {
				return up.Domain == dm
			}
		}
	}
	return false
}
