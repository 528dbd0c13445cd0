// Package slice places the parts of a key space: on pools across domains, and
// on upstreams inside a pool.
//
// Every policy is a Policy over items (slices and hot keys) and targets, so
// that static hashing and load following run through the same code:
//
//	pc := slice.NewFollowing[slice.Item, ident.Upstream]()
//	for _, mv := range pc.Plan(now, slice.State[slice.Item, ident.Upstream]{…}) {
//		order(mv.Item, mv.To)
//	}
package slice

import (
	"cmp"
	"fmt"
	"math"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
)

// Item is what is placed: a slice, or one hot key of it on its own.
type Item struct {
	Slice ident.Slice
	// Key is empty for the slice itself.
	Key ident.Key
}

// String names the item for hashing.
func (it Item) String() string {
	if it.Key == "" {
		return fmt.Sprintf("slice/%d", it.Slice)
	}
	return "key/" + string(it.Key)
}

// Target is what items are placed on.
type Target[T ~string] struct {
	Name T
	// Capacity is the share that it may carry, in any unit common to all.
	Capacity float64
	// Ramp is the part of its capacity that it bears now, from 0 to 1; it is
	// below 1 while its upstreams are cold.
	Ramp float64
}

// weight is the capacity that counts now.
func (tg Target[T]) weight() float64 {
	return tg.Capacity * tg.Ramp
}

// State is what a plan starts from. A policy does not change it.
type State[I Placeable, T ~string] struct {
	// Items are all that must have an owner, in a fixed order.
	Items  []I
	Owners map[I]T
	// Load is the decayed load of each item, in any unit common to all.
	Load    map[I]float64
	Targets []Target[T]
}

// Placeable is an item that can be hashed by its name.
type Placeable interface {
	comparable
	String() string
}

// Reason says why an item moves.
type Reason int

const (
	// Orphan moves an item that has no owner among the targets.
	Orphan Reason = iota
	// Homecoming moves an item to the target that hashing gives it.
	Homecoming
	// Balance moves an item off the target with the most load.
	Balance
)

// Move gives an item to a target.
type Move[I Placeable, T ~string] struct {
	Item   I
	From   T
	To     T
	Reason Reason
}

// Policy decides which items move. Orphans move at once; all else is bounded
// by the policy's budget.
type Policy[I Placeable, T ~string] interface {
	Plan(now clock.Instant, st State[I, T]) []Move[I, T]
}

// Home is the target that weighted rendezvous hashing gives an item. When one
// target's weight rises only that target gains items, and when it falls only
// that target loses some. The answer is false when no target has weight.
func Home[T ~string](scope, item string, targets []Target[T]) (T, bool) {
	var best T
	bestScore, found := 0.0, false
	for _, tg := range targets {
		if tg.weight() <= 0 {
			continue
		}
		score := score(scope+"/"+item, string(tg.Name), tg.weight())
		if !found || score > bestScore || (score == bestScore && cmp.Less(tg.Name, best)) {
			best, bestScore, found = tg.Name, score, true
		}
	}
	return best, found
}

// score is −weight ÷ ln(u) with u uniform in (0, 1) by hash: the probability
// that a target has the highest score is its share of all weights.
func score(item, candidate string, weight float64) float64 {
	const mantissaBits = 53
	uniform := (float64(ident.Weight(item, candidate)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(uniform)
}
