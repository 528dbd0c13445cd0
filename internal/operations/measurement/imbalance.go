// Package measurement runs the decision cores in virtual time and reports what
// the operators' promises cost: load imbalance, churn, time unserved.
//
//	im := measurement.MeasureImbalance(measurement.Popularity{Seed: 1, Hours: 3})
//	fmt.Println(im.Following.Mean, im.Static.Mean)
package measurement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/slice"
)

const (
	// zipfExponent shapes the popularity of keys; the hottest key stays below
	// one upstream's even share, since a key has one owner.
	zipfExponent = 0.8
	// hotKeys is how many of the hottest keys change places at a shift.
	hotKeys = 33
	// planSeconds is the time between two plans, in seconds.
	planSeconds = 5
	// settleTime is left out of the figures at the start.
	settleTime = 5 * time.Minute
)

// Popularity is a load whose hottest keys change by the hour.
type Popularity struct {
	Seed              uint64
	Hours             int
	Upstreams         int
	Slices            uint32
	Keys              int
	RequestsPerSecond int
}

// Mushi is the load on the larger fleet's keyed service.
func Mushi(seed uint64) Popularity {
	return Popularity{Seed: seed, Hours: 3, Upstreams: 20, Slices: 256, Keys: 50_000, RequestsPerSecond: 400}
}

// Spread is what one policy made of a load. Imbalance is the highest load of an
// upstream over the mean, minute by minute.
type Spread struct {
	Mean          float64
	Worst         float64
	Moves         int
	LeastPossible float64
}

// Imbalance compares the policies on the same requests.
type Imbalance struct {
	Following Spread
	Static    Spread
}

// MeasureImbalance runs static hashing and load following over one load.
func MeasureImbalance(po Popularity) Imbalance {
	every := slice.NewBudget(int(po.Slices), time.Second)
	return Imbalance{
		Following: po.run(slice.NewFollowing[slice.Item, ident.Upstream]("lookup"), true),
		Static:    po.run(slice.NewStatic[slice.Item, ident.Upstream]("lookup", every), false),
	}
}

// keyspace draws keys by Zipf; a shift gives the hottest ranks to other keys.
type keyspace struct {
	rand       *rand.Rand
	cumulative []float64
	keys       []ident.Key
}

func newKeyspace(po Popularity) *keyspace {
	ks := &keyspace{rand: rand.New(rand.NewPCG(po.Seed, 1))}
	sum := 0.0
	for rank := range po.Keys {
		sum += math.Pow(float64(rank+1), -zipfExponent)
		ks.cumulative = append(ks.cumulative, sum)
		ks.keys = append(ks.keys, ident.Key(fmt.Sprintf("batch-%d", rank)))
	}
	return ks
}

// shift exchanges the hottest keys with ones drawn from all others.
func (ks *keyspace) shift() {
	for rank := range hotKeys {
		other := hotKeys + ks.rand.IntN(len(ks.keys)-hotKeys)
		ks.keys[rank], ks.keys[other] = ks.keys[other], ks.keys[rank]
	}
}

func (ks *keyspace) draw() ident.Key {
	last := ks.cumulative[len(ks.cumulative)-1]
	return ks.keys[sort.SearchFloat64s(ks.cumulative, ks.rand.Float64()*last)]
}

// placed is one pool under a policy.
type placed struct {
	policy slice.Policy[slice.Item, ident.Upstream]
	state  slice.State[slice.Item, ident.Upstream]
	meters map[ident.Slice]*slice.Meter
	hot    *slice.Hot[ident.Key]
	count  uint32
	counts map[ident.Upstream]int
}

