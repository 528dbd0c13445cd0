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
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/balance"
	"chervilwalk/internal/ownership/election"
)

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
)

// Core assigns keys to upstreams while its host leads. It is not safe for
// concurrent use.
type Core struct {
	startedAt clock.Instant
	// self is the leader's own host, empty before its first status.
	self ident.Host
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
	commitAt clock.Instant
	members  map[ident.Host]*member
	// witnessedRevision is the newest that a member other than this host knows.
	witnessedRevision  assignment.Revision
	keyed              map[ident.Service]bool
	upstreams          map[ident.Upstream]*upstream
	upstreamsChangedAt clock.Instant
	loads              map[ident.Service]*balance.Load
	workTimes          map[ident.Service]*workTimes
	moves              map[MoveID]*move
	// movesDueAt is when startDueCalls has to look at the moves again.
	movesDueAt clock.Instant
	plannedAt  clock.Instant
	// checksDueAt is when startDueChecks has to look at the upstreams again.
	checksDueAt      clock.Instant
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
		loads: map[ident.Service]*balance.Load{}, workTimes: map[ident.Service]*workTimes{}, moves: map[MoveID]*move{}, upstreamsChangedAt: now, era: er,
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
	co.recovery.uncertain = previous.Uncertain
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
	movesDue := true
	switch ms := msg.(type) {
	case StatusMsg:
		// Hundreds of statuses arrive per second. Other moves that depend on them can wait for
		// the next tick.
		movesDue = co.handleStatus(now, ms)
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
	case CheckedMsg:
		co.handleChecked(ms)
	case ReportMsg:
		co.handleReport(now, ms.Table)
	}
	if co.recovery.active && !co.finishRecovery(now) {
		return co.takeEvents(nil)
	}
	co.endUncertainty(now)
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
	if movesDue && !co.frozen(now) {
		cmds = append(cmds, co.startDueCalls(now)...)
	}
	cmds = append(cmds, co.startDueChecks(now)...)
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
// upstreams that the status reports on. It reports whether moves have waited for the status.
func (co *Core) handleStatus(now clock.Instant, ms StatusMsg) (witnessed bool) {
	st := ms.Status
	mb, known := co.members[st.Member.Host]
	if !known || mb.latest.Incarnation != st.Member.Incarnation {
		if known && st.Member.Incarnation < mb.latest.Incarnation {
			return false
		}
		mb = &member{}
		co.members[st.Member.Host] = mb
		co.logEvent("memberJoined", map[string]any{"host": st.Member.Host, "incarnation": st.Member.Incarnation})
	}
	mb.heardAt, mb.latest, mb.stopping = now, st.Member, st.Stopping
	if ms.Own {
		co.self = st.Member.Host
	}
	co.previousGone = co.previousGone || st.Member.Host == co.previous.Host
	mb.ack(now, st.Revision)
	witnessed = co.noteWitness(now, st.Member.Host, st.Revision)
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
	return witnessed
}
