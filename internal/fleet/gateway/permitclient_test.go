package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/quarantine"
)

// TestFallbackHolderIsReported checks that an ask to any holder other than the
// common choice of all hosts is marked as a fallback: when the network fails,
// each host skips other holders, and the fallbacks together would overload a cold
// upstream.
func TestFallbackHolderIsReported(t *testing.T) {
	const now = clock.Instant(time.Hour)
	members := func(count int) []assignment.Member {
		var list []assignment.Member
		for ix := range count {
			list = append(list, assignment.Member{Host: ident.Host(fmt.Sprint("h", ix)), Address: fmt.Sprintf("10.0.0.%d:1", ix+1), Fitness: 20, Alive: true})
		}
		return list
	}
	const service = ident.Service("files")
	cases := map[string]struct {
		members int
		// suspect and skipped exclude the common choice on this host only, dead on all.
		suspect, skipped, dead bool
		fallback               bool
	}{
		"first choice":                            {members: 5},
		"first choice is dead for all hosts":      {members: 5, dead: true},
		"first choice was silent for this ask":    {members: 5, skipped: true, fallback: true},
		"first choice was silent for another ask": {members: 5, suspect: true, fallback: true},
		"no members are known":                    {fallback: true},
		"only member was silent":                  {members: 1, suspect: true, fallback: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			gw := &Gateway{self: assignment.Member{Host: "self"}}
			tb := &assignment.Table{Members: members(tc.members)}
			gw.table.Store(tb)
			gw.permitClient = newPermitClient(gw)
			pa := &pendingAcquire{ask: protocol.Ask{Service: service}}
			first, _, fallback := gw.permitClient.chooseHolder(now, pa)
			gm.Expect(fallback).To(Equal(tc.members == 0))
			if tc.suspect {
				gw.permitClient.suspectUntil[first] = now.Add(time.Second)
			}
			if tc.skipped {
				pa.skipped = []ident.Host{first}
			}
			// A table in force does not change; another takes its place.
			next := tb.Clone()
			for ix := range next.Members {
				next.Members[ix].Alive = !tc.dead || next.Members[ix].Host != first
			}
			gw.table.Store(next)
			host, _, fallback := gw.permitClient.chooseHolder(now, pa)
			gm.Expect(fallback).To(Equal(tc.fallback))
			if tc.members > 1 && (tc.suspect || tc.skipped || tc.dead) {
				gm.Expect(host).NotTo(Equal(first))
			}
		})
	}
}

// TestHoldsPool guards against two holders that both count the requests to a limited upstream,
// since hosts know different assignments or upstreams.
func TestHoldsPool(t *testing.T) {
	const service = ident.Service("files")
	cases := map[string]struct {
		// known is how many upstreams the holder knows; the other host knows 40 and so divides
		// them into two pools.
		known int
		// lost means that the holder's assignment says that it is not alive.
		lost bool
		want bool
	}{
		"both know the same":              {known: 40, want: true},
		"the holder knows fewer":          {known: 30},
		"the holder knows that it is not": {known: 40, lost: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			members := []assignment.Member{{Host: "self", Fitness: 20, Alive: true}}
			gw := &Gateway{self: members[0], upstreamCount: map[ident.Service]int{service: tc.known}}
			gw.permitClient = newPermitClient(gw)
			gw.table.Store(&assignment.Table{Members: members})
			ask := protocol.Ask{Service: service, Pool: 1, Pools: 2}
			gw.permitClient.holdsPool(ask)
			if tc.lost {
				gw.table.Store(&assignment.Table{Members: []assignment.Member{{Host: "self", Fitness: 20}, {Host: "other", Fitness: 20, Alive: true}}})
			}
			gm.Expect(gw.permitClient.holdsPool(ask)).To(Equal(tc.want))
		})
	}
}

