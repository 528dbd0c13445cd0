package gateway

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/platform"
)

// TestEvacuationsAfterReturn covers a store that comes back from an older copy. What
// this host knew of evacuations holds until the operators' rows are written again.
func TestEvacuationsAfterReturn(t *testing.T) {
	event := func(er era.Era, rewritten string, domains ...ident.Domain) operatorStateEvent {
		ev := operatorStateEvent{era: er, state: platform.OperatorState{Evacuated: map[ident.Domain]bool{}}, rewritten: map[ident.Domain]bool{}}
		for _, dm := range domains {
			ev.state.Evacuated[dm] = true
		}
		if rewritten != "" {
			ev.rewritten[ident.Domain(rewritten)] = true
		}
		return ev
	}
	cases := map[string]struct {
		before, after operatorStateEvent
		wait          time.Duration
		want          []ident.Domain
	}{
		"lost evacuation holds":                {event(1, "", "a"), event(2, ""), 0, []ident.Domain{"a"}},
		"lost withdrawal holds":                {event(1, ""), event(2, "", "a"), 0, nil},
		"evacuation written again":             {event(1, "", "a"), event(2, "a", "a"), 0, []ident.Domain{"a"}},
		"new evacuation after the return":      {event(1, ""), event(2, "b", "b"), 0, []ident.Domain{"b"}},
		"withdrawn after the return":           {event(1, "", "a"), event(2, "a"), 0, nil},
		"rows count after the operators' time": {event(1, "", "a"), event(2, "", "b"), rewriteTimeout, []ident.Domain{"b"}},
		"same era":                             {event(1, "", "a"), event(1, "", "b"), 0, []ident.Domain{"b"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			now := clock.Instant(time.Hour)
			var es evacuations
			es.resolve(now, tc.before)
			es.resolve(now, tc.after)
			got := es.inForce(now.Add(tc.wait))
			gm.Expect(slices.Collect(maps.Keys(got))).To(ConsistOf(tc.want))
		})
	}
}
