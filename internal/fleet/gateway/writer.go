package gateway

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/operations/journal"
	"chervilwalk/internal/ownership/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/platform"
)

// writer lets one write at a time go to the store, so that the versions that a
// write expects are those that the last one left.
type writer struct {
	busy bool
	// row asks to write the leader's row, table to write an assignment.
	row   bool
	table *assignment.Table
	// tableAt is the assignment's version in the store.
	tableAt platform.Version
}

// writtenEvent is the end of a write.
type writtenEvent struct {
	began   clock.Instant
	outcome platform.Outcome
	version platform.Version
	err     error
	// row is the leader's row if that was written, table the assignment.
	row   *election.Row
	table *assignment.Table
}

// write starts the next write that waits.
func (gw *Gateway) write() {
	wr := &gw.writer
	if wr.busy || !wr.row && wr.table == nil {
		return
	}
	wr.busy = true
	row, expected := gw.election.Proposal()
	ev := writtenEvent{began: gw.clock.Now()}
	// The row is claimed only together with the assignment that was read with
	// it: one that an earlier leader still changed would be followed too late.
	tx := platform.Transaction{Expect: []platform.Expected{
		{Table: ownTable, Key: leaderKey, Version: platform.Version(expected)},
		{Table: ownTable, Key: assignmentKey, Version: wr.tableAt},
	}}
	if wr.row {
		wr.row, ev.row = false, &row
		value, err := election.Encode(row)
		if err != nil {
			ev.err = err
		}
		tx.Puts = append(tx.Puts, platform.Row{Table: ownTable, Key: leaderKey, Value: value})
	} else {
		ev.table, wr.table = wr.table, nil
		value, err := assignment.Encode(ev.table)
		if err != nil {
			ev.err = err
		}
		tx.Puts = append(tx.Puts, platform.Row{Table: ownTable, Key: assignmentKey, Value: value})
	}
	go func() {
		if ev.err == nil {
			ev.outcome, ev.version, ev.err = gw.store.Commit(tx, time.Now().Add(writeTime))
		}
		gw.send(ev)
	}()
}

// written takes the end of a write.
func (gw *Gateway) written(ev writtenEvent) {
	gw.writer.busy = false
	if ev.outcome != platform.Done {
		fields := journal.Fields{"outcome": ev.outcome, "leading": gw.election.Leading()}
		if ev.err != nil {
			fields["error"] = ev.err
		}
		gw.cf.Journal.Event("writeFailed", fields)
	}
	switch {
	case ev.row != nil && ev.outcome == platform.Done:
		gw.elect(election.WrittenMsg{Version: election.Version(ev.version), Began: ev.began})
	case ev.row != nil:
		gw.elect(election.WriteFailedMsg{Conflict: ev.outcome != platform.NotDone})
	case ev.outcome == platform.Done:
		gw.writer.tableAt = ev.version
		gw.election.Confirm(ev.began)
		gw.lead(leader.StoredMsg{Table: ev.table})
		gw.follow(ev.table)
		gw.broadcast()
	case ev.outcome == platform.NotDone:
		gw.lead(leader.NotStoredMsg{})
	default:
		// Whether it took effect has to be read back.
		gw.lead(leader.NotStoredMsg{})
		gw.elect(election.WriteFailedMsg{Conflict: true})
	}
}
