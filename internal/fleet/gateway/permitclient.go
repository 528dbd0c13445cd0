package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
)

const (
	// replyTimeout is how long a holder may take to send any reply before the ask
	// is sent again: twenty times the network delay between two domains, to
	// allow for slow machines.
	replyTimeout = 60 * time.Millisecond
	// queuedCheckInterval is how long after its last reply a holder is asked again
	// whether it still has the ask in its queue.
	queuedCheckInterval = 150 * time.Millisecond
	// suspectTTL is how long a holder that did not answer is skipped.
	suspectTTL = 2 * time.Second
	// triesPerHolder is how many times an ask is sent to a holder before the holder
	// is skipped.
	triesPerHolder = 2
	// leaderSilence is how long this host must have heard nothing of the leader to take itself
	// for the one that was cut off: as long as the leader waits for a member.
	leaderSilence = 1300 * time.Millisecond
	// releaseTries is how many times an unconfirmed release is sent; a permit that
	// is not released expires with its request's deadline.
	releaseTries = 3
	// maxHolders is how many holders are tried before the host issues the permit
	// itself.
	maxHolders = 3
	// maxPoolUpstreams is the maximum number of upstreams per pool, which spreads
	// the permits of a large service over the hosts.
	maxPoolUpstreams = 32
	// unusableRetryDelay is the delay before asking again after a permit for an
	// upstream that is unknown here or leaving.
	unusableRetryDelay = 60 * time.Millisecond
)

// acquireResult is the result of an acquire: a permit or a refusal.
type acquireResult struct {
	permit  proxy.Permit
	refusal *protocol.Refusal
}

// acquireEvent starts an acquire.
type acquireEvent struct {
	ask   protocol.Ask
	reply chan acquireResult
}

// withdrawEvent cancels the acquire that replies to a channel, as its caller has left.
type withdrawEvent struct {
	reply chan acquireResult
}

// releaseEvent releases a permit.
type releaseEvent struct {
	permit proxy.Permit
	done   protocol.Done
}

// pendingAcquire is an acquire that waits for its result.
type pendingAcquire struct {
	ask       protocol.Ask
	reply     chan acquireResult
	startedAt clock.Instant
	holder    ident.Host
	address   string
	tries     int
	// skipped are the holders that did not answer this ask.
	skipped []ident.Host
	// nextAt is when the ask is sent again.
	nextAt      clock.Instant
	deadline    clock.Instant
	objectiveAt clock.Instant
}

// pendingRelease is a release that the holder has not confirmed yet.
type pendingRelease struct {
	done    protocol.Done
	address string
	tries   int
	// nextAt is when the release is sent again.
	nextAt clock.Instant
}

// permitClient acquires permits from the holders of pools. Acquire and Release
// are safe for concurrent use; everything else belongs to the event loop.
type permitClient struct {
	gw *Gateway
	// lastTicket is the ticket of the newest ask. Each process begins at a number of its own, as
	// holders of earlier builds reply with the ticket alone.
	lastTicket atomic.Uint64
	// openCount is the number of requests that hold a permit or wait for one.
	openCount atomic.Int64
	// waitingCount is the number of those that wait.
	waitingCount atomic.Int64
	// endsAt is when this process ends its requests, clock.Never if it is not stopping.
	endsAt  clock.Instant
	pending map[protocol.Ticket]*pendingAcquire
	// held holds the tickets of permits that a request has got and not released yet.
	held         map[protocol.Ticket]struct{}
	releases     map[askID]*pendingRelease
	suspectUntil map[ident.Host]clock.Instant
	// leaderHeardAt is when the leader's last heartbeat arrived.
	leaderHeardAt clock.Instant
	// addresses holds where each host's asks came from.
	addresses map[ident.Host]netip.AddrPort
	// regular holds the regular holders of pools.
	regular regularHolders
}

