package permit

import (
	"math"
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
)

const (
	// minChance is the probability of an answer in time below which an ask counts as late.
	minChance = 0.35
	// minOwnerChance and minPoolChance are the same for asks that have to wait, as a fraction
	// of the probability without the wait. Under load all asks wait for as long as they allow.
	// A pool has work even if only a few asks wait; the queue of one owner would often run
	// empty beside callers that were refused.
	minOwnerChance = 0.5
	minPoolChance  = 0.9
	// maxLimitedWait limits the wait of a late ask for an upstream with a limit: its
	// caller can be told exactly when the limit admits it.
	maxLimitedWait = 120 * time.Millisecond
	// demandTime is over how long the demand of on-time asks is averaged.
	demandTime = time.Second
	// firstFreeSteps is how often the range of the time until a slot is free is halved.
	firstFreeSteps = 5
	// maxScheduled is how many requests ahead of an ask are counted one by one.
	maxScheduled = 32
	// maxOnTimeShare limits the share of on-time asks that late ones count with, so that
	// their wait stays finite.
	maxOnTimeShare = 0.85
)

// latencyOf returns how long an upstream will probably take to answer an ask: more than
// usual while its machine is disturbed, and by what its kind of request takes.
func (co *Core) latencyOf(now clock.Instant, ak *ask, us *upstream) time.Duration {
	return max(time.Duration(float64(us.latencyAt(now))*co.kindRatio(ak)), time.Millisecond)
}

// kindRatio returns what the ask's kind of request takes as a ratio to all requests of its
// service.
func (co *Core) kindRatio(ak *ask) float64 {
	if len(co.kinds[ak.Service]) == 1 {
		return 1
	}
	return ratio(ak.work.latency, co.expectedLatency(ak.Service))
}

// workOf returns what the ask's kind of request takes.
func (co *Core) workOf(ak *ask) *work {
	kinds := co.kinds[ak.Service]
	if kinds == nil {
		kinds = map[kind]*work{}
		co.kinds[ak.Service] = kinds
	}
	wk := kinds[ak.kind()]
	if wk == nil {
		wk = &work{latency: co.expectedLatency(ak.Service), shape: co.initialShape}
		kinds[ak.kind()] = wk
	}
	return wk
}

// isLate reports whether an ask that waits for a time has too little chance to be answered by
// its objective.
func (co *Core) isLate(now clock.Instant, ak *ask, wait, latency time.Duration) bool {
	left, shape := ak.objective.Sub(now), &ak.work.shape
	chance, minFraction := shape.within(ratio(left-wait, latency)), minPoolChance
	if ak.Keyed {
		minFraction = minOwnerChance
	}
	return chance < minChance || chance < minFraction*shape.within(ratio(left, latency))
}

// lastStart returns when an ask is refused if it still waits: an answer is then no more to be
// expected before its deadline.
func (co *Core) lastStart(now clock.Instant, ak *ask, es Estimate) clock.Instant {
	last := ak.deadline.Add(-es.Latency)
	if ak.late && es.Limit.Named {
		last = min(last, now.Add(maxLimitedWait))
	}
	return last
}

// isBetterLater reports whether an ask of a pool is on time at an upstream that has no room yet.
func (co *Core) isBetterLater(now clock.Instant, ak *ask) bool {
	rt := co.route(now, ak)
	for _, us := range co.upstreamsOf[ak.Service] {
		lm := co.limitOf(now, us)
		if !ak.inPool(us) || !us.usable || us.ID == ak.Avoid || us.paused(now, ak.Host) || lm.Named || co.cutOff(ak, us) || rt.excludes(us) {
			continue
		}
		wait := us.expectedWait(now, 0, lm, &ak.work.shape)
		if !co.isLate(now, ak, wait, co.latencyOf(now.Add(wait), ak, us)) {
			return true
		}
	}
	return false
}

// refuseHopeless refuses the late asks that on-time ones have overtaken until they cannot be
// answered before their deadline. The queue is in order.
func (co *Core) refuseHopeless(now clock.Instant, sv ident.Service, queue []*ask) []Cmd {
	if now < co.reviewAt[sv] {
		return nil
	}
	co.reviewAt[sv] = now.Add(pollInterval)
	ahead := map[*demand]int{}
	var hopeless []*ask
	for _, ak := range queue {
		if ak.upstream != nil {
			continue
		}
		dm := co.demandOf(ak)
		if ak.late && co.isHopeless(now, ak, ahead[dm]) {
			hopeless = append(hopeless, ak)
			continue
		}
		ahead[dm]++
	}
	var cmds []Cmd
	for _, ak := range hopeless {
		co.dequeue(ak)
		delete(co.asks, ak.id)
		es, _ := co.estimate(now, ak)
		cmds = append(cmds, ak.refuse(now, co.retryAfter(now, ak, es), "waitedTooLong", es))
	}
	return cmds
}

