package pool

import (
	"maps"
	"slices"
	"strconv"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/ownership/lease"
)

// upstream is what a holder knows of one upstream.
type upstream struct {
	name ident.Upstream
	out  bool

	// reading is its clock in the latest answer; asked and heard are the raw
	// instants around it, settled the steady one after it.
	reading clock.Instant
	asked   clock.Instant
	heard   clock.Instant
	settled clock.Instant
	known   bool

	// inspected and highest are what it said before this holder's first order.
	inspected   bool
	highest     grant.Token
	reported    []ident.Slice
	incarnation string

	// may are the slices that it may hold; all stands for every slice. Both
	// end at lapse, on the steady clock.
	may   map[ident.Slice]bool
	all   bool
	lapse clock.Instant

	// confirmed are the slices of the latest full order that it accepted;
	// complete says that no other full order was sent since.
	confirmed map[ident.Slice]bool
	complete  bool
	grant     Grant

	pending   pending
	nextOrder clock.Instant
}

// pending is the latest order sent.
type pending struct {
	number  uint64
	sent    clock.Instant
	waiting bool
	inspect bool
}

// Item names a slice for rendezvous hashing.
func Item(sv ident.Service, sl ident.Slice) string {
	return string(sv) + "/" + strconv.FormatUint(uint64(sl), 10)
}

// reachable tells whether the upstream answered lately.
func (us *upstream) reachable(now lease.Moment, ln lease.Line) bool {
	return us.known && now.Steady.Before(us.settled.Add(2*ln.Order+ln.Answer))
}

// lost tells whether the upstream is silent and nothing granted to it can be
// in force any more.
func (us *upstream) lost(now lease.Moment, ln lease.Line, started lease.Moment, df lease.Defect) bool {
	if us.reachable(now, ln) || now.Steady.Before(started.Steady.Add(2*ln.Answer)) {
		return false
	}
	return df == lease.NoLapse || !now.Steady.Before(us.lapse)
}

// free tells whether no upstream but one may hold the slice.
func (ho *Holder) free(now lease.Moment, sl ident.Slice, but ident.Upstream) bool {
	for _, us := range ho.upstreams {
		if us.name == but || ho.defect == lease.NoLapse || !now.Steady.Before(us.lapse) {
			continue
		}
		if us.all || us.may[sl] {
			return false
		}
	}
	return true
}

// orders sends to each upstream what is due or has changed.
func (ho *Holder) orders(now lease.Moment) []exchange.Cmd {
	var cmds []exchange.Cmd
	if !ho.steady {
		defer ho.settle()
	}
	for _, us := range ho.sortedUpstreams() {
		if us.pending.waiting && now.Now.Before(us.pending.sent.Add(2*ho.line.Answer)) {
			continue
		}
		if od, ok := ho.nextFor(now, us); ok {
			us.nextOrder = now.Now.Add(ho.line.Order)
			ho.numbers++
			us.pending.number, us.pending.sent, us.pending.waiting = ho.numbers, now.Now, true
			cmds = append(cmds, exchange.OrderCmd{Upstream: us.name, Number: ho.numbers, Order: od})
		}
	}
	return cmds
}

