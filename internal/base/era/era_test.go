package era_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/base/era"
)

// TestOrder checks that numbers and positions of a later era are above all earlier
// ones and that both parts can be read again.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gm := NewWithT(rt)
		er := era.Era(rapid.Uint64Range(0, 1<<19).Draw(rt, "era"))
		later := er + era.Era(rapid.Uint64Range(1, 1000).Draw(rt, "returns"))
		counter := rapid.Uint64Range(0, 1<<32-1).Draw(rt, "counter")
		gm.Expect(era.First[uint64](er) + counter).To(BeNumerically("<", era.First[uint64](later)))
		gm.Expect(era.Of(era.First[uint64](er) + counter)).To(Equal(er))
		version, other := rapid.Uint64Range(1, 1<<44-1).Draw(rt, "version"), rapid.Uint64Range(1, 1<<44-1).Draw(rt, "other")
		gm.Expect(era.Position(er, version)).To(BeNumerically("<", era.Position(later, other)))
		gotEra, gotVersion := era.Split(era.Position(er, version))
		gm.Expect(gotEra).To(Equal(er))
		gm.Expect(gotVersion).To(Equal(version))
	})
}
