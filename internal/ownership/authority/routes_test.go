package authority_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/stand/fleet"
)

// leadAgain takes the lead of d1 from a host and lets it win it back without a
// new process; false when another host kept it.
func leadAgain(gm Gomega, fl *fleet.Fleet, first ident.Host) bool {
	for range 6 {
		now, ok := fl.LeaderOf("d1")
		gm.Expect(ok).To(BeTrue())
		fl.Pause(now)
		fl.Run(2500 * time.Millisecond)
		fl.Resume(now)
		fl.Run(time.Second)
		if again, ok := fl.LeaderOf("d1"); ok && again == first && now != first {
			return true
		}
	}
	return false
}

// A host that starts under a leader which led before learns the routes of all
// domains.
func TestRoutesUnderALeaderThatLedBefore(t *testing.T) {
	gm := NewWithT(t)
	tried := 0
	for seed := uint64(1); seed <= 8; seed++ {
		fl := fleet.New(seed, fleet.Plan{Domains: 2, Hosts: 3, Upstreams: 2, Slices: 8})
		fl.Run(4 * time.Second)
		first, ok := fl.LeaderOf("d1")
		gm.Expect(ok).To(BeTrue())
		if !leadAgain(gm, fl, first) {
			continue
		}
		tried++
		var young ident.Host
		for _, ho := range fl.Bundle.HostsOf("d1") {
			if ho.Name != first {
				young = ho.Name
			}
		}
		fl.Kill(young)
		fl.Run(2 * time.Second)
		fl.Start(young)
		fl.Run(4 * time.Second)
		gm.Expect(fl.Unrouted(young)).To(BeEmpty(), "seed %d", seed)
	}
	gm.Expect(tried).To(BeNumerically(">", 0))
}
