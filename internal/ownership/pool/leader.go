// Package pool leases the pools of a domain to its nodes and lets each holder
// grant slices to the pool's upstreams.
//
// Leader is the side of the domain's leader: it answers heartbeats. Holder is
// the side of the node that holds one pool:
//
//	ld := pool.NewLeader(line, lease.Sound, term, tail, now)
//	answer := ld.Beat(now, "n2", beat, header, until)
package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
)

// rebalanceEvery is the time between two pools moved for evenness alone.
const rebalanceEvery = 500 * time.Millisecond

// Leader leases pools to the live hosts of a domain. A pool goes to another
// host only once its holder confirmed that it dropped it, or its lease ended.
type Leader struct {
	line   lease.Line
	defect lease.Defect
	term   uint64
	// settled is when all leases of earlier leaders have ended.
	settled clock.Instant
	members map[ident.Host]*member
	seats   map[ident.Pool]*seat
	foreign map[ident.Pool]foreign
	routes  uint64
	// own is the newest route number of the domain's own pools.
	own      uint64
	nextMove clock.Instant
}

// member is a host that sends heartbeats.
type member struct {
	incarnation exchange.Incarnation
	reading     clock.Instant
	heard       clock.Instant
	// until is when the latest lease given to the host has ended.
	until      clock.Instant
	assignment uint64
	confirmed  uint64
	routes     uint64
	leaving    bool
}

// newMember starts at assignment 1, so that a host with none applied is behind.
func newMember(inc exchange.Incarnation, until clock.Instant) *member {
	return &member{incarnation: inc, until: until, assignment: 1}
}

// seat is a pool with its holder.
type seat struct {
	holder ident.Host
	term   uint64
	epoch  uint64
	// leaving is the host that was told to drop the pool, with the number of
	// the assignment that told it.
	leaving ident.Host
	dropped uint64
	// until is when no earlier holder can have a lease.
	until clock.Instant
	// known says that the seat was held or given in this term.
	known bool
	// retired says that the pool may not be held now.
	retired bool
	// changed is the route number at which the holder changed.
	changed uint64
}

// foreign is a pool of another domain.
type foreign struct {
	holder  ident.Host
	changed uint64
}

// NewLeader makes the pool leases of a new term. Leases of the former leader
// may last for the tail.
func NewLeader(ln lease.Line, df lease.Defect, term uint64, tail time.Duration, now lease.Moment) *Leader {
	settled := now.Steady
	if tail > 0 {
		settled = settled.Add(lease.Longest(tail))
	}
	return &Leader{
		line: ln, defect: df, term: term, settled: settled,
		members: map[ident.Host]*member{},
		seats:   map[ident.Pool]*seat{},
		foreign: map[ident.Pool]foreign{},
		routes:  1,
	}
}

// Continue goes on under a higher term of the same leader, which never lost its
// right in between: it knows all leases that it gave.
func (ld *Leader) Continue(term uint64) { ld.term = term }

// SetPools says which pools may be held. The seat of one that may not be is kept
// with its epoch, so that no token is given twice when it may be held again.
func (ld *Leader) SetPools(now lease.Moment, pools []ident.Pool) {
	known := map[ident.Pool]bool{}
	for _, pl := range pools {
		known[pl] = true
		if ld.seats[pl] == nil {
			ld.seats[pl] = &seat{term: ld.term, until: ld.settled}
		}
	}
	for pl, st := range ld.seats {
		st.retired = !known[pl]
		if st.retired && st.holder != "" {
			ld.unseat(st)
		}
	}
	ld.settle(now)
}

// Beat takes a heartbeat. It returns the answer and whether there is one.
func (ld *Leader) Beat(now lease.Moment, from ident.Host, bt exchange.Beat, answer exchange.Lease, right clock.Instant) (exchange.Lease, bool) {
	mb, ok := ld.admit(from, bt)
	if !ok {
		return exchange.Lease{}, false
	}
	mb.reading, mb.heard, mb.leaving = bt.Reading, now.Steady, bt.Leaving
	if bt.Term == ld.term {
		mb.confirmed = max(mb.confirmed, bt.Assignment)
		mb.routes = max(mb.routes, bt.Routes)
		ld.raise(from, mb, bt.Refused)
	}
	ld.settle(now)
	return ld.answer(now, from, mb, bt, answer, right), true
}