// TestCallerLeavesAfterUnusablePermit guards against permits that nobody releases: their caller has
// left while the host asked again, under another ticket, since the first one could not be used.
func TestCallerLeavesAfterUnusablePermit(t *testing.T) {
	gm := NewWithT(t)
	gw := &Gateway{self: assignment.Member{Host: "self"}}
	gw.table.Store(&assignment.Table{})
	gw.permitClient = newPermitClient(gw)
	pc := &gw.permitClient
	first := protocol.Ticket(pc.lastTicket.Add(1))
	pa := &pendingAcquire{ask: protocol.Ask{Ticket: first, Service: "files"}, reply: make(chan acquireResult, 1), holder: "other"}
	pc.pending[pa.ask.Ticket] = pa
	pc.releaseAndRetry(clock.Instant(time.Hour), pa, protocol.Permit{Ticket: first, Upstream: "i-leaving"})
	gm.Expect(pc.pending).To(HaveLen(1))
	gm.Expect(pc.pending).NotTo(HaveKey(first))
	pc.withdraw(withdrawEvent{pa.reply})
	gm.Expect(pc.pending).To(BeEmpty())
}

// TestPermitsAtTheEndOfAStop guards against a request that is sent to an upstream although its caller
// was told that it is refused, and against permits that nobody gives back, at the time when a stopping
// host ends its requests.
func TestPermitsAtTheEndOfAStop(t *testing.T) {
	const endsAt = clock.Instant(time.Hour)
	cases := map[string]struct {
		// deadline is that of the request.
		deadline clock.Instant
		// at is when the client looks at what is due.
		at     clock.Instant
		reason string
	}{
		"before the end":              {deadline: endsAt.Add(time.Second), at: endsAt},
		"after it":                    {deadline: endsAt.Add(time.Second), at: endsAt.Add(time.Millisecond), reason: "stopping"},
		"its own time was over first": {deadline: endsAt.Add(-time.Second), at: endsAt.Add(time.Millisecond), reason: "noAnswerFromHolder"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			socket, err := net.ListenUDP("udp", nil)
			gm.Expect(err).NotTo(HaveOccurred())
			defer func() { gm.Expect(socket.Close()).To(Succeed()) }()
			gw := &Gateway{self: assignment.Member{Host: "self"}, socket: socket}
			gw.table.Store(&assignment.Table{Members: []assignment.Member{{Host: "other", Address: "127.0.0.1:9", Alive: true}}})
			gw.permitClient = newPermitClient(gw)
			pc := &gw.permitClient
			gw.handle(stopEvent{endsAt})
			pa := &pendingAcquire{ask: protocol.Ask{Ticket: 7, Service: "files"}, reply: make(chan acquireResult, 1), holder: "other", address: "127.0.0.1:9", deadline: tc.deadline}
			pc.pending[7] = pa
			pc.tick(tc.at)
			if tc.reason == "" {
				gm.Expect(pa.ask.TimeLeft).To(Equal(endsAt.Sub(tc.at)))
				gm.Expect(pa.reply).NotTo(Receive())
				return
			}
			var rs acquireResult
			gm.Expect(pa.reply).To(Receive(&rs))
			gm.Expect(rs.refusal).To(HaveField("Reason", tc.reason))
			// The permit was on its way.
			pc.handlePermit(tc.at, "127.0.0.1:9", protocol.Permit{Ticket: 7, Upstream: "i-files", Asker: gw.process()})
			gm.Expect(pa.reply).NotTo(Receive())
			gm.Expect(pc.held).To(BeEmpty())
			gm.Expect(pc.releases).To(HaveLen(1))
		})
	}
}

