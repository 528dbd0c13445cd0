package agent_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/peer/protocol"
)

// TestFirstBroadcastOfALeader guards against hosts that give no grants after a change of leader until its
// next heartbeat, as its first broadcast echoes no status: in the first era the store has lost nothing.
func TestFirstBroadcastOfALeader(t *testing.T) {
	for name, tc := range map[string]struct {
		era     era.Era
		certain bool
	}{"in the first era": {0, true}, "in a later one": {1, false}} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			const from = "10.0.0.2:1"
			co, now := agent.New(assignment.Member{Host: "a", Domain: "d", Address: "10.0.0.1:1", Incarnation: 1, Alive: true}, 1), clock.Instant(time.Hour)
			revision := era.First[assignment.Revision](tc.era) + 1
			hb := protocol.Heartbeat{Term: 1, Leader: "b", Revision: revision}
			co.Update(now, agent.AssignmentMsg{Heartbeat: hb, Table: &assignment.Table{Revision: revision}, From: from})
			hb.Echo = now
			co.Update(now, agent.HeartbeatMsg{Heartbeat: hb, From: from})
			gm.Expect(co.TableCertain()).To(Equal(now))
			hb.Term, hb.Leader, hb.Revision, hb.Echo = 2, "c", revision+1, 0
			co.Update(now, agent.AssignmentMsg{Heartbeat: hb, Table: &assignment.Table{Revision: revision + 1}, From: "10.0.0.3:1"})
			gm.Expect(co.TableCertain() == now).To(Equal(tc.certain))
		})
	}
}
