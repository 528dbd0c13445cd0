// Package balance plans which keys should move to which upstream, so that load
// is even: it follows the rates that callers ask for, splits busy runs of keys
// and leaves a single hot key on an upstream of its own by moving its
// neighbours away. It answers days on which few keys carry much of the load.
//
//	moves := balance.Plan(load, shares, targets, 4)
package balance

import (
	"cmp"
	"slices"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
)

const (
	// busyEnough is the use of an upstream below which nothing moves for load.
	busyEnough = 0.4
	// unevenEnough is how far above the mean an upstream's use must be.
	unevenEnough = 0.15
	// worthwhile is the use that must remain at most, as a part of what was
	// there, for a move to be made.
	worthwhile = 0.85
	// standstill is the use that moving a range counts as much as its own: its
	// requests wait while it moves.
	standstill = 0.3
	// idleUse is the mean use below which there is no load to speak of. Moves
	// disturb nobody then, and keys are spread by their number.
	idleUse = 0.03
	// unevenIdle is how much above the mean an upstream may be then.
	unevenIdle = 1.5
	// candidates bounds the upstreams that are weighed for one move.
	candidates = 8
	// firstPart is the part of a mean load that an upstream without keys gets.
	firstPart = 0.5
	// pieceShare is how much of an upstream's capacity one piece of an orphaned
	// range may take before it is cut in two.
	pieceShare = 0.25
	// deviations is how many standard deviations of an even load an upstream's
	// rate must lie above it.
	deviations = 2
	// slowHandicap is how much use an upstream is charged that takes twice as
	// long as the mean of all.
	slowHandicap = 0.25
	maxHandicap  = 2 * slowHandicap
	// smallestRate is the least rate of a piece that is worth cutting.
	smallestRate = 0.5
)

// Share is a run of keys with its owner, or the one it is on its way to.
type Share struct {
	keyspace.Range
	Owner ident.Upstream
	// Fixed shares are moving already.
	Fixed bool
	// Orphaned shares have to leave their owner.
	Orphaned bool
}

// Target is an upstream that may own keys.
type Target struct {
	ID ident.Upstream
	// Capacity is how many requests a second it can answer.
	Capacity float64
}

// Move sends a range to another upstream.
type Move struct {
	Keys keyspace.Range
	To   ident.Upstream
}

// target is a Target with its load.
type target struct {
	Target
	rate   float64
	shares []Share
	// handicap is added to the use of an upstream that is slower than others:
	// its answers come late even without a queue, so it should be less busy.
	handicap float64
}

func (tg *target) use() float64 { return tg.useWith(tg.rate) }

// useWith is the use that the upstream would have at a rate.
func (tg *target) useWith(rate float64) float64 { return rate/tg.Capacity + tg.handicap }

// Option changes how moves are planned.
type Option func(*plan)

// WholeShares lets shares move only as they are, so that their number does not
// grow.
func WholeShares() Option { return func(pl *plan) { pl.whole = true } }

// Plan lists moves: all that orphaned shares need, and at most budget others.
// The shares are all of one service.
func Plan(ld *Load, shares []Share, targets []Target, budget int, opts ...Option) []Move {
	if len(targets) == 0 {
		return nil
	}
	pl := newPlan(ld, shares, targets)
	for _, opt := range opts {
		opt(pl)
	}
	pl.placeOrphans(shares)
	for range budget {
		if !pl.relieve() {
			break
		}
	}
	return pl.moves
}

type plan struct {
	load    *Load
	targets []*target
	byID    map[ident.Upstream]*target
	moves   []Move
	// mean is the mean use of the targets, capacity that of all together.
	mean, capacity float64
	// whole shares are not cut.
	whole bool
	// given are targets that got their first keys in this plan.
	given map[*target]bool
}

