package admission

import (
	"net/http"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/serving/straggler"
)

const (
	// hedgeFactor times the pool's median is the age at which a request at a
	// slow upstream is sent to another one as well.
	hedgeFactor = 4
	// ownerWait is how long a request waits for an owner of its slice before
	// it is sent back to look for another pool.
	ownerWait = 250 * time.Millisecond
	// minProbeGap and maxProbeGap bound the time between two probes.
	minProbeGap = 100 * time.Millisecond
	maxProbeGap = 2 * time.Second
	// probeLimit is the time in which a healthy upstream answers a probe.
	probeLimit = 12 * time.Millisecond
)

// prober is the way back of a slow upstream.
type prober struct {
	running *attempt
	gap     time.Duration
	next    clock.Instant
}

// tick does what time asks for.
func (co *Core[P]) tick(now clock.Instant) []Cmd {
	co.memory.forget(now)
	cmds := co.expireQueues(now)
	cmds = append(cmds, co.expireAttempts(now)...)
	if !co.options.plain {
		co.hedge(now)
		cmds = append(cmds, co.probe(now)...)
	}
	co.forgetLeft()
	co.changedAll()
	return cmds
}

// expireQueues ends the queued requests whose time has passed, and all of them
// once the node's right to the pool has lapsed.
func (co *Core[P]) expireQueues(now clock.Instant) []Cmd {
	cmds := co.expireQueue(now, &co.common)
	cmds = append(cmds, co.expireQueue(now, &co.homeless)...)
	for _, up := range co.order {
		cmds = append(cmds, co.expireQueue(now, &up.queue)...)
	}
	return append(cmds, co.expireHomeless(now)...)
}

func (co *Core[P]) expireQueue(now clock.Instant, qu *queue) []Cmd {
	var cmds []Cmd
	lapsed := co.lapsed(now)
	for qu.length() > 0 {
		fl := qu.first()
		switch {
		case lapsed && len(fl.attempts) > 0:
			co.leave(fl)
		case lapsed:
			cmds = append(cmds, co.giveUp(fl, http.StatusMisdirectedRequest, "this node's right to the pool has lapsed", minRetryAfter)...)
		default:
			dropped := co.dropLate(now, fl)
			if dropped == nil {
				return cmds
			}
			cmds = append(cmds, dropped...)
		}
	}
	return cmds
}

func (co *Core[P]) expireHomeless(now clock.Instant) []Cmd {
	var lost []*flow
	for _, fl := range co.homeless.flows {
		if co.seen && !now.Before(fl.arrived.Add(ownerWait)) {
			lost = append(lost, fl)
		}
	}
	var cmds []Cmd
	for _, fl := range lost {
		cmds = append(cmds, co.giveUp(fl, http.StatusMisdirectedRequest, "the key has no owner here now", minRetryAfter)...)
	}
	return cmds
}

// expireAttempts ends the dispatched requests whose deadline has passed without
// an answer.
func (co *Core[P]) expireAttempts(now clock.Instant) []Cmd {
	var cmds []Cmd
	for _, up := range co.order {
		for _, at := range up.held {
			if at.flow == nil || !co.open(at.flow) || now.Before(at.flow.request.Deadline) {
				continue
			}
			cmds = append(cmds, co.giveUp(at.flow, http.StatusGatewayTimeout, "the deadline passed before the answer", 0)...)
		}
	}
	return cmds
}

// hedge queues a second copy of the idempotent requests that are stuck at a
// slow upstream. The owner of a key has no second.
func (co *Core[P]) hedge(now clock.Instant) {
	for _, up := range co.order {
		if !straggler.Slow(up.expected, co.figures.median) {
			continue
		}
		for _, at := range up.held {
			if co.hedgeable(now, at) && co.budget.Spend() {
				at.flow.extras++
				co.enqueue(at.flow)
			}
		}
	}
}

func (co *Core[P]) hedgeable(now clock.Instant, at *attempt) bool {
	fl := at.flow
	if fl == nil || at.headed || at.cancelled || !co.open(fl) {
		return false
	}
	if !fl.request.Idempotent || fl.request.Keyed || fl.queue != nil {
		return false
	}
	if len(fl.attempts) != 1 || fl.extras >= maxExtras {
		return false
	}
	return now.Sub(at.started) > hedgeFactor*co.figures.median
}

// probe asks the slow upstreams that hold nothing for a sign of life.
func (co *Core[P]) probe(now clock.Instant) []Cmd {
	var cmds []Cmd
	for _, up := range co.order {
		if !straggler.Slow(up.expected, co.figures.median) || len(up.held) > 0 || !up.open(now) || co.lapsed(now) {
			continue
		}
		if up.probe.next == 0 {
			up.probe.gap = min(max(minProbeGap, 2*up.probe.gap), maxProbeGap)
			up.probe.next = now.Add(up.probe.gap)
		}
		if now.Before(up.probe.next) {
			continue
		}
		up.probe.next = 0
		up.probe.running = &attempt{upstream: up, started: now, headed: true}
		up.held = append(up.held, up.probe.running)
		cmds = append(cmds, ProbeCmd{Upstream: up.spec.Name})
	}
	return cmds
}

// probed frees the probe's slot. A prompt answer clears the record, so that the
// next real request decides.
func (co *Core[P]) probed(now clock.Instant, mg ProbedMsg) {
	up := co.upstream[mg.Upstream]
	if up == nil || up.probe.running == nil {
		return
	}
	up.free(up.probe.running)
	up.probe.running = nil
	if mg.Alive && mg.Took <= probeLimit {
		up.service.Forget()
		up.occupied.Forget()
		co.figures.until = now
	}
	co.changed(up)
}