// nextFor builds the next order for an upstream: an inspection that changes
// nothing, then a fence if earlier grants may be in force, then grants.
func (ho *Holder) nextFor(now lease.Moment, us *upstream) (grant.Order, bool) {
	due := !now.Now.Before(us.nextOrder)
	if !us.inspected || !ho.collected || !us.known {
		us.pending.inspect = true
		return grant.Order{Pool: ho.claim.Pool, Keep: true}, due
	}
	us.pending.inspect = false
	if us.all && now.Steady.Before(us.lapse) {
		return grant.Order{Pool: ho.claim.Pool, Token: ho.token(due), Keep: true}, due
	}
	want, same := us.confirmed, ho.steady
	if !ho.steady {
		want = ho.wanted(now, us)
		same = us.complete && maps.Equal(want, us.confirmed)
	}
	if same && !due {
		return grant.Order{}, false
	}
	length := min(ho.line.Grant, lease.Shortest(ho.until.Sub(us.heard)))
	od := grant.Order{Pool: ho.claim.Pool, Token: ho.token(true), Until: us.reading.Add(length), Keep: same}
	if ho.defect == lease.GranterClock {
		od.Until = now.Now.Add(length)
	}
	us.all = false
	us.lapse = max(us.lapse, us.settled.Add(lease.Longest(length)))
	if !same {
		us.complete = false
		od.Slices = slices.Sorted(maps.Keys(want))
		for sl := range want {
			us.may[sl] = true
		}
	}
	return od, true
}

// token is the next token; it is used up only when an order is sent.
func (ho *Holder) token(sent bool) grant.Token {
	if sent {
		ho.seq++
	}
	return grant.Token{Term: ho.claim.Term, Epoch: ho.claim.Epoch, Seq: ho.seq}
}

// wanted are the slices to grant: decided, recorded, and held by nobody else.
func (ho *Holder) wanted(now lease.Moment, us *upstream) map[ident.Slice]bool {
	want := map[ident.Slice]bool{}
	if us.out {
		return want
	}
	for sl, up := range ho.durable {
		if up == us.name && ho.owners[sl] == up && ho.free(now, sl, up) {
			want[sl] = true
		}
	}
	return want
}

// Hear takes an upstream's answer to an order, or its absence.
func (ho *Holder) Hear(now lease.Moment, mg exchange.UpstreamMsg) []exchange.Cmd {
	us := ho.upstreams[mg.Upstream]
	if us == nil {
		return nil
	}
	latest := us.pending.waiting && us.pending.number == mg.Number
	if latest {
		us.pending.waiting = false
	}
	if mg.Err != nil || !latest {
		return nil
	}
	rp := mg.Reply
	if !us.inspected {
		us.inspected, us.highest, us.reported = true, rp.Highest, rp.Slices
	}
	ho.confirm(us, mg.Order, rp)
	us.reading, us.asked, us.heard, us.settled, us.known = rp.Reading, us.pending.sent, now.Now, now.Steady, true
	if us.pending.inspect || us.all || !us.complete {
		us.nextOrder = now.Now
	}
	return ho.Tick(now)
}

// confirm takes the answer to an order that carried this holder's token.
func (ho *Holder) confirm(us *upstream, od grant.Order, rp grant.Reply) {
	if us.pending.inspect {
		return
	}
	if !rp.Accepted {
		ho.refusedBy(rp.Highest)
		return
	}
	restarted := us.incarnation != rp.Incarnation
	us.incarnation = rp.Incarnation
	if us.all || restarted || !od.Keep {
		us.all = false
		us.may = map[ident.Slice]bool{}
		for _, sl := range rp.Slices {
			us.may[sl] = true
		}
	}
	us.complete = (us.complete && !restarted) || !od.Keep
	if restarted || !od.Keep {
		ho.disturb()
	}
	if !od.Keep {
		us.confirmed = maps.Clone(us.may)
	}
	ho.changed = true
	if od.Until == 0 || !us.complete {
		us.grant = Grant{}
		return
	}
	length := lease.Shortest(od.Until.Sub(us.reading))
	us.grant = Grant{Token: od.Token, Until: min(us.asked.Add(length), ho.until), Incarnation: rp.Incarnation}
}

// refusedBy remembers a token that outranks this holder's. Its own later order
// may have overtaken the one refused; that is no reason to yield.
func (ho *Holder) refusedBy(highest grant.Token) {
	if highest.Term == ho.claim.Term && highest.Epoch == ho.claim.Epoch {
		return
	}
	ho.refused = exchange.Claim{Pool: ho.claim.Pool, Term: highest.Term, Epoch: highest.Epoch}
}
