package permit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// limitUpstreams names a limit for each upstream of a simulation.
func (sm *simulation) limitUpstreams(lm rate.Limit) {
	for id := range sm.latency {
		sm.update(permit.LimitMsg{Upstream: id, Limit: lm})
	}
}

// TestLimitUnderLoad guards against a holder that lets upstreams have more requests than they
// take, or far fewer, and that lets callers wait for what the limit does not admit. The load
// is that of incident inc1: upstreams that ask for a third of what they got before.
func TestLimitUnderLoad(t *testing.T) {
	const (
		upstreams = 4
		latency   = 100 * time.Millisecond
		minUse    = 0.8
	)
	cases := map[string]struct {
		keyed bool
		// limits follow each other, each for 10 seconds.
		limits []rate.Limit
		// unconfirmed holders may have been replaced.
		unconfirmed bool
		// most is how many requests per second an upstream may get under the last limit. It
		// must get minUse of that where there is more demand.
		most    float64
		reached bool
	}{
		"keyed":                {keyed: true, limits: []rate.Limit{rate.At(3)}, most: 3, reached: true},
		"any upstream":         {limits: []rate.Limit{rate.At(3)}, most: 3, reached: true},
		"keyed, a fraction":    {keyed: true, limits: []rate.Limit{rate.At(0.7)}, most: 0.7, reached: true},
		"falls":                {keyed: true, limits: []rate.Limit{rate.At(6), rate.At(2)}, most: 2, reached: true},
		"rises":                {keyed: true, limits: []rate.Limit{rate.At(2), rate.At(6)}, most: 6, reached: true},
		"is lifted":            {keyed: true, limits: []rate.Limit{rate.At(2), {}}, most: 20},
		"keyed, unconfirmed":   {keyed: true, limits: []rate.Limit{rate.At(3)}, unconfirmed: true, most: 1.5, reached: true},
		"any, is unconfirmed":  {limits: []rate.Limit{rate.At(3)}, unconfirmed: true, most: 1.5, reached: true},
		"above what they bear": {limits: []rate.Limit{rate.At(500)}, most: 20},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(5, tc.keyed, repeat(upstreams, latency)...)
			if tc.unconfirmed {
				sm.update(permit.ConfirmedMsg{Until: sm.now})
			}
			sm.runLoad(40, 5*time.Second, 0)
			for _, lm := range tc.limits {
				sm.limitUpstreams(lm)
				for id := range sm.sentPerSecond {
					sm.sentPerSecond[id] = map[int64]int{}
				}
				sm.asked, sm.refusedLate = 0, 0
				sm.runLoad(40, 10*time.Second, 0)
			}
			for id, perSecond := range sm.sentPerSecond {
				sent := 0
				for _, count := range perSecond {
					sent += count
				}
				gm.Expect(float64(sent)).To(BeNumerically("<=", 10*tc.most+2), "%s", id)
				if tc.reached {
					gm.Expect(float64(sent)).To(BeNumerically(">=", 10*minUse*tc.most), "%s", id)
				}
			}
			gm.Expect(float64(sm.refusedLate)).To(BeNumerically("<=", 0.1*float64(sm.asked)))
		})
	}
}

// TestFallbackHolderSendsNothingToLimited guards against several hosts that each use the same
// limit while they cannot reach its regular holder.
func TestFallbackHolderSendsNothingToLimited(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "any upstream": false} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(5, keyed, repeat(4, 100*time.Millisecond)...)
			sm.limitUpstreams(rate.At(50))
			cmds := sm.core.Update(sm.now, permit.AskMsg{Ask: protocol.Ask{
				Host: "b", Ticket: 1, Service: service, Domain: "d0", Keyed: keyed, Fallback: true, ObjectiveLeft: objective, TimeLeft: limit,
			}})
			gm.Expect(cmds).To(HaveLen(1))
			refusal, refused := cmds[0].(permit.RefuseCmd)
			gm.Expect(refused).To(BeTrue(), "%+v", cmds[0])
			gm.Expect(refusal.Refusal.RetryAfter).To(BeNumerically(">", 500*time.Millisecond))
		})
	}
}

// TestFallbackHolderLeavesLimitedBesideFull guards against the same where the upstreams without
// a limit have no room.
func TestFallbackHolderLeavesLimitedBesideFull(t *testing.T) {
	gm := NewWithT(t)
	sm := newSimulation(5, false, repeat(3, time.Second)...)
	sm.update(permit.LimitMsg{Upstream: upstreamName(0), Limit: rate.At(50)})
	for ticket := range protocol.Ticket(8) {
		sm.update(permit.AskMsg{Ask: protocol.Ask{
			Host: "b", Ticket: ticket, Service: service, Domain: "d0", Fallback: true, ObjectiveLeft: 5 * time.Second, TimeLeft: 5 * time.Second,
		}})
	}
	sm.advance(500 * time.Millisecond)
	gm.Expect(sm.maxRunning).To(Equal(map[ident.Upstream]int{upstreamName(1): 2, upstreamName(2): 2}))
}

// returnsOfRefused sends asks at once and returns when those that are refused may come back.
func (sm *simulation) returnsOfRefused() []clock.Instant {
	var returns []clock.Instant
	for ticket := range protocol.Ticket(6) {
		for _, cmd := range sm.core.Update(sm.now, permit.AskMsg{Ask: protocol.Ask{
			Host: "b", Ticket: ticket, Service: service, Domain: "d0", Keyed: true, ObjectiveLeft: 300 * time.Millisecond, TimeLeft: limit,
		}}) {
			if refusal, refused := cmd.(permit.RefuseCmd); refused {
				returns = append(returns, sm.now.Add(refusal.Refusal.RetryAfter))
			}
		}
	}
	return returns
}

// TestCallersReturnWhenUpstreamIsWarm guards against callers who are told to stay away from a
// cold upstream for longer than it is cold.
func TestCallersReturnWhenUpstreamIsWarm(t *testing.T) {
	gm := NewWithT(t)
	sm := newSimulation(5, true, 100*time.Millisecond)
	ms := sm.upstreamsMsg(1)
	warmAt := sm.now.Add(900 * time.Millisecond)
	ms.Upstreams[0].ColdUntil = warmAt
	sm.update(ms)
	returns := sm.returnsOfRefused()
	gm.Expect(len(returns)).To(BeNumerically(">=", 4))
	for _, at := range returns {
		gm.Expect(at).To(BeNumerically("<=", warmAt))
	}
}

// TestCallersReturnAsLimitAdmits guards against refused callers that all come back at once.
func TestCallersReturnAsLimitAdmits(t *testing.T) {
	gm := NewWithT(t)
	sm := newSimulation(5, true, 100*time.Millisecond)
	sm.limitUpstreams(rate.At(2))
	returns := sm.returnsOfRefused()
	gm.Expect(len(returns)).To(BeNumerically(">=", 4))
	for ix := range returns[1:] {
		gm.Expect(returns[ix+1].Sub(returns[ix])).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond), "%v", returns)
	}
}
