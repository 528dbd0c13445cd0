package permit_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

const (
	hotKeys       = 1000
	hotOwners     = 20
	hotSlots      = 4
	hotLatency    = 200 * time.Millisecond
	hotTimeLimit  = 2500 * time.Millisecond
	hotStart      = 3 * time.Second
	hotDuration   = 40 * time.Second
	hotPerSecond  = 400.0
	coldPerSecond = 0.4 * hotOwners * hotSlots / 0.2
	hotKey        = keyspace.Key(7)
	// holderTimeout is how long hosts wait for a holder before they ask another one.
	holderTimeout = 120 * time.Millisecond
	// atOnce is how long a refusal may take.
	atOnce = 5 * time.Millisecond
	// refusedTwiceBefore is how many callers of the load were refused twice when all were told to come
	// back at once.
	refusedTwiceBefore = 15341
)

// hotCaller is a caller of the load and what has become of its request.
type hotCaller struct {
	key         keyspace.Key
	domain      int
	fingerprint ident.Fingerprint
	startedAt   clock.Instant
	attempts    int
	refusals    int
	served      bool
	inTime      bool
}

// hotLoad is a load of which many requests are for one key.
type hotLoad struct {
	*simulation
	arrivals *rand.Rand
	callers  map[protocol.Ticket]*hotCaller
	all      []*hotCaller
	// capped callers wait at most for a third of the time that they have left.
	capped bool
	// busy is how long slots of the hot key's owner were in use.
	busy time.Duration
	// unanswered holds the tickets of the asks that have neither a permit nor a refusal.
	unanswered map[protocol.Ticket]protocol.Ask
	// longestWait is the longest wait that ended in the refusal of a request for the hot key.
	longestWait time.Duration
}

func newHotLoad(capped bool) *hotLoad {
	hl := &hotLoad{
		simulation: newSimulation(3, true, repeat(hotOwners, hotLatency)...), arrivals: rand.New(rand.NewSource(4)),
		callers: map[protocol.Ticket]*hotCaller{}, capped: capped, unanswered: map[protocol.Ticket]protocol.Ask{},
	}
	hl.slots = hotSlots
	hl.update(hl.upstreamsMsg(0))
	hl.onRefused, hl.onEnd = hl.refuse, hl.end
	return hl
}

// call sends a caller's request through one of the hosts of its domain.
func (hl *hotLoad) call(cr *hotCaller) {
	waited := hl.now.Sub(cr.startedAt)
	hl.ticket++
	hl.asked++
	cr.attempts++
	hl.callers[hl.ticket], hl.startedAt[hl.ticket] = cr, cr.startedAt
	domain := ident.Domain(fmt.Sprintf("d%d", cr.domain))
	ask := protocol.Ask{
		Host: ident.Host(fmt.Sprintf("%s-%d", domain, int(hl.ticket)%10)), Ticket: hl.ticket, Service: service, Domain: domain,
		Key: cr.key, Keyed: true, Repeatable: true, ObjectiveLeft: objective - waited, TimeLeft: hotTimeLimit - waited, Fingerprint: cr.fingerprint,
	}
	hl.unanswered[hl.ticket] = ask
	hl.update(permit.AskMsg{Ask: ask})
}

// replaceHolder lets another holder take over that knows nothing. Hosts notice after a while, and ask it
// for the permits that they wait for.
func (hl *hotLoad) replaceHolder() {
	hl.core = permit.New()
	hl.update(permit.ConfirmedMsg{Until: clock.Never})
	hl.update(hl.upstreamsMsg(0))
	for ticket := range hl.ticket + 1 {
		ask, waits := hl.unanswered[ticket]
		if !waits || hl.permitted[ticket] {
			continue
		}
		hl.schedule(holderTimeout, func() {
			ask.ObjectiveLeft, ask.TimeLeft = ask.ObjectiveLeft-holderTimeout, ask.TimeLeft-holderTimeout
			hl.update(permit.AskMsg{Ask: ask})
		})
	}
}

// moveHotKey moves the keys of the hot key's owner to one that has just joined.
func (hl *hotLoad) moveHotKey(took time.Duration) {
	ms := hl.upstreamsMsg(0)
	next := upstreamName(hotOwners)
	ms.Upstreams = append(ms.Upstreams, permit.Upstream{ID: next, Service: service, Domain: "d0", Slots: hotSlots})
	hl.latency[next], hl.sentPerSecond[next] = hotLatency, map[int64]int{}
	sh := &ms.Table.Shares[hl.owner(hotKey)]
	sh.Next = assignment.Claim{Upstream: next, Epoch: 99}
	hl.update(ms)
	hl.schedule(took, func() {
		sh.Owner, sh.Next = sh.Next, assignment.Claim{}
		hl.update(ms)
	})
}

