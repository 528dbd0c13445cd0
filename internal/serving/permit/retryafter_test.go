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
	// Callers who can be answered before their deadline are told places, the others later times.
	var places, later []clock.Instant
	for ticket := range protocol.Ticket(40) {
		sm.now = sm.now.Add(time.Millisecond)
		for _, cmd := range sm.core.Update(sm.now, permit.AskMsg{Ask: protocol.Ask{
			Host: "b", Ticket: ticket, Service: service, Domain: "d0", Key: keyspace.Key(ticket), Keyed: true, ObjectiveLeft: objective, TimeLeft: limit,
		}}) {
			refusal, refused := cmd.(permit.RefuseCmd)
			if !refused {
				continue
			}
			after := refusal.Refusal.RetryAfter
			gm.Expect(after + objective/2).To(BeNumerically(">=", refusal.Estimate.Wait))
			if after <= limit-refusal.Estimate.Latency {
				places = append(places, sm.now.Add(after))
				continue
			}
			gm.Expect(after).To(BeNumerically(">", limit), "no room before the deadline")
			later = append(later, sm.now.Add(after))
		}
	}
	gm.Expect(len(places) + len(later)).To(BeNumerically(">", 20))
	gm.Expect(later).NotTo(BeEmpty())
	// The owner runs ten a second.
	const inHalfSecond = 6
	gm.Expect(places[inHalfSecond]).To(BeNumerically(">", sm.now.Add(objective/2)), "those told their own wait are few")
	for _, told := range [][]clock.Instant{places[inHalfSecond:], later} {
		for ix := range told[1:] {
			gm.Expect(told[ix+1].Sub(told[ix])).To(BeNumerically(">=", 100*time.Millisecond))
		}
	}
}
