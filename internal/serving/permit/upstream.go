package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/peer/protocol"
)

const (
	// defaultLatency is the expected time to answer before the first answer.
	defaultLatency = 200 * time.Millisecond
	// upstreamLatencyWeight is the weight of the newest answer in an upstream's
	// moving average.
	upstreamLatencyWeight = 0.08
	// serviceLatencyWeight is the weight of the newest answer in a service's
	// moving average.
	serviceLatencyWeight = 0.02
	// otherRequestsTTL is how long a reported number of other holders' requests
	// is valid.
	otherRequestsTTL = 300 * time.Millisecond
	// minBackoff is how long an upstream gets no requests after a failure; each
	// further failure doubles it up to maxBackoff.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// refusalBackoff is how long an upstream gets no requests after it has refused
	// one; from maxShortBackoffs refusals in a row on, each further one doubles it up
	// to maxBackoff.
	refusalBackoff   = 10 * time.Millisecond
	maxShortBackoffs = 8
	// refusalWeight is the weight of the newest request in an upstream's refusal ratio.
	refusalWeight = 0.2
	// slowStartTime is how long an upstream counts as cold after connection failures, and
	// after its first answer if it had crashed: it may have restarted, and its entry may
	// not show that yet.
	slowStartTime = 1500 * time.Millisecond
	// slowStartFailures is the number of consecutive failures from which
	// slowStartTime applies.
	slowStartFailures = 2
	// maxReturnSpread is the longest time over which refused callers are spread.
	maxReturnSpread = 3 * time.Second
)

// upstream is the holder's state of an upstream.
type upstream struct {
	Upstream
	// hash determines the pool of the service that the upstream belongs to.
	hash uint64
	// usable upstreams may get new requests.
	usable bool
	// answered reports that the upstream has answered a request of this holder.
	answered bool
	// slots is the number of slots that it counts with: not more than it claims, and before
	// it has answered not more than its neighbours have.
	slots int
	// running holds the asks with a permit for the upstream.
	running map[askID]*ask
	// latency is the moving average of the time to answer, disturbance by how much it differs
	// from that at present.
	latency     time.Duration
	disturbance disturbance
	// demand is that of on-time asks for keys that the upstream owns.
	demand demand
	// otherRequests counts requests that this holder issued no permit for, by the
	// upstream's own report.
	otherRequests      int
	otherRequestsUntil clock.Instant
	// failures counts the failures since the last answer, refusals the refused requests.
	failures, refusals int
	// failedAt is when the first of these failures was reported, or when its whole domain was
	// taken for silent.
	failedAt clock.Instant
	// refusalRatio is the moving average of the fraction of refused requests.
	refusalRatio   float64
	backoffUntil   clock.Instant
	slowStartUntil clock.Instant
	// returning reports that the upstream has not answered since it crashed or could not be
	// reached.
	returning bool
	// unconfirmedUntil is until when the upstream may have restarted unseen, since the domain
	// unconfirmedFrom was cut off from its own.
	unconfirmedUntil clock.Instant
	unconfirmedFrom  ident.Domain
	// bucket keeps the limit while there is one.
	bucket rate.Bucket
	// nextReturn is when the next caller that is refused for the limit may return.
	nextReturn clock.Instant
	// returns are the times told to callers that were refused for lack of a slot.
	returns returnTimes
	// pausedUntil is until when the upstream wants no request from a host.
	pausedUntil map[ident.Host]clock.Instant
}

func newUpstream(now clock.Instant, up Upstream, latency time.Duration) *upstream {
	return &upstream{Upstream: up, running: map[askID]*ask{}, pausedUntil: map[ident.Host]clock.Instant{}, latency: latency, bucket: rate.NewBucket(now)}
}

// cold reports whether the upstream is limited to the service's cold rate.
func (us *upstream) cold(now clock.Instant) bool {
	return us.returning || now.Before(us.ColdUntil) || now.Before(us.slowStartUntil) || now < us.unconfirmedUntil
}

// warmAt returns when the upstream is warm at the earliest.
func (us *upstream) warmAt(now clock.Instant) clock.Instant {
	if us.returning || now < us.unconfirmedUntil {
		return now.Add(slowStartTime)
	}
	return max(us.ColdUntil, us.slowStartUntil)
}

// paused reports whether the upstream wants no request from a host now.
func (us *upstream) paused(now clock.Instant, host ident.Host) bool {
	return now < us.pausedUntil[host]
}

// busy counts the slots in use.
func (us *upstream) busy(now clock.Instant) int {
	if now.Before(us.otherRequestsUntil) {
		return len(us.running) + us.otherRequests
	}
	return len(us.running)
}

