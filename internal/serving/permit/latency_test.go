package permit_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
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

// TestExpectedWait guards against an expected wait that is too long or too short, by which callers
// are refused beside room or wait in vain: as many slots must become free before it as after it.
func TestExpectedWait(t *testing.T) {
	const rounds = 600
	for name, spread := range map[string]float64{"even times": 0.3, "uneven times": 0.9} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(1, true, 200*time.Millisecond)
			sm.timeAt = func(ident.Upstream, protocol.Ticket) time.Duration {
				return time.Duration(200 * float64(time.Millisecond) * math.Exp(spread*sm.rng.NormFloat64()-spread*spread/2))
			}
			asked, sooner := 0, 0
			for range rounds {
				sm.askWithin(7, 0, 10*time.Second)
				sm.advance(time.Duration(sm.rng.Intn(150)) * time.Millisecond)
				sm.askWithin(7, 0, 10*time.Second)
				sm.advance(time.Duration(sm.rng.Intn(100)) * time.Millisecond)
				if sm.running["u0"] == 2 {
					// It is refused, as it cannot be answered.
					cmds := sm.core.Update(sm.now, permit.AskMsg{Ask: protocol.Ask{Host: "b", Ticket: sm.ticket, Service: service, Key: 7, Keyed: true, Repeatable: true}})
					asked++
					sm.advance(cmds[0].(permit.RefuseCmd).Estimate.Wait)
					if sm.running["u0"] < 2 {
						sooner++
					}
				}
				sm.advance(20 * time.Second)
			}
			t.Logf("%d of %d slots were free by the expected time", sooner, asked)
			gm.Expect(asked).To(BeNumerically(">", rounds/4))
			gm.Expect(float64(sooner) / float64(asked)).To(BeNumerically("~", 0.5, 0.12))
		})
	}
}
