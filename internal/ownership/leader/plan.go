package leader

import (
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/balance"
)

const (
	// initialAssignDelay is how long the list of upstreams must be unchanged before
	// the keys of a service are assigned for the first time.
	initialAssignDelay = 1800 * time.Millisecond
	// movesPerTarget limits the concurrent moves for load, per upstream that may own
	// keys, because requests wait while their keys move. minMoves are always allowed.
	movesPerTarget = 0.5
	minMoves       = 3
	// sharesPerTarget limits into how many shares the keys of a service are split,
	// per upstream that may own keys.
	sharesPerTarget = 12
)

// plan adds new moves of all services to the draft.
func (co *Core) plan(now clock.Instant) {
	services := make([]ident.Service, 0, len(co.keyed))
	for sv := range co.keyed {
		services = append(services, sv)
	}
	slices.Sort(services)
	for _, sv := range services {
		co.planService(now, sv)
	}
}

func (co *Core) planService(now clock.Instant, sv ident.Service) {
	targets := co.targets(now, sv)
	if len(targets) == 0 {
		return
	}
	ld, known := co.loads[sv]
	if !known {
		ld = balance.NewLoad(now)
		co.loads[sv] = ld
	}
	maxShares := min(sharesPerTarget*len(targets), assignment.MaxShares)
	if co.draft.Count(sv) > maxShares/2 {
		co.joinShares(sv)
	}
	shares, moving := co.balanceShares(now, sv)
	if len(shares) == 0 {
		co.assignInitialKeys(now, sv, targets)
		return
	}
	ld.Refresh(now)
	budget := max(minMoves, int(movesPerTarget*float64(len(targets)))) - moving
	var opts []balance.Option
	if len(shares) > maxShares {
		opts = append(opts, balance.WholeShares())
	}
	for _, mv := range balance.Plan(ld, shares, targets, budget, opts...) {
		co.planMove(sv, mv)
	}
}

// targets returns the upstreams that may own keys of a service now, sorted by ID.
func (co *Core) targets(now clock.Instant, sv ident.Service) []balance.Target {
	var targets []balance.Target
	unproven := co.unprovenSlots(now, sv)
	for _, up := range co.upstreams {
		if up.Service == sv && co.mayOwn(now, up) {
			targets = append(targets, balance.Target{ID: up.ID, Capacity: up.capacity(now, unproven), ReleaseTime: up.workTime.mean(), Unreached: !up.reached})
		}
	}
	slices.SortFunc(targets, func(left, right balance.Target) int {
		if left.ID < right.ID {
			return -1
		}
		return 1
	})
	return targets
}

func (co *Core) mayOwn(now clock.Instant, up *upstream) bool {
	return up.Usable && now >= up.avoidUntil
}

// balanceShares returns the shares of a service as input for balance.Plan, and how
// many of them are moving and not stalled.
func (co *Core) balanceShares(now clock.Instant, sv ident.Service) (shares []balance.Share, moving int) {
	for _, sh := range co.draft.Shares {
		if sh.Service != sv {
			continue
		}
		claim := sh.Owner
		if sh.Moving() {
			claim = sh.Next
			if mv, known := co.moves[moveID(sh)]; !known || !mv.stalled() {
				moving++
			}
		}
		up, known := co.upstreams[claim.Upstream]
		orphaned := !known || up.Incarnation != claim.Incarnation || !co.mayOwn(now, up)
		shares = append(shares, balance.Share{Range: sh.Range, Owner: claim.Upstream, Fixed: sh.Moving(), Orphaned: orphaned})
	}
	return shares, moving
}

// assignInitialKeys assigns the keys of a service for the first time, in
// proportion to the capacity of its upstreams.
func (co *Core) assignInitialKeys(now clock.Instant, sv ident.Service, targets []balance.Target) {
	if now.Sub(co.upstreamsChangedAt) < initialAssignDelay {
		return
	}
	isReached := func(tg balance.Target) bool { return !tg.Unreached }
	if slices.ContainsFunc(targets, isReached) {
		targets = slices.DeleteFunc(targets, func(tg balance.Target) bool { return !isReached(tg) })
	}
	total := 0.0
	for _, tg := range targets {
		total += tg.Capacity
	}
	from, sum := 0, 0.0
	for ix, tg := range targets {
		sum += tg.Capacity
		end := int(sum / total * float64(keyspace.Count))
		if ix == len(targets)-1 {
			end = keyspace.Count
		}
		if end <= from {
			continue
		}
		co.draft.Shares = append(co.draft.Shares, assignment.Share{
			Service: sv, Range: keyspace.Range{From: keyspace.Key(from), To: keyspace.Key(end - 1)},
			Owner: assignment.Claim{Upstream: tg.ID, Incarnation: co.upstreams[tg.ID].Incarnation, Epoch: co.draft.TakeEpoch()},
		})
		from = end
	}
	co.draft.Sort()
	co.dirty = true
	co.logEvent("keysDealt", map[string]any{"service": sv, "upstreams": len(targets)})
}

// joinShares joins neighbouring shares of one owner, so that there is room to split others.
func (co *Core) joinShares(sv ident.Service) {
	if gone := co.draft.Join(sv); gone > 0 {
		co.dirty = true
		co.logEvent("sharesJoined", map[string]any{"service": sv, "fewer": gone, "shares": co.draft.Count(sv)})
	}
}

// planMove adds a planned move to the draft.
func (co *Core) planMove(sv ident.Service, mv balance.Move) {
	ix := co.draft.Index(sv, mv.Keys.From)
	if ix < 0 || !co.draft.Shares[ix].Contains(mv.Keys.To) || co.draft.Shares[ix].Moving() {
		return
	}
	up, known := co.upstreams[mv.To]
	if !known {
		return
	}
	ix = co.draft.Split(ix, mv.Keys)
	sh := &co.draft.Shares[ix]
	sh.Fence = co.draft.TakeEpoch()
	// Reserve the epochs of further attempts to fence the owner.
	for range maxFenceTries + maxLateFenceTries - 1 {
		co.draft.TakeEpoch()
	}
	sh.Next = assignment.Claim{Upstream: mv.To, Incarnation: up.Incarnation, Epoch: co.draft.TakeEpoch()}
	co.dirty = true
	co.logEvent("movePlanned", map[string]any{
		"service": sv, "from": sh.From, "to": sh.To, "owner": sh.Owner.Upstream, "next": mv.To, "epoch": sh.Next.Epoch,
		"ratePerS": co.loads[sv].Rate(sh.Range), "reason": mv.Reason, "workMs": up.workTime.mean().Milliseconds(), "latencyPercent": up.workTime.latency.percent(),
	})
}
