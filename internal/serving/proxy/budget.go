package proxy

import (
	"sync"

	"chervilwalk/internal/base/ident"
)

const (
	// earnShare is the part of the allowed ratio that one host uses: requests
	// are counted where they arrive, and hosts differ.
	earnShare = 0.6
	// allowanceShare is the part of the common allowance that all hosts
	// together may use.
	allowanceShare = 0.5
)

// Budget bounds how often requests are sent once more, so that the repeats of
// all hosts together stay below the platform's limit.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	spare  func() float64
	tokens map[ident.Service]float64
}

// NewBudget makes a budget: ratio repeats for each request, beside a common
// allowance of which spare tells this host's part.
func NewBudget(ratio float64, spare func() float64) *Budget {
	return &Budget{ratio: ratio * earnShare, spare: spare, tokens: map[ident.Service]float64{}}
}

// Earn counts a first request.
func (bd *Budget) Earn(sv ident.Service) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	limit := bd.limit()
	tokens, known := bd.tokens[sv]
	if !known {
		tokens = limit
	}
	bd.tokens[sv] = min(tokens+bd.ratio, limit)
}

func (bd *Budget) limit() float64 { return max(bd.spare()*allowanceShare, 1) }

// Spend takes one repeat, if there is one left.
func (bd *Budget) Spend(sv ident.Service) bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if bd.tokens[sv] < 1 {
		return false
	}
	bd.tokens[sv]--
	return true
}
