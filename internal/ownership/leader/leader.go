// Package leader decides which upstream owns which keys. Its core is run by
// the host that holds the leader's row: it follows members and upstreams,
// plans moves and leads each one through its steps, so that no key ever has
// two owners.
//
// A move is first written to the store. Then the old owner is given the keys
// once more with a higher epoch, so that it refuses every older renewal, and
// releases them; or, if it cannot be reached, its last grant must have run
// out. Only then the next owner gets them.
//
//	co := leader.New(now, table)
//	cmds := co.Update(now, leader.TickMsg{})
package leader

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/balance"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/peer/protocol"
)

// StatusMsg is a member's status.
type StatusMsg struct{ Status protocol.Status }

// FleetMsg lists the upstreams of the keyed services.
type FleetMsg struct {
	Keyed     map[ident.Service]bool
	Upstreams []Upstream
}

// Upstream is what the leader needs to know of an upstream.
type Upstream struct {
	ID      ident.Upstream
	Service ident.Service
	Domain  ident.Domain
	Slots   int
	Life    roster.Life
	// Usable upstreams may own keys; the others have to lose theirs.
	Usable    bool
	ColdUntil clock.Instant
	// ColdRate is how many requests a second it can take while cold.
	ColdRate float64
}

// StoredMsg brings the assignment as the store has it.
type StoredMsg struct{ Table *assignment.Table }

// NotStoredMsg says that the last commit did not take effect.
type NotStoredMsg struct{}

// ReadMsg brings what the store holds after a commit of which it is not known
// whether it took effect.
type ReadMsg struct{ Table *assignment.Table }

// StepMsg is the end of a call about a move.
type StepMsg struct {
	Move     MoveID
	Step     Step
	Result   Result
	Handover keyspace.Handover
}

// Result tells what is known of a call to an upstream.
type Result int

const (
	// Unknown means that the call may have taken effect or still may.
	Unknown Result = iota
	// Taken means that it took effect.
	Taken
	// Superseded means that the upstream saw a higher epoch.
	Superseded
	// Refused means that it had no effect.
	Refused
	// Misdirected means that the address belongs to another upstream now.
	Misdirected
)

// TickMsg says that time has passed.
type TickMsg struct{}

// CommitCmd tells to write a table to the store.
type CommitCmd struct{ Table *assignment.Table }

// CallCmd tells to make a call to an upstream for a move.
type CallCmd struct {
	Move     MoveID
	Step     Step
	Service  ident.Service
	Upstream ident.Upstream
	Range    keyspace.Range
	Epoch    keyspace.Epoch
	Hold     time.Duration
	Handover keyspace.Handover
	// Timeout bounds the call.
	Timeout time.Duration
}

// EventCmd is a change of belief, for the log.
type EventCmd struct {
	What   string
	Fields map[string]any
}

// Cmd is one of the commands.
type Cmd any

const (
	// tickTime is how often the core wants to be woken.
	tickTime = 100 * time.Millisecond
	// tellTime is how long it takes to tell one member of a new table; the next
	// one is stored when all may have been told.
	tellTime = 500 * time.Microsecond
	// silentTime is how long a member may say nothing before it counts as dead:
	// two statuses lost and a third late.
	silentTime = 1300 * time.Millisecond
	// forgetTime is how long a dead member stays in the table.
	forgetTime = 20 * time.Second
	// commitRetry is the time between two tries to write to the store.
	commitRetry = 250 * time.Millisecond
	// watchEvery is the time between two looks at who is alive.
	watchEvery = 50 * time.Millisecond
	// planEvery is the time between two looks at the load.
	planEvery = 250 * time.Millisecond
	// settleTime is how long the upstreams of a service must be unchanged
	// before its keys are dealt for the first time.
	settleTime = 1800 * time.Millisecond
	// unreachedTime is how long renewals of an upstream must fail before its
	// keys are taken from it.
	unreachedTime = 700 * time.Millisecond
	// avoidTime is how long such an upstream gets no keys, doubled each time.
	avoidTime    = 3 * time.Second
	maxAvoidTime = 24 * time.Second
	// movesPerTarget bounds the moves for load at a time, by the service's
	// upstreams; each move keeps some keys waiting for a moment.
	movesPerTarget = 0.2
	minMoves       = 3
	// sharesPerTarget bounds how finely the keys are cut.
	sharesPerTarget = 12
	// coldCapacity is the part of a cold upstream's rate that is planned for.
	coldCapacity = 0.6
	// defaultWork is the expected time for an answer before any was seen.
	defaultWork = 200 * time.Millisecond
	// workWeight is the weight of one answer in an upstream's mean, and
	// maxWorkStep bounds the logarithm by which one status can differ from it.
	workWeight  = 0.06
	maxWorkStep = 1.5
	// ackMemory is how many words of a member are remembered; the oldest one that
	// is left stands for those before it.
	ackMemory = 256
	// meanOverMedian is how much longer the mean time of answers is than the
	// median, which averaged logarithms come near: a few take very long.
	meanOverMedian = 1.6
	// failureWeight is the weight of one status in an upstream's success share.
	failureWeight = 0.3
)

