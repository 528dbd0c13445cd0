package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
)

// minRetryAfter prevents an immediate retry of a refused request.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns when the caller of an ask that is refused for lack of room may come back.
func (co *Core) retryAfter(now clock.Instant, ak *ask, es Estimate) time.Duration {
	if us := co.upstreams[es.Upstream]; us != nil && es.Limit.Named {
		return us.returnAfter(now, max(es.Wait, minRetryAfter), es.Limit)
	}
	if now > ak.arrivedAt {
		return minRetryAfter
	}
	return max(es.Wait-ak.ObjectiveLeft/2, minRetryAfter)
}
