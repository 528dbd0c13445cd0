package agent

import (
	"slices"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/peer/protocol"
)

// echoes holds the SentAt of each member's newest status, by the member's
// address. Heartbeats return it to the member.
type echoes map[string]clock.Instant

// sendStatus sends this host's status to the leader. While this host leads, the
// status has no address and comes back as a StatusMsg.
func (co *Core) sendStatus(now clock.Instant) {
	co.statusSentAt = now
	cmd := StatusCmd{To: co.election.Leader().Address, Status: protocol.Status{
		Member: co.self, Term: co.election.Term(), Revision: co.table.Revision, Stopping: co.stopping, SentAt: now, Upstreams: co.renewal.Report(now),
		Uncertain: co.toldUncertain,
	}}
	if co.leader != nil {
		co.confirm(now, now, co.leader.Uncertain())
		cmd.To = ""
	}
	if co.leader != nil || cmd.To != "" {
		co.emit(cmd)
	}
}

// handleStatus answers a member's status with a heartbeat, or with the assignment
// if the member's is older. Only the leader answers.
func (co *Core) handleStatus(now clock.Instant, ms StatusMsg) {
	if co.leader == nil {
		return
	}
	co.echoes[ms.From] = ms.Status.SentAt
	switch {
	case ms.From == "":
	case co.leader.Recovering():
		hb := co.heartbeat(now, ms.From)
		hb.Recovering = true
		co.emit(HeartbeatCmd{To: ms.From, Heartbeat: hb})
	case ms.Status.Revision < co.table.Revision:
		co.emit(AssignmentCmd{To: ms.From, Heartbeat: co.assignmentHeartbeat(now, ms.From), Table: co.table, Base: co.history.find(ms.Status.Revision)})
	default:
		hb := co.heartbeat(now, ms.From)
		hb.Uncertain = co.leader.Uncertain()
		co.emit(HeartbeatCmd{To: ms.From, Heartbeat: hb})
	}
	co.updateLeader(now, leader.StatusMsg{Status: ms.Status, Follows: ms.From == "" || ms.Status.Term == co.election.Term(), Own: ms.From == ""})
}

// heartbeat returns the heartbeat that this host, as the leader, sends to a member.
func (co *Core) heartbeat(now clock.Instant, to string) protocol.Heartbeat {
	return protocol.Heartbeat{
		Term: co.election.Term(), Leader: co.self.Host, Revision: co.table.Revision, StoreAge: now.Sub(co.election.Confirmed()),
		RowVersion: uint64(co.election.RowVersion()), Echo: co.echoes[to],
	}
}

// assignmentHeartbeat returns the heartbeat that goes with an assignment. While the assignment is
// uncertain it confirms nothing, as it cannot say so.
func (co *Core) assignmentHeartbeat(now clock.Instant, to string) protocol.Heartbeat {
	hb := co.heartbeat(now, to)
	if co.leader.Uncertain() {
		hb.Echo = 0
	}
	return hb
}

// handleHeartbeat follows a leader of the current or a newer term. A heartbeat
// of the same revision confirms the table as of the echoed status, unless an
// earlier process on this host sent that one.
func (co *Core) handleHeartbeat(now clock.Instant, ms HeartbeatMsg) {
	if ms.Heartbeat.Term < co.election.Term() {
		return
	}
	if current := string(ms.Heartbeat.Leader) + " " + ms.From; current != co.loggedLeader {
		co.loggedLeader = current
		co.logEvent("leader", map[string]any{"leader": ms.Heartbeat.Leader, "term": ms.Heartbeat.Term, "address": ms.From, "storeAgeMs": ms.Heartbeat.StoreAge.Milliseconds()})
	}
	co.updateElection(now, election.HeartbeatMsg{Term: ms.Heartbeat.Term, Host: ms.Heartbeat.Leader, Address: ms.From, RowVersion: election.Version(ms.Heartbeat.RowVersion), StoreAge: ms.Heartbeat.StoreAge})
	if ms.Heartbeat.Recovering {
		if co.table.Revision > ms.Heartbeat.Revision {
			co.emit(ReportCmd{To: ms.From, Table: co.table})
		}
		return
	}
	if at := ms.Heartbeat.Echo; ms.Heartbeat.Revision == co.table.Revision && ms.Heartbeat.Leader != "" && co.startedAt <= at && at <= now {
		co.confirm(now, at, ms.Heartbeat.Uncertain)
	}
}

