package agent

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
)

// pendingWrites holds what is to be written to the store. Only one write is in
// flight at a time, so that it expects the versions that the previous one left.
type pendingWrites struct {
	inFlight bool
	// rowDue is set if the leader's row is to be written; draft is the assignment
	// to write, or nil.
	rowDue bool
	draft  *assignment.Table
	// awaitingRead is set after a write of the assignment that met a conflict or
	// has an unknown outcome, until the next read.
	awaitingRead bool
}

// handleRows handles the result of reading the leader's row and the assignment.
func (co *Core) handleRows(now clock.Instant, ms RowsMsg) {
	// A read that was overtaken by a write has older versions than this host knows.
	overtaken := ms.TableVersion < co.tableVersion || ms.RowVersion < co.election.RowVersion()
	if ms.Failed || overtaken {
		co.updateElection(now, election.ReadFailedMsg{})
		return
	}
	co.adopt(now, ms.Table)
	if ms.Table.Revision == co.table.Revision {
		co.confirm(now, ms.StartedAt)
	}
	otherTable := false
	if !co.writes.inFlight {
		otherTable = ms.TableVersion != co.tableVersion
		co.tableVersion = ms.TableVersion
	}
	co.updateElection(now, election.RowMsg{Row: ms.Row, Version: ms.RowVersion, StartedAt: ms.StartedAt})
	if co.writes.awaitingRead || otherTable {
		// The next write expects the table that was read, so its revision must
		// follow that of this table.
		co.writes.awaitingRead = false
		co.updateLeader(now, leader.TableReadMsg{Table: ms.Table})
	}
}

// startWrite starts the next pending write, the leader's row first. It does
// nothing while a write is in flight or a read has to come first.
func (co *Core) startWrite() {
	if co.writes.inFlight || co.writes.awaitingRead || !co.writes.rowDue && co.writes.draft == nil {
		return
	}
	row, rowVersion := co.election.Proposal()
	// A claim of the row also expects the version of the assignment that was read
	// with it. Otherwise this host could become the leader without a change that an
	// earlier leader made after that read.
	cmd := WriteCmd{RowVersion: rowVersion, TableVersion: co.tableVersion}
	if co.writes.rowDue {
		co.writes.rowDue, cmd.Row = false, &row
	} else {
		cmd.Table, co.writes.draft = co.writes.draft, nil
	}
	co.writes.inFlight = true
	co.emit(cmd)
}

// handleWritten handles the result of a write. After a conflict or an unknown
// outcome the rows are read again.
func (co *Core) handleWritten(now clock.Instant, ms WrittenMsg) {
	co.writes.inFlight = false
	if ms.Outcome != Done {
		co.logEvent("writeFailed", map[string]any{"outcome": ms.Outcome, "leading": co.Leading(), "row": ms.Write.Row != nil, "expectedRow": ms.Write.RowVersion, "expectedTable": ms.Write.TableVersion})
	}
	switch {
	case ms.Write.Row != nil && ms.Outcome == Done:
		co.updateElection(now, election.WrittenMsg{Row: *ms.Write.Row, Version: ms.Version, StartedAt: ms.StartedAt})
	case ms.Write.Row != nil:
		co.updateElection(now, election.WriteFailedMsg{Conflict: ms.Outcome != NotDone})
	case ms.Outcome == Done:
		co.tableVersion = ms.Version
		co.election.Confirm(ms.StartedAt)
		if co.leader == nil {
			return
		}
		co.updateLeader(now, leader.CommittedMsg{Table: ms.Write.Table})
		co.adopt(now, ms.Write.Table)
		co.broadcast(now)
	case ms.Outcome == NotDone:
		co.updateLeader(now, leader.CommitFailedMsg{})
	default:
		co.writes.awaitingRead = co.leader != nil
		co.updateElection(now, election.WriteFailedMsg{Conflict: true})
	}
}