// upstream is what is known of an upstream.
type upstream struct {
	Upstream
	work    time.Duration
	success float64
	// avoidUntil is when it may own keys again after it could not be reached.
	avoidUntil clock.Instant
	avoided    int
}

// Core decides while its host leads. It is not safe for concurrent use.
type Core struct {
	began clock.Instant
	// before is the leader before this one; beforeGone tells that it is known
	// to lead no more: it resigned, or follows us.
	before     election.Row
	beforeGone bool
	// settledAt is when the lead became settled, 0 before that.
	settledAt clock.Instant
	table     *assignment.Table
	draft     *assignment.Table
	dirty     bool
	inFlight  bool
	// commitAt is when the next commit may be tried.
	commitAt  clock.Instant
	members   map[ident.Host]*member
	keyed     map[ident.Service]bool
	upstreams map[ident.Upstream]*upstream
	changedAt clock.Instant
	loads     map[ident.Service]*balance.Load
	moves     map[MoveID]*move
	plannedAt clock.Instant
	watchedAt clock.Instant
	events    []Cmd
	// resumed moves were begun by an earlier leader.
	resumed map[MoveID]bool
}

// New makes the core of a host that has begun to lead with a table after
// another host, whose silence let it take over.
func New(now clock.Instant, tb *assignment.Table, before election.Row) *Core {
	co := &Core{
		began: now, before: before, beforeGone: before.Host == "", table: tb, draft: tb.Clone(), members: map[ident.Host]*member{}, upstreams: map[ident.Upstream]*upstream{},
		loads: map[ident.Service]*balance.Load{}, moves: map[MoveID]*move{}, changedAt: now, resumed: map[MoveID]bool{},
	}
	for _, mb := range tb.Members {
		// They have a while to show up before they count as dead.
		co.members[mb.Host] = &member{heardAt: now, latest: mb}
		if mb.Host == before.Host {
			co.members[mb.Host].heardAt = now.Add(-silentTime)
		}
	}
	for _, sh := range tb.Shares {
		if sh.Moving() {
			co.resumed[moveID(sh)] = true
		}
	}
	co.adopt(now)
	return co
}

// Settled tells whether no earlier leader can still be heard by any member: the
// last one is known to lead no more and was settled itself, or so much time has
// passed that all have given up.
func (co *Core) Settled(now clock.Instant) bool {
	first := co.before.Term == 0
	return now.Sub(co.began) >= election.LeadTime || co.beforeGone && (first || co.before.Settled)
}

// Table is the assignment as the store has it.
func (co *Core) Table() *assignment.Table { return co.table }

// Update takes one message and returns what to do.
func (co *Core) Update(now clock.Instant, msg any) []Cmd {
	var cmds []Cmd
	switch ms := msg.(type) {
	case StatusMsg:
		co.status(now, ms.Status)
	case FleetMsg:
		co.fleet(now, ms)
	case StoredMsg:
		co.stored(now, ms.Table)
	case NotStoredMsg:
		co.notStored(now)
	case ReadMsg:
		co.read(now, ms.Table)
	case StepMsg:
		co.step(now, ms)
	}
	if co.settledAt == 0 && co.Settled(now) {
		co.settledAt = now
	}
	if now.Sub(co.watchedAt) >= watchEvery {
		co.watchedAt = now
		co.watchMembers(now)
	}
	if now.Sub(co.plannedAt) >= planEvery {
		co.plannedAt = now
		co.plan(now)
	}
	if _, isStatus := msg.(StatusMsg); !isStatus {
		// Statuses come by the hundred each second; what follows from them can
		// wait for the next tick.
		cmds = append(cmds, co.advance(now)...)
	}
	if co.dirty && !co.inFlight && now >= co.commitAt {
		cmds = append(cmds, co.commit())
	}
	cmds = append(cmds, co.events...)
	co.events = nil
	return cmds
}

// Next returns when the core has to be woken.
func (co *Core) Next(now clock.Instant) clock.Instant {
	if co.dirty && !co.inFlight {
		return min(now.Add(tickTime), max(co.commitAt, now))
	}
	return now.Add(tickTime)
}

func (co *Core) event(what string, fields map[string]any) {
	co.events = append(co.events, EventCmd{What: what, Fields: fields})
}

func (co *Core) commit() Cmd {
	co.draft.Revision = co.table.Revision + 1
	co.inFlight, co.dirty = true, false
	return CommitCmd{Table: co.draft.Clone()}
}

// stored takes a table that was committed.
func (co *Core) stored(now clock.Instant, tb *assignment.Table) {
	co.inFlight, co.table = false, tb
	co.commitAt = now.Add(time.Duration(len(tb.Members)) * tellTime)
	co.adopt(now)
}

