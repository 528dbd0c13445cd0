package permit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
)

// TestDisturbedUpstreamIsAvoided guards against requests that go to an upstream which has just said
// that work takes three times as long there, and against one that is avoided for what it said
// long ago. It is the faster one of two by its answers.
func TestDisturbedUpstreamIsAvoided(t *testing.T) {
	for name, tc := range map[string]struct {
		percent int
		after   time.Duration
		to      ident.Upstream
	}{
		"undisturbed": {100, 10 * time.Millisecond, "u0"},
		"disturbed":   {300, 10 * time.Millisecond, "u1"},
		"long ago":    {300, time.Second, "u0"},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(1, false, 80*time.Millisecond, 120*time.Millisecond)
			percent := 100
			sm.percentAt = func(ident.Upstream) int { return percent }
			sm.timeAt = func(id ident.Upstream, _ protocol.Ticket) time.Duration { return sm.latency[id] }
			for range 100 {
				for range 3 {
					sm.ask(7, 0)
				}
				sm.advance(time.Second)
			}
			percent = tc.percent
			sm.ask(7, 0)
			sm.advance(80 * time.Millisecond)
			sm.advance(tc.after)
			sm.ask(7, 0)
			gm.Expect(sm.running).To(HaveKeyWithValue(tc.to, 1))
		})
	}
}
