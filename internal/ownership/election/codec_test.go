package election_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/ownership/election"
)

// TestDecodeRow guards against a term after which no host can lead, and a freeze that
// does not end.
func TestDecodeRow(t *testing.T) {
	for name, tc := range map[string]struct {
		body   string
		fails  bool
		frozen time.Duration
	}{
		"ordinary":                {`{"term":7,"host":"a","address":"10.0.0.1:1","frozenMs":3000}`, false, 3 * time.Second},
		"resigned":                {`{"term":7}`, false, 0},
		"empty":                   {``, true, 0},
		"null":                    {`null`, true, 0},
		"no term":                 {`{"host":"a"}`, true, 0},
		"highest term":            {`{"term":18446744073709551615}`, true, 0},
		"last term of an era":     {`{"term":4294967295}`, true, 0},
		"term beyond 53 bits":     {`{"term":9007199254740993}`, true, 0},
		"negative term":           {`{"term":-1}`, true, 0},
		"freeze without end":      {`{"term":7,"frozenMs":9000000000000}`, false, election.MaxFrozen},
		"freeze that overflows":   {`{"term":7,"frozenMs":9223372036854775807}`, false, election.MaxFrozen},
		"negative freeze":         {`{"term":7,"frozenMs":-5}`, false, 0},
		"first term of era seven": {`{"term":30064771073}`, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			row, err := election.Decode([]byte(tc.body))
			gm.Expect(err != nil).To(Equal(tc.fails), "%v", err)
			gm.Expect(row.Frozen).To(Equal(tc.frozen))
		})
	}
}

// FuzzDecode guards against a row that ends a host or that no later term can follow.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"term":7,"host":"a","address":"10.0.0.1:1","frozenMs":3000}`))
	f.Add([]byte(`{"term":18446744073709551615,"frozenMs":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		row, err := election.Decode(body)
		if err == nil && (row.Term+1 < row.Term || era.Of(row.Term+1) != era.Of(row.Term) || row.Frozen < 0 || row.Frozen > election.MaxFrozen) {
			t.Fatalf("%q: %+v", body, row)
		}
	})
}

// TestUnreadableRow guards against a row that cannot be decoded and keeps every host from
// leading, or that is taken over while its leader may be active, with a term of the past.
func TestUnreadableRow(t *testing.T) {
	gm := NewWithT(t)
	co := election.New("a", "10.0.0.1:1", 1, 0.8)
	startedAt := clock.Instant(time.Hour)
	now, claimedAt := startedAt, clock.Instant(0)
	for claimedAt == 0 && now.Sub(startedAt) < 10*time.Second {
		now = now.Add(10 * time.Millisecond)
		cmd := co.Update(now, election.TickMsg{})
		if cmd == election.Read {
			cmd = co.Update(now, election.RowMsg{Version: 900, StartedAt: now, Unreadable: true})
		}
		if cmd == election.Write {
			claimedAt = now
		}
	}
	gm.Expect(claimedAt).NotTo(BeZero(), "the row was never taken over")
	gm.Expect(claimedAt.Sub(startedAt)).To(BeNumerically(">=", 1700*time.Millisecond))
	row, version := co.Proposal()
	gm.Expect(version).To(BeEquivalentTo(900))
	gm.Expect(row.Term).To(BeNumerically(">", 900), "an earlier leader may have had any term up to the number of writes")
	gm.Expect(row.Frozen).To(Equal(election.MaxFrozen))
	gm.Expect(co.Leader().Host).NotTo(BeEmpty(), "without a host, the row says that no earlier leader is active")
}

// TestUnreadableRowWrittenAgain guards against a host that does not follow a leader which
// has written the row again in its term.
func TestUnreadableRowWrittenAgain(t *testing.T) {
	gm := NewWithT(t)
	co := election.New("a", "10.0.0.1:1", 1, 0.8)
	now := clock.Instant(time.Hour)
	co.Update(now, election.RowMsg{Row: election.Row{Term: 5, Host: "b", Address: "10.0.0.2:1"}, Version: 7, StartedAt: now})
	co.Update(now, election.RowMsg{Version: 8, StartedAt: now, Unreadable: true})
	co.Update(now, election.HeartbeatMsg{Term: 5, Host: "b", Address: "10.0.0.2:1", RowVersion: 7})
	gm.Expect(co.Leader().Address).To(BeEmpty(), "this leader has lost its row")
	co.Update(now, election.HeartbeatMsg{Term: 5, Host: "b", Address: "10.0.0.2:1", RowVersion: 9})
	gm.Expect(co.Leader().Address).To(Equal("10.0.0.2:1"))
}

// TestFirstClaimOfEra guards against a leader that ends right after the first claim in an era
// of the store, before it has written that no key may move.
func TestFirstClaimOfEra(t *testing.T) {
	gm := NewWithT(t)
	co := election.New("a", "10.0.0.1:1", 1, 0.8)
	now := clock.Instant(time.Hour)
	co.Update(now, election.RowMsg{Row: election.Row{Term: 5}, Version: 7, StartedAt: now})
	row, _ := co.Proposal()
	gm.Expect(row.Frozen).To(BeZero())
	gm.Expect(row.Uncertain).To(BeFalse())
	co.Update(now, election.EraMsg{Era: 1})
	row, _ = co.Proposal()
	gm.Expect(row.Frozen).To(Equal(election.MaxFrozen))
	gm.Expect(row.Uncertain).To(BeTrue())
}

// TestUncertainRow guards against a successor that does not learn from the row that the assignment is
// uncertain.
func TestUncertainRow(t *testing.T) {
	for name, resigns := range map[string]bool{"of a leader": false, "of one that resigns": true} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			co := election.New("a", "10.0.0.1:1", 1, 0.8)
			now := clock.Instant(time.Hour)
			own := election.Row{Term: 5, Host: "a", Address: "10.0.0.1:1", Incarnation: 1}
			co.Update(now, election.WrittenMsg{Row: own, Version: 7, StartedAt: now})
			co.Settle(false, 3*time.Second, true)
			if resigns {
				co.Update(now, election.ResignMsg{})
			}
			row, _ := co.Proposal()
			gm.Expect(row.Host == "").To(Equal(resigns))
			body, err := election.Encode(row)
			gm.Expect(err).NotTo(HaveOccurred())
			read, err := election.Decode(body)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(read).To(Equal(row))
			gm.Expect(read.Uncertain).To(BeTrue())
			co.Settle(false, 0, false)
			row, _ = co.Proposal()
			gm.Expect(row.Uncertain).To(BeFalse())
		})
	}
}