// notStored keeps the draft for another try.
func (co *Core) notStored(now clock.Instant) {
	co.inFlight, co.dirty, co.commitAt = false, true, now.Add(commitRetry)
}

// read takes what the store holds. A write whose answer was lost may have taken
// effect: what the store holds is followed either way, and the draft, which all
// writes came from, has its changes too.
func (co *Core) read(now clock.Instant, tb *assignment.Table) {
	if !co.inFlight {
		return
	}
	co.notStored(now)
	co.table = tb
	co.adopt(now)
}

// status takes a member's status.
func (co *Core) status(now clock.Instant, st protocol.Status) {
	mb, known := co.members[st.Member.Host]
	if !known || mb.latest.Incarnation != st.Member.Incarnation {
		if known && st.Member.Incarnation < mb.latest.Incarnation {
			return
		}
		mb = &member{}
		co.members[st.Member.Host] = mb
		co.event("memberJoined", map[string]any{"host": st.Member.Host, "incarnation": st.Member.Incarnation})
	}
	mb.heardAt, mb.latest, mb.stopping = now, st.Member, st.Stopping
	co.beforeGone = co.beforeGone || st.Member.Host == co.before.Host
	mb.ack(now, st.Revision)
	for _, kl := range st.Keys {
		ld, known := co.loads[kl.Service]
		if !known {
			ld = balance.NewLoad(now)
			co.loads[kl.Service] = ld
		}
		ld.Add(now, kl.Key, kl.Count)
	}
	for _, ul := range st.Upstreams {
		co.observe(now, ul)
	}
}

// observe takes what a member saw of an upstream.
func (co *Core) observe(now clock.Instant, ul protocol.UpstreamLoad) {
	up, known := co.upstreams[ul.Upstream]
	if !known {
		return
	}
	if ul.Answers > 0 {
		up.learn(ul)
	}
	if total := ul.Answers + ul.Failures; total > 0 {
		weight := min(failureWeight*float64(total), 0.8)
		up.success += weight * (float64(ul.Answers)/float64(total) - up.success)
	}
	if ul.Unreached >= unreachedTime && up.avoidUntil <= now {
		up.avoidUntil = now.Add(min(avoidTime<<up.avoided, maxAvoidTime))
		up.avoided = min(up.avoided+1, 3)
		co.plannedAt = 0
		co.event("upstreamUnreached", map[string]any{"upstream": ul.Upstream, "forMs": ul.Unreached.Milliseconds()})
	}
	if ul.Superseded {
		co.raise(ul.Upstream)
	}
}

// learn takes the time of answers. Single answers differ by far more than
// upstreams do, so that logarithms are averaged, and slowly.
func (up *upstream) learn(ul protocol.UpstreamLoad) {
	mean := ul.Work / time.Duration(ul.Answers)
	step := math.Log(float64(mean) / float64(up.work))
	step = max(min(step, maxWorkStep), -maxWorkStep)
	weight := 1 - math.Pow(1-workWeight, float64(ul.Answers))
	up.work = time.Duration(float64(up.work) * math.Exp(weight*step))
}

// raise gives an upstream's keys a higher epoch after it refused the current
// one: it saw a grant of a table that never came into force.
func (co *Core) raise(id ident.Upstream) {
	for ix := range co.draft.Shares {
		sh := &co.draft.Shares[ix]
		if sh.Owner.Upstream == id && !sh.Moving() && co.draft.NextEpoch > sh.Owner.Epoch {
			sh.Owner.Epoch = co.draft.TakeEpoch()
			co.dirty = true
		}
	}
}

// fleet takes the upstreams that exist.
func (co *Core) fleet(now clock.Instant, ms FleetMsg) {
	co.keyed = ms.Keyed
	listed := map[ident.Upstream]bool{}
	for _, up := range ms.Upstreams {
		listed[up.ID] = true
		us, known := co.upstreams[up.ID]
		if !known || us.Life != up.Life {
			us = &upstream{work: co.typical(up.Service), success: 1}
			co.upstreams[up.ID] = us
			co.changedAt, co.plannedAt = now, 0
		}
		if us.Usable != up.Usable {
			co.plannedAt = 0
		}
		us.Upstream = up
	}
	for id := range co.upstreams {
		if !listed[id] {
			delete(co.upstreams, id)
			co.changedAt, co.plannedAt = now, 0
		}
	}
}

// typical is the mean time for an answer at a service's upstreams.
func (co *Core) typical(sv ident.Service) time.Duration {
	sum, count := time.Duration(0), 0
	for _, up := range co.upstreams {
		if up.Service == sv {
			sum, count = sum+up.work, count+1
		}
	}
	if count == 0 {
		return defaultWork
	}
	return sum / time.Duration(count)
}
