package admission

import (
	"net/http"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/serving/policy"
)

// dispatch gives free slots to the queues in order of deadline.
func (co *Core[P]) dispatch(now clock.Instant) []Cmd {
	if !co.seen || co.lapsed(now) {
		return nil
	}
	cmds := co.serveQueue(now, &co.common, nil)
	for _, up := range co.order {
		cmds = append(cmds, co.serveQueue(now, &up.queue, up)...)
	}
	return cmds
}

// serveQueue dispatches from one queue until no upstream takes its first; owner
// is nil for the common queue. Requests that are already at the only upstream
// with room step aside.
func (co *Core[P]) serveQueue(now clock.Instant, qu *queue, owner *upstream) []Cmd {
	if !qu.changed {
		return nil
	}
	qu.changed = false
	var cmds []Cmd
	var aside []*flow
	for qu.length() > 0 && co.hasRoom(now, owner) {
		fl := qu.first()
		if dropped := co.dropLate(now, fl); dropped != nil {
			cmds = append(cmds, dropped...)
			continue
		}
		up := co.choose(now, fl, owner)
		if up != nil {
			co.leave(fl)
			cmds = append(cmds, co.send(now, fl, up))
			continue
		}
		if len(fl.attempts) == 0 && fl.extras == 0 {
			break
		}
		fl.remove()
		aside = append(aside, fl)
	}
	for _, fl := range aside {
		qu.push(fl)
	}
	qu.changed = false
	return cmds
}

// dropLate ends a queued request that would not be answered in time.
func (co *Core[P]) dropLate(now clock.Instant, fl *flow) []Cmd {
	if now.Before(fl.request.Deadline) && !co.late(now, fl) {
		return nil
	}
	if len(fl.attempts) > 0 && now.Before(fl.request.Deadline) {
		co.leave(fl)
		return []Cmd{}
	}
	return co.giveUp(fl, http.StatusGatewayTimeout, "the wait passed the deadline", minRetryAfter)
}

func (co *Core[P]) hasRoom(now clock.Instant, owner *upstream) bool {
	if owner != nil {
		return owner.open(now) && owner.room()
	}
	for _, up := range co.order {
		if up.open(now) && up.room() {
			return true
		}
	}
	return false
}

// choose picks the owner of a keyed request's slice, or lets the policy choose
// for any other; nil when the request must wait.
func (co *Core[P]) choose(now clock.Instant, fl *flow, owner *upstream) *upstream {
	if owner != nil {
		if fl.shuns(owner) {
			return nil
		}
		return owner
	}
	co.candidates = co.candidates[:0]
	for _, up := range co.order {
		if up.open(now) && up.room() && !fl.shuns(up) {
			co.candidates = append(co.candidates, candidate(now, up))
		}
	}
	if len(co.candidates) == 0 {
		return nil
	}
	scene := policy.Scene{Median: co.figures.median, QueueWait: co.queueWait()}
	ix := co.policy.Choose(co.candidates, scene)
	if ix == policy.Wait {
		return nil
	}
	return co.upstream[co.candidates[ix].Upstream]
}

// queueWait is how long the upstreams that are not slow take for the queue; it
// is far off when there are none.
func (co *Core[P]) queueWait() time.Duration {
	if co.figures.quick == 0 {
		return time.Duration(clock.Never)
	}
	return drainTime(co.common.length(), co.figures.quick)
}

func candidate(now clock.Instant, up *upstream) policy.Candidate {
	return policy.Candidate{
		Upstream: up.spec.Name,
		Busy:     len(up.held),
		Limit:    up.places(),
		Expected: up.expected,
		Sample:   up.sample,
		Reported: up.load(now),
	}
}

// send takes a slot and gives the request to the upstream.
func (co *Core[P]) send(now clock.Instant, fl *flow, up *upstream) Cmd {
	at := &attempt{
		key:         attemptKey{fl.request.ID, up.spec.Name},
		flow:        fl,
		upstream:    up,
		started:     now,
		incarnation: up.grant.Incarnation,
	}
	co.attempts[at.key] = at
	up.held = append(up.held, at)
	fl.attempts = append(fl.attempts, at)
	return DispatchCmd{
		ID:       fl.request.ID,
		Upstream: up.spec.Name,
		Token:    up.grant.Token,
		Deadline: fl.request.Deadline,
		StartBy:  clock.Min(up.grant.Until, co.view.Until),
	}
}
