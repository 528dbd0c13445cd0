package rollout_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/rollout"
	"chervilwalk/internal/platform/census"
)

// inForceWithin is the users' bound on a change of configuration.
const inForceWithin = 4 * time.Second

func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	for name, tc := range map[string]struct {
		domains, hostsEach int
		disturb            func(*fleet)
	}{
		"6 nodes":                                {3, 2, func(*fleet) {}},
		"one domain":                             {1, 2, func(*fleet) {}},
		"420 nodes, a third of the notices lost": {7, 60, func(fl *fleet) { fl.lossPercent = 33 }},
		"a domain cut off from the platform":     {4, 10, func(fl *fleet) { fl.cut = map[ident.Domain]bool{"d2": true} }},
		"all domains but one cut off": {8, 5, func(fl *fleet) {
			fl.cut = map[ident.Domain]bool{"d1": true, "d2": true, "d3": true, "d4": true, "d5": true, "d6": true, "d7": true}
		}},
		"half of the nodes down": {6, 10, func(fl *fleet) {
			for ix, mb := range fl.order {
				mb.down = ix%2 == 0
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			fl := newFleet(tc.domains, tc.hostsEach)
			fl.accept(1)
			fl.startAll()
			fl.run(3 * time.Second)
			_, all := fl.slowest(0, 1)
			gm.Expect(all).To(BeTrue())
			tc.disturb(fl)
			from := fl.line.Now()
			fl.accept(2)
			fl.run(inForceWithin)
			_, all = fl.slowest(from, 2)
			gm.Expect(all).To(BeTrue())
			gm.Expect(fl.reverted()).To(BeEmpty())
		})
	}
}

// The design's size: what control costs without a change, and what one costs.
func TestCostAtFullSize(t *testing.T) {
	gm := NewWithT(t)
	fl := newFleet(7, 60)
	fl.accept(1)
	fl.startAll()
	fl.run(5 * time.Second)
	fl.reads, fl.notices, fl.bodies = 0, 0, 0
	fl.run(20 * time.Second)
	gm.Expect(fl.reads/20).To(BeNumerically("<", 200), "reads a second, of the 2,000 that the table gives")
	gm.Expect(fl.notices).To(BeNumerically("<=", 420*20*4/3), "one notice a second and node, within the jitter")
	gm.Expect(fl.bodies).To(BeZero())
	from := fl.line.Now()
	fl.accept(2)
	fl.run(inForceWithin)
	_, all := fl.slowest(from, 2)
	gm.Expect(all).To(BeTrue())
	gm.Expect(fl.bodies).To(BeNumerically("<", 420*5/4), "a body crosses once to each node, with few in vain")
}

// A fleet that waits for its first bundle takes a small part of the 2,000 reads.
func TestAFleetWithoutABundleSparesTheTable(t *testing.T) {
	gm := NewWithT(t)
	fl := newFleet(7, 60)
	fl.startAll()
	fl.run(10 * time.Second)
	fl.reads = 0
	fl.run(10 * time.Second)
	gm.Expect(fl.reads / 10).To(BeNumerically("<", 400))
	from := fl.line.Now()
	fl.accept(1)
	fl.run(inForceWithin)
	_, all := fl.slowest(from, 1)
	gm.Expect(all).To(BeTrue())
}

func TestWithoutThePlatform(t *testing.T) {
	gm := NewWithT(t)
	fl := newFleet(3, 4)
	fl.accept(1)
	fl.startAll()
	fl.run(3 * time.Second)
	fl.platformDown = true
	first := fl.base.Hosts[0]
	born := fl.line.Now()
	mb := fl.start(first, fl.base.Hosts[5].Inner)
	fl.run(time.Second)
	gm.Expect(mb.state).NotTo(BeNil(), "a node without the platform learns from a peer")
	gm.Expect(mb.since.Sub(born)).To(BeNumerically("<", time.Second))

	ahead := fl.seal(2)
	fl.nodes[fl.base.Hosts[7].Inner].offer = &ahead
	fl.send(fl.nodes[fl.base.Hosts[8].Inner], 0, rollout.NoticeMsg{From: fl.base.Hosts[7].Name, Version: 2})
	from := fl.line.Now()
	fl.run(inForceWithin)
	fl.nodes[fl.base.Hosts[7].Inner].offer = nil
	_, all := fl.slowest(from, 2)
	gm.Expect(all).To(BeTrue(), "a higher version that one node has reaches all")
}

func TestAnOlderRowIsNotFollowedAndIsRestored(t *testing.T) {
	gm := NewWithT(t)
	fl := newFleet(2, 3)
	fl.accept(4)
	fl.accept(5)
	fl.startAll()
	fl.run(3 * time.Second)
	fl.platformDown = true
	fl.run(2 * time.Second)
	fl.accept(4)
	fl.platformDown = false
	reborn := fl.start(fl.base.Hosts[0])
	fl.run(inForceWithin)
	gm.Expect(fl.reverted()).To(BeEmpty())
	gm.Expect(reborn.history).To(Equal([]bundle.Version{5}), "a node that starts on the older row takes the peers' higher one")
	gm.Expect(fl.row.Version).To(Equal(bundle.Version(5)), "the row is written back")
	fl.accept(6)
	fl.run(inForceWithin)
	_, all := fl.slowest(0, 6)
	gm.Expect(all).To(BeTrue())
}