// admit finds the sender's record. A first heartbeat claims what its sender
// holds by an earlier leader's lease; a new process has nothing.
func (ld *Leader) admit(from ident.Host, bt exchange.Beat) (*member, bool) {
	mb := ld.members[from]
	if mb == nil {
		mb = newMember(bt.Incarnation, ld.settled)
		ld.members[from] = mb
		ld.claim(from, mb, bt.Held)
		return mb, true
	}
	if bt.Incarnation < mb.incarnation || (bt.Incarnation == mb.incarnation && bt.Reading <= mb.reading) {
		return nil, false
	}
	if bt.Incarnation > mb.incarnation {
		for _, st := range ld.seats {
			if st.holder == from {
				ld.unseat(st)
			}
			if st.leaving == from {
				st.leaving = ""
			}
		}
		ld.members[from] = newMember(bt.Incarnation, mb.until)
	}
	return ld.members[from], true
}

func (ld *Leader) claim(from ident.Host, mb *member, held []exchange.Claim) {
	for _, cl := range held {
		st := ld.seats[cl.Pool]
		if st == nil || st.holder != "" || st.leaving != "" {
			continue
		}
		st.holder, st.term, st.epoch, st.known = from, cl.Term, cl.Epoch, true
		ld.touch(st)
		mb.assignment++
	}
}

// raise gives a holder a higher token where upstreams have seen one as high.
func (ld *Leader) raise(from ident.Host, mb *member, refused []exchange.Claim) {
	for _, cl := range refused {
		st := ld.seats[cl.Pool]
		if st == nil || st.holder != from || cmp.Or(cmp.Compare(cl.Term, st.term), cmp.Compare(cl.Epoch, st.epoch)) < 0 {
			continue
		}
		st.term, st.epoch, st.until = cl.Term, cl.Epoch+1, mb.until
		mb.assignment++
	}
}

// settle frees the pools whose former holder can have no lease any more.
func (ld *Leader) settle(now lease.Moment) {
	for _, st := range ld.seats {
		if mb := ld.members[st.holder]; mb != nil && (mb.leaving || ld.lost(now, mb)) {
			ld.unseat(st)
		}
		mb := ld.members[st.leaving]
		if mb != nil && (mb.confirmed >= st.dropped || ld.defect == lease.NoLapse || !now.Steady.Before(st.until)) {
			st.leaving = ""
		}
	}
}

// lost tells whether a host has let its leases lapse.
func (ld *Leader) lost(now lease.Moment, mb *member) bool {
	if ld.defect == lease.NoLapse {
		return !now.Steady.Before(mb.heard.Add(2 * ld.line.Beat))
	}
	return !now.Steady.Before(mb.until)
}

// unseat takes a pool from its holder, who may hold it until its lease ends.
func (ld *Leader) unseat(st *seat) {
	mb := ld.members[st.holder]
	mb.assignment++
	st.leaving, st.dropped, st.until = st.holder, mb.assignment, mb.until
	st.holder = ""
	ld.touch(st)
}

func (ld *Leader) touch(st *seat) {
	ld.routes++
	st.changed, ld.own = ld.routes, ld.routes
}

// Learn takes the holders of another domain's pools.
func (ld *Leader) Learn(list []exchange.Holding) {
	for _, hl := range list {
		if fo, ok := ld.foreign[hl.Pool]; ok && fo.holder == hl.Holder {
			continue
		}
		ld.routes++
		ld.foreign[hl.Pool] = foreign{holder: hl.Holder, changed: ld.routes}
	}
}

// Tick gives free pools to hosts. It returns the hosts whose assignment
// changed, which the caller tells at once.
func (ld *Leader) Tick(now lease.Moment) []ident.Host {
	ld.settle(now)
	return ld.assign(now)
}

func (ld *Leader) assign(now lease.Moment) []ident.Host {
	var told []ident.Host
	names := slices.Sorted(maps.Keys(ld.seats))
	for _, name := range names {
		st := ld.seats[name]
		if st.retired || st.holder != "" || st.leaving != "" || (!st.known && now.Steady.Before(ld.settled)) {
			continue
		}
		ho, ok := ld.choose(now, name)
		if !ok {
			continue
		}
		ld.seat(st, ho)
		told = append(told, ho)
	}
	if ho, ok := ld.rebalance(now, names); ok {
		told = append(told, ho)
	}
	slices.Sort(told)
	return slices.Compact(told)
}

func (ld *Leader) seat(st *seat, ho ident.Host) {
	st.holder, st.known = ho, true
	if st.term < ld.term {
		st.term, st.epoch = ld.term, 0
	}
	st.epoch++
	ld.members[ho].assignment++
	ld.touch(st)
}

