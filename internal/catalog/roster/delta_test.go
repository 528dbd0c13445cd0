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

func TestApplyOfDiffGivesNextList(t *testing.T) {
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
				en.Incarnation, en.ColdLeft = 5, time.Second
				next = append(next, en)
			}
		}
		delta := roster.Diff(base, next)
		applied, ok := delta.Apply(base)
		gm.Expect(ok).To(BeTrue())
		gm.Expect(applied).To(ConsistOf(next))
		gm.Expect(roster.Digest(applied)).To(Equal(roster.Digest(next)))
		if roster.Digest(base) != roster.Digest(next) {
			_, ok = delta.Apply(next)
			gm.Expect(ok).To(BeFalse())
		}
	})
}