// handleAssignment adopts the leader's assignment, unless its term is outdated.
func (co *Core) handleAssignment(now clock.Instant, ms AssignmentMsg) {
	if ms.Heartbeat.Term < co.election.Term() {
		return
	}
	newer := ms.Table.Revision > co.table.Revision
	// An uncertain leader sends no echo with it. In its first era the store has lost nothing.
	uncertain := ms.Heartbeat.Echo == 0 && era.Of(ms.Table.Revision) > 0
	co.adopt(now, ms.Table, uncertain)
	co.toldUncertain = co.toldUncertain || newer && uncertain
	co.handleHeartbeat(now, HeartbeatMsg{Heartbeat: ms.Heartbeat, From: ms.From})
	if newer && co.leader == nil && isWitness(ms.Table, co.self.Host, ms.Heartbeat.Leader) {
		// Moves wait for it.
		co.sendStatus(now)
	}
}

// witnesses is how many members acknowledge a table with moves at once.
const witnesses = 3

// isWitness reports whether a host is one of the members that acknowledge a table at once: it has
// moves, and the other members need not hurry.
func isWitness(tb *assignment.Table, host, leading ident.Host) bool {
	if !slices.ContainsFunc(tb.Shares, func(sh assignment.Share) bool { return sh.Moving() }) {
		return false
	}
	before, weight := 0, ident.Weight("witness", string(host))
	for _, mb := range tb.Members {
		if mb.Alive && mb.Host != leading && mb.Host != host && ident.Weight("witness", string(mb.Host)) > weight {
			before++
		}
	}
	return before < witnesses
}

// handleDelta applies a delta to the table. If the delta has another base, only
// its heartbeat counts.
func (co *Core) handleDelta(now clock.Instant, ms DeltaMsg) {
	tb, applies := ms.Delta.Apply(co.table)
	if !applies {
		// The next status tells the leader which revision this host has.
		co.handleHeartbeat(now, HeartbeatMsg{Heartbeat: ms.Heartbeat, From: ms.From})
		return
	}
	co.handleAssignment(now, AssignmentMsg{Heartbeat: ms.Heartbeat, Table: tb, From: ms.From})
}

// broadcast sends the assignment in force to every member. While this host recovers
// the assignment of an earlier era, it only says so.
func (co *Core) broadcast(now clock.Instant) {
	if co.leader.Recovering() {
		for _, mb := range co.table.Members {
			if mb.Host != co.self.Host {
				hb := co.heartbeat(now, mb.Address)
				hb.Recovering = true
				co.emit(HeartbeatCmd{To: mb.Address, Heartbeat: hb})
			}
		}
		co.sendStatus(now)
		return
	}
	// Members usually know the previous table; right after a change of leader
	// they know the current one.
	base := co.table
	if co.takeoverRevision < co.table.Revision && len(co.history) > 0 {
		base = co.history[len(co.history)-1]
	}
	for _, mb := range co.table.Members {
		if mb.Host != co.self.Host {
			co.emit(AssignmentCmd{To: mb.Address, Heartbeat: co.assignmentHeartbeat(now, mb.Address), Table: co.table, Base: base})
		}
	}
	co.sendStatus(now)
}

// broadcastResignation sends a heartbeat without a leader to every member.
func (co *Core) broadcastResignation() {
	for _, mb := range co.table.Members {
		if mb.Host != co.self.Host {
			co.emit(HeartbeatCmd{To: mb.Address, Heartbeat: protocol.Heartbeat{Term: co.election.Term(), Revision: co.table.Revision}})
		}
	}
}
