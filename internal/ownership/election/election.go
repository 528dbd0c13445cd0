// Package election elects the leader. The leader is the host that holds and
// renews one row of the store. A host that receives no heartbeats and finds the
// row unchanged for too long takes it over. Two hosts may both believe that they
// lead; this is safe, because only the holder of the row can change the
// assignment.
//
//	co := election.New("a-1", "10.0.0.7:7540", incarnation, 0.8)
//	cmd := co.Update(now, election.TickMsg{})
package election

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
)

const (
	// renewInterval is the time between two renewals of the row by the leader.
	renewInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a host receives no heartbeat before it reads
	// the row.
	heartbeatTimeout = 900 * time.Millisecond
	// readInterval is the time between reads of the row while no heartbeat arrives.
	readInterval = 450 * time.Millisecond
	// staleTimeout is how long the row must be unchanged before another host may
	// take it over: two renewals plus the latency of a slow store.
	staleTimeout = 1700 * time.Millisecond
	// maxClaimDelay is how long the least fit host waits before it claims a free
	// row: a fit host reads the row twice in this time.
	maxClaimDelay = time.Second
	// maxFirstClaimDelay is the same for a host that knows no assignment, and so not
	// how fit others are.
	maxFirstClaimDelay = 250 * time.Millisecond
	// LeaseTTL is how long a leader may start calls to upstreams after the store
	// last confirmed that it leads. LeaseTTL plus renewal.CallTimeout, the timeout of a
	// grant, is shorter than staleTimeout, after which another host can take over
	// the row.
	LeaseTTL = 1200 * time.Millisecond
	// StepDownTimeout is how long a leader continues without an answer from the store
	// before it steps down. Members renew for renewal.ConfirmTTL after its last
	// heartbeat, and their grants last for renewal.GrantTTL. So keys keep their
	// owners for up to 11 s without the store, less what heartbeats are late.
	StepDownTimeout = 5 * time.Second
)

// MaxFrozen is the longest Row.Frozen: at least the time for which a grant of a lost
// assignment can be valid.
const MaxFrozen = 12 * time.Second

// Row is the row in the store that names the leader. A row without a host is
// free to take.
type Row struct {
	Term        protocol.Term
	Host        ident.Host
	Address     string
	Incarnation uint64
	// Settled reports that no earlier leader can still be active.
	Settled bool
	// Frozen is for how long after writing the row no key may move, because the store
	// may have lost an assignment whose grants are still valid.
	Frozen time.Duration
	// Uncertain reports that the store may have lost a newer assignment and that the
	// epochs of the one that it has were not raised above those of the lost one yet.
	Uncertain bool
}

// Version is the version of the row in the store, 0 if there is no row.
type Version uint64

// RowMsg is the result of a read of the row that started at StartedAt.
type RowMsg struct {
	Era       era.Era
	Row       Row
	Version   Version
	StartedAt clock.Instant
	// Unreadable means that the row exists and could not be decoded.
	Unreadable bool
}

// EraMsg reports that the store came back from an older copy.
type EraMsg struct{ Era era.Era }

// ReadFailedMsg reports that the store did not answer a read.
type ReadFailedMsg struct{}

// HeartbeatMsg is a heartbeat of the leader. Host is empty if the leader has resigned.
type HeartbeatMsg struct {
	Term    protocol.Term
	Host    ident.Host
	Address string
	// RowVersion is the version of the row as the leader knows it.
	RowVersion Version
	// StoreAge is how long ago the store last confirmed the leader.
	StoreAge time.Duration
}

// ResignMsg reports that this host is about to stop.
type ResignMsg struct{}

// WrittenMsg reports that this host's write of the row took effect. The write
// started at StartedAt.
type WrittenMsg struct {
	Row       Row
	Version   Version
	StartedAt clock.Instant
}

// WriteFailedMsg reports that a claim or renewal of the row had no effect, or that
// its effect is unknown. Conflict means that the row had changed.
type WriteFailedMsg struct{ Conflict bool }

// TickMsg reports that time has passed.
type TickMsg struct{}

// Cmd is the store operation that the caller has to perform.
type Cmd int

const (
	// Wait means no operation.
	Wait Cmd = iota
	// Read reads the row and the assignment.
	Read
	// Write writes the row of Proposal if the store still has the version that
	// Proposal returns with it.
	Write
)

