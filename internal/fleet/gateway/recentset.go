package gateway

import (
	"sync"
	"time"
)

// recentSet holds the values that were added within a time, at most so many. It is safe for
// concurrent use.
type recentSet[T comparable] struct {
	limit int
	ttl   time.Duration

	mu sync.Mutex
	// newer gets values until rotateAt or until it is full, and then becomes older. Each holds
	// half of the values.
	newer, older map[T]time.Time
	rotateAt     time.Time
}

func newRecentSet[T comparable](limit int, ttl time.Duration) *recentSet[T] {
	return &recentSet[T]{limit: limit, ttl: ttl, newer: map[T]time.Time{}, older: map[T]time.Time{}}
}

// add adds a value.
func (rs *recentSet[T]) add(now time.Time, value T) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !now.Before(rs.rotateAt) || len(rs.newer) >= rs.limit/2 {
		rs.newer, rs.older = map[T]time.Time{}, rs.newer
		rs.rotateAt = now.Add(rs.ttl)
	}
	rs.newer[value] = now
}

// has reports whether a value was added within the time.
func (rs *recentSet[T]) has(now time.Time, value T) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, values := range []map[T]time.Time{rs.newer, rs.older} {
		if at, added := values[value]; added && now.Sub(at) < rs.ttl {
			return true
		}
	}
	return false
}
