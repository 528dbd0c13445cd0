package agent_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/base/ident"
)

// tail is the end of the world's log, for a failure's report.
func (wd *world) tail() string {
	lines := wd.log
	if len(lines) > 400 && os.Getenv("WORLD_LOG") == "" {
		lines = lines[len(lines)-400:]
	}
	return strings.Join(lines, "\n")
}

func TestKeysAreDealtAndHeld(t *testing.T) {
	gm := NewWithT(t)
	wd := newWorld(1, 6, 6)
	wd.run(6 * time.Second)
	gm.Expect(wd.violations).To(BeEmpty(), wd.tail())
	gm.Expect(wd.unowned()).To(BeEmpty(), wd.tail())
}

// TestDisturbances plays one disturbance at a time and asks that no key ever
// has two owners, that keys are owned again soon after, and how long some key
// was without an owner meanwhile.
func TestDisturbances(t *testing.T) {
	leaderOf := func(wd *world) *host {
		for _, ho := range wd.hosts {
			if ho.up && ho.core.Leading() {
				return ho
			}
		}
		return wd.hosts[0]
	}
	const (
		isolation = 9 * time.Second
		// recovery is the platform's bound for serving again once all are back.
		recovery = 15 * time.Second
	)
	cases := map[string]struct {
		play func(wd *world)
		// within is when all keys have an owner again.
		within time.Duration
	}{
		"upstream crashes":                {func(wd *world) { wd.upstreams[0].up, wd.upstreams[0].downAt = false, wd.now }, 9 * time.Second},
		"upstream drains":                 {func(wd *world) { wd.upstreams[0].gone = true }, 2 * time.Second},
		"upstream drains and works on":    {func(wd *world) { wd.upstreams[0].gone, wd.slowRelease = true, 600*time.Millisecond }, 3 * time.Second},
		"leader is killed":                {func(wd *world) { wd.kill(leaderOf(wd)) }, 4 * time.Second},
		"leader freezes for four seconds": {func(wd *world) { ho := leaderOf(wd); ho.frozen = wd.now.Add(4 * time.Second); ho.thawedAt = ho.frozen }, 6 * time.Second},
		"leader is cut from the store":    {func(wd *world) { leaderOf(wd).storeCut = true }, 5 * time.Second},
		"store is down for nine seconds":  {func(wd *world) { wd.storeDown = true; wd.after(9*time.Second, func() { wd.storeDown = false }) }, 12 * time.Second},
		"store is down for longer":        {func(wd *world) { wd.storeDown = true }, 9500 * time.Millisecond},
		"a host is lost for good, then an upstream": {func(wd *world) {
			wd.kill(leaderOf(wd))
			wd.after(2500*time.Millisecond, func() { wd.upstreams[0].up, wd.upstreams[0].downAt = false, wd.now })
		}, 15 * time.Second},
		"a domain is cut off": {func(wd *world) {
			wd.cutDomain = "b"
			wd.after(6*time.Second, func() { wd.cutDomain, wd.healedAt = "", wd.now })
		}, 12 * time.Second},
		"a domain and its way to the store are cut off while an upstream there drains": {func(wd *world) {
			wd.isolate("b", isolation)
			wd.upstreams[1].gone = true
		}, isolation + recovery},
		"a domain is cut off just as keys begin to leave one of its upstreams": {func(wd *world) {
			up := wd.upstreams[0]
			for _, other := range wd.upstreams {
				if other.domain != leaderOf(wd).member.Domain {
					up = other
				}
			}
			up.gone = true
			for range 3000 {
				if wd.moving(up.id) {
					break
				}
				wd.run(time.Millisecond)
			}
			wd.isolate(up.domain, isolation)
		}, isolation + recovery},
		"all hosts are killed": {func(wd *world) {
			for _, ho := range wd.hosts {
				wd.kill(ho)
				wd.after(1200*time.Millisecond, func() { wd.start(ho) })
			}
		}, 8 * time.Second},
		"answers of the store are lost": {func(wd *world) { wd.lostShare, wd.lateShare = 0.3, 0.2 }, 5 * time.Second},
		"grants take effect late":       {func(wd *world) { wd.lateGrants = 0.3 }, 9 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(5) {
				gm := NewWithT(t)
				wd := newWorld(seed+1, 6, 6)
				wd.run(6 * time.Second)
				tc.play(wd)
				wd.run(tc.within)
				gm.Expect(wd.violations).To(BeEmpty(), wd.tail())
				if wd.lateGrants == 0 {
					gm.Expect(wd.unowned()).To(BeEmpty(), wd.tail())
				}
				wd.run(10 * time.Second)
				gm.Expect(wd.violations).To(BeEmpty(), wd.tail())
			}
		})
	}
}

