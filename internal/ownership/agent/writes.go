package agent

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
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
	if !ms.Failed && ms.Era > co.election.Era() {
		co.enterEra(now, ms.Era)
	}
	// A read that was overtaken by a write has older versions than this host knows.
	overtaken := ms.Era < co.election.Era() || ms.TableVersion < co.tableVersion || ms.RowVersion < co.election.RowVersion()
	if ms.Failed || overtaken {
		co.updateElection(now, election.ReadFailedMsg{})
		return
	}
	if ms.TableUnreadable {
		co.handleLostTable(now, ms)
		return
	}
	co.toldUncertain = co.toldUncertain || ms.Row.Uncertain && ms.Table.Revision > co.table.Revision
	co.adopt(now, ms.Table, ms.Row.Uncertain || era.Of(ms.Table.Revision) < ms.Era)
	// A table of an earlier era says what was true once: the store may have lost later
	// ones, so only a leader of this era can confirm it.
	if ms.Table.Revision == co.table.Revision && era.Of(ms.Table.Revision) == ms.Era {
		co.confirm(now, ms.StartedAt, ms.Row.Uncertain)
	}
	otherTable := false
	if !co.writes.inFlight {
		otherTable = ms.TableVersion != co.tableVersion
		co.tableVersion, co.eraRowVersion = ms.TableVersion, ms.EraRowVersion
	}
	before := co.election.Leader().Address
	co.updateElection(now, election.RowMsg{Era: ms.Era, Row: ms.Row, Version: ms.RowVersion, StartedAt: ms.StartedAt, Unreadable: ms.RowUnreadable})
	if co.leader == nil && co.election.Leader().Address != before {
		// Its answer brings what this host does not know, and makes further reads needless.
		co.sendStatus(now)
	}
	if co.writes.awaitingRead || otherTable {
		// The next write expects the table that was read, so its revision must
		// follow that of this table.
		co.writes.awaitingRead = false
		co.updateLeader(now, leader.TableReadMsg{Table: ms.Table})
	}
}

// lostEpochs is more than the epochs that one table can take.
const lostEpochs = 1 << 13

// handleLostTable handles a read in which the assignment could not be decoded. A leader
// knows the newest one, as no other host can write it, and writes it again. Other hosts wait:
// what they remember may be older, and its epochs used again.
func (co *Core) handleLostTable(now clock.Instant, ms RowsMsg) {
	if co.writes.inFlight || co.leader == nil || co.leader.Recovering() {
		co.updateElection(now, election.ReadFailedMsg{})
		return
	}
	co.updateElection(now, election.RowMsg{Era: ms.Era, Row: ms.Row, Version: ms.RowVersion, StartedAt: ms.StartedAt, Unreadable: ms.RowUnreadable})
	if co.leader == nil {
		return
	}
	co.logEvent("assignmentLost", map[string]any{"version": ms.TableVersion, "revision": co.table.Revision})
	co.tableVersion, co.eraRowVersion, co.writes.awaitingRead = ms.TableVersion, ms.EraRowVersion, false
	// A write of unknown outcome may have been there before: its revision and its epochs are
	// not used again.
	lost := co.table.Clone()
	lost.Revision, lost.LastEpoch = lost.Revision+1, lost.LastEpoch+lostEpochs
	co.updateLeader(now, leader.TableReadMsg{Table: lost})
}

// enterEra drops all positions in the store after it came back from an older copy.
func (co *Core) enterEra(now clock.Instant, er era.Era) {
	co.logEvent("storeEra", map[string]any{"era": er, "before": co.election.Era(), "revision": co.table.Revision, "leading": co.Leading()})
	co.tableVersion, co.eraRowVersion = 0, 0
	co.updateElection(now, election.EraMsg{Era: er})
	co.writes.rowDue, co.writes.draft, co.writes.awaitingRead = false, nil, false
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
	cmd := WriteCmd{Era: co.election.Era(), EraRowVersion: co.eraRowVersion, RowVersion: rowVersion, TableVersion: co.tableVersion}
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
	if ms.Outcome == Done && ms.Write.Era != co.election.Era() {
		// The store has lost what it confirmed.
		ms.Outcome = Conflict
	}
	if ms.Outcome == Done && ms.Write.EraRowVersion == 0 {
		co.eraRowVersion = ms.Version
	}
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
		co.adopt(now, ms.Write.Table, co.leader.Uncertain())
		co.broadcast(now)
	case ms.Outcome == NotDone:
		co.updateLeader(now, leader.CommitFailedMsg{})
	default:
		co.writes.awaitingRead = co.leader != nil
		co.updateElection(now, election.WriteFailedMsg{Conflict: true})
	}
}
