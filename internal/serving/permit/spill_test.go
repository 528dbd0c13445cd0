package permit_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// spill plays one holder under the load of several domains, each with six upstreams of four slots
// that take 200 ms: 120 requests a second.
type spill struct {
	*simulation
	// lost says whether requests from a domain to another are lost.
	lost func(from, to ident.Domain) bool
	// class is the size class of all requests.
	class uint8
	// inTime and asked count requests by the domain of their callers, crossed those that left it.
	inTime, asked, crossed map[ident.Domain]float64
	// sent counts those that left one domain for another.
	sent map[[2]ident.Domain]float64
}

const spillDomains = 3

func newSpill(class uint8) *spill {
	sl := &spill{simulation: newSimulation(9, false, repeat(6*spillDomains, 200*time.Millisecond)...), class: class}
	ms := sl.upstreamsMsg(0)
	for ix := range ms.Upstreams {
		ms.Upstreams[ix].Slots = 4
	}
	sl.update(ms)
	sl.lost = func(_, _ ident.Domain) bool { return false }
	return sl
}

// load sends requests of each domain, at a mean rate per second, for a time.
func (sl *spill) load(duration time.Duration, perSecond map[ident.Domain]float64) {
	sl.inTime, sl.asked, sl.crossed, sl.sent = map[ident.Domain]float64{}, map[ident.Domain]float64{}, map[ident.Domain]float64{}, map[[2]ident.Domain]float64{}
	for _, dm := range []ident.Domain{"d0", "d1", "d2"} {
		for at := time.Duration(0); at < duration && perSecond[dm] > 0; at += time.Duration(sl.rng.ExpFloat64() / perSecond[dm] * float64(time.Second)) {
			sl.schedule(at, func() { sl.ask(dm) })
		}
	}
	for at := time.Duration(0); at < duration; at += 10 * time.Millisecond {
		sl.schedule(at, func() { sl.handle(sl.core.Update(sl.now, permit.TickMsg{})) })
	}
	sl.advance(duration)
}

func (sl *spill) ask(dm ident.Domain) {
	sl.ticket++
	sl.asked[dm]++
	sl.startedAt[sl.ticket] = sl.now
	sl.handle(sl.core.Update(sl.now, permit.AskMsg{Ask: protocol.Ask{
		Host: "a", Ticket: sl.ticket, Service: service, Domain: dm, Repeatable: true, SizeClass: sl.class, Pools: 1,
		ObjectiveLeft: time.Second, TimeLeft: 3 * time.Second,
	}}))
}

func (sl *spill) handle(cmds []permit.Cmd) {
	for _, cmd := range cmds {
		ic, issued := cmd.(permit.IssueCmd)
		if !issued {
			continue
		}
		from, to := ic.Ask.Domain, domainOf(ic.Permit.Upstream)
		if from != to {
			sl.crossed[from]++
			sl.sent[[2]ident.Domain{from, to}]++
		}
		took, outcome := time.Duration(200*math.Exp(0.3*sl.rng.NormFloat64()-0.045)*float64(time.Millisecond)), permit.Answered
		if sl.lost(from, to) {
			took, outcome = 350*time.Millisecond, permit.Unreached
		}
		sl.schedule(took, func() {
			if outcome == permit.Answered && sl.now.Sub(sl.startedAt[ic.Ask.Ticket]) <= time.Second {
				sl.inTime[from]++
			}
			sl.handle(sl.core.Update(sl.now, permit.DoneMsg{Done: protocol.Done{
				Host: "a", Ticket: ic.Ask.Ticket, Service: service, Upstream: ic.Permit.Upstream, Outcome: uint8(outcome), Took: took,
			}}))
		})
	}
}

// domainOf returns the domain of an upstream of a simulation.
func domainOf(id ident.Upstream) ident.Domain {
	number := 0
	for _, digit := range id[1:] {
		number = 10*number + int(digit-'0')
	}
	return ident.Domain("d" + string(rune('0'+number%spillDomains)))
}

