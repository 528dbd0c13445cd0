// Package leader decides which upstream owns which keys. The host that holds the
// leader's row runs its core. The core tracks members and upstreams, plans moves
// of keys between upstreams and runs each move step by step, so that a key never
// has two owners.
//
// A move is first written to the store. Then the old owner is fenced: it gets the
// keys again with a higher epoch, so that it refuses every older renewal. Then it
// releases the keys. If it cannot be reached, the leader waits until its last
// grant has expired. Only then are the keys granted to the next owner.
//
//	co := leader.New(now, table, previousRow)
//	cmds := co.Update(now, leader.TickMsg{})
package leader

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/balance"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/peer/protocol"
)

// StatusMsg carries the periodic status of a member.
type StatusMsg struct {
	Status protocol.Status
	// Follows reports whether the member has heard of this leader's term.
	Follows bool
}

// ReportMsg is the assignment that a member remembers from an earlier era.
type ReportMsg struct{ Table *assignment.Table }

// UpstreamsMsg lists the keyed services and all their upstreams.
type UpstreamsMsg struct {
	Keyed     map[ident.Service]bool
	Upstreams []Upstream
}

// Upstream describes one upstream to the leader.
type Upstream struct {
	ID          ident.Upstream
	Service     ident.Service
	Domain      ident.Domain
	Slots       int
	Incarnation roster.Incarnation
	// Usable upstreams may own keys; the keys of others are moved away.
	Usable bool
	// ColdUntil is when its warm-up ends.
	ColdUntil clock.Instant
	// ColdRate is how many requests per second it can take during warm-up.
	ColdRate float64
}

// CommittedMsg reports that a commit took effect, with the table now in the store.
type CommittedMsg struct{ Table *assignment.Table }

// CommitFailedMsg reports that the last commit did not take effect.
type CommitFailedMsg struct{}

// TableReadMsg carries a table read from the store: after a commit with an unknown
// outcome, or one that such a commit has left there later.
type TableReadMsg struct{ Table *assignment.Table }

// StepMsg is the result of a CallCmd.
type StepMsg struct {
	Move     MoveID
	Step     Step
	Result   Result
	Handover keyspace.Handover
}

// Result is the outcome of a call to an upstream.
type Result int

const (
	// Unknown means that the call may have taken effect or may still do so.
	Unknown Result = iota
	// Taken means that the call took effect.
	Taken
	// Superseded means that the upstream has seen a higher epoch.
	Superseded
	// Refused means that the call had no effect.
	Refused
	// Misdirected means that the address now belongs to another upstream.
	Misdirected
)

// TickMsg reports that time has passed.
type TickMsg struct{}

// CommitCmd requests a write of the table to the store.
type CommitCmd struct{ Table *assignment.Table }

// CallCmd requests a call to an upstream for one step of a move.
type CallCmd struct {
	Move     MoveID
	Step     Step
	Service  ident.Service
	Upstream ident.Upstream
	Range    keyspace.Range
	Epoch    keyspace.Epoch
	// TTL is the lifetime of the grant, 0 for a release.
	TTL time.Duration
	// Handover is what the old owner returned on release, for the next owner.
	Handover keyspace.Handover
	Timeout  time.Duration
}

// EventCmd requests a log event.
type EventCmd struct {
	Name   string
	Fields map[string]any
}

// Cmd is a CommitCmd, CallCmd or EventCmd.
type Cmd any

const (
	// tickInterval is the longest time between two calls of Update.
	tickInterval = 100 * time.Millisecond
	// notifyDelay is the time to send a new table to one member. The next commit
	// waits until the table can have been sent to all members.
	notifyDelay = 500 * time.Microsecond
	// memberTimeout is how long a member may be silent before it counts as dead:
	// enough for two lost statuses and a third one that is late.
	memberTimeout = 1300 * time.Millisecond
	// deadMemberTTL is how long a dead member stays in the table.
	deadMemberTTL = 20 * time.Second
	// commitRetryDelay is the time to the next commit after one that failed.
	commitRetryDelay = 250 * time.Millisecond
	// memberCheckInterval is the time between two checks of which members are alive.
	memberCheckInterval = 50 * time.Millisecond
	// planInterval is the time between two checks of the load.
	planInterval = 250 * time.Millisecond
	// initialAssignDelay is how long the list of upstreams must be unchanged before
	// the keys of a service are assigned for the first time.
	initialAssignDelay = 1800 * time.Millisecond
	// unreachedTimeout is how long renewals of an upstream must fail before its keys
	// are moved away.
	unreachedTimeout = 700 * time.Millisecond
	// avoidBackoff is how long an unreachable upstream gets no keys. It doubles each
	// time, up to maxAvoidBackoff.
	avoidBackoff    = 3 * time.Second
	maxAvoidBackoff = 24 * time.Second
	// movesPerTarget limits the concurrent moves for load, per upstream that may own
	// keys, because requests wait while their keys move. minMoves are always allowed.
	movesPerTarget = 0.2
	minMoves       = 3
	// sharesPerTarget limits into how many shares the keys of a service are split,
	// per upstream that may own keys.
	sharesPerTarget = 12
	// coldCapacityRatio is the fraction of a cold upstream's ColdRate that planning uses.
	coldCapacityRatio = 0.6
	// defaultWorkTime is the expected time per answer before any was measured.
	defaultWorkTime = 200 * time.Millisecond
	// workWeight is the weight of one answer in an upstream's mean time per answer.
	// maxWorkStep limits how far the logarithm of one status can be from the mean's.
	workWeight  = 0.06
	maxWorkStep = 1.5
	// maxAcks limits the acknowledgements kept per member. The oldest one that is
	// kept also covers all earlier revisions.
	maxAcks = 256
	// meanOverMedian is the ratio of the mean time per answer to the median. A few
	// answers take very long, and the average of logarithms is close to the median.
	meanOverMedian = 1.6
	// successWeight is the weight of one answer or failure in an upstream's success
	// ratio.
	successWeight = 0.3
)

