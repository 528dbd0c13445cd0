package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
)

// A pool that may not be held for a time comes back with a higher token, also
// when nobody is left who held it.
func TestTokensRiseOverAPause(t *testing.T) {
	gm := NewWithT(t)
	var wt lease.Watch
	raw := clock.Instant(time.Hour)
	tick := func() lease.Moment {
		raw = raw.Add(lease.MaxStep)
		return wt.At(raw)
	}
	now := tick()
	ld := pool.NewLeader(lease.Default(), lease.Sound, 1, 0, now)
	beat := func() []exchange.Assigned {
		now = tick()
		ld.Beat(now, "h1", exchange.Beat{Incarnation: 1, Reading: now.Now}, exchange.Lease{}, now.Now.Add(time.Second))
		ld.Tick(now)
		return ld.Push(now, "h1", exchange.Lease{}, now.Now.Add(time.Second)).Pools
	}
	ld.SetPools(now, []ident.Pool{"p"})
	first := beat()
	gm.Expect(first).To(HaveLen(1))

	ld.SetPools(now, nil)
	for range 100 {
		gm.Expect(beat()).To(BeEmpty())
	}
	ld.SetPools(now, []ident.Pool{"p"})
	second := beat()
	gm.Expect(second).To(HaveLen(1))
	gm.Expect([]uint64{second[0].Term, second[0].Epoch}).NotTo(Equal([]uint64{first[0].Term, first[0].Epoch}))
	gm.Expect(second[0].Epoch).To(BeNumerically(">", first[0].Epoch))
}
