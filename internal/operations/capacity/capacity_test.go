package capacity_test

import (
	"math"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/capacity"
)

// Files of the recorded figures, seen from this package.
const (
	recordFile = "../../../docs/slopes.json"
	pageFile   = "../../../docs/CAPACITY.md"
)

func recorded(gm *WithT) []capacity.Slope {
	record, err := os.ReadFile(recordFile)
	gm.Expect(err).NotTo(HaveOccurred())
	list, err := capacity.Decode(record)
	gm.Expect(err).NotTo(HaveOccurred())
	return list
}

// The page holds what its arithmetic gives for the recorded slopes, and the
// record's slopes are the fit of its points.
func TestPageFollowsTheRecord(t *testing.T) {
	gm := NewWithT(t)
	list := recorded(gm)
	page, err := os.ReadFile(pageFile)
	gm.Expect(err).NotTo(HaveOccurred())
	computed, err := capacity.Render(list)
	gm.Expect(err).NotTo(HaveOccurred())
	again, err := capacity.Replace(string(page), computed)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(string(page) == again).To(BeTrue(), "run 'chervilbench page'")
	gm.Expect(list).To(HaveLen(len(capacity.Probes())))
	for _, sl := range list {
		fitted := capacity.Refit(sl)
		gm.Expect(fitted.Value).To(BeNumerically("~", sl.Value, 1e-9*math.Abs(sl.Value)), string(sl.Name))
		gm.Expect(len(sl.Points)).To(BeNumerically(">=", 4), string(sl.Name))
		first, last := sl.Points[0].Size, sl.Points[len(sl.Points)-1].Size
		gm.Expect(last).To(BeNumerically(">=", 8*first), string(sl.Name))
	}
}

// Every probe runs at a tiny size; a count comes out the same each time, a
// time or a heap only has to be a number.
func TestProbesCompleteAndCountsRepeat(t *testing.T) {
	for _, pr := range capacity.Probes() {
		t.Run(string(pr.Name), func(t *testing.T) {
			gm := NewWithT(t)
			size := max(2, pr.Sizes[0]/8)
			first, err := pr.Measure(size)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(math.IsNaN(first)).To(BeFalse())
			if !pr.Exact {
				return
			}
			second, err := pr.Measure(size)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(second).To(Equal(first))
		})
	}
}

func TestFitFindsALine(t *testing.T) {
	gm := NewWithT(t)
	pr := capacity.Probe{Measure: func(size int) (float64, error) { return 3 + 2*float64(size), nil }}
	sl, err := capacity.Fit(pr, []int{1, 2, 5, 10})
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(sl.Value).To(BeNumerically("~", 2, 1e-9))
	gm.Expect(sl.At(100)).To(BeNumerically("~", 203, 1e-6))
	gm.Expect(sl.Residual).To(BeNumerically("<", 1e-9))
	_, err = capacity.Fit(pr, []int{1, 2, 3})
	gm.Expect(err).To(MatchError(capacity.ErrTooFewSizes))
}

// A line without its slope is an error, never a hole.
func TestMissingSlopeIsAnError(t *testing.T) {
	gm := NewWithT(t)
	_, err := capacity.Project(recorded(gm)[1:], capacity.FullSize(), capacity.Assumed())
	gm.Expect(err).To(MatchError(capacity.ErrNoSlope))
}

func TestDoublingTheServiceTimeDoublesTheUpstreams(t *testing.T) {
	gm := NewWithT(t)
	as := capacity.Assumed()
	before := capacity.Derive(capacity.FullSize(), as)
	as.ServiceSeconds *= 2
	after := capacity.Derive(capacity.FullSize(), as)
	gm.Expect(after.Upstreams).To(BeNumerically("~", 2*before.Upstreams, 1))
	gm.Expect(after.RequestsPerNode).To(Equal(before.RequestsPerNode))
}
