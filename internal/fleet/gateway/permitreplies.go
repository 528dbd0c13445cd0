package gateway

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// askID identifies an ask of any process that has run on this host.
type askID struct {
	incarnation uint64
	ticket      protocol.Ticket
}

// process identifies this process to other hosts.
func (gw *Gateway) process() protocol.Process {
	return protocol.Process{Host: gw.self.Host, Incarnation: gw.self.Incarnation}
}

// isOwn reports whether a reply is one to an ask of this process. Replies to earlier processes of
// this host arrive at the same address, and those to another host if it had this address before.
// Builds that do not name the process leave it empty; lastTicket keeps their replies apart.
func (pc *permitClient) isOwn(from, reply string, asker protocol.Process, ticket protocol.Ticket) bool {
	if asker == pc.gw.process() || asker == (protocol.Process{}) {
		return true
	}
	pc.gw.config.Log.Event("replyToOtherProcess", eventlog.Fields{
		"reply": reply, "from": from, "ticket": ticket, "asker": asker.Host, "incarnation": asker.Incarnation,
	})
	return false
}

// pendingFrom returns the pending acquire for a reply from a holder. A holder
// that was skipped may still reply; its permit is released.
func (pc *permitClient) pendingFrom(from string, ticket protocol.Ticket) (*pendingAcquire, bool) {
	pa, known := pc.pending[ticket]
	if !known || pa.address != from {
		return pa, false
	}
	delete(pc.suspectUntil, pa.holder)
	return pa, true
}

// handlePermit handles a permit from another host.
func (pc *permitClient) handlePermit(now clock.Instant, from string, pm protocol.Permit) {
	if !pc.isOwn(from, "permit", pm.Asker, pm.Ticket) {
		if pm.Asker.Host == pc.gw.self.Host {
			pc.releaseUnused(now, from, pm, pm.Asker.Incarnation)
		}
		return
	}
	pa, ok := pc.pendingFrom(from, pm.Ticket)
	if !ok {
		if _, held := pc.held[pm.Ticket]; !held && pc.pending[pm.Ticket] == nil {
			pc.releaseUnused(now, from, pm, pc.gw.self.Incarnation)
		}
		return
	}
	pc.deliver(now, pa, pm)
}

// releaseUnused releases a permit that no request of this process waits for, in the name of the
// process that asked for it.
func (pc *permitClient) releaseUnused(now clock.Instant, address string, pm protocol.Permit, incarnation uint64) {
	id := askID{incarnation, pm.Ticket}
	if _, releasing := pc.releases[id]; releasing {
		return
	}
	pr := &pendingRelease{address: address, done: protocol.Done{
		Host: pc.gw.self.Host, Incarnation: incarnation, Ticket: pm.Ticket, Upstream: pm.Upstream, Outcome: uint8(permit.Withdrawn),
	}}
	pc.releases[id] = pr
	pc.sendRelease(now, pr)
}

func (pc *permitClient) handleRefusal(from string, rf protocol.Refusal) {
	if !pc.isOwn(from, "refusal", rf.Asker, rf.Ticket) {
		return
	}
	pa, ok := pc.pendingFrom(from, rf.Ticket)
	if !ok {
		return
	}
	if rf.Reason == permit.LimitHeldElsewhere && len(pa.skipped) == 0 {
		// A holder that was cut off until now takes upstreams for cold that others use.
		pa.skipped = append(pa.skipped, pa.holder)
		pc.tryNextHolder(pc.gw.clock.Now(), pa)
		return
	}
	pc.finish(pa, acquireResult{refusal: &rf})
}

func (pc *permitClient) handleQueued(now clock.Instant, from string, qd protocol.Queued) {
	if !pc.isOwn(from, "queued", qd.Asker, qd.Ticket) {
		return
	}
	if pa, ok := pc.pendingFrom(from, qd.Ticket); ok {
		pa.tries, pa.nextAt = 0, now.Add(queuedCheckInterval)
	}
}

// handleDoneAck ends a release. This process also releases permits of earlier ones.
func (pc *permitClient) handleDoneAck(ack protocol.DoneAck) {
	incarnation := ack.Asker.Incarnation
	switch ack.Asker.Host {
	case pc.gw.self.Host:
	case "":
		// Of a build that does not name the process.
		incarnation = pc.gw.self.Incarnation
	default:
		return
	}
	delete(pc.releases, askID{incarnation, ack.Ticket})
}
