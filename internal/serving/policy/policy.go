// Package policy chooses the upstream for the next request among those that
// have room. A policy only ranks: limits, grants and drains are admission's.
//
//	ix := policy.Soonest{}.Choose(candidates, scene)
//	if ix == policy.Wait { /* a faster upstream will be free sooner */ }
package policy

import (
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/straggler"
)

// Wait is the choice to leave the request in the queue.
const Wait = -1

// Candidate is an upstream that may take a request now.
type Candidate struct {
	Upstream ident.Upstream
	// Busy of Limit places are taken.
	Busy  int
	Limit int
	// Expected is the estimated time for one request; zero when unknown.
	Expected time.Duration
	// Sample is the time of the first request that finished; zero when none.
	Sample time.Duration
	// Reported is the load by the upstream's own last report, in requests.
	Reported int
}

// Scene is what all candidates share.
type Scene struct {
	// Median is the pool's middle Expected; zero when unknown.
	Median time.Duration
	// QueueWait is the estimated time until the last queued request has left
	// the queue when only the upstreams that are not slow serve it.
	QueueWait time.Duration
}

// Policy is a way to choose. It may keep state of its own.
type Policy interface {
	// Choose returns the index of a candidate, or Wait. There is at least one.
	Choose(candidates []Candidate, sc Scene) int
}

// hintWeight bounds what an upstream's own report adds to its estimate.
const hintWeight = 0.25

// Soonest chooses the upstream with the shortest expected time. It leaves a
// request in the queue while only slow upstreams have room and the queue
// drains through the others in less time than a slow one takes.
type Soonest struct{}

// Choose returns the index of a candidate, or Wait.
func (Soonest) Choose(candidates []Candidate, sc Scene) int {
	best := 0
	for ix := range candidates {
		if before(&candidates[ix], &candidates[best]) {
			best = ix
		}
	}
	expected := candidates[best].Expected
	if straggler.Slow(expected, sc.Median) && expected > sc.Median+sc.QueueWait {
		return Wait
	}
	return best
}

func before(left, right *Candidate) bool {
	ls, rs := left.score(), right.score()
	if ls != rs {
		return ls < rs
	}
	return left.Busy < right.Busy
}

// score is the expected time, raised by at most hintWeight for load that the
// upstream reports and this pool did not send.
func (cd *Candidate) score() float64 {
	foreign := max(0, cd.Reported-cd.Busy)
	hint := min(1, float64(foreign)/float64(max(1, cd.Limit)))
	return float64(cd.Expected) * (1 + hintWeight*hint)
}
