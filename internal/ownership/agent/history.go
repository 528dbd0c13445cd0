package agent

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/renewal"
)

const (
	// historySize is how many earlier tables a leader keeps: those of a second
	// in which many keys move.
	historySize = 16
	// followedSize is the same for all others, one of which may lead next.
	followedSize = 3
)

// history are the tables before the one in force, the newest last, so that
// members that know one of them can be told what changed since.
type history []*assignment.Table

// add keeps a table that is replaced and forgets those beyond a number.
func (hs *history) add(tb *assignment.Table, size int) {
	*hs = append(*hs, tb)
	*hs = (*hs)[max(len(*hs)-size, 0):]
}

// find returns the table of a revision; nil where it is too old.
func (hs history) find(rv assignment.Revision) *assignment.Table {
	for _, tb := range hs {
		if tb.Revision == rv {
			return tb
		}
	}
	return nil
}

// follow takes a table into force if it is newer.
func (co *Core) follow(now clock.Instant, tb *assignment.Table) {
	if tb.Revision <= co.table.Revision {
		return
	}
	size := followedSize
	if co.leader != nil {
		size = historySize
	}
	co.history.add(co.table, size)
	co.table = tb
	best := 0
	for _, mb := range tb.Members {
		if mb.Alive {
			best = max(best, mb.Fitness)
		}
	}
	co.election.SetBestFitness(float64(best) / 100)
	co.do(TableCmd{Table: tb})
	co.renewals(now)
}

// confirm notes that the table in force was the newest at a time.
func (co *Core) confirm(now, at clock.Instant) {
	co.confirmedAt = max(co.confirmedAt, at)
	co.renew(now, renewal.ConfirmMsg{At: at})
}
