package permit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

const (
	service   = ident.Service("lookup")
	objective = 600 * time.Millisecond
	limit     = 1200 * time.Millisecond
)

// play drives a core with a load on a virtual clock and counts what its
// callers get.
type play struct {
	now    clock.Instant
	rng    *rand.Rand
	core   *permit.Core
	events events
	seq    int
	ticket protocol.Ticket
	// keyed asks go to the owner of their key, others to any upstream.
	keyed bool
	// work is the mean time for an answer at each upstream.
	work    map[ident.Upstream]time.Duration
	began   map[protocol.Ticket]clock.Instant
	running map[ident.Upstream]int
	// most is the highest number of requests at an upstream at a time.
	most map[ident.Upstream]int
	// sent counts the requests that each upstream got in each second.
	sent map[ident.Upstream]map[int64]int

	asked, inTime, late, refused, failed int
	// held is the longest wait of a request that was then refused.
	held time.Duration
}

type event struct {
	at  clock.Instant
	seq int
	run func()
}

type events []event

func (es events) Len() int { return len(es) }
func (es events) Less(left, right int) bool {
	return es[left].at < es[right].at || es[left].at == es[right].at && es[left].seq < es[right].seq
}
func (es events) Swap(left, right int) { es[left], es[right] = es[right], es[left] }
func (es *events) Push(ev any)         { *es = append(*es, ev.(event)) }
func (es *events) Pop() any {
	last := (*es)[len(*es)-1]
	*es = (*es)[:len(*es)-1]
	return last
}

// newPlay makes upstreams with the mean times given; keys are divided evenly.
func newPlay(seed int64, keyed bool, work ...time.Duration) *play {
	pl := &play{
		now: clock.Instant(time.Hour), rng: rand.New(rand.NewSource(seed)), core: permit.New(), keyed: keyed,
		work: map[ident.Upstream]time.Duration{}, began: map[protocol.Ticket]clock.Instant{},
		running: map[ident.Upstream]int{}, most: map[ident.Upstream]int{}, sent: map[ident.Upstream]map[int64]int{},
	}
	for ix, mean := range work {
		pl.work[name(ix)] = mean
		pl.sent[name(ix)] = map[int64]int{}
	}
	pl.tell(pl.fleet(0))
	return pl
}

func name(ix int) ident.Upstream { return ident.Upstream(fmt.Sprintf("u%d", ix)) }

// fleet lists the upstreams; the first ones are cold for a minute.
func (pl *play) fleet(cold int) permit.FleetMsg {
	ms := permit.FleetMsg{Services: map[ident.Service]desired.Service{service: {Name: service, ColdRate: 2.6, Keyed: pl.keyed}}, Table: &assignment.Table{}}
	count := len(pl.work)
	for ix := range count {
		up := permit.Upstream{ID: name(ix), Service: service, Domain: ident.Domain(fmt.Sprintf("d%d", ix%3)), Slots: 2}
		if ix < cold {
			up.ColdUntil = pl.now.Add(time.Minute)
		}
		ms.Upstreams = append(ms.Upstreams, up)
		ms.Table.Shares = append(ms.Table.Shares, assignment.Share{
			Service: service, Owner: assignment.Claim{Upstream: name(ix), Epoch: keyspace.Epoch(ix + 1)},
			Range: keyspace.Range{From: keyspace.Key(ix * keyspace.Count / count), To: keyspace.Key((ix+1)*keyspace.Count/count - 1)},
		})
	}
	return ms
}

func (pl *play) after(wait time.Duration, run func()) {
	pl.seq++
	heap.Push(&pl.events, event{pl.now.Add(wait), pl.seq, run})
}

func (pl *play) run(span time.Duration) {
	end := pl.now.Add(span)
	for len(pl.events) > 0 && pl.events[0].at <= end {
		ev := heap.Pop(&pl.events).(event)
		pl.now = ev.at
		ev.run()
	}
	pl.now = end
}

// tell gives a message to the core and plays what it says.
func (pl *play) tell(msg any) {
	for _, cmd := range pl.core.Update(pl.now, msg) {
		switch cmd := cmd.(type) {
		case permit.SendCmd:
			pl.send(cmd)
		case permit.RefuseCmd:
			pl.refused++
			pl.held = max(pl.held, cmd.Waited)
		}
	}
	if next := pl.core.Next(pl.now); next != clock.Never {
		pl.after(max(next.Sub(pl.now), time.Millisecond), func() {
			if pl.core.Next(pl.now) <= pl.now {
				pl.tell(permit.TickMsg{})
			}
		})
	}
}

// ask asks for a permit for a request that has waited for a while already.
func (pl *play) ask(key keyspace.Key, waited time.Duration) {
	pl.ticket++
	pl.asked++
	pl.began[pl.ticket] = pl.now.Add(-waited)
	pl.tell(permit.AskMsg{Ask: protocol.Ask{
		Host: "a", Ticket: pl.ticket, Service: service, Domain: "d0", Key: key, Keyed: pl.keyed, Repeatable: true,
		ObjectiveLeft: objective - waited, TimeLeft: limit,
	}})
}

