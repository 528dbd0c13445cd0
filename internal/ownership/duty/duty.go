// Package duty is one host's part in the ownership of keys: it runs the
// election, leads while its host holds the leader's row, follows the assignment
// and renews grants. It is the one place that orders reads, writes and messages
// about all of these.
//
// The core is pure: it is told what happened and returns what to do.
//
//	co := duty.New(member)
//	cmds := co.Update(now, duty.TickMsg{})
package duty

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/peer/talk"
)

const (
	// statusEvery is the time between two statuses to the leader.
	statusEvery = 400 * time.Millisecond
	// electionTick is how often the election is looked at.
	electionTick = 150 * time.Millisecond
	// historySize is how many earlier tables a leader keeps: those of a second
	// in which many keys move.
	historySize = 16
	// followedSize is the same for all others, one of which may lead next.
	followedSize = 3
)

// Outcome tells what is known of a write to the store.
type Outcome int

const (
	// Unknown means that it may have been done, or may still be.
	Unknown Outcome = iota
	// Done means that it took effect.
	Done
	// Conflict means that a row had changed and nothing was written.
	Conflict
	// NotDone means that nothing was written.
	NotDone
)

// RowsMsg is the end of a read of the leader's row and the assignment.
type RowsMsg struct {
	Began   clock.Instant
	Failed  bool
	Row     election.Row
	RowAt   election.Version
	Table   *assignment.Table
	TableAt election.Version
}

// WrittenMsg is the end of a write.
type WrittenMsg struct {
	Write   WriteCmd
	Began   clock.Instant
	Outcome Outcome
	Version election.Version
}

// StatusMsg is a member's status; From is where it came from.
type StatusMsg struct {
	Status talk.Status
	From   string
}

// BeatMsg is a sign of a leader.
type BeatMsg struct {
	Beat talk.Beat
	From string
}

// ViewMsg is an assignment from a leader.
type ViewMsg struct {
	Beat  talk.Beat
	Table *assignment.Table
	From  string
}

// DeltaMsg is what a leader says that changed of the assignment.
type DeltaMsg struct {
	Beat  talk.Beat
	Delta assignment.Delta
	From  string
}

// FleetMsg tells which upstreams there are.
type FleetMsg struct {
	Fleet   leader.FleetMsg
	Domains map[ident.Upstream]ident.Domain
}

// StepMsg is the end of a call about a move.
type StepMsg leader.StepMsg

// RenewedMsg is the end of a renewal.
type RenewedMsg renewal.ResultMsg

// StopMsg begins a planned stop.
type StopMsg struct{}

// TickMsg says that time has passed.
type TickMsg struct{}

// ReadCmd tells to read the leader's row and the assignment.
type ReadCmd struct{}

// WriteCmd tells to write the leader's row or the assignment, if both still
// have the versions. One of Row and Table is nil.
type WriteCmd struct {
	Row     *election.Row
	Table   *assignment.Table
	RowAt   election.Version
	TableAt election.Version
}

// CallCmd tells to make a call about a move.
type CallCmd leader.CallCmd

// RenewCmd tells to renew an upstream's grants.
type RenewCmd renewal.RenewCmd

// EventCmd is a change of belief, for the log.
type EventCmd leader.EventCmd

// StatusCmd tells to send this host's status with what it counted.
type StatusCmd struct {
	To     string
	Status talk.Status
}

// BeatCmd tells to send a sign of this host's lead. RosterAt and RosterDigest
// are of the upstreams' entries that the receiver knows.
type BeatCmd struct {
	To                     string
	RosterAt, RosterDigest uint64
	Beat                   talk.Beat
}

// ViewCmd tells to send the assignment in force, to a receiver that knows Base;
// nil where what it knows is too old.
type ViewCmd struct {
	To          string
	Beat        talk.Beat
	Table, Base *assignment.Table
}

// TableCmd says that a newer assignment is in force.
type TableCmd struct{ Table *assignment.Table }

// Cmd is one of the commands.
type Cmd any

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
	// startedAt is when this process began; echoes are the newest SentAt of each
	// member's statuses by its address, while this host leads.
	startedAt clock.Instant
	echoes    map[string]clock.Instant

	// One write goes to the store at a time, so that the versions that it
	// expects are those that the last one left.
	writing  bool
	writeRow bool
	// history are the tables before the one in force, the newest last.
	history []*assignment.Table
	// leadSince is the revision with which this host took up the lead.
	leadSince assignment.Revision
	// unsure is set after a write of the assignment of which it is not known
	// whether it took effect, until the rows were read.
	unsure bool
	draft  *assignment.Table

	cmds []Cmd
}

