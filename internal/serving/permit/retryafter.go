package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
)

const (
	// minRetryAfter prevents an immediate retry of a refused request.
	minRetryAfter = 100 * time.Millisecond
	// maxBacklog is how long the upstream may need for those who return without telling them apart.
	maxBacklog = 500 * time.Millisecond
	// maxRetryAfter is the time over which callers are spread for whom there is no room before their
	// deadline.
	maxRetryAfter = 30 * time.Second
)

// returnTimes spreads callers that were refused, one after the other as the upstream has room for them.
type returnTimes struct {
	// nextAt is when the upstream would have run the requests of those who were told to return,
	// nextLateAt the same for those who are told a time after their deadline: they take no room.
	nextAt, nextLateAt clock.Instant
}

// next returns when a caller may return that has to wait now and must be back by a time before its
// deadline. Callers that were refused go in turn once there are more than the upstream can run in a
// while. Before that each is told its own wait: a slot may be free sooner, in time for its objective.
func (rt *returnTimes) next(now clock.Instant, wait time.Duration, by, deadline clock.Instant, interval time.Duration) clock.Instant {
	turnAt := max(rt.nextAt, now)
	at := now.Add(max(wait, minRetryAfter))
	if turnAt > now.Add(maxBacklog) {
		at = max(at, turnAt)
	}
	if at <= by {
		rt.nextAt = turnAt.Add(interval)
		return at
	}
	if rt.nextLateAt > now.Add(maxRetryAfter) {
		rt.nextLateAt = 0
	}
	at = max(at, deadline.Add(interval), rt.nextLateAt)
	rt.nextLateAt = at.Add(interval)
	return at
}

// retryAfter returns when the caller of an ask that is refused for lack of room may come back: when its
// upstream has room, by its own rate and by those who were told to return before. Where that is too
// late for an answer, it is after the caller's deadline.
func (co *Core) retryAfter(now clock.Instant, ak *ask, es Estimate) time.Duration {
	us := co.upstreams[es.Upstream]
	// With half of its objective left for it, a short wait is no reason to refuse.
	acceptedWait := max(ak.objective.Sub(now)/2, 0)
	switch {
	case us != nil && es.Limit.Named:
		return us.returnAfter(now, max(es.Wait, minRetryAfter), es.Limit)
	case us != nil && us.slots > 0:
		return us.returns.next(now, es.Wait-acceptedWait, ak.deadline.Add(-es.Latency), ak.deadline, us.latency/time.Duration(us.slots)).Sub(now)
	case now > ak.arrivedAt:
		return minRetryAfter
	default:
		return max(es.Wait-acceptedWait, minRetryAfter)
	}
}
