// Package slots bounds how many slots upstreams count with. An entry may claim any number,
// and nothing confirms it before the upstream has answered.
//
//	most := slots.UnprovenMax(claims)
package slots

import "slices"

// Claim is the number of slots that an upstream says it has.
type Claim struct {
	Slots int
	// Proven reports that the upstream has answered.
	Proven bool
}

// UnprovenMax returns how many slots an upstream that has not answered counts with at most:
// the median of those of its service that have answered, or of all if none has.
func UnprovenMax(claims []Claim) int {
	var proven, all []int
	for _, cl := range claims {
		all = append(all, cl.Slots)
		if cl.Proven {
			proven = append(proven, cl.Slots)
		}
	}
	if len(proven) == 0 {
		proven = all
	}
	if len(proven) == 0 {
		return 0
	}
	slices.Sort(proven)
	// The lower one of two, so that one of two upstreams cannot raise it.
	return proven[(len(proven)-1)/2]
}