func (hl *hotLoad) refuse(cmd permit.RefuseCmd) {
	cr := hl.callers[cmd.Ask.Ticket]
	delete(hl.unanswered, cmd.Ask.Ticket)
	cr.refusals++
	if cr.key == hotKey {
		hl.longestWait = max(hl.longestWait, cmd.Waited)
	}
	after, left := cmd.Refusal.RetryAfter, hotTimeLimit-hl.now.Sub(cr.startedAt)
	if hl.capped {
		after = min(after, left/3)
	}
	if cr.attempts < 2 && after < left {
		hl.schedule(after+2*time.Millisecond, func() { hl.call(cr) })
	}
}

func (hl *hotLoad) end(ticket protocol.Ticket, outcome permit.Outcome, took time.Duration) {
	cr := hl.callers[ticket]
	delete(hl.unanswered, ticket)
	cr.served = outcome == permit.Answered
	cr.inTime = cr.served && hl.now.Sub(cr.startedAt) <= objective
	if hl.owner(cr.key) == hl.owner(hotKey) && hl.now > hl.hotFrom() && hl.now <= hl.hotFrom().Add(hotDuration) {
		hl.busy += took
	}
}

// hotFrom is when the load of the hot key has lasted for a second.
func (hl *hotLoad) hotFrom() clock.Instant {
	return clock.Instant(time.Hour).Add(hotStart + time.Second)
}

func (hl *hotLoad) owner(key keyspace.Key) int { return int(key) * hotOwners / keyspace.Count }

// run sends the load and waits for its end. Of the requests for the hot key six in ten come from one
// domain and one in ten from another.
func (hl *hotLoad) run(perSecond float64) {
	send := func(from, to time.Duration, perSecond float64, key func() keyspace.Key, domain func() int) {
		for at := from; at < to; at += time.Duration(hl.arrivals.ExpFloat64() / perSecond * float64(time.Second)) {
			cr := &hotCaller{key: key(), domain: domain(), fingerprint: ident.Fingerprint(len(hl.all) + 1)}
			hl.all = append(hl.all, cr)
			hl.schedule(at, func() {
				cr.startedAt = hl.now
				hl.call(cr)
			})
		}
	}
	total := hotStart + time.Second + hotDuration
	anyKey := func() keyspace.Key { return keyspace.Key(7 + (1+hl.arrivals.Intn(hotKeys-1))*(keyspace.Count/hotKeys)) }
	send(0, total, coldPerSecond, anyKey, func() int { return hl.arrivals.Intn(3) })
	if perSecond > 0 {
		send(hotStart, total, perSecond, func() keyspace.Key { return hotKey }, func() int { return [...]int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[hl.arrivals.Intn(10)] })
	}
	hl.advance(total + 5*time.Second)
}

// share returns the fraction of callers that has a property.
func share(callers []*hotCaller, has func(*hotCaller) bool) float64 {
	count := 0
	for _, cr := range callers {
		if has(cr) {
			count++
		}
	}
	return float64(count) / float64(max(len(callers), 1))
}

func (hl *hotLoad) selected(chosen func(*hotCaller) bool) []*hotCaller {
	var list []*hotCaller
	for _, cr := range hl.all {
		if cr.startedAt >= hl.hotFrom() && chosen(cr) {
			list = append(list, cr)
		}
	}
	return list
}