// upstream is the leader's state of one upstream.
type upstream struct {
	Upstream
	// workTime is the average time per answer, computed from logarithms.
	workTime     time.Duration
	successRatio float64
	// avoidUntil is when an upstream that was unreachable may own keys again.
	avoidUntil clock.Instant
	// avoidCount is how often it was unreachable, at most 3.
	avoidCount int
}

// Core assigns keys to upstreams while its host leads. It is not safe for
// concurrent use.
type Core struct {
	startedAt clock.Instant
	// previous is the row of the leader before this one. previousGone is true when
	// it is known to lead no longer: it resigned or sent a status to this host.
	previous     election.Row
	previousGone bool
	// settledAt is when Settled was first seen to be true, 0 before that.
	settledAt clock.Instant
	// table is the assignment in the store, draft the next one to commit.
	table *assignment.Table
	draft *assignment.Table
	// dirty is true while the draft has changes to commit.
	dirty          bool
	commitInFlight bool
	// commitAt is the earliest time of the next commit.
	commitAt           clock.Instant
	members            map[ident.Host]*member
	keyed              map[ident.Service]bool
	upstreams          map[ident.Upstream]*upstream
	upstreamsChangedAt clock.Instant
	loads              map[ident.Service]*balance.Load
	moves              map[MoveID]*move
	// movesDueAt is when startDueCalls has to look at the moves again.
	movesDueAt       clock.Instant
	plannedAt        clock.Instant
	membersCheckedAt clock.Instant
	events           []Cmd
	// resumedMoves holds the moves that an earlier leader started.
	resumedMoves map[MoveID]bool
	// era is the store's era, recovery the state after it began.
	era      era.Era
	recovery recovery
}

// Option configures a Core.
type Option func(*Core)

// FirstStart says that the whole system starts for the first time, so that an empty
// store has lost nothing.
func FirstStart() Option { return func(co *Core) { co.recovery.firstStart = true } }

// New returns the core of a host that starts to lead with the given table in an era
// of the store. The row previous is that of the leader before it. It has no host if
// there was none or that leader resigned. With a table of an earlier era the core
// first recovers the newest one.
func New(now clock.Instant, tb *assignment.Table, previous election.Row, er era.Era, opts ...Option) *Core {
	co := &Core{
		startedAt: now, previous: previous, previousGone: previous.Host == "", members: map[ident.Host]*member{}, upstreams: map[ident.Upstream]*upstream{},
		loads: map[ident.Service]*balance.Load{}, moves: map[MoveID]*move{}, upstreamsChangedAt: now, era: er,
	}
	for _, opt := range opts {
		opt(co)
	}
	switch {
	case tb.Revision > 0 && era.Of(tb.Revision) < er:
		co.startRecovery(now)
	case tb.Revision == 0 && er > 0 && !co.recovery.firstStart:
		// The store may have lost even the first assignment.
		co.Freeze(now.Add(lostGrantTTL))
	}
	if previous.Frozen > 0 {
		co.Freeze(now.Add(previous.Frozen))
	}
	co.resume(now, tb)
	return co
}

