package election_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/ownership/election"
)

// timeToClaim runs a host that finds the row free at each read, and returns the
// time from its first read to its claim.
func timeToClaim(gm *WithT, fitness, best float64) time.Duration {
	co := election.New("a", "10.0.0.1:1", 1, fitness)
	co.SetBestFitness(best)
	now := clock.Instant(time.Hour)
	var first clock.Instant
	for range 1000 {
		switch co.Update(now, election.TickMsg{}) {
		case election.Read:
			if first == 0 {
				first = now
			}
			if co.Update(now, election.RowMsg{StartedAt: now}) == election.Write {
				return now.Sub(first)
			}
		case election.Write:
			return now.Sub(first)
		case election.Wait:
		}
		now = now.Add(10 * time.Millisecond)
	}
	gm.Expect(true).To(BeFalse(), "the host did not claim the free row within 10 s")
	return 0
}

// TestUnfitHostsDelayTheirClaim covers a site where one host in twenty is fit to
// lead: a fit host gets a free row, and another host only if no fit one is left.
func TestUnfitHostsDelayTheirClaim(t *testing.T) {
	cases := map[string]struct {
		fitness, best      float64
		minDelay, maxDelay time.Duration
	}{
		"fittest host":        {0.8, 0.8, 0, 0},
		"all hosts equal":     {0.01, 0.01, 0, 0},
		"best unknown":        {0.2, 0, 0, 0},
		"barely fit":          {0.01, 0.8, 900 * time.Millisecond, 1500 * time.Millisecond},
		"half as fit as best": {0.4, 0.8, 400 * time.Millisecond, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			took := timeToClaim(gm, tc.fitness, tc.best)
			gm.Expect(took).To(BeNumerically(">=", tc.minDelay))
			gm.Expect(took).To(BeNumerically("<=", tc.maxDelay))
		})
	}
}

// TestLeaderWithoutStoreIsReplaced checks that heartbeats of a leader which the
// store no longer answers do not keep a host from reading and claiming the row.
func TestLeaderWithoutStoreIsReplaced(t *testing.T) {
	for name, tc := range map[string]struct {
		// storeLost leaders get no answer from the store.
		storeLost bool
	}{"store answers": {false}, "store does not answer": {true}} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			co := election.New("a", "10.0.0.1:1", 1, 0.2)
			now := clock.Instant(time.Hour)
			row := election.RowMsg{Row: election.Row{Term: 1, Host: "b", Address: "10.0.0.2:1"}, Version: 7}
			reads, tookOver := 0, time.Duration(0)
			for at := time.Duration(0); at < 6*time.Second && tookOver == 0; at += 10 * time.Millisecond {
				now = now.Add(10 * time.Millisecond)
				cmd := co.Update(now, election.TickMsg{})
				if at%(400*time.Millisecond) == 0 {
					age := 100 * time.Millisecond
					if tc.storeLost {
						age = at
					}
					// A read that was due at the same moment stays in flight.
					cmd = max(cmd, co.Update(now, election.HeartbeatMsg{Term: 1, Host: "b", Address: "10.0.0.2:1", RowVersion: 7, StoreAge: age}))
				}
				if cmd == election.Read {
					reads++
					row.StartedAt = now
					cmd = co.Update(now, row)
				}
				if cmd == election.Write {
					tookOver = at
				}
			}
			if !tc.storeLost {
				gm.Expect(tookOver).To(BeZero())
				gm.Expect(reads).To(BeNumerically("<=", 1))
				return
			}
			gm.Expect(tookOver).To(BeNumerically(">", election.LeaseTTL))
			gm.Expect(tookOver).To(BeNumerically("<", election.StepDownTimeout))
		})
	}
}

// startReads counts the reads of a host that has just started, until it claims the row or the
// time is over. The first answer of the leader that the row names comes after heardAfter.
func startReads(row election.RowMsg, fitness float64, heardAfter, within time.Duration) (reads int, claimedAfter time.Duration) {
	co := election.New("a", "10.0.0.1:1", 1, fitness)
	began := clock.Instant(time.Hour)
	for now := began; now.Sub(began) < within; now = now.Add(10 * time.Millisecond) {
		cmd := co.Update(now, election.TickMsg{})
		if now.Sub(began) >= heardAfter && now.Sub(began)%(400*time.Millisecond) == 0 {
			cmd = max(cmd, co.Update(now, election.HeartbeatMsg{Term: 1, Host: "b", Address: "10.0.0.2:1", RowVersion: row.Version}))
		}
		if cmd == election.Read {
			reads++
			row.StartedAt = now
			cmd = co.Update(now, row)
		}
		if cmd == election.Write {
			return reads, now.Sub(began)
		}
	}
	return reads, 0
}

// TestReadsOfStartingHost guards against hosts that all read the row again and again while they
// wait for a leader: at hundreds of hosts that is most of a day's calls to the store.
func TestReadsOfStartingHost(t *testing.T) {
	held := election.RowMsg{Row: election.Row{Term: 1, Host: "b", Address: "10.0.0.2:1"}, Version: 7}
	const never = time.Hour
	cases := map[string]struct {
		row          election.RowMsg
		fitness      float64
		heardAfter   time.Duration
		within       time.Duration
		reads        int
		from, before time.Duration
	}{
		"the leader answers":              {held, 0.1, 0, 3 * time.Second, 1, 0, 1},
		"the leader answers late":         {held, 0.1, 1200 * time.Millisecond, 3 * time.Second, 1, 0, 1},
		"the leader was lost":             {held, 1, never, 5 * time.Second, 2, 1700 * time.Millisecond, 1900 * time.Millisecond},
		"the leader was lost, unfit host": {held, 0.1, never, 5 * time.Second, 2, 1900 * time.Millisecond, 2100 * time.Millisecond},
		"nobody has led":                  {election.RowMsg{}, 0.1, never, time.Second, 2, 200 * time.Millisecond, 400 * time.Millisecond},
		"nobody has led, fit host":        {election.RowMsg{}, 1, never, time.Second, 1, 0, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			reads, claimedAfter := startReads(tc.row, tc.fitness, tc.heardAfter, tc.within)
			gm.Expect(reads).To(Equal(tc.reads))
			gm.Expect(claimedAfter).To(And(BeNumerically(">=", tc.from), BeNumerically("<", tc.before)))
		})
	}
}
