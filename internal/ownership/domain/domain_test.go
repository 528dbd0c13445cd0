package domain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/domain"
)

func sound(*domain.Core) {}

// The promises that carry a domain and the releases that stop it share a voter.
func TestQuorumsOverlap(t *testing.T) {
	gm := NewWithT(t)
	cases := map[int]domain.Quorum{
		0: {Support: 0, Releases: 1},
		1: {Support: 1, Releases: 1},
		2: {Support: 1, Releases: 2},
		4: {Support: 2, Releases: 3},
		7: {Support: 4, Releases: 4},
	}
	for others, want := range cases {
		gm.Expect(domain.QuorumOf(others)).To(Equal(want))
	}
	for others := range 100 {
		qu := domain.QuorumOf(others)
		gm.Expect(qu.Support + qu.Releases).To(BeNumerically(">", others))
		gm.Expect(2 * qu.Support).To(BeNumerically(">=", others))
	}
}

func TestCharterCodec(t *testing.T) {
	gm := NewWithT(t)
	ch := domain.Charter{
		Voters: []ident.Domain{"a", "b"}, Retired: true,
		Keeps: map[ident.Service]time.Duration{"lookup": time.Minute},
	}
	gm.Expect(domain.DecodeCharter(domain.EncodeCharter(ch))).To(Equal(ch))
}

// steady draws nothing: short delays, no repeats, equal clocks.
func steady(limit int) int { return limit / 2 }

// Each case brings about one fault of whole domains and states which slices are
// served at which time after it. d0 owns two slices of each service.
func TestFaultsBetweenDomains(t *testing.T) {
	type stage struct {
		after time.Duration
		do    func(wo *world)
		// unserved counts the slices without an owner then.
		unserved int
		// owner is where the first slice of each service is served; empty for none.
		yielding, keeping ident.Domain
	}
	isolate := func(wo *world) {
		wo.cut[pair("d0", "d1")], wo.cut[pair("d0", "d2")] = true, true
	}
	cutBoth := func(wo *world) {
		isolate(wo)
		wo.noTable["d0"] = true
	}
	kill := func(name ident.Domain) func(*world) {
		return func(wo *world) {
			wo.noTable[name] = true
			wo.stop(name, false)
		}
	}
	cases := map[string][]stage{
		"cut off from the other domains, not from the platform": {
			{do: isolate, after: 10 * time.Second, yielding: "d0", keeping: "d0"},
		},
		"cut off from the platform, not from the other domains": {
			{do: func(wo *world) { wo.noTable["d0"] = true }, after: 10 * time.Second, yielding: "d0", keeping: "d0"},
		},
		"the platform silent for all": {
			{do: func(wo *world) { wo.down = true }, after: 10 * time.Second, yielding: "d0", keeping: "d0"},
		},
		"the platform silent for all, all links cut and healed": {
			{do: func(wo *world) { wo.down = true; cutBoth(wo) }, after: 4 * time.Second, unserved: 4},
			{do: func(wo *world) { clear(wo.cut) }, after: time.Second, yielding: "d0", keeping: "d0"},
		},
		"the platform silent for all, one link cut": {
			{do: func(wo *world) { wo.down, wo.cut[pair("d0", "d1")] = true, true }, after: 10 * time.Second, yielding: "d0", keeping: "d0"},
		},
		"cut off from both: yielded within 2 s, kept until its deadline": {
			{do: cutBoth, after: 2 * time.Second, yielding: "d2", keeping: "d0"},
			{do: func(*world) {}, after: 2 * time.Second, yielding: "d2", keeping: "d2"},
		},
		"a cut that heals before the takeover": {
			{do: cutBoth, after: 900 * time.Millisecond, yielding: "d0", keeping: "d0"},
			{do: (*world).heal, after: 2 * time.Second, yielding: "d0", keeping: "d0"},
		},
		"a cut that heals between the two takeovers": {
			{do: cutBoth, after: 2 * time.Second, yielding: "d2", keeping: "d0"},
			{do: (*world).heal, after: 5 * time.Second, yielding: "d2", keeping: "d0"},
		},
		"a domain lost": {
			{do: kill("d0"), after: 2 * time.Second, yielding: "d2", keeping: ""},
			{do: func(*world) {}, after: 2 * time.Second, yielding: "d2", keeping: "d2"},
		},
		"a domain lost while the platform is silent": {
			{do: func(wo *world) { wo.down = true; kill("d0")(wo) }, after: 5 * time.Second, unserved: 4},
			{do: func(wo *world) { wo.down = false }, after: 2 * time.Second, yielding: "d1", keeping: ""},
			{do: func(*world) {}, after: 2 * time.Second, yielding: "d1", keeping: "d1"},
		},
		"two of three domains lost: no proof, no takeover": {
			{do: func(wo *world) { kill("d0")(wo); kill("d1")(wo) }, after: 10 * time.Second, unserved: 6},
		},
		"two of three domains lost, one declared dark": {
			{do: func(wo *world) { kill("d0")(wo); kill("d1")(wo) }, after: 5 * time.Second, unserved: 6},
			{do: func(wo *world) {
				wo.accept(func(bn *bundle.Bundle) { bn.Domains[1].Dark = true })
			}, after: 6 * time.Second, yielding: "d2", keeping: "d2"},
		},
		"a domain taken out and retired while another is lost": {
			{do: func(wo *world) {
				wo.accept(func(bn *bundle.Bundle) { bn.Domains[1].Out = true })
				wo.hand("d1", "d2")
			}, after: 3 * time.Second, yielding: "d0", keeping: "d0"},
			{do: func(wo *world) { kill("d1")(wo); kill("d0")(wo) }, after: 2500 * time.Millisecond, yielding: "d2"},
		},
	}
	for name, stages := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			wo := newWorld(3, steady, sound)
			wo.run(3 * time.Second)
			gm.Expect(wo.unserved()).To(BeEmpty())
			for nr, st := range stages {
				st.do(wo)
				wo.run(st.after)
				gm.Expect(wo.problem).To(BeEmpty())
				gm.Expect(wo.owner("yielding")).To(Equal(st.yielding), "stage %d, yielding", nr)
				gm.Expect(wo.owner("keeping")).To(Equal(st.keeping), "stage %d, keeping", nr)
				if st.unserved > 0 {
					gm.Expect(wo.unserved()).To(HaveLen(st.unserved), "stage %d", nr)
				}
			}
		})
	}
}

