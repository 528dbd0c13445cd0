package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
)

const (
	// expectedMoveTime is how long keys usually take to move to their next owner. Those
	// that have been moving for longer probably need as long again: their owner is
	// unreachable or busy with a long request. maxMoveTime limits that.
	expectedMoveTime = 200 * time.Millisecond
	maxMoveTime      = 3 * time.Second
)

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
	co.table, co.movingSince = tb, since
}

// moveTimeLeft returns how long the ask's key will probably be on the move.
func (co *Core) moveTimeLeft(now clock.Instant, ak *ask) time.Duration {
	sh, _ := co.table.ShareOf(ak.Service, ak.Key)
	elapsed := now.Sub(co.movingSince[sh.Next.Epoch])
	return min(max(elapsed, expectedMoveTime), maxMoveTime)
}
