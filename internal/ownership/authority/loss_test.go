package authority_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/stand/fleet"
)

const (
	domain = ident.Domain("d1")
	lookup = ident.Pool("lookup@d1#0")
)

// started runs a domain of some hosts until it has settled.
func started(gm Gomega, seed uint64, hosts int) *fleet.Fleet {
	fl := fleet.New(seed, fleet.Plan{Domains: 1, Hosts: hosts, Upstreams: 3, Slices: 12})
	took, ok := fl.RunUntil(serveAgain, fl.AllServed)
	gm.Expect(ok).To(BeTrue(), "a fleet serves %v after its start", took)
	fl.Run(2 * time.Second)
	return fl
}

func holder(gm Gomega, fl *fleet.Fleet) ident.Host {
	ho, ok := fl.HolderOf(lookup)
	gm.Expect(ok).To(BeTrue())
	return ho
}

func leader(gm Gomega, fl *fleet.Fleet) ident.Host {
	ho, ok := fl.LeaderOf(domain)
	gm.Expect(ok).To(BeTrue())
	return ho
}

// other is a host that is neither the holder nor the leader.
func other(gm Gomega, fl *fleet.Fleet) ident.Host {
	for _, ho := range fl.Hosts() {
		if ho != holder(gm, fl) && ho != leader(gm, fl) {
			return ho
		}
	}
	gm.Expect("a third host").To(BeEmpty())
	return ""
}

// apart moves the pool until another host than the leader holds it.
func apart(gm Gomega, fl *fleet.Fleet) {
	for range 5 {
		if holder(gm, fl) != leader(gm, fl) {
			return
		}
		was := leader(gm, fl)
		fl.Kill(was)
		fl.Run(3 * time.Second)
		fl.Start(was)
		fl.Run(3 * time.Second)
	}
	gm.Expect(holder(gm, fl)).NotTo(Equal(leader(gm, fl)))
}

// moved counts the slices whose owner changed.
func moved(before, after map[ident.Slice]ident.Upstream) int {
	count := 0
	for sl, up := range before {
		if after[sl] != up {
			count++
		}
	}
	return count
}

// losses are the losses inside a domain, each with the slices that have to
// move for it.
var losses = map[string]struct {
	lose  func(gm Gomega, fl *fleet.Fleet) (mustMove int)
	hosts int
}{
	"upstream frozen": {func(_ Gomega, fl *fleet.Fleet) int {
		return freezeOne(fl)
	}, 3},
	"upstream restarted under its address": {func(_ Gomega, fl *fleet.Fleet) int {
		fl.RestartUpstream(fl.Owners()[0])
		return 0
	}, 3},
	"holder killed": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		fl.Kill(holder(gm, fl))
		return 0
	}, 3},
	"holder paused": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		fl.Pause(holder(gm, fl))
		return 0
	}, 3},
	"leader killed": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		fl.Kill(leader(gm, fl))
		return 0
	}, 3},
	"leader killed in a domain of two": {func(gm Gomega, fl *fleet.Fleet) int {
		fl.Kill(leader(gm, fl))
		return 0
	}, 2},
	"leader cut off": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		fl.Isolate(string(leader(gm, fl)))
		return 0
	}, 3},
	"leader and holder killed together": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		ho := holder(gm, fl)
		fl.Kill(leader(gm, fl))
		fl.Kill(ho)
		return 0
	}, 4},
	"holder and upstream in one rack": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		count := freezeOne(fl)
		fl.Kill(holder(gm, fl))
		return count
	}, 3},
	"leader killed while the table is silent": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		fl.Table.Down = true
		fl.Run(3 * time.Second)
		fl.Kill(leader(gm, fl))
		return 0
	}, 4},
	"holder killed while the table is silent": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		fl.Table.Down = true
		fl.Run(3 * time.Second)
		fl.Kill(holder(gm, fl))
		return 0
	}, 4},
	"leader and holder killed after the table fell silent": {func(gm Gomega, fl *fleet.Fleet) int {
		apart(gm, fl)
		fl.Table.Down = true
		fl.Run(3 * time.Second)
		ho := holder(gm, fl)
		fl.Kill(leader(gm, fl))
		fl.Kill(ho)
		return 0
	}, 5},
}

func freezeOne(fl *fleet.Fleet) int {
	owners := fl.Owners()
	lost, count := owners[0], 0
	for _, up := range owners {
		if up == lost {
			count++
		}
	}
	fl.Freeze(lost)
	return count
}

// After each loss inside a domain every slice is served again within the
// promise, and only the slices of a lost upstream have another owner.
func TestLossesInsideADomain(t *testing.T) {
	for name, loss := range losses {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				gm := NewWithT(t)
				fl := started(gm, seed+1, loss.hosts)
				before := fl.Owners()
				mustMove := loss.lose(gm, fl)
				unserved := fl.Unserved(5 * time.Second)
				gm.Expect(unserved).To(BeNumerically("<=", serveAgain))
				gm.Expect(fl.Missing()).To(BeEmpty())
				gm.Expect(moved(before, fl.Owners())).To(Equal(mustMove))
				gm.Expect(fl.Violations()).To(BeEmpty())
			}
		})
	}
}

// A planned stop of any host leaves no slice unserved for longer than a move.
func TestPlannedStopHandsOver(t *testing.T) {
	const handOver = 500 * time.Millisecond
	for name, choose := range map[string]func(Gomega, *fleet.Fleet) ident.Host{"holder": holder, "leader": leader, "other": other} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				gm := NewWithT(t)
				fl := started(gm, seed+1, 4)
				apart(gm, fl)
				ho := choose(gm, fl)
				fl.Stop(ho)
				gm.Expect(fl.Unserved(time.Second)).To(BeNumerically("<=", handOver))
				gm.Expect(fl.Stopped(ho)).To(BeTrue())
				fl.Kill(ho)
				gm.Expect(fl.Unserved(3 * time.Second)).To(BeZero())
				gm.Expect(fl.Violations()).To(BeEmpty())
			}
		})
	}
}
