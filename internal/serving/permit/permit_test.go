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
	// refusedAtOnce is the longest wait of a request that counts as refused at once.
	refusedAtOnce = 50 * time.Millisecond
)

// simulation runs a core under load on a virtual clock and counts how the
// requests end.
type simulation struct {
	now    clock.Instant
	rng    *rand.Rand
	core   *permit.Core
	events events
	seq    int
	// tickAt is when the next tick is due.
	tickAt clock.Instant
	ticket protocol.Ticket
	// keyed sends each ask to the owner of its key, instead of any upstream.
	keyed bool
	// latency is the mean time of each upstream to answer.
	latency map[ident.Upstream]time.Duration
	// slots is how many requests each upstream runs at once.
	slots int
	// objective and limit are the times within which a caller wants its answer.
	objective, limit time.Duration
	// priority is that of further asks.
	priority int
	// timeAt, if set, replaces the random time to answer, and percentAt is the upstream's
	// report of how long work takes at present.
	timeAt    func(id ident.Upstream, ticket protocol.Ticket) time.Duration
	percentAt func(id ident.Upstream) int
	// onRefused, if set, gets the refusals.
	onRefused func(cmd permit.RefuseCmd)
	// refusing is the fraction of requests that each upstream refuses at once, though it
	// has room.
	refusing float64
	// onEnd, if set, is called for each end at an upstream.
	onEnd     func(protocol.Ticket, permit.Outcome, time.Duration)
	startedAt map[protocol.Ticket]clock.Instant
	// permitted holds the tickets that got a permit.
	permitted map[protocol.Ticket]bool
	running   map[ident.Upstream]int
	// maxRunning is the highest number of concurrent requests at each upstream.
	maxRunning map[ident.Upstream]int
	// sentPerSecond counts the requests sent to each upstream, by second.
	sentPerSecond map[ident.Upstream]map[int64]int

	asked, inTime, late, refused, failed int
	// refusedByUpstream counts those of failed that an upstream refused.
	refusedByUpstream int
	// longestRefusedWait is the longest wait that ended with a refusal.
	longestRefusedWait time.Duration
	// refusedLate counts the refused requests that had waited for more than refusedAtOnce.
	refusedLate int
}

// event is a function that runs at a virtual time; seq orders events of one time.
type event struct {
	at  clock.Instant
	seq int
	run func()
}

// events is a heap of events, the earliest first.
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

// newSimulation creates one upstream per mean latency and divides the keys
// evenly among them.
func newSimulation(seed int64, keyed bool, latencies ...time.Duration) *simulation {
	sm := &simulation{
		now: clock.Instant(time.Hour), rng: rand.New(rand.NewSource(seed)), core: permit.New(), keyed: keyed,
		slots: 2, objective: objective, limit: limit,
		latency: map[ident.Upstream]time.Duration{}, startedAt: map[protocol.Ticket]clock.Instant{}, permitted: map[protocol.Ticket]bool{},
		running: map[ident.Upstream]int{}, maxRunning: map[ident.Upstream]int{}, sentPerSecond: map[ident.Upstream]map[int64]int{},
	}
	for ix, mean := range latencies {
		sm.latency[upstreamName(ix)] = mean
		sm.sentPerSecond[upstreamName(ix)] = map[int64]int{}
	}
	sm.update(permit.ConfirmedMsg{Until: clock.Never})
	sm.update(sm.upstreamsMsg(0))
	return sm
}

func upstreamName(ix int) ident.Upstream { return ident.Upstream(fmt.Sprintf("u%d", ix)) }

// upstreamsMsg lists the upstreams; the first coldCount are cold for a minute.
func (sm *simulation) upstreamsMsg(coldCount int) permit.UpstreamsMsg {
	ms := permit.UpstreamsMsg{Services: map[ident.Service]desired.Service{service: {Name: service, ColdRate: 2.6, Keyed: sm.keyed}}, Table: &assignment.Table{}}
	count := len(sm.latency)
	for ix := range count {
		up := permit.Upstream{ID: upstreamName(ix), Service: service, Domain: ident.Domain(fmt.Sprintf("d%d", ix%3)), Slots: sm.slots}
		if ix < coldCount {
			up.ColdUntil = sm.now.Add(time.Minute)
		}
		ms.Upstreams = append(ms.Upstreams, up)
		ms.Table.Shares = append(ms.Table.Shares, assignment.Share{
			Service: service, Owner: assignment.Claim{Upstream: upstreamName(ix), Epoch: keyspace.Epoch(ix + 1)},
			Range: keyspace.Range{From: keyspace.Key(ix * keyspace.Count / count), To: keyspace.Key((ix+1)*keyspace.Count/count - 1)},
		})
	}
	return ms
}