func newPermitClient(gw *Gateway) permitClient {
	return permitClient{
		gw: gw, endsAt: clock.Never, pending: map[protocol.Ticket]*pendingAcquire{}, held: map[protocol.Ticket]struct{}{}, releases: map[askID]*pendingRelease{},
		suspectUntil: map[ident.Host]clock.Instant{}, addresses: map[ident.Host]netip.AddrPort{},
	}
}

// ticketBits is the number of bits of the first ticket of a process. It leaves room for all that
// follow, also as an int.
const ticketBits = 62

// firstTicket returns the number at which the tickets of a process begin.
func firstTicket(ps protocol.Process) uint64 {
	return xxhash.Sum64String(fmt.Sprint(ps.Host, " ", ps.Incarnation)) >> (64 - ticketBits)
}

// Acquire implements proxy.Permits.
func (pc *permitClient) Acquire(ctx context.Context, ask protocol.Ask) (proxy.Permit, *protocol.Refusal, error) {
	ask.Host, ask.Incarnation = pc.gw.self.Host, pc.gw.self.Incarnation
	ask.Ticket = protocol.Ticket(pc.lastTicket.Add(1))
	pc.openCount.Add(1)
	pc.waitingCount.Add(1)
	defer pc.waitingCount.Add(-1)
	reply := make(chan acquireResult, 1)
	pc.gw.send(acquireEvent{ask, reply})
	select {
	case rs := <-reply:
		if rs.refusal != nil {
			pc.openCount.Add(-1)
		}
		return rs.permit, rs.refusal, nil
	case <-ctx.Done():
		pc.openCount.Add(-1)
		pc.gw.send(withdrawEvent{reply})
		return proxy.Permit{}, nil, ctx.Err()
	case <-pc.gw.done:
		pc.openCount.Add(-1)
		return proxy.Permit{}, nil, context.Canceled
	}
}

// Release implements proxy.Permits.
func (pc *permitClient) Release(pm proxy.Permit, done protocol.Done) {
	pc.openCount.Add(-1)
	pc.gw.loads.countOutcome(done)
	pc.gw.send(releaseEvent{pm, done})
}

// idle reports whether no request holds a permit or waits for one.
func (pc *permitClient) idle() bool { return pc.openCount.Load() == 0 }

func (pc *permitClient) start(ev acquireEvent) {
	now := pc.gw.clock.Now()
	pa := &pendingAcquire{ask: ev.ask, reply: ev.reply, startedAt: now, deadline: now.Add(ev.ask.TimeLeft), objectiveAt: now.Add(ev.ask.ObjectiveLeft)}
	pc.pending[ev.ask.Ticket] = pa
	if rf, refused := pc.gw.suspects.core.Refused(now, ev.ask.Fingerprint); refused {
		pc.finish(pa, acquireResult{refusal: &rf})
		return
	}
	if ev.ask.Keyed && pc.refusePaused(now, pa, pc.owner(pa)) {
		return
	}
	pc.tryNextHolder(now, pa)
}

// tryNextHolder sends the ask to the next holder, or to this host's own permit
// core after maxHolders have failed to answer.
func (pc *permitClient) tryNextHolder(now clock.Instant, pa *pendingAcquire) {
	pa.tries = 0
	pc.choosePool(pa)
	pa.holder, pa.address, pa.ask.Fallback = pc.gw.self.Host, "", true
	if len(pa.skipped) < maxHolders {
		pa.holder, pa.address, pa.ask.Fallback = pc.chooseHolder(now, pa)
	}
	if pa.holder == pc.gw.self.Host {
		// Replies of this host's own core have no address.
		pa.address = ""
	}
	if _, suspect := pc.suspectUntil[pa.holder]; suspect {
		// This ask finds out whether the holder answers again.
		pc.suspectUntil[pa.holder] = now.Add(triesPerHolder * replyTimeout)
	}
	pc.sendAsk(now, pa)
}

