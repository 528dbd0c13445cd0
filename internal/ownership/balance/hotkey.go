package balance

import (
	"chervilwalk/internal/base/keyspace"
)

// isolateHotKeys moves the keys that share their owner with a hot key to targets that
// can answer them. Their requests would wait in its queue. To move the hot key instead
// would make its own requests wait and only shift the problem.
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
		for _, rg := range from.rangesWithout(hot) {
			for _, piece := range pl.split(rg) {
				if to := pl.leastUtilized(piece, from); to != from && to.utilizationAt(to.rate+pl.load.Rate(piece)) < 1 {
					pl.move(piece, from, to)
				}
			}
		}
	}
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
