package permit

import (
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
)

// minShare is the fraction of slot time that on-time asks of lower priorities get while ones of
// a higher priority wait beside them.
const minShare = 0.1

// withShares moves the on-time asks of lower priorities whose turn it is to the front. The queue
// is in order and stays so otherwise.
func (co *Core) withShares(now clock.Instant, queue []*ask) []*ask {
	if len(queue) == 0 || !slices.ContainsFunc(queue, func(ak *ask) bool { return !ak.late && ak.Priority != queue[0].Priority }) {
		return queue
	}
	leading := map[*demand]*ask{}
	for ix, ak := range queue {
		if ak.late {
			break
		}
		dm := co.demandOf(ak)
		first := leading[dm]
		switch {
		case first == nil:
			leading[dm] = ak
		case ak.Priority != first.Priority && dm.contestedAt != now:
			dm.contestedAt, dm.priority = now, first.Priority
			if dm.owed > 0 {
				queue = slices.Insert(slices.Delete(queue, ix, ix+1), 0, ak)
			}
		}
	}
	return queue
}

// countShare counts the slot time of an on-time ask that gets a permit.
func (dm *demand) countShare(now clock.Instant, ak *ask) {
	switch {
	case dm.contestedAt != now:
		dm.owed = 0
	case ak.Priority == dm.priority:
		dm.owed += time.Duration(minShare / (1 - minShare) * float64(ak.expected))
	default:
		dm.owed -= ak.expected
	}
}

// aheadWithShare returns how many asks are served before an on-time one behind higher of a higher
// priority and same others.
func aheadWithShare(higher, same int) int {
	return min(higher+same, int(float64(same+1)/minShare))
}