// sendAsk sends an ask to its holder.
func (pc *permitClient) sendAsk(now clock.Instant, pa *pendingAcquire) {
	pa.tries++
	pa.nextAt = now.Add(replyTimeout)
	pa.ask.TimeLeft, pa.ask.ObjectiveLeft = pc.lastAt(pa).Sub(now), pa.objectiveAt.Sub(now)
	if pa.holder == pc.gw.self.Host {
		pa.nextAt = now.Add(queuedCheckInterval)
		pc.gw.handleAsk(pa.ask)
		return
	}
	pc.gw.sendMessage(pa.address, pa.ask)
}

// lastAt returns until when the request of an acquire can be answered: an ask that waits while the
// process begins to stop is sent again with less time left.
func (pc *permitClient) lastAt(pa *pendingAcquire) clock.Instant { return min(pa.deadline, pc.endsAt) }

// choosePool chooses the pool of the service's upstreams that an ask is for: the
// pool with the key's owner, or each pool in turn for requests without a key that are not suspect.
func (pc *permitClient) choosePool(pa *pendingAcquire) {
	pa.ask.Pools = pc.poolCount(pa.ask.Service)
	if !pa.ask.Keyed {
		pa.ask.Pool = int(pa.ask.Ticket) % max(pa.ask.Pools, 1)
		if pc.gw.suspects.core.Suspect(pa.ask.Fingerprint) {
			// One holder must see all of its asks.
			pa.ask.Pool = int(uint64(pa.ask.Fingerprint) % uint64(max(pa.ask.Pools, 1)))
		}
		return
	}
	pa.ask.Pool = ident.PoolOf(ident.Hash(pc.owner(pa)), pa.ask.Pools)
}

// poolCount returns into how many pools a service's upstreams are divided.
func (pc *permitClient) poolCount(sv ident.Service) int {
	return (pc.gw.upstreamCount[sv] + maxPoolUpstreams - 1) / maxPoolUpstreams
}

// owner returns the upstream that owns an ask's key or will own it after a move.
func (pc *permitClient) owner(pa *pendingAcquire) ident.Upstream {
	sh, _ := pc.gw.table.Load().ShareOf(pa.ask.Service, pa.ask.Key)
	if sh.Moving() {
		return sh.Next.Upstream
	}
	return sh.Owner.Upstream
}

// refusePaused refuses an ask whose only upstream wants no request from this host. It
// returns false if the upstream wants requests.
func (pc *permitClient) refusePaused(now clock.Instant, pa *pendingAcquire, id ident.Upstream) bool {
	left := pc.gw.announcements.pauseLeft(now, id)
	if left == 0 {
		return false
	}
	pc.finish(pa, acquireResult{refusal: &protocol.Refusal{Reason: "upstreamPaused", RetryAfter: left}})
	return true
}

// noteLeaderHeard forgets which holders were silent if this host was cut off until now.
func (pc *permitClient) noteLeaderHeard(now clock.Instant) {
	if now.Sub(pc.leaderHeardAt) >= leaderSilence {
		clear(pc.suspectUntil)
		pc.gw.updatePermits(permit.RestoredMsg{Domain: pc.gw.self.Domain})
	}
	pc.leaderHeardAt = now
}

// chooseHolder returns the member that issues the permits of one pool of a
// service. All hosts make the same choice, except that each skips the members
// that recently failed to answer it. Fallback reports that the result is not the
// common choice: since hosts skip different members, several of them may then
// issue the same permits.
func (pc *permitClient) chooseHolder(now clock.Instant, pa *pendingAcquire) (host ident.Host, address string, fallback bool) {
	pool := poolID{pa.ask.Service, pa.ask.Pool}
	best := preferredMember(pc.gw.table.Load(), pool, func(mb *assignment.Member) bool {
		return now < pc.suspectUntil[mb.Host] || slices.Contains(pa.skipped, mb.Host)
	})
	if best == nil {
		return pc.gw.self.Host, "", true
	}
	return best.Host, best.Address, best.Host != pc.regularHolder(pool)
}

