package comparison_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/comparison"
)

// small is a configuration that runs in a second.
func small() comparison.Config {
	return comparison.Config{
		Seed: 1, Slow: 3, Slowdown: 10, Load: 0.7, ReportLag: time.Second,
		Requests: 2500, Service: 10 * time.Millisecond,
	}
}

// exact are the policies that run on a holder and so must keep every limit.
var exact = map[string]bool{"sampled": true, "ours": true, "oursByDomain": true, "fullInformation": true}

func TestHoldersBreakNoLimitAndNoPromise(t *testing.T) {
	for _, sv := range comparison.Services() {
		for _, sc := range comparison.Scenarios() {
			t.Run(sv.Name+"/"+sc.Name, func(t *testing.T) {
				gm := NewWithT(t)
				results := comparison.RunScenario(small(), sv, sc)
				policies := len(comparison.Policies())
				if sv.Keyed {
					policies-- // A key has no choice of domains.
				}
				gm.Expect(results).To(HaveLen(policies))
				for _, rs := range results {
					gm.Expect(rs.Figures.DoubleRuns).To(BeZero(), rs.Policy)
					gm.Expect(rs.Figures.FalseNotRun).To(BeZero(), rs.Policy)
					if exact[rs.Policy] {
						gm.Expect(rs.Figures.SlotViolations).To(BeZero(), rs.Policy)
						gm.Expect(rs.Figures.ExtraLoad).To(BeNumerically("<", 0.05), rs.Policy)
					}
				}
			})
		}
	}
}

// The bounds are those that the comparison was asked to meet.
func TestSlowedUpstreamsAndOverloadMeetTheirBounds(t *testing.T) {
	gm := NewWithT(t)
	sv := comparison.Services()[0]
	slowed := figuresOf(sv, "slowed")
	gm.Expect(slowed["ours"].P99Ms).To(BeNumerically("<=", slowed["twoChoices"].P99Ms/3))
	gm.Expect(slowed["ours"].P99Ms).To(BeNumerically("<=", slowed["fullInformation"].P99Ms*1.3))
	gm.Expect(slowed["oursByDomain"].P99Ms).To(BeNumerically("<=", slowed["fullInformation"].P99Ms*1.3))
	gm.Expect(figuresOf(sv, "overload")["ours"].Goodput).To(BeNumerically(">=", 0.95))
}

func figuresOf(sv comparison.Service, scenario string) map[string]comparison.Figures {
	figures := map[string]comparison.Figures{}
	for _, sc := range comparison.Scenarios() {
		if sc.Name != scenario {
			continue
		}
		for _, rs := range comparison.RunScenario(small(), sv, sc) {
			figures[rs.Policy] = rs.Figures
		}
	}
	return figures
}