// schedule runs a function after a time on the virtual clock.
func (sm *simulation) schedule(wait time.Duration, run func()) {
	sm.seq++
	heap.Push(&sm.events, event{sm.now.Add(wait), sm.seq, run})
}

// advance moves the clock and runs the events that are due.
func (sm *simulation) advance(duration time.Duration) {
	end := sm.now.Add(duration)
	for len(sm.events) > 0 && sm.events[0].at <= end {
		ev := heap.Pop(&sm.events).(event)
		sm.now = ev.at
		ev.run()
	}
	sm.now = end
}

// update passes a message to the core, executes its commands and schedules its
// next tick.
func (sm *simulation) update(msg any) {
	for _, cmd := range sm.core.Update(sm.now, msg) {
		switch cmd := cmd.(type) {
		case permit.IssueCmd:
			sm.send(cmd)
		case permit.RefuseCmd:
			sm.refused++
			sm.longestRefusedWait = max(sm.longestRefusedWait, cmd.Waited)
			if cmd.Waited > refusedAtOnce {
				sm.refusedLate++
			}
			if sm.onRefused != nil {
				sm.onRefused(cmd)
			}
		}
	}
	next := max(sm.core.Next(sm.now), sm.now.Add(time.Millisecond))
	if next == clock.Never || sm.now < sm.tickAt && sm.tickAt <= next {
		return
	}
	sm.tickAt = next
	sm.schedule(next.Sub(sm.now), func() {
		if sm.tickAt == next {
			sm.tickAt = 0
			sm.update(permit.TickMsg{})
		}
	})
}

// ask requests a permit for a request that has already waited, with its whole time limit.
func (sm *simulation) ask(key keyspace.Key, waited time.Duration) {
	sm.askWithin(key, waited, sm.limit)
}

// askWithin requests a permit for a request that has already waited.
func (sm *simulation) askWithin(key keyspace.Key, waited, limit time.Duration) {
	sm.ticket++
	sm.asked++
	sm.startedAt[sm.ticket] = sm.now.Add(-waited)
	sm.update(permit.AskMsg{Ask: protocol.Ask{
		Host: "a", Ticket: sm.ticket, Service: service, Domain: "d0", Key: key, Keyed: sm.keyed, Repeatable: true, Priority: sm.priority,
		ObjectiveLeft: sm.objective - waited, TimeLeft: limit,
	}})
}

// send runs a request at its upstream and releases the permit when it ends.
func (sm *simulation) send(cmd permit.IssueCmd) {
	id := cmd.Permit.Upstream
	sm.permitted[cmd.Permit.Ticket] = true
	sm.running[id]++
	sm.maxRunning[id] = max(sm.maxRunning[id], sm.running[id])
	sm.sentPerSecond[id][int64(sm.now)/int64(time.Second)]++
	took := time.Duration(float64(sm.latency[id]) * math.Exp(0.5*sm.rng.NormFloat64()-0.125))
	if sm.timeAt != nil {
		took = sm.timeAt(id, cmd.Permit.Ticket)
	}
	outcome := permit.Answered
	if timeLeft := cmd.Ask.TimeLeft - cmd.Waited; took > timeLeft {
		// An upstream stops work when the request's time has run out.
		took, outcome = timeLeft, permit.TimedOut
	}
	if sm.rng.Float64() < sm.refusing {
		took, outcome = 2*time.Millisecond, permit.Refused
	}
	sm.schedule(took, func() {
		sm.running[id]--
		if sm.onEnd != nil {
			sm.onEnd(cmd.Permit.Ticket, outcome, took)
		}
		latency := sm.now.Sub(sm.startedAt[cmd.Permit.Ticket])
		switch {
		case outcome == permit.Refused:
			sm.failed++
			sm.refusedByUpstream++
		case outcome == permit.TimedOut:
			sm.failed++
		case latency <= sm.objective:
			sm.inTime++
		case latency <= sm.limit:
			sm.late++
		}
		percent := 0
		if sm.percentAt != nil {
			percent = sm.percentAt(id)
		}
		sm.update(permit.DoneMsg{Done: protocol.Done{
			Host: cmd.Host, Ticket: cmd.Permit.Ticket, Service: service, Upstream: id, Outcome: uint8(outcome), Took: took,
			Reported: true, Running: sm.running[id] + 1, LatencyPercent: percent,
		}})
	})
}

