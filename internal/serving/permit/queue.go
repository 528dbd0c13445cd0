package permit

import (
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
)

const (
	// pollTime is how often the queue is looked at while something waits.
	pollTime = 50 * time.Millisecond
	// permitSlack is how long after its request's deadline a permit may still
	// come back.
	permitSlack = 300 * time.Millisecond
	// margin is how much longer than usual an answer may take for a request to
	// be taken as one that can meet its objective: what is admitted too
	// hopefully comes late and takes a slot from another.
	margin = 1.1
	// lastChance is the part of the usual time that must be left when a waiting
	// request is sent, for it to go before others.
	lastChance = 0.9
	// lateWait is how long a request may wait once it cannot meet its objective
	// any more: it takes what is left, which on a busy upstream is nothing.
	lateWait = 120 * time.Millisecond
	// moveTime is how long keys usually need to reach their next owner.
	moveTime = 200 * time.Millisecond
	// minRetryAfter keeps a refused request from coming straight back.
	minRetryAfter = 100 * time.Millisecond
	// disownedTime is how long keys are left alone that their owner did not know.
	disownedTime = 150 * time.Millisecond
	// noOwnerRetry is when a request for keys without an owner may return.
	noOwnerRetry = 700 * time.Millisecond
	// crossing is how much longer an answer from another domain may count as
	// taking: bytes between domains are dear.
	crossing      = 10 * time.Millisecond
	largeCrossing = 400 * time.Millisecond
	// localPatience is how long a request with a large answer waits for a slot
	// in its own domain.
	localPatience = 120 * time.Millisecond
)

// arrive queues an ask or refuses it. A repeated ask gets the same answer.
func (co *Core) arrive(now clock.Instant, tk protocol.Ask) []Cmd {
	id := holderID{tk.Host, tk.Incarnation, tk.Ticket}
	if ak, known := co.asks[id]; known {
		if ak.upstream != nil {
			return []Cmd{SendCmd{Host: tk.Host, Permit: ak.permit, Ask: tk}}
		}
		return []Cmd{QueuedCmd{tk.Host, protocol.Queued{Ticket: tk.Ticket}}}
	}
	ak := &ask{Ask: tk, id: id, arrived: now, objective: now.Add(tk.ObjectiveLeft), deadline: now.Add(tk.TimeLeft)}
	ol, known := co.outlook(now, ak)
	if !known {
		return []Cmd{ak.refuse(now, noOwnerRetry, "noUpstream", ol)}
	}
	ak.giveUp = ak.deadline.Add(-ol.Work)
	if ol.Wait+time.Duration(margin*float64(ol.Work)) > tk.ObjectiveLeft {
		ak.late = true
		ak.giveUp = min(ak.giveUp, now.Add(lateWait))
	}
	if now.Add(ol.Wait) > ak.giveUp {
		return []Cmd{ak.refuse(now, max(ol.Wait-tk.ObjectiveLeft/2, minRetryAfter), "noRoomInTime", ol)}
	}
	co.asks[id] = ak
	co.waiting[tk.Service] = append(co.waiting[tk.Service], ak)
	cmds := co.dispatch(now, tk.Service)
	if ak.upstream == nil && co.asks[id] == ak {
		cmds = append(cmds, QueuedCmd{tk.Host, protocol.Queued{Ticket: tk.Ticket}})
	}
	return cmds
}

func (ak *ask) refuse(now clock.Instant, after time.Duration, reason string, ol Outlook) Cmd {
	return RefuseCmd{
		Host: ak.Host, Ask: ak.Ask, Waited: now.Sub(ak.arrived), Outlook: ol,
		Refusal: protocol.Refusal{Ticket: ak.Ticket, RetryAfter: after, Reason: reason},
	}
}

// outlook estimates how long an ask waits and how long its answer takes.
// Known is false where no upstream can run the request.
func (co *Core) outlook(now clock.Instant, ak *ask) (ol Outlook, known bool) {
	if !ak.Keyed {
		return co.poolOutlook(now, ak)
	}
	us, moving := co.owner(ak)
	if us == nil {
		return ol, false
	}
	ol = Outlook{Upstream: us.ID, Work: us.work, Busy: us.busy(now), Ahead: co.ahead(ak, us), Cold: us.cold(now)}
	ol.Wait = us.wait(now, ol.Ahead, co.services[ak.Service].ColdRate)
	if moving {
		ol.Wait += moveTime
	}
	return ol, true
}

// poolOutlook is the outlook of an ask that any upstream of its service serves.
func (co *Core) poolOutlook(now clock.Instant, ak *ask) (ol Outlook, known bool) {
	rate, open := 0.0, 0
	for _, us := range co.pools[ak.Service] {
		if !ak.mayUse(us) || !us.usable {
			continue
		}
		known = true
		if now.Before(us.blockedUntil) || us.cold(now) {
			continue
		}
		rate += float64(us.Slots) / us.work.Seconds()
		open += us.Slots - us.busy(now)
		ol.Busy += us.busy(now)
	}
	ol.Work, ol.Ahead = co.expected(ak.Service), co.ahead(ak, nil)
	if rate == 0 {
		ol.Wait = pollTime
		return ol, known
	}
	over := ol.Ahead + 1 - open
	ol.Wait = time.Duration(max(float64(over), 0) / rate * float64(time.Second))
	return ol, known
}

// ahead counts the waiting asks that go before this one.
func (co *Core) ahead(ak *ask, us *upstream) int {
	count := 0
	for _, other := range co.waiting[ak.Service] {
		if other == ak || !other.before(ak) {
			continue
		}
		if us != nil {
			if owner, _ := co.owner(other); owner != us {
				continue
			}
		}
		count++
	}
	return count
}

