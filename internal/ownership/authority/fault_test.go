package authority_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/stand/fleet"
)

// lapsed is longer than every lease.
const lapsed = 3 * time.Second

// incidents are faults that end; after each the domain serves all again within
// the promise, and no promise was broken meanwhile.
var incidents = map[string]func(gm Gomega, fl *fleet.Fleet){
	"leader paused past its lease and resumed": func(gm Gomega, fl *fleet.Fleet) {
		was := leader(gm, fl)
		fl.Pause(was)
		fl.Run(lapsed)
		gm.Expect(leader(gm, fl)).NotTo(Equal(was))
		fl.Resume(was)
	},
	"leader and challenger with half the hosts each": func(gm Gomega, fl *fleet.Fleet) {
		side := []string{string(leader(gm, fl)), ""}
		for _, ho := range fl.Hosts() {
			if side[1] == "" && string(ho) != side[0] {
				side[1] = string(ho)
			}
		}
		for _, ho := range fl.Hosts() {
			far := string(ho) != side[0] && string(ho) != side[1]
			for _, near := range side {
				if far {
					fl.Cut(near, string(ho))
				}
			}
			if !far {
				fl.Cut(string(ho), fleet.TableEnd)
			}
		}
		fl.Run(lapsed)
		gm.Expect(side).NotTo(ContainElement(string(leader(gm, fl))), "half the hosts release, half carry nobody")
		fl.Heal()
	},
	"holder frozen between its last check and its write": func(gm Gomega, fl *fleet.Fleet) {
		apart(gm, fl)
		was := string(holder(gm, fl))
		fl.Hold(was)
		fl.Run(lapsed)
		gm.Expect(string(holder(gm, fl))).NotTo(Equal(was))
		fl.Release(was, 1)
	},
	"renewal delivered after the lease, and once more": func(gm Gomega, fl *fleet.Fleet) {
		apart(gm, fl)
		was := string(holder(gm, fl))
		fl.Hold(was)
		fl.Run(lapsed)
		fl.Release(was, 2)
	},
	"leader's words delivered after its term, and once more": func(gm Gomega, fl *fleet.Fleet) {
		was := string(leader(gm, fl))
		fl.Hold(was)
		fl.Run(lapsed)
		fl.Release(was, 2)
	},
	"upstream frozen and back as though nothing happened": func(_ Gomega, fl *fleet.Fleet) {
		up := fl.Owners()[0]
		fl.Freeze(up)
		fl.Run(lapsed)
		fl.Thaw(up)
	},
	"table answers lost after the effect, then the leader": func(gm Gomega, fl *fleet.Fleet) {
		fl.Table.LoseAnswers = 1
		fl.Run(lapsed)
		fl.Kill(leader(gm, fl))
		fl.Run(lapsed)
		fl.Table.LoseAnswers = 0
	},
	"every other table answer lost, then the holder": func(gm Gomega, fl *fleet.Fleet) {
		fl.Table.LoseAnswers = 0.5
		apart(gm, fl)
		fl.Kill(holder(gm, fl))
	},
	"table slower than its answers are awaited": func(_ Gomega, fl *fleet.Fleet) {
		fl.Table.Slow = 400 * time.Millisecond
		fl.Run(lapsed)
		fl.Table.Slow = 0
	},
	"leader, holder and platform at once": func(gm Gomega, fl *fleet.Fleet) {
		apart(gm, fl)
		ho := holder(gm, fl)
		fl.Kill(leader(gm, fl))
		fl.Kill(ho)
		fl.Table.Down = true
		fl.Run(lapsed)
		fl.Table.Down = false
	},
	"host cut off in the middle of its hand-over, and healed": func(gm Gomega, fl *fleet.Fleet) {
		apart(gm, fl)
		ho := holder(gm, fl)
		fl.Stop(ho)
		fl.Run(time.Millisecond)
		fl.Isolate(string(ho))
		fl.Run(300 * time.Millisecond)
		fl.Heal()
	},
	"peers' answers to an earlier process of the host": func(gm Gomega, fl *fleet.Fleet) {
		was := leader(gm, fl)
		fl.Cut(string(was), fleet.TableEnd)
		fl.Run(100 * time.Millisecond)
		for _, ho := range fl.Hosts() {
			if ho != was {
				fl.Hold(string(ho))
			}
		}
		fl.Run(200 * time.Millisecond)
		fl.Start(was)
		fl.Heal()
		fl.Run(70 * time.Millisecond)
		for _, ho := range fl.Hosts() {
			fl.Release(string(ho), 1)
		}
	},
	"clocks drifting and jumping": func(_ Gomega, fl *fleet.Fleet) {
		for round := range 20 {
			for ix, ho := range fl.Hosts() {
				if (round+ix)%3 == 0 {
					fl.JumpHost(ho, time.Duration(50*(round+1))*time.Millisecond)
				}
			}
			fl.JumpUpstream(fl.Bundle.Services[0].Upstreams[round%3].Name, time.Duration(100*round)*time.Millisecond)
			fl.Run(150 * time.Millisecond)
		}
	},
}

