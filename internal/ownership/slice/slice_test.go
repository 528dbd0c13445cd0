package slice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/slice"
)

type (
	target = slice.Target[ident.Upstream]
	state  = slice.State[slice.Item, ident.Upstream]
	move   = slice.Move[slice.Item, ident.Upstream]
)

func targets(count int) []target {
	var list []target
	for nr := range count {
		list = append(list, target{Name: ident.Upstream(fmt.Sprintf("u%02d", nr)), Capacity: 2, Ramp: 1})
	}
	return list
}

func items(count int) []slice.Item {
	list := make([]slice.Item, count)
	for nr := range list {
		list[nr].Slice = ident.Slice(nr)
	}
	return list
}

func carry(st state, moves []move) {
	for _, mv := range moves {
		st.Owners[mv.Item] = mv.To
	}
}

// When a target's weight changes, only that target gains or loses items.
func TestHomeMovesOnlyForTheTargetThatChanged(t *testing.T) {
	cases := map[string]struct{ before, after float64 }{
		"joins":       {0, 1},
		"leaves":      {1, 0},
		"ramps up":    {0.2, 0.7},
		"ramps fully": {0.9, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			before, after := targets(20), targets(20)
			before[7].Ramp, after[7].Ramp = tc.before, tc.after
			moved := 0
			for _, it := range items(4096) {
				from, _ := slice.Home("lookup", it.String(), before)
				to, _ := slice.Home("lookup", it.String(), after)
				if from == to {
					continue
				}
				moved++
				changed := after[7].Name
				gm.Expect(from == changed || to == changed).To(BeTrue())
				gm.Expect(to == changed).To(Equal(tc.after > tc.before))
			}
			gm.Expect(moved).To(BeNumerically(">", 0))
		})
	}
}

func TestHomeFollowsWeights(t *testing.T) {
	gm := NewWithT(t)
	list := targets(2)
	list[1].Capacity = 6
	count := map[ident.Upstream]int{}
	for _, it := range items(8192) {
		home, ok := slice.Home("lookup", it.String(), list)
		gm.Expect(ok).To(BeTrue())
		count[home]++
	}
	gm.Expect(count["u01"]).To(BeNumerically("~", 8192*3/4, 8192/40))
	_, ok := slice.Home("lookup", "slice/0", []target{{Name: "u00", Capacity: 2}})
	gm.Expect(ok).To(BeFalse())
}

// After a loss, orphans move at once and nothing else does beyond the budget.
func TestLossMovesOrphansOnly(t *testing.T) {
	policies := map[string]slice.Policy[slice.Item, ident.Upstream]{
		"static":    slice.NewStatic[slice.Item, ident.Upstream]("s", slice.NewBudget(0, time.Second)),
		"following": slice.NewFollowing("s", slice.WithBudget[slice.Item, ident.Upstream](slice.NewBudget(0, time.Second))),
	}
	for name, pc := range policies {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			st := state{Items: items(256), Owners: map[slice.Item]ident.Upstream{}, Targets: targets(8)}
			carry(st, pc.Plan(0, st))
			gm.Expect(st.Owners).To(HaveLen(256))
			lost := st.Targets[3].Name
			st.Targets = append(st.Targets[:3:3], st.Targets[4:]...)
			for _, mv := range pc.Plan(0, st) {
				gm.Expect(mv.From).To(Equal(lost))
				gm.Expect(mv.To).NotTo(Equal(lost))
				gm.Expect(mv.Reason).To(Equal(slice.Orphan))
			}
		})
	}
}

// Over any run of loads and joins, no interval holds more moves than the budget,
// every item has an owner, and a plan never raises the highest use.
func TestFollowingKeepsItsBudget(t *testing.T) {
	const allowed, every = 3, 5 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		pc := slice.NewFollowing("s", slice.WithBudget[slice.Item, ident.Upstream](slice.NewBudget(allowed, every)))
		st := state{Items: items(64), Owners: map[slice.Item]ident.Upstream{}, Load: map[slice.Item]float64{}, Targets: targets(8)}
		now := clock.Instant(0)
		var spent []clock.Instant
		for range rapid.IntRange(5, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "millis")) * time.Millisecond)
			it := st.Items[rapid.IntRange(0, 63).Draw(rt, "item")]
			st.Load[it] = float64(rapid.IntRange(0, 1000).Draw(rt, "load"))
			st.Targets[rapid.IntRange(1, 7).Draw(rt, "target")].Ramp = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(rt, "ramp")
			moves := pc.Plan(now, st)
			carry(st, moves)
			for _, mv := range moves {
				if mv.Reason != slice.Orphan {
					spent = append(spent, now)
				}
			}
			if len(spent) > allowed && spent[len(spent)-1].Sub(spent[len(spent)-1-allowed]) < every {
				rt.Fatalf("%d moves within %v", allowed+1, every)
			}
			if len(st.Owners) != 64 {
				rt.Fatalf("%d of 64 items have an owner", len(st.Owners))
			}
		}
	})
}

func TestFollowingEvensOutASkewedLoad(t *testing.T) {
	gm := NewWithT(t)
	pc := slice.NewFollowing[slice.Item, ident.Upstream]("s")
	st := state{Items: items(256), Owners: map[slice.Item]ident.Upstream{}, Load: map[slice.Item]float64{}, Targets: targets(16)}
	carry(st, pc.Plan(0, st))
	for _, it := range st.Items {
		st.Load[it] = 1
	}
	for _, it := range st.Items[:33] {
		st.Load[it] = 8
	}
	for now := clock.Instant(0); now < clock.Instant(2*time.Minute); now = now.Add(time.Second) {
		carry(st, pc.Plan(now, st))
	}
	sums := map[ident.Upstream]float64{}
	total := 0.0
	for it, up := range st.Owners {
		sums[up] += st.Load[it]
		total += st.Load[it]
	}
	for _, sum := range sums {
		gm.Expect(sum).To(BeNumerically("<=", 1.25*total/16))
	}
}

// The 33 hottest keys among many are found within a minute, and returned once
// others have taken their place.
func TestHotKeysAreFoundAndReturned(t *testing.T) {
	gm := NewWithT(t)
	rn := rand.New(rand.NewPCG(1, 2))
	ho := slice.NewHot[ident.Key]()
	now := clock.Instant(0)
	run := func(prefix string) {
		for range 60 * 200 {
			now = now.Add(5 * time.Millisecond)
			key := ident.Key(fmt.Sprintf("cold-%d", rn.IntN(100_000)))
			if rn.IntN(2) == 0 {
				key = ident.Key(fmt.Sprintf("%s-%d", prefix, rn.IntN(33)))
			}
			ho.Observe(now, key, 1)
		}
	}
	for _, prefix := range []string{"first", "second"} {
		run(prefix)
		keys := ho.Keys(now, 32)
		gm.Expect(keys).To(HaveLen(33))
		for _, key := range keys {
			gm.Expect(string(key)).To(HavePrefix(prefix))
		}
	}
	now = now.Add(24 * time.Hour)
	ho.Observe(now, "one", 1)
	gm.Expect(ho.Keys(now, 32)).To(BeEmpty())
	gm.Expect(ho.Total(now)).To(BeNumerically("~", 1, 1e-6))
}
