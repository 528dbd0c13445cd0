package admission_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/admission"
)

// TestMain fixes rapid's seed unless the command line states one.
func TestMain(mn *testing.M) {
	flag.Parse()
	stated := false
	flag.Visit(func(fl *flag.Flag) { stated = stated || fl.Name == "rapid.seed" })
	if !stated {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(mn.Run())
}

// Random requests, faults and losses break no promise.
func TestRandomSequencesKeepThePromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		wd := newWorld(dw("keyed", 2) == 1, sound)
		steps := map[string]func(*rapid.T){"": func(rt *rapid.T) { failIf(rt, wd.check()) }}
		for name, act := range wd.actions() {
			steps[name] = func(*rapid.T) { act(dw) }
		}
		rt.Repeat(steps)
		failIf(rt, wd.settle())
	})
}

func failIf(rt *rapid.T, broken string) {
	if broken != "" {
		rt.Fatal(broken)
	}
}

// altered changes the messages to a core, or what it decides.
type altered struct {
	core subject
	in   func(admission.Msg) admission.Msg
	out  func(now clock.Instant, cmds []admission.Cmd) []admission.Cmd
}

func (al altered) Update(now clock.Instant, msg admission.Msg) []admission.Cmd {
	if al.in != nil {
		msg = al.in(msg)
	}
	cmds := al.core.Update(now, msg)
	if al.out != nil {
		cmds = al.out(now, cmds)
	}
	return cmds
}

// everlasting is a view whose lease and grants never end.
func everlasting(vw authority.View) authority.View {
	vw.Until = clock.Never
	grants := map[ident.Upstream]authority.Grant{}
	for name, gr := range vw.Grants {
		gr.Until = clock.Never
		grants[name] = gr
	}
	vw.Grants = grants
	return vw
}

// variants are cores that each break a promise.
var variants = map[string]func(*world, subject) subject{
	"slot freed at cancel": func(_ *world, co subject) subject {
		return altered{core: co, out: func(now clock.Instant, cmds []admission.Cmd) []admission.Cmd {
			for _, cmd := range slices.Clone(cmds) {
				if cc, ok := cmd.(admission.CancelCmd); ok {
					cmds = append(cmds, co.Update(now, admission.CancelledMsg{ID: cc.ID, Upstream: cc.Upstream})...)
				}
			}
			return cmds
		}}
	},
	"retry after a doubt": func(_ *world, co subject) subject {
		return altered{core: co, in: func(msg admission.Msg) admission.Msg {
			if am, ok := msg.(admission.ArriveMsg); ok {
				am.Request.Idempotent = true
				return am
			}
			return msg
		}}
	},
	"dispatch after the lease": func(_ *world, co subject) subject {
		return altered{core: co, in: func(msg admission.Msg) admission.Msg {
			if vm, ok := msg.(admission.ViewMsg); ok {
				return admission.ViewMsg{View: everlasting(vm.View)}
			}
			return msg
		}}
	},
	"cold start with all slots": func(wd *world, _ subject) subject {
		pl := wd.pool
		pl.Upstreams = slices.Clone(pl.Upstreams)
		for ix := range pl.Upstreams {
			pl.Upstreams[ix].ColdLimit = pl.Upstreams[ix].Slots
		}
		return admission.New(pl)
	},
	"doubt told as not run": func(_ *world, co subject) subject {
		return altered{core: co, out: func(_ clock.Instant, cmds []admission.Cmd) []admission.Cmd {
			for ix, cmd := range cmds {
				if fc, ok := cmd.(admission.FailCmd); ok {
					cmds[ix] = admission.RefuseCmd{ID: fc.ID, Err: fc.Err}
				}
			}
			return cmds
		}}
	},
	"barred whatever was sent": func(_ *world, co subject) subject {
		return altered{core: co, out: func(_ clock.Instant, cmds []admission.Cmd) []admission.Cmd {
			for ix, cmd := range cmds {
				if bc, ok := cmd.(admission.BarredCmd); ok {
					bc.Barred = true
					cmds[ix] = bc
				}
			}
			return cmds
		}}
	},
	"outcome forgotten at the deadline": func(_ *world, co subject) subject {
		return altered{core: co, in: func(msg admission.Msg) admission.Msg {
			if _, ok := msg.(admission.TickMsg); ok {
				return admission.ReportMsg{}
			}
			return msg
		}}
	},
}

// reasons are the words by which the oracle names what each variant breaks.
var reasons = map[string]string{
	"slot freed at cancel":              "beyond its slots",
	"retry after a doubt":               "ran 2 times",
	"dispatch after the lease":          "after the lease",
	"cold start with all slots":         "beyond its cold limit",
	"doubt told as not run":             "its refusal said not run",
	"barred whatever was sent":          "said to be barred",
	"outcome forgotten at the deadline": "has no outcome",
}

// The oracle finds each broken variant in a few random sequences.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for name, wrap := range variants {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			var found []string
			for seed := range uint64(200) {
				found = append(found, randomSequence(seed, wrap))
			}
			gm.Expect(found).To(ContainElement(ContainSubstring(reasons[name])))
			gm.Expect(randomSequence(1, sound)).To(BeEmpty())
		})
	}
}

// randomSequence runs 60 random actions and returns what broke.
func randomSequence(seed uint64, wrap func(*world, subject) subject) string {
	rn := rand.New(rand.NewPCG(seed, seed))
	dw := func(_ string, n int) int { return rn.IntN(n) }
	wd := newWorld(seed%2 == 1, wrap)
	acts := wd.actions()
	names := make([]string, 0, len(acts))
	for name := range acts {
		names = append(names, name)
	}
	slices.Sort(names)
	for range 60 {
		acts[names[rn.IntN(len(names))]](dw)
		if broken := wd.check(); broken != "" {
			return broken
		}
	}
	return wd.settle()
}
