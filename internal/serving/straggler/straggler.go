// Package straggler estimates how long an upstream takes for one request, from
// the requests it finished and the ages of those it still holds.
//
// Requests that are still held count as time served without a finish. Thus the
// estimate rises while an upstream is silent, before anything completes:
//
//	rc.Observe(8 * time.Millisecond)
//	expected := rc.Expected(heldAges, poolMedian)
//	if straggler.Convicted(expected, poolMedian) { /* no new work */ }
package straggler

import (
	"slices"
	"time"
)

const (
	// memory is how many finished requests an estimate rests on.
	memory = 8
	// priorWeight is how many requests at the pool's median a record starts with.
	priorWeight = 1
	// slowFactor times the pool's median is an upstream that is used only when
	// waiting for a faster one would take longer.
	slowFactor = 2
	// convictFactor times the pool's median is a straggler.
	convictFactor = 4
)

// Record is what one upstream's requests took.
type Record struct {
	time  float64
	count float64
}

// Observe takes a finished request's time.
func (rc *Record) Observe(took time.Duration) {
	const keep = 1 - 1.0/memory
	rc.time = rc.time*keep + float64(took)
	rc.count = rc.count*keep + 1
}

// Abandon takes the time of a request that was given up before its finish.
func (rc *Record) Abandon(age time.Duration) {
	rc.time += float64(age)
}

// Known tells whether any request finished.
func (rc *Record) Known() bool {
	return rc.count > 0
}

// Forget drops all evidence, as after a restart.
func (rc *Record) Forget() {
	*rc = Record{}
}

// Expected returns the estimated time for one request: the time served, with
// the ages of the held requests, over the number of finished ones. Zero means
// that nothing is known of the whole pool.
func (rc *Record) Expected(heldAges, median time.Duration) time.Duration {
	if median == 0 && rc.count == 0 {
		return 0
	}
	total, count := rc.time+float64(heldAges), rc.count
	if median > 0 {
		total += priorWeight * float64(median)
		count += priorWeight
	}
	return time.Duration(total / count)
}

// Slow tells whether an upstream should only be used when the queue is long.
func Slow(expected, median time.Duration) bool {
	return median > 0 && expected > slowFactor*median
}

// Convicted tells whether an upstream is a straggler.
func Convicted(expected, median time.Duration) bool {
	return median > 0 && expected > convictFactor*median
}

// Median returns the middle of the estimates, the lower one of an even number,
// so that half a pool of stragglers does not become the measure. Zeros are
// left out; it sorts its argument.
func Median(estimates []time.Duration) time.Duration {
	known := slices.DeleteFunc(estimates, func(dr time.Duration) bool { return dr == 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