// runLoad sends requests at a mean rate and waits for their ends. The fraction
// hotKeyShare of them is for one key.
func (sm *simulation) runLoad(perSecond float64, duration time.Duration, hotKeyShare float64) {
	for at := time.Duration(0); at < duration; at += time.Duration(sm.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		sm.schedule(at, func() {
			key := keyspace.Key(sm.rng.Intn(keyspace.Count))
			if sm.rng.Float64() < hotKeyShare {
				key = 7
			}
			sm.ask(key, 0)
		})
	}
	sm.advance(duration + 3*time.Second)
}

// repeat returns count times the same latency.
func repeat(count int, latency time.Duration) []time.Duration {
	times := make([]time.Duration, count)
	for ix := range times {
		times[ix] = latency
	}
	return times
}

// TestAnswersInTimeUnderLoad checks at the loads of the busiest days, overload
// included, that enough requests meet their objective and that no upstream runs
// more requests than it has slots.
func TestAnswersInTimeUnderLoad(t *testing.T) {
	const latency = 200 * time.Millisecond
	cases := map[string]struct {
		keyed       bool
		latencies   []time.Duration
		perSecond   float64
		hotKeyShare float64
		refusing    float64
		// minInTime is the minimum fraction of requests that meet their objective, of those
		// that no upstream refuses.
		minInTime float64
	}{
		"half of the capacity":                   {false, repeat(10, latency), 50, 0, 0, 0.95},
		"85 percent of the capacity":             {false, repeat(10, latency), 85, 0, 0, 0.85},
		"twice the capacity":                     {false, repeat(10, latency), 200, 0, 0, 0.35},
		"two upstreams ten times slower":         {false, append(repeat(8, latency), 10*latency, 10*latency), 40, 0, 0, 0.9},
		"keyed, a third of the capacity":         {true, repeat(10, latency), 33, 0, 0, 0.9},
		"keyed, one owner at 2.5 times capacity": {true, repeat(10, latency), 40, 0.6, 0, 0.45},
		"upstreams refuse half":                  {false, repeat(10, latency), 50, 0, 0.5, 0.95},
		"keyed, upstreams refuse half":           {true, repeat(10, latency), 33, 0, 0.5, 0.9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(1, tc.keyed, tc.latencies...)
			sm.refusing = tc.refusing
			sm.runLoad(tc.perSecond, 30*time.Second, tc.hotKeyShare)
			t.Logf("%d asked, %d in time, %d late, %d refused", sm.asked, sm.inTime, sm.late, sm.refused)
			gm.Expect(float64(sm.inTime)).To(BeNumerically(">=", tc.minInTime*float64(sm.asked-sm.refusedByUpstream)), "%d asked, %d in time, %d late, %d refused, %d failed", sm.asked, sm.inTime, sm.late, sm.refused, sm.failed)
			for id, most := range sm.maxRunning {
				gm.Expect(most).To(BeNumerically("<=", 2), "concurrent requests at %s", id)
			}
			gm.Expect(sm.asked).To(Equal(sm.inTime+sm.late+sm.refused+sm.failed), "every request ends once")
			// A refused request must not have waited until near its deadline.
			gm.Expect(sm.longestRefusedWait).To(BeNumerically("<", objective+200*time.Millisecond))
		})
	}
}

