package agent

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
)

// writes are what waits to be written to the store. One write goes out at a
// time, so that the versions that it expects are those that the last one left.
type writes struct {
	busy bool
	// row tells that the leader's row has to be written, draft is the assignment
	// that has to be, or nil.
	row   bool
	draft *assignment.Table
	// unsure is set after a write of the assignment of which it is not known
	// whether it took effect, until the rows were read.
	unsure bool
}

// rows takes the leader's row and the assignment as they were read.
func (co *Core) rows(now clock.Instant, ms RowsMsg) {
	if ms.Failed {
		co.elect(now, election.ReadFailedMsg{})
		return
	}
	co.follow(now, ms.Table)
	if ms.Table.Revision == co.table.Revision {
		co.confirm(now, ms.Began)
	}
	if !co.writes.busy {
		co.tableAt = ms.TableAt
	}
	co.elect(now, election.RowMsg{Row: ms.Row, Version: ms.RowAt, Began: ms.Began})
	if co.writes.unsure {
		co.writes.unsure = false
		co.lead(now, leader.ReadMsg{Table: ms.Table})
	}
}

// write starts the next write that waits.
func (co *Core) write() {
	if co.writes.busy || co.writes.unsure || !co.writes.row && co.writes.draft == nil {
		return
	}
	row, rowAt := co.election.Proposal()
	// The row is claimed only together with the assignment that was read with
	// it: one that an earlier leader still changed would be followed too late.
	cmd := WriteCmd{RowAt: rowAt, TableAt: co.tableAt}
	if co.writes.row {
		co.writes.row, cmd.Row = false, &row
	} else {
		cmd.Table, co.writes.draft = co.writes.draft, nil
	}
	co.writes.busy = true
	co.do(cmd)
}

// written takes the end of a write.
func (co *Core) written(now clock.Instant, ms WrittenMsg) {
	co.writes.busy = false
	if ms.Outcome != Done {
		co.event("writeFailed", map[string]any{"outcome": ms.Outcome, "leading": co.Leading(), "row": ms.Write.Row != nil, "expectedRow": ms.Write.RowAt, "expectedTable": ms.Write.TableAt})
	}
	switch {
	case ms.Write.Row != nil && ms.Outcome == Done:
		co.elect(now, election.WrittenMsg{Row: *ms.Write.Row, Version: ms.Version, Began: ms.Began})
	case ms.Write.Row != nil:
		co.elect(now, election.WriteFailedMsg{Conflict: ms.Outcome != NotDone})
	case ms.Outcome == Done:
		co.tableAt = ms.Version
		co.election.Confirm(ms.Began)
		if co.leader == nil {
			return
		}
		co.lead(now, leader.StoredMsg{Table: ms.Write.Table})
		co.follow(now, ms.Write.Table)
		co.broadcast(now)
	case ms.Outcome == NotDone:
		co.lead(now, leader.NotStoredMsg{})
	default:
		co.writes.unsure = co.leader != nil
		co.elect(now, election.WriteFailedMsg{Conflict: true})
	}
}
