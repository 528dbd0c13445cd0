package permit

import (
	"cmp"
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
)

const (
	// pollInterval is how often the queue is checked while asks wait.
	pollInterval = 50 * time.Millisecond
	// minBroughtForward is the least change of a waiting ask's deadline that counts.
	minBroughtForward = 100 * time.Millisecond
	// permitSlack is how long after its request's deadline a permit may still be
	// released.
	permitSlack = 300 * time.Millisecond
	// disownedDelay is how long asks for keys that their owner disowned are held
	// back.
	disownedDelay = 150 * time.Millisecond
	// noUpstreamRetryAfter is the Retry-After of a request that no upstream can run,
	// such as one whose key has no owner.
	noUpstreamRetryAfter = 700 * time.Millisecond
	// fallbackRetryAfter is the Retry-After of a request that only limited upstreams could
	// run, while this host cannot reach their holder: until a member that does not answer
	// is passed over by all hosts.
	fallbackRetryAfter = time.Second
	// unconfirmedShare is the fraction of a limit that a holder uses while another may have
	// taken its place: with the other's it stays within one and a half times the limit.
	unconfirmedShare = 0.5
)

// admit queues an ask or refuses it. A repeated ask changes nothing: the reply
// is its permit, or that it is queued.
func (co *Core) admit(now clock.Instant, msg protocol.Ask) []Cmd {
	id := askID{msg.Host, msg.Incarnation, msg.Ticket}
	if ak, known := co.asks[id]; known {
		if ak.upstream != nil {
			return []Cmd{IssueCmd{Host: msg.Host, Permit: ak.permit, Ask: msg}}
		}
		co.bringForward(now, ak, now.Add(msg.TimeLeft))
		return []Cmd{QueuedCmd{msg.Host, protocol.Queued{Ticket: msg.Ticket, Asker: msg.Process()}}}
	}
	cmds := co.refuseEarlier(now, msg)
	ak := &ask{Ask: msg, id: id, arrivedAt: now, objective: now.Add(msg.ObjectiveLeft), deadline: now.Add(msg.TimeLeft)}
	ak.work = co.workOf(ak)
	es, known := co.estimate(now, ak)
	if !known {
		return append(cmds, ak.refuse(now, noUpstreamRetryAfter, "noUpstream", es))
	}
	us := co.upstreams[es.Upstream]
	switch {
	case us != nil && us.paused(now, msg.Host):
		return append(cmds, ak.refuse(now, us.pausedUntil[msg.Host].Sub(now), "upstreamPaused", es))
	case us != nil && co.refusesCutOff(now, ak, us):
		return append(cmds, ak.refuse(now, cutOffRetryAfter, "domainUnreached", es))
	case us != nil && es.Limit.Named && msg.Fallback:
		return append(cmds, ak.refuse(now, fallbackRetryAfter, LimitHeldElsewhere, es))
	}
	ak.refuseAt = co.lastStart(now, ak, es)
	if dc, hot := co.admitByKey(now, ak, us, es); hot {
		if !dc.Admitted {
			return append(cmds, ak.refuse(now, dc.RetryAfter, "keyTooBusy", es))
		}
		ak.admittedByKey(now, dc, es)
		return append(cmds, co.enqueue(now, ak)...)
	}
	if !co.isLate(now, ak, 0, es.Latency) {
		co.demandOf(ak).count(now)
	}
	wait := es.Wait
	if co.isLate(now, ak, es.Wait, es.Latency) {
		ak.late = true
		// Late asks are served after all others. A caller that comes back is not late yet.
		behind, _ := co.estimate(now, ak)
		wait = co.lateWait(now, ak, behind.Wait)
	}
	ak.refuseAt = co.lastStart(now, ak, es)
	if now.Add(wait) > ak.refuseAt {
		reason := "noRoomInTime"
		if es.Limit.Named {
			reason = "upstreamLimited"
		}
		return append(cmds, ak.refuse(now, co.retryAfter(now, ak, es), reason, es))
	}
	return append(cmds, co.enqueue(now, ak)...)
}