// send plays a request at its upstream.
func (pl *play) send(cmd permit.SendCmd) {
	id := cmd.Permit.Upstream
	pl.running[id]++
	pl.most[id] = max(pl.most[id], pl.running[id])
	pl.sent[id][int64(pl.now)/int64(time.Second)]++
	took := time.Duration(float64(pl.work[id]) * math.Exp(0.5*pl.rng.NormFloat64()-0.125))
	outcome := permit.Answered
	if most := cmd.Ask.TimeLeft - cmd.Waited; took > most {
		// An upstream stops at the time that it was given.
		took, outcome = most, permit.TimedOut
	}
	pl.after(took, func() {
		pl.running[id]--
		ended := pl.now.Sub(pl.began[cmd.Permit.Ticket])
		switch {
		case outcome == permit.TimedOut:
			pl.failed++
		case ended <= objective:
			pl.inTime++
		case ended <= limit:
			pl.late++
		}
		pl.tell(permit.DoneMsg{Done: protocol.Done{
			Host: "a", Ticket: cmd.Permit.Ticket, Service: service, Upstream: id, Outcome: uint8(outcome), Took: took,
			Reported: true, Running: pl.running[id] + 1,
		}})
	})
}

// load asks at a rate for a time, with a share of all requests for one key.
func (pl *play) load(perSecond float64, span time.Duration, hot float64) {
	for at := time.Duration(0); at < span; at += time.Duration(pl.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		pl.after(at, func() {
			key := keyspace.Key(pl.rng.Intn(keyspace.Count))
			if pl.rng.Float64() < hot {
				key = 7
			}
			pl.ask(key, 0)
		})
	}
	pl.run(span + 3*time.Second)
}

func even(count int, work time.Duration) []time.Duration {
	times := make([]time.Duration, count)
	for ix := range times {
		times[ix] = work
	}
	return times
}

// TestLoads plays the loads of the heaviest days and checks what callers get.
func TestLoads(t *testing.T) {
	const work = 200 * time.Millisecond
	cases := map[string]struct {
		keyed     bool
		work      []time.Duration
		perSecond float64
		hot       float64
		// inTime is the least share of the requests answered within their
		// objective.
		inTime float64
	}{
		"half of what any upstream can bear":      {false, even(10, work), 50, 0, 0.95},
		"nearly all of what any upstream bears":   {false, even(10, work), 85, 0, 0.85},
		"twice what all can bear":                 {false, even(10, work), 200, 0, 0.35},
		"two upstreams ten times slower":          {false, append(even(8, work), 10*work, 10*work), 40, 0, 0.9},
		"a third of what the owners can bear":     {true, even(10, work), 33, 0, 0.9},
		"three times what the owner of one bears": {true, even(10, work), 40, 0.6, 0.45},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			pl := newPlay(1, tc.keyed, tc.work...)
			pl.load(tc.perSecond, 30*time.Second, tc.hot)
			t.Logf("%d asked, %d in time, %d late, %d refused", pl.asked, pl.inTime, pl.late, pl.refused)
			gm.Expect(float64(pl.inTime)).To(BeNumerically(">=", tc.inTime*float64(pl.asked)), "%d asked, %d in time, %d late, %d refused, %d failed", pl.asked, pl.inTime, pl.late, pl.refused, pl.failed)
			for id, most := range pl.most {
				gm.Expect(most).To(BeNumerically("<=", 2), "slots of %s", id)
			}
			gm.Expect(pl.asked).To(Equal(pl.inTime+pl.late+pl.refused+pl.failed), "every request has one end")
			// What is refused must not have waited until near its limit.
			gm.Expect(pl.held).To(BeNumerically("<", objective+200*time.Millisecond))
		})
	}
}

// TestReportCountsItself asks that an upstream's own report does not make a
// slot seem taken that is free: it still counts the request that it comes with.
func TestReportCountsItself(t *testing.T) {
	gm := NewWithT(t)
	pl := newPlay(1, true, 200*time.Millisecond)
	pl.ask(7, 0)
	pl.run(2 * time.Second)
	pl.ask(7, 0)
	pl.ask(7, 0)
	gm.Expect(pl.running["u0"]).To(Equal(2))
}

// TestColdUpstream asks that a cold upstream gets no more than its limit.
func TestColdUpstream(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "any": false} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			pl := newPlay(1, keyed, even(3, 50*time.Millisecond)...)
			pl.tell(pl.fleet(1))
			pl.load(100, 5*time.Second, 0)
			for second, count := range pl.sent["u0"] {
				gm.Expect(count).To(BeNumerically("<=", 4), "second %d", second)
			}
		})
	}
}