func (po Popularity) newPlaced(pc slice.Policy[slice.Item, ident.Upstream], hot bool) *placed {
	pd := &placed{
		policy: pc, count: po.Slices,
		meters: map[ident.Slice]*slice.Meter{},
		counts: map[ident.Upstream]int{},
		state: slice.State[slice.Item, ident.Upstream]{
			Owners: map[slice.Item]ident.Upstream{}, Load: map[slice.Item]float64{},
		},
	}
	if hot {
		pd.hot = slice.NewHot[ident.Key]()
	}
	for sl := range ident.Slice(po.Slices) {
		pd.meters[sl] = &slice.Meter{}
		pd.state.Items = append(pd.state.Items, slice.Item{Slice: sl})
	}
	for nr := range po.Upstreams {
		name := ident.Upstream(fmt.Sprintf("lookup-%02d", nr+1))
		pd.state.Targets = append(pd.state.Targets, slice.Target[ident.Upstream]{Name: name, Capacity: 2, Ramp: 1})
	}
	return pd
}

// serve counts one request at the owner of its key.
func (pd *placed) serve(now clock.Instant, key ident.Key) {
	sl := ident.SliceOf(key, pd.count)
	own := slice.Item{Slice: sl, Key: key}
	if pd.hot != nil {
		pd.hot.Observe(now, key, 1)
	}
	owner, alone := pd.state.Owners[own]
	if !alone {
		owner = pd.state.Owners[slice.Item{Slice: sl}]
		pd.meters[sl].Add(now, 1)
	}
	pd.counts[owner]++
}

// plan lets the policy move items and returns how many it moved; the first
// owner of an item that had none costs no move.
func (pd *placed) plan(now clock.Instant) int {
	pd.promote(now)
	for sl, me := range pd.meters {
		pd.state.Load[slice.Item{Slice: sl}] = me.Value(now)
	}
	moves := 0
	for _, mv := range pd.policy.Plan(now, pd.state) {
		if _, owned := pd.state.Owners[mv.Item]; owned {
			moves++
		}
		pd.state.Owners[mv.Item] = mv.To
	}
	return moves
}

// promote gives hot keys an item of their own, at first with their slice's
// owner, and returns cooled ones to their slice.
func (pd *placed) promote(now clock.Instant) {
	if pd.hot == nil {
		return
	}
	keep := map[slice.Item]bool{}
	for _, key := range pd.hot.Keys(now, len(pd.state.Targets)) {
		it := slice.Item{Slice: ident.SliceOf(key, pd.count), Key: key}
		keep[it] = true
		if _, ok := pd.state.Owners[it]; !ok {
			pd.state.Items = append(pd.state.Items, it)
			pd.state.Owners[it] = pd.state.Owners[slice.Item{Slice: it.Slice}]
		}
		pd.state.Load[it] = pd.hot.Load(now, key)
	}
	pd.state.Items = slices.DeleteFunc(pd.state.Items, func(it slice.Item) bool {
		gone := it.Key != "" && !keep[it]
		if gone {
			delete(pd.state.Owners, it)
			delete(pd.state.Load, it)
		}
		return gone
	})
}

func (po Popularity) run(pc slice.Policy[slice.Item, ident.Upstream], hot bool) Spread {
	ks, pd := newKeyspace(po), po.newPlaced(pc, hot)
	last := ks.cumulative[len(ks.cumulative)-1]
	sp := Spread{LeastPossible: max(1, ks.cumulative[0]/last*float64(po.Upstreams))}
	minutes, now := 0, clock.Instant(0)
	pd.plan(now)
	for second := 1; second <= po.Hours*3600; second++ {
		for range po.RequestsPerSecond {
			pd.serve(now, ks.draw())
		}
		now = now.Add(time.Second)
		if second%planSeconds == 0 {
			sp.Moves += pd.plan(now)
		}
		if second%60 == 0 {
			if now >= clock.Instant(settleTime) {
				minutes++
				sp.add(pd)
			}
			clear(pd.counts)
		}
		if second%3600 == 0 {
			ks.shift()
		}
	}
	sp.Mean /= float64(max(minutes, 1))
	return sp
}

// add takes one minute into the figures.
func (sp *Spread) add(pd *placed) {
	total, highest := 0, 0
	for _, count := range pd.counts {
		total += count
		highest = max(highest, count)
	}
	if total == 0 {
		return
	}
	ratio := float64(highest) * float64(len(pd.state.Targets)) / float64(total)
	sp.Mean += ratio
	sp.Worst = max(sp.Worst, ratio)
}
