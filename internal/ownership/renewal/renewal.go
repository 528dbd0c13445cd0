// Package renewal renews the grants of upstreams before they expire. One host
// renews the grants of an upstream. All hosts choose it in the same way from the
// members in the table. They prefer a member of the upstream's own failure domain,
// so that a domain that is cut off keeps its keys.
//
// The core does no I/O. It renews only the grants of the newest table, and only
// while that table was confirmed a short time ago. While the table is uncertain, since the store
// may have lost a newer one, it continues the grants that this host has given and gives none anew:
// their upstreams hold them, so nobody else was given the keys.
//
//	co := renewal.New("a-1")
//	cmds := co.Update(now, renewal.TickMsg{})
package renewal

import (
	"maps"
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/peer/protocol"
)

const (
	// GrantTTL is the lifetime of a grant. It limits how long the keys of a crashed
	// upstream have no owner, and how long the failover of the leader and of a
	// renewing host may take.
	GrantTTL = 4 * time.Second
	// renewInterval is the time between two renewals of an upstream.
	renewInterval = time.Second
	// retryDelay is the time to the next attempt after a failure.
	retryDelay = 250 * time.Millisecond
	// ConfirmTTL is how long the grants of a table may be renewed after the
	// leader last confirmed it or it was read from the store.
	ConfirmTTL = 2 * time.Second
	// lastRenewalMargin is how long before a confirmation is used up each upstream is
	// renewed once more, so that its grants last for as long as they may.
	lastRenewalMargin = 150 * time.Millisecond
	// CallTimeout is the timeout of one call to an upstream.
	CallTimeout = 400 * time.Millisecond
)

// TableMsg carries a new table and the failure domains of its upstreams.
type TableMsg struct {
	Table   *assignment.Table
	Domains map[ident.Upstream]ident.Domain
	// Incarnations holds those of the upstreams that are known.
	Incarnations map[ident.Upstream]roster.Incarnation
	// Uncertain means that the table is not known to be at least as new as the one that was
	// confirmed last.
	Uncertain bool
}

// ConfirmMsg reports that the table was still in force at the time At. An uncertain one allows to
// continue grants only.
type ConfirmMsg struct {
	At        clock.Instant
	Uncertain bool
}

// ResultMsg is the result of one RenewCmd. Reached is false if a call could not
// reach the upstream. Superseded means that the upstream has seen a higher epoch.
type ResultMsg struct {
	Upstream ident.Upstream
	Reached  bool
	// Answered means that the upstream took a grant or has seen a higher epoch. Reached is
	// true also if there was nothing to call for.
	Answered   bool
	Superseded bool
	// Unconfirmed means that the table has to be confirmed again before the upstream,
	// which may have restarted, gets a call.
	Unconfirmed bool
	// Taken holds the shares whose grants the upstream took, StartedAt is that of the RenewCmd.
	Taken     []assignment.Share
	StartedAt clock.Instant
}

// TickMsg reports that time has passed.
type TickMsg struct{}

// RenewCmd requests the renewal of an upstream's grants, one after the other.
type RenewCmd struct {
	Upstream ident.Upstream
	Shares   []assignment.Share
	// StartedAt is when the renewal began. Until is when its last call may start: the upstream
	// holds what is continued until then.
	StartedAt, Until clock.Instant
}

// continueTTL is how long after a grant another one continues it: the upstream still holds the
// first one when the second one arrives.
const continueTTL = GrantTTL - CallTimeout

// takenGrant is a grant that an upstream took from this host. Its call began at this time or later.
type takenGrant struct {
	assignment.Share
	at clock.Instant
}

// state is the state of one upstream's renewals.
type state struct {
	shares []assignment.Share
	// due is when the next renewal starts, startedAt when the previous one did.
	due, startedAt clock.Instant
	inFlight       bool
	// failingSince is when renewals began to fail, clock.Never while they succeed.
	failingSince clock.Instant
	superseded   bool
	// answered reports that the upstream answered the newest renewal.
	answered bool
	// unconfirmed renewals start again with the next confirmation.
	unconfirmed bool
	// taken holds the newest grants that it took.
	taken []takenGrant
}