func TestIncidents(t *testing.T) {
	for name, incident := range incidents {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				gm := NewWithT(t)
				fl := started(gm, seed+1, 4)
				incident(gm, fl)
				took, ok := fl.RunUntil(serveAgain, fl.AllServed)
				gm.Expect(ok).To(BeTrue(), "after %v nobody serves %v", took, fl.Missing())
				fl.Run(lapsed)
				gm.Expect(fl.Missing()).To(BeEmpty())
				gm.Expect(fl.Violations()).To(BeEmpty())
			}
		})
	}
}

// Of the hosts that bid for a lost leader's term one wins, and no pool is ever
// held twice.
func TestRacingChallengers(t *testing.T) {
	for seed := range uint64(40) {
		gm := NewWithT(t)
		fl := started(gm, seed+1, 5)
		fl.Kill(leader(gm, fl))
		gm.Expect(fl.Unserved(lapsed)).To(BeNumerically("<=", serveAgain))
		leaders := 0
		for _, ho := range fl.Hosts() {
			if fl.Leads(ho) {
				leaders++
			}
		}
		gm.Expect(leaders).To(Equal(1))
		gm.Expect(fl.Violations()).To(BeEmpty())
	}
}

// What was moved off a lost upstream while the table was silent is found again
// by the next holder, and written once the table answers.
func TestMovesWithoutTheTableSurvive(t *testing.T) {
	for seed := range uint64(10) {
		gm := NewWithT(t)
		fl := started(gm, seed+1, 4)
		apart(gm, fl)
		fl.Table.Down = true
		fl.Run(lapsed)
		freezeOne(fl)
		gm.Expect(fl.Unserved(lapsed)).To(BeNumerically("<=", serveAgain))
		acknowledged := fl.Owners()
		fl.Kill(holder(gm, fl))
		gm.Expect(fl.Unserved(lapsed)).To(BeNumerically("<=", serveAgain))
		gm.Expect(fl.Owners()).To(Equal(acknowledged))
		fl.Table.Down = false
		fl.Run(time.Second)
		gm.Expect(fl.Recorded(lookup)).To(Equal(acknowledged))
		gm.Expect(fl.Violations()).To(BeEmpty())
	}
}

// A row is read as it was written.
func TestRowsSurviveTheirCodec(t *testing.T) {
	gm := NewWithT(t)
	rw := pool.Row{Term: 3, Epoch: 2, Number: 9, Holder: "h1"}
	rw.Owners = started(gm, 1, 1).Owners()
	read, err := pool.DecodeRow(pool.EncodeRow(rw))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(read.Owners).To(Equal(rw.Owners))
	gm.Expect(read.Compare(rw)).To(BeZero())
}
