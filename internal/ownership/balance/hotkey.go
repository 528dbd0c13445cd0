package balance

import (
	"slices"

	"chervilwalk/internal/base/keyspace"
)

// minSpeedup is how many times as many requests another target must answer for a hot key
// to move there.
const minSpeedup = 1.25

// isolateHotKeys gives each hot key a target of its own: the fastest one if that answers so
// many more of its requests that its callers get back what the release costs them, else the
// one that has it. The other keys of that target move to targets that can answer them, as
// their requests would wait in its queue.
func (pl *plan) isolateHotKeys() {
	if pl.wholeShares || len(pl.targets) < 2 {
		return
	}
	for _, from := range pl.byUtilization() {
		if !pl.overloaded(from) {
			return
		}
		hot, found := pl.hotKey(from)
		if !found {
			continue
		}
		owner := pl.fastest(from)
		if owner != from {
			pl.move(keyspace.Range{From: hot, To: hot}, from, owner, HotKey)
		}
		for _, rg := range owner.rangesWithout(hot) {
			for _, piece := range pl.split(rg) {
				if to := pl.leastUtilized(piece, owner); to != owner && to.utilizationAt(to.rate+pl.load.Rate(piece)) < 1 {
					pl.move(piece, owner, to, Neighbor)
				}
			}
		}
	}
}

// fastest returns the reached target with the highest capacity that has no hot key, or from
// if a hot key had better stay there.
func (pl *plan) fastest(from *target) *target {
	best, capacity := from, from.Capacity*max(minSpeedup, 1+from.ReleaseTime.Seconds()/paybackTime.Seconds())
	for _, tg := range pl.targets {
		if tg.Unreached || tg.Capacity < capacity || best != from && tg.Capacity == capacity {
			continue
		}
		if _, found := pl.hotKey(tg); !found && !tg.receives() {
			best, capacity = tg, tg.Capacity
		}
	}
	return best
}

// receives reports whether keys are on their way to the target, one of which may be hot.
func (tg *target) receives() bool {
	return slices.ContainsFunc(tg.shares, func(sh Share) bool { return sh.Fixed })
}

// rangesWithout returns the target's ranges, less those on the move and one key.
func (tg *target) rangesWithout(ky keyspace.Key) []keyspace.Range {
	var ranges []keyspace.Range
	for _, sh := range tg.shares {
		switch {
		case sh.Fixed:
		case !sh.Contains(ky):
			ranges = append(ranges, sh.Range)
		default:
			if sh.From < ky {
				ranges = append(ranges, keyspace.Range{From: sh.From, To: ky - 1})
			}
			if ky < sh.To {
				ranges = append(ranges, keyspace.Range{From: ky + 1, To: sh.To})
			}
		}
	}
	return ranges
}

// hotKey returns the busiest key of a target if that key alone takes hotFraction of
// its capacity. Keys on the move don't count: they are not the target's yet.
func (pl *plan) hotKey(tg *target) (keyspace.Key, bool) {
	var hot keyspace.Key
	highest := hotFraction * tg.Capacity
	found := false
	for _, sh := range tg.shares {
		if ky, rate := pl.load.hottest(sh.Range); rate >= highest && !sh.Fixed {
			hot, highest, found = ky, rate, true
		}
	}
	return hot, found
}

// leastUtilized returns the reached target other than from that is least utilized with a
// range, from if there is none.
func (pl *plan) leastUtilized(rg keyspace.Range, from *target) *target {
	rate := pl.load.Rate(rg)
	best := from
	for _, tg := range pl.targets {
		if tg != from && !tg.Unreached && (best == from || tg.utilizationAt(tg.rate+rate) < best.utilizationAt(best.rate+rate)) {
			best = tg
		}
	}
	return best
}
