package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
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