// holdsPool reports whether this host is the regular holder of the pool that another host's
// ask is for. The other host may know an older assignment or other upstreams.
func (pc *permitClient) holdsPool(ask protocol.Ask) bool {
	return ask.Pools == pc.poolCount(ask.Service) && pc.regularHolder(poolID{ask.Service, ask.Pool}) == pc.gw.self.Host
}

// tick resends asks and releases that got no reply in time.
func (pc *permitClient) tick(now clock.Instant) {
	for _, pa := range pc.pending {
		if now < pa.nextAt {
			continue
		}
		switch {
		case pc.endsAt < min(pa.deadline, now):
			pc.refuseStopping(pa)
		case pa.deadline < now:
			pc.finish(pa, acquireResult{refusal: &protocol.Refusal{Reason: "noAnswerFromHolder", RetryAfter: unusableRetryDelay}})
		case pa.holder == pc.gw.self.Host || pa.tries < triesPerHolder:
			pc.sendAsk(now, pa)
		default:
			pc.gw.config.Log.Event("holderSilent", map[string]any{"holder": pa.holder, "request": pa.ask.Request, "service": pa.ask.Service, "tries": pa.tries})
			pc.suspectUntil[pa.holder] = now.Add(suspectTTL)
			pa.skipped = append(pa.skipped, pa.holder)
			pc.tryNextHolder(now, pa)
		}
	}
	for id, pr := range pc.releases {
		if now < pr.nextAt {
			continue
		}
		if pr.tries >= releaseTries {
			delete(pc.releases, id)
			continue
		}
		pc.sendRelease(now, pr)
	}
}

// refuseStopping refuses an acquire that waits for longer than its process serves requests.
func (pc *permitClient) refuseStopping(pa *pendingAcquire) {
	pc.finish(pa, acquireResult{refusal: &protocol.Refusal{Reason: "stopping", RetryAfter: unusableRetryDelay}})
	pc.releaseWaiting(pa)
}

// nextWake returns when the next resend is due.
func (pc *permitClient) nextWake() clock.Instant {
	next := clock.Never
	for _, pa := range pc.pending {
		next = min(next, pa.nextAt)
	}
	for _, pr := range pc.releases {
		next = min(next, pr.nextAt)
	}
	return next
}

// deliver passes a permit to the waiting request if its upstream is usable.
func (pc *permitClient) deliver(now clock.Instant, pa *pendingAcquire, pm protocol.Permit) {
	ep, known := (*pc.gw.endpoints.Load())[pm.Upstream]
	if !known || ep.service != pa.ask.Service || now >= ep.refuseAt || pc.gw.announcements.pauseLeft(now, pm.Upstream) > 0 {
		pc.releaseAndRetry(now, pa, pm)
		return
	}
	pc.finish(pa, acquireResult{permit: proxy.Permit{Permit: pm, Address: ep.address, Holder: pa.holder, Waited: now.Sub(pa.startedAt)}})
}

// releaseAndRetry releases a permit that cannot be used here and asks again.
func (pc *permitClient) releaseAndRetry(now clock.Instant, pa *pendingAcquire, pm protocol.Permit) {
	delete(pc.pending, pa.ask.Ticket)
	pc.release(releaseEvent{
		permit: proxy.Permit{Permit: pm, Holder: pa.holder, Address: pa.address},
		done:   protocol.Done{Service: pa.ask.Service, Upstream: pm.Upstream, Outcome: uint8(permit.Withdrawn)},
	})
	if pa.ask.Keyed && pc.refusePaused(now, pa, pm.Upstream) {
		return
	}
	pa.ask.Ticket = protocol.Ticket(pc.lastTicket.Add(1))
	pa.ask.Avoid = pm.Upstream
	pa.tries, pa.nextAt = 0, now.Add(unusableRetryDelay)
	pc.pending[pa.ask.Ticket] = pa
}

