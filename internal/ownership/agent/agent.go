// Package agent manages key ownership on one host: it runs the leader election,
// runs the leader while the host is elected, follows the assignment and renews
// grants. All reads, writes and messages for these pass through it, in one order.
//
// Core does no I/O: Update takes one message and returns commands.
//
//	co := agent.New(member, 0.8)
//	cmds := co.Update(now, agent.TickMsg{})
package agent

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/peer/protocol"
)

const (
	// statusInterval is the time between two statuses to the leader.
	statusInterval = 400 * time.Millisecond
	// minStatusInterval is the shortest time between two statuses.
	minStatusInterval = 40 * time.Millisecond
	// electionInterval is the longest time between two ticks of the election.
	electionInterval = 150 * time.Millisecond
)

// Core is the state machine of one host. It is not safe for concurrent use.
type Core struct {
	self         assignment.Member
	election     *election.Core
	leader       *leader.Core
	renewal      *renewal.Core
	upstreams    UpstreamsMsg
	table        *assignment.Table
	tableVersion election.Version
	// eraRowVersion is the version of the row that marks the store's era, or 0.
	eraRowVersion election.Version
	// confirmedAt is the last time at which table was known to be the newest.
	confirmedAt clock.Instant
	// certainAt is the last time at which it was certain to be: the store had lost no newer one.
	certainAt    clock.Instant
	statusSentAt clock.Instant
	stopping     bool
	// loggedLeader is the host and address of the leader last logged.
	loggedLeader string
	// startedAt is the time of the first Update. Echoes of earlier statuses belong
	// to an earlier process.
	startedAt clock.Instant
	// echoes is empty unless this host leads.
	echoes echoes

	// frozenUntil is the end of the freeze of this host's last leadership.
	frozenUntil clock.Instant
	// toldUncertain is set if the leader, its row, or this host when it led last, has said that
	// the assignment in force is uncertain. A host that only knows a copy's assignment was not
	// told anything.
	toldUncertain bool
	// options are those of the leader's core.
	options []leader.Option

	writes  pendingWrites
	history history
	// takeoverRevision is the table's revision when this host became the leader.
	takeoverRevision assignment.Revision

	cmds []Cmd
}

// New returns the core of a host. The fitness, from 0 to 1, says how well the
// host can lead. The options apply whenever it leads.
func New(self assignment.Member, fitness float64, opts ...leader.Option) *Core {
	return &Core{
		options: opts, self: self, election: election.New(self.Host, self.Address, self.Incarnation, fitness), renewal: renewal.New(self.Host),
		table: &assignment.Table{}, echoes: echoes{},
	}
}

// Table returns the assignment in force; it is empty before the first read.
func (co *Core) Table() *assignment.Table { return co.table }

// Leading reports whether this host is the leader.
func (co *Core) Leading() bool { return co.leader != nil }

// Leader returns the address of the newest known leader, empty if there is none.
func (co *Core) Leader() string { return co.election.Leader().Address }

// Term returns the newest known term.
func (co *Core) Term() protocol.Term { return co.election.Term() }

// LeadershipConfirmed returns when the store last confirmed that this host is the
// leader.
func (co *Core) LeadershipConfirmed() clock.Instant { return co.election.Confirmed() }

// TableConfirmed returns the last time at which the assignment in force was known
// to be the newest.
func (co *Core) TableConfirmed() clock.Instant { return co.confirmedAt }

// TableCertain returns the last time at which the assignment in force was known to be the newest and
// the store to have lost no newer one.
func (co *Core) TableCertain() clock.Instant { return co.certainAt }

// Update handles one message and returns the commands to run.
func (co *Core) Update(now clock.Instant, msg any) []Cmd {
	if co.startedAt == 0 {
		co.startedAt = now
	}
	switch ms := msg.(type) {
	case RowsMsg:
		co.handleRows(now, ms)
	case WrittenMsg:
		co.handleWritten(now, ms)
	case StatusMsg:
		co.handleStatus(now, ms)
	case HeartbeatMsg:
		co.handleHeartbeat(now, ms)
	case AssignmentMsg:
		co.handleAssignment(now, ms)
	case DeltaMsg:
		co.handleDelta(now, ms)
	case ReportMsg:
		co.adopt(now, ms.Table, true)
		co.updateLeader(now, leader.ReportMsg(ms))
	case UpstreamsMsg:
		co.upstreams = ms
		co.updateLeader(now, ms.ForLeader)
		co.refreshRenewals(now)
	case StepMsg:
		co.updateLeader(now, leader.StepMsg(ms))
	case CheckedMsg:
		co.updateLeader(now, leader.CheckedMsg(ms))
	case RenewedMsg:
		co.updateRenewal(now, renewal.ResultMsg(ms))
		if ms.Unconfirmed && now.Sub(co.statusSentAt) >= minStatusInterval {
			// The reply confirms the table.
			co.sendStatus(now)
		}
	case StopMsg:
		co.stopping = true
		co.updateElection(now, election.ResignMsg{})
		co.sendStatus(now)
	case TickMsg:
		co.tick(now)
	}
	co.startWrite()
	cmds := co.cmds
	co.cmds = nil
	return cmds
}

