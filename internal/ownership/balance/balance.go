// Package balance plans moves of keys between upstreams so that load is even.
// It follows the request rate per key, splits busy ranges and isolates a single
// hot key by moving its neighbours to other upstreams. This also evens out a
// load in which a few keys receive most of the requests.
//
//	moves := balance.Plan(load, shares, targets, 4)
package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
)

const (
	// minUtilization is the utilization of an upstream below which no key moves
	// away from it because of load.
	minUtilization = 0.4
	// minExcess is how far above the mean an upstream's utilization must be before
	// keys move away because of load.
	minExcess = 0.15
	// maxRemaining is the cost, as a fraction of the utilization before the move,
	// below which a move is made.
	maxRemaining = 0.85
	// minGain is by how much the cost of moving a narrow range must be below the utilization
	// before the move.
	minGain = 0.05
	// paybackTime is how long a move lasts at least. The requests that wait for a release are
	// weighed against those that its keys get in that time.
	paybackTime = 3 * time.Second
	// minMoveCost is the least fraction of a range's own utilization that is added to the cost
	// of moving it, maxMoveCost the highest one.
	minMoveCost, maxMoveCost = 0.1, 0.5
	// maxMoveFraction is the fraction of its owner's capacity up to which keys move at once. A
	// release waits for their running requests, of which narrow ranges have few.
	maxMoveFraction = 0.15
	// idleUtilization is the mean utilization below which a service counts as
	// idle. Moves then disturb no caller, and keys are balanced by their number.
	idleUtilization = 0.03
	// maxIdleImbalance is how many times the mean utilization an upstream of an
	// idle service may have.
	maxIdleImbalance = 1.5
	// maxReceivers bounds the least utilized upstreams evaluated for one move.
	// Half as many upstreams of higher capacity are evaluated too.
	maxReceivers = 8
	// initialFraction is the fraction of the mean load that an upstream without
	// keys receives first.
	initialFraction = 0.5
	// hotFraction is the fraction of an upstream's capacity from which a single key
	// is hot: all others leave its owner.
	hotFraction = 0.7
	// maxPieceFraction is the fraction of an upstream's mean capacity up to which keys
	// go from an owner that can't keep them to one other.
	maxPieceFraction = 0.25
	// noiseDeviations is the number of standard deviations of an even load by which
	// an upstream must exceed the mean before keys move away.
	noiseDeviations = 2
	// slowPenalty is the utilization added to an upstream with half the mean
	// capacity.
	slowPenalty = 0.25
	// maxPenalty limits what is added for an even lower capacity.
	maxPenalty = 2 * slowPenalty
	// minPieceRate is the rate, in requests per second, up to which such keys are never
	// split.
	minPieceRate = 0.5
)

// Share is a range of keys with its owner or, during a move, its next owner.
type Share struct {
	keyspace.Range
	Owner ident.Upstream
	// Fixed is true for a share that is already moving; it is not moved again.
	Fixed bool
	// Orphaned is true for a share that must leave its owner.
	Orphaned bool
}

// Target is an upstream that may own keys.
type Target struct {
	ID ident.Upstream
	// Capacity is the number of requests per second that it can answer.
	Capacity float64
	// ReleaseTime is how long a release of its keys is expected to take: until the requests
	// that run on them have ended.
	ReleaseTime time.Duration
	// Unreached targets have not answered yet. They get only orphaned shares, and only if
	// all targets are unreached.
	Unreached bool
}

// Reason is why keys move, for logs.
type Reason string

const (
	// Orphaned keys have no owner that may keep them.
	Orphaned Reason = "orphaned"
	// HotKey moves a key with many requests to the fastest target.
	HotKey Reason = "hotKey"
	// Neighbor moves the other keys of a hot key's target away.
	Neighbor Reason = "neighborOfHotKey"
	// NewTarget gives a target without keys its first ones.
	NewTarget Reason = "newTarget"
	// Uneven load moves keys to a less utilized target.
	Uneven Reason = "uneven"
)

// Move assigns a range of keys to another upstream.
type Move struct {
	Keys   keyspace.Range
	To     ident.Upstream
	Reason Reason
}