// resume makes a table of an earlier leader the one to continue with.
func (co *Core) resume(now clock.Instant, tb *assignment.Table) {
	co.table, co.draft, co.resumedMoves = tb, tb.Clone(), map[MoveID]bool{}
	co.draft.LastEpoch = max(co.draft.LastEpoch, era.First[keyspace.Epoch](co.era))
	for _, mb := range tb.Members {
		if _, known := co.members[mb.Host]; known {
			continue
		}
		// Members get the full timeout to send a status before they count as dead.
		// The previous leader has been silent already.
		co.members[mb.Host] = &member{heardAt: now, latest: mb}
		if mb.Host == co.previous.Host {
			co.members[mb.Host].heardAt = now.Add(-memberTimeout)
		}
	}
	for _, sh := range tb.Shares {
		if sh.Moving() {
			co.resumedMoves[moveID(sh)] = true
		}
	}
	co.syncMoves(now)
}

// Settled reports whether no earlier leader can still reach any member: there was
// none, or the previous one was settled itself and is known to lead no longer, or
// enough time has passed for every earlier leader to have stepped down.
func (co *Core) Settled(now clock.Instant) bool {
	if co.frozen(now) {
		return false
	}
	noPrevious := co.previous.Term == 0
	return now.Sub(co.startedAt) >= election.StepDownTimeout || co.previousGone && (noPrevious || co.previous.Settled)
}

// Table returns the assignment in the store.
func (co *Core) Table() *assignment.Table { return co.table }

// Update handles one message and returns the commands to run.
func (co *Core) Update(now clock.Instant, msg any) []Cmd {
	var cmds []Cmd
	switch ms := msg.(type) {
	case StatusMsg:
		co.handleStatus(now, ms)
	case UpstreamsMsg:
		co.handleUpstreams(now, ms)
	case CommittedMsg:
		co.handleCommitted(now, ms.Table)
	case CommitFailedMsg:
		co.retryCommit(now)
	case TableReadMsg:
		co.handleTableRead(now, ms.Table)
	case StepMsg:
		co.handleStep(now, ms)
	case ReportMsg:
		co.handleReport(now, ms.Table)
	}
	if co.recovery.active && !co.finishRecovery(now) {
		return co.takeEvents(nil)
	}
	if co.settledAt == 0 && co.Settled(now) {
		co.settledAt = now
	}
	if now.Sub(co.membersCheckedAt) >= memberCheckInterval {
		co.membersCheckedAt = now
		co.updateMembers(now)
	}
	if now.Sub(co.plannedAt) >= planInterval && !co.frozen(now) {
		co.plannedAt = now
		co.plan(now)
	}
	if _, isStatus := msg.(StatusMsg); !isStatus && !co.frozen(now) {
		// Hundreds of statuses arrive per second. The moves that depend on them can
		// wait for the next tick.
		cmds = append(cmds, co.startDueCalls(now)...)
	}
	if co.dirty && !co.commitInFlight && now >= co.commitAt {
		cmds = append(cmds, co.commit())
	}
	return co.takeEvents(cmds)
}

// takeEvents appends the pending log events to cmds.
func (co *Core) takeEvents(cmds []Cmd) []Cmd {
	cmds = append(cmds, co.events...)
	co.events = nil
	return cmds
}

// Next returns when Update has to be called again.
func (co *Core) Next(now clock.Instant) clock.Instant {
	if co.dirty && !co.commitInFlight {
		return min(now.Add(tickInterval), max(co.commitAt, now))
	}
	return now.Add(tickInterval)
}

func (co *Core) logEvent(name string, fields map[string]any) {
	co.events = append(co.events, EventCmd{Name: name, Fields: fields})
}

func (co *Core) commit() Cmd {
	co.draft.Revision = max(co.table.Revision, era.First[assignment.Revision](co.era)) + 1
	co.commitInFlight, co.dirty = true, false
	return CommitCmd{Table: co.draft.Clone()}
}

// handleCommitted handles a successful commit.
func (co *Core) handleCommitted(now clock.Instant, tb *assignment.Table) {
	co.commitInFlight, co.table = false, tb
	co.commitAt = now.Add(time.Duration(len(tb.Members)) * notifyDelay)
	co.syncMoves(now)
}

// retryCommit schedules another commit of the draft.
func (co *Core) retryCommit(now clock.Instant) {
	co.commitInFlight, co.dirty, co.commitAt = false, true, now.Add(commitRetryDelay)
}

// handleTableRead handles a table read from the store. A commit whose answer was lost
// may have taken effect. The table in the store is used in both cases, unless the
// store has lost a newer one. The draft still contains the changes of the commit.
func (co *Core) handleTableRead(now clock.Instant, tb *assignment.Table) {
	if !co.commitInFlight && tb.Revision <= co.table.Revision {
		return
	}
	co.retryCommit(now)
	if tb.Revision < co.table.Revision {
		return
	}
	co.table = tb
	co.draft.LastEpoch = max(co.draft.LastEpoch, tb.LastEpoch)
	co.syncMoves(now)
}

