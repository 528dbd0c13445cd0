package leader

import (
	"math"
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/base/slots"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/peer/protocol"
)

const (
	// unreachedTimeout is how long renewals of an upstream must fail before its keys
	// are moved away.
	unreachedTimeout = 700 * time.Millisecond
	// avoidBackoff is how long an unreachable upstream gets no keys. It doubles each
	// time, up to maxAvoidBackoff.
	avoidBackoff    = 3 * time.Second
	maxAvoidBackoff = 24 * time.Second
	// reportLag is how old a report of an upstream may be: a renewal that takes its time,
	// and the next status.
	reportLag = 1500 * time.Millisecond
	// limitedCapacityRatio is the fraction of a limited upstream's rate that planning uses.
	limitedCapacityRatio = 0.6
	// successWeight is the weight of one answer or failure in an upstream's success
	// ratio.
	successWeight = 0.06
	// successDeviations is by how many standard deviations the ratio may be below that of the
	// service.
	successDeviations = 1.5
	// minSuccess is the least success ratio of a service.
	minSuccess = 0.1
)

// upstream is the leader's state of one upstream.
type upstream struct {
	Upstream
	workTime     workTime
	successRatio float64
	// avoidUntil is when an upstream that was unreachable may own keys again.
	avoidUntil clock.Instant
	// avoidCount is how often it was unreachable, at most 3.
	avoidCount int
	// reached reports that this incarnation has answered a call of a host.
	reached bool
	// checkAt is when it may be checked again, checkCount how many checks have failed.
	checkAt    clock.Instant
	checkCount int
	// presumedUntil is until when an owner counts as reached for a leader that has just
	// begun and knows no status yet.
	presumedUntil clock.Instant
	// reportsFrom is when reports that tell no incarnation can only be of this one.
	reportsFrom clock.Instant
}

// unprovenSlots returns how many slots an upstream that was not reached counts with at most.
func (co *Core) unprovenSlots(now clock.Instant, sv ident.Service) int {
	var claims []slots.Claim
	for _, up := range co.upstreams {
		if up.Service == sv {
			claims = append(claims, slots.Claim{Slots: up.Slots, Proven: up.proven(now)})
		}
	}
	return slots.UnprovenMax(claims)
}

// proven reports whether what the upstream says of its slots counts.
func (up *upstream) proven(now clock.Instant) bool { return up.reached || now < up.presumedUntil }

// capacity returns how many requests per second an upstream can answer. If it was not
// reached, it counts with at most unprovenSlots.
func (up *upstream) capacity(now clock.Instant, unprovenSlots int) float64 {
	count := up.Slots
	if !up.proven(now) {
		count = min(count, unprovenSlots)
	}
	capacity := float64(count) / up.workTime.mean().Seconds() * up.success()
	lm := rate.Limit{}
	if now < up.LimitUntil {
		lm = up.Limit
	}
	if now < up.ColdUntil {
		lm = lm.Tighter(rate.At(rate.PerSecond(up.ColdRate)))
	}
	if lm.Named {
		return min(capacity, limitedCapacityRatio*float64(lm.PerSecond))
	}
	return capacity
}

// success returns the factor by which failures lower an upstream's capacity. While all fail
// alike, to move keys helps nobody; a few failures more may be chance.
func (up *upstream) success() float64 {
	deviation := math.Sqrt(up.successRatio * (1 - up.successRatio) * successWeight / (2 - successWeight))
	relative := (up.successRatio + successDeviations*deviation) / max(up.workTime.service.success, minSuccess)
	return min(relative*relative, 1)
}

// handleLoad updates an upstream from a member's report of answers, failures and
// failed renewals.
func (co *Core) handleLoad(now clock.Instant, ul protocol.UpstreamLoad) {
	up, known := co.upstreams[ul.Upstream]
	if !known {
		return
	}
	if reportsAnswer(ul) && now >= up.reportsFrom {
		up.reached = true
	}
	if ul.Answers > 0 {
		up.workTime.update(now, ul)
	}
	if total := ul.Answers + ul.Failures; total > 0 {
		success := float64(ul.Answers) / float64(total)
		up.successRatio += min(successWeight*float64(total), 0.8) * (success - up.successRatio)
		sv := up.workTime.service
		sv.success += min(serviceWeight*float64(total), 0.8) * (success - sv.success)
	}
	if ul.UnreachedFor >= unreachedTimeout && up.avoidUntil <= now {
		up.avoidUntil = now.Add(min(avoidBackoff<<up.avoidCount, maxAvoidBackoff))
		up.avoidCount = min(up.avoidCount+1, 3)
		up.reached = false
		co.plannedAt = 0
		co.logEvent("upstreamUnreached", map[string]any{"upstream": ul.Upstream, "forMs": ul.UnreachedFor.Milliseconds()})
	}
	if ul.Superseded && !co.frozen(now) {
		co.raiseEpochs(ul.Upstream)
	}
}

// reportsAnswer reports whether a member says that the upstream answered its newest renewal:
// a report without counts. Counts of answers include requests that timed out.
func reportsAnswer(ul protocol.UpstreamLoad) bool {
	return ul.Answers == 0 && ul.Failures == 0 && ul.UnreachedFor == 0
}

// raiseEpochs gives the keys of an upstream higher epochs after it refused the
// current one, because it had seen a grant of a table that was never in force.
func (co *Core) raiseEpochs(id ident.Upstream) {
	for ix := range co.draft.Shares {
		sh := &co.draft.Shares[ix]
		if sh.Owner.Upstream == id && !sh.Moving() && co.draft.LastEpoch > sh.Owner.Epoch {
			sh.Owner.Epoch = co.draft.TakeEpoch()
			co.dirty = true
		}
	}
}

// handleUpstreams replaces the list of upstreams. A changed list triggers a new
// plan.
func (co *Core) handleUpstreams(now clock.Instant, ms UpstreamsMsg) {
	co.keyed = ms.Keyed
	listed := map[ident.Upstream]bool{}
	for _, up := range ms.Upstreams {
		listed[up.ID] = true
		us, known := co.upstreams[up.ID]
		if !known || us.Incarnation != up.Incarnation {
			us = &upstream{workTime: workTime{service: co.workTimesOf(up.Service)}, successRatio: 1}
			if known {
				us.reportsFrom = now.Add(reportLag)
			}
			if co.owns(up.ID, up.Incarnation) {
				us.presumedUntil = co.startedAt.Add(reportLag)
			}
			co.upstreams[up.ID] = us
			co.upstreamsChangedAt, co.plannedAt, co.checksDueAt = now, 0, now
		}
		if us.Usable != up.Usable || us.Limit != up.Limit {
			co.plannedAt = 0
		}
		us.Upstream = up
	}
	for id := range co.upstreams {
		if !listed[id] {
			delete(co.upstreams, id)
			co.upstreamsChangedAt, co.plannedAt = now, 0
		}
	}
}

// owns reports whether an incarnation of an upstream owns keys or is the next owner of some.
func (co *Core) owns(id ident.Upstream, incarnation roster.Incarnation) bool {
	return slices.ContainsFunc(co.draft.Shares, func(sh assignment.Share) bool {
		return sh.Owner.Upstream == id && sh.Owner.Incarnation == incarnation || sh.Next.Upstream == id && sh.Next.Incarnation == incarnation
	})
}

// workTimesOf returns what is known of the time per answer of a service.
func (co *Core) workTimesOf(sv ident.Service) *workTimes {
	wt, known := co.workTimes[sv]
	if !known {
		wt = newWorkTimes()
		co.workTimes[sv] = wt
	}
	return wt
}