// Core runs the election for one host. It is not safe for concurrent use.
type Core struct {
	self Row
	// jitter keeps the hosts from reading the row all at once.
	jitter time.Duration
	// fitness is how well this host can lead, bestFitness the highest of all hosts;
	// both are from 0 to 1. bestFitness is 0 until it is set.
	fitness, bestFitness float64
	// freeSince is when the row was first read as free to take, clock.Never while
	// it is held.
	freeSince clock.Instant
	leading   bool
	// era is the store's era. ledLast is set if this host led when it began: what it
	// remembers is as new as anything, so it need not wait for the row to be stale.
	era     era.Era
	ledLast bool
	// uncontested is set if, besides, no other host can have led in between.
	uncontested bool
	// inFlight is true while a read or write has not returned.
	inFlight bool
	row      Row
	version  Version
	// unreadable is true while the newest known version of the row cannot be decoded.
	unreadable    bool
	rowChangedAt  clock.Instant
	leaderHeardAt clock.Instant
	readStartedAt clock.Instant
	// secondReadAt is when a host that has just started reads the row again: all hosts may have
	// started at once. It is 0 before the first read and after the second one.
	secondReadAt   clock.Instant
	writeStartedAt clock.Instant
	// confirmedAt is when the store last confirmed that this host leads.
	confirmedAt clock.Instant
	// rowKnown is false until the row has been read or a heartbeat has named its
	// version, and again after a conflict or after StepDownTimeout without the
	// store.
	rowKnown bool
	// settled, frozen and uncertain are the values of the row's fields to write while this host
	// leads.
	settled   bool
	frozen    time.Duration
	uncertain bool
	// resigning hosts free the row and never claim it again.
	resigning bool
	// claimable is true after a read that found the row free and the claim delay over.
	claimable bool
	// started is set by the first read that was answered.
	started bool
}

// New returns the core of a host. The fitness, from 0 to 1, is how well the host
// can lead. Hosts that are less fit than others delay their claim of a free row,
// so that a fit host gets it.
func New(host ident.Host, address string, incarnation uint64, fitness float64) *Core {
	jitter := time.Duration(ident.Weight("election", string(host))%100) * time.Millisecond
	fitness = max(fitness, minFitness)
	return &Core{self: Row{Host: host, Address: address, Incarnation: incarnation}, jitter: jitter, fitness: fitness, freeSince: clock.Never}
}

// minFitness keeps fitness above 0, as claimDelay divides by it.
const minFitness = 0.01

// SetBestFitness sets the highest fitness of all hosts.
func (co *Core) SetBestFitness(best float64) { co.bestFitness = max(best, co.fitness) }

// claimDelay returns how long this host waits before it claims a free row.
func (co *Core) claimDelay() time.Duration {
	if co.bestFitness == 0 {
		return time.Duration((1 - min(co.fitness, 1)) * float64(maxFirstClaimDelay))
	}
	return time.Duration((1 - co.fitness/co.bestFitness) * float64(maxClaimDelay))
}

// Leading reports whether this host leads.
func (co *Core) Leading() bool { return co.leading }

// Era returns the newest known era of the store.
func (co *Core) Era() era.Era { return co.era }

// Uncontested reports whether this host led when the era began and no other host can
// have led after it.
func (co *Core) Uncontested() bool { return co.ledLast && co.uncontested }

// Term returns the newest known term.
func (co *Core) Term() protocol.Term { return co.row.Term }

// Leader returns the row of the newest known leader.
func (co *Core) Leader() Row { return co.row }

// Confirmed returns when the store last confirmed that this host leads.
func (co *Core) Confirmed() clock.Instant { return co.confirmedAt }

// Confirm records that the store accepted a write that only the leader can make
// and that started at now.
func (co *Core) Confirm(now clock.Instant) { co.confirmedAt = max(co.confirmedAt, now) }

// Settle sets whether no earlier leader can still be active, for how long no key may move, and
// whether the assignment is uncertain.
func (co *Core) Settle(settled bool, frozen time.Duration, uncertain bool) {
	co.settled, co.frozen, co.uncertain = settled, frozen, uncertain
}