// Next returns when the next TickMsg is due if no other message comes first.
func (co *Core) Next(now clock.Instant) clock.Instant {
	next := min(co.statusSentAt.Add(statusInterval), now.Add(electionInterval), co.renewal.Next(now))
	if co.leader != nil {
		next = min(next, co.leader.Next(now))
	}
	return next
}

// emit adds a command to those that Update returns.
func (co *Core) emit(cmd Cmd) { co.cmds = append(co.cmds, cmd) }

func (co *Core) logEvent(name string, fields map[string]any) {
	co.emit(EventCmd{Name: name, Fields: fields})
}

// tick runs everything that is due.
func (co *Core) tick(now clock.Instant) {
	co.updateElection(now, election.TickMsg{})
	if now.Sub(co.statusSentAt) >= statusInterval {
		co.sendStatus(now)
	}
	co.updateLeader(now, leader.TickMsg{})
	co.updateRenewal(now, renewal.TickMsg{})
}

// updateElection passes a message to the election and starts or ends leading
// according to its result.
func (co *Core) updateElection(now clock.Instant, msg any) {
	before := co.election.Leader()
	cmd := co.election.Update(now, msg)
	leading := co.election.Leading()
	switch {
	case leading && co.leader == nil:
		co.logEvent("leading", map[string]any{"now": true, "term": co.election.Term(), "revision": co.table.Revision})
		co.leader, co.takeoverRevision = leader.New(now, co.table, before, co.election.Era(), co.options...), co.table.Revision
		co.leader.Freeze(co.frozenUntil)
		switch {
		case co.toldUncertain:
			co.leader.DoubtTable()
		case co.election.Uncontested():
			co.leader.TrustTable()
		}
		co.updateLeader(now, co.upstreams.ForLeader)
		co.broadcast(now)
	case !leading && co.leader != nil:
		co.logEvent("leading", map[string]any{"now": false, "term": co.election.Term(), "revision": co.table.Revision})
		co.frozenUntil, co.toldUncertain = now.Add(co.leader.FrozenFor(now)), co.leader.Uncertain()
		co.leader, co.writes.draft, co.writes.awaitingRead = nil, nil, false
		clear(co.echoes)
		if co.stopping {
			co.broadcastResignation()
		}
	}
	switch cmd {
	case election.Read:
		co.emit(ReadCmd{})
	case election.Write:
		co.writes.rowDue = true
	case election.Wait:
	}
}

// updateLeader passes a message to the leader's core; it does nothing while this
// host isn't the leader.
func (co *Core) updateLeader(now clock.Instant, msg any) {
	if co.leader == nil {
		return
	}
	defer func() { co.election.Settle(co.leader.Settled(now), co.leader.FrozenFor(now), co.leader.Uncertain()) }()
	for _, cmd := range co.leader.Update(now, msg) {
		switch cmd := cmd.(type) {
		case leader.CommitCmd:
			co.writes.draft = cmd.Table
		case leader.CallCmd:
			co.emit(CallCmd(cmd))
		case leader.CheckCmd:
			co.emit(CheckCmd(cmd))
		case leader.EventCmd:
			co.emit(EventCmd(cmd))
		}
	}
}

// updateRenewal passes a message to the renewal's core.
func (co *Core) updateRenewal(now clock.Instant, msg any) {
	for _, cmd := range co.renewal.Update(now, msg) {
		co.emit(RenewCmd(cmd))
	}
}

// refreshRenewals passes the assignment in force to the renewal's core.
func (co *Core) refreshRenewals(now clock.Instant) {
	incarnations := make(map[ident.Upstream]roster.Incarnation, len(co.upstreams.ForLeader.Upstreams))
	for _, up := range co.upstreams.ForLeader.Upstreams {
		incarnations[up.ID] = up.Incarnation
	}
	co.updateRenewal(now, renewal.TableMsg{Table: co.table, Domains: co.upstreams.Domains, Incarnations: incarnations, Uncertain: co.certainAt == 0})
}