// TestReportIncludesItsOwnRequest checks that a free slot does not count as busy
// because of the upstream's load report, which still includes the request that
// it came with.
func TestReportIncludesItsOwnRequest(t *testing.T) {
	gm := NewWithT(t)
	sm := newSimulation(1, true, 200*time.Millisecond)
	sm.ask(7, 0)
	sm.advance(2 * time.Second)
	sm.ask(7, 0)
	sm.ask(7, 0)
	gm.Expect(sm.running["u0"]).To(Equal(2))
}

// TestColdUpstreamRateIsLimited checks that a cold upstream gets no more requests
// than the service's cold rate allows.
func TestColdUpstreamRateIsLimited(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "any": false} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(1, keyed, repeat(3, 50*time.Millisecond)...)
			sm.update(sm.upstreamsMsg(1))
			sm.runLoad(100, 5*time.Second, 0)
			for second, count := range sm.sentPerSecond["u0"] {
				gm.Expect(count).To(BeNumerically("<=", 4), "second %d", second)
			}
		})
	}
}

// TestRepeatedAskGetsSamePermit checks that an ask received twice gets one permit.
func TestRepeatedAskGetsSamePermit(t *testing.T) {
	gm := NewWithT(t)
	sm := newSimulation(1, true, time.Second)
	ask := protocol.Ask{Host: "a", Ticket: 1, Service: service, Key: 7, Keyed: true, ObjectiveLeft: 5 * time.Second, TimeLeft: 9 * time.Second}
	first := sm.core.Update(sm.now, permit.AskMsg{Ask: ask})
	second := sm.core.Update(sm.now, permit.AskMsg{Ask: ask})
	gm.Expect(first).To(HaveLen(1))
	gm.Expect(second).To(HaveLen(1))
	gm.Expect(second[0].(permit.IssueCmd).Permit).To(Equal(first[0].(permit.IssueCmd).Permit))
}

// TestWaitingAskOfStoppingHost guards against asks that wait for longer than their host can still
// answer them, since it has begun to stop after it asked.
func TestWaitingAskOfStoppingHost(t *testing.T) {
	const work = 500 * time.Millisecond
	cases := map[string]struct {
		// timeLeft is what the repeated ask says after a second.
		timeLeft time.Duration
		// earliest and latest are how long after that the ask is refused; 0 for not within its own
		// time limit.
		earliest, latest time.Duration
	}{
		"the host stops":                      {timeLeft: 3 * time.Second, earliest: 3*time.Second - work, latest: 3 * time.Second},
		"it stops at once":                    {timeLeft: 0, latest: time.Millisecond},
		"its message was fast":                {timeLeft: 8*time.Second - 20*time.Millisecond},
		"its message was slow":                {timeLeft: 8*time.Second + 20*time.Millisecond},
		"its time left can't become more now": {timeLeft: time.Minute},
	}
	for name, tc := range cases {
		for _, keyed := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", keyed ", keyed), func(t *testing.T) {
				gm := NewWithT(t)
				sm := newSimulation(1, keyed, work)
				ask := protocol.Ask{Host: "a", Service: service, Key: 7, Keyed: keyed, ObjectiveLeft: 9 * time.Second, TimeLeft: 9 * time.Second}
				// All slots are in use, without an end.
				for ask.Ticket = 1; ask.Ticket <= 2; ask.Ticket++ {
					sm.core.Update(sm.now, permit.AskMsg{Ask: ask})
				}
				sm.core.Update(sm.now, permit.DoneMsg{Done: protocol.Done{Host: "a", Ticket: 1, Service: service, Upstream: upstreamName(0), Outcome: uint8(permit.Answered), Took: work}})
				sm.core.Update(sm.now, permit.AskMsg{Ask: ask})
				ask.Ticket++
				gm.Expect(sm.core.Update(sm.now, permit.AskMsg{Ask: ask})).To(ConsistOf(BeAssignableToTypeOf(permit.QueuedCmd{})))
				sm.now = sm.now.Add(time.Second)
				ask.TimeLeft = tc.timeLeft
				gm.Expect(sm.core.Update(sm.now, permit.AskMsg{Ask: ask})).To(ConsistOf(BeAssignableToTypeOf(permit.QueuedCmd{})))
				repeatedAt, refusedAfter := sm.now, time.Duration(0)
				for refusedAfter == 0 && sm.now.Sub(repeatedAt) < 7*time.Second {
					sm.now = max(sm.core.Next(sm.now), sm.now.Add(time.Millisecond))
					for _, cmd := range sm.core.Update(sm.now, permit.TickMsg{}) {
						if rc, isRefusal := cmd.(permit.RefuseCmd); isRefusal {
							gm.Expect(rc.Refusal.Ticket).To(Equal(ask.Ticket))
							refusedAfter = sm.now.Sub(repeatedAt)
						}
					}
				}
				gm.Expect(refusedAfter).To(And(BeNumerically(">=", tc.earliest), BeNumerically("<=", tc.latest)))
			})
		}
	}
}

