package hotkey

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
)

var id = ID{Service: "lookup", Key: 7}

// owner runs 20 requests a second and is full.
var owner = Owner{PerSecond: 20, Slots: 4, Latency: 200 * time.Millisecond, Running: 4, Waiting: 6}

// crowd asks for one key.
type crowd struct {
	core *Core
	now  clock.Instant
	last ident.Fingerprint
}

func newCrowd() *crowd { return &crowd{core: New(), now: clock.Instant(time.Hour)} }

// ask asks for the key after a while.
func (cr *crowd) ask(after time.Duration, ask Ask, ow Owner) (dc Decision, hot bool) {
	cr.now = cr.now.Add(after)
	if !cr.core.Count(cr.now, ask.ID, ow) {
		return Decision{Admitted: true}, false
	}
	return cr.core.Decide(cr.now, ask, ow), true
}

// newAsk returns the ask of a caller that has not asked before.
func (cr *crowd) newAsk() Ask {
	cr.last++
	return Ask{
		ID: id, Host: ident.Host(fmt.Sprintf("h%d", cr.last%6)), Domain: ident.Domain(fmt.Sprintf("d%d", cr.last%3)), Fingerprint: cr.last,
		ObjectiveLeft: 500 * time.Millisecond, TimeLeft: 2500 * time.Millisecond,
	}
}

// heat asks until the key is hot and has a caller that was told to return in time.
func (cr *crowd) heat() (Ask, time.Duration) {
	for {
		ask := cr.newAsk()
		if dc, hot := cr.ask(5*time.Millisecond, ask, owner); hot && !dc.Admitted && dc.RetryAfter < ask.TimeLeft {
			return ask, dc.RetryAfter
		}
	}
}

// TestReturnInOrder guards against callers who come back when they were told to and find that others
// have come before them, and against a place that is used twice.
func TestReturnInOrder(t *testing.T) {
	cases := map[string]struct {
		// off is how much later than told the caller returns.
		off      time.Duration
		change   func(*Ask)
		admitted bool
	}{
		"when told":                {0, func(*Ask) {}, true},
		"a connection later":       {100 * time.Millisecond, func(*Ask) {}, true},
		"too early":                {-80 * time.Millisecond, func(*Ask) {}, false},
		"much too late":            {time.Second, func(*Ask) {}, false},
		"through another host":     {0, func(ask *Ask) { ask.Host, ask.Domain = "h9", "d9" }, true},
		"with another request":     {0, func(ask *Ask) { ask.Fingerprint = 1 << 40 }, false},
		"with too little time now": {0, func(ask *Ask) { ask.TimeLeft = 150 * time.Millisecond }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			cr := newCrowd()
			ask, after := cr.heat()
			toldAt := cr.now
			ask.ObjectiveLeft, ask.TimeLeft = ask.ObjectiveLeft-after, ask.TimeLeft-after
			tc.change(&ask)
			for cr.now < toldAt.Add(after+tc.off-5*time.Millisecond) {
				dc, _ := cr.ask(5*time.Millisecond, cr.newAsk(), owner)
				gm.Expect(dc.Admitted).To(BeFalse(), "a new caller")
			}
			dc, _ := cr.ask(toldAt.Add(after+tc.off).Sub(cr.now), ask, owner)
			gm.Expect(dc.Admitted).To(Equal(tc.admitted))
			gm.Expect(dc.Returning).To(Equal(tc.admitted))
			if tc.off < 0 {
				gm.Expect(dc.RetryAfter).To(Equal(-tc.off), "what is left of the time told")
			}
			again, _ := cr.ask(0, ask, owner)
			gm.Expect(again.Admitted).To(BeFalse(), "the second use of a place")
		})
	}
}

// TestTimesToReturn guards against times that lie: callers told one time, told to return to an owner
// that is full by then, or not told that there is no room in their time.
func TestTimesToReturn(t *testing.T) {
	gm := NewWithT(t)
	cr := newCrowd()
	var at, late []clock.Instant
	for range 400 {
		ask := cr.newAsk()
		dc, hot := cr.ask(2500*time.Microsecond, ask, owner)
		switch {
		case !hot || dc.Admitted:
		case dc.RetryAfter < ask.TimeLeft:
			at = append(at, cr.now.Add(dc.RetryAfter))
			gm.Expect(dc.RetryAfter).To(BeNumerically("<=", ask.TimeLeft/3), "as long as callers wait")
		default:
			late = append(late, cr.now.Add(dc.RetryAfter))
		}
	}
	gm.Expect(at).NotTo(BeEmpty())
	gm.Expect(late).NotTo(BeEmpty())
	for _, list := range [][]clock.Instant{at, late} {
		for ix := range list[1:] {
			gm.Expect(list[ix+1].Sub(list[ix])).To(BeNumerically(">=", 49*time.Millisecond), "one after the other")
		}
	}
}

