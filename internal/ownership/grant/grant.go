// Package grant holds what an upstream is told of the slices it owns.
//
// A token orders all grants of a pool; an upstream refuses a lower token than
// the highest it has seen:
//
//	if tk.Less(highest) { /* stale holder */ }
package grant

import (
	"cmp"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
)

// Token fences the orders of a pool: term of the leader, epoch of the holder,
// sequence of the grant.
type Token struct {
	Term  uint64
	Epoch uint64
	Seq   uint64
}

// Compare orders tokens by term, then epoch, then sequence.
func (tk Token) Compare(other Token) int {
	return cmp.Or(
		cmp.Compare(tk.Term, other.Term),
		cmp.Compare(tk.Epoch, other.Epoch),
		cmp.Compare(tk.Seq, other.Seq),
	)
}

// Less tells whether tk is older than other.
func (tk Token) Less(other Token) bool {
	return tk.Compare(other) < 0
}

// Order replaces the slices that an upstream may serve for one pool. An empty
// Slices with a higher token revokes everything.
type Order struct {
	Pool  ident.Pool
	Token Token
	// Slices are the slices owned from now on; nil for an unkeyed service.
	Slices []ident.Slice
	// Until is the grant's deadline on the upstream's clock; zero asks only
	// for the upstream's reading and what it holds.
	Until clock.Instant
	// Keep leaves the granted slices as they are and moves only the deadline.
	Keep bool
}

// Reply is an upstream's answer to an order.
type Reply struct {
	Accepted bool
	// Reading is the upstream's clock when it answered.
	Reading clock.Instant
	// Incarnation changes whenever the upstream process starts anew.
	Incarnation string
	// Highest is the highest token the upstream has seen for the pool.
	Highest Token
	// Slices are the slices it holds for the pool now.
	Slices []ident.Slice
	// Until is the deadline of what it holds, on its own clock.
	Until clock.Instant
}
