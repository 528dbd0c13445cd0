package deployment

import (
	"context"
	"time"

	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/metastore"
)

// Step is one thing that happens during a trial.
type Step struct {
	At   time.Duration
	Name string
	do   func(dp *Deployment) error
}

// TrialTime is how long a trial's load lasts.
const TrialTime = 12 * time.Second

// Steps are what happens during a trial: planned work and failures of every
// part, each with time to recover before the next.
func Steps() []Step {
	return []Step{
		{1 * time.Second, "a host is killed", func(dp *Deployment) error { dp.KillHost(dp.Hosts[0]); return nil }},
		{2500 * time.Millisecond, "it starts again", func(dp *Deployment) error { return dp.StartHost(dp.Hosts[0]) }},
		{4 * time.Second, "a new desired state", func(dp *Deployment) error { return dp.renew() }},
		{4500 * time.Millisecond, "an upstream crashes", func(dp *Deployment) error { dp.Upstream("i-orders-0").Close(); return nil }},
		{5 * time.Second, "an owner of keys drains", func(dp *Deployment) error { dp.DrainUpstream("i-lookup-0"); return nil }},
		{6 * time.Second, "answers break", func(dp *Deployment) error {
			dp.Upstream("i-files-0").SetFaults(fakeupstream.Faults{Truncate: 0.2, Stray: 0.2})
			return nil
		}},
		{7 * time.Second, "the store is down", func(dp *Deployment) error { dp.Store.SetFaults(metastore.Faults{Down: true}); return nil }},
		{8500 * time.Millisecond, "the store is back", func(dp *Deployment) error { dp.Store.SetFaults(metastore.Faults{}); return nil }},
		{9 * time.Second, "a host stops as planned", func(dp *Deployment) error { go dp.StopHost(dp.Hosts[1]); return nil }},
	}
}

// Trial sends a load while the steps happen; say is told of each. The
// deployment's keys must have been dealt.
func (dp *Deployment) Trial(ctx context.Context, perSecond int, say func(step string, err error)) Counts {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, step := range Steps() {
		tm := time.AfterFunc(step.At, func() { say(step.Name, step.do(dp)) })
		defer tm.Stop()
	}
	return dp.Load(ctx, perSecond, TrialTime)
}