// TestKeyBeyondItsOwner guards against a key that asks for twenty times what its owner can run and
// takes from the other keys of that owner, whose callers wait before they are refused or come back
// for nothing, and of which one domain takes all.
func TestKeyBeyondItsOwner(t *testing.T) {
	calm := newHotLoad(false)
	calm.run(0)
	for name, tc := range map[string]struct {
		capped bool
		// maxRefusedTwice is the most callers refused twice, as a fraction of refusedTwiceBefore. Those who
		// come back although there is no room for them are refused.
		maxRefusedTwice float64
	}{
		"callers wait as long as told":       {false, 0.1},
		"callers wait a third of their time": {true, 1.05},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			hl := newHotLoad(tc.capped)
			hl.run(hotPerSecond)
			hot := hl.selected(func(cr *hotCaller) bool { return cr.key == hotKey })
			neighbour := func(cr *hotCaller) bool { return cr.key != hotKey && hl.owner(cr.key) == hl.owner(hotKey) }
			served := func(cr *hotCaller) bool { return cr.served }
			inTime := func(cr *hotCaller) bool { return cr.inTime }
			refusedTwice := int(share(hot, func(cr *hotCaller) bool { return cr.refusals > 1 }) * float64(len(hot)))
			t.Logf("of %d: served %.4f, in time %.4f, refused twice %d, longest wait %v, slots used %.3f", len(hot), share(hot, served), share(hot, inTime), refusedTwice, hl.longestWait, hl.busy.Seconds()/(hotSlots*hotDuration.Seconds()))
			t.Logf("neighbours: served %.3f, in time %.3f; without the hot key %.3f, %.3f", share(hl.selected(neighbour), served), share(hl.selected(neighbour), inTime), share(calm.selected(neighbour), served), share(calm.selected(neighbour), inTime))
			gm.Expect(hl.busy.Seconds()).To(BeNumerically(">=", 0.95*hotSlots*hotDuration.Seconds()), "slots in use")
			gm.Expect(share(hl.selected(neighbour), served)).To(BeNumerically(">=", share(calm.selected(neighbour), served)-0.01))
			gm.Expect(share(hl.selected(neighbour), inTime)).To(BeNumerically(">=", share(calm.selected(neighbour), inTime)-0.02))
			gm.Expect(hl.longestWait).To(BeNumerically("<=", atOnce))
			gm.Expect(float64(refusedTwice)).To(BeNumerically("<=", tc.maxRefusedTwice*refusedTwiceBefore))
			servedHot := share(hot, served) * float64(len(hot))
			for domain := range 3 {
				of := hl.selected(func(cr *hotCaller) bool { return cr.key == hotKey && cr.domain == domain && cr.served })
				t.Logf("domain %d: %.3f of the requests served", domain, float64(len(of))/servedHot)
				gm.Expect(float64(len(of))).To(BeNumerically(">=", 0.75*servedHot/3), "domain %d", domain)
			}
		})
	}
}

// TestHotKeyDisturbed guards against callers of a hot key who wait for nothing, and neighbours that lose
// their place, when the holder of its permits is killed or the key moves.
func TestHotKeyDisturbed(t *testing.T) {
	for name, disturb := range map[string]func(*hotLoad){
		"the holder is killed":      (*hotLoad).replaceHolder,
		"the key moves at once":     func(hl *hotLoad) { hl.moveHotKey(100 * time.Millisecond) },
		"the key moves for a while": func(hl *hotLoad) { hl.moveHotKey(800 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			run := func(perSecond float64) (hl *hotLoad, neighbours float64, hot []*hotCaller) {
				hl = newHotLoad(false)
				hl.schedule(hotStart+10*time.Second, func() { disturb(hl) })
				hl.run(perSecond)
				after := func(cr *hotCaller) bool { return cr.startedAt > clock.Instant(time.Hour).Add(hotStart+12*time.Second) }
				neighbour := func(cr *hotCaller) bool { return after(cr) && cr.key != hotKey && hl.owner(cr.key) == hl.owner(hotKey) }
				return hl, share(hl.selected(neighbour), func(cr *hotCaller) bool { return cr.served }), hl.selected(func(cr *hotCaller) bool { return after(cr) && cr.key == hotKey })
			}
			_, neighboursBefore, _ := run(0)
			hl, neighbours, hot := run(hotPerSecond)
			t.Logf("neighbours served: %.3f, without the hot key %.3f", neighbours, neighboursBefore)
			gm.Expect(hl.longestWait).To(BeNumerically("<=", atOnce))
			gm.Expect(neighbours).To(BeNumerically(">=", neighboursBefore-0.01))
			gm.Expect(share(hot, func(cr *hotCaller) bool { return cr.served })).To(BeNumerically(">", 0))
			gm.Expect(share(hot, func(cr *hotCaller) bool { return cr.refusals > 1 })).To(BeNumerically("<=", 0.1))
			for id, most := range hl.maxRunning {
				gm.Expect(most).To(BeNumerically("<=", 2*hotSlots), "concurrent requests at %s", id)
			}
		})
	}
}
