package permit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// TestMovesOfUsualLength guards against callers that wait in vain for keys whose moves take
// longer than they can wait, and against callers that are turned away though moves end soon.
func TestMovesOfUsualLength(t *testing.T) {
	for name, tc := range map[string]struct {
		usual, elapsed time.Duration
		refused        bool
	}{
		"short, just begun":           {100 * time.Millisecond, 10 * time.Millisecond, false},
		"long, just begun":            {5 * time.Second, 10 * time.Millisecond, true},
		"long, soon at its usual end": {5 * time.Second, 4600 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sm := newSimulation(1, true, 200*time.Millisecond, 200*time.Millisecond)
			still := sm.upstreamsMsg(0)
			moving := sm.upstreamsMsg(0)
			moving.Table.Shares[0].Next = assignment.Claim{Upstream: "u1", Epoch: 9}
			for range 60 {
				sm.update(moving)
				sm.advance(tc.usual)
				sm.update(still)
				sm.advance(time.Second)
			}
			sm.update(moving)
			sm.advance(tc.elapsed)
			cmds := sm.core.Update(sm.now, permit.AskMsg{Ask: protocol.Ask{
				Host: "a", Ticket: 1, Service: service, Key: 7, Keyed: true, ObjectiveLeft: objective, TimeLeft: limit,
			}})
			gm.Expect(cmds).To(HaveLen(1))
			_, refused := cmds[0].(permit.RefuseCmd)
			gm.Expect(refused).To(Equal(tc.refused), "%+v", cmds[0])
		})
	}
}