// TestSpill guards against requests that leave their domain without need, against a full domain
// whose callers wait beside room elsewhere, and against one that takes others along. Each domain
// takes 120 requests a second.
func TestSpill(t *testing.T) {
	type rates = map[ident.Domain]float64
	cases := map[string]struct {
		class uint8
		rates rates
		// maxCrossed is the largest fraction of d0's requests that leave it.
		maxCrossed float64
		// minInTime is the smallest fraction of requests in time, of d0's callers and of the others'.
		minInTime, minOthers float64
	}{
		"room at home":                         {3, rates{"d0": 60, "d1": 60, "d2": 60}, 0.02, 0.97, 0.97},
		"room at home, small requests":         {0, rates{"d0": 60, "d1": 60, "d2": 60}, 0.1, 0.97, 0.97},
		"nearly full everywhere":               {3, rates{"d0": 100, "d1": 100, "d2": 100}, 0.15, 0.95, 0.95},
		"one domain with half as much again":   {3, rates{"d0": 180, "d1": 60, "d2": 60}, 0.45, 0.95, 0.95},
		"one domain with five times its room":  {3, rates{"d0": 600, "d1": 60, "d2": 60}, 0.4, 0.3, 0.95},
		"all domains with twice their room":    {3, rates{"d0": 240, "d1": 240, "d2": 240}, 0.1, 0.35, 0.35},
		"callers in one domain only":           {3, rates{"d0": 300}, 0.7, 0.95, 0},
		"callers in one domain, more than all": {3, rates{"d0": 700}, 0.7, 0.4, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sl := newSpill(tc.class)
			sl.load(3*time.Second, tc.rates)
			sl.load(10*time.Second, tc.rates)
			gm.Expect(sl.crossed["d0"]/sl.asked["d0"]).To(BeNumerically("<=", tc.maxCrossed), "crossed")
			gm.Expect(sl.inTime["d0"]/sl.asked["d0"]).To(BeNumerically(">=", tc.minInTime), "in time")
			for _, dm := range []ident.Domain{"d1", "d2"} {
				if sl.asked[dm] > 0 {
					gm.Expect(sl.inTime[dm]/sl.asked[dm]).To(BeNumerically(">=", tc.minOthers), "%s", dm)
				}
			}
		})
	}
}

// TestDomainIsCutOffWhileItTakesLoad guards against a domain that is cut off and takes along the
// one that sends it load.
func TestDomainIsCutOffWhileItTakesLoad(t *testing.T) {
	gm := NewWithT(t)
	sl := newSpill(3)
	rates := map[ident.Domain]float64{"d0": 160, "d1": 60, "d2": 60}
	sl.load(4*time.Second, rates)
	gm.Expect(sl.sent[[2]ident.Domain{"d0", "d2"}]).To(BeNumerically(">", 0))
	// Hosts of d2 do not reach this holder either.
	sl.lost = func(_, to ident.Domain) bool { return to == "d2" }
	rates = map[ident.Domain]float64{"d0": 160, "d1": 60}
	sl.load(time.Second, rates)
	sl.load(4*time.Second, rates)
	gm.Expect(sl.sent[[2]ident.Domain{"d0", "d2"}]).To(BeNumerically("<=", 2*4*4), "probes")
	for _, dm := range []ident.Domain{"d0", "d1"} {
		gm.Expect(sl.inTime[dm]/sl.asked[dm]).To(BeNumerically(">=", 0.9), "%s", dm)
	}
	sl.lost = func(_, _ ident.Domain) bool { return false }
	sl.update(permit.ConfirmedMsg{Until: clock.Never, EntriesReadAt: sl.now.Add(time.Hour)})
	rates = map[ident.Domain]float64{"d0": 160, "d1": 60, "d2": 60}
	sl.load(5*time.Second, rates)
	sl.load(2*time.Second, rates)
	gm.Expect(sl.sent[[2]ident.Domain{"d0", "d2"}]).To(BeNumerically(">", 0), "again")
}