// handleLocal handles a reply of this host's own permit core.
func (pc *permitClient) handleLocal(msg protocol.Msg) {
	now := pc.gw.clock.Now()
	switch ms := msg.(type) {
	case protocol.Permit:
		pa, known := pc.pending[ms.Ticket]
		if !known || pa.holder != pc.gw.self.Host {
			pc.release(releaseEvent{
				permit: proxy.Permit{Permit: ms, Holder: pc.gw.self.Host},
				done:   protocol.Done{Upstream: ms.Upstream, Outcome: uint8(permit.Withdrawn)},
			})
			return
		}
		pc.deliver(now, pa, ms)
	case protocol.Refusal:
		pc.handleRefusal("", ms)
	case protocol.Queued:
		pc.handleQueued(now, "", ms)
	}
}

func (pc *permitClient) finish(pa *pendingAcquire, rs acquireResult) {
	delete(pc.pending, pa.ask.Ticket)
	if rs.refusal == nil {
		pc.held[pa.ask.Ticket] = struct{}{}
	}
	pa.reply <- rs
}

// withdraw cancels an acquire whose caller has left.
func (pc *permitClient) withdraw(ev withdrawEvent) {
	pa := pc.pendingFor(ev.reply)
	if pa == nil {
		// The result was sent just as the caller left.
		select {
		case rs := <-ev.reply:
			if rs.refusal == nil {
				pc.release(releaseEvent{permit: rs.permit, done: protocol.Done{Upstream: rs.permit.Upstream, Outcome: uint8(permit.Withdrawn)}})
			}
		default:
		}
		return
	}
	delete(pc.pending, pa.ask.Ticket)
	pc.releaseWaiting(pa)
}

// releaseWaiting makes the holder forget an ask, or release the permit that it has just issued.
func (pc *permitClient) releaseWaiting(pa *pendingAcquire) {
	pc.release(releaseEvent{
		permit: proxy.Permit{Permit: protocol.Permit{Ticket: pa.ask.Ticket}, Holder: pa.holder},
		done:   protocol.Done{Service: pa.ask.Service, Outcome: uint8(permit.Withdrawn)},
	})
}

// pendingFor returns the pending acquire that replies to a channel, or nil. Its ticket is another
// one than at first if a permit could not be used.
func (pc *permitClient) pendingFor(reply chan acquireResult) *pendingAcquire {
	for _, pa := range pc.pending {
		if pa.reply == reply {
			return pa
		}
	}
	return nil
}

// release releases a permit at its holder.
func (pc *permitClient) release(ev releaseEvent) {
	now := pc.gw.clock.Now()
	delete(pc.held, ev.permit.Ticket)
	dn := ev.done
	dn.Host, dn.Incarnation, dn.Ticket = pc.gw.self.Host, pc.gw.self.Incarnation, ev.permit.Ticket
	if ev.permit.Holder == pc.gw.self.Host {
		pc.gw.handleDone(dn)
		return
	}
	mb, known := pc.gw.table.Load().Member(ev.permit.Holder)
	if !known {
		return
	}
	pr := &pendingRelease{done: dn, address: mb.Address}
	pc.releases[askID{dn.Incarnation, dn.Ticket}] = pr
	pc.sendRelease(now, pr)
}

func (pc *permitClient) sendRelease(now clock.Instant, pr *pendingRelease) {
	pr.tries++
	pr.nextAt = now.Add(replyTimeout)
	pc.gw.sendMessage(pr.address, pr.done)
}

// rememberAddress records the address from which a host sends its asks.
func (pc *permitClient) rememberAddress(host ident.Host, from netip.AddrPort) {
	pc.addresses[host] = from
}

func (pc *permitClient) addressOf(host ident.Host) (netip.AddrPort, bool) {
	from, known := pc.addresses[host]
	return from, known
}
