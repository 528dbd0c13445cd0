package slice

import (
	"cmp"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
)

const (
	// balanceMoves and balanceEvery bound the moves that are not forced.
	balanceMoves = 4
	balanceEvery = 5 * time.Second
	// tolerance is the load over the mean, as a part of it, that is left alone.
	tolerance = 0.10
	// leastGain is the drop of a pair's higher load, as a part of the mean, that
	// makes a move worth its price.
	leastGain = 0.02
	// idleShare is the part of an even share that an item without load counts,
	// so that items without load are spread too.
	idleShare = 0.05
)

// Static keeps every item at its home by hashing and knows nothing of load.
type Static[I Placeable, T ~string] struct {
	scope  string
	budget *Budget
}

// NewStatic makes the policy; the scope, such as a service's name, is part of
// what is hashed.
func NewStatic[I Placeable, T ~string](scope string, bu *Budget) *Static[I, T] {
	return &Static[I, T]{scope: scope, budget: bu}
}

// Plan gives orphans their home and returns items to it within the budget.
func (sc *Static[I, T]) Plan(now clock.Instant, st State[I, T]) []Move[I, T] {
	var moves []Move[I, T]
	for _, it := range st.Items {
		home, ok := Home(sc.scope, it.String(), st.Targets)
		owner, owned := st.Owners[it]
		if !ok || (owned && owner == home) {
			continue
		}
		mv := Move[I, T]{Item: it, From: owner, To: home, Reason: Homecoming}
		if !owned || !present(st.Targets, owner) {
			mv.Reason = Orphan
			moves = append(moves, mv)
			continue
		}
		if sc.budget.Left(now) > 0 {
			sc.budget.Spend(now)
			moves = append(moves, mv)
		}
	}
	return moves
}

// Following moves items off the target with the most load for its weight.
type Following[I Placeable, T ~string] struct {
	scope  string
	budget *Budget
}

// Option changes a Following policy at its making.
type Option[I Placeable, T ~string] func(*Following[I, T])

// WithBudget replaces the budget of the moves that are not forced.
func WithBudget[I Placeable, T ~string](bu *Budget) Option[I, T] {
	return func(fo *Following[I, T]) { fo.budget = bu }
}

// NewFollowing makes the policy; the scope is part of what is hashed.
func NewFollowing[I Placeable, T ~string](scope string, opts ...Option[I, T]) *Following[I, T] {
	fo := &Following[I, T]{scope: scope, budget: NewBudget(balanceMoves, balanceEvery)}
	for _, opt := range opts {
		opt(fo)
	}
	return fo
}

// Plan gives orphans to the targets with the most room, the heaviest first,
// then takes a few items off the fullest targets.
func (fo *Following[I, T]) Plan(now clock.Instant, st State[I, T]) []Move[I, T] {
	bo := newBoard(st)
	if len(bo.bins) == 0 {
		return nil
	}
	moves := fo.adopt(bo, st)
	for fo.budget.Left(now) > 0 {
		mv, ok := bo.best()
		if !ok {
			break
		}
		fo.budget.Spend(now)
		bo.shift(mv)
		moves = append(moves, mv)
	}
	return moves
}

// adopt gives each orphan to its home while that has room, so that the answer
// hardly depends on who plans, and else to the emptiest target.
func (fo *Following[I, T]) adopt(bo *board[I, T], st State[I, T]) []Move[I, T] {
	var moves []Move[I, T]
	for _, it := range bo.orphans {
		to := bo.emptiest()
		if home, ok := Home(fo.scope, it.String(), st.Targets); ok && bo.roomAt(home, bo.load[it]) {
			to = bo.byName[home]
		}
		to.put(it, bo.load[it])
		moves = append(moves, Move[I, T]{Item: it, From: st.Owners[it], To: to.name, Reason: Orphan})
	}
	return moves
}

