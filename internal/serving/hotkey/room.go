package hotkey

import (
	"time"

	"chervilwalk/internal/base/clock"
)

const (
	// latencyMargin is the factor on the owner's latency that must be left after the wait of an ask
	// that is admitted to meet its objective.
	latencyMargin = 1.1
	// minRoom is the fraction of the owner that counts as left for the key beside others at least.
	minRoom = 1.0 / 8
	// enoughAsks is how many asks must come until a slot becomes free for those to be refused that have
	// had their part: then others take the slot.
	enoughAsks = 4
)

// room is the room that an owner has for one ask.
type room struct {
	// perSecond is how many requests a second the owner can run for the key beside those for others.
	perSecond float64
	latency   time.Duration
	// free counts the unused slots, waiting the asks for the key that wait.
	free, waiting int
	// wait is how long the ask waits behind those that wait and those that return before it would run.
	wait time.Duration
	// punctual asks would meet their objective if they did not have to wait.
	meetsDeadline, meetsObjective, punctual bool
	// yields reports that the ask cannot meet its objective, but others that come can.
	yields bool
	// asks is how many asks for the key come until a slot becomes free.
	asks float64
	// burst reports that the key has been hot for a moment only.
	burst bool
}

// room returns the room that the owner has for an ask.
func (hk *hotKey) room(now clock.Instant, ask Ask, ow Owner) room {
	left := 1 - hk.others.add(now, float64(ow.Others))/float64(ow.Slots)
	// What waits for the key will run at once when the owner gets it.
	if ow.Delay > 0 {
		ow.Running, ow.Waiting = ow.Running+min(ow.Waiting, ow.Slots), max(ow.Waiting-ow.Slots, 0)
	}
	rm := room{
		perSecond: ow.PerSecond * max(left, minRoom), latency: ow.Latency, free: max(ow.Slots-ow.Running-ow.Others, 0), waiting: ow.Waiting,
		asks: hk.parts.perSecond(now) / ow.PerSecond, burst: now.Sub(hk.hotAt) < ow.Latency,
	}
	work := time.Duration(latencyMargin * float64(ow.Latency))
	rm.punctual = work <= ask.ObjectiveLeft
	if rm.punctual {
		hk.punctualAt = now
	}
	rm.yields = !rm.punctual && now.Sub(hk.punctualAt) < ow.Latency
	ahead := max(ow.Waiting+1-rm.free, 0)
	for _, rt := range hk.returns.list {
		if rt.dueAt > now.Add(rm.timeFor(float64(ahead))) {
			break
		}
		ahead++
	}
	rm.wait = ow.Delay + rm.timeFor(float64(ahead))
	rm.meetsDeadline = rm.wait+ow.Latency <= ask.TimeLeft
	rm.meetsObjective = rm.wait+work <= ask.ObjectiveLeft
	return rm
}

// admits reports whether the ask may wait for its permit. The owner is not left idle for the sake of
// a fair division.
func (rm room) admits(fair bool) bool {
	switch {
	case !rm.meetsDeadline:
		return false
	case rm.free > rm.waiting:
		return true
	case rm.yields:
		return false
	default:
		return rm.waiting == 0 && (fair || rm.asks < enoughAsks) || fair && rm.meetsObjective
	}
}

// admitsReturn reports whether the caller of an ask can be answered if it returns after a time. All room
// is for those who return while the requests may be a burst that is over soon. Later it is for those
// who can be answered before their objective, if there are any.
func (rm room) admitsReturn(after time.Duration, ask Ask) bool {
	if after > time.Duration(patience*float64(ask.TimeLeft)) || after+rm.timeFor(1)+rm.latency > ask.TimeLeft {
		return false
	}
	return rm.burst || !rm.yields && (!rm.punctual || after+time.Duration(latencyMargin*float64(rm.latency)) <= ask.ObjectiveLeft)
}

// timeFor returns how long the owner takes for some requests for the key.
func (rm room) timeFor(count float64) time.Duration { return seconds(count / rm.perSecond) }

func seconds(count float64) time.Duration {
	return time.Duration(min(count, float64(maxRetryAfter/time.Second)) * float64(time.Second))
}