// New makes the core of a host; fitness from 0 to 1 is how well it can lead.
func New(self assignment.Member, fitness float64) *Core {
	return &Core{
		self: self, election: election.New(self.Host, self.Address, self.Incarnation, fitness), renewal: renewal.New(self.Host),
		table: &assignment.Table{}, echoes: map[string]clock.Instant{},
	}
}

// Table is the assignment in force.
func (co *Core) Table() *assignment.Table { return co.table }

// Leading tells whether this host leads.
func (co *Core) Leading() bool { return co.leader != nil }

// Term is the newest term known.
func (co *Core) Term() talk.Term { return co.election.Term() }

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
		co.leader, co.draft, co.unsure = nil, nil, false
		clear(co.echoes)
		if co.stopping {
			co.resigned()
		}
	}
	switch cmd {
	case election.Read:
		co.do(ReadCmd{})
	case election.Write:
		co.writeRow = true
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
			co.draft = cmd.Table
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

// follow takes a table into force if it is newer.
func (co *Core) follow(now clock.Instant, tb *assignment.Table) {
	if tb.Revision <= co.table.Revision {
		return
	}
	co.remember(co.table)
	co.table = tb
	best := 0
	for _, mb := range tb.Members {
		if mb.Alive {
			best = max(best, mb.Fitness)
		}
	}
	co.election.Among(float64(best) / 100)
	co.do(TableCmd{Table: tb})
	co.renewals(now)
}

// remember keeps a table that is replaced, so that members that know it can be
// told what changed since.
func (co *Core) remember(tb *assignment.Table) {
	size := followedSize
	if co.leader != nil {
		size = historySize
	}
	co.history = append(co.history, tb)
	co.history = co.history[max(len(co.history)-size, 0):]
}

// known finds a table that was in force not long ago; nil where it is too old.
func (co *Core) known(rv assignment.Revision) *assignment.Table {
	for _, tb := range co.history {
		if tb.Revision == rv {
			return tb
		}
	}
	return nil
}

// confirm notes that the table in force was the newest at a time.
func (co *Core) confirm(now, at clock.Instant) {
	co.confirmedAt = max(co.confirmedAt, at)
	co.renew(now, renewal.ConfirmMsg{At: at})
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
	if !co.writing {
		co.tableAt = ms.TableAt
	}
	co.elect(now, election.RowMsg{Row: ms.Row, Version: ms.RowAt, Began: ms.Began})
	if co.unsure {
		co.unsure = false
		co.lead(now, leader.ReadMsg{Table: ms.Table})
	}
}

// write starts the next write that waits.
func (co *Core) write() {
	if co.writing || co.unsure || !co.writeRow && co.draft == nil {
		return
	}
	row, rowAt := co.election.Proposal()
	// The row is claimed only together with the assignment that was read with
	// it: one that an earlier leader still changed would be followed too late.
	cmd := WriteCmd{RowAt: rowAt, TableAt: co.tableAt}
	if co.writeRow {
		co.writeRow, cmd.Row = false, &row
	} else {
		cmd.Table, co.draft = co.draft, nil
	}
	co.writing = true
	co.do(cmd)
}

// written takes the end of a write.
func (co *Core) written(now clock.Instant, ms WrittenMsg) {
	co.writing = false
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
		co.unsure = co.leader != nil
		co.elect(now, election.WriteFailedMsg{Conflict: true})
	}
}

// sendStatus tells the leader how this host is, or takes it as the leader.
func (co *Core) sendStatus(now clock.Instant) {
	co.statusAt = now
	cmd := StatusCmd{To: co.election.Leader().Address, Status: talk.Status{
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
		co.do(ViewCmd{To: ms.From, Beat: co.sign(now, ms.From), Table: co.table, Base: co.known(ms.Status.Revision)})
	default:
		co.do(BeatCmd{To: ms.From, Beat: co.sign(now, ms.From), RosterAt: ms.Status.RosterAt, RosterDigest: ms.Status.RosterDigest})
	}
	co.lead(now, leader.StatusMsg{Status: ms.Status})
}

// sign is the sign of this host's lead to a member at an address.
func (co *Core) sign(now clock.Instant, to string) talk.Beat {
	return talk.Beat{
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
			co.do(ViewCmd{To: mb.Address, Beat: co.sign(now, mb.Address), Table: co.table, Base: base})
		}
	}
	co.sendStatus(now)
}

// resigned tells the members that this host leads no more.
func (co *Core) resigned() {
	for _, mb := range co.table.Members {
		if mb.Host != co.self.Host {
			co.do(BeatCmd{To: mb.Address, Beat: talk.Beat{Term: co.election.Term(), Revision: co.table.Revision}})
		}
	}
}
