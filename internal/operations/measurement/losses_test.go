package measurement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/measurement"
	"chervilwalk/internal/stand/fleet"
)

// At a tiny size every loss is run, ends served, and breaks no promise.
func TestEveryLossEndsServed(t *testing.T) {
	gm := NewWithT(t)
	sz := measurement.Size{Seed: 1, Runs: 1, Fleet: fleet.Plan{Domains: 3, Hosts: 5, Upstreams: 2, Slices: 12}}
	list := measurement.MeasureLosses(sz)
	gm.Expect(list).To(HaveLen(8))
	for _, lo := range list {
		gm.Expect(lo.Unserved).To(HaveLen(1), lo.Name)
		gm.Expect(lo.Open).To(Equal(0), lo.Name)
		gm.Expect(lo.Doubles).To(Equal(0), lo.Name)
	}
	ct := measurement.MeasureCost(sz)
	gm.Expect(ct.TableWrites).To(BeNumerically(">", 0))
	gm.Expect(ct.NodeBytes).To(BeNumerically(">", 0))
	gm.Expect(ct.BusiestBytes).To(BeNumerically(">=", ct.NodeBytes))
}