// target is a Target with its shares and its load, in requests per second.
type target struct {
	Target
	rate   float64
	shares []Share
	// penalty is added to the utilization. It is positive for a target that is
	// slower than the mean: it answers late even without a queue, so it should be
	// less busy. It is negative for a faster target.
	penalty float64
}

func (tg *target) utilization() float64 { return tg.utilizationAt(tg.rate) }

// utilizationAt returns the utilization at a rate; 1 is full capacity.
func (tg *target) utilizationAt(rate float64) float64 { return rate/tg.Capacity + tg.penalty }

// moveCost returns what is added to the cost of moving a range away, as a fraction of the
// range's own utilization, because its requests wait for the release.
func (tg *target) moveCost() float64 {
	return min(max(tg.ReleaseTime.Seconds()/paybackTime.Seconds(), minMoveCost), maxMoveCost)
}

// Option configures Plan.
type Option func(*plan)

// WholeShares moves shares without splitting them, so that their number does
// not grow.
func WholeShares() Option { return func(pl *plan) { pl.wholeShares = true } }

// Plan returns the moves of all orphaned shares and of the keys that share their owner
// with a hot key, followed by at most budget moves that even out the load. All shares
// must be of one service. Without targets there are no moves.
func Plan(ld *Load, shares []Share, targets []Target, budget int, opts ...Option) []Move {
	targets = withoutUnreached(shares, targets)
	if len(targets) == 0 {
		return nil
	}
	pl := newPlan(ld, shares, targets)
	for _, opt := range opts {
		opt(pl)
	}
	pl.placeOrphans(shares)
	pl.isolateHotKeys()
	for range budget {
		if !pl.planMove() {
			break
		}
	}
	return pl.moves
}

// withoutUnreached drops the unreached targets that own nothing if others are reached: they
// can't take any load.
func withoutUnreached(shares []Share, targets []Target) []Target {
	if !slices.ContainsFunc(targets, func(tg Target) bool { return !tg.Unreached }) {
		return targets
	}
	owners := map[ident.Upstream]bool{}
	for _, sh := range shares {
		owners[sh.Owner] = owners[sh.Owner] || !sh.Orphaned
	}
	return slices.DeleteFunc(slices.Clone(targets), func(tg Target) bool { return tg.Unreached && !owners[tg.ID] })
}

type plan struct {
	load    *Load
	targets []*target
	byID    map[ident.Upstream]*target
	moves   []Move
	// meanUtilization is the mean of all targets, each at most 1; totalCapacity is
	// their sum, in requests per second.
	meanUtilization, totalCapacity float64
	// wholeShares disables splitting.
	wholeShares bool
	// seeded holds the targets without keys that this plan has tried to seed.
	seeded map[*target]bool
}

// newPlan returns an empty plan for the targets with their current load.
func newPlan(ld *Load, shares []Share, targets []Target) *plan {
	pl := &plan{load: ld, byID: map[ident.Upstream]*target{}, seeded: map[*target]bool{}}
	capacity := 0.0
	for _, tg := range targets {
		entry := &target{Target: tg}
		entry.Capacity = max(entry.Capacity, 0.01)
		capacity += entry.Capacity
		pl.targets = append(pl.targets, entry)
		pl.byID[tg.ID] = entry
	}
	for _, sh := range shares {
		if tg, ok := pl.byID[sh.Owner]; ok && !sh.Orphaned {
			tg.rate += ld.Rate(sh.Range)
			tg.shares = append(tg.shares, sh)
		}
	}
	pl.totalCapacity = capacity
	meanCapacity := capacity / float64(len(targets))
	for _, tg := range pl.targets {
		tg.penalty = slowPenalty * (meanCapacity/tg.Capacity - 1)
		tg.penalty = min(tg.penalty, maxPenalty)
		// What one hot key asks for beyond its target's capacity says nothing about the others.
		pl.meanUtilization += min(tg.utilization(), 1) / float64(len(targets))
	}
	return pl
}

