package leader_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/peer/protocol"
)

// TestClaimedSlots guards against an entry that draws the keys of its service by claiming
// slots that no upstream has.
func TestClaimedSlots(t *testing.T) {
	const service, count = "lookup", 7
	for _, claimed := range []int{4, math.MaxInt32 + 1, 1 << 62, math.MaxInt} {
		t.Run(fmt.Sprint(claimed), func(t *testing.T) {
			gm := NewWithT(t)
			now := clock.Instant(time.Hour)
			co := leader.New(now, &assignment.Table{}, election.Row{}, 0)
			ms := leader.UpstreamsMsg{Keyed: map[ident.Service]bool{service: true}}
			for ix := range count {
				up := leader.Upstream{ID: ident.Upstream(fmt.Sprint("u", ix)), Service: service, Slots: 4, Incarnation: 1, Usable: true, ColdRate: 2}
				if ix == 0 {
					up.Slots = claimed
				}
				ms.Upstreams = append(ms.Upstreams, up)
			}
			var handle func(cmds []leader.Cmd)
			handle = func(cmds []leader.Cmd) {
				for _, cmd := range cmds {
					if cmd, ok := cmd.(leader.CommitCmd); ok {
						handle(co.Update(now, leader.CommittedMsg{Table: cmd.Table}))
					}
				}
			}
			handle(co.Update(now, ms))
			member := assignment.Member{Host: "h0", Incarnation: 1, Alive: true}
			for range 300 {
				now = now.Add(10 * time.Millisecond)
				handle(co.Update(now, leader.StatusMsg{Status: protocol.Status{Member: member, Revision: co.Table().Revision}, Follows: true}))
				handle(co.Update(now, leader.TickMsg{}))
			}
			keys := map[ident.Upstream]int{}
			for _, sh := range co.Table().Shares {
				keys[sh.Owner.Upstream] += sh.Len()
			}
			total := 0
			for _, owned := range keys {
				total += owned
			}
			gm.Expect(total).To(Equal(keyspace.Count))
			gm.Expect(keys["u0"]).To(BeNumerically("<=", keyspace.Count/count+1))
		})
	}
}
