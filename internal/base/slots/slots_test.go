package slots_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/slots"
)

// TestUnprovenMax guards against a bound that upstreams which have not answered can raise.
func TestUnprovenMax(t *testing.T) {
	cases := map[string]struct {
		proven, unproven []int
		want             int
	}{
		"none":                         {nil, nil, 0},
		"one alone":                    {nil, []int{16}, 16},
		"one of two claims too many":   {nil, []int{math.MaxInt, 4}, 4},
		"one of five claims too many":  {nil, []int{4, 2, math.MaxInt, 8, 2}, 4},
		"most claim too many":          {[]int{2, 4, 8}, []int{math.MaxInt, math.MaxInt, math.MaxInt, math.MaxInt}, 4},
		"the only one that has proven": {[]int{3}, []int{1, 1, 1}, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			var claims []slots.Claim
			for _, count := range tc.unproven {
				claims = append(claims, slots.Claim{Slots: count})
			}
			for _, count := range tc.proven {
				claims = append(claims, slots.Claim{Slots: count, Proven: true})
			}
			gm.Expect(slots.UnprovenMax(claims)).To(Equal(tc.want))
		})
	}
}
