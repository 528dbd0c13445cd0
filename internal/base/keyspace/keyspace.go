// Package keyspace defines the keys of a keyed service and the parts of a grant:
// ranges of keys, epochs and handovers.
//
//	rg := keyspace.Range{From: 4096, To: 8191}
//	rg.Contains(5000) // true
package keyspace

// Key is a key of a keyed service, from 0 to Last.
type Key uint16

// Last is the highest key.
const Last Key = 1<<16 - 1

// Count is the number of keys.
const Count = int(Last) + 1

// Epoch is the fencing token of a grant. An upstream refuses a grant whose epoch
// is lower than the highest that it has seen for a key.
type Epoch uint64

// Handover is an opaque value that the previous owner of keys returns for the next
// one, so that the keys are warm there.
type Handover string

// Range is a range of consecutive keys. From and To are included.
type Range struct{ From, To Key }

// Contains reports whether a key is in the range.
func (rg Range) Contains(ky Key) bool { return rg.From <= ky && ky <= rg.To }

// Len returns the number of keys in the range.
func (rg Range) Len() int { return int(rg.To) - int(rg.From) + 1 }
