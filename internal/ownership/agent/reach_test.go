package agent_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
)

// addUpstreams lists new upstreams, or dead entries.
func (sim *simulation) addUpstreams(count int, dead bool) {
	for range count {
		name := ident.Upstream(fmt.Sprintf("u%d", len(sim.upstreams)))
		sim.upstreams = append(sim.upstreams, &upstream{id: name, domain: "a", incarnation: 1, up: !dead, deadEntry: dead})
	}
}

// keysOf counts the keys that the assignment gives to an upstream.
func (sim *simulation) keysOf(up *upstream) int {
	count := 0
	for _, sh := range sim.table.Shares {
		if sh.Owner.Upstream == up.id {
			count += sh.Len()
		}
	}
	return count
}

// TestDeadEntries guards against keys that a working upstream owns and that move to an
// upstream which nobody has reached: they would have no owner until they are taken back.
func TestDeadEntries(t *testing.T) {
	const upstreams = 5
	cases := map[string]struct {
		// disturb changes the deployment of three hosts, which has run for eight seconds.
		disturb func(sim *simulation)
		// dead is how many dead entries are listed from the start.
		dead int
		// fresh is how many upstreams, the last ones, must own keys two and a half seconds after.
		fresh int
	}{
		"from the start":         {func(*simulation) {}, 1, 0},
		"beside working ones":    {func(sim *simulation) { sim.addUpstreams(1, true) }, 0, 0},
		"more than working ones": {func(sim *simulation) { sim.addUpstreams(3*upstreams, true) }, 0, 0},
		"beside a new upstream": {func(sim *simulation) {
			sim.addUpstreams(2, true)
			sim.addUpstreams(1, false)
		}, 0, 1},
		"a new upstream alone": {func(sim *simulation) { sim.addUpstreams(1, false) }, 0, 1},
		"while the leader is lost": {func(sim *simulation) {
			sim.addUpstreams(1, true)
			for _, ho := range sim.hosts {
				if ho.up && ho.core.Leading() {
					sim.kill(ho)
				}
			}
		}, 0, 0},
		"while an owner crashes": {func(sim *simulation) {
			sim.addUpstreams(2, true)
			sim.upstreams[0].up, sim.upstreams[0].downAt = false, sim.now
		}, 0, 0},
		"under the id of an owner that ends": {func(sim *simulation) {
			up := sim.upstreams[0]
			up.up, up.downAt, up.deadEntry, up.incarnation = false, sim.now, true, up.incarnation+1
		}, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(4) {
				gm := NewWithT(t)
				sim := newSimulation(seed, 3, upstreams)
				sim.addUpstreams(tc.dead, true)
				sim.run(8 * time.Second)
				tc.disturb(sim)
				sim.run(2500 * time.Millisecond)
				for _, up := range sim.upstreams[len(sim.upstreams)-tc.fresh:] {
					gm.Expect(sim.keysOf(up)).To(BeNumerically(">", 0), "seed %d: %s\n%s", seed, up.id, sim.logTail())
				}
				sim.run(20 * time.Second)
				gm.Expect(sim.movedToDead).To(BeZero(), "seed %d\n%s", seed, sim.logTail())
				gm.Expect(sim.violations).To(BeEmpty(), sim.logTail())
				gm.Expect(sim.unownedFor(3*time.Second)).To(BeEmpty(), sim.logTail())
				for _, up := range sim.upstreams {
					if up.deadEntry {
						gm.Expect(sim.keysOf(up)).To(BeZero(), "seed %d: %s\n%s", seed, up.id, sim.logTail())
					}
				}
			}
		})
	}
}
