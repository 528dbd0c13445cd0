package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/rate"
)

// poolCapacity is what the upstreams of a pool can take of an ask's kind.
type poolCapacity struct {
	// perSecond is how many requests they answer in a second, free how many they can take
	// now. Both are floats, as upstreams may claim slots whose sum an integer does not hold.
	perSecond, free float64
	busy            int
	// limited reports that all of them have limits, limitedElsewhere that some have limits
	// that another holder counts.
	limited, limitedElsewhere bool
}

// poolCapacity returns the capacity of the ask's pool, or with confined that of the part in the
// ask's domain; known is false if the pool has no upstreams.
func (co *Core) poolCapacity(now clock.Instant, ak *ask, confined bool) (pc poolCapacity, known bool) {
	unlimited := false
	for _, us := range co.upstreamsOf[ak.Service] {
		if !ak.inPool(us) || !us.usable {
			continue
		}
		known = true
		if co.cutOff(ak, us) || confined && us.Domain != ak.Domain {
			continue
		}
		lm := co.limitOf(now, us)
		pc.limited, unlimited = pc.limited || lm.Named, unlimited || !lm.Named
		if lm.Named && ak.Fallback {
			pc.limitedElsewhere = true
			continue
		}
		if now.Before(us.backoffUntil) || us.paused(now, ak.Host) {
			continue
		}
		pc.busy += us.busy(now)
		slots := float64(us.slots) / us.latency.Seconds()
		if !lm.Named {
			pc.perSecond += slots
			pc.free += float64(us.slots - us.busy(now))
			continue
		}
		pc.perSecond += min(slots, float64(lm.PerSecond))
		if us.available(now, lm) {
			pc.free++
		}
	}
	pc.limited = pc.limited && !unlimited
	return pc, known
}

// wait estimates how long an ask waits for a slot of the pool behind ahead others.
func (pc poolCapacity) wait(ahead int) time.Duration {
	switch {
	case pc.perSecond > 0:
		return rate.PerSecond(pc.perSecond).Interval(max(float64(ahead+1)-pc.free, 0))
	case pc.limitedElsewhere:
		return fallbackRetryAfter
	default:
		return pollInterval
	}
}