// TestBurst guards against callers of a burst, over within a moment, who are told that there is no room.
func TestBurst(t *testing.T) {
	gm := NewWithT(t)
	cr := newCrowd()
	served, running := 0, 0
	returnAt := map[clock.Instant]Ask{}
	for range 24 {
		ask, ow := cr.newAsk(), owner
		ow.Running, ow.Waiting = min(running, 4), max(running-4, 0)
		dc, _ := cr.ask(time.Millisecond, ask, ow)
		switch {
		case dc.Admitted:
			running++
			served++
		case dc.RetryAfter < ask.TimeLeft:
			ask.ObjectiveLeft, ask.TimeLeft = ask.ObjectiveLeft-dc.RetryAfter, ask.TimeLeft-dc.RetryAfter
			returnAt[cr.now.Add(dc.RetryAfter)] = ask
		}
	}
	for at, ask := range returnAt {
		ow := owner
		ow.Running, ow.Waiting = 3, 0
		if dc, _ := cr.ask(at.Sub(cr.now), ask, ow); dc.Admitted {
			served++
		}
	}
	gm.Expect(served).To(BeNumerically(">=", 20))
}

// TestParts guards against a host, a caller or a less urgent kind of request that takes all of a key.
func TestParts(t *testing.T) {
	type group struct {
		// perMille is how many of a thousand asks are the group's.
		perMille int
		change   func(*Ask)
		minShare float64
	}
	cases := map[string][]group{
		"one host asks nine times as often": {
			{900, func(ask *Ask) { ask.Host, ask.Domain = "h0", "d0" }, 0.3}, {100, func(ask *Ask) { ask.Host, ask.Domain = "h1", "d0" }, 0.3},
		},
		"one caller sends half of all": {
			{500, func(ask *Ask) { ask.Fingerprint = 1 << 40 }, 0}, {500, func(*Ask) {}, 0.9},
		},
		"callers are not told apart": {
			{500, func(ask *Ask) { ask.Fingerprint, ask.Domain = 0, "d0" }, 0.3}, {500, func(ask *Ask) { ask.Fingerprint, ask.Domain = 0, "d1" }, 0.3},
		},
		"two kinds of different urgency": {
			{500, func(ask *Ask) { ask.Priority = 0 }, 0.55}, {500, func(ask *Ask) { ask.Priority = 1 }, 0.2},
		},
		"a less urgent kind asks more": {
			{200, func(ask *Ask) { ask.Priority = 0 }, 0.2}, {800, func(ask *Ask) { ask.Priority = 3 }, 0.2},
		},
		"a priority of another build": {
			{500, func(ask *Ask) { ask.Priority = -5 }, 0.3}, {500, func(ask *Ask) { ask.Priority = 1 << 40 }, 0},
		},
	}
	for name, groups := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			cr := newCrowd()
			admitted, all, waiting := make([]int, len(groups)), 0, 0.0
			for ix := range 8000 {
				which, ask := 0, cr.newAsk()
				if ix*7919%1000 >= groups[0].perMille {
					which = 1
				}
				groups[which].change(&ask)
				ow := owner
				waiting = max(waiting-owner.PerSecond*0.0025, 0)
				ow.Waiting = int(waiting)
				if dc, hot := cr.ask(2500*time.Microsecond, ask, ow); dc.Admitted {
					waiting++
					if hot {
						admitted[which]++
						all++
					}
				}
			}
			gm.Expect(all).To(BeNumerically(">=", 0.9*20*owner.PerSecond))
			for which, gr := range groups {
				gm.Expect(float64(admitted[which])).To(BeNumerically(">=", gr.minShare*float64(all)), "group %d: %v", which, admitted)
			}
		})
	}
}

// TestCalmKeys guards against rules of hot keys that apply to ordinary ones, or for longer than a key is
// hot.
func TestCalmKeys(t *testing.T) {
	gm := NewWithT(t)
	cr := newCrowd()
	for range 2000 {
		_, hot := cr.ask(time.Second/18, cr.newAsk(), owner)
		gm.Expect(hot).To(BeFalse())
	}
	cr.heat()
	gm.Expect(cr.core.Len()).To(Equal(1))
	cr.core.Expire(cr.now.Add(time.Second))
	gm.Expect(cr.core.Len()).To(BeZero())
	changes := cr.core.Changes()
	gm.Expect(changes).To(HaveLen(2))
	gm.Expect(changes[1].Refused).To(BeNumerically(">", 0))
}

// TestStateIsBounded guards against state that grows with the keys, hosts and callers that ask.
func TestStateIsBounded(t *testing.T) {
	gm := NewWithT(t)
	cr := newCrowd()
	for ix := range 50000 {
		ask := cr.newAsk()
		ask.Host, ask.Domain = ident.Host(fmt.Sprint("h", ix)), ident.Domain(fmt.Sprint("d", ix))
		ask.ID.Service = ident.Service(fmt.Sprint("s", ix/1000%3))
		if ix%2 > 0 {
			ask.ID.Service = ident.Service(fmt.Sprint("s", ix))
		}
		cr.ask(10*time.Microsecond, ask, owner)
		for _, hk := range cr.core.hot {
			gm.Expect(len(hk.parts.domains.parts)).To(BeNumerically("<=", maxParts))
			gm.Expect(len(hk.parts.hosts)).To(BeNumerically("<=", maxParts))
			gm.Expect(len(hk.parts.callers.parts)).To(BeNumerically("<=", maxParts))
			gm.Expect(len(hk.returns.list)).To(BeNumerically("<=", maxReturns))
		}
	}
	gm.Expect(len(cr.core.counts)).To(BeNumerically("<=", maxCounts))
	gm.Expect(cr.core.Len()).To(BeNumerically("<=", maxHot))
}
