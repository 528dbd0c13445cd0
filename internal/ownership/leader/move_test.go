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
// that does not acknowledge the move renews for renewal.ConfirmTTL more. An old owner that
// answers again before, since its domain was cut off, gives the keys up at once.
func TestKeysOfUnreachableOwner(t *testing.T) {
	const service = "lookup"
	expires := renewal.CallTimeout + renewal.GrantTTL*102/100
	cases := map[string]struct {
		acknowledges bool
		earliest     time.Duration
		// backAfter is when the old owner answers again, 0 if it does not, acknowledgesAfter when
		// the member acknowledges that did not at once.
		backAfter, acknowledgesAfter time.Duration
	}{
		"all members acknowledge":             {acknowledges: true, earliest: expires},
		"a member does not acknowledge it":    {earliest: renewal.ConfirmTTL + expires},
		"a member acknowledges late":          {earliest: renewal.ConfirmTTL + expires, acknowledgesAfter: renewal.ConfirmTTL + 1700*time.Millisecond},
		"the old owner is back":               {acknowledges: true, earliest: 2 * time.Second, backAfter: 2 * time.Second},
		"the old owner is back, its host not": {earliest: 4 * time.Second, backAfter: 4 * time.Second},
		"it is back when its grant expires":   {acknowledges: true, earliest: expires, backAfter: expires - 100*time.Millisecond},
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
			var storedAt, givenAt, lastGivenAt clock.Instant
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
						if cmd.Step == leader.Give {
							lastGivenAt = now
						}
						result := leader.Unknown
						if cmd.Step != leader.Give && tc.backAfter > 0 && now.Sub(storedAt) >= tc.backAfter {
							result = leader.Taken
						}
						handle(co.Update(now, leader.StepMsg{Move: cmd.Move, Step: cmd.Step, Result: result}))
					}
				}
			}
			for step := range 1000 {
				now = now.Add(10 * time.Millisecond)
				if step%10 == 0 {
					handle(co.Update(now, leader.StatusMsg{Status: protocol.Status{Member: members[0], Revision: co.Table().Revision}, Follows: true}))
					revision := assignment.Revision(1)
					if tc.acknowledges || tc.acknowledgesAfter > 0 && storedAt > 0 && now.Sub(storedAt) >= tc.acknowledgesAfter {
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
			gm.Expect(lastGivenAt.Sub(storedAt)).To(BeNumerically("<", tc.earliest+time.Second))
		})
	}
}
