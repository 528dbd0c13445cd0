package gateway

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
)

const (
	// replyTime is how long a holder may take to say anything: twenty times the
	// way between two domains, for slow machines. Then it is asked once more.
	replyTime = 60 * time.Millisecond
	// queuedTime is how long after its last word a holder is asked again
	// whether it still has the ask.
	queuedTime = 150 * time.Millisecond
	// suspectTime is how long a holder that did not answer is passed over.
	suspectTime = 2 * time.Second
	// askTries is how often a holder is asked before it is passed over.
	askTries = 2
	// doneTries is how often a permit is given back until that is confirmed;
	// a permit that is not given back ends with its request's deadline.
	doneTries = 3
	// holderTries is how many holders are asked before the host hands out the
	// permit itself.
	holderTries = 3
	// partUpstreams is how many upstreams one holder hands out at most, so that
	// the permits of a large service are spread over the hosts.
	partUpstreams = 32
	// unusableRetry is when to ask again after a permit for an upstream that is
	// not known here, or leaves.
	unusableRetry = 60 * time.Millisecond
)

// result is the end of an ask.
type result struct {
	grant   proxy.Grant
	refusal *protocol.Refusal
}

// askEvent begins an ask.
type askEvent struct {
	ask   protocol.Ask
	reply chan result
}

// withdrawEvent ends an ask whose caller left.
type withdrawEvent struct {
	ticket protocol.Ticket
	reply  chan result
}

// releaseEvent gives a permit back.
type releaseEvent struct {
	grant proxy.Grant
	done  protocol.Done
}

// pendingAsk is an ask that waits for its end.
type pendingAsk struct {
	ask      protocol.Ask
	reply    chan result
	began    clock.Instant
	holder   ident.Host
	address  string
	tries    int
	passed   []ident.Host
	nextAt   clock.Instant
	deadline clock.Instant
	objected clock.Instant
}

// pendingReturn is a permit on its way back.
type pendingReturn struct {
	done    protocol.Done
	address string
	tries   int
	nextAt  clock.Instant
}

// asks gets permits from the holders of pools. Acquire and Release may be
// called from many goroutines; all else belongs to the loop.
type asks struct {
	gw      *Gateway
	ticket  atomic.Uint64
	open    atomic.Int64
	pending map[protocol.Ticket]*pendingAsk
	returns map[protocol.Ticket]*pendingReturn
	suspect map[ident.Host]clock.Instant
	hosts   map[ident.Host]netip.AddrPort
}

func newAsks(gw *Gateway) asks {
	return asks{
		gw: gw, pending: map[protocol.Ticket]*pendingAsk{}, returns: map[protocol.Ticket]*pendingReturn{},
		suspect: map[ident.Host]clock.Instant{}, hosts: map[ident.Host]netip.AddrPort{},
	}
}

// Acquire implements proxy.Permits.
func (as *asks) Acquire(ctx context.Context, ask protocol.Ask) (proxy.Grant, *protocol.Refusal, error) {
	ask.Host, ask.Incarnation = as.gw.self.Host, as.gw.self.Incarnation
	ask.Ticket = protocol.Ticket(as.ticket.Add(1))
	as.open.Add(1)
	reply := make(chan result, 1)
	as.gw.send(askEvent{ask, reply})
	select {
	case rs := <-reply:
		if rs.refusal != nil {
			as.open.Add(-1)
		}
		return rs.grant, rs.refusal, nil
	case <-ctx.Done():
		as.open.Add(-1)
		as.gw.send(withdrawEvent{ask.Ticket, reply})
		return proxy.Grant{}, nil, ctx.Err()
	case <-as.gw.done:
		as.open.Add(-1)
		return proxy.Grant{}, nil, context.Canceled
	}
}

// Release implements proxy.Permits.
func (as *asks) Release(gr proxy.Grant, done protocol.Done) {
	as.open.Add(-1)
	as.gw.tally.ended(done)
	as.gw.send(releaseEvent{gr, done})
}

// idle tells whether no request waits for a permit or holds one.
func (as *asks) idle() bool { return as.open.Load() == 0 }

func (as *asks) begin(ev askEvent) {
	now := as.gw.clock.Now()
	ws := &pendingAsk{ask: ev.ask, reply: ev.reply, began: now, deadline: now.Add(ev.ask.TimeLeft), objected: now.Add(ev.ask.ObjectiveLeft)}
	as.pending[ev.ask.Ticket] = ws
	as.find(now, ws)
}

// find asks the next holder, or this host's own core if none is left.
func (as *asks) find(now clock.Instant, ws *pendingAsk) {
	ws.tries = 0
	as.choosePart(ws)
	ws.holder, ws.address, ws.ask.Fallback = as.gw.self.Host, "", true
	if len(ws.passed) < holderTries {
		ws.holder, ws.address, ws.ask.Fallback = as.holder(now, ws)
	}
	as.ask(now, ws)
}

