// Package rate has limits of requests per second and the token bucket that keeps them.
//
//	bk := rate.NewBucket(now)
//	if bk.Available(now, lm.PerSecond) {
//		bk.Take()
//	}
package rate

import (
	"time"

	"chervilwalk/internal/base/clock"
)

// PerSecond is a number of requests per second.
type PerSecond float64

// Limit is the most requests per second that an upstream takes. The zero Limit is none.
type Limit struct {
	// Named reports whether there is a limit.
	Named     bool
	PerSecond PerSecond
}

// At returns a limit of some requests per second.
func At(ps PerSecond) Limit { return Limit{Named: true, PerSecond: ps} }

// Tighter returns the smaller of two limits.
func (lm Limit) Tighter(other Limit) Limit {
	if !lm.Named || other.Named && other.PerSecond < lm.PerSecond {
		return other
	}
	return lm
}

// Bucket is a token bucket with room for one request: after a pause it admits one at once.
type Bucket struct {
	tokens     float64
	refilledAt clock.Instant
}

// NewBucket returns a full bucket.
func NewBucket(now clock.Instant) Bucket { return Bucket{tokens: 1, refilledAt: now} }

// Available reports whether a request may be sent now, at a limit that has held since the
// last call.
func (bk *Bucket) Available(now clock.Instant, ps PerSecond) bool {
	bk.tokens = min(1, bk.tokens+float64(ps)*now.Sub(bk.refilledAt).Seconds())
	bk.refilledAt = now
	return bk.tokens >= 1
}

// Take counts a request that is sent.
func (bk *Bucket) Take() { bk.tokens-- }

// Wait returns how long the last of count requests has to wait at a limit above 0.
func (bk *Bucket) Wait(now clock.Instant, ps PerSecond, count int) time.Duration {
	bk.Available(now, ps)
	return ps.Interval(max(float64(count)-bk.tokens, 0))
}

// Interval returns how long count requests take.
func (ps PerSecond) Interval(count float64) time.Duration {
	return time.Duration(count / float64(ps) * float64(time.Second))
}
