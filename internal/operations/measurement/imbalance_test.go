package measurement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/measurement"
)

// On the same requests, load following spreads better than static hashing, and
// the same seed gives the same figures.
func TestFollowingBeatsStaticHashing(t *testing.T) {
	gm := NewWithT(t)
	po := measurement.Popularity{Seed: 1, Hours: 1, Upstreams: 8, Slices: 64, Keys: 2000, RequestsPerSecond: 50}
	im := measurement.MeasureImbalance(po)
	gm.Expect(im.Following.Mean).To(BeNumerically("<", im.Static.Mean))
	gm.Expect(im.Following.Mean).To(BeNumerically(">=", 1))
	gm.Expect(im.Static.Moves).To(Equal(0))
	gm.Expect(measurement.MeasureImbalance(po)).To(Equal(im))
}
