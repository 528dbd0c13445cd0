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

// field is a service whose moves take effect at once.
type field struct {
	now     clock.Instant
	load    *balance.Load
	shares  []balance.Share
	targets []balance.Target
	moved   int
}

func newField(targets int, capacity float64) *field {
	fd := &field{now: clock.Instant(time.Hour)}
	fd.load = balance.NewLoad(fd.now)
	for ix := range targets {
		id := ident.Upstream(fmt.Sprintf("u%d", ix))
		fd.targets = append(fd.targets, balance.Target{ID: id, Capacity: capacity})
		fd.shares = append(fd.shares, balance.Share{Owner: id, Range: keyspace.Range{
			From: keyspace.Key(ix * keyspace.Count / targets), To: keyspace.Key((ix+1)*keyspace.Count/targets - 1),
		}})
	}
	return fd
}

// second plays one second of load, with a plan each quarter of it.
func (fd *field) second(requests []keyspace.Key, budget int) {
	for quarter := range 4 {
		fd.now = fd.now.Add(250 * time.Millisecond)
		for ix := quarter; ix < len(requests); ix += 4 {
			fd.load.Add(fd.now, requests[ix], 1)
		}
		fd.load.Refresh(fd.now)
		for _, mv := range balance.Plan(fd.load, fd.shares, fd.targets, budget) {
			fd.apply(mv)
		}
	}
}

func (fd *field) apply(mv balance.Move) {
	fd.moved++
	var shares []balance.Share
	for _, sh := range fd.shares {
		if !sh.Holds(mv.Keys.From) {
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
	fd.shares = shares
}

// rates are the requests of one second at each target.
func (fd *field) rates(requests []keyspace.Key) map[ident.Upstream]int {
	rates := map[ident.Upstream]int{}
	for _, ky := range requests {
		for _, sh := range fd.shares {
			if sh.Holds(ky) {
				rates[sh.Owner]++
			}
		}
	}
	return rates
}

// TestSkewedLoad plays a load in which a tenth of the keys has half of the
// requests, and asks that no target ends with far more than its part.
func TestSkewedLoad(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	fd := newField(10, 20)
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
		fd.second(second(), 3)
	}
	var all []keyspace.Key
	for range 20 {
		all = append(all, second()...)
	}
	for id, count := range fd.rates(all) {
		gm.Expect(count).To(BeNumerically("<=", 20*12*16/10), "%s has %d of a mean of %d", id, count, 20*12)
	}
}

// TestHotKey plays one key that alone is more than a target bears, and asks
// that within two seconds nearly nothing else is left at its target.
func TestHotKey(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	fd := newField(10, 10)
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
		fd.second(second(0), 3)
	}
	for range 3 {
		fd.second(second(20), 3)
	}
	var owner ident.Upstream
	width := 0
	for _, sh := range fd.shares {
		if sh.Holds(30007) {
			owner = sh.Owner
		}
	}
	for _, sh := range fd.shares {
		if sh.Owner == owner {
			width += sh.Len()
		}
	}
	gm.Expect(width).To(BeNumerically("<", keyspace.Count/100), "keys beside the hot one at %s", owner)
}

// TestOrphans asks that every orphaned key gets an owner that may own it.
func TestOrphans(t *testing.T) {
	gm := NewWithT(t)
	fd := newField(6, 10)
	for ix := range fd.shares[:3] {
		fd.shares[ix].Orphaned = true
	}
	fd.targets = fd.targets[3:]
	fd.load.Refresh(fd.now)
	for _, mv := range balance.Plan(fd.load, fd.shares, fd.targets, 0) {
		fd.apply(mv)
	}
	width := map[ident.Upstream]int{}
	for _, sh := range fd.shares {
		width[sh.Owner] += sh.Len()
	}
	gm.Expect(width).To(HaveLen(3))
	for id, keys := range width {
		gm.Expect(keys).To(BeNumerically("<", keyspace.Count/2), "%s", id)
	}
}

// TestCalmLoad asks that chance alone moves nothing.
func TestCalmLoad(t *testing.T) {
	gm := NewWithT(t)
	rng := rand.New(rand.NewSource(1))
	fd := newField(10, 10)
	for range 20 {
		requests := make([]keyspace.Key, 30)
		for ix := range requests {
			requests[ix] = keyspace.Key(rng.Intn(keyspace.Count))
		}
		fd.second(requests, 3)
	}
	gm.Expect(fd.moved).To(BeNumerically("<=", 5))
}

// TestNewTarget asks that a target without keys gets some, whatever the load.
func TestNewTarget(t *testing.T) {
	gm := NewWithT(t)
	fd := newField(5, 10)
	fd.targets = append(fd.targets, balance.Target{ID: "new", Capacity: 1})
	fd.second([]keyspace.Key{1, 2, 3}, 3)
	owns := false
	for _, sh := range fd.shares {
		owns = owns || sh.Owner == "new"
	}
	gm.Expect(owns).To(BeTrue())
}

// TestWholeSharesStayWhole asks that a service whose keys are cut as finely as
// they may be still follows its load, without more shares.
func TestWholeSharesStayWhole(t *testing.T) {
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
		gm.Expect(slices.ContainsFunc(shares, func(sh balance.Share) bool { return sh.Range == mv.Keys })).To(BeTrue(), "%v is a share", mv.Keys)
	}
	gm.Expect(given["d"]).To(BeNumerically(">", 0), "an upstream without keys gets some")
}
