package hotkey

import (
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
)

const (
	// returnShare is the fraction of the key's room that is kept for callers who return.
	returnShare = 0.25
	// patience is the fraction of the time left for which callers wait at most before they return.
	patience = 1.0 / 3
	// earlyReturn is how much too early a caller may return, returnGrace how much too late: its next
	// connection takes time.
	earlyReturn = 20 * time.Millisecond
	returnGrace = 300 * time.Millisecond
	// maxReturns limits the callers that are expected back.
	maxReturns = 256
	// minRetryAfter prevents an immediate retry.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the time over which callers are spread for whom there is no room.
	maxRetryAfter = 30 * time.Second
)

// returning is a caller that was told when to return.
type returning struct {
	fingerprint ident.Fingerprint
	dueAt       clock.Instant
}

// returns holds the callers that are expected back.
type returns struct {
	// list is in order of dueAt.
	list []returning
	// nextAt is when the next caller may be told to return, nextLateAt the same for those whose
	// deadline is before.
	nextAt, nextLateAt clock.Instant
}

// find returns the caller with a fingerprint that is expected first.
func (rs *returns) find(now clock.Instant, fp ident.Fingerprint) (rt returning, found bool) {
	rs.list = slices.DeleteFunc(rs.list, func(rt returning) bool { return now > rt.dueAt.Add(returnGrace) })
	ix := slices.IndexFunc(rs.list, func(rt returning) bool { return rt.fingerprint == fp })
	if ix < 0 {
		return returning{}, false
	}
	return rs.list[ix], true
}

// remove removes a caller that has come back.
func (rs *returns) remove(rt returning) {
	if ix := slices.Index(rs.list, rt); ix >= 0 {
		rs.list = slices.Delete(rs.list, ix, ix+1)
	}
}

// next returns when the next caller that is refused now may return.
func (rs *returns) next(now clock.Instant, rm room) clock.Instant {
	return max(now.Add(max(rm.wait, minRetryAfter)), rs.nextAt)
}

// add expects a caller back, each at its own time, as the owner has room. It returns false if too many
// are expected.
func (rs *returns) add(fp ident.Fingerprint, at clock.Instant, rm room) bool {
	if len(rs.list) >= maxReturns {
		return false
	}
	rs.list = append(rs.list, returning{fp, at})
	share := returnShare
	if rm.burst {
		share = 1
	}
	rs.nextAt = at.Add(rm.timeFor(1 / share))
	return true
}

// afterDeadline returns when a caller may come back for whom there is no room before its deadline.
func (rs *returns) afterDeadline(now clock.Instant, timeLeft time.Duration, rm room) time.Duration {
	if rs.nextLateAt > now.Add(maxRetryAfter) {
		rs.nextLateAt = 0
	}
	at := max(now.Add(max(timeLeft, minRetryAfter)), rs.nextAt, rs.nextLateAt)
	rs.nextLateAt = at.Add(rm.timeFor(1))
	return at.Sub(now)
}
