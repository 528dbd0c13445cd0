package permit

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
)

// usualMoveTime is how long keys take to move to their next owner, before any did.
const usualMoveTime = 200 * time.Millisecond

// newMoveShape returns the distribution of how long moves take, as ratios to usualMoveTime.
// Until moves have been seen, one that has taken longer than usual takes as long again: its
// owner is unreachable or busy with a long request.
func newMoveShape() latencyShape {
	var ls latencyShape
	for bin := int(binOf(1)); bin < binCount; bin++ {
		ls.weights[bin] = 1 / binCentre(bin)
		ls.total += ls.weights[bin]
	}
	// All that take longer than the scale holds.
	beyond := ls.weights[binCount-1] / (1 - math.Exp2(-1.0/binsPerOctave))
	ls.weights[binCount-1] += beyond
	ls.total += beyond
	ls.scale(priorWeight / ls.total)
	return ls
}

// setTable replaces the owners of keys.
func (co *Core) setTable(now clock.Instant, tb *assignment.Table) {
	since := map[keyspace.Epoch]clock.Instant{}
	for ix := range tb.Shares {
		sh := &tb.Shares[ix]
		if !sh.Moving() {
			continue
		}
		since[sh.Next.Epoch] = now
		if seenAt, known := co.movingSince[sh.Next.Epoch]; known {
			since[sh.Next.Epoch] = seenAt
		}
	}
	for epoch, seenAt := range co.movingSince {
		if _, moving := since[epoch]; !moving {
			co.moves.observe(ratio(now.Sub(seenAt), usualMoveTime))
		}
	}
	co.table, co.movingSince = tb, since
}

// moveTimeLeft returns how long the ask's key will probably be on the move.
func (co *Core) moveTimeLeft(now clock.Instant, ak *ask) time.Duration {
	sh, _ := co.table.ShareOf(ak.Service, ak.Key)
	elapsed := ratio(now.Sub(co.movingSince[sh.Next.Epoch]), usualMoveTime)
	return time.Duration(co.moves.medianLeft(elapsed) * float64(usualMoveTime))
}
