package policy

import "math/rand/v2"

// Random chooses any candidate.
type Random struct{ Rand *rand.Rand }

// Choose returns the index of a candidate.
func (rd Random) Choose(candidates []Candidate, _ Scene) int {
	return rd.Rand.IntN(len(candidates))
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ turn int }

// NewRoundRobin starts at a turn, so that nodes do not go in step.
func NewRoundRobin(turn int) *RoundRobin {
	return &RoundRobin{turn: turn}
}

// Choose returns the index of a candidate.
func (rr *RoundRobin) Choose(candidates []Candidate, _ Scene) int {
	rr.turn++
	return rr.turn % len(candidates)
}

// LeastReported believes the upstreams' own reports, ties broken at random.
type LeastReported struct{ Rand *rand.Rand }

// Choose returns the index of a candidate.
func (lr LeastReported) Choose(candidates []Candidate, _ Scene) int {
	start := lr.Rand.IntN(len(candidates))
	best := start
	for step := range candidates {
		ix := (start + step) % len(candidates)
		if candidates[ix].Reported < candidates[best].Reported {
			best = ix
		}
	}
	return best
}

// TwoChoices draws two candidates and takes the one with less of the chooser's
// own requests in flight.
type TwoChoices struct{ Rand *rand.Rand }

// Choose returns the index of a candidate.
func (tc TwoChoices) Choose(candidates []Candidate, _ Scene) int {
	left, right := tc.Rand.IntN(len(candidates)), tc.Rand.IntN(len(candidates))
	if candidates[right].Busy < candidates[left].Busy {
		return right
	}
	return left
}

// Sampled is the ranking of Atar and Shwartz: an upstream without a sampled
// service time first, else the one with the shortest single sample.
type Sampled struct{}

// Choose returns the index of a candidate.
func (Sampled) Choose(candidates []Candidate, _ Scene) int {
	best := 0
	for ix := range candidates {
		if candidates[ix].Sample < candidates[best].Sample {
			best = ix
		}
	}
	return best
}
