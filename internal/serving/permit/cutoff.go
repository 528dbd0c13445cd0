package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/locality"
)

// cutOffRetryAfter is the Retry-After of a request whose owner is in a domain that its host does
// not reach: a cut is over or known to the leader in some seconds, not at once.
const cutOffRetryAfter = time.Second

// LimitHeldElsewhere is the reason of a refusal by a holder that is not the regular one, or does not
// know that it is, for an upstream that it takes for limited or cold.
const LimitHeldElsewhere = "limitHeldElsewhere"

// linkTo returns the link over which an ask's request reaches an upstream.
func (ak *ask) linkTo(us *upstream) locality.Link {
	return locality.Link{From: ak.Domain, To: us.Domain}
}

// noteLink notes what the end of a request says of the link that it took. It returns false if it
// says nothing of the upstream, since the host or its domain is cut off.
func (co *Core) noteLink(now clock.Instant, ak *ask, us *upstream, dn protocol.Done) bool {
	lk, sentAt := ak.linkTo(us), now.Add(-dn.Took)
	switch Outcome(dn.Outcome) {
	case Unreached, TimedOut:
		us.noteFailure(now)
		down := co.links.Lost(now, lk, us.ID, sentAt)
		isolated := co.links.Isolated(now, lk.From)
		if down {
			co.linkCmds = append(co.linkCmds, LinkCmd{Link: lk, Down: true, Isolated: isolated})
		}
		if isolated {
			co.noteIsolated(lk.From)
			return !co.links.Down(lk)
		}
		if co.links.Down(lk) && co.links.Silent(now, lk.To) {
			co.noteSilent(now, lk.To)
		}
	case Broken:
		// A connection that was reset on the way, one that the upstream closed and an
		// answer that can't be read look alike.
		us.noteFailure(now)
	case Withdrawn:
	default:
		if co.links.Down(lk) {
			co.linkCmds = append(co.linkCmds, LinkCmd{Link: lk})
		}
		co.links.Heard(now, lk)
		if Outcome(dn.Outcome) == Answered {
			co.links.Answered(lk, dn.Took-us.latency)
		}
	}
	return true
}

// takeLinkCmds returns the commands about links that were not returned yet.
func (co *Core) takeLinkCmds() []Cmd {
	cmds := co.linkCmds
	co.linkCmds = nil
	return cmds
}

// noteFailure notes when the failures of an upstream began.
func (us *upstream) noteFailure(now clock.Instant) {
	if us.failures == 0 {
		us.failedAt = now
	}
}

// noteIsolated handles that a domain does not reach the others: their upstreams did not fail, but
// what happened to them meanwhile is unknown until their entries have been read again.
func (co *Core) noteIsolated(from ident.Domain) {
	for _, us := range co.upstreams {
		lk := locality.Link{From: from, To: us.Domain}
		if us.unconfirmedFrom == from || !co.links.Down(lk) {
			continue
		}
		us.unconfirmedFrom, us.unconfirmedUntil = from, clock.Never
		co.unconfirmed = true
		if us.failedAt >= co.links.HeardAt(lk) {
			us.failures, us.returning, us.backoffUntil, us.slowStartUntil = 0, false, 0, 0
		}
	}
}

// noteSilent handles that nothing is heard of a domain: its upstreams may all have crashed, also
// those that got no request.
func (co *Core) noteSilent(now clock.Instant, to ident.Domain) {
	for _, us := range co.upstreams {
		if us.Domain == to && !us.returning {
			us.returning = true
			us.noteFailure(now)
		}
	}
}

// confirmUpstreams handles that the entries of upstreams were read. What is there of the domains
// that are reached again tells which upstreams have restarted.
func (co *Core) confirmUpstreams(readAt clock.Instant) {
	if !co.unconfirmed {
		return
	}
	co.unconfirmed = false
	for _, us := range co.upstreams {
		lk := locality.Link{From: us.unconfirmedFrom, To: us.Domain}
		if us.unconfirmedFrom != "" && !co.links.Down(lk) && readAt > co.links.UpAt(lk) {
			us.unconfirmedFrom, us.unconfirmedUntil = "", 0
		}
		co.unconfirmed = co.unconfirmed || us.unconfirmedFrom != ""
	}
}

// cutOff reports whether an ask's host does not reach the domain of an upstream.
func (co *Core) cutOff(ak *ask, us *upstream) bool { return co.links.Down(ak.linkTo(us)) }

// refusesCutOff reports whether an ask for the key of an upstream that its domain does not reach
// is refused at once: its request would wait for a connection in vain. Probes are let through.
func (co *Core) refusesCutOff(now clock.Instant, ak *ask, us *upstream) bool {
	return (us.returning || us.unconfirmedFrom == ak.Domain) && co.cutOff(ak, us) && !co.mayTake(now, ak, us)
}
