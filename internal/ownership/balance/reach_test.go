package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/ownership/balance"
)

// TestUnreachedTargets guards against keys that go to a target which may not exist, although
// they have a working owner or others could take them.
func TestUnreachedTargets(t *testing.T) {
	cases := map[string]struct {
		// unreached counts the targets, of four and the last ones, that are unreached.
		unreached int
		// orphaned is true if the first target is gone.
		orphaned bool
		// hot is how many of 40 requests a second are for one key.
		hot int
		// most is how many keys unreached targets may get.
		most int
	}{
		"keys with an owner":              {2, false, 0, 0},
		"keys with an owner, none known":  {4, false, 0, 0},
		"beside a hot key":                {2, false, 30, 0},
		"beside a hot key, none known":    {4, false, 30, 0},
		"orphans":                         {2, true, 0, 0},
		"orphans, none known":             {4, true, 0, keyspace.Count},
		"orphans beside a hot key":        {2, true, 30, 0},
		"a single one is known, hot keys": {3, false, 30, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sim := newSimulation(2, 10)
			for _, id := range []string{"u2", "u3"} {
				sim.targets = append(sim.targets, balance.Target{ID: ident.Upstream(id), Capacity: 10})
			}
			for ix := range sim.targets {
				sim.targets[ix].Unreached = ix >= len(sim.targets)-tc.unreached
			}
			if tc.orphaned {
				sim.targets = sim.targets[1:]
				for ix := range sim.shares {
					sim.shares[ix].Orphaned = sim.shares[ix].Owner == "u0"
				}
			}
			requests := make([]keyspace.Key, 40)
			for ix := range requests {
				requests[ix] = keyspace.Key(1600 * ix)
				if ix < tc.hot {
					requests[ix] = 7
				}
			}
			moved, got := 0, 0
			for range 16 {
				sim.now = sim.now.Add(250 * time.Millisecond)
				for _, ky := range requests {
					sim.load.Add(sim.now, ky, 1)
				}
				sim.load.Refresh(sim.now)
				for _, mv := range balance.Plan(sim.load, sim.shares, sim.targets, 3) {
					moved++
					for _, tg := range sim.targets {
						if tg.ID == mv.To && tg.Unreached {
							got += mv.Keys.Len()
						}
					}
				}
			}
			gm.Expect(got).To(BeNumerically("<=", 16*tc.most))
			if tc.orphaned {
				gm.Expect(moved).To(BeNumerically(">", 0))
			}
		})
	}
}
