package deployment

import (
	"context"
	"time"

	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/metastore"
)

// Step is a fault or a planned change during a trial.
type Step struct {
	// At is the time from the start of the trial.
	At   time.Duration
	Name string
	do   func(dp *Deployment) error
}

// TrialTime is the duration of a trial's load.
const TrialTime = 12 * time.Second

// Steps returns the steps of a trial: planned changes, and failures of hosts,
// upstreams and the store, with time to recover in between.
func Steps() []Step {
	return []Step{
		{1 * time.Second, "a host is killed", func(dp *Deployment) error { dp.KillHost(dp.Hosts[0]); return nil }},
		{2500 * time.Millisecond, "the host starts again", func(dp *Deployment) error { return dp.StartHost(dp.Hosts[0]) }},
		{4 * time.Second, "the desired state changes", func(dp *Deployment) error { return dp.changeDesiredState() }},
		{4500 * time.Millisecond, "an upstream crashes", func(dp *Deployment) error { dp.Upstream("i-orders-0").Close(); return nil }},
		{5 * time.Second, "a keyed upstream drains", func(dp *Deployment) error { dp.DrainUpstream("i-lookup-0"); return nil }},
		{6 * time.Second, "answers are truncated or stray", func(dp *Deployment) error {
			dp.Upstream("i-files-0").SetFaults(fakeupstream.Faults{Truncate: 0.2, Stray: 0.2})
			return nil
		}},
		{7 * time.Second, "the store is down", func(dp *Deployment) error { dp.Store.SetFaults(metastore.Faults{Down: true}); return nil }},
		{8500 * time.Millisecond, "the store is back", func(dp *Deployment) error { dp.Store.SetFaults(metastore.Faults{}); return nil }},
		{9 * time.Second, "a host shuts down gracefully", func(dp *Deployment) error { go dp.StopHost(dp.Hosts[1]); return nil }},
	}
}

// Trial runs a load and the steps at the same time and calls report after each
// step, from several goroutines. The keys must have owners before it starts.
func (dp *Deployment) Trial(ctx context.Context, perSecond int, report func(step string, err error)) Counts {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, step := range Steps() {
		tm := time.AfterFunc(step.At, func() { report(step.Name, step.do(dp)) })
		defer tm.Stop()
	}
	return dp.Load(ctx, perSecond, TrialTime)
}
