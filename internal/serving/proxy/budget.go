package proxy

import (
	"sync"

	"chervilwalk/internal/base/ident"
)

const (
	// earnShare is the fraction of the allowed ratio that one host uses.
	// Requests are counted on the host where they arrive, and hosts differ.
	earnShare = 0.6
	// allowanceShare is the fraction of the shared allowance that all hosts
	// together may use.
	allowanceShare = 0.5
)

// Budget is a retry budget for each service: it limits retries so that those
// of all hosts together stay below the platform's limit.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	allowance func() float64
	tokens    map[ident.Service]float64
}

// NewBudget makes a budget of ratio retries per request plus an allowance that
// all hosts share; the function allowance returns this host's part of it.
func NewBudget(ratio float64, allowance func() float64) *Budget {
	return &Budget{ratio: ratio * earnShare, allowance: allowance, tokens: map[ident.Service]float64{}}
}

// Earn counts the first attempt of a request to a service.
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

// limit is the largest number of unused retries that a service keeps.
func (bd *Budget) limit() float64 { return max(bd.allowance()*allowanceShare, 1) }

// Spend takes one retry from the budget and reports whether there was one.
func (bd *Budget) Spend(sv ident.Service) bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if bd.tokens[sv] < 1 {
		return false
	}
	bd.tokens[sv]--
	return true
}
