package acceptance

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chervilwalk/internal/catalog/bundle"
)

const (
	// askTimeout bounds the wait for one host's answer.
	askTimeout = time.Second
	// askPause is the time between two rounds of asking.
	askPause = 100 * time.Millisecond
	// askAtOnce bounds the hosts that are asked at a time.
	askAtOnce = 64
)

// Ask returns the version in force at a host.
type Ask func(ctx context.Context, ho bundle.Host) (bundle.Version, error)

// HostState is what one host answered.
type HostState struct {
	Host    bundle.Host
	Version bundle.Version
	// Err is set when the host could not be reached.
	Err error
}

// Survey asks every host of a bundle once, in the bundle's order.
func Survey(ctx context.Context, bn *bundle.Bundle, ask Ask) []HostState {
	states := make([]HostState, len(bn.Hosts))
	var group errgroup.Group
	group.SetLimit(askAtOnce)
	for ix, ho := range bn.Hosts {
		group.Go(func() error {
			limited, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			vs, err := ask(limited, ho)
			states[ix] = HostState{Host: ho, Version: vs, Err: err}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	return states
}

// Await waits until every host that can be reached has the bundle's version in
// force, or the context ends. It returns the last answers and whether no host
// that answered is behind.
func Await(ctx context.Context, bn *bundle.Bundle, ask Ask) ([]HostState, bool) {
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
		case <-time.After(askPause):
		}
	}
}