func newPlan(ld *Load, shares []Share, targets []Target) *plan {
	pl := &plan{load: ld, byID: map[ident.Upstream]*target{}, given: map[*target]bool{}}
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
	pl.capacity = capacity
	typical := capacity / float64(len(targets))
	for _, tg := range pl.targets {
		tg.handicap = slowHandicap * (typical/tg.Capacity - 1)
		tg.handicap = min(tg.handicap, maxHandicap)
		pl.mean += tg.use() / float64(len(targets))
	}
	return pl
}

// placeOrphans gives each orphaned share, the busiest first, to whoever is
// used least with it; busy ones are cut into pieces.
func (pl *plan) placeOrphans(shares []Share) {
	var pieces []keyspace.Range
	for _, sh := range shares {
		if sh.Orphaned && !sh.Fixed {
			pieces = append(pieces, pl.cut(sh.Range)...)
		}
	}
	slices.SortFunc(pieces, func(left, right keyspace.Range) int {
		return cmp.Or(cmp.Compare(pl.load.Rate(right), pl.load.Rate(left)), cmp.Compare(left.From, right.From))
	})
	for _, rg := range pieces {
		rate := pl.load.Rate(rg)
		best := slices.MinFunc(pl.targets, func(left, right *target) int {
			return cmp.Or(cmp.Compare(left.useWith(left.rate+rate), right.useWith(right.rate+rate)),
				cmp.Compare(len(left.shares), len(right.shares)), cmp.Compare(left.ID, right.ID))
		})
		pl.give(rg, best)
	}
}

// cut halves a range by load until no piece is large.
func (pl *plan) cut(rg keyspace.Range) []keyspace.Range {
	rate := pl.load.Rate(rg)
	limit := max(pieceShare*pl.targets[0].Capacity, smallestRate)
	if rate <= limit || rg.From == rg.To || pl.whole {
		return []keyspace.Range{rg}
	}
	left, ok := pl.load.prefix(rg, rate/2)
	if !ok {
		left = keyspace.Range{From: rg.From, To: rg.From}
	}
	if left.To == rg.To {
		return []keyspace.Range{rg}
	}
	return append(pl.cut(left), pl.cut(keyspace.Range{From: left.To + 1, To: rg.To})...)
}

func (pl *plan) give(rg keyspace.Range, to *target) {
	pl.moves = append(pl.moves, Move{Keys: rg, To: to.ID})
	to.rate += pl.load.Rate(rg)
	// What has just been placed is not moved on in the same plan.
	to.shares = append(to.shares, Share{Range: rg, Owner: to.ID, Fixed: true})
}

// relieve plans one move away from the upstream that is used most, or the next
// one where nothing can leave it: a single hot key may keep one busy for long.
func (pl *plan) relieve() bool {
	order := slices.Clone(pl.targets)
	slices.SortFunc(order, func(left, right *target) int {
		return cmp.Or(cmp.Compare(right.use(), left.use()), cmp.Compare(left.ID, right.ID))
	})
	if pl.start() {
		return true
	}
	for _, from := range order {
		if !pl.overused(from) {
			return false
		}
		if best := pl.bestFrom(from); best.to != nil {
			pl.shift(best.rg, from, best.to)
			return true
		}
	}
	return false
}

// overused tells whether an upstream's use is worth a move.
func (pl *plan) overused(tg *target) bool {
	if pl.load.Total()/pl.capacity < idleUse {
		return tg.rate/tg.Capacity > unevenIdle*pl.load.Total()/pl.capacity
	}
	// What chance may make of an even load is no reason to move keys.
	chance := deviations * pl.load.Deviation(pl.load.Total()/float64(len(pl.targets))) / tg.Capacity
	return tg.use() >= busyEnough && tg.use() >= pl.mean+max(unevenEnough, chance)
}

// bestFrom is the move after which the busier of the two is used least.
func (pl *plan) bestFrom(from *target) option {
	best := option{worst: from.use() * worthwhile}
	for _, to := range pl.receivers(from) {
		for _, sh := range from.shares {
			if sh.Fixed {
				continue
			}
			for _, rg := range pl.pieces(sh.Range, from, to) {
				best = best.better(pl.weigh(rg, from, to))
			}
		}
	}
	return best
}

