package ident_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
)

// choose returns the candidate with the highest score.
func choose(item string, weights map[string]float64) string {
	best, score := "", 0.0
	for name, weight := range weights {
		if sc := ident.Score(item, name, weight); best == "" || sc > score {
			best, score = name, sc
		}
	}
	return best
}

func TestScoresChooseInProportionToWeights(t *testing.T) {
	gm := NewWithT(t)
	weights := map[string]float64{"a": 1, "b": 1, "strong": 8}
	counts := map[string]int{}
	const items = 5000
	for ix := range items {
		counts[choose(fmt.Sprint("item", ix), weights)]++
	}
	gm.Expect(counts["strong"]).To(BeNumerically("~", items*8/10, items/20))
	gm.Expect(counts["a"]).To(BeNumerically("~", items/10, items/30))
}

func TestScoresKeepOtherChoicesWhenACandidateLeaves(t *testing.T) {
	gm := NewWithT(t)
	all := map[string]float64{"a": 1, "b": 2, "c": 3}
	rest := map[string]float64{"a": 1, "b": 2}
	for ix := range 500 {
		item := fmt.Sprint("item", ix)
		if before := choose(item, all); before != "c" {
			gm.Expect(choose(item, rest)).To(Equal(before))
		}
	}
}