// handleStatus updates the member that sent a status, the load per key and the
// upstreams that the status reports on.
func (co *Core) handleStatus(now clock.Instant, ms StatusMsg) {
	st := ms.Status
	mb, known := co.members[st.Member.Host]
	if !known || mb.latest.Incarnation != st.Member.Incarnation {
		if known && st.Member.Incarnation < mb.latest.Incarnation {
			return
		}
		mb = &member{}
		co.members[st.Member.Host] = mb
		co.logEvent("memberJoined", map[string]any{"host": st.Member.Host, "incarnation": st.Member.Incarnation})
	}
	mb.heardAt, mb.latest, mb.stopping = now, st.Member, st.Stopping
	co.previousGone = co.previousGone || st.Member.Host == co.previous.Host
	mb.ack(now, st.Revision)
	co.noteRevision(now, ms)
	for _, kl := range st.Keys {
		ld, known := co.loads[kl.Service]
		if !known {
			ld = balance.NewLoad(now)
			co.loads[kl.Service] = ld
		}
		ld.Add(now, kl.Key, kl.Count)
	}
	for _, ul := range st.Upstreams {
		co.handleLoad(now, ul)
	}
}

// handleLoad updates an upstream from a member's report of answers, failures and
// failed renewals.
func (co *Core) handleLoad(now clock.Instant, ul protocol.UpstreamLoad) {
	up, known := co.upstreams[ul.Upstream]
	if !known {
		return
	}
	if ul.Answers > 0 {
		up.updateWorkTime(ul)
	}
	if total := ul.Answers + ul.Failures; total > 0 {
		weight := min(successWeight*float64(total), 0.8)
		up.successRatio += weight * (float64(ul.Answers)/float64(total) - up.successRatio)
	}
	if ul.UnreachedFor >= unreachedTimeout && up.avoidUntil <= now {
		up.avoidUntil = now.Add(min(avoidBackoff<<up.avoidCount, maxAvoidBackoff))
		up.avoidCount = min(up.avoidCount+1, 3)
		co.plannedAt = 0
		co.logEvent("upstreamUnreached", map[string]any{"upstream": ul.Upstream, "forMs": ul.UnreachedFor.Milliseconds()})
	}
	if ul.Superseded && !co.frozen(now) {
		co.raiseEpochs(ul.Upstream)
	}
}

// updateWorkTime updates the average time per answer. Single answers differ far more
// than upstreams do, so it averages logarithms, each with a small weight.
func (up *upstream) updateWorkTime(ul protocol.UpstreamLoad) {
	mean := ul.WorkTime / time.Duration(ul.Answers)
	step := math.Log(float64(mean) / float64(up.workTime))
	step = max(min(step, maxWorkStep), -maxWorkStep)
	weight := 1 - math.Pow(1-workWeight, float64(ul.Answers))
	up.workTime = time.Duration(float64(up.workTime) * math.Exp(weight*step))
}

// raiseEpochs gives the keys of an upstream higher epochs after it refused the
// current one, because it had seen a grant of a table that was never in force.
func (co *Core) raiseEpochs(id ident.Upstream) {
	for ix := range co.draft.Shares {
		sh := &co.draft.Shares[ix]
		if sh.Owner.Upstream == id && !sh.Moving() && co.draft.LastEpoch > sh.Owner.Epoch {
			sh.Owner.Epoch = co.draft.TakeEpoch()
			co.dirty = true
		}
	}
}

// handleUpstreams replaces the list of upstreams. A changed list triggers a new
// plan.
func (co *Core) handleUpstreams(now clock.Instant, ms UpstreamsMsg) {
	co.keyed = ms.Keyed
	listed := map[ident.Upstream]bool{}
	for _, up := range ms.Upstreams {
		listed[up.ID] = true
		us, known := co.upstreams[up.ID]
		if !known || us.Incarnation != up.Incarnation {
			us = &upstream{workTime: co.meanWorkTime(up.Service), successRatio: 1}
			co.upstreams[up.ID] = us
			co.upstreamsChangedAt, co.plannedAt = now, 0
		}
		if us.Usable != up.Usable {
			co.plannedAt = 0
		}
		us.Upstream = up
	}
	for id := range co.upstreams {
		if !listed[id] {
			delete(co.upstreams, id)
			co.upstreamsChangedAt, co.plannedAt = now, 0
		}
	}
}

// meanWorkTime returns the mean time per answer over all upstreams of a service.
func (co *Core) meanWorkTime(sv ident.Service) time.Duration {
	sum, count := time.Duration(0), 0
	for _, up := range co.upstreams {
		if up.Service == sv {
			sum, count = sum+up.workTime, count+1
		}
	}
	if count == 0 {
		return defaultWorkTime
	}
	return sum / time.Duration(count)
}
