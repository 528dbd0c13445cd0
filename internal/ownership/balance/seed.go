package balance

import (
	"chervilwalk/internal/base/keyspace"
)

// seedEmpty plans a move of some keys to a target without keys, whatever the load.
// They come from the busiest target that has a range of about the wanted rate, so
// that no hot key goes to a target of which little is known. It returns false if
// there is none to plan.
func (pl *plan) seedEmpty(order []*target) bool {
	for _, to := range pl.targets {
		if len(to.shares) > 0 || pl.seeded[to] || to.Unreached {
			continue
		}
		pl.seeded[to] = true
		if rg, from := pl.seed(order, to); from != nil {
			pl.move(rg, from, to, NewTarget)
			return true
		}
	}
	return false
}

// seed returns the range that a target without keys receives first, and its owner, nil
// if there is no such range.
func (pl *plan) seed(order []*target, to *target) (best keyspace.Range, owner *target) {
	wanted := initialFraction * max(pl.meanUtilization, 0.01) * to.Capacity
	highest := 0.0
	for _, from := range order {
		if from == to {
			continue
		}
		if pl.wholeShares {
			if rg, ok := shortestMovable(from.shares); ok {
				return rg, from
			}
			continue
		}
		for _, sh := range from.shares {
			if sh.Fixed || sh.From == sh.To {
				continue
			}
			for _, part := range []func(keyspace.Range, float64) (keyspace.Range, bool){pl.load.prefix, pl.load.suffix} {
				rg, ok := part(sh.Range, wanted)
				if !ok {
					continue
				}
				if rg == sh.Range {
					rg.To = rg.From + keyspace.Key((rg.Len()-1)/2)
				}
				if rate := pl.load.Rate(rg); rate > highest {
					best, owner, highest = rg, from, rate
				}
			}
		}
		if highest >= wanted/2 {
			break
		}
	}
	return best, owner
}

// shortestMovable returns the shortest share that isn't fixed. It returns false
// if there is none, or fewer than two shares in all.
func shortestMovable(shares []Share) (keyspace.Range, bool) {
	var best *Share
	for ix := range shares {
		if sh := &shares[ix]; !sh.Fixed && (best == nil || sh.Len() < best.Len()) {
			best = sh
		}
	}
	if best == nil || len(shares) < 2 {
		return keyspace.Range{}, false
	}
	return best.Range, true
}