func TestBadOffersAreRefusedAndCounted(t *testing.T) {
	for name, tc := range map[string]struct {
		alter func(*fleet, *bundle.Seal)
		want  rollout.Reason
	}{
		"forged":    {func(_ *fleet, sl *bundle.Seal) { sl.Signature = make([]byte, 64) }, rollout.Untrusted},
		"truncated": {func(_ *fleet, sl *bundle.Seal) { sl.Body = sl.Body[:len(sl.Body)/2] }, rollout.Untrusted},
		"altered":   {func(_ *fleet, sl *bundle.Seal) { sl.Body[9] ^= 1 }, rollout.Untrusted},
		"relabeled": {func(_ *fleet, sl *bundle.Seal) { sl.Version = 99 }, rollout.Malformed},
		"older":     {func(fl *fleet, sl *bundle.Seal) { *sl = fl.seal(2) }, rollout.Older},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			fl := newFleet(1, 2)
			fl.accept(3)
			fl.startAll()
			fl.run(2 * time.Second)
			victim, peer := fl.order[0], fl.base.Hosts[1]
			sl := fl.seal(4)
			tc.alter(fl, &sl)
			fl.send(victim, 0, rollout.SealMsg{Source: peer.Inner, Seal: sl})
			fl.run(time.Second)
			gm.Expect(victim.history).To(Equal([]bundle.Version{3}))
			gm.Expect(victim.refused).To(HaveLen(1))
			gm.Expect(victim.refused[0].Reason).To(Equal(tc.want))
		})
	}
}

func TestCorruptBodyInTheObjectStore(t *testing.T) {
	gm := NewWithT(t)
	fl := newFleet(1, 3)
	fl.accept(1)
	fl.startAll()
	fl.run(2 * time.Second)
	fl.accept(2)
	good := fl.objects[fl.row.Digest]
	fl.objects[fl.row.Digest] = good[:len(good)/2]
	before := fl.bodies
	fl.run(10 * time.Second)
	_, all := fl.slowest(0, 1)
	gm.Expect(all).To(BeTrue())
	gm.Expect(fl.bodies-before).To(BeNumerically("<=", 3*6), "a refused body is asked for again only after the backoff")
	fl.objects[fl.row.Digest] = good
	fl.run(inForceWithin)
	_, all = fl.slowest(0, 2)
	gm.Expect(all).To(BeTrue())
}

func TestNodeStartedFromAStalePeer(t *testing.T) {
	gm := NewWithT(t)
	fl := newFleet(2, 4)
	fl.accept(7)
	fl.startAll()
	fl.run(2 * time.Second)
	fl.platformDown = true
	stale := fl.seal(6)
	fl.nodes[fl.base.Hosts[1].Inner].offer = &stale
	reborn := fl.start(fl.base.Hosts[0], fl.base.Hosts[1].Inner)
	fl.run(2 * time.Second)
	gm.Expect(reborn.history).To(Equal([]bundle.Version{7}))
}

func TestCensusDrainsEverywhereAndOperatorsOverruleIt(t *testing.T) {
	gm := NewWithT(t)
	fl := newFleet(3, 8)
	fl.base.Hosts[2].HeldIn = true
	fl.accept(1)
	fl.startAll()
	fl.run(3 * time.Second)
	leaving := fl.base.Hosts[1].Name
	fl.census = []census.Entry{{Host: leaving, State: census.Leaving}, {Host: fl.base.Hosts[2].Name, State: census.Leaving}}
	fl.run(inForceWithin)
	for _, mb := range fl.nodes {
		for _, ho := range mb.state.Effective.Hosts {
			gm.Expect(ho.Out).To(Equal(ho.Name == leaving))
		}
	}
	fl.census = nil
	fl.run(inForceWithin)
	for _, mb := range fl.nodes {
		gm.Expect(mb.state.Effective).To(Equal(mb.state.Bundle))
	}
}

// Whatever fails and restarts, no node's version falls, and once the platform
// answers all have the highest within the bound.
func TestVersionsNeverFall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gm := NewWithT(rt)
		fl := newFleet(2, 3)
		highest := bundle.Version(1)
		fl.accept(highest)
		fl.startAll()
		fl.run(2 * time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				if !fl.platformDown && fl.row.Version == highest {
					highest++
					fl.accept(highest)
					fl.run(inForceWithin)
				}
			},
			"row goes back": func(rt *rapid.T) { fl.accept(bundle.Version(rapid.Uint64Range(1, uint64(highest)).Draw(rt, "to"))) },
			"platform":      func(rt *rapid.T) { fl.platformDown = rapid.Bool().Draw(rt, "down") },
			"restart": func(rt *rapid.T) {
				ix := rapid.IntRange(0, 5).Draw(rt, "host")
				fl.start(fl.base.Hosts[ix], fl.base.Hosts[(ix+1)%6].Inner, fl.base.Hosts[(ix+3)%6].Inner)
				fl.run(time.Duration(rapid.IntRange(500, 2000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {},
		})
		fl.platformDown = false
		fl.run(2 * inForceWithin)
		_, all := fl.slowest(0, highest)
		gm.Expect(all).To(BeTrue())
		gm.Expect(fl.reverted()).To(BeEmpty())
		for _, mb := range fl.order {
			for ix := range mb.history {
				gm.Expect(mb.history[ix]).To(BeNumerically("<=", highest))
			}
		}
	})
}
