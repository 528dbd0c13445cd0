// Package election decides which host leads. The leader is who holds one row
// of the store, which it renews; a host that hears no leader and finds the row
// unchanged for long takes it over. Two hosts that both believe to lead are no
// danger: only the holder of the row can change the assignment.
//
//	co := election.New("a-1", "10.0.0.7:7540", incarnation, 0.8)
//	cmd := co.Update(now, election.TickMsg{})
package election

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
)

const (
	// renewEvery is the time between two renewals of the row.
	renewEvery = 500 * time.Millisecond
	// silence is how long no leader is heard before the row is read.
	silence = 900 * time.Millisecond
	// readEvery is the time between reads while no leader is heard.
	readEvery = 450 * time.Millisecond
	// stale is how long the row must be unchanged before it is taken over: two
	// renewals, with the time that a slow store takes.
	stale = 1700 * time.Millisecond
	// holdBack is how much longer a host leaves a free row alone that is hardly
	// fit to lead beside others that are: two reads of the row by a fit one.
	holdBack = time.Second
	// ActTime is how long after the store confirmed its lead a leader may still
	// order upstreams: with the time of a call it ends before the row can be
	// taken over.
	ActTime = 1200 * time.Millisecond
	// LeadTime is how long a leader that the store does not answer goes on. With
	// the time that members renew after its last heartbeat, and that of their grants,
	// keys outlast eleven seconds without the store.
	LeadTime = 5 * time.Second
)

// Row is the leader's row.
type Row struct {
	Term        protocol.Term
	Host        ident.Host
	Address     string
	Incarnation uint64
	// Settled tells that no earlier leader can still be at work.
	Settled bool
}

// Version is the row's version in the store; 0 where there is none.
type Version uint64

// RowMsg is the row as it was read by a read begun at a time.
type RowMsg struct {
	Row     Row
	Version Version
	Began   clock.Instant
}

// ReadFailedMsg says that the store did not answer a read.
type ReadFailedMsg struct{}

// BeatMsg is a heartbeat of a leader.
type BeatMsg struct {
	Term    protocol.Term
	Host    ident.Host
	Address string
	// RowAt is the version that the leader's row has.
	RowAt Version
	// StoreAge is how long ago the store confirmed the leader.
	StoreAge time.Duration
}

// ResignMsg says that this host is about to stop.
type ResignMsg struct{}

// WrittenMsg says that a row of ours, whose write began at a time, took effect.
type WrittenMsg struct {
	Row     Row
	Version Version
	Began   clock.Instant
}

// WriteFailedMsg says that a claim or renewal had no effect or may have had
// none; Conflict means that the row had changed.
type WriteFailedMsg struct{ Conflict bool }

// TickMsg says that time has passed.
type TickMsg struct{}

// Cmd is what to do.
type Cmd int

const (
	// Wait means that there is nothing to do.
	Wait Cmd = iota
	// Read means to read the row and the assignment.
	Read
	// Write means to write Proposal over the version Expected.
	Write
)

// Core is one host's part in the election. It is not safe for concurrent use.
type Core struct {
	self Row
	// jitter spreads the hosts' reads.
	jitter time.Duration
	// fitness is how well this host can lead, best how well the fittest can.
	fitness, best float64
	// freeSince is since when the row is known to be free to take.
	freeSince clock.Instant
	leading   bool
	busy      bool
	row       Row
	version   Version
	seenAt    clock.Instant
	heardAt   clock.Instant
	readAt    clock.Instant
	writtenAt clock.Instant
	// confirmedAt is when the store last confirmed our lead.
	confirmedAt clock.Instant
	readOnce    bool
	// settled is whether the row may say so of this host's lead.
	settled bool
	// resigning hosts give the row back and never take it.
	resigning bool
	// claimable is set by a read that found the row free to take.
	claimable bool
}

// New makes the core of a host that can lead more or less well, from 0 to 1.
// Hosts less fit than others leave a free row alone for a while, so that it
// falls to a fit one.
func New(host ident.Host, address string, incarnation uint64, fitness float64) *Core {
	jitter := time.Duration(ident.Weight("election", string(host))%100) * time.Millisecond
	fitness = max(fitness, leastFitness)
	return &Core{self: Row{Host: host, Address: address, Incarnation: incarnation}, jitter: jitter, fitness: fitness, best: fitness, freeSince: clock.Never}
}

// leastFitness keeps shares of fitness above zero.
const leastFitness = 0.01

// SetBestFitness says how fit the fittest of all hosts is.
func (co *Core) SetBestFitness(best float64) { co.best = max(best, co.fitness) }

// claimDelay is how long this host leaves a free row to others.
func (co *Core) claimDelay() time.Duration {
	return time.Duration((1 - co.fitness/co.best) * float64(holdBack))
}

// Leading tells whether this host leads.
func (co *Core) Leading() bool { return co.leading }

// Term is the newest term known.
func (co *Core) Term() protocol.Term { return co.row.Term }

// Leader is the newest leader known.
func (co *Core) Leader() Row { return co.row }

// Confirmed is when the store last confirmed our lead.
func (co *Core) Confirmed() clock.Instant { return co.confirmedAt }

