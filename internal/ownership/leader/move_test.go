package leader_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/peer/protocol"
)

// TestKeysOfUnreachableOwner covers a move whose old owner answers no call. The next
// owner may get the keys only when the last grant of the old one has expired: a member
// that does not acknowledge the move renews for renewal.ConfirmTTL more.
func TestKeysOfUnreachableOwner(t *testing.T) {
	const service = "lookup"
	expires := renewal.CallTimeout + renewal.GrantTTL*102/100
	cases := map[string]struct {
		acknowledges bool
		earliest     time.Duration
	}{
		"all members acknowledge":          {true, expires},
		"a member does not acknowledge it": {false, renewal.ConfirmTTL + expires},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			now := clock.Instant(time.Hour)
			members := []assignment.Member{{Host: "h0", Incarnation: 1, Alive: true}, {Host: "h1", Incarnation: 1, Alive: true}}
			tb := &assignment.Table{Revision: 1, LastEpoch: 1, Members: members, Shares: []assignment.Share{{
				Service: service, Range: keyspace.Range{To: keyspace.Last}, Owner: assignment.Claim{Upstream: "u1", Incarnation: 1, Epoch: 1},
			}}}
			co := leader.New(now, tb, election.Row{}, 0)
			up := func(id ident.Upstream, usable bool) leader.Upstream {
				return leader.Upstream{ID: id, Service: service, Slots: 2, Incarnation: 1, Usable: usable, ColdRate: 2}
			}
			var storedAt, givenAt clock.Instant
			var handle func(cmds []leader.Cmd)
			handle = func(cmds []leader.Cmd) {
				for _, cmd := range cmds {
					switch cmd := cmd.(type) {
					case leader.CommitCmd:
						if len(cmd.Table.Shares) > 0 && cmd.Table.Shares[0].Moving() && storedAt == 0 {
							storedAt = now
						}
						handle(co.Update(now, leader.CommittedMsg{Table: cmd.Table}))
					case leader.CallCmd:
						if cmd.Step == leader.Give && givenAt == 0 {
							givenAt = now
						}
						handle(co.Update(now, leader.StepMsg{Move: cmd.Move, Step: cmd.Step, Result: leader.Unknown}))
					}
				}
			}
			for step := range 1000 {
				now = now.Add(10 * time.Millisecond)
				if step%10 == 0 {
					handle(co.Update(now, leader.StatusMsg{Status: protocol.Status{Member: members[0], Revision: co.Table().Revision}, Follows: true}))
					revision := assignment.Revision(1)
					if tc.acknowledges {
						revision = co.Table().Revision
					}
					handle(co.Update(now, leader.StatusMsg{Status: protocol.Status{Member: members[1], Revision: revision}, Follows: true}))
				}
				if step == 600 || step == 0 {
					// The leader is settled by then.
					handle(co.Update(now, leader.UpstreamsMsg{Keyed: map[ident.Service]bool{service: true}, Upstreams: []leader.Upstream{up("u1", step == 0), up("u2", step > 0)}}))
				}
				handle(co.Update(now, leader.TickMsg{}))
			}
			for range 600 {
				now = now.Add(10 * time.Millisecond)
				handle(co.Update(now, leader.TickMsg{}))
			}
			gm.Expect(storedAt).NotTo(BeZero())
			gm.Expect(givenAt).NotTo(BeZero())
			gm.Expect(givenAt.Sub(storedAt)).To(BeNumerically(">=", tc.earliest))
			gm.Expect(givenAt.Sub(storedAt)).To(BeNumerically("<", tc.earliest+time.Second))
		})
	}
}
