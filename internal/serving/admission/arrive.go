package admission

import (
	"net/http"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/verdict"
)

const (
	// finishFactor times the expected time is kept free between the end of
	// the wait and the deadline, so that few dispatched requests are late.
	finishFactor = 5
	// lateFactor is the same for a request that has waited.
	lateFactor = 3
	// elsewhereFactor times the usual service time is the wait for which a
	// request that another pool may take is sent away.
	elsewhereFactor = 1
	// maxRetryAfter bounds what a refused caller is told to wait.
	maxRetryAfter = 30 * time.Second
)

// arrive queues a request, or refuses it at once when it cannot be served.
func (co *Core[P]) arrive(now clock.Instant, rq Request) []Cmd {
	if cmds, known := co.known(rq.ID); known {
		return cmds
	}
	if !now.Before(rq.Deadline) {
		return co.refuse(rq, http.StatusGatewayTimeout, "the deadline has passed", 0)
	}
	if co.lapsed(now) {
		// It is not remembered as ended: the next holder, or this one again, may serve it.
		return []Cmd{RefuseCmd{ID: rq.ID, Err: verdict.Misdirect("this node's right to the pool has lapsed")}}
	}
	if rq.Elsewhere && !rq.Keyed {
		if wait := co.waitFor(now, rq); wait > elsewhereFactor*co.figures.median {
			return co.sendAway(rq, wait)
		}
	}
	if !rq.Keyed && co.ungranted(now) {
		return []Cmd{RefuseCmd{ID: rq.ID, Err: verdict.Misdirect("no upstream of the pool may be given work now")}}
	}
	co.budget.Earn()
	co.arrivals++
	fl := &flow{request: rq, arrived: now, order: co.arrivals, index: notQueued}
	cmds, ok := co.makeRoom(now, fl)
	if !ok {
		return cmds
	}
	co.flows[rq.ID] = fl
	co.enqueue(fl)
	return cmds
}

// waitFor estimates how long a request would stand in the common queue: to its
// deadline when no upstream takes work.
func (co *Core[P]) waitFor(now clock.Instant, rq Request) time.Duration {
	if !slices.ContainsFunc(co.order, func(up *upstream) bool { return up.open(now) }) {
		return rq.Deadline.Sub(now)
	}
	return drainTime(co.common.length(), co.figures.rate)
}

// sendAway refuses a request that another pool may take. The id is not kept,
// since the request may come back.
func (co *Core[P]) sendAway(rq Request, wait time.Duration) []Cmd {
	er := verdict.Refuse(http.StatusServiceUnavailable, "the pool is full for now", minRetryAfter)
	er.Wait = wait
	return []Cmd{RefuseCmd{ID: rq.ID, Err: er}}
}

// ungranted tells whether no upstream of the pool holds a grant, so that a
// request that any pool may serve does better elsewhere.
func (co *Core[P]) ungranted(now clock.Instant) bool {
	if !co.seen {
		return false
	}
	return !slices.ContainsFunc(co.order, func(up *upstream) bool {
		return up.granted && !up.leaving && now.Before(up.grant.Until)
	})
}

// known answers for an id that was here before; it is never run again.
func (co *Core[P]) known(id ident.Request) ([]Cmd, bool) {
	if co.flows[id] != nil {
		return nil, true
	}
	en, ok := co.memory.find(id)
	switch {
	case !ok || en == refused:
		return nil, false
	case en == barred:
		er := verdict.Refuse(http.StatusServiceUnavailable, "the request was barred before it arrived", 0)
		return []Cmd{RefuseCmd{ID: id, Err: er}}, true
	default:
		er := verdict.Doubt(http.StatusConflict, "a request with this id was here before")
		return []Cmd{FailCmd{ID: id, Err: er}}, true
	}
}

// refuse ends a request that was never queued.
func (co *Core[P]) refuse(rq Request, status int, reason string, after time.Duration) []Cmd {
	co.memory.keep(rq.ID, rq.Deadline, refused)
	return []Cmd{RefuseCmd{ID: rq.ID, Err: verdict.Refuse(status, reason, after)}}
}