// ask sends an ask to its holder.
func (as *asks) ask(now clock.Instant, ws *pendingAsk) {
	ws.tries++
	ws.nextAt = now.Add(replyTime)
	ws.ask.TimeLeft, ws.ask.ObjectiveLeft = ws.deadline.Sub(now), ws.objected.Sub(now)
	if ws.holder == as.gw.self.Host {
		ws.nextAt = now.Add(queuedTime)
		as.gw.permit(permit.AskMsg{Ask: ws.ask})
		return
	}
	as.gw.transmit(ws.address, ws.ask)
}

// choosePart says which part of its service's upstreams an ask is about: that
// of its key's owner, else each part in turn.
func (as *asks) choosePart(ws *pendingAsk) {
	ws.ask.Parts = (as.gw.upstreams[ws.ask.Service] + partUpstreams - 1) / partUpstreams
	if !ws.ask.Keyed {
		ws.ask.Part = int(ws.ask.Ticket) % max(ws.ask.Parts, 1)
		return
	}
	sh, _ := as.gw.table.Load().Owner(ws.ask.Service, ws.ask.Key)
	owner := sh.Owner.Upstream
	if sh.Moving() {
		owner = sh.Next.Upstream
	}
	ws.ask.Part = ident.PartOf(ident.Hash(owner), ws.ask.Parts)
}

// holderWeight is how likely a member is chosen as a holder. It grows faster
// than fitness: a part of a busy service takes some 1,400 datagrams a second,
// which fill a tenth of a processor and more, while a fit host can hold many parts.
func holderWeight(mb *assignment.Member) float64 { return float64(mb.Fitness * mb.Fitness) }

// holder is the member that hands out the permits of a part of a service,
// chosen alike by all hosts; those that did not answer lately are passed over.
// Fallback tells that it is not the one that all would choose: hosts pass over
// different members, and then several hand out the same permits.
func (as *asks) holder(now clock.Instant, ws *pendingAsk) (host ident.Host, address string, fallback bool) {
	var best, first *assignment.Member
	var bestScore, firstScore float64
	pool := "permits/" + string(ws.ask.Service) + "/" + strconv.Itoa(ws.ask.Part)
	members := as.gw.table.Load().Members
	for ix := range members {
		mb := &members[ix]
		if !mb.Alive {
			continue
		}
		score := ident.Score(pool, string(mb.Host), holderWeight(mb))
		if first == nil || score > firstScore {
			first, firstScore = mb, score
		}
		passed := now.Before(as.suspect[mb.Host]) || slices.Contains(ws.passed, mb.Host)
		if !passed && (best == nil || score > bestScore) {
			best, bestScore = mb, score
		}
	}
	if best == nil {
		return as.gw.self.Host, "", true
	}
	return best.Host, best.Address, best != first
}

// tick repeats what got no answer.
func (as *asks) tick(now clock.Instant) {
	for _, ws := range as.pending {
		if now < ws.nextAt {
			continue
		}
		switch {
		case ws.deadline < now:
			as.end(ws, result{refusal: &protocol.Refusal{Reason: "noAnswerFromHolder", RetryAfter: unusableRetry}})
		case ws.holder == as.gw.self.Host || ws.tries < askTries:
			as.ask(now, ws)
		default:
			as.gw.cf.Journal.Event("holderSilent", map[string]any{"holder": ws.holder, "request": ws.ask.Request, "service": ws.ask.Service, "tries": ws.tries})
			as.suspect[ws.holder] = now.Add(suspectTime)
			ws.passed = append(ws.passed, ws.holder)
			as.find(now, ws)
		}
	}
	for ticket, gv := range as.returns {
		if now < gv.nextAt {
			continue
		}
		if gv.tries >= doneTries {
			delete(as.returns, ticket)
			continue
		}
		as.sendBack(now, gv)
	}
}

func (as *asks) next() clock.Instant {
	next := clock.Never
	for _, ws := range as.pending {
		next = min(next, ws.nextAt)
	}
	for _, gv := range as.returns {
		next = min(next, gv.nextAt)
	}
	return next
}

// current finds the ask that a holder's word is about. One that was passed
// over may still answer; its permit goes back.
func (as *asks) current(from string, ticket protocol.Ticket) (*pendingAsk, bool) {
	ws, known := as.pending[ticket]
	return ws, known && ws.address == from
}

// permitted takes a permit.
func (as *asks) permitted(now clock.Instant, from string, pm protocol.Permit) {
	ws, ok := as.current(from, pm.Ticket)
	if !ok {
		if _, back := as.returns[pm.Ticket]; !back && as.pending[pm.Ticket] == nil {
			as.returnUnused(now, from, pm)
		}
		return
	}
	as.grant(now, ws, pm)
}

