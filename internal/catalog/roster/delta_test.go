package roster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
)

func TestDeltasLeadFromOneListToAnother(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gm := NewWithT(rt)
		var base, next []roster.Entry
		for ix := range 12 {
			en := roster.Entry{ID: ident.Upstream(fmt.Sprint("u", ix)), Service: "lookup", Slots: 2}
			if rapid.Bool().Draw(rt, "before") {
				base = append(base, en)
			}
			switch rapid.IntRange(0, 3).Draw(rt, "after") {
			case 0:
				next = append(next, en)
			case 1:
				en.Draining = true
				next = append(next, en)
			case 2:
				en.Life, en.ColdLeft = 5, time.Second
				next = append(next, en)
			}
		}
		delta := roster.Diff(base, next)
		reached, begins := delta.Apply(base)
		gm.Expect(begins).To(BeTrue())
		gm.Expect(reached).To(ConsistOf(next))
		gm.Expect(roster.Digest(reached)).To(Equal(roster.Digest(next)))
		if roster.Digest(base) != roster.Digest(next) {
			_, begins = delta.Apply(next)
			gm.Expect(begins).To(BeFalse())
		}
	})
}
