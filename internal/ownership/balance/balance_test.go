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
		sim.runQuarter(requests, quarter, budget)
	}
}

// runQuarter simulates a quarter of a second with every fourth request.
func (sim *simulation) runQuarter(requests []keyspace.Key, quarter, budget int) {
	sim.now = sim.now.Add(250 * time.Millisecond)
	for ix := quarter; ix < len(requests); ix += 4 {
		sim.load.Add(sim.now, requests[ix], 1)
	}
	sim.load.Refresh(sim.now)
	for _, mv := range balance.Plan(sim.load, sim.shares, sim.targets, budget) {
		sim.apply(mv)
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

// ownerOf returns the owner of a key.
func (sim *simulation) ownerOf(ky keyspace.Key) ident.Upstream {
	ix := slices.IndexFunc(sim.shares, func(sh balance.Share) bool { return sh.Contains(ky) })
	return sim.shares[ix].Owner
}

// owners returns the owners that a key has had while the load of a few seconds ran.
func (sim *simulation) owners(ky keyspace.Key, seconds, budget int, second func() []keyspace.Key) []ident.Upstream {
	var owners []ident.Upstream
	for range seconds {
		requests := second()
		for quarter := range 4 {
			sim.runQuarter(requests, quarter, budget)
			for _, sh := range sim.shares {
				if sh.Contains(ky) && (len(owners) == 0 || owners[len(owners)-1] != sh.Owner) {
					owners = append(owners, sh.Owner)
				}
			}
		}
	}
	return owners
}

// TestHotKeyStays sends one key far more requests than any target can answer while
// targets are added. Each move of the key would keep its requests waiting for nothing,
// and its neighbours must not share its queue.
func TestHotKeyStays(t *testing.T) {
	const hot = 30007
	for name, tc := range map[string]struct {
		hotPerSecond int
		firstKey     bool
		added        int
		capacity     float64
	}{
		"three times the capacity":            {30, false, 0, 0},
		"ten times the capacity":              {100, false, 0, 0},
		"beside empty targets":                {100, false, 4, 10},
		"first of its range, beside empty":    {100, true, 4, 10},
		"beside an empty target that is slow": {100, true, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rng := rand.New(rand.NewSource(1))
			sim := newSimulation(10, 10)
			if tc.firstKey {
				sim.apply(balance.Move{Keys: keyspace.Range{From: hot, To: hot + 2000}, To: "u4"})
				sim.moves = 0
			}
			second := func(hotCount int) func() []keyspace.Key {
				return func() []keyspace.Key {
					requests := make([]keyspace.Key, 50+hotCount)
					for ix := range requests {
						requests[ix] = keyspace.Key(rng.Intn(keyspace.Count))
						if ix < hotCount {
							requests[ix] = hot
						}
					}
					return requests
				}
			}
			sim.owners(hot, 5, 3, second(0))
			for ix := range tc.added {
				sim.targets = append(sim.targets, balance.Target{ID: ident.Upstream(fmt.Sprintf("new%d", ix)), Capacity: tc.capacity})
			}
			owners := sim.owners(hot, 4, 3, second(tc.hotPerSecond))
			gm.Expect(owners).To(HaveLen(1), "owners of the hot key")
			width := 0
			for _, sh := range sim.shares {
				if sh.Owner == owners[0] {
					width += sh.Len()
				}
			}
			gm.Expect(width).To(BeNumerically("<", keyspace.Count/100), "number of keys that %s owns with the hot one", owners[0])
			for ix := range tc.added {
				owns := slices.ContainsFunc(sim.shares, func(sh balance.Share) bool { return sh.Owner == ident.Upstream(fmt.Sprintf("new%d", ix)) })
				gm.Expect(owns).To(BeTrue(), "new%d must own keys", ix)
			}
		})
	}
}

// TestHotKeyGoesToTheFastest guards against a hot key whose owner answers few of its requests
// while another could answer more, and against one that goes on from target to target.
func TestHotKeyGoesToTheFastest(t *testing.T) {
	const hot = 30007
	for name, tc := range map[string]struct {
		fast    float64
		release time.Duration
		owner   ident.Upstream
	}{
		"twice as fast":                     {20, 300 * time.Millisecond, "u8"},
		"hardly faster":                     {11, 300 * time.Millisecond, "u4"},
		"a release longer than it pays for": {14, 2 * time.Second, "u4"},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rng := rand.New(rand.NewSource(1))
			sim := newSimulation(10, 10)
			sim.targets[8].Capacity = tc.fast
			for ix := range sim.targets {
				sim.targets[ix].ReleaseTime = tc.release
			}
			second := func() []keyspace.Key {
				requests := make([]keyspace.Key, 150)
				for ix := range requests {
					requests[ix] = hot
					if ix < 50 {
						requests[ix] = keyspace.Key(rng.Intn(keyspace.Count))
					}
				}
				return requests
			}
			owners := sim.owners(hot, 4, 3, second)
			gm.Expect(owners).To(Equal([]ident.Upstream{tc.owner}), "owners of the hot key")
			width := 0
			for _, sh := range sim.shares {
				if sh.Owner == tc.owner {
					width += sh.Len()
				}
			}
			gm.Expect(width).To(BeNumerically("<", keyspace.Count/100), "number of keys beside the hot one")
		})
	}
}

