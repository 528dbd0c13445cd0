package acceptance

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chervilwalk/internal/catalog/bundle"
)

const (
	// hostTimeout is the timeout of a query to one host.
	hostTimeout = time.Second
	// pollInterval is the time between two surveys while Await waits.
	pollInterval = 100 * time.Millisecond
	// maxParallelQueries is how many hosts are queried at a time.
	maxParallelQueries = 64
)

// VersionFunc asks a host for the version of the bundle that it has in force.
type VersionFunc func(ctx context.Context, ho bundle.Host) (bundle.Version, error)

// HostState is the answer of one host.
type HostState struct {
	Host    bundle.Host
	Version bundle.Version
	// Err is set if the host could not be reached.
	Err error
}

// Survey queries every host of a bundle once and returns their states in the
// bundle's order.
func Survey(ctx context.Context, bn *bundle.Bundle, ask VersionFunc) []HostState {
	states := make([]HostState, len(bn.Hosts))
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for ix, ho := range bn.Hosts {
		group.Go(func() error {
			limited, cancel := context.WithTimeout(ctx, hostTimeout)
			defer cancel()
			vs, err := ask(limited, ho)
			states[ix] = HostState{Host: ho, Version: vs, Err: err}
			return nil
		})
	}
	_ = group.Wait() // The functions never return an error.
	return states
}

// Await waits until every host that can be reached has the bundle's version or a
// later one in force. It returns the last states, and false if the context ended
// first.
func Await(ctx context.Context, bn *bundle.Bundle, ask VersionFunc) ([]HostState, bool) {
	for {
		states := Survey(ctx, bn, ask)
		behind := false
		for _, hs := range states {
			behind = behind || hs.Err == nil && hs.Version < bn.Version
		}
		if !behind && ctx.Err() == nil {
			return states, true
		}
		select {
		case <-ctx.Done():
			return states, false
		case <-time.After(pollInterval):
		}
	}
}
