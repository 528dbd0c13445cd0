package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
)

const (
	// crossDomainCost is added to the expected latency of an upstream in another
	// domain, because traffic between domains is expensive; for large answers it
	// is largeCrossDomainCost.
	crossDomainCost      = 10 * time.Millisecond
	largeCrossDomainCost = 400 * time.Millisecond
	// refusalCost is added to the expected latency of an upstream that refuses all
	// requests, because each refusal costs an attempt.
	refusalCost = 400 * time.Millisecond
	// maxLocalWait is how long a request with a large answer waits for a slot
	// in its own domain before it may use another domain.
	maxLocalWait = 120 * time.Millisecond
)

// cost returns the expected latency of an upstream plus the cost of refusals and of
// crossing domains; cold upstreams count double. It returns false while the ask should
// wait for an upstream in its own domain.
func (ak *ask) cost(now clock.Instant, us *upstream) (time.Duration, bool) {
	cost := us.latencyAt(now) + time.Duration(us.refusalRatio*float64(refusalCost))
	if us.cold(now) {
		cost += us.latencyAt(now)
	}
	switch {
	case us.Domain == ak.Domain:
	case ak.Large:
		return cost + largeCrossDomainCost, now.Sub(ak.arrivedAt) >= maxLocalWait
	default:
		cost += crossDomainCost
	}
	return cost, true
}
