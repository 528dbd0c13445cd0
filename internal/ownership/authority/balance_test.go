package authority_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/stand/fleet"
)

// weight is the load of a slice.
func weight(popular bool) int {
	if popular {
		return 50
	}
	return 5
}

// When a few slices of one upstream become popular, its holder moves some of
// them to others, within the budget and without a second owner.
func TestPopularSlicesSpreadOverThePool(t *testing.T) {
	gm := NewWithT(t)
	fl := fleet.New(1, fleet.Plan{Domains: 1, Hosts: 3, Upstreams: 4, Slices: 32})
	_, ok := fl.RunUntil(10*time.Second, fl.AllServed)
	gm.Expect(ok).To(BeTrue())
	before := fl.Owners()
	popular := before[0]
	for range 60 {
		load := map[ident.Slice]uint64{}
		for sl := range before {
			load[sl] = uint64(weight(before[sl] == popular))
		}
		fl.Report("lookup@d1#0", authority.LoadMsg{Pool: "lookup@d1#0", Requests: load})
		fl.Run(time.Second)
	}
	moved, most := 0, map[ident.Upstream]int{}
	for sl, up := range fl.Owners() {
		most[up] += weight(before[sl] == popular)
		if up != before[sl] {
			moved++
		}
	}
	total, first := 0, 0
	for _, up := range before {
		total += weight(up == popular)
		if up == popular {
			first += weight(true)
		}
	}
	gm.Expect(first).To(BeNumerically(">", total*6/10), "the load was not skewed")
	for _, sum := range most {
		gm.Expect(sum).To(BeNumerically("<", total*4/10))
	}
	gm.Expect(moved).To(BeNumerically("<=", 48))
	gm.Expect(fl.AllServed()).To(BeTrue())
	gm.Expect(fl.Violations()).To(BeEmpty())
}