// bringForward takes over an earlier deadline of a waiting ask: its host has begun to stop. The time
// that messages take changes the deadline a little with each repetition.
func (co *Core) bringForward(now clock.Instant, ak *ask, deadline clock.Instant) {
	if deadline > ak.deadline.Add(-minBroughtForward) {
		return
	}
	es, _ := co.estimate(now, ak)
	ak.deadline = deadline
	ak.refuseAt = min(ak.refuseAt, co.lastStart(now, ak, es))
	if ak.byKey {
		ak.yieldUntil = min(ak.yieldUntil, now.Add((deadline.Sub(now)-es.Latency)/2))
	}
}

// enqueue lets an ask wait for its permit, which it may get at once.
func (co *Core) enqueue(now clock.Instant, ak *ask) []Cmd {
	co.asks[ak.id] = ak
	co.waiting[ak.Service] = append(co.waiting[ak.Service], ak)
	cmds := co.dispatch(now, ak.Service)
	if ak.upstream == nil && co.asks[ak.id] == ak {
		cmds = append(cmds, QueuedCmd{ak.Host, protocol.Queued{Ticket: ak.Ticket, Asker: ak.Process()}})
	}
	return cmds
}

// refuseEarlier refuses the waiting asks of earlier processes of the host that asks: nobody waits
// for their permits. Permits that they hold stay, as their requests may still run.
func (co *Core) refuseEarlier(now clock.Instant, msg protocol.Ask) []Cmd {
	if msg.Incarnation <= co.incarnations[msg.Host] {
		return nil
	}
	co.incarnations[msg.Host] = msg.Incarnation
	var earlier []*ask
	for id, ak := range co.asks {
		if id.host == msg.Host && id.incarnation < msg.Incarnation && ak.upstream == nil {
			earlier = append(earlier, ak)
		}
	}
	slices.SortFunc(earlier, func(left, right *ask) int { return cmp.Compare(left.Ticket, right.Ticket) })
	var cmds []Cmd
	for _, ak := range earlier {
		delete(co.asks, ak.id)
		co.dequeue(ak)
		cmds = append(cmds, ak.refuse(now, minRetryAfter, "askerRestarted", Estimate{}))
	}
	return cmds
}

// refuse returns the command that denies the ask a permit.
func (ak *ask) refuse(now clock.Instant, after time.Duration, reason string, es Estimate) Cmd {
	es.Late = ak.late
	return RefuseCmd{
		Host: ak.Host, Ask: ak.Ask, Waited: now.Sub(ak.arrivedAt), Estimate: es,
		Refusal: protocol.Refusal{Ticket: ak.Ticket, RetryAfter: after, Reason: reason, Asker: ak.Process()},
	}
}

// estimate returns how long an ask will probably wait and how long its answer
// will take; known is false if no upstream can run the request.
func (co *Core) estimate(now clock.Instant, ak *ask) (es Estimate, known bool) {
	if !ak.Keyed {
		return co.estimatePool(now, ak)
	}
	us, moving := co.owner(ak)
	if us == nil {
		return es, false
	}
	es = Estimate{Upstream: us.ID, Busy: us.busy(now), Ahead: co.ahead(ak, us, false), Cold: us.cold(now), Limit: co.limitOf(now, us), Disturbance: us.disturbance.factor(now)}
	es.Wait = us.expectedWait(now, es.Ahead, es.Limit, &ak.work.shape)
	if moving {
		es.Wait += co.moveTimeLeft(now, ak)
	}
	es.Latency = co.latencyOf(now.Add(es.Wait), ak, us)
	return es, true
}

// limitOf returns how many requests per second this holder lets an upstream have from all
// hosts together: what the upstream has said that it takes, and less while it is cold.
func (co *Core) limitOf(now clock.Instant, us *upstream) rate.Limit {
	lm := us.Limit
	if us.cold(now) {
		lm = lm.Tighter(rate.At(rate.PerSecond(co.services[us.Service].ColdRate)))
	}
	if now >= co.confirmedUntil {
		lm.PerSecond *= unconfirmedShare
	}
	return lm
}

// estimatePool is estimate for an ask that any upstream of its pool can serve.
func (co *Core) estimatePool(now clock.Instant, ak *ask) (es Estimate, known bool) {
	confined := co.confined(now, ak)
	pc, known := co.poolCapacity(now, ak, confined)
	es.Busy, es.Latency, es.Ahead = pc.busy, co.expectedLatencyFor(now, ak), co.ahead(ak, nil, confined)
	es.Limit.Named = pc.limited
	es.Wait = pc.wait(es.Ahead)
	return es, known
}

