package permit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/serving/permit"
)

// TestSpill guards against requests that leave their domain without need, against a full domain
// whose callers wait beside room elsewhere, and against one that takes others along. Each domain
// takes 120 requests a second.
func TestSpill(t *testing.T) {
	cases := map[string]struct {
		class uint8
		rates rates
		// maxCrossed is the largest fraction of d0's requests that leave it: what does not fit.
		maxCrossed float64
		// minInTime is the smallest fraction of requests in time, of d0's callers and of the others'.
		minInTime, minOthers float64
	}{
		"room at home":                         {3, rates{"d0": 60, "d1": 60, "d2": 60}, 0.02, 0.97, 0.97},
		"room at home, small requests":         {0, rates{"d0": 60, "d1": 60, "d2": 60}, 0.02, 0.97, 0.97},
		"nearly full everywhere":               {3, rates{"d0": 100, "d1": 100, "d2": 100}, 0.02, 0.95, 0.95},
		"two domains that are full at times":   {3, rates{"d0": 115, "d1": 115, "d2": 60}, 0.02, 0.95, 0.95},
		"one domain with half as much again":   {3, rates{"d0": 180, "d1": 60, "d2": 60}, 0.33 + 0.02, 0.95, 0.95},
		"one domain with five times its room":  {3, rates{"d0": 600, "d1": 60, "d2": 60}, 0.2 + 0.02, 0.3, 0.95},
		"all domains with twice their room":    {3, rates{"d0": 240, "d1": 240, "d2": 240}, 0.02, 0.35, 0.35},
		"callers in one domain only":           {3, rates{"d0": 300}, 0.6 + 0.02, 0.95, 0},
		"callers in one domain, more than all": {3, rates{"d0": 700}, 0.35 + 0.02, 0.4, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			dms := newDomains(false, 18, 4, 200*time.Millisecond)
			dms.class = tc.class
			dms.load(2*time.Second, tc.rates)
			dms.load(5*time.Second, tc.rates)
			gm.Expect(dms.sentFrom("d0")/dms.asked["d0"]).To(BeNumerically("<=", tc.maxCrossed), "crossed")
			gm.Expect(dms.inTime["d0"]/dms.asked["d0"]).To(BeNumerically(">=", tc.minInTime), "in time")
			for _, dm := range []ident.Domain{"d1", "d2"} {
				if dms.asked[dm] > 0 {
					gm.Expect(dms.inTime[dm]/dms.asked[dm]).To(BeNumerically(">=", tc.minOthers), "%s", dm)
				}
			}
		})
	}
}

// TestDomainIsCutOffWhileItTakesLoad guards against a domain that is cut off and takes along the
// one that sends it load.
func TestDomainIsCutOffWhileItTakesLoad(t *testing.T) {
	gm := NewWithT(t)
	dms, way := newDomains(false, 90, 1, 200*time.Millisecond), [2]ident.Domain{"d0", "d2"}
	dms.class = 3
	dms.load(4*time.Second, rates{"d0": 190, "d1": 60, "d2": 60})
	gm.Expect(dms.sent[way]).To(BeNumerically(">", 0))
	// Hosts of d2 do not reach this holder either.
	dms.lost = func(_, to ident.Domain) bool { return to == "d2" }
	dms.load(time.Second, rates{"d0": 190, "d1": 60})
	dms.load(4*time.Second, rates{"d0": 190, "d1": 60})
	gm.Expect(dms.sent[way]).To(BeNumerically("<=", 4*(4+1)), "probes")
	for _, dm := range []ident.Domain{"d0", "d1"} {
		gm.Expect(dms.inTime[dm]/dms.asked[dm]).To(BeNumerically(">=", 0.9), "%s", dm)
	}
	dms.lost = allReached
	dms.update(permit.ConfirmedMsg{Until: clock.Never, EntriesReadAt: dms.now.Add(time.Hour)})
	dms.load(5*time.Second, rates{"d0": 190, "d1": 60, "d2": 60})
	dms.load(2*time.Second, rates{"d0": 190, "d1": 60, "d2": 60})
	gm.Expect(dms.sent[way]).To(BeNumerically(">", 0), "again")
}
