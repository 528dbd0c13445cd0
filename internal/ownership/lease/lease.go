// Package lease holds the time line of ownership and the arithmetic of rights
// and waits.
//
// A right that a process holds is counted on its raw clock, which runs on while
// the process is frozen. A wait for somebody else's right to end is counted on
// a steady clock, which never counts more than MaxStep for the time between two
// looks at it, so that neither a freeze nor a jump of the clock shortens it:
//
//	if now.Now.Before(until) { /* my right still holds */ }
//	if !now.Steady.Before(seen.Add(lease.Longest(ln.Term))) { /* theirs has ended */ }
package lease

import (
	"time"

	"chervilwalk/internal/fleet/clock"
)

const (
	// MaxStep is the most that the steady clock counts between two readings.
	MaxStep = 60 * time.Millisecond
	// driftPercent bounds how much faster one clock runs than another, with
	// half a percent to spare: two clocks that are each off by 1%.
	driftPercent = 3
)

// Line is the time line: how long each right lasts and how often it is renewed.
type Line struct {
	// Term is the lease of the leader's row, counted from before its write.
	Term time.Duration
	// Renew is the time between two writes of the leader's row.
	Renew time.Duration
	// Promise is how long a follower supports no other leader.
	Promise time.Duration
	// Beat is the time between two heartbeats.
	Beat time.Duration
	// Pool is the lease of a holder, counted from its heartbeat.
	Pool time.Duration
	// Tail is how long pool leases outlive their leader's right at most.
	Tail time.Duration
	// Grant is an upstream's grant, counted from its reading.
	Grant time.Duration
	// Order is the time between two renewals of a grant.
	Order time.Duration
	// Answer is how long an answer of a peer, upstream or table is awaited.
	Answer time.Duration
}

// Default is the time line that the promise of 2 s is worked out for.
func Default() Line {
	return Line{
		Term:    600 * time.Millisecond,
		Renew:   150 * time.Millisecond,
		Promise: 600 * time.Millisecond,
		Beat:    200 * time.Millisecond,
		Pool:    1000 * time.Millisecond,
		Tail:    500 * time.Millisecond,
		Grant:   800 * time.Millisecond,
		Order:   200 * time.Millisecond,
		Answer:  150 * time.Millisecond,
	}
}

// Longest is how long to wait, on a steady clock, for a right of length dr on
// any other clock to have ended.
func Longest(dr time.Duration) time.Duration {
	return dr + dr*driftPercent/100 + MaxStep
}

// Shortest is how long, on one's own clock, a right of length dr on any other
// clock lasts for sure.
func Shortest(dr time.Duration) time.Duration {
	return dr - dr*driftPercent/100
}

// Moment is one look at both clocks of a process.
type Moment struct {
	// Now is the raw clock, for rights held.
	Now clock.Instant
	// Steady is the clock for waits.
	Steady clock.Instant
}

// Watch derives the steady clock from the raw one.
type Watch struct {
	last    clock.Instant
	steady  clock.Instant
	started bool
}

// At takes a reading of the raw clock. A clock that went back stands still.
func (wt *Watch) At(now clock.Instant) Moment {
	if !wt.started {
		wt.started = true
		wt.last = now
	}
	now = max(now, wt.last)
	wt.steady = wt.steady.Add(min(now.Sub(wt.last), MaxStep))
	wt.last = now
	return Moment{Now: now, Steady: wt.steady}
}

// Last is the latest raw reading taken.
func (wt *Watch) Last() clock.Instant { return wt.last }

// Defect is a deliberately broken rule; tests set one to show that their
// oracle can fail.
type Defect int

const (
	// Sound breaks nothing; nodes run with no other value.
	Sound Defect = iota
	// NoLapse moves what an unreachable party holds without waiting.
	NoLapse
	// GranterClock states grants' deadlines on the granter's clock.
	GranterClock
	// NoRelease takes a term over without the followers' release.
	NoRelease
)