// ahead counts the waiting asks that are served before this one; with us set,
// only those whose keys us owns. Asks that are confined to their domain wait for its asks only.
func (co *Core) ahead(ak *ask, us *upstream, confined bool) int {
	higher, same := 0, 0
	for _, other := range co.waiting[ak.Service] {
		if other == ak || !other.before(ak) || confined && other.Domain != ak.Domain {
			continue
		}
		if us != nil {
			if owner, _ := co.owner(other); owner != us {
				continue
			}
		}
		if other.Priority < ak.Priority {
			higher++
		} else {
			same++
		}
	}
	if ak.late {
		return higher + same
	}
	return aheadWithShare(higher, same)
}

// before reports whether the ask is served before other. On-time asks come
// first, late ones last. Both are ordered by priority, apart from the share of lower ones,
// then on-time asks by objective and late ones by deadline.
func (ak *ask) before(other *ask) bool {
	if ak.byKey || other.byKey {
		return ak.beforeByKey(other)
	}
	if ak.late != other.late {
		return !ak.late
	}
	if ak.Priority != other.Priority {
		return ak.Priority < other.Priority
	}
	if ak.late {
		return ak.deadline < other.deadline
	}
	return ak.objective < other.objective
}

// compare orders asks by before, for sorting.
func (ak *ask) compare(other *ask) int {
	switch {
	case ak.before(other):
		return -1
	case other.before(ak):
		return 1
	default:
		return 0
	}
}

// owner returns the upstream that owns the ask's key, or the next owner while
// the key moves; nil if there is none.
func (co *Core) owner(ak *ask) (us *upstream, moving bool) {
	sh, found := co.table.ShareOf(ak.Service, ak.Key)
	if !found {
		return nil, false
	}
	claim := sh.Owner
	if sh.Moving() {
		claim = sh.Next
	}
	us = co.claimant(claim)
	return us, sh.Moving()
}

// isDisowned reports whether the owner of the ask's key has just disowned it.
// The owner's grant or the next revision of the table is then on its way.
func (co *Core) isDisowned(now clock.Instant, ak *ask) bool {
	if len(co.disownedUntil) == 0 {
		return false
	}
	sh, _ := co.table.ShareOf(ak.Service, ak.Key)
	return now.Before(co.disownedUntil[sh.Owner.Epoch])
}

// claimant returns a claim's upstream; nil if it is unusable or has restarted
// since the claim.
func (co *Core) claimant(cl assignment.Claim) *upstream {
	us, known := co.upstreams[cl.Upstream]
	if !known || !us.usable || us.Incarnation != cl.Incarnation {
		return nil
	}
	return us
}

// dispatch refuses the overdue asks of a service and issues permits to the
// others, in queue order, while upstreams are available.
func (co *Core) dispatch(now clock.Instant, sv ident.Service) []Cmd {
	cmds := append(co.takeLinkCmds(), co.refuseOverdue(now, sv)...)
	if len(co.waiting[sv]) == 0 {
		return cmds
	}
	available := co.availableUpstreams(now, sv)
	queue := slices.Clone(co.waiting[sv])
	slices.SortStableFunc(queue, (*ask).compare)
	queue = co.withShares(now, queue)
	// betterLater holds what isBetterLater says of the first ask of each pool.
	betterLater := map[*demand]bool{}
	for _, ak := range queue {
		us := co.choose(now, ak, available)
		if us == nil {
			continue
		}
		if !ak.Keyed && !ak.late && co.isLate(now, ak, 0, co.latencyOf(now, ak, us)) {
			dm := co.demandOf(ak)
			if _, known := betterLater[dm]; !known {
				betterLater[dm] = co.isBetterLater(now, ak)
			}
			if betterLater[dm] {
				continue
			}
		}
		co.dequeue(ak)
		cmds = append(cmds, co.issuePermit(now, ak, us))
	}
	return append(cmds, co.refuseHopeless(now, sv, queue)...)
}

// availableUpstreams returns the upstreams that can take one more request; none
// for a keyed service, where only the owner of a key can. The list is valid
// until the next call.
func (co *Core) availableUpstreams(now clock.Instant, sv ident.Service) []*upstream {
	co.freeBuf = co.freeBuf[:0]
	if co.services[sv].Keyed {
		return co.freeBuf
	}
	for _, us := range co.upstreamsOf[sv] {
		if us.available(now, co.limitOf(now, us)) {
			co.freeBuf = append(co.freeBuf, us)
		}
	}
	return co.freeBuf
}