// TestSilentHolder guards against all asks of a host that wait for a holder which it does not reach,
// each time that it is tried again, and against one that is skipped once it answers.
func TestSilentHolder(t *testing.T) {
	const service = ident.Service("files")
	cases := map[string]struct {
		// replies means that the holder answers the ask that finds out.
		replies bool
		// cutOffFor is how long this host hears nothing of the leader before it hears it again.
		cutOffFor time.Duration
		want      bool
	}{
		"is still silent":       {},
		"answers":               {replies: true, want: true},
		"this host was cut off": {cutOffFor: 3 * time.Second, want: true},
		"the leader was heard a short time before": {cutOffFor: 400 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			socket, err := net.ListenUDP("udp", nil)
			gm.Expect(err).NotTo(HaveOccurred())
			defer func() { gm.Expect(socket.Close()).To(Succeed()) }()
			gw := &Gateway{self: assignment.Member{Host: "self"}, socket: socket, upstreamCount: map[ident.Service]int{service: 1}, suspects: suspects{core: quarantine.New()}, permits: permit.New()}
			gw.permitClient = newPermitClient(gw)
			pc := &gw.permitClient
			gw.table.Store(&assignment.Table{Members: []assignment.Member{
				{Host: "h0", Address: "127.0.0.1:9", Fitness: 90, Alive: true}, {Host: "h1", Address: "127.0.0.1:9", Fitness: 20, Alive: true},
			}})
			first, _, _ := pc.chooseHolder(0, &pendingAcquire{ask: protocol.Ask{Service: service, Pools: 1}})
			now := clock.Instant(time.Hour)
			pc.noteLeaderHeard(now)
			pc.suspectUntil[first] = now.Add(-time.Millisecond)
			probe := &pendingAcquire{ask: protocol.Ask{Service: service, Ticket: 7}, deadline: now.Add(time.Second), reply: make(chan acquireResult, 1)}
			pc.pending[7] = probe
			pc.tryNextHolder(now, probe)
			gm.Expect(probe.holder).To(Equal(first))
			if tc.replies {
				pc.handleQueued(now, probe.address, protocol.Queued{Ticket: 7})
			}
			if tc.cutOffFor > 0 {
				now = now.Add(tc.cutOffFor)
				pc.suspectUntil[first] = now.Add(time.Second)
				pc.noteLeaderHeard(now)
			}
			other, _, _ := pc.chooseHolder(now, &pendingAcquire{ask: protocol.Ask{Service: service, Pools: 1}})
			gm.Expect(other == first).To(Equal(tc.want))
		})
	}
}

// TestLimitHeldElsewhere guards against callers who are refused as a holder that was cut off takes an
// upstream for cold, though another holder uses it, and against asks that go on from holder to holder.
func TestLimitHeldElsewhere(t *testing.T) {
	gm := NewWithT(t)
	socket, err := net.ListenUDP("udp", nil)
	gm.Expect(err).NotTo(HaveOccurred())
	defer func() { gm.Expect(socket.Close()).To(Succeed()) }()
	gw := &Gateway{self: assignment.Member{Host: "self"}, socket: socket, upstreamCount: map[ident.Service]int{"files": 1}, suspects: suspects{core: quarantine.New()}}
	gw.permitClient = newPermitClient(gw)
	pc := &gw.permitClient
	gw.table.Store(&assignment.Table{Members: []assignment.Member{
		{Host: "h0", Address: "127.0.0.1:9", Fitness: 20, Alive: true}, {Host: "h1", Address: "127.0.0.1:9", Fitness: 20, Alive: true},
	}})
	pa := &pendingAcquire{ask: protocol.Ask{Service: "files", Ticket: 7}, deadline: gw.clock.Now().Add(time.Second), reply: make(chan acquireResult, 1)}
	pc.pending[7] = pa
	pc.tryNextHolder(gw.clock.Now(), pa)
	first := pa.holder
	refusal := protocol.Refusal{Ticket: 7, Reason: permit.LimitHeldElsewhere}
	pc.handleRefusal(pa.address, refusal)
	gm.Expect(pa.holder).NotTo(Equal(first))
	gm.Expect(pa.ask.Fallback).To(BeTrue())
	gm.Expect(pc.pending).To(HaveKey(protocol.Ticket(7)))
	pc.handleRefusal(pa.address, refusal)
	gm.Expect(pc.pending).To(BeEmpty())
}
