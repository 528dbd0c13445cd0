package trial

import (
	"context"
	"fmt"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
)

const (
	// Length is how long a trial lasts at least; its events are spread over it.
	Length = 18 * time.Second
	// maxPace bounds the load, in requests a second and fleet.
	maxPace = 300
)

// step is an event at a part of the trial's length.
type step struct {
	at   float64
	name string
	do   func(ctx context.Context) error
}

// Script is a trial of one fleet: a load, and what happens meanwhile.
type Script struct {
	fleet *Fleet
	load  *Load
	say   func(format string, args ...any)
	out   []absence
}

// NewScript makes a trial; say prints its progress.
func NewScript(fl *Fleet, say func(format string, args ...any)) *Script {
	return &Script{fleet: fl, load: NewLoad(fl), say: say}
}

// Run sends the load while a node stops and starts, an upstream is lost and
// comes back, a failure domain goes out and comes back, and a bundle is
// accepted. It returns the counts and the reasons of what was not answered.
func (sc *Script) Run(ctx context.Context, seed uint64, requests int) (Counts, []Failure, error) {
	length := max(Length, time.Duration(requests)*time.Second/maxPace)
	failed := make(chan error, 1)
	go func() { failed <- sc.play(ctx, length) }()
	sc.load.Run(ctx, seed, requests, length)
	if err := <-failed; err != nil {
		return Counts{}, nil, err
	}
	return sc.load.Count(sc.out...), sc.load.Failures(), nil
}

func (sc *Script) play(ctx context.Context, length time.Duration) error {
	start := time.Now()
	for _, st := range sc.steps() {
		if !sleepUntil(ctx, start.Add(time.Duration(st.at*float64(length)))) {
			return ctx.Err()
		}
		sc.say("%s: %5.1f s, %4d requests: %s", sc.fleet.Name, time.Since(start).Seconds(), sc.load.Done(), st.name)
		if err := st.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", st.name, err)
		}
	}
	return nil
}

func (sc *Script) steps() []step {
	bn := sc.fleet.Bundle
	host := bn.Hosts[0].Name
	lost := bn.Services[0].Upstreams[0]
	domain := bn.Domains[len(bn.Domains)-1].Name
	return []step{
		{0.04, "stop node " + string(host), func(ctx context.Context) error { return sc.fleet.StopNode(ctx, host) }},
		{0.20, "start node " + string(host), func(context.Context) error { return sc.fleet.StartNode(host) }},
		{0.25, "kill upstream " + string(lost.Name), func(context.Context) error { sc.fleet.KillUpstream(lost); return nil }},
		{0.36, "start upstream " + string(lost.Name), func(context.Context) error { return sc.fleet.ReviveUpstream(lost) }},
		{0.42, "take domain " + string(domain) + " out", func(ctx context.Context) error { return sc.takeOut(ctx, domain, true) }},
		{0.80, "take domain " + string(domain) + " back in", func(ctx context.Context) error { return sc.takeOut(ctx, domain, false) }},
		{0.92, "accept a new bundle", sc.accept},
	}
}

// takeOut takes a domain out or back in through a new bundle.
func (sc *Script) takeOut(ctx context.Context, name ident.Domain, out bool) error {
	if !out {
		sc.out[len(sc.out)-1].to = clock.Boot{}.Now()
	}
	err := sc.fleet.Change(ctx, func(bn *bundle.Bundle) {
		for ix := range bn.Domains {
			if bn.Domains[ix].Name == name {
				bn.Domains[ix].Out = out
			}
		}
	})
	if out {
		sc.out = append(sc.out, absence{domain: name, from: clock.Boot{}.Now(), to: clock.Never})
	}
	return err
}

// accept puts a bundle in force that changes a limit.
func (sc *Script) accept(ctx context.Context) error {
	return sc.fleet.Change(ctx, func(bn *bundle.Bundle) {
		bn.Services[0].DefaultTimeout += 100 * time.Millisecond
	})
}
