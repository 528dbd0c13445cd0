package leader

import (
	"cmp"
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/ownership/renewal"
)

// Keys of a working owner move only to an upstream that was reached: it has answered a
// grant, a release or a renewal in its incarnation. One that owns no keys gets no such
// call, so the leader has it checked.

const (
	// checkBackoff is the time between two checks of an upstream. It doubles each time, up
	// to maxCheckBackoff. A new upstream that does not listen yet is checked again before
	// callers would notice that it is idle.
	checkBackoff    = 2 * time.Second
	maxCheckBackoff = 32 * time.Second
	// checkInterval is the time between two looks for upstreams to check.
	checkInterval = 100 * time.Millisecond
)

// startDueChecks returns the checks of upstreams that nobody has reached. Renewals tell
// of those that own keys.
func (co *Core) startDueChecks(now clock.Instant) []Cmd {
	if now < co.checksDueAt {
		return nil
	}
	co.checksDueAt = now.Add(checkInterval)
	var due []*upstream
	for _, up := range co.upstreams {
		if !up.reached && now >= up.checkAt && co.keyed[up.Service] && co.mayOwn(now, up) && !co.owns(up.ID, up.Incarnation) {
			due = append(due, up)
		}
	}
	slices.SortFunc(due, func(left, right *upstream) int { return cmp.Compare(left.ID, right.ID) })
	var cmds []Cmd
	for _, up := range due {
		up.checkAt = now.Add(min(checkBackoff<<up.checkCount, maxCheckBackoff))
		up.checkCount = min(up.checkCount+1, 4)
		cmds = append(cmds, CheckCmd{Upstream: up.ID, Incarnation: up.Incarnation, Timeout: renewal.CallTimeout})
	}
	return cmds
}

// handleChecked notes the result of a check. An upstream that was reached triggers a plan.
func (co *Core) handleChecked(ms CheckedMsg) {
	up, known := co.upstreams[ms.Upstream]
	if !known || up.Incarnation != ms.Incarnation || !ms.Reached {
		return
	}
	up.reached, up.checkCount, co.plannedAt = true, 0, 0
}