// TestRandomDisturbances plays any disturbances at any moment, overlapping.
func TestRandomDisturbances(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wd := newWorld(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(3, 8).Draw(rt, "hosts"), rapid.IntRange(3, 8).Draw(rt, "upstreams"))
		wd.run(time.Duration(rapid.IntRange(0, 6000).Draw(rt, "quietMs")) * time.Millisecond)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			wd.disturb(rt)
			wd.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pauseMs")) * time.Millisecond)
		}
		wd.calm()
		wd.run(30 * time.Second)
		if len(wd.violations) > 0 {
			rt.Fatalf("%s\n%s", wd.violations[0], wd.tail())
		}
		if keys := wd.unowned(); len(keys) > 0 {
			rt.Fatalf("keys without an owner: %v\n%s", keys, wd.tail())
		}
	})
}

// disturb plays one drawn disturbance.
func (wd *world) disturb(rt *rapid.T) {
	ho := wd.hosts[rapid.IntRange(0, len(wd.hosts)-1).Draw(rt, "host")]
	if rapid.Bool().Draw(rt, "leader") {
		for _, other := range wd.hosts {
			if other.up && other.core.Leading() {
				ho = other
			}
		}
	}
	up := wd.upstreams[rapid.IntRange(0, len(wd.upstreams)-1).Draw(rt, "upstream")]
	span := time.Duration(rapid.IntRange(200, 9000).Draw(rt, "spanMs")) * time.Millisecond
	kind := rapid.SampledFrom([]string{
		"kill", "freeze", "cutStore", "storeDown", "lost", "late", "lateGrants", "cutDomain", "isolate", "crash", "reborn", "drain", "slowRelease", "slowLinks", "killAll", "hot",
	}).Draw(rt, "kind")
	wd.note("PLAY %s host=%s upstream=%s span=%s", kind, ho.member.Host, up.id, span)
	restart := func(ho *host) {
		if ho.up {
			wd.kill(ho)
			wd.after(span, func() {
				if !ho.up {
					wd.start(ho)
				}
			})
		}
	}
	switch kind {
	case "kill":
		restart(ho)
	case "killAll":
		for _, ho := range wd.hosts {
			restart(ho)
		}
	case "freeze":
		ho.frozen = wd.now.Add(span)
		ho.thawedAt = ho.frozen
	case "cutStore":
		ho.storeCut = true
		wd.after(span, func() { ho.storeCut = false })
	case "storeDown":
		wd.storeDown = true
		wd.after(span, func() { wd.storeDown = false })
	case "lost":
		wd.lostShare = 0.3
	case "late":
		wd.lateShare = 0.3
	case "lateGrants":
		wd.lateGrants = 0.3
	case "cutDomain":
		wd.cutDomain = ho.member.Domain
		wd.after(span, func() { wd.cutDomain, wd.healedAt = "", wd.now })
	case "isolate":
		wd.isolate(up.domain, span)
	case "crash", "reborn":
		wd.crash(up, span)
	case "drain":
		up.gone = true
		wd.after(span, func() { up.gone = false })
	case "slowRelease":
		wd.slowRelease = 400 * time.Millisecond
	case "slowLinks":
		wd.slowShare = 0.4
		wd.after(span, func() { wd.slowShare = 0 })
	case "hot":
		wd.hot = rapid.IntRange(0, samples-1).Draw(rt, "hotKey")
	}
}

// moving tells whether the store has a move from an upstream.
func (wd *world) moving(id ident.Upstream) bool {
	for _, sh := range wd.table.Shares {
		if sh.Owner.Upstream == id && sh.Moving() {
			return true
		}
	}
	return false
}

// isolate cuts a domain off from the others and its hosts off from the store.
func (wd *world) isolate(domain ident.Domain, span time.Duration) {
	wd.cutDomain = domain
	for _, ho := range wd.hosts {
		if ho.member.Domain == domain {
			ho.storeCut = true
			wd.after(span, func() { ho.storeCut = false })
		}
	}
	wd.after(span, func() { wd.cutDomain, wd.healedAt = "", wd.now })
}

// crash ends an upstream's life; it comes back as another one.
func (wd *world) crash(up *upstream, span time.Duration) {
	if !up.up {
		return
	}
	up.up, up.downAt = false, wd.now
	wd.after(span, func() {
		life := up.life
		*up = upstream{id: up.id, domain: up.domain, life: life + 1, up: true}
	})
}

// calm ends every disturbance.
func (wd *world) calm() {
	wd.storeDown, wd.lostShare, wd.lateShare, wd.lateGrants, wd.slowRelease, wd.slowShare = false, 0, 0, 0, 0, 0
	wd.cutDomain, wd.healedAt = "", wd.now
	for _, ho := range wd.hosts {
		ho.storeCut = false
	}
	for _, up := range wd.upstreams {
		up.gone = false
	}
}