// Confirm notes that the store has just taken a write that needs our lead.
func (co *Core) Confirm(now clock.Instant) { co.confirmedAt = max(co.confirmedAt, now) }

// Settle notes whether no earlier leader can still be at work.
func (co *Core) Settle(settled bool) { co.settled = settled }

// Proposal is the row to write and the version that it replaces.
func (co *Core) Proposal() (Row, Version) {
	rw := co.self
	rw.Term = co.row.Term
	if !co.leading {
		rw.Term++
	}
	rw.Settled = co.leading && co.settled
	if co.resigning {
		// A row without a host is free to take.
		rw = Row{Term: rw.Term, Settled: rw.Settled}
	}
	return rw, co.version
}

// Expected is the version that the row has as far as is known.
func (co *Core) Expected() Version { return co.version }

// Update takes one message and returns what to do.
func (co *Core) Update(now clock.Instant, msg any) Cmd {
	if co.readAt == 0 {
		co.readAt = now.Add(co.jitter - readEvery)
	}
	switch ms := msg.(type) {
	case RowMsg:
		co.busy = false
		co.read(now, ms)
	case ReadFailedMsg:
		co.busy = false
	case BeatMsg:
		co.beat(now, ms)
	case ResignMsg:
		co.resigning = true
	case WrittenMsg:
		co.busy = false
		co.written(now, ms)
	case WriteFailedMsg:
		co.busy, co.claimable = false, false
		if ms.Conflict || !co.leading {
			// Whose row it is now has to be read.
			co.readAt = now.Add(-readEvery)
			co.readOnce = co.readOnce && !ms.Conflict
		}
	}
	return co.act(now)
}

func (co *Core) read(now clock.Instant, ms RowMsg) {
	first := !co.readOnce
	co.readOnce = true
	if ms.Version != co.version || first {
		co.seenAt = now
	}
	changed := ms.Row != co.row
	if ms.Row.Term >= co.row.Term {
		co.row, co.version = ms.Row, ms.Version
	}
	ours := ms.Row.Host == co.self.Host && ms.Row.Incarnation == co.self.Incarnation
	if ours {
		// A write of ours took effect though its answer was lost.
		co.leading, co.confirmedAt = true, max(co.confirmedAt, ms.Began)
		return
	}
	if co.leading && changed {
		co.leading = false
	}
	// The last process on this host held the row; it is gone.
	earlier := ms.Row.Host == co.self.Host
	free := ms.Version == 0 || ms.Row.Host == ""
	if !free && !earlier && (now.Sub(co.seenAt) < stale || now.Sub(co.heardAt) < silence) {
		co.freeSince, co.claimable = clock.Never, false
		return
	}
	co.freeSince = min(co.freeSince, now)
	co.claimable = now.Sub(co.freeSince) >= co.claimDelay()
}

func (co *Core) beat(now clock.Instant, ms BeatMsg) {
	if ms.Term < co.row.Term {
		return
	}
	if ms.Term > co.row.Term {
		co.leading = false
		co.row = Row{Term: ms.Term, Host: ms.Host, Address: ms.Address}
	}
	if co.leading {
		return
	}
	if ms.RowAt > co.version {
		// What the leader says of the row is as good as a read.
		co.version, co.seenAt, co.readOnce = ms.RowAt, now, true
	}
	if ms.StoreAge < ActTime {
		co.heardAt, co.claimable, co.freeSince = now, false, clock.Never
	}
	// A leader that the store no longer answers cannot move keys. Whoever still
	// reaches the store looks whether the row is free to take.
	if ms.Host == "" {
		// The leader has resigned: read soon, the hosts one after the other.
		co.heardAt, co.readAt = now.Add(-silence), now.Add(-readEvery)
	}
}

func (co *Core) written(now clock.Instant, ms WrittenMsg) {
	co.row = ms.Row
	co.leading, co.claimable = ms.Row.Host == co.self.Host, false
	co.version, co.seenAt, co.writtenAt, co.confirmedAt = ms.Version, now, ms.Began, ms.Began
}

func (co *Core) act(now clock.Instant) Cmd {
	if co.busy {
		return Wait
	}
	if co.leading && now.Sub(co.confirmedAt) > LeadTime {
		co.leading, co.readOnce = false, false
	}
	switch {
	case co.leading && !co.readOnce:
		if now.Sub(co.readAt) < readEvery {
			return Wait
		}
		return co.startRead(now)
	case co.leading && co.resigning:
		co.busy = true
		return Write
	case co.resigning:
		return Wait
	case co.leading:
		if now.Sub(co.writtenAt) < renewEvery {
			return Wait
		}
		co.busy, co.writtenAt = true, now
		return Write
	case co.claimable:
		co.busy, co.claimable = true, false
		return Write
	case co.readOnce && now.Sub(co.heardAt) < silence+co.jitter:
		return Wait
	case now.Sub(co.readAt) >= readEvery:
		return co.startRead(now)
	}
	return Wait
}

func (co *Core) startRead(now clock.Instant) Cmd {
	co.busy, co.readAt = true, now
	return Read
}