// placeOrphans splits busy orphaned shares and assigns each piece, the busiest
// first, to the target that is least utilized with it.
func (pl *plan) placeOrphans(shares []Share) {
	var pieces []keyspace.Range
	for _, sh := range shares {
		if sh.Orphaned && !sh.Fixed {
			pieces = append(pieces, pl.split(sh.Range)...)
		}
	}
	slices.SortFunc(pieces, func(left, right keyspace.Range) int {
		return cmp.Or(cmp.Compare(pl.load.Rate(right), pl.load.Rate(left)), cmp.Compare(left.From, right.From))
	})
	candidates := slices.DeleteFunc(slices.Clone(pl.targets), func(tg *target) bool { return tg.Unreached })
	if len(candidates) == 0 {
		candidates = pl.targets
	}
	for _, rg := range pieces {
		rate := pl.load.Rate(rg)
		best := slices.MinFunc(candidates, func(left, right *target) int {
			return cmp.Or(cmp.Compare(left.utilizationAt(left.rate+rate), right.utilizationAt(right.rate+rate)),
				cmp.Compare(len(left.shares), len(right.shares)), cmp.Compare(left.ID, right.ID))
		})
		pl.assign(rg, best, Orphaned)
	}
}

// split halves a range by load until each piece is one key or its rate is at most
// maxPieceFraction of a target's mean capacity or minPieceRate, whichever is higher.
func (pl *plan) split(rg keyspace.Range) []keyspace.Range {
	rate := pl.load.Rate(rg)
	limit := max(maxPieceFraction*pl.totalCapacity/float64(len(pl.targets)), minPieceRate)
	if rate <= limit || rg.From == rg.To || pl.wholeShares {
		return []keyspace.Range{rg}
	}
	left, ok := pl.load.prefix(rg, rate/2)
	if !ok {
		left = keyspace.Range{From: rg.From, To: rg.From}
	}
	if left.To == rg.To {
		return []keyspace.Range{rg}
	}
	return append(pl.split(left), pl.split(keyspace.Range{From: left.To + 1, To: rg.To})...)
}

// assign adds a move and its load to the plan.
func (pl *plan) assign(rg keyspace.Range, to *target, reason Reason) {
	pl.moves = append(pl.moves, Move{Keys: rg, To: to.ID, Reason: reason})
	to.rate += pl.load.Rate(rg)
	// Fixed, so that the same plan doesn't move the range again.
	to.shares = append(to.shares, Share{Range: rg, Owner: to.ID, Fixed: true})
}

// planMove plans one move: to a target without keys or, if there is none, away
// from the most utilized target that has a range worth moving (one kept busy by
// a single hot key has none). It returns false if no move is worthwhile.
func (pl *plan) planMove() bool {
	order := pl.byUtilization()
	if pl.seedEmpty(order) {
		return true
	}
	for _, from := range order {
		if !pl.overloaded(from) {
			return false
		}
		if best := pl.bestMove(from); best.to != nil {
			pl.move(best.rg, from, best.to, Uneven)
			return true
		}
	}
	return false
}

// byUtilization returns the targets, the most utilized first.
func (pl *plan) byUtilization() []*target {
	order := slices.Clone(pl.targets)
	slices.SortFunc(order, func(left, right *target) int {
		return cmp.Or(cmp.Compare(right.utilization(), left.utilization()), cmp.Compare(left.ID, right.ID))
	})
	return order
}

// overloaded reports whether the target's utilization justifies a move.
func (pl *plan) overloaded(tg *target) bool {
	if pl.idle() {
		return tg.rate/tg.Capacity > maxIdleImbalance*pl.load.Total()/pl.totalCapacity
	}
	// Random variation of an even load is no reason to move keys.
	noise := noiseDeviations * pl.load.Deviation(tg.rate) / tg.Capacity
	return tg.utilization() >= minUtilization && tg.utilization() >= pl.meanUtilization+max(minExcess, noise)
}

// bestMove returns the cheapest move away from a target, of a narrow range if there is a
// worthwhile one. Its to is nil if there is none.
func (pl *plan) bestMove(from *target) candidate {
	utilization := from.utilization()
	if best := pl.bestMoveOf(from, maxMoveFraction*from.Capacity, utilization-minGain); best.to != nil {
		return best
	}
	return pl.bestMoveOf(from, math.Inf(1), utilization*maxRemaining)
}