// Proposal returns the row to write and the version that it replaces.
func (co *Core) Proposal() (Row, Version) {
	rw := co.self
	rw.Term = co.row.Term
	if !co.leading {
		rw.Term = max(rw.Term, era.First[protocol.Term](co.era)) + 1
		if co.unreadable {
			// The last term may be one that this host has never heard of. Each term took
			// a write, so the store's version is at least as high.
			_, version := era.Split(co.version)
			rw.Term = max(rw.Term, era.First[protocol.Term](co.era)+protocol.Term(min(uint64(version), era.MaxCounter))+1)
		}
	}
	rw.Settled, rw.Frozen, rw.Uncertain = co.leading && co.settled, co.frozen, co.uncertain
	if !co.leading {
		rw.Frozen, rw.Uncertain = co.row.Frozen, co.row.Uncertain
		if era.Of(co.row.Term) < co.era {
			// The first leader of an era knows only after its claim whether the store has lost
			// an assignment. Whoever takes over before its next write must assume so.
			rw.Frozen, rw.Uncertain = MaxFrozen, true
		}
	}
	if co.resigning {
		// A row without a host is free to take.
		rw = Row{Term: rw.Term, Settled: rw.Settled, Frozen: rw.Frozen, Uncertain: rw.Uncertain}
	}
	return rw, co.version
}

// RowVersion returns the newest known version of the row.
func (co *Core) RowVersion() Version { return co.version }

// Update handles one message and returns the next store operation.
func (co *Core) Update(now clock.Instant, msg any) Cmd {
	if co.readStartedAt == 0 {
		co.readStartedAt = now.Add(-readInterval)
	}
	switch ms := msg.(type) {
	case RowMsg:
		co.inFlight = false
		co.handleRow(now, ms)
		co.scheduleSecondRead(now)
	case ReadFailedMsg:
		co.inFlight = false
	case HeartbeatMsg:
		co.handleHeartbeat(now, ms)
	case EraMsg:
		co.enterEra(now, ms.Era)
	case ResignMsg:
		co.resigning = true
	case WrittenMsg:
		co.inFlight = false
		co.handleWritten(now, ms)
	case WriteFailedMsg:
		co.inFlight, co.claimable = false, false
		if ms.Conflict || !co.leading {
			// Read at once who holds the row now.
			co.readStartedAt = now.Add(-readInterval)
			co.rowKnown = co.rowKnown && !ms.Conflict
		}
	}
	return co.nextCmd(now)
}

// handleRow adopts a row that was read and decides whether this host may claim it.
func (co *Core) handleRow(now clock.Instant, ms RowMsg) {
	first := !co.rowKnown
	co.rowKnown = true
	// The first read counts as a change: how long the row has been unchanged is
	// only known from then on.
	if ms.Version != co.version || first {
		co.rowChangedAt = now
	}
	co.version, co.unreadable = ms.Version, ms.Unreadable
	if ms.Unreadable {
		co.handleUnreadable(now)
		return
	}
	changed := ms.Row != co.row
	if ms.Row.Term >= co.row.Term {
		co.row = ms.Row
	}
	ours := ms.Row.Host == co.self.Host && ms.Row.Incarnation == co.self.Incarnation && era.Of(ms.Row.Term) == co.era
	if ours {
		// A write of this host took effect although its answer was lost.
		co.leading, co.confirmedAt = true, max(co.confirmedAt, ms.StartedAt)
		return
	}
	if co.leading && changed {
		co.leading = false
	}
	// The row was written by an earlier process on this host, which has ended.
	previousProcess := ms.Row.Host == co.self.Host
	free := ms.Version == 0 || ms.Row.Host == ""
	if !free && !previousProcess && !co.ledLast && (now.Sub(co.rowChangedAt) < staleTimeout || now.Sub(co.leaderHeardAt) < heartbeatTimeout) {
		co.freeSince, co.claimable = clock.Never, false
		return
	}
	co.freeSince = min(co.freeSince, now)
	co.claimable = now.Sub(co.freeSince) >= co.claimDelay()
}

// scheduleSecondRead sets when a host that has just read the row for the first time reads it
// again, if it hears no leader before: when it may claim the row.
func (co *Core) scheduleSecondRead(now clock.Instant) {
	if co.started {
		return
	}
	co.started = true
	if co.leading || co.claimable || co.unreadable {
		return
	}
	at := now
	if co.freeSince == clock.Never {
		// It counts as free from then on.
		co.freeSince = co.rowChangedAt.Add(staleTimeout)
		at = co.freeSince
	}
	co.secondReadAt = at.Add(co.claimDelay() + co.jitter)
}