// owner is where the first slice of a service is served; empty for nowhere.
func (wo *world) owner(sv ident.Service) ident.Domain {
	found := wo.serving(part{sv, 0})
	if len(found) == 0 {
		return ""
	}
	return found[0]
}

// hand moves all slices of a domain to another one, as a planned hand-over
// does: the old leases end first.
func (wo *world) hand(from, to ident.Domain) {
	ld := wo.now[from]
	clear(ld.leases)
	ld.rows = nil
	for _, sv := range services {
		for nr, owner := range wo.row("slices/" + string(sv)).owners {
			if owner == from {
				wo.row("slices/" + string(sv)).owners[nr] = to
			}
		}
	}
	wo.tell(ld, domain.EmptiedMsg{Empty: true})
}

// shake draws faults and the time between them, and returns what the oracle
// found wrong; empty for nothing.
func shake(draw func(limit int) int, noise func(limit int) int, change func(*domain.Core)) string {
	wo := newWorld(2+draw(3), noise, change)
	wo.run(2 * time.Second)
	for range 3 + draw(12) {
		wo.fault(draw)
		wo.run(time.Duration(10+draw(1500)) * time.Millisecond)
		if wo.problem != "" {
			return wo.problem
		}
	}
	wo.heal()
	wo.run(8 * time.Second)
	if left := wo.unserved(); len(left) > 0 && wo.problem == "" {
		return fmt.Sprintf("unserved 8 s after the last fault: %v", left)
	}
	return wo.problem
}

// shakeSeeded draws everything from one seed.
func shakeSeeded(seed uint64, change func(*domain.Core)) string {
	rn := rand.New(rand.NewPCG(seed, 1))
	return shake(rn.IntN, rn.IntN, change)
}

func (wo *world) fault(draw func(int) int) {
	name := wo.names[draw(len(wo.names))]
	other := wo.names[draw(len(wo.names))]
	switch draw(11) {
	case 0:
		wo.cut[pair(name, other)] = true
	case 1:
		for _, third := range wo.names {
			wo.cut[pair(name, third)] = true
		}
	case 2:
		wo.noTable[name] = true
	case 3:
		wo.down = true
	case 4:
		wo.lose = true
	case 5:
		wo.stop(name, false)
	case 6:
		wo.stop(name, true)
	case 7:
		wo.resume()
	case 8:
		wo.heal()
	case 9:
		wo.accept(func(bn *bundle.Bundle) {
			bn.Services[1].KeepFor = time.Duration(draw(4)) * 500 * time.Millisecond
		})
	case 10:
		wo.noTable[name] = true
		wo.stop(name, draw(2) == 0)
		for _, third := range wo.names {
			wo.cut[pair(name, third)] = true
		}
	}
}

func TestNoSliceHasOwnersInTwoDomains(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(limit int) int { return rapid.IntRange(0, limit-1).Draw(rt, "draw") }
		rn := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "noise"), 1))
		if problem := shake(draw, rn.IntN, sound); problem != "" {
			rt.Fatal(problem)
		}
	})
}

// The oracle is worth something only if it catches a core that is wrong.
func TestOracleCatchesBrokenCores(t *testing.T) {
	const checks = 3000
	variants := map[string]func(*domain.Core){
		"takeover without release":        domain.BreakReleases,
		"no wait for a lapse":             domain.BreakLapse,
		"release before the promise ends": domain.BreakBound,
		"a lapse ended by promises alone": domain.BreakWord,
	}
	for name, change := range variants {
		t.Run(name, func(t *testing.T) {
			caught := false
			for seed := uint64(1); seed <= checks && !caught; seed++ {
				caught = shakeSeeded(seed, change) != ""
			}
			if !caught {
				t.Fatalf("not caught in %d sequences", checks)
			}
		})
	}
}
