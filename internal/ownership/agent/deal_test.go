package agent_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLeaderLostWhileKeysAreDealt guards against keys that two upstreams hold, or none, when
// the leader ends between its decision and the first grants.
func TestLeaderLostWhileKeysAreDealt(t *testing.T) {
	for name, after := range map[string]time.Duration{
		"before the store has them": 0, "as the store gets them": 5 * time.Millisecond, "as members hear of them": 40 * time.Millisecond, "as they are granted": 200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(5) {
				gm := NewWithT(t)
				sim := newSimulation(seed+1, 6, 6)
				dealt := func() bool {
					return slices.ContainsFunc(sim.log, func(line string) bool { return strings.Contains(line, "keysDealt") })
				}
				for range 6000 {
					if dealt() {
						break
					}
					sim.run(time.Millisecond)
				}
				gm.Expect(dealt()).To(BeTrue(), sim.logTail())
				sim.run(after)
				for _, ho := range sim.hosts {
					if ho.up && ho.core.Leading() {
						sim.kill(ho)
					}
				}
				sim.run(8 * time.Second)
				gm.Expect(sim.violations).To(BeEmpty(), sim.logTail())
				gm.Expect(sim.unownedFor(time.Second)).To(BeEmpty(), sim.logTail())
			}
		})
	}
}
