package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/ownership/lease"
)

// No freeze or jump shortens a wait, and no clock that goes back lengthens a
// right.
func TestWatchLagsBehindJumps(t *testing.T) {
	for name, tc := range map[string]struct {
		steps  []time.Duration
		now    time.Duration
		steady time.Duration
	}{
		"even ticks":     {[]time.Duration{25 * time.Millisecond, 25 * time.Millisecond}, 50 * time.Millisecond, 50 * time.Millisecond},
		"a freeze":       {[]time.Duration{10 * time.Second}, 10 * time.Second, lease.MaxStep},
		"a jump forward": {[]time.Duration{25 * time.Millisecond, time.Hour}, time.Hour + 25*time.Millisecond, 25*time.Millisecond + lease.MaxStep},
		"a clock back":   {[]time.Duration{25 * time.Millisecond, -time.Second}, 25 * time.Millisecond, 25 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			var wt lease.Watch
			reading := clock.Instant(time.Hour)
			first := wt.At(reading)
			last := first
			for _, step := range tc.steps {
				reading = reading.Add(step)
				last = wt.At(reading)
			}
			gm.Expect(last.Now.Sub(first.Now)).To(Equal(tc.now))
			gm.Expect(last.Steady.Sub(first.Steady)).To(Equal(tc.steady))
		})
	}
}

// A wait covers a right on any clock that drifts by 1%, after one jump of the
// waiter's own.
func TestWaitsOutlastRights(t *testing.T) {
	const slow, fast = 0.99, 1.01
	gm := NewWithT(t)
	ln := lease.Default()
	for _, right := range []time.Duration{ln.Term, ln.Promise, ln.Pool, ln.Tail, ln.Grant} {
		rightEnds := float64(right) / slow
		waitEnds := float64(lease.Longest(right)-lease.MaxStep) / fast
		gm.Expect(waitEnds).To(BeNumerically(">=", rightEnds))
		gm.Expect(float64(lease.Shortest(right)) / slow).To(BeNumerically("<=", float64(right)/fast))
	}
}
