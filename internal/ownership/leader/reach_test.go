package leader_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/peer/protocol"
)

// reachTrial runs a leader with one busy owner, u1, beside another upstream, u2.
type reachTrial struct {
	now  clock.Instant
	core *leader.Core
	// checks holds the times of the checks of u2, which fail unless answers is true.
	checks  []clock.Instant
	answers bool
	// moved counts the moves to u2.
	moved int
}

// newReachTrial starts a leader with an assignment in which u2 owns the last keys or none.
func newReachTrial(owner bool) *reachTrial {
	tb := &assignment.Table{Revision: 1, LastEpoch: 9, Members: []assignment.Member{{Host: "h0", Incarnation: 1, Alive: true}}}
	share := func(id ident.Upstream, rg keyspace.Range, epoch keyspace.Epoch) {
		tb.Shares = append(tb.Shares, assignment.Share{Service: "lookup", Range: rg, Owner: assignment.Claim{Upstream: id, Incarnation: 1, Epoch: epoch}})
	}
	if owner {
		share("u1", keyspace.Range{To: 59999}, 1)
		share("u2", keyspace.Range{From: 60000, To: keyspace.Last}, 2)
	} else {
		share("u1", keyspace.Range{To: keyspace.Last}, 1)
	}
	now := clock.Instant(time.Hour)
	return &reachTrial{now: now, core: leader.New(now, tb, election.Row{}, 0)}
}

func (rt *reachTrial) update(msg any) {
	for _, cmd := range rt.core.Update(rt.now, msg) {
		switch cmd := cmd.(type) {
		case leader.CommitCmd:
			for _, sh := range cmd.Table.Shares {
				if sh.Next.Upstream == "u2" {
					rt.moved++
				}
			}
			rt.update(leader.CommittedMsg{Table: cmd.Table})
		case leader.CheckCmd:
			rt.checks = append(rt.checks, rt.now)
			rt.update(leader.CheckedMsg{Upstream: cmd.Upstream, Incarnation: cmd.Incarnation, Reached: rt.answers})
		}
	}
}

// list tells the leader of both upstreams, with an incarnation of u2.
func (rt *reachTrial) list(incarnation roster.Incarnation) {
	up := func(id ident.Upstream, incarnation roster.Incarnation) leader.Upstream {
		return leader.Upstream{ID: id, Service: "lookup", Slots: 2, Incarnation: incarnation, Usable: true, ColdRate: 2}
	}
	rt.update(leader.UpstreamsMsg{Keyed: map[ident.Service]bool{"lookup": true}, Upstreams: []leader.Upstream{up("u1", 1), up("u2", incarnation)}})
}

// run sends statuses with the load of u1 and with reports.
func (rt *reachTrial) run(span time.Duration, reports ...protocol.UpstreamLoad) {
	for step := range int(span / (10 * time.Millisecond)) {
		rt.now = rt.now.Add(10 * time.Millisecond)
		if step%40 == 0 {
			st := protocol.Status{Member: assignment.Member{Host: "h0", Incarnation: 1, Alive: true}, Revision: rt.core.Table().Revision, Upstreams: reports}
			for ix := range 10 {
				st.Keys = append(st.Keys, protocol.KeyLoad{Service: "lookup", Key: keyspace.Key(5000 * ix), Count: 1})
			}
			rt.update(leader.StatusMsg{Status: st, Follows: true})
		}
		rt.update(leader.TickMsg{})
	}
}

// TestMovesToReachedUpstreams guards against keys that leave a working owner for an upstream
// of which nobody knows that it answers, and against one that answers and gets none.
func TestMovesToReachedUpstreams(t *testing.T) {
	renewed := protocol.UpstreamLoad{Upstream: "u2"}
	cases := map[string]struct {
		owner  bool
		run    func(rt *reachTrial)
		moving bool
	}{
		"an owner without a report":          {true, func(rt *reachTrial) { rt.run(8 * time.Second) }, false},
		"an owner whose renewals work":       {true, func(rt *reachTrial) { rt.run(8*time.Second, renewed) }, true},
		"an owner that has seen a new epoch": {true, func(rt *reachTrial) { rt.run(8*time.Second, protocol.UpstreamLoad{Upstream: "u2", Superseded: true}) }, true},
		"requests that may have timed out": {true, func(rt *reachTrial) {
			rt.run(8*time.Second, protocol.UpstreamLoad{Upstream: "u2", Answers: 1, WorkTime: 100 * time.Millisecond})
		}, false},
		"a new one that refuses connections": {false, func(rt *reachTrial) { rt.run(8 * time.Second) }, false},
		"a new one that answers": {false, func(rt *reachTrial) {
			rt.answers = true
			rt.list(2)
			rt.run(8 * time.Second)
		}, true},
		"a report of an earlier incarnation": {false, func(rt *reachTrial) {
			rt.run(time.Second)
			rt.list(2)
			rt.run(1200*time.Millisecond, renewed)
			rt.run(6 * time.Second)
		}, false},
		"one that was reached before, but not now": {true, func(rt *reachTrial) {
			rt.run(200*time.Millisecond, renewed)
			rt.run(20*time.Second, protocol.UpstreamLoad{Upstream: "u2", UnreachedFor: time.Second})
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rt := newReachTrial(tc.owner)
			rt.list(1)
			tc.run(rt)
			gm.Expect(rt.moved > 0).To(Equal(tc.moving), "%d moves", rt.moved)
		})
	}
}

// TestChecks guards against a new upstream that waits for its check, and against checks, of
// which each opens a connection, that go on and on.
func TestChecks(t *testing.T) {
	t.Run("an upstream that never answers", func(t *testing.T) {
		gm := NewWithT(t)
		rt := newReachTrial(false)
		rt.list(1)
		gm.Expect(rt.checks).To(Equal([]clock.Instant{rt.now}))
		rt.run(2 * time.Minute)
		gm.Expect(len(rt.checks)).To(BeNumerically(">=", 5))
		gm.Expect(len(rt.checks)).To(BeNumerically("<=", 8))
		gm.Expect(rt.checks[1].Sub(rt.checks[0])).To(BeNumerically(">=", 2*time.Second))
		gm.Expect(rt.checks[1].Sub(rt.checks[0])).To(BeNumerically("<=", 2200*time.Millisecond))
		for ix := range len(rt.checks) - 2 {
			gm.Expect(rt.checks[ix+2].Sub(rt.checks[ix+1])).To(BeNumerically(">=", min(rt.checks[ix+1].Sub(rt.checks[ix]), 32*time.Second)-100*time.Millisecond))
		}
	})
	t.Run("an upstream that answers", func(t *testing.T) {
		gm := NewWithT(t)
		rt := newReachTrial(false)
		rt.answers = true
		rt.list(1)
		rt.run(time.Minute)
		gm.Expect(rt.checks).To(HaveLen(1))
	})
	t.Run("an owner", func(t *testing.T) {
		gm := NewWithT(t)
		rt := newReachTrial(true)
		rt.list(1)
		rt.run(time.Minute)
		gm.Expect(rt.checks).To(BeEmpty())
	})
}
