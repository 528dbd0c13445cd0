// Package renewal keeps the grants of a host's upstreams alive. Each upstream
// has one host that renews, chosen alike by all hosts from the members of the
// table, at best in the upstream's own failure domain, so that a domain that
// is cut off keeps its keys.
//
// The core is pure. It renews only what the newest table says and only while
// that table was confirmed a short time ago.
//
//	co := renewal.New("a-1", "north")
//	cmds := co.Update(now, renewal.TickMsg{})
package renewal

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
)

const (
	// Hold is how long a grant lasts. It bounds how long the keys of an
	// upstream that crashed stay without an owner, and how long a domain
	// leader's and a renewing host's loss may take to mend.
	Hold = 4 * time.Second
	// every is the time between two renewals.
	every = time.Second
	// again is the time to the next try after a failure.
	again = 250 * time.Millisecond
	// ConfirmTime is how long a table may be renewed after it was last
	// confirmed by the leader or read from the store.
	ConfirmTime = 2 * time.Second
	// CallTime bounds one call to an upstream.
	CallTime = 400 * time.Millisecond
)

// TableMsg brings a table and where its upstreams stand.
type TableMsg struct {
	Table   *assignment.Table
	Domains map[ident.Upstream]ident.Domain
}

// ConfirmMsg says that the table was still in force at a time.
type ConfirmMsg struct{ At clock.Instant }

// ResultMsg is the end of a renewal.
type ResultMsg struct {
	Upstream   ident.Upstream
	Reached    bool
	Superseded bool
}

// TickMsg says that time has passed.
type TickMsg struct{}

// RenewCmd tells to renew an upstream's grants, one after the other.
type RenewCmd struct {
	Upstream ident.Upstream
	Shares   []assignment.Share
}

// state is what is known of one upstream's renewals.
type state struct {
	shares []assignment.Share
	due    clock.Instant
	busy   bool
	// failingSince is clock.Never while renewals succeed.
	failingSince clock.Instant
	superseded   bool
}

// Core plans one host's renewals. It is not safe for concurrent use.
type Core struct {
	host      ident.Host
	states    map[ident.Upstream]*state
	confirmed clock.Instant
	known     bool
}

// New makes the core of a host.
func New(host ident.Host) *Core {
	return &Core{host: host, states: map[ident.Upstream]*state{}}
}

// Update takes one message and returns the renewals that are due.
func (co *Core) Update(now clock.Instant, msg any) []RenewCmd {
	switch ms := msg.(type) {
	case TableMsg:
		co.follow(now, ms)
	case ConfirmMsg:
		co.confirmed, co.known = max(co.confirmed, ms.At), true
	case ResultMsg:
		co.result(now, ms)
	}
	return co.renew(now)
}

func (co *Core) follow(now clock.Instant, ms TableMsg) {
	mine := map[ident.Upstream][]assignment.Share{}
	chosen := map[ident.Upstream]bool{}
	for _, sh := range ms.Table.Shares {
		id := sh.Owner.Upstream
		if _, known := chosen[id]; !known {
			chosen[id] = Renewer(ms.Table, id, ms.Domains[id]) == co.host
		}
		if chosen[id] && !sh.Moving() {
			mine[id] = append(mine[id], sh)
		}
	}
	for id := range co.states {
		if len(mine[id]) == 0 {
			delete(co.states, id)
		}
	}
	for id, shares := range mine {
		st, known := co.states[id]
		if !known {
			st = &state{failingSince: clock.Never, due: now}
			co.states[id] = st
		}
		if known && !covered(st.shares, shares) {
			st.due = now
		}
		st.shares = shares
	}
}

// covered tells whether all shares were part of those before: same keys with
// the same epoch are granted already.
func covered(before, shares []assignment.Share) bool {
	epochs := map[keyspace.Epoch][]assignment.Share{}
	for _, sh := range before {
		epochs[sh.Owner.Epoch] = append(epochs[sh.Owner.Epoch], sh)
	}
	for _, sh := range shares {
		found := false
		for _, old := range epochs[sh.Owner.Epoch] {
			found = found || old.Owner == sh.Owner && old.Service == sh.Service && old.Holds(sh.From) && old.Holds(sh.To)
		}
		if !found {
			return false
		}
	}
	return true
}

// Renewer is the member that renews an upstream's grants: one of the
// upstream's domain where there is one.
func Renewer(tb *assignment.Table, id ident.Upstream, domain ident.Domain) ident.Host {
	var best ident.Host
	bestNear, bestWeight := false, uint64(0)
	for _, mb := range tb.Members {
		if !mb.Alive {
			continue
		}
		near, weight := mb.Domain == domain, ident.Weight(string(id), string(mb.Host))
		if best == "" || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = mb.Host, near, weight
		}
	}
	return best
}

func (co *Core) result(now clock.Instant, ms ResultMsg) {
	st, known := co.states[ms.Upstream]
	if !known {
		return
	}
	st.busy, st.superseded = false, ms.Superseded
	if ms.Reached {
		st.failingSince = clock.Never
		return
	}
	st.failingSince = min(st.failingSince, now)
	st.due = min(st.due, now.Add(again))
}

func (co *Core) renew(now clock.Instant) []RenewCmd {
	if !co.known || now.Sub(co.confirmed) > ConfirmTime {
		return nil
	}
	var cmds []RenewCmd
	for id, st := range co.states {
		if st.busy || now.Before(st.due) {
			continue
		}
		st.busy, st.due = true, now.Add(every)
		cmds = append(cmds, RenewCmd{Upstream: id, Shares: st.shares})
	}
	return cmds
}

// Next returns when the next renewal is due.
func (co *Core) Next(now clock.Instant) clock.Instant {
	next := clock.Never
	for _, st := range co.states {
		if !st.busy {
			next = min(next, st.due)
		}
	}
	if next <= now && now.Sub(co.confirmed) > ConfirmTime {
		return now.Add(again)
	}
	return next
}

// Report tells the leader which upstreams cannot be renewed.
func (co *Core) Report(now clock.Instant) []protocol.UpstreamLoad {
	var loads []protocol.UpstreamLoad
	for id, st := range co.states {
		if st.failingSince != clock.Never || st.superseded {
			ul := protocol.UpstreamLoad{Upstream: id, Superseded: st.superseded}
			if st.failingSince != clock.Never {
				ul.Unreached = max(now.Sub(st.failingSince), time.Millisecond)
			}
			loads = append(loads, ul)
		}
	}
	return loads
}