// TestNeighborsLeaveAtOnce guards against neighbours of a hot key that leave one after the
// other, and wait in its queue until then.
func TestNeighborsLeaveAtOnce(t *testing.T) {
	const hot = 30007
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	sim := newSimulation(40, 10)
	second := func(hotCount int) []keyspace.Key {
		requests := make([]keyspace.Key, 160+hotCount)
		for ix := range requests {
			requests[ix] = keyspace.Key(rng.Intn(keyspace.Count))
			if ix >= 160 {
				requests[ix] = hot
			}
		}
		return requests
	}
	for range 5 {
		sim.runSecond(second(0), 8)
	}
	requests := second(100)
	rng.Shuffle(len(requests), func(left, right int) { requests[left], requests[right] = requests[right], requests[left] })
	sim.runQuarter(requests, 0, 1)
	width := 0
	for _, sh := range sim.shares {
		if sh.Owner == sim.ownerOf(hot) {
			width += sh.Len()
		}
	}
	gm.Expect(width).To(BeNumerically("<", keyspace.Count/400), "number of keys beside the hot one after one plan")
}

// TestHotKeyHidesNoOtherLoad sends one key ten times what a target can answer and a
// range of another target twice as much. The range must be spread all the same.
func TestHotKeyHidesNoOtherLoad(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	sim := newSimulation(5, 10)
	busy := sim.shares[3].Range
	second := func() []keyspace.Key {
		requests := make([]keyspace.Key, 120)
		for ix := range requests {
			requests[ix] = 100
			if ix < 20 {
				requests[ix] = busy.From + keyspace.Key(rng.Intn(busy.Len()))
			}
		}
		return requests
	}
	for range 5 {
		sim.runSecond(second(), 3)
	}
	var all []keyspace.Key
	for range 20 {
		for _, ky := range second() {
			if busy.Contains(ky) {
				all = append(all, ky)
			}
		}
	}
	for id, count := range sim.rates(all) {
		gm.Expect(count).To(BeNumerically("<=", 20*10), "%s must not receive more than it can answer", id)
	}
}

// TestOverloadMovesFewKeys sends three times what all targets can answer, most of it to
// keys that would be hot on any of them. No move helps.
func TestOverloadMovesFewKeys(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	sim := newSimulation(10, 2)
	for second := range 20 {
		requests := make([]keyspace.Key, 60)
		for ix := range requests {
			requests[ix] = keyspace.Key(rng.Intn(20) * keyspace.Count / 20)
		}
		sim.runSecond(requests, 3)
		if second == 0 {
			// Until then the load is hardly known.
			sim.moves = 0
		}
	}
	gm.Expect(sim.moves).To(BeNumerically("<=", 5))
}

// TestSlowTargetKeepsItsKeys checks that keys don't go to and fro between a target that
// is far slower than the others and these.
func TestSlowTargetKeepsItsKeys(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	sim := newSimulation(10, 10)
	sim.targets[3].Capacity = 1
	second := func() []keyspace.Key {
		requests := make([]keyspace.Key, 30)
		for ix := range requests {
			requests[ix] = keyspace.Key(rng.Intn(keyspace.Count))
		}
		return requests
	}
	for range 10 {
		sim.runSecond(second(), 3)
	}
	sim.moves = 0
	for range 20 {
		sim.runSecond(second(), 3)
	}
	gm.Expect(sim.moves).To(BeNumerically("<=", 5))
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

// TestIdleKeysAreSpread guards against a target that owns most keys of a service without
// traffic, and gets all of its first requests.
func TestIdleKeysAreSpread(t *testing.T) {
	gm := NewWithT(t)
	sim := newSimulation(6, 60)
	for _, sh := range slices.Clone(sim.shares[1:3]) {
		rg := sh.Range
		sim.apply(balance.Move{Keys: keyspace.Range{From: rg.From + 100, To: rg.To}, To: "u0"})
	}
	for range 10 {
		sim.runSecond(nil, 3)
	}
	width := map[ident.Upstream]int{}
	for _, sh := range sim.shares {
		width[sh.Owner] += sh.Len()
	}
	for id, keys := range width {
		gm.Expect(keys).To(BeNumerically("<=", keyspace.Count/6*2), "number of keys that %s owns", id)
	}
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
