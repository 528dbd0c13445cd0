package permit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// TestRefusedCallersReturnToRoom guards against callers who all return at once, or to an owner that has
// not served those before them, and who are not told that there is no room in their time.
func TestRefusedCallersReturnToRoom(t *testing.T) {
	gm := NewWithT(t)
	sm := newSimulation(5, true, 200*time.Millisecond)
	var told []clock.Instant
	for ticket := range protocol.Ticket(40) {
		sm.now = sm.now.Add(time.Millisecond)
		for _, cmd := range sm.core.Update(sm.now, permit.AskMsg{Ask: protocol.Ask{
			Host: "b", Ticket: ticket, Service: service, Domain: "d0", Key: keyspace.Key(ticket), Keyed: true, ObjectiveLeft: objective, TimeLeft: limit,
		}}) {
			if refusal, refused := cmd.(permit.RefuseCmd); refused {
				gm.Expect(refusal.Refusal.RetryAfter + objective/2).To(BeNumerically(">=", refusal.Estimate.Wait))
				told = append(told, sm.now.Add(refusal.Refusal.RetryAfter))
			}
		}
	}
	gm.Expect(len(told)).To(BeNumerically(">", 20))
	// The owner runs ten a second.
	const inHalfSecond = 6
	gm.Expect(told[inHalfSecond]).To(BeNumerically(">", sm.now.Add(objective/2)), "those told their own wait are few")
	told = told[inHalfSecond:]
	for ix := range told[1:] {
		gm.Expect(told[ix+1].Sub(told[ix])).To(BeNumerically(">=", 100*time.Millisecond))
	}
	gm.Expect(told[len(told)-1]).To(BeNumerically(">", sm.now.Add(limit)), "no room before the deadline")
}