// bestMoveOf returns the cheapest move of about a rate or less that costs less than a maximum.
func (pl *plan) bestMoveOf(from *target, maxRate, maxCost float64) candidate {
	best := candidate{cost: maxCost}
	for _, to := range pl.receivers(from) {
		for _, sh := range from.shares {
			if sh.Fixed {
				continue
			}
			for _, rg := range pl.pieces(sh.Range, from, to, maxRate) {
				if from.rate-pl.load.Rate(rg) >= pl.keptRate(from) {
					best = best.better(pl.evaluate(rg, from, to))
				}
			}
		}
	}
	return best
}

// keptRate returns the rate below which a target gives nothing away: with less it would be the
// next one to receive keys.
func (pl *plan) keptRate(tg *target) float64 {
	if pl.idle() {
		return 0
	}
	return initialFraction * pl.meanUtilization * tg.Capacity
}

// idle reports whether moves disturb no caller.
func (pl *plan) idle() bool { return pl.load.Total()/pl.totalCapacity < idleUtilization }

// move splits a range off one of from's shares and assigns it to another target.
func (pl *plan) move(rg keyspace.Range, from, to *target, reason Reason) {
	for ix, sh := range from.shares {
		if !sh.Contains(rg.From) || !sh.Contains(rg.To) || sh.Fixed {
			continue
		}
		rest := from.shares[:ix:ix]
		if sh.From < rg.From {
			rest = append(rest, Share{Range: keyspace.Range{From: sh.From, To: rg.From - 1}, Owner: from.ID})
		}
		if rg.To < sh.To {
			rest = append(rest, Share{Range: keyspace.Range{From: rg.To + 1, To: sh.To}, Owner: from.ID})
		}
		from.shares = append(rest, from.shares[ix+1:]...)
		break
	}
	from.rate -= pl.load.Rate(rg)
	pl.assign(rg, to, reason)
}

// receivers returns the targets to evaluate for a move: the least utilized ones,
// and the least utilized of those with more capacity than from.
func (pl *plan) receivers(from *target) []*target {
	var others, faster []*target
	for _, tg := range pl.targets {
		if tg == from || tg.Unreached {
			continue
		}
		if tg.utilization() >= 1 {
			// Its callers would lose what those of from gain.
			continue
		}
		others = append(others, tg)
		if tg.Capacity > from.Capacity {
			faster = append(faster, tg)
		}
	}
	byUtilization := func(left, right *target) int {
		return cmp.Or(cmp.Compare(left.utilization(), right.utilization()), cmp.Compare(left.ID, right.ID))
	}
	slices.SortFunc(others, byUtilization)
	slices.SortFunc(faster, byUtilization)
	return append(others[:min(len(others), maxReceivers)], faster[:min(len(faster), maxReceivers/2)]...)
}

// pieces returns the parts of a share to evaluate for a move: the whole, and the
// prefix and suffix that would equalize the utilization of both targets.
func (pl *plan) pieces(rg keyspace.Range, from, to *target, maxRate float64) []keyspace.Range {
	// Moving this rate equalizes the utilization of both targets.
	ideal := (from.utilization() - to.utilization()) * from.Capacity * to.Capacity / (from.Capacity + to.Capacity)
	pieces := []keyspace.Range{rg}
	if pl.wholeShares {
		return pieces
	}
	if pl.load.Rate(rg) > 2*maxRate {
		pieces = nil
	}
	ideal = min(ideal, maxRate)
	if left, ok := pl.load.prefix(rg, ideal); ok && left != rg {
		pieces = append(pieces, left)
	}
	if right, ok := pl.load.suffix(rg, ideal); ok && right != rg {
		pieces = append(pieces, right)
	}
	return pieces
}

// candidate is a possible move with its cost: the higher utilization of the two
// targets after it, plus the cost of the move itself.
type candidate struct {
	rg   keyspace.Range
	to   *target
	cost float64
}

// evaluate returns the candidate that moves a range, with its cost.
func (pl *plan) evaluate(rg keyspace.Range, from, to *target) candidate {
	rate := pl.load.Rate(rg)
	peak := max(from.utilizationAt(from.rate-rate), to.utilizationAt(to.rate+rate))
	return candidate{rg: rg, to: to, cost: peak + from.moveCost()*rate/from.Capacity}
}

func (cd candidate) better(other candidate) candidate {
	if other.cost < cd.cost {
		return other
	}
	return cd
}
