package agent

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/renewal"
)

const (
	// leaderHistorySize is how many earlier tables a leader keeps: enough for a
	// second in which many keys move.
	leaderHistorySize = 16
	// followerHistorySize is how many all others keep, any of which may lead next.
	followerHistorySize = 3
)

// history holds the tables before the one in force, the newest last. Members
// that know one of them are sent a delta.
type history []*assignment.Table

// add appends a replaced table and keeps the newest size tables.
func (hs *history) add(tb *assignment.Table, size int) {
	*hs = append(*hs, tb)
	*hs = (*hs)[max(len(*hs)-size, 0):]
}

// find returns the table of a revision, or nil if it is no longer kept.
func (hs history) find(rv assignment.Revision) *assignment.Table {
	for _, tb := range hs {
		if tb.Revision == rv {
			return tb
		}
	}
	return nil
}

// adopt puts a table in force if it is newer than the current one. What was certain of the current
// one is not of an uncertain one.
func (co *Core) adopt(now clock.Instant, tb *assignment.Table, uncertain bool) {
	if tb.Revision <= co.table.Revision {
		return
	}
	if uncertain {
		co.certainAt = 0
	}
	size := followerHistorySize
	if co.leader != nil {
		size = leaderHistorySize
	}
	co.history.add(co.table, size)
	co.table = tb
	bestFitness := 0
	for _, mb := range tb.Members {
		if mb.Alive {
			bestFitness = max(bestFitness, mb.Fitness)
		}
	}
	co.election.SetBestFitness(float64(bestFitness) / 100)
	co.emit(TableCmd{Table: tb})
	co.refreshRenewals(now)
}

// confirm records that the table in force was the newest one at the time at, as far as the store or
// its leader knows. An uncertain one may be older than one that the store has lost.
func (co *Core) confirm(now, at clock.Instant, uncertain bool) {
	co.confirmedAt, co.toldUncertain = max(co.confirmedAt, at), uncertain
	if !uncertain {
		co.certainAt = max(co.certainAt, at)
	}
	co.updateRenewal(now, renewal.ConfirmMsg{At: at, Uncertain: uncertain})
}
