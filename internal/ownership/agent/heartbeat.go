package agent

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/peer/protocol"
)

// echoes are the newest times that members' statuses carried, by address.
type echoes map[string]clock.Instant

// sendStatus tells the leader how this host is, or takes it as the leader.
func (co *Core) sendStatus(now clock.Instant) {
	co.statusAt = now
	cmd := StatusCmd{To: co.election.Leader().Address, Status: protocol.Status{
		Member: co.self, Term: co.election.Term(), Revision: co.table.Revision, Stopping: co.stopping, SentAt: now, Upstreams: co.renewal.Report(now),
	}}
	if co.leader != nil {
		co.confirm(now, now)
		cmd.To = ""
	}
	if co.leader != nil || cmd.To != "" {
		co.do(cmd)
	}
}

// status takes a member's status; without a lead it is not ours to answer.
func (co *Core) status(now clock.Instant, ms StatusMsg) {
	if co.leader == nil {
		return
	}
	co.echoes[ms.From] = ms.Status.SentAt
	switch {
	case ms.From == "":
	case ms.Status.Revision < co.table.Revision:
		co.do(ViewCmd{To: ms.From, Beat: co.heartbeat(now, ms.From), Table: co.table, Base: co.history.find(ms.Status.Revision)})
	default:
		co.do(BeatCmd{To: ms.From, Beat: co.heartbeat(now, ms.From), RosterAt: ms.Status.RosterAt, RosterDigest: ms.Status.RosterDigest})
	}
	co.lead(now, leader.StatusMsg{Status: ms.Status})
}

// heartbeat is what this host, as the leader, sends to a member at an address.
func (co *Core) heartbeat(now clock.Instant, to string) protocol.Heartbeat {
	return protocol.Heartbeat{
		Term: co.election.Term(), Leader: co.self.Host, Revision: co.table.Revision, StoreAge: now.Sub(co.election.Confirmed()),
		RowAt: uint64(co.election.Expected()), Echo: co.echoes[to],
	}
}

func (co *Core) beat(now clock.Instant, ms BeatMsg) {
	if ms.Beat.Term < co.election.Term() {
		return
	}
	if heard := string(ms.Beat.Leader) + " " + ms.From; heard != co.heard {
		co.heard = heard
		co.event("leader", map[string]any{"leader": ms.Beat.Leader, "term": ms.Beat.Term, "address": ms.From, "storeAgeMs": ms.Beat.StoreAge.Milliseconds()})
	}
	co.elect(now, election.BeatMsg{Term: ms.Beat.Term, Host: ms.Beat.Leader, Address: ms.From, RowAt: election.Version(ms.Beat.RowAt), StoreAge: ms.Beat.StoreAge})
	if at := ms.Beat.Echo; ms.Beat.Revision == co.table.Revision && ms.Beat.Leader != "" && co.startedAt <= at && at <= now {
		co.confirm(now, at)
	}
}

func (co *Core) view(now clock.Instant, ms ViewMsg) {
	if ms.Beat.Term < co.election.Term() {
		return
	}
	co.follow(now, ms.Table)
	co.beat(now, BeatMsg{Beat: ms.Beat, From: ms.From})
}

func (co *Core) delta(now clock.Instant, ms DeltaMsg) {
	tb, begins := ms.Delta.Apply(co.table)
	if !begins {
		// The next status says which table this host has.
		co.beat(now, BeatMsg{Beat: ms.Beat, From: ms.From})
		return
	}
	co.view(now, ViewMsg{Beat: ms.Beat, Table: tb, From: ms.From})
}

// broadcast sends the assignment in force to every member.
func (co *Core) broadcast(now clock.Instant) {
	// Members mostly know the table before this one; with a lead that was just
	// taken up they know this one.
	base := co.table
	if co.leadSince < co.table.Revision && len(co.history) > 0 {
		base = co.history[len(co.history)-1]
	}
	for _, mb := range co.table.Members {
		if mb.Host != co.self.Host {
			co.do(ViewCmd{To: mb.Address, Beat: co.heartbeat(now, mb.Address), Table: co.table, Base: base})
		}
	}
	co.sendStatus(now)
}

// resigned tells the members that this host leads no more.
func (co *Core) resigned() {
	for _, mb := range co.table.Members {
		if mb.Host != co.self.Host {
			co.do(BeatCmd{To: mb.Address, Beat: protocol.Heartbeat{Term: co.election.Term(), Revision: co.table.Revision}})
		}
	}
}
