// Package keyspace names the keys of a keyed service and what grants of them
// are made of.
//
//	rg := keyspace.Range{From: 4096, To: 8191}
//	rg.Holds(5000) // true
package keyspace

// Key is a key of a keyed service.
type Key uint16

// Last is the highest key.
const Last Key = 1<<16 - 1

// Count is how many keys there are.
const Count = int(Last) + 1

// Epoch orders the grants of a key: an upstream refuses a grant whose epoch is
// lower than one that it has seen.
type Epoch uint64

// Handover is what the last owner of keys gives to the next one, so that the
// keys are warm there.
type Handover string

// Range is a run of keys, both ends included.
type Range struct{ From, To Key }

// Holds tells whether a key is in the range.
func (rg Range) Holds(ky Key) bool { return rg.From <= ky && ky <= rg.To }

// Len counts the keys of the range.
func (rg Range) Len() int { return int(rg.To) - int(rg.From) + 1 }