// start gives an upstream without keys a first part of what the busiest has,
// whatever the load.
func (pl *plan) start() bool {
	from := slices.MaxFunc(pl.targets, func(left, right *target) int {
		return cmp.Or(cmp.Compare(left.rate, right.rate), cmp.Compare(left.ID, right.ID))
	})
	for _, to := range pl.targets {
		if len(to.shares) > 0 || pl.given[to] || to == from {
			continue
		}
		pl.given[to] = true
		if pl.whole {
			if rg, ok := smallest(from.shares); ok {
				pl.shift(rg, from, to)
				return true
			}
			continue
		}
		want := min(firstPart*max(pl.mean, 0.01)*to.Capacity, from.rate/2)
		for _, sh := range from.shares {
			if sh.Fixed || sh.From == sh.To {
				continue
			}
			rg, ok := pl.load.prefix(sh.Range, max(want, pl.load.Rate(sh.Range)/8))
			if !ok || rg == sh.Range {
				rg = keyspace.Range{From: sh.From, To: sh.From + keyspace.Key((sh.Len()-1)/2)}
			}
			pl.shift(rg, from, to)
			return true
		}
	}
	return false
}

// smallest is the shortest of several shares that may move.
func smallest(shares []Share) (keyspace.Range, bool) {
	var best *Share
	for ix := range shares {
		if sh := &shares[ix]; !sh.Fixed && (best == nil || sh.Len() < best.Len()) {
			best = sh
		}
	}
	if best == nil || len(shares) < 2 {
		return keyspace.Range{}, false
	}
	return best.Range, true
}

// shift moves a part of one of from's shares.
func (pl *plan) shift(rg keyspace.Range, from, to *target) {
	for ix, sh := range from.shares {
		if !sh.Holds(rg.From) || !sh.Holds(rg.To) || sh.Fixed {
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
	pl.give(rg, to)
}

// receivers are the upstreams to weigh: the least used, and of those with more
// capacity than from the least used.
func (pl *plan) receivers(from *target) []*target {
	var others, faster []*target
	for _, tg := range pl.targets {
		if tg == from {
			continue
		}
		others = append(others, tg)
		if tg.Capacity > from.Capacity {
			faster = append(faster, tg)
		}
	}
	byUse := func(left, right *target) int {
		return cmp.Or(cmp.Compare(left.use(), right.use()), cmp.Compare(left.ID, right.ID))
	}
	slices.SortFunc(others, byUse)
	slices.SortFunc(faster, byUse)
	return append(others[:min(len(others), candidates)], faster[:min(len(faster), candidates/2)]...)
}

// pieces are the parts of a share that are weighed for a move: the whole, and
// the prefix and suffix that would make both upstreams equally used.
func (pl *plan) pieces(rg keyspace.Range, from, to *target) []keyspace.Range {
	// The rate whose move makes both uses equal.
	ideal := (from.use() - to.use()) * from.Capacity * to.Capacity / (from.Capacity + to.Capacity)
	pieces := []keyspace.Range{rg}
	if pl.whole {
		return pieces
	}
	if left, ok := pl.load.prefix(rg, ideal); ok && left != rg {
		pieces = append(pieces, left)
	}
	if right, ok := pl.load.suffix(rg, ideal); ok && right != rg {
		pieces = append(pieces, right)
	}
	return pieces
}

// option is one possible move and the higher use that would remain.
type option struct {
	rg    keyspace.Range
	to    *target
	worst float64
}

func (pl *plan) weigh(rg keyspace.Range, from, to *target) option {
	rate := pl.load.Rate(rg)
	worst := max(from.useWith(from.rate-rate), to.useWith(to.rate+rate))
	return option{rg: rg, to: to, worst: worst + standstill*rate/from.Capacity}
}

func (op option) better(other option) option {
	if other.worst < op.worst {
		return other
	}
	return op
}