// makeRoom finds a place in the queue. Where there is none, the caller with the
// most queued requests gives one up for a caller with fewer.
func (co *Core[P]) makeRoom(now clock.Instant, fl *flow) ([]Cmd, bool) {
	over, wait := co.overfull(now, fl)
	if !over {
		return nil, true
	}
	after := min(max(minRetryAfter, wait-fl.request.Deadline.Sub(now)), maxRetryAfter)
	victim := co.largest(fl)
	if victim == nil {
		return co.refuse(fl.request, http.StatusServiceUnavailable, "the wait would pass the deadline", after), false
	}
	return co.giveUp(victim, http.StatusServiceUnavailable, "other callers' requests go first", after), true
}

// overfull tells whether a request would wait beyond its deadline.
func (co *Core[P]) overfull(now clock.Instant, fl *flow) (bool, time.Duration) {
	qu := co.queueOf(fl.request)
	rate := co.rateOf(qu)
	wait := drainTime(qu.length(), rate)
	if co.queued >= co.options.maxQueued {
		return true, wait
	}
	if co.options.plain || rate == 0 || qu.length() == 0 {
		return false, 0
	}
	patience := fl.patience(now)
	if wait <= patience {
		return false, wait
	}
	wait = drainTime(qu.ahead(fl.request.Deadline), rate)
	return wait > patience-min(finishFactor*co.figures.median, patience/2), wait
}

// patience is the time from an instant to the deadline.
func (fl *flow) patience(now clock.Instant) time.Duration {
	return fl.request.Deadline.Sub(now)
}

// late tells whether a request that has waited would hardly finish in time.
func (co *Core[P]) late(now clock.Instant, fl *flow) bool {
	if co.options.plain || now == fl.arrived {
		return false
	}
	quarter := fl.patience(fl.arrived) / 4
	return fl.patience(now) < min(lateFactor*co.figures.median, quarter)
}

// largest returns the newest queued request of the caller with the most in the
// same queue, if that caller has more than the newcomer's would.
func (co *Core[P]) largest(fl *flow) *flow {
	own := len(co.callers[fl.request.Caller]) + 1
	var most Caller
	for caller, flows := range co.callers {
		count, best := len(flows), len(co.callers[most])
		if count > best || (count == best && caller < most) {
			most = caller
		}
	}
	flows := co.callers[most]
	if most == fl.request.Caller || len(flows) <= own {
		return nil
	}
	qu := co.queueOf(fl.request)
	for _, other := range slices.Backward(flows) {
		if other.queue == qu && !other.doubt && len(other.attempts) == 0 {
			return other
		}
	}
	return nil
}

// enqueue puts a request into its queue.
func (co *Core[P]) enqueue(fl *flow) {
	co.queued++
	co.callers[fl.request.Caller] = append(co.callers[fl.request.Caller], fl)
	co.queueOf(fl.request).push(fl)
}

// leave takes a request out of its queue.
func (co *Core[P]) leave(fl *flow) {
	co.queued--
	caller := fl.request.Caller
	flows := co.callers[caller]
	at := slices.Index(flows, fl)
	flows = slices.Delete(flows, at, at+1)
	if len(flows) == 0 {
		delete(co.callers, caller)
	} else {
		co.callers[caller] = flows
	}
	fl.remove()
}

// bar forbids the dispatch of a request that is queued or has not come yet.
// An unknown id proves nothing to a core that is younger than a request may be.
func (co *Core[P]) bar(now clock.Instant, id ident.Request) []Cmd {
	if fl := co.flows[id]; fl != nil {
		return co.barOpen(fl)
	}
	if en, ok := co.memory.find(id); ok && en == doubtful {
		return []Cmd{BarredCmd{ID: id}}
	} else if ok {
		co.memory.keep(id, now.Add(barTime), barred)
		return []Cmd{BarredCmd{ID: id, Barred: true}}
	}
	co.memory.keep(id, now.Add(barTime), barred)
	return []Cmd{BarredCmd{ID: id, Barred: !now.Before(co.began.Add(barTime))}}
}

func (co *Core[P]) barOpen(fl *flow) []Cmd {
	id := fl.request.ID
	if fl.doubt || len(fl.attempts) > 0 {
		return []Cmd{BarredCmd{ID: id}}
	}
	cmds := []Cmd{BarredCmd{ID: id, Barred: true}}
	cmds = append(cmds, co.giveUp(fl, http.StatusServiceUnavailable, "the request was barred", 0)...)
	co.memory.keep(id, fl.request.Deadline, barred)
	return cmds
}

// barTime is longer than any request lives.
const barTime = 2 * time.Minute