// TestMovingKeyWaitsForNextOwner checks that an owner that is losing a key gets
// no more requests for it, and that the next owner gets them after the move.
func TestMovingKeyWaitsForNextOwner(t *testing.T) {
	gm := NewWithT(t)
	sm := newSimulation(1, true, repeat(2, 100*time.Millisecond)...)
	ms := sm.upstreamsMsg(0)
	ms.Table.Shares[0].Next = assignment.Claim{Upstream: "u1", Epoch: 9}
	sm.update(ms)
	sm.ask(7, 0)
	sm.advance(100 * time.Millisecond)
	gm.Expect(sm.running).NotTo(HaveKeyWithValue(ident.Upstream("u0"), 1))
	ms.Table.Shares[0].Owner, ms.Table.Shares[0].Next = ms.Table.Shares[0].Next, assignment.Claim{}
	sm.update(ms)
	gm.Expect(sm.running["u1"]).To(Equal(1))
}

// TestLateRequestWaitsForOwner sends a request that can no longer meet its objective for
// a key without an owner at that moment. Its answer is still of use, so it must reach the
// idle owner that the key has soon.
func TestLateRequestWaitsForOwner(t *testing.T) {
	for name, tc := range map[string]struct {
		// hold keeps the key from its owner, which has it again after a while.
		hold  func(sm *simulation) (release func())
		after time.Duration
	}{
		"the key moves": {func(sm *simulation) func() {
			ms := sm.upstreamsMsg(0)
			ms.Table.Shares[0].Next = assignment.Claim{Upstream: "u1", Epoch: 9}
			sm.update(ms)
			return func() {
				ms.Table.Shares[0].Owner, ms.Table.Shares[0].Next = ms.Table.Shares[0].Next, assignment.Claim{}
				sm.update(ms)
			}
		}, 400 * time.Millisecond},
		"the owner did not know that it has the key": {func(sm *simulation) func() {
			sm.ask(7, 0)
			sm.update(permit.DoneMsg{Done: protocol.Done{Host: "a", Ticket: sm.ticket, Service: service, Upstream: "u0", Outcome: uint8(permit.Disowned)}})
			return func() {}
		}, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(1, true, 200*time.Millisecond, 200*time.Millisecond)
			release := tc.hold(sm)
			sm.ask(7, objective-50*time.Millisecond)
			sm.advance(tc.after)
			release()
			sm.advance(tc.after)
			gm.Expect(sm.refused).To(BeZero())
			gm.Expect(sm.sentPerSecond["u0"][3600] + sm.sentPerSecond["u1"][3600]).To(BeNumerically(">=", 1))
		})
	}
}

// TestKeyOnALongMove sends requests for a key whose move takes longer than most. As soon
// as that shows, they are refused at once and told to come back later, rather than wait
// for nothing.
func TestKeyOnALongMove(t *testing.T) {
	for name, tc := range map[string]struct {
		elapsed       time.Duration
		refused       bool
		minRetryAfter time.Duration
	}{
		"just begun": {50 * time.Millisecond, false, 0},
		"as long as a write takes whose answer is lost": {700 * time.Millisecond, false, 0},
		"more than a second ago":                        {1200 * time.Millisecond, true, 500 * time.Millisecond},
		"from an unreachable owner":                     {10 * time.Second, true, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(1, true, 200*time.Millisecond, 200*time.Millisecond)
			ms := sm.upstreamsMsg(0)
			ms.Table.Shares[0].Next = assignment.Claim{Upstream: "u1", Epoch: 9}
			sm.update(ms)
			sm.advance(tc.elapsed / 2)
			// The table changes elsewhere while the key moves.
			sm.update(permit.TableMsg{Table: ms.Table})
			sm.advance(tc.elapsed / 2)
			cmds := sm.core.Update(sm.now, permit.AskMsg{Ask: protocol.Ask{
				Host: "a", Ticket: 1, Service: service, Key: 7, Keyed: true, ObjectiveLeft: objective, TimeLeft: limit,
			}})
			gm.Expect(cmds).To(HaveLen(1))
			refusal, refused := cmds[0].(permit.RefuseCmd)
			gm.Expect(refused).To(Equal(tc.refused))
			gm.Expect(refusal.Refusal.RetryAfter).To(BeNumerically(">=", tc.minRetryAfter))
		})
	}
}

