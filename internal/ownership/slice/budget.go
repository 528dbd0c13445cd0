package slice

import (
	"time"

	"chervilwalk/internal/fleet/clock"
)

// Budget bounds how many items move in any interval of a length.
type Budget struct {
	moves int
	every time.Duration
	// ends holds, for each move of the last interval, when it stops counting.
	ends []clock.Instant
}

// NewBudget allows a number of moves in any interval of the length.
func NewBudget(moves int, every time.Duration) *Budget {
	return &Budget{moves: moves, every: every}
}

// Left returns how many moves are allowed now.
func (bu *Budget) Left(now clock.Instant) int {
	for len(bu.ends) > 0 && !now.Before(bu.ends[0]) {
		bu.ends = bu.ends[1:]
	}
	return bu.moves - len(bu.ends)
}

// Spend counts one move.
func (bu *Budget) Spend(now clock.Instant) {
	bu.ends = append(bu.ends, now.Add(bu.every))
}