// TestRepeatedAsk asks that a datagram sent twice changes nothing.
func TestRepeatedAsk(t *testing.T) {
	gm := NewWithT(t)
	pl := newPlay(1, true, time.Second)
	ask := protocol.Ask{Host: "a", Ticket: 1, Service: service, Key: 7, Keyed: true, ObjectiveLeft: 5 * time.Second, TimeLeft: 9 * time.Second}
	first := pl.core.Update(pl.now, permit.AskMsg{Ask: ask})
	second := pl.core.Update(pl.now, permit.AskMsg{Ask: ask})
	gm.Expect(first).To(HaveLen(1))
	gm.Expect(second).To(HaveLen(1))
	gm.Expect(second[0].(permit.SendCmd).Permit).To(Equal(first[0].(permit.SendCmd).Permit))
}

// TestMovingKeys asks that nothing is sent to an owner that is losing the key.
func TestMovingKeys(t *testing.T) {
	gm := NewWithT(t)
	pl := newPlay(1, true, even(2, 100*time.Millisecond)...)
	ms := pl.fleet(0)
	ms.Table.Shares[0].Next = assignment.Claim{Upstream: "u1", Epoch: 9}
	pl.tell(ms)
	pl.ask(7, 0)
	pl.run(100 * time.Millisecond)
	gm.Expect(pl.running).NotTo(HaveKeyWithValue(ident.Upstream("u0"), 1))
	ms.Table.Shares[0].Owner, ms.Table.Shares[0].Next = ms.Table.Shares[0].Next, assignment.Claim{}
	pl.tell(ms)
	gm.Expect(pl.running["u1"]).To(Equal(1))
}

// TestLostHost asks that permits that never come back do not hold slots for ever.
func TestLostHost(t *testing.T) {
	gm := NewWithT(t)
	co := permit.New()
	pl := newPlay(1, true, time.Second)
	now := pl.now
	co.Update(now, pl.fleet(0))
	ask := protocol.Ask{Host: "a", Service: service, Key: 7, Keyed: true, ObjectiveLeft: objective, TimeLeft: limit}
	for ask.Ticket = 1; ask.Ticket <= 2; ask.Ticket++ {
		gm.Expect(co.Update(now, permit.AskMsg{Ask: ask})).To(HaveLen(1))
	}
	now = now.Add(limit + time.Second)
	co.Update(now, permit.TickMsg{})
	ask.Ticket = 3
	gm.Expect(co.Update(now, permit.AskMsg{Ask: ask})[0]).To(BeAssignableToTypeOf(permit.SendCmd{}))
}

// TestManyHoldersSpareColdUpstreams answers a day on which half of the hosts
// lost the holder of a service at a time and handed out permits by themselves:
// together they must not send a cold upstream more than its limit.
func TestManyHoldersSpareColdUpstreams(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "any": false} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			cold, warm := 0, 0
			for range 70 {
				pl := newPlay(1, keyed, even(3, 50*time.Millisecond)...)
				pl.tell(pl.fleet(1))
				for _, key := range []keyspace.Key{7, 60000} {
					pl.tell(permit.AskMsg{Ask: protocol.Ask{
						Host: "a", Ticket: protocol.Ticket(key), Service: service, Domain: "d0", Key: key, Keyed: keyed, Fallback: true,
						Repeatable: true, ObjectiveLeft: objective, TimeLeft: limit,
					}})
				}
				pl.run(time.Second)
				for _, count := range pl.sent["u0"] {
					cold += count
				}
				for _, id := range []ident.Upstream{"u1", "u2"} {
					for _, count := range pl.sent[id] {
						warm += count
					}
				}
			}
			gm.Expect(cold).To(BeZero())
			gm.Expect(warm).To(BeNumerically(">", 0))
		})
	}
}

// BenchmarkAsk is the work of a holder for one request to a large service.
func BenchmarkAsk(b *testing.B) {
	for name, keyed := range map[string]bool{"keyed": true, "any": false} {
		b.Run(name, func(b *testing.B) {
			pl := newPlay(1, keyed, even(321, 200*time.Millisecond)...)
			for range 300 {
				pl.ask(keyspace.Key(pl.rng.Intn(keyspace.Count)), 0)
			}
			b.ReportAllocs()
			for ticket := protocol.Ticket(1 << 20); b.Loop(); ticket++ {
				ask := protocol.Ask{Host: "b", Ticket: ticket, Service: service, Key: keyspace.Key(ticket * 977), Keyed: keyed, ObjectiveLeft: objective, TimeLeft: limit, Repeatable: true}
				pl.core.Update(pl.now, permit.AskMsg{Ask: ask})
				pl.core.Update(pl.now, permit.DoneMsg{Done: protocol.Done{Host: "b", Ticket: ticket, Service: service, Outcome: uint8(permit.Answered), Took: time.Millisecond}})
			}
		})
	}
}
