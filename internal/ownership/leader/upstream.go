package leader

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
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
	// limitedCapacityRatio is the fraction of a limited upstream's rate that planning uses.
	limitedCapacityRatio = 0.6
	// defaultWorkTime is the expected time per answer before any was measured.
	defaultWorkTime = 200 * time.Millisecond
	// workWeight is the weight of one answer in an upstream's mean time per answer.
	// maxWorkStep limits how far the logarithm of one status can be from the mean's.
	workWeight  = 0.06
	maxWorkStep = 1.5
	// meanOverMedian is the ratio of the mean time per answer to the median. A few
	// answers take very long, and the average of logarithms is close to the median.
	meanOverMedian = 1.6
	// successWeight is the weight of one answer or failure in an upstream's success
	// ratio.
	successWeight = 0.3
)

// upstream is the leader's state of one upstream.
type upstream struct {
	Upstream
	// workTime is the average time per answer, computed from logarithms.
	workTime     time.Duration
	successRatio float64
	// avoidUntil is when an upstream that was unreachable may own keys again.
	avoidUntil clock.Instant
	// avoidCount is how often it was unreachable, at most 3.
	avoidCount int
}

// capacity returns how many requests per second an upstream can answer.
func (up *upstream) capacity(now clock.Instant) float64 {
	capacity := float64(up.Slots) / (meanOverMedian * up.workTime.Seconds()) * up.successRatio * up.successRatio
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

// handleLoad updates an upstream from a member's report of answers, failures and
// failed renewals.
func (co *Core) handleLoad(now clock.Instant, ul protocol.UpstreamLoad) {
	up, known := co.upstreams[ul.Upstream]
	if !known {
		return
	}
	if ul.Answers > 0 {
		up.updateWorkTime(ul)
	}
	if total := ul.Answers + ul.Failures; total > 0 {
		weight := min(successWeight*float64(total), 0.8)
		up.successRatio += weight * (float64(ul.Answers)/float64(total) - up.successRatio)
	}
	if ul.UnreachedFor >= unreachedTimeout && up.avoidUntil <= now {
		up.avoidUntil = now.Add(min(avoidBackoff<<up.avoidCount, maxAvoidBackoff))
		up.avoidCount = min(up.avoidCount+1, 3)
		co.plannedAt = 0
		co.logEvent("upstreamUnreached", map[string]any{"upstream": ul.Upstream, "forMs": ul.UnreachedFor.Milliseconds()})
	}
	if ul.Superseded && !co.frozen(now) {
		co.raiseEpochs(ul.Upstream)
	}
}

// updateWorkTime updates the average time per answer. Single answers differ far more
// than upstreams do, so it averages logarithms, each with a small weight.
func (up *upstream) updateWorkTime(ul protocol.UpstreamLoad) {
	mean := ul.WorkTime / time.Duration(ul.Answers)
	step := math.Log(float64(mean) / float64(up.workTime))
	step = max(min(step, maxWorkStep), -maxWorkStep)
	weight := 1 - math.Pow(1-workWeight, float64(ul.Answers))
	up.workTime = time.Duration(float64(up.workTime) * math.Exp(weight*step))
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
			us = &upstream{workTime: co.meanWorkTime(up.Service), successRatio: 1}
			co.upstreams[up.ID] = us
			co.upstreamsChangedAt, co.plannedAt = now, 0
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

// meanWorkTime returns the mean time per answer over all upstreams of a service.
func (co *Core) meanWorkTime(sv ident.Service) time.Duration {
	sum, count := time.Duration(0), 0
	for _, up := range co.upstreams {
		if up.Service == sv {
			sum, count = sum+up.workTime, count+1
		}
	}
	if count == 0 {
		return defaultWorkTime
	}
	return sum / time.Duration(count)
}