// Core schedules the renewals of one host. It is not safe for concurrent use.
type Core struct {
	host   ident.Host
	states map[ident.Upstream]*state
	// confirmedAt is when the table was last confirmed, valid if everConfirmed.
	confirmedAt   clock.Instant
	everConfirmed bool
	// certainAt is when it was last confirmed by one that was not uncertain.
	certainAt clock.Instant
}

// New returns the core of a host.
func New(host ident.Host) *Core {
	return &Core{host: host, states: map[ident.Upstream]*state{}}
}

// Update handles one message and returns the renewals that are due.
func (co *Core) Update(now clock.Instant, msg any) []RenewCmd {
	switch ms := msg.(type) {
	case TableMsg:
		co.handleTable(now, ms)
	case ConfirmMsg:
		co.handleConfirm(now, ms)
	case ResultMsg:
		co.handleResult(now, ms)
	}
	return co.startDueRenewals(now)
}

// handleConfirm makes the renewals due that have waited for a confirmation.
func (co *Core) handleConfirm(now clock.Instant, ms ConfirmMsg) {
	co.confirmedAt, co.everConfirmed = max(co.confirmedAt, ms.At), true
	if ms.Uncertain {
		return
	}
	co.certainAt = max(co.certainAt, ms.At)
	for _, st := range co.states {
		if st.unconfirmed {
			st.unconfirmed, st.due = false, min(st.due, now)
		}
	}
}

// handleTable adopts the shares of the upstreams that this host renews. It leaves
// out moving shares, so that the old owner's grants expire.
func (co *Core) handleTable(now clock.Instant, ms TableMsg) {
	if ms.Uncertain {
		co.certainAt = 0
	}
	assigned := map[ident.Upstream][]assignment.Share{}
	isRenewer := map[ident.Upstream]bool{}
	for _, sh := range ms.Table.Shares {
		id := sh.Owner.Upstream
		if _, known := isRenewer[id]; !known {
			isRenewer[id] = Renewer(ms.Table, id, ms.Domains[id]) == co.host
		}
		// An owner that has restarted takes epochs again that it had given up.
		restarted := ms.Incarnations[id] > sh.Owner.Incarnation
		if isRenewer[id] && !sh.Moving() && !restarted {
			assigned[id] = append(assigned[id], sh)
		}
	}
	for id := range co.states {
		if len(assigned[id]) == 0 {
			delete(co.states, id)
		}
	}
	for id, shares := range assigned {
		st, known := co.states[id]
		if !known {
			st = &state{failingSince: clock.Never, due: now}
			co.states[id] = st
		}
		if known && !alreadyGranted(st.shares, shares) {
			st.due = now
		}
		st.shares = shares
	}
}

// alreadyGranted reports whether the previous shares contain all of the given ones
// with the same owner and epoch, so that no new grant is needed.
func alreadyGranted(previous, shares []assignment.Share) bool {
	epochs := map[keyspace.Epoch][]assignment.Share{}
	for _, sh := range previous {
		epochs[sh.Owner.Epoch] = append(epochs[sh.Owner.Epoch], sh)
	}
	for _, sh := range shares {
		found := false
		for _, old := range epochs[sh.Owner.Epoch] {
			found = found || old.Owner == sh.Owner && old.Service == sh.Service && old.Contains(sh.From) && old.Contains(sh.To)
		}
		if !found {
			return false
		}
	}
	return true
}

// Renewer returns the member that renews an upstream's grants, empty if no member
// is alive. It prefers members of the upstream's domain, then the highest
// rendezvous hash weight.
func Renewer(tb *assignment.Table, id ident.Upstream, domain ident.Domain) ident.Host {
	var best ident.Host
	bestSameDomain, bestWeight := false, uint64(0)
	for _, mb := range tb.Members {
		if !mb.Alive {
			continue
		}
		sameDomain, weight := mb.Domain == domain, ident.Weight(string(id), string(mb.Host))
		if best == "" || sameDomain && !bestSameDomain || sameDomain == bestSameDomain && weight > bestWeight {
			best, bestSameDomain, bestWeight = mb.Host, sameDomain, weight
		}
	}
	return best
}

