package locality_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/serving/locality"
)

// TestGuestRoom guards against two full domains that send each other their load, and against
// room that is kept for nobody.
func TestGuestRoom(t *testing.T) {
	const now = clock.Instant(time.Hour)
	cases := map[string]struct {
		// sentAway is how long ago the domain's own callers were sent away.
		sentAway          time.Duration
		slots, free, want int
	}{
		"it sent nothing away":        {slots: 32, free: 5, want: 5},
		"it sends load away":          {sentAway: 900 * time.Millisecond, slots: 32, free: 2},
		"it has room though it sends": {sentAway: 900 * time.Millisecond, slots: 32, free: 20, want: 18},
		"it is small":                 {sentAway: 900 * time.Millisecond, slots: 6, free: 1},
		"it sent load away":           {sentAway: 2 * time.Second, slots: 32, free: 2, want: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sp, pl := locality.NewSpill(), locality.Place{Service: "s", Domain: "d"}
			if tc.sentAway > 0 {
				sp.SentAway(now.Add(-tc.sentAway), pl)
			}
			NewWithT(t).Expect(sp.GuestRoom(now, pl, locality.Room{Free: tc.free, Slots: tc.slots})).To(Equal(tc.want))
		})
	}
}

// TestLeaveCost guards against small requests that stay as long as large ones, and against those
// in danger that stay at all.
func TestLeaveCost(t *testing.T) {
	gm, now := NewWithT(t), clock.Instant(time.Hour)
	rq := func(size int64, left time.Duration) locality.Request {
		return locality.Request{Size: locality.ClassOf(size), ArrivedAt: now, Objective: now.Add(left), Latency: 200 * time.Millisecond}
	}
	gm.Expect(rq(400, time.Second).LeaveCost(now)).To(BeNumerically("<", rq(5000, time.Second).LeaveCost(now)))
	gm.Expect(rq(5000, time.Second).LeaveCost(now)).To(Equal(rq(1<<40, time.Second).LeaveCost(now)))
	gm.Expect(rq(5000, 300*time.Millisecond).LeaveCost(now)).To(Equal(10 * time.Millisecond))
	gm.Expect(rq(5000, 300*time.Millisecond).StayUntil()).To(Equal(now))
	gm.Expect(locality.ClassOf(-1)).To(BeZero())
}