// loads counts the pools of each host that may get more.
func (ld *Leader) loads(now lease.Moment) map[ident.Host]int {
	count := map[ident.Host]int{}
	for ho, mb := range ld.members {
		if !mb.leaving && now.Steady.Before(mb.heard.Add(2*ld.line.Beat)) {
			count[ho] = 0
		}
	}
	for _, st := range ld.seats {
		if _, ok := count[st.holder]; ok {
			count[st.holder]++
		}
	}
	return count
}

// choose picks the live host with the fewest pools, by weight among equals.
func (ld *Leader) choose(now lease.Moment, name ident.Pool) (ident.Host, bool) {
	count := ld.loads(now)
	var best ident.Host
	for ho := range count {
		if best == "" || count[ho] < count[best] ||
			(count[ho] == count[best] && ident.Weight(string(name), string(ho)) > ident.Weight(string(name), string(best))) {
			best = ho
		}
	}
	return best, best != ""
}

// rebalance takes one pool from the host with the most when another has at
// least two fewer; the pool goes there once it was dropped.
func (ld *Leader) rebalance(now lease.Moment, names []ident.Pool) (ident.Host, bool) {
	if now.Steady.Before(max(ld.nextMove, ld.settled)) {
		return "", false
	}
	count := ld.loads(now)
	if len(count) < 2 {
		return "", false
	}
	hosts := slices.SortedFunc(maps.Keys(count), func(left, right ident.Host) int {
		return cmp.Or(cmp.Compare(count[left], count[right]), cmp.Compare(left, right))
	})
	most, least := hosts[len(hosts)-1], hosts[0]
	if count[most] < count[least]+2 {
		return "", false
	}
	ld.nextMove = now.Steady.Add(rebalanceEvery)
	for _, name := range names {
		if st := ld.seats[name]; st.holder == most {
			ld.unseat(st)
			return most, true
		}
	}
	return "", false
}

// answer leases the sender's pools until a deadline on its own clock.
func (ld *Leader) answer(now lease.Moment, to ident.Host, mb *member, bt exchange.Beat, ls exchange.Lease, right clock.Instant) exchange.Lease {
	length := min(ld.line.Pool, lease.Shortest(right.Sub(now.Now))+ld.line.Tail)
	ls.Incarnation, ls.Heard = mb.incarnation, mb.reading
	ls.Until = mb.reading.Add(length)
	mb.until = max(mb.until, now.Steady.Add(lease.Longest(length)))
	ls.Assignment = mb.assignment
	if bt.Term != ld.term || bt.Assignment != mb.assignment {
		ls.Changed, ls.Pools = true, ld.assigned(now, to)
	}
	ls.RouteNumber = ld.routes
	ls.Routes = ld.changedSince(mb.routes)
	return ls
}

// Push builds an answer to a host's latest heartbeat out of turn, after its
// assignment changed.
func (ld *Leader) Push(now lease.Moment, to ident.Host, ls exchange.Lease, right clock.Instant) exchange.Lease {
	return ld.answer(now, to, ld.members[to], exchange.Beat{}, ls, right)
}

func (ld *Leader) assigned(now lease.Moment, to ident.Host) []exchange.Assigned {
	var list []exchange.Assigned
	for _, name := range slices.Sorted(maps.Keys(ld.seats)) {
		if st := ld.seats[name]; st.holder == to {
			quiet := max(st.until.Sub(now.Steady), 0)
			list = append(list, exchange.Assigned{Pool: name, Term: st.term, Epoch: st.epoch, Quiet: quiet})
		}
	}
	return list
}

// Number is the number of the newest route of the domain's own pools.
func (ld *Leader) Number() uint64 { return ld.own }

// Own lists the holders of the domain's own pools.
func (ld *Leader) Own() []exchange.Holding {
	return ld.ownSince(0)
}

func (ld *Leader) ownSince(since uint64) []exchange.Holding {
	var list []exchange.Holding
	for _, name := range slices.Sorted(maps.Keys(ld.seats)) {
		if st := ld.seats[name]; st.changed > since {
			list = append(list, exchange.Holding{Pool: name, Holder: st.holder})
		}
	}
	return list
}

func (ld *Leader) changedSince(since uint64) []exchange.Holding {
	list := ld.ownSince(since)
	for _, name := range slices.Sorted(maps.Keys(ld.foreign)) {
		if fo := ld.foreign[name]; fo.changed > since {
			list = append(list, exchange.Holding{Pool: name, Holder: fo.holder})
		}
	}
	return list
}
