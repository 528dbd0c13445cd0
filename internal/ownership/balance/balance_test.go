package balance_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/ownership/balance"
)

// simulation is a service whose moves take effect immediately.
type simulation struct {
	now     clock.Instant
	load    *balance.Load
	shares  []balance.Share
	targets []balance.Target
	moves   int
}

func newSimulation(targets int, capacity float64) *simulation {
	sim := &simulation{now: clock.Instant(time.Hour)}
	sim.load = balance.NewLoad(sim.now)
	for ix := range targets {
		id := ident.Upstream(fmt.Sprintf("u%d", ix))
		sim.targets = append(sim.targets, balance.Target{ID: id, Capacity: capacity})
		sim.shares = append(sim.shares, balance.Share{Owner: id, Range: keyspace.Range{
			From: keyspace.Key(ix * keyspace.Count / targets), To: keyspace.Key((ix+1)*keyspace.Count/targets - 1),
		}})
	}
	return sim
}

// runSecond simulates one second of load and plans moves every 250 ms.
func (sim *simulation) runSecond(requests []keyspace.Key, budget int) {
	for quarter := range 4 {
		sim.now = sim.now.Add(250 * time.Millisecond)
		for ix := quarter; ix < len(requests); ix += 4 {
			sim.load.Add(sim.now, requests[ix], 1)
		}
		sim.load.Refresh(sim.now)
		for _, mv := range balance.Plan(sim.load, sim.shares, sim.targets, budget) {
			sim.apply(mv)
		}
	}
}

// apply moves keys to their new owner.
func (sim *simulation) apply(mv balance.Move) {
	sim.moves++
	var shares []balance.Share
	for _, sh := range sim.shares {
		if !sh.Contains(mv.Keys.From) {
			shares = append(shares, sh)
			continue
		}
		if sh.From < mv.Keys.From {
			shares = append(shares, balance.Share{Owner: sh.Owner, Range: keyspace.Range{From: sh.From, To: mv.Keys.From - 1}})
		}
		shares = append(shares, balance.Share{Owner: mv.To, Range: mv.Keys})
		if mv.Keys.To < sh.To {
			shares = append(shares, balance.Share{Owner: sh.Owner, Range: keyspace.Range{From: mv.Keys.To + 1, To: sh.To}})
		}
	}
	sim.shares = shares
}

// rates counts the requests that each target would receive.
func (sim *simulation) rates(requests []keyspace.Key) map[ident.Upstream]int {
	rates := map[ident.Upstream]int{}
	for _, ky := range requests {
		for _, sh := range sim.shares {
			if sh.Contains(ky) {
				rates[sh.Owner]++
			}
		}
	}
	return rates
}

// TestSkewedLoadIsEvenedOut sends half of the requests to a tenth of the keys
// and checks that no target receives more than 1.6 times the mean.
func TestSkewedLoadIsEvenedOut(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	sim := newSimulation(10, 20)
	second := func() []keyspace.Key {
		requests := make([]keyspace.Key, 120)
		for ix := range requests {
			requests[ix] = keyspace.Key(rng.Intn(keyspace.Count))
			if ix%2 == 0 {
				requests[ix] = keyspace.Key(20000 + rng.Intn(keyspace.Count/10))
			}
		}
		return requests
	}
	for range 8 {
		sim.runSecond(second(), 3)
	}
	var all []keyspace.Key
	for range 20 {
		all = append(all, second()...)
	}
	for id, count := range sim.rates(all) {
		gm.Expect(count).To(BeNumerically("<=", 20*12*16/10), "%s received %d requests, the mean is %d", id, count, 20*12)
	}
}