// TestPermitsOfLostHostExpire checks that permits that are never released free
// their slots after the request's deadline.
func TestPermitsOfLostHostExpire(t *testing.T) {
	gm := NewWithT(t)
	co := permit.New()
	sm := newSimulation(1, true, time.Second)
	now := sm.now
	co.Update(now, sm.upstreamsMsg(0))
	ask := protocol.Ask{Host: "a", Service: service, Key: 7, Keyed: true, ObjectiveLeft: objective, TimeLeft: limit}
	for ask.Ticket = 1; ask.Ticket <= 2; ask.Ticket++ {
		gm.Expect(co.Update(now, permit.AskMsg{Ask: ask})).To(HaveLen(1))
	}
	now = now.Add(limit + time.Second)
	co.Update(now, permit.TickMsg{})
	ask.Ticket = 3
	gm.Expect(co.Update(now, permit.AskMsg{Ask: ask})[0]).To(BeAssignableToTypeOf(permit.IssueCmd{}))
}

// TestFallbackHoldersSkipColdUpstreams checks that fallback holders send nothing
// to a cold upstream. In an incident half of the hosts lost the holder of a
// service at once and issued permits themselves; together they must not exceed
// a cold upstream's limit.
func TestFallbackHoldersSkipColdUpstreams(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "any": false} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			cold, warm := 0, 0
			for range 70 {
				sm := newSimulation(1, keyed, repeat(3, 50*time.Millisecond)...)
				sm.update(sm.upstreamsMsg(1))
				for _, key := range []keyspace.Key{7, 60000} {
					sm.update(permit.AskMsg{Ask: protocol.Ask{
						Host: "a", Ticket: protocol.Ticket(key), Service: service, Domain: "d0", Key: key, Keyed: keyed, Fallback: true,
						Repeatable: true, ObjectiveLeft: objective, TimeLeft: limit,
					}})
				}
				sm.advance(time.Second)
				for _, count := range sm.sentPerSecond["u0"] {
					cold += count
				}
				for _, id := range []ident.Upstream{"u1", "u2"} {
					for _, count := range sm.sentPerSecond[id] {
						warm += count
					}
				}
			}
			gm.Expect(cold).To(BeZero())
			gm.Expect(warm).To(BeNumerically(">", 0))
		})
	}
}

// BenchmarkAsk measures the holder's cost of one request to a service of 321
// upstreams.
func BenchmarkAsk(b *testing.B) {
	for name, keyed := range map[string]bool{"keyed": true, "any": false} {
		b.Run(name, func(b *testing.B) {
			sm := newSimulation(1, keyed, repeat(321, 200*time.Millisecond)...)
			for range 300 {
				sm.ask(keyspace.Key(sm.rng.Intn(keyspace.Count)), 0)
			}
			b.ReportAllocs()
			for ticket := protocol.Ticket(1 << 20); b.Loop(); ticket++ {
				ask := protocol.Ask{Host: "b", Ticket: ticket, Service: service, Key: keyspace.Key(ticket * 977), Keyed: keyed, ObjectiveLeft: objective, TimeLeft: limit, Repeatable: true}
				sm.core.Update(sm.now, permit.AskMsg{Ask: ask})
				sm.core.Update(sm.now, permit.DoneMsg{Done: protocol.Done{Host: "b", Ticket: ticket, Service: service, Outcome: uint8(permit.Answered), Took: time.Millisecond}})
			}
		})
	}
}