// returnUnused gives back a permit that nobody waits for.
func (as *asks) returnUnused(now clock.Instant, address string, pm protocol.Permit) {
	gv := &pendingReturn{address: address, done: protocol.Done{
		Host: as.gw.self.Host, Incarnation: as.gw.self.Incarnation, Ticket: pm.Ticket, Upstream: pm.Upstream, Outcome: uint8(permit.Withdrawn),
	}}
	as.returns[pm.Ticket] = gv
	as.sendBack(now, gv)
}

func (as *asks) grant(now clock.Instant, ws *pendingAsk, pm protocol.Permit) {
	pl, known := (*as.gw.places.Load())[pm.Upstream]
	if !known || now >= pl.refuseAt {
		as.again(now, ws, pm)
		return
	}
	as.end(ws, result{grant: proxy.Grant{Permit: pm, Address: pl.address, Holder: ws.holder, Waited: now.Sub(ws.began)}})
}

// again gives back a permit that cannot be used here and asks once more.
func (as *asks) again(now clock.Instant, ws *pendingAsk, pm protocol.Permit) {
	delete(as.pending, ws.ask.Ticket)
	as.release(releaseEvent{
		grant: proxy.Grant{Permit: pm, Holder: ws.holder, Address: ws.address},
		done:  protocol.Done{Service: ws.ask.Service, Upstream: pm.Upstream, Outcome: uint8(permit.Withdrawn)},
	})
	ws.ask.Ticket = protocol.Ticket(as.ticket.Add(1))
	ws.ask.Avoid = pm.Upstream
	ws.tries, ws.nextAt = 0, now.Add(unusableRetry)
	as.pending[ws.ask.Ticket] = ws
}

func (as *asks) refused(from string, rf protocol.Refusal) {
	if ws, ok := as.current(from, rf.Ticket); ok {
		as.end(ws, result{refusal: &rf})
	}
}

func (as *asks) queued(now clock.Instant, from string, ticket protocol.Ticket) {
	if ws, ok := as.current(from, ticket); ok {
		ws.tries, ws.nextAt = 0, now.Add(queuedTime)
	}
}

// local takes the word of this host's own core.
func (as *asks) local(msg protocol.Msg) {
	now := as.gw.clock.Now()
	switch ms := msg.(type) {
	case protocol.Permit:
		ws, known := as.pending[ms.Ticket]
		if !known || ws.holder != as.gw.self.Host {
			as.release(releaseEvent{
				grant: proxy.Grant{Permit: ms, Holder: as.gw.self.Host},
				done:  protocol.Done{Upstream: ms.Upstream, Outcome: uint8(permit.Withdrawn)},
			})
			return
		}
		as.grant(now, ws, ms)
	case protocol.Refusal:
		as.refused("", ms)
	case protocol.Queued:
		as.queued(now, "", ms.Ticket)
	}
}

func (as *asks) end(ws *pendingAsk, rs result) {
	delete(as.pending, ws.ask.Ticket)
	ws.reply <- rs
}

// withdraw ends an ask whose caller left.
func (as *asks) withdraw(ev withdrawEvent) {
	ws, waiting := as.pending[ev.ticket]
	if !waiting {
		// Its end crossed the caller's leaving.
		select {
		case rs := <-ev.reply:
			if rs.refusal == nil {
				as.release(releaseEvent{grant: rs.grant, done: protocol.Done{Upstream: rs.grant.Upstream, Outcome: uint8(permit.Withdrawn)}})
			}
		default:
		}
		return
	}
	delete(as.pending, ev.ticket)
	as.release(releaseEvent{
		grant: proxy.Grant{Permit: protocol.Permit{Ticket: ev.ticket}, Holder: ws.holder},
		done:  protocol.Done{Service: ws.ask.Service, Outcome: uint8(permit.Withdrawn)},
	})
}

// release gives a permit back to its holder.
func (as *asks) release(ev releaseEvent) {
	now := as.gw.clock.Now()
	dn := ev.done
	dn.Host, dn.Incarnation, dn.Ticket = as.gw.self.Host, as.gw.self.Incarnation, ev.grant.Ticket
	if ev.grant.Holder == as.gw.self.Host {
		as.gw.permit(permit.DoneMsg{Done: dn})
		return
	}
	mb, known := as.gw.table.Load().Member(ev.grant.Holder)
	if !known {
		return
	}
	gv := &pendingReturn{done: dn, address: mb.Address}
	as.returns[dn.Ticket] = gv
	as.sendBack(now, gv)
}

func (as *asks) sendBack(now clock.Instant, gv *pendingReturn) {
	gv.tries++
	gv.nextAt = now.Add(replyTime)
	as.gw.transmit(gv.address, gv.done)
}

func (as *asks) doneSeen(ticket protocol.Ticket) { delete(as.returns, ticket) }

// remember notes where a host's asks come from.
func (as *asks) remember(host ident.Host, from netip.AddrPort) { as.hosts[host] = from }

func (as *asks) addressOf(host ident.Host) (netip.AddrPort, bool) {
	from, known := as.hosts[host]
	return from, known
}