func present[T ~string](targets []Target[T], name T) bool {
	return slices.ContainsFunc(targets, func(tg Target[T]) bool { return tg.Name == name && tg.weight() > 0 })
}

// bin is one target with what it carries during a plan.
type bin[I Placeable, T ~string] struct {
	name   T
	weight float64
	sum    float64
	items  []I
}

func (bi *bin[I, T]) put(it I, load float64) {
	bi.items = append(bi.items, it)
	bi.sum += load
}

// use is the load for the weight.
func (bi *bin[I, T]) use() float64 {
	return bi.sum / bi.weight
}

// board is the state that a plan works on.
type board[I Placeable, T ~string] struct {
	bins    []*bin[I, T]
	byName  map[T]*bin[I, T]
	load    map[I]float64
	orphans []I
	mean    float64
}

func newBoard[I Placeable, T ~string](st State[I, T]) *board[I, T] {
	bo := &board[I, T]{byName: map[T]*bin[I, T]{}, load: make(map[I]float64, len(st.Items))}
	weights := 0.0
	for _, tg := range st.Targets {
		if tg.weight() <= 0 {
			continue
		}
		bi := &bin[I, T]{name: tg.Name, weight: tg.weight()}
		weights += tg.weight()
		bo.bins = append(bo.bins, bi)
		bo.byName[tg.Name] = bi
	}
	total := bo.weigh(st)
	for _, it := range st.Items {
		if bi := bo.byName[st.Owners[it]]; bi != nil {
			bi.put(it, bo.load[it])
			continue
		}
		bo.orphans = append(bo.orphans, it)
	}
	slices.SortStableFunc(bo.orphans, func(left, right I) int { return cmp.Compare(bo.load[right], bo.load[left]) })
	if weights > 0 {
		bo.mean = total / weights
	}
	return bo
}

// weigh fills in the loads and returns their sum.
func (bo *board[I, T]) weigh(st State[I, T]) float64 {
	total := 0.0
	for _, it := range st.Items {
		total += st.Load[it]
	}
	idle := 1.0
	if total > 0 {
		idle = idleShare * total / float64(len(st.Items))
	}
	total = 0
	for _, it := range st.Items {
		bo.load[it] = st.Load[it] + idle
		total += bo.load[it]
	}
	return total
}

// roomAt tells whether a target stays within the tolerance with more load.
func (bo *board[I, T]) roomAt(name T, load float64) bool {
	bi := bo.byName[name]
	return bi != nil && (bi.sum+load)/bi.weight <= bo.mean*(1+tolerance)
}

func (bo *board[I, T]) emptiest() *bin[I, T] {
	return slices.MinFunc(bo.bins, func(left, right *bin[I, T]) int { return cmp.Compare(left.use(), right.use()) })
}

// best finds the move off the fullest target that lowers the most; false when
// none is worth its price.
func (bo *board[I, T]) best() (Move[I, T], bool) {
	full := slices.MaxFunc(bo.bins, func(left, right *bin[I, T]) int { return cmp.Compare(left.use(), right.use()) })
	if full.use() <= bo.mean*(1+tolerance) {
		return Move[I, T]{}, false
	}
	empty := bo.emptiest()
	var best I
	after, found := full.use()-leastGain*bo.mean, false
	for _, it := range full.items {
		load := bo.load[it]
		pair := max((full.sum-load)/full.weight, (empty.sum+load)/empty.weight)
		if pair < after {
			best, after, found = it, pair, true
		}
	}
	return Move[I, T]{Item: best, From: full.name, To: empty.name, Reason: Balance}, found
}

// shift carries a move out on the board.
func (bo *board[I, T]) shift(mv Move[I, T]) {
	from, to := bo.byName[mv.From], bo.byName[mv.To]
	from.items = slices.DeleteFunc(from.items, func(it I) bool { return it == mv.Item })
	from.sum -= bo.load[mv.Item]
	to.put(mv.Item, bo.load[mv.Item])
}
