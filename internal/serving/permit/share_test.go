package permit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/peer/protocol"
)

// TestTwoKindsCompete guards against callers of one kind of request that get nothing while
// another kind takes all of the room, and against urgent ones that are served less than the
// others: uploads and views of one service at 1.3 times the room of their owners.
func TestTwoKindsCompete(t *testing.T) {
	const (
		owners, slots = 6, 3
		uploadTime    = 170 * time.Millisecond
		viewTime      = 560 * time.Millisecond
		duration      = 40 * time.Second
		room          = owners * slots * float64(duration)
		load          = 1.3
		// minShare is how much of the room the less urgent kind gets while it wants that much.
		minShare = 0.08
	)
	for name, tc := range map[string]struct {
		// uploads is the part of the load that the urgent kind makes up.
		uploads float64
	}{
		"few uploads":           {0.15},
		"half of it is uploads": {0.5},
		"uploads alone fill it": {0.8},
	} {
		for way, keyed := range map[string]bool{"keyed": true, "any upstream": false} {
			t.Run(fmt.Sprint(name, ", ", way), func(t *testing.T) {
				gm := NewWithT(t)
				sm := newSimulation(1, keyed, repeat(owners, viewTime)...)
				sm.slots = slots
				sm.update(sm.upstreamsMsg(0))
				means := [2]time.Duration{uploadTime, viewTime}
				kinds := map[protocol.Ticket]int{}
				var asked, ran [2]int
				sm.timeAt = func(_ ident.Upstream, ticket protocol.Ticket) time.Duration {
					ran[kinds[ticket]]++
					return time.Duration(float64(means[kinds[ticket]]) * math.Exp(0.5*sm.rng.NormFloat64()-0.125))
				}
				for kind, part := range []float64{tc.uploads, 1 - tc.uploads} {
					perSecond := load * part * owners * slots / means[kind].Seconds()
					for at := time.Duration(0); at < duration; at += time.Duration(sm.rng.ExpFloat64() / perSecond * float64(time.Second)) {
						sm.schedule(at, func() {
							asked[kind]++
							kinds[sm.ticket+1] = kind
							sm.priority, sm.objective, sm.limit = kind+1, []time.Duration{1200 * time.Millisecond, 2 * time.Second}[kind], 4*time.Second
							sm.ask(keyspace.Key(sm.rng.Intn(keyspace.Count)), 0)
						})
					}
				}
				sm.advance(duration + 10*time.Second)
				served := [2]float64{float64(ran[0]) / float64(asked[0]), float64(ran[1]) / float64(asked[1])}
				taken := [2]float64{float64(ran[0]) * float64(means[0]) / room, float64(ran[1]) * float64(means[1]) / room}
				t.Logf("uploads and views served %.2f, share of the room %.2f; %d in time, %d late, %d refused", served, taken, sm.inTime, sm.late, sm.refused)
				gm.Expect(taken[1]).To(BeNumerically(">=", min(minShare, 0.9*load*(1-tc.uploads))))
				gm.Expect(taken[0] + taken[1]).To(BeNumerically(">=", 0.85))
				if tc.uploads <= 0.5 {
					gm.Expect(served[0]).To(BeNumerically(">=", 0.95))
				}
				gm.Expect(served[0]).To(BeNumerically(">=", served[1]))
			})
		}
	}
}