func (co *Core) handleResult(now clock.Instant, ms ResultMsg) {
	st, known := co.states[ms.Upstream]
	if !known {
		return
	}
	st.inFlight, st.superseded, st.answered = false, ms.Superseded, ms.Answered
	st.noteTaken(now, ms)
	if ms.Unconfirmed {
		st.unconfirmed, st.due = true, min(st.due, now.Add(retryDelay))
		return
	}
	if ms.Reached {
		st.failingSince = clock.Never
		return
	}
	st.failingSince = min(st.failingSince, now)
	st.due = min(st.due, now.Add(retryDelay))
}

// noteTaken records which grants the upstream took. The result may be that of a renewal from before the
// upstream was assigned to this host again.
func (st *state) noteTaken(now clock.Instant, ms ResultMsg) {
	st.taken = slices.DeleteFunc(st.taken, func(tg takenGrant) bool { return now.Sub(tg.at) > continueTTL })
	for _, sh := range ms.Taken {
		st.taken = append(st.taken, takenGrant{sh, ms.StartedAt})
	}
}

// continued returns the shares whose grants the upstream has taken from this host and still holds,
// and until when a renewal continues all of them.
func (st *state) continued(now clock.Instant) (shares []assignment.Share, until clock.Instant) {
	until = clock.Never
	for _, sh := range st.shares {
		end := clock.Instant(0)
		for _, tg := range st.taken {
			if tg.Owner == sh.Owner && tg.Service == sh.Service && tg.Contains(sh.From) && tg.Contains(sh.To) {
				end = max(end, tg.at.Add(continueTTL))
			}
		}
		if now < end {
			shares, until = append(shares, sh), min(until, end)
		}
	}
	return shares, until
}

func (co *Core) startDueRenewals(now clock.Instant) []RenewCmd {
	if !co.everConfirmed || now.Sub(co.confirmedAt) > ConfirmTTL {
		return nil
	}
	var cmds []RenewCmd
	for _, id := range slices.Sorted(maps.Keys(co.states)) {
		st := co.states[id]
		if st.inFlight || now.Before(co.dueAt(st)) {
			continue
		}
		shares, until := st.shares, clock.Never
		if co.certainAt < co.confirmedAt {
			if shares, until = st.continued(now); len(shares) == 0 {
				st.unconfirmed, st.startedAt, st.due = true, now, now.Add(retryDelay)
				continue
			}
		}
		st.inFlight, st.startedAt, st.due = true, now, now.Add(renewInterval)
		cmds = append(cmds, RenewCmd{Upstream: id, Shares: shares, StartedAt: now, Until: until})
	}
	return cmds
}

// dueAt returns when the next renewal of an upstream starts, or its last one if no
// further confirmation comes.
func (co *Core) dueAt(st *state) clock.Instant {
	last := co.confirmedAt.Add(ConfirmTTL - lastRenewalMargin)
	if st.startedAt < last {
		return min(st.due, last)
	}
	return st.due
}

// Next returns when Update has to be called for the next renewal.
func (co *Core) Next(now clock.Instant) clock.Instant {
	next := clock.Never
	for _, st := range co.states {
		if !st.inFlight {
			next = min(next, co.dueAt(st))
		}
	}
	if next <= now && now.Sub(co.confirmedAt) > ConfirmTTL {
		return now.Add(retryDelay)
	}
	return next
}

// Report returns the upstreams that answered the newest renewal and those whose renewals
// fail or were superseded, for the status to the leader.
func (co *Core) Report(now clock.Instant) []protocol.UpstreamLoad {
	var loads []protocol.UpstreamLoad
	for _, id := range slices.Sorted(maps.Keys(co.states)) {
		st := co.states[id]
		if st.failingSince != clock.Never || st.superseded || st.answered {
			ul := protocol.UpstreamLoad{Upstream: id, Superseded: st.superseded}
			if st.failingSince != clock.Never {
				ul.UnreachedFor = max(now.Sub(st.failingSince), time.Millisecond)
			}
			loads = append(loads, ul)
		}
	}
	return loads
}
