// Package agent is one host's part in the ownership of keys: it runs the
// election, leads while its host holds the leader's row, follows the assignment
// and renews grants. It is the one place that orders reads, writes and messages
// about all of these.
//
// The core is pure: it is told what happened and returns what to do.
//
//	co := agent.New(member, 0.8)
//	cmds := co.Update(now, agent.TickMsg{})
package agent

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/peer/protocol"
)

const (
	// statusEvery is the time between two statuses to the leader.
	statusEvery = 400 * time.Millisecond
	// electionTick is how often the election is looked at.
	electionTick = 150 * time.Millisecond
)

// Core is one host's part. It is not safe for concurrent use.
type Core struct {
	self     assignment.Member
	election *election.Core
	leader   *leader.Core
	renewal  *renewal.Core
	fleet    FleetMsg
	table    *assignment.Table
	tableAt  election.Version
	// confirmedAt is when the table was last known to be the newest.
	confirmedAt clock.Instant
	statusAt    clock.Instant
	stopping    bool
	heard       string
	// startedAt is when this process began.
	startedAt clock.Instant
	// echoes are kept while this host leads.
	echoes echoes

	writes  writes
	history history
	// leadSince is the revision with which this host took up the lead.
	leadSince assignment.Revision

	cmds []Cmd
}

// New makes the core of a host; fitness from 0 to 1 is how well it can lead.
func New(self assignment.Member, fitness float64) *Core {
	return &Core{
		self: self, election: election.New(self.Host, self.Address, self.Incarnation, fitness), renewal: renewal.New(self.Host),
		table: &assignment.Table{}, echoes: echoes{},
	}
}

// Table is the assignment in force.
func (co *Core) Table() *assignment.Table { return co.table }

// Leading tells whether this host leads.
func (co *Core) Leading() bool { return co.leader != nil }

// Term is the newest term known.
func (co *Core) Term() protocol.Term { return co.election.Term() }

// Led is when the store last confirmed this host's lead.
func (co *Core) Led() clock.Instant { return co.election.Confirmed() }

// Confirmed is when the assignment in force was last known to be the newest.
func (co *Core) Confirmed() clock.Instant { return co.confirmedAt }

// Update takes one message and returns what to do.
func (co *Core) Update(now clock.Instant, msg any) []Cmd {
	if co.startedAt == 0 {
		co.startedAt = now
	}
	switch ms := msg.(type) {
	case RowsMsg:
		co.rows(now, ms)
	case WrittenMsg:
		co.written(now, ms)
	case StatusMsg:
		co.status(now, ms)
	case BeatMsg:
		co.beat(now, ms)
	case ViewMsg:
		co.view(now, ms)
	case DeltaMsg:
		co.delta(now, ms)
	case FleetMsg:
		co.fleet = ms
		co.lead(now, ms.Fleet)
		co.renewals(now)
	case StepMsg:
		co.lead(now, leader.StepMsg(ms))
	case RenewedMsg:
		co.renew(now, renewal.ResultMsg(ms))
	case StopMsg:
		co.stopping = true
		co.elect(now, election.ResignMsg{})
		co.sendStatus(now)
	case TickMsg:
		co.tick(now)
	}
	co.write()
	cmds := co.cmds
	co.cmds = nil
	return cmds
}

// Next returns when the core has to be woken if nothing else happens.
func (co *Core) Next(now clock.Instant) clock.Instant {
	next := min(co.statusAt.Add(statusEvery), now.Add(electionTick), co.renewal.Next(now))
	if co.leader != nil {
		next = min(next, co.leader.Next(now))
	}
	return next
}

func (co *Core) do(cmd Cmd) { co.cmds = append(co.cmds, cmd) }

func (co *Core) event(what string, fields map[string]any) {
	co.do(EventCmd{What: what, Fields: fields})
}

func (co *Core) tick(now clock.Instant) {
	co.elect(now, election.TickMsg{})
	if now.Sub(co.statusAt) >= statusEvery {
		co.sendStatus(now)
	}
	co.lead(now, leader.TickMsg{})
	co.renew(now, renewal.TickMsg{})
}

// elect runs the election and takes up or lays down the lead.
func (co *Core) elect(now clock.Instant, msg any) {
	before := co.election.Leader()
	cmd := co.election.Update(now, msg)
	leading := co.election.Leading()
	switch {
	case leading && co.leader == nil:
		co.event("leading", map[string]any{"now": true, "term": co.election.Term(), "revision": co.table.Revision})
		co.leader, co.leadSince = leader.New(now, co.table, before), co.table.Revision
		co.lead(now, co.fleet.Fleet)
		co.broadcast(now)
	case !leading && co.leader != nil:
		co.event("leading", map[string]any{"now": false, "term": co.election.Term(), "revision": co.table.Revision})
		co.leader, co.writes.draft, co.writes.unsure = nil, nil, false
		clear(co.echoes)
		if co.stopping {
			co.resigned()
		}
	}
	switch cmd {
	case election.Read:
		co.do(ReadCmd{})
	case election.Write:
		co.writes.row = true
	case election.Wait:
	}
}

// lead runs the leader's core while this host leads.
func (co *Core) lead(now clock.Instant, msg any) {
	if co.leader == nil {
		return
	}
	defer func() { co.election.Settle(co.leader.Settled(now)) }()
	for _, cmd := range co.leader.Update(now, msg) {
		switch cmd := cmd.(type) {
		case leader.CommitCmd:
			co.writes.draft = cmd.Table
		case leader.CallCmd:
			co.do(CallCmd(cmd))
		case leader.EventCmd:
			co.do(EventCmd(cmd))
		}
	}
}

func (co *Core) renew(now clock.Instant, msg any) {
	for _, cmd := range co.renewal.Update(now, msg) {
		co.do(RenewCmd(cmd))
	}
}

// renewals tells the renewals what to renew.
func (co *Core) renewals(now clock.Instant) {
	co.renew(now, renewal.TableMsg{Table: co.table, Domains: co.fleet.Domains})
}