// available reports whether the upstream can take one more request now.
func (us *upstream) available(now clock.Instant, lm rate.Limit) bool {
	if !us.usable || now.Before(us.backoffUntil) || us.busy(now) >= us.slots {
		return false
	}
	return !lm.Named || us.bucket.Available(now, lm.PerSecond)
}

// admitsAt returns when the limit admits the last of count requests.
func (us *upstream) admitsAt(now clock.Instant, lm rate.Limit, count int) clock.Instant {
	if !lm.Named || lm.PerSecond <= 0 {
		return now
	}
	return now.Add(us.bucket.Wait(now, lm.PerSecond, count))
}

// expectedWait estimates how long a request waits for a slot, and for the limit to admit
// it, behind ahead others.
func (us *upstream) expectedWait(now clock.Instant, ahead int, lm rate.Limit, shape *latencyShape) time.Duration {
	wait := max(us.backoffUntil.Sub(now), 0)
	admitted := us.admitsAt(now, lm, ahead+1).Sub(now)
	if us.busy(now)+ahead < us.slots {
		return wait + admitted
	}
	return wait + max(admitted, us.slotWait(now, ahead, shape))
}

// latencyAt returns the average time to answer at present.
func (us *upstream) latencyAt(now clock.Instant) time.Duration {
	return time.Duration(float64(us.latency) * us.disturbance.factor(now))
}

// returnAfter returns when a caller may come back that is refused since the limit admits it
// only after a wait. Callers return one after the other, as the limit admits them.
func (us *upstream) returnAfter(now clock.Instant, wait time.Duration, lm rate.Limit) time.Duration {
	at := max(now.Add(wait), us.nextReturn)
	us.nextReturn = min(at.Add(lm.PerSecond.Interval(1)), now.Add(maxReturnSpread))
	if !us.Limit.Named {
		// Once it is warm it takes all of them.
		at = min(at, max(us.warmAt(now), now.Add(minRetryAfter)))
	}
	return at.Sub(now)
}

// observe updates the upstream's load, latency and backoff from a finished
// request, which usually takes expected as a multiple of the upstream's latency.
func (us *upstream) observe(now clock.Instant, dn protocol.Done, expected float64) {
	took := time.Duration(float64(dn.Took) / expected)
	if dn.Reported {
		// The report includes the request that it came with.
		us.otherRequests = max(dn.Running+dn.Waiting-1-len(us.running), 0)
		us.otherRequestsUntil = now.Add(otherRequestsTTL)
	}
	switch Outcome(dn.Outcome) {
	case Answered:
		us.answered = true
		if dn.Reported && dn.LatencyPercent > 0 {
			us.disturbance.report(now, dn.LatencyPercent)
		}
		if us.returning {
			us.returning, us.slowStartUntil = false, now.Add(slowStartTime)
		}
		us.unconfirmedUntil = min(us.unconfirmedUntil, now.Add(slowStartTime))
		us.failures, us.refusals = 0, 0
		us.refusalRatio -= refusalWeight * us.refusalRatio
		us.latency += time.Duration(upstreamLatencyWeight * float64(took-us.latency))
	case Failed, Disowned, Withdrawn:
	case TimedOut:
		us.latency += time.Duration(2 * upstreamLatencyWeight * float64(took-us.latency))
		us.backOff(now)
	case Refused:
		us.backOffRefusal(now)
	case Unreached, Broken:
		us.backOff(now)
		if us.failures >= slowStartFailures {
			us.slowStartUntil = now.Add(slowStartTime)
			us.returning = us.returning || Outcome(dn.Outcome) == Unreached
		}
	}
}

// backOff counts a failure and blocks the upstream for the backoff time.
func (us *upstream) backOff(now clock.Instant) {
	backoff := min(minBackoff<<min(us.failures, 5), maxBackoff)
	us.failures++
	us.backoffUntil = max(us.backoffUntil, now.Add(backoff))
}

// backOffRefusal counts a refused request and blocks the upstream for a moment. One that
// refuses some requests and runs the others is not left idle; one that refuses all of them
// is asked less and less often.
func (us *upstream) backOffRefusal(now clock.Instant) {
	us.refusalRatio += refusalWeight * (1 - us.refusalRatio)
	doublings := min(max(us.refusals-maxShortBackoffs, 0), 8)
	us.refusals++
	us.backoffUntil = max(us.backoffUntil, now.Add(min(refusalBackoff<<doublings, maxBackoff)))
}