// before orders the queue: what can still meet its objective, by rank and then
// by that objective; then the late, by deadline.
func (ak *ask) before(other *ask) bool {
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

// compare orders asks as the queue does.
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

// owner finds the upstream that serves an ask's key, or will after its move.
func (co *Core) owner(ak *ask) (us *upstream, moving bool) {
	sh, found := co.table.Owner(ak.Service, ak.Key)
	if !found {
		return nil, false
	}
	claim := sh.Owner
	if sh.Moving() {
		claim = sh.Next
	}
	us = co.match(claim)
	return us, sh.Moving()
}

// isDisowned tells whether an ask's owner has just said that it does not hold
// the key: the grant or the table's next revision is on its way.
func (co *Core) isDisowned(now clock.Instant, ak *ask) bool {
	if len(co.disowned) == 0 {
		return false
	}
	sh, _ := co.table.Owner(ak.Service, ak.Key)
	return now.Before(co.disowned[sh.Owner.Epoch])
}

// match finds a claim's upstream if it is still in the same life.
func (co *Core) match(cl assignment.Claim) *upstream {
	us, known := co.upstreams[cl.Upstream]
	if !known || !us.usable || us.Life != cl.Life {
		return nil
	}
	return us
}

// dispatch gives permits while upstreams are free, and refuses what can no
// longer be served.
func (co *Core) dispatch(now clock.Instant, sv ident.Service) []Cmd {
	cmds := co.drop(now, sv)
	if len(co.waiting[sv]) == 0 {
		return cmds
	}
	coldRate := co.services[sv].ColdRate
	free := co.freeOf(now, sv, coldRate)
	queue := slices.Clone(co.waiting[sv])
	slices.SortStableFunc(queue, (*ask).compare)
	for _, ak := range queue {
		us := co.choose(now, ak, coldRate, free)
		if us == nil {
			continue
		}
		co.unqueue(ak)
		cmds = append(cmds, co.permit(now, ak, us))
	}
	return cmds
}

// freeOf are the upstreams of a service that can take one more request, where
// any of them may serve it. The list is good until the next call.
func (co *Core) freeOf(now clock.Instant, sv ident.Service, coldRate float64) []*upstream {
	co.free = co.free[:0]
	if co.services[sv].Keyed {
		return co.free
	}
	for _, us := range co.pools[sv] {
		if us.free(now, coldRate) {
			co.free = append(co.free, us)
		}
	}
	return co.free
}

func (co *Core) permit(now clock.Instant, ak *ask, us *upstream) Cmd {
	if us.cold(now) {
		us.coldTokens--
	}
	ak.upstream, ak.permitted = us, now
	us.running[ak.id] = ak
	ak.permit = protocol.Permit{Ticket: ak.Ticket, Upstream: us.ID}
	if sh, found := co.table.Owner(ak.Service, ak.Key); ak.Keyed && found {
		ak.permit.Epoch = sh.Owner.Epoch
	}
	return SendCmd{Host: ak.Host, Permit: ak.permit, Waited: now.Sub(ak.arrived), Ask: ak.Ask}
}

// expectedFor is how long the answer to an ask usually takes.
func (co *Core) expectedFor(ak *ask) time.Duration {
	if us, _ := co.owner(ak); ak.Keyed && us != nil {
		return us.work
	}
	return co.expected(ak.Service)
}

// drop refuses waiting asks that cannot be answered in time any more.
func (co *Core) drop(now clock.Instant, sv ident.Service) []Cmd {
	var cmds []Cmd
	kept := co.waiting[sv][:0]
	for _, ak := range co.waiting[sv] {
		if !ak.late && ak.objective.Before(now.Add(time.Duration(lastChance*float64(co.expectedFor(ak))))) {
			ak.late = true
			ak.giveUp = min(ak.giveUp, now.Add(lateWait))
		}
		if now < ak.giveUp {
			kept = append(kept, ak)
			continue
		}
		delete(co.asks, ak.id)
		ol, _ := co.outlook(now, ak)
		cmds = append(cmds, ak.refuse(now, minRetryAfter, "waitedTooLong", ol))
	}
	co.waiting[sv] = kept
	return cmds
}

// choose picks the upstream that an ask may go to now: for a key its owner,
// else the one of the free ones that is expected to answer first.
func (co *Core) choose(now clock.Instant, ak *ask, coldRate float64, free []*upstream) *upstream {
	if ak.Keyed {
		us, moving := co.owner(ak)
		if us == nil || moving || co.isDisowned(now, ak) || !us.free(now, coldRate) || ak.Fallback && us.cold(now) {
			return nil
		}
		return us
	}
	var best *upstream
	var bestCost time.Duration
	for _, us := range free {
		if !ak.mayUse(us) || us.ID == ak.Avoid || !us.free(now, coldRate) || ak.Fallback && us.cold(now) {
			continue
		}
		cost, ok := ak.cost(now, us)
		if ok && (best == nil || cost < bestCost || cost == bestCost && us.ID < best.ID) {
			best, bestCost = us, cost
		}
	}
	return best
}

// mayUse tells whether an upstream is of the part that the ask is about.
func (ak *ask) mayUse(us *upstream) bool {
	return us.Service == ak.Service && ident.PartOf(us.hash, ak.Parts) == ak.Part
}

// cost is how long an answer is expected to take, with what crossing domains
// costs; ok is false while it is worth waiting for an upstream nearby.
func (ak *ask) cost(now clock.Instant, us *upstream) (time.Duration, bool) {
	cost := us.work
	if us.cold(now) {
		cost += us.work
	}
	switch {
	case us.Domain == ak.Domain:
	case ak.Large:
		return cost + largeCrossing, now.Sub(ak.arrived) >= localPatience
	default:
		cost += crossing
	}
	return cost, true
}