// TestHotKeyIsIsolated sends one key twice the requests that a target can
// answer. Within three seconds its target must own almost no other keys.
func TestHotKeyIsIsolated(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	sim := newSimulation(10, 10)
	second := func(hot int) []keyspace.Key {
		requests := make([]keyspace.Key, 50)
		for ix := range requests {
			requests[ix] = keyspace.Key(rng.Intn(keyspace.Count))
			if ix < hot {
				requests[ix] = 30007
			}
		}
		return requests
	}
	for range 5 {
		sim.runSecond(second(0), 3)
	}
	for range 3 {
		sim.runSecond(second(20), 3)
	}
	var owner ident.Upstream
	width := 0
	for _, sh := range sim.shares {
		if sh.Contains(30007) {
			owner = sh.Owner
		}
	}
	for _, sh := range sim.shares {
		if sh.Owner == owner {
			width += sh.Len()
		}
	}
	gm.Expect(width).To(BeNumerically("<", keyspace.Count/100), "number of keys that %s owns with the hot one", owner)
}

// TestOrphanedSharesGetNewOwners checks that every orphaned share is assigned to
// one of the targets, and that no target owns half of all keys.
func TestOrphanedSharesGetNewOwners(t *testing.T) {
	gm := NewWithT(t)
	sim := newSimulation(6, 10)
	for ix := range sim.shares[:3] {
		sim.shares[ix].Orphaned = true
	}
	sim.targets = sim.targets[3:]
	sim.load.Refresh(sim.now)
	for _, mv := range balance.Plan(sim.load, sim.shares, sim.targets, 0) {
		sim.apply(mv)
	}
	width := map[ident.Upstream]int{}
	for _, sh := range sim.shares {
		width[sh.Owner] += sh.Len()
	}
	gm.Expect(width).To(HaveLen(3))
	for id, keys := range width {
		gm.Expect(keys).To(BeNumerically("<", keyspace.Count/2), "number of keys that %s owns", id)
	}
}

// TestNoiseMovesFewKeys checks that random variation of an even load causes at
// most five moves.
func TestNoiseMovesFewKeys(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	sim := newSimulation(10, 10)
	for range 20 {
		requests := make([]keyspace.Key, 30)
		for ix := range requests {
			requests[ix] = keyspace.Key(rng.Intn(keyspace.Count))
		}
		sim.runSecond(requests, 3)
	}
	gm.Expect(sim.moves).To(BeNumerically("<=", 5))
}

// TestNewTargetGetsKeys checks that a target without keys gets some, whatever
// the load.
func TestNewTargetGetsKeys(t *testing.T) {
	gm := NewWithT(t)
	sim := newSimulation(5, 10)
	sim.targets = append(sim.targets, balance.Target{ID: "new", Capacity: 1})
	sim.runSecond([]keyspace.Key{1, 2, 3}, 3)
	owns := false
	for _, sh := range sim.shares {
		owns = owns || sh.Owner == "new"
	}
	gm.Expect(owns).To(BeTrue())
}

// TestWholeSharesAreNotSplit checks that a service that has reached its limit of
// shares is still balanced, without further splits.
func TestWholeSharesAreNotSplit(t *testing.T) {
	gm := NewWithT(t)
	now := clock.Instant(time.Hour)
	ld := balance.NewLoad(now)
	var shares []balance.Share
	var targets []balance.Target
	owners := []ident.Upstream{"a", "b", "c", "d"}
	for ix := range 16 {
		rg := keyspace.Range{From: keyspace.Key(ix * 4096), To: keyspace.Key(ix*4096 + 4095)}
		owner := owners[min(ix/5, 2)]
		shares = append(shares, balance.Share{Range: rg, Owner: owner, Orphaned: ix == 3})
		for step := range 40 {
			ld.Add(now, rg.From+keyspace.Key(step*100), 3)
		}
	}
	for _, id := range owners {
		targets = append(targets, balance.Target{ID: id, Capacity: 400})
	}
	ld.Refresh(now.Add(time.Second))
	moves := balance.Plan(ld, shares, targets, 6, balance.WholeShares())
	gm.Expect(moves).NotTo(BeEmpty())
	given := map[ident.Upstream]int{}
	for _, mv := range moves {
		given[mv.To]++
		gm.Expect(slices.ContainsFunc(shares, func(sh balance.Share) bool { return sh.Range == mv.Keys })).To(BeTrue(), "%v is not a whole share", mv.Keys)
	}
	gm.Expect(given["d"]).To(BeNumerically(">", 0), "moves to the upstream without keys")
}