// issuePermit assigns a slot of the upstream to the ask.
func (co *Core) issuePermit(now clock.Instant, ak *ask, us *upstream) Cmd {
	if co.limitOf(now, us).Named {
		us.bucket.Take()
	}
	ak.upstream, ak.permittedAt = us, now
	ak.expected = co.latencyOf(now, ak, us)
	ak.usual = ratio(ak.expected, us.latency)
	co.links.Sent(now, ak.linkTo(us))
	co.noteRoute(now, ak, us)
	us.running[ak.id] = ak
	if !ak.late {
		co.demandOf(ak).countShare(now, ak)
	}
	ak.permit = protocol.Permit{Ticket: ak.Ticket, Upstream: us.ID, Asker: ak.Process()}
	if sh, found := co.table.ShareOf(ak.Service, ak.Key); ak.Keyed && found {
		ak.permit.Epoch = sh.Owner.Epoch
	}
	return IssueCmd{Host: ak.Host, Permit: ak.permit, Waited: now.Sub(ak.arrivedAt), Ask: ak.Ask}
}

// expectedLatencyFor returns the average time of the ask's owner to answer, or
// that of the service for asks without an owner.
func (co *Core) expectedLatencyFor(now clock.Instant, ak *ask) time.Duration {
	if us, _ := co.owner(ak); ak.Keyed && us != nil {
		return co.latencyOf(now, ak, us)
	}
	return time.Duration(float64(co.expectedLatency(ak.Service)) * co.kindRatio(ak))
}

// refuseOverdue marks as late the waiting asks that can no longer meet their
// objective, and refuses those whose refuseAt has passed.
func (co *Core) refuseOverdue(now clock.Instant, sv ident.Service) []Cmd {
	var cmds []Cmd
	var overdue []*ask
	kept := co.waiting[sv][:0]
	for _, ak := range co.waiting[sv] {
		ak.yields = ak.byKey && now < ak.yieldUntil
		if !ak.late && !ak.byKey && co.isLate(now, ak, 0, co.expectedLatencyFor(now, ak)) {
			ak.late = true
		}
		if now < ak.refuseAt {
			kept = append(kept, ak)
			continue
		}
		delete(co.asks, ak.id)
		overdue = append(overdue, ak)
	}
	co.waiting[sv] = kept
	// Only now, as estimates count the asks that wait.
	for _, ak := range overdue {
		es, _ := co.estimate(now, ak)
		cmds = append(cmds, ak.refuse(now, co.retryAfter(now, ak, es), "waitedTooLong", es))
	}
	return cmds
}

// choose returns the upstream that may run the ask now, nil if there is none:
// for a keyed ask the owner of its key, else the available one of least cost.
func (co *Core) choose(now clock.Instant, ak *ask, available []*upstream) *upstream {
	if ak.Keyed {
		us, moving := co.owner(ak)
		if us == nil || moving || us.paused(now, ak.Host) || co.isDisowned(now, ak) || !co.mayTake(now, ak, us) {
			return nil
		}
		return us
	}
	var best *upstream
	var bestCost time.Duration
	rt := co.route(now, ak)
	if rt.stays {
		return nil
	}
	for _, us := range available {
		if rt.excludes(us) || !ak.inPool(us) || us.ID == ak.Avoid || us.paused(now, ak.Host) || !co.mayTake(now, ak, us) {
			continue
		}
		cost := co.cost(now, rt, us)
		if best == nil || cost < bestCost || cost == bestCost && us.ID < best.ID {
			best, bestCost = us, cost
		}
	}
	return best
}

// mayTake reports whether an upstream can take an ask now. Only the regular holder of its
// pool counts the requests to one with a limit.
func (co *Core) mayTake(now clock.Instant, ak *ask, us *upstream) bool {
	lm := co.limitOf(now, us)
	return us.available(now, lm) && !(ak.Fallback && lm.Named) && co.links.Allows(now, ak.linkTo(us))
}

// inPool reports whether an upstream belongs to the ask's service and pool.
func (ak *ask) inPool(us *upstream) bool {
	return us.Service == ak.Service && ident.PoolOf(us.hash, ak.Pools) == ak.Pool
}