// unreadableHost stands for the unknown leader whose row cannot be decoded.
const unreadableHost ident.Host = "(unreadable)"

// handleUnreadable handles a row that cannot be decoded. Its last leader and freeze are
// unknown: it is taken over like that of a leader which stopped, with the longest freeze.
func (co *Core) handleUnreadable(now clock.Instant) {
	co.row, co.leading = Row{Term: co.row.Term, Host: unreadableHost, Frozen: MaxFrozen, Uncertain: co.era > 0}, false
	if now.Sub(co.rowChangedAt) < staleTimeout || now.Sub(co.leaderHeardAt) < heartbeatTimeout {
		co.freeSince, co.claimable = clock.Never, false
		return
	}
	co.freeSince = min(co.freeSince, now)
	co.claimable = now.Sub(co.freeSince) >= co.claimDelay()
}

// enterEra forgets what this host knew of the store's row: the store may have lost it.
func (co *Core) enterEra(now clock.Instant, er era.Era) {
	co.uncontested = co.leading && now.Sub(co.confirmedAt) < staleTimeout || co.ledLast && co.uncontested
	co.ledLast = co.leading || co.ledLast
	co.era, co.leading, co.settled = er, false, false
	co.version, co.rowKnown, co.unreadable, co.rowChangedAt = 0, false, false, now
	co.freeSince, co.claimable = clock.Never, false
}

func (co *Core) handleHeartbeat(now clock.Instant, ms HeartbeatMsg) {
	if ms.Term < co.row.Term {
		return
	}
	if er, _ := era.Split(ms.RowVersion); er > co.era {
		co.enterEra(now, er)
	}
	// A version above that of an unreadable row means that the leader wrote it again.
	if ms.Term > co.row.Term || co.unreadable && ms.RowVersion > co.version {
		co.unreadable = false
		co.leading, co.ledLast, co.uncontested = false, false, false
		co.row = Row{Term: ms.Term, Host: ms.Host, Address: ms.Address}
	}
	if co.leading {
		return
	}
	if ms.RowVersion > co.version {
		// A version from the leader is as good as a read.
		co.version, co.rowChangedAt, co.rowKnown = ms.RowVersion, now, true
	}
	// A leader that the store no longer answers cannot move keys. Its heartbeats do
	// not keep hosts that reach the store from reading the row.
	if ms.StoreAge < LeaseTTL {
		co.leaderHeardAt, co.claimable, co.freeSince, co.secondReadAt = now, false, clock.Never, 0
	}
	if ms.Host == "" {
		// The leader has resigned: read the row soon, each host after its own jitter.
		co.leaderHeardAt, co.readStartedAt = now.Add(-heartbeatTimeout), now.Add(-readInterval)
	}
}

func (co *Core) handleWritten(now clock.Instant, ms WrittenMsg) {
	co.row, co.unreadable = ms.Row, false
	co.leading, co.claimable = ms.Row.Host == co.self.Host, false
	co.version, co.rowChangedAt, co.writeStartedAt, co.confirmedAt = ms.Version, now, ms.StartedAt, ms.StartedAt
}

// nextCmd returns the operation that is due. Only one is in flight at a time.
func (co *Core) nextCmd(now clock.Instant) Cmd {
	if co.inFlight {
		return Wait
	}
	if co.leading && now.Sub(co.confirmedAt) > StepDownTimeout {
		co.leading, co.rowKnown = false, false
	}
	switch {
	case co.leading && !co.rowKnown:
		if now.Sub(co.readStartedAt) < readInterval {
			return Wait
		}
		return co.startRead(now)
	case co.leading && co.resigning:
		co.inFlight = true
		return Write
	case co.resigning:
		return Wait
	case co.leading:
		if now.Sub(co.writeStartedAt) < renewInterval {
			return Wait
		}
		co.inFlight, co.writeStartedAt = true, now
		return Write
	case co.claimable:
		co.inFlight, co.claimable = true, false
		return Write
	case co.rowKnown && now.Sub(co.leaderHeardAt) < heartbeatTimeout+co.jitter:
		return Wait
	case now < co.secondReadAt:
		return Wait
	case co.secondReadAt != 0, now.Sub(co.readStartedAt) >= readInterval:
		co.secondReadAt = 0
		return co.startRead(now)
	}
	return Wait
}

func (co *Core) startRead(now clock.Instant) Cmd {
	co.inFlight, co.readStartedAt = true, now
	return Read
}