// isHopeless reports whether a late ask behind ahead others will probably get no slot in time.
func (co *Core) isHopeless(now clock.Instant, ak *ask, ahead int) bool {
	var wait time.Duration
	if ak.Keyed {
		us, moving := co.owner(ak)
		if us == nil {
			return false
		}
		lm := co.limitOf(now, us)
		if lm.Named {
			return false
		}
		wait = us.expectedWait(now, ahead, lm, &ak.work.shape)
		if moving {
			wait += co.moveTimeLeft(now, ak)
		}
	} else {
		pc, known := co.poolCapacity(now, ak, false)
		if !known || pc.limited {
			return false
		}
		wait = pc.wait(ahead)
	}
	return now.Add(co.lateWait(now, ak, wait)) > ak.refuseAt
}

// demandOf returns the on-time demand that the ask belongs to: for its owner or its pool.
func (co *Core) demandOf(ak *ask) *demand {
	if us, _ := co.owner(ak); ak.Keyed && us != nil {
		return &us.demand
	}
	id := ak.poolID()
	if co.demands[id] == nil {
		co.demands[id] = &demand{}
	}
	return co.demands[id]
}

// demand is the moving average of the rate at which asks come to an owner or a pool that can be
// on time, and how its slots are shared among priorities.
type demand struct {
	perSecond float64
	countedAt clock.Instant
	// contestedAt is when on-time asks of several priorities last waited, of which priority
	// was the highest; owed is the slot time that the others have got less than their share.
	contestedAt clock.Instant
	priority    int
	owed        time.Duration
}

// rate returns the demand at present.
func (dm *demand) rate(now clock.Instant) float64 {
	return dm.perSecond * math.Exp(-float64(now.Sub(dm.countedAt))/float64(demandTime))
}

// count adds an on-time ask.
func (dm *demand) count(now clock.Instant) {
	dm.perSecond, dm.countedAt = dm.rate(now)+1/demandTime.Seconds(), now
}

// lateWait returns how long a late ask waits that would wait for a time if no further on-time
// asks arrived: those take their part of the capacity first. Other asks wait for that time.
func (co *Core) lateWait(now clock.Instant, ak *ask, wait time.Duration) time.Duration {
	if !ak.late || wait <= 0 {
		return wait
	}
	var capacity float64
	if us, _ := co.owner(ak); ak.Keyed && us != nil {
		capacity = float64(us.slots) / us.latency.Seconds()
	} else {
		pc, _ := co.poolCapacity(now, ak, false)
		capacity = pc.perSecond
	}
	share := maxOnTimeShare
	if capacity > 0 {
		share = min(co.demandOf(ak).rate(now)/capacity, maxOnTimeShare)
	}
	return time.Duration(float64(wait) / (1 - share))
}

// slotWait estimates how long until a slot is free for a request behind ahead others.
func (us *upstream) slotWait(now clock.Instant, ahead int, shape *latencyShape) time.Duration {
	latency, busy := us.latency, us.busy(now)
	slots := max(min(us.slots, len(us.running)+maxScheduled), 1)
	var buf [maxScheduled]time.Duration
	frees := buf[:0]
	for _, ak := range us.running {
		left := shape.left(ratio(now.Sub(ak.permittedAt), ak.expected))
		frees = append(frees, time.Duration(left*float64(ak.expected)))
	}
	// Of requests that this holder issued no permit for only the number is known.
	for len(frees) < min(busy, slots) {
		frees = append(frees, latency/2)
	}
	for len(frees) < slots {
		frees = append(frees, 0)
	}
	slices.Sort(frees)
	frees = frees[:slots]
	if len(us.running) >= slots {
		frees[0] = us.firstFree(now, shape, frees[0])
	}
	before := ahead + max(busy-slots, 0)
	for range min(before, maxScheduled) {
		frees[0] += us.latencyAt(now.Add(frees[0]))
		for ix := 1; ix < slots && frees[ix] < frees[ix-1]; ix++ {
			frees[ix], frees[ix-1] = frees[ix-1], frees[ix]
		}
	}
	return frees[0] + time.Duration(float64(latency)*float64(max(before-maxScheduled, 0))/float64(slots))
}

// firstFree returns the time by which the first of the running requests has probably ended: sooner
// than the one with the least expected time left, which the others may overtake. It is most at
// the longest.
func (us *upstream) firstFree(now clock.Instant, shape *latencyShape, most time.Duration) time.Duration {
	from, to := time.Duration(0), most
	for range firstFreeSteps {
		mid := (from + to) / 2
		noneEnds := 1.0
		for _, ak := range us.running {
			noneEnds *= shape.survives(ratio(now.Sub(ak.permittedAt), ak.expected), ratio(mid, ak.expected))
		}
		if noneEnds > 0.5 {
			from = mid
		} else {
			to = mid
		}
	}
	return to
}
