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

// TestHolderSaysWhenItIsAFallback asks that an ask to any holder but the one that
// all hosts would choose says so: on a day of cuts each host passes over others,
// and together they would overload a cold upstream.
func TestHolderSaysWhenItIsAFallback(t *testing.T) {
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
		// suspect and passed leave out the holder that all would choose.
		suspect, passed, dead bool
		fallback              bool
	}{
		"the first choice":                     {members: 5},
		"the first choice is dead to all":      {members: 5, dead: true},
		"the first choice was silent just now": {members: 5, passed: true, fallback: true},
		"the first choice was silent before":   {members: 5, suspect: true, fallback: true},
		"no member is known":                   {fallback: true},
		"the only member was silent":           {members: 1, suspect: true, fallback: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			gw := &Gateway{self: assignment.Member{Host: "self"}}
			tb := &assignment.Table{Members: members(tc.members)}
			gw.table.Store(tb)
			gw.asks = newAsks(gw)
			ws := &pendingAsk{ask: protocol.Ask{Service: service}}
			first, _, fallback := gw.asks.holder(now, ws)
			gm.Expect(fallback).To(Equal(tc.members == 0))
			if tc.suspect {
				gw.asks.suspect[first] = now.Add(time.Second)
			}
			if tc.passed {
				ws.passed = []ident.Host{first}
			}
			for ix := range tb.Members {
				tb.Members[ix].Alive = !tc.dead || tb.Members[ix].Host != first
			}
			host, _, fallback := gw.asks.holder(now, ws)
			gm.Expect(fallback).To(Equal(tc.fallback))
			if tc.members > 1 && (tc.suspect || tc.passed || tc.dead) {
				gm.Expect(host).NotTo(Equal(first))
			}
		})
	}
}
