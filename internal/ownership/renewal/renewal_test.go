package renewal_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/renewal"
)

// TestLastRenewal ends the confirmations at different times between two renewals, as when
// the store or the leader is lost. The last renewal must come shortly before they are used
// up, so that keys stay with their owners for as long as allowed, and none after that.
func TestLastRenewal(t *testing.T) {
	const (
		step = 10 * time.Millisecond
		// early is how much earlier than allowed the last renewal may start.
		early = 200 * time.Millisecond
	)
	for phase := time.Duration(0); phase < 1200*time.Millisecond; phase += 100 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			gm := NewWithT(t)
			co := renewal.New("a")
			now := clock.Instant(time.Hour)
			table := &assignment.Table{
				Members: []assignment.Member{{Host: "a", Domain: "d", Alive: true}},
				Shares:  []assignment.Share{{Service: "s", Range: keyspace.Range{To: keyspace.Last}, Owner: assignment.Claim{Upstream: "u", Epoch: 1}}},
			}
			co.Update(now, renewal.TableMsg{Table: table, Domains: map[ident.Upstream]ident.Domain{"u": "d"}})
			var confirmedAt, renewedAt clock.Instant
			renewals := 0
			began, lastConfirmation := now, now.Add(3*time.Second+phase)
			for now < lastConfirmation.Add(4*time.Second) {
				var msg any = renewal.TickMsg{}
				if now <= lastConfirmation && now.Sub(began)%(400*time.Millisecond) == 0 {
					confirmedAt = now
					msg = renewal.ConfirmMsg{At: now}
				}
				for _, cmd := range co.Update(now, msg) {
					renewedAt, renewals = now, renewals+1
					co.Update(now, renewal.ResultMsg{Upstream: cmd.Upstream, Reached: true})
				}
				now = now.Add(step)
			}
			end := confirmedAt.Add(renewal.ConfirmTTL)
			gm.Expect(renewedAt).To(BeNumerically("<=", end))
			gm.Expect(renewedAt).To(BeNumerically(">=", end.Add(-early)))
			gm.Expect(renewals).To(BeNumerically("<=", 8), "one a second, and the last")
		})
	}
}

// TestRestartedOwner guards against grants with epochs that their owner gave up before it
// restarted: another upstream has had the keys with a higher one since.
func TestRestartedOwner(t *testing.T) {
	cases := map[string]struct {
		known   map[ident.Upstream]roster.Incarnation
		renewed bool
	}{
		"the owner is known":              {map[ident.Upstream]roster.Incarnation{"u": 5}, true},
		"it has restarted":                {map[ident.Upstream]roster.Incarnation{"u": 6}, false},
		"its restart is not yet known":    {map[ident.Upstream]roster.Incarnation{"u": 4}, true},
		"no upstream is known":            {nil, true},
		"only another upstream is listed": {map[ident.Upstream]roster.Incarnation{"v": 9}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			co := renewal.New("a")
			now := clock.Instant(time.Hour)
			table := &assignment.Table{
				Members: []assignment.Member{{Host: "a", Domain: "d", Alive: true}},
				Shares:  []assignment.Share{{Service: "s", Range: keyspace.Range{To: keyspace.Last}, Owner: assignment.Claim{Upstream: "u", Incarnation: 5, Epoch: 1}}},
			}
			co.Update(now, renewal.TableMsg{Table: table, Domains: map[ident.Upstream]ident.Domain{"u": "d"}, Incarnations: tc.known})
			NewWithT(t).Expect(len(co.Update(now, renewal.ConfirmMsg{At: now})) > 0).To(Equal(tc.renewed))
		})
	}
}

// TestUncertainTable guards against grants that are given anew by a table that may be older than one that
// the store has lost: another upstream may have the keys. Those that the upstream holds go on.
func TestUncertainTable(t *testing.T) {
	const service = ident.Service("s")
	share := func(from, to keyspace.Key, epoch keyspace.Epoch) assignment.Share {
		return assignment.Share{Service: service, Range: keyspace.Range{From: from, To: to}, Owner: assignment.Claim{Upstream: "u", Epoch: epoch}}
	}
	whole := share(0, keyspace.Last, 1)
	cases := map[string]struct {
		// taken holds the grants that the upstream took at first.
		taken []assignment.Share
		// after is the time from that renewal to the next one that is due.
		after time.Duration
		// table holds the shares since then, nil for the same.
		table []assignment.Share
		want  []assignment.Share
	}{
		"the upstream holds it":             {taken: []assignment.Share{whole}, after: 1100 * time.Millisecond, want: []assignment.Share{whole}},
		"it did not take it":                {after: 1100 * time.Millisecond},
		"its grant may have run out":        {taken: []assignment.Share{whole}, after: renewal.GrantTTL - renewal.CallTimeout + time.Millisecond},
		"it holds it for the shortest time": {taken: []assignment.Share{whole}, after: renewal.GrantTTL - renewal.CallTimeout - time.Millisecond, want: []assignment.Share{whole}},
		"it holds it by another epoch":      {taken: []assignment.Share{whole}, after: 1100 * time.Millisecond, table: []assignment.Share{share(0, keyspace.Last, 2)}},
		"it holds a part of it":             {taken: []assignment.Share{share(0, 99, 1)}, after: 1100 * time.Millisecond},
		"it holds more":                     {taken: []assignment.Share{whole}, after: 1100 * time.Millisecond, table: []assignment.Share{share(0, 99, 1)}, want: []assignment.Share{share(0, 99, 1)}},
		"it holds one of two":               {taken: []assignment.Share{share(0, 99, 1)}, after: 1100 * time.Millisecond, table: []assignment.Share{share(0, 99, 1), share(100, keyspace.Last, 3)}, want: []assignment.Share{share(0, 99, 1)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			co, now := renewal.New("a"), clock.Instant(time.Hour)
			adopt := func(shares []assignment.Share, uncertain bool) []renewal.RenewCmd {
				return co.Update(now, renewal.TableMsg{
					Uncertain: uncertain,
					Table:     &assignment.Table{Members: []assignment.Member{{Host: "a", Domain: "d", Alive: true}}, Shares: shares},
					Domains:   map[ident.Upstream]ident.Domain{"u": "d"},
				})
			}
			adopt([]assignment.Share{whole}, false)
			gm.Expect(co.Update(now, renewal.ConfirmMsg{At: now})).To(HaveLen(1))
			takenAt := now
			gm.Expect(co.Update(now, renewal.ResultMsg{Upstream: "u", Reached: true, Taken: tc.taken, StartedAt: now})).To(BeEmpty())
			// Nothing is confirmed any more until then.
			now = now.Add(tc.after)
			var cmds []renewal.RenewCmd
			if tc.table != nil {
				// The last confirmation was not of this table.
				cmds = adopt(tc.table, true)
			}
			cmds = append(cmds, co.Update(now, renewal.ConfirmMsg{At: now, Uncertain: true})...)
			if tc.want == nil {
				gm.Expect(cmds).To(BeEmpty())
				gm.Expect(co.Next(now)).To(BeNumerically(">", now), "the loop must not spin")
			} else {
				gm.Expect(cmds).To(HaveLen(1))
				gm.Expect(cmds[0].Shares).To(Equal(tc.want))
				gm.Expect(cmds[0].Until).To(Equal(takenAt.Add(renewal.GrantTTL - renewal.CallTimeout)))
				co.Update(now, renewal.ResultMsg{Upstream: "u", Reached: true, Taken: tc.want, StartedAt: now})
			}
			// One that is older does not end it, a newer one does.
			co.Update(now, renewal.ConfirmMsg{At: now.Add(-time.Millisecond)})
			now = now.Add(1100 * time.Millisecond)
			current := []assignment.Share{whole}
			if tc.table != nil {
				current = tc.table
			}
			cmds = co.Update(now, renewal.ConfirmMsg{At: now})
			gm.Expect(cmds).To(HaveLen(1))
			gm.Expect(cmds[0].Shares).To(Equal(current))
			gm.Expect(cmds[0].Until).To(Equal(clock.Never))
		})
	}
}

// TestResultOfEarlierRenewal guards against a grant that passes for newer than it is: the upstream was assigned
// to another host and back again while the renewal was under way, and may hold nothing any more.
func TestResultOfEarlierRenewal(t *testing.T) {
	gm := NewWithT(t)
	co, now := renewal.New("a"), clock.Instant(time.Hour)
	whole := assignment.Share{Service: "s", Range: keyspace.Range{To: keyspace.Last}, Owner: assignment.Claim{Upstream: "u", Epoch: 1}}
	adopt := func(domain ident.Domain) []renewal.RenewCmd {
		return co.Update(now, renewal.TableMsg{
			Table: &assignment.Table{
				Members: []assignment.Member{{Host: "a", Domain: "d", Alive: true}, {Host: "b", Domain: "e", Alive: true}}, Shares: []assignment.Share{whole},
			},
			Domains: map[ident.Upstream]ident.Domain{"u": domain},
		})
	}
	adopt("d")
	first := co.Update(now, renewal.ConfirmMsg{At: now})
	gm.Expect(first).To(HaveLen(1))
	adopt("e")
	now = now.Add(300 * time.Millisecond)
	second := adopt("d")
	gm.Expect(second).To(HaveLen(1))
	co.Update(now, renewal.ResultMsg{Upstream: "u", Reached: true, Taken: first[0].Shares, StartedAt: first[0].StartedAt})
	now = first[0].StartedAt.Add(renewal.GrantTTL - renewal.CallTimeout + time.Millisecond)
	gm.Expect(co.Update(now, renewal.ConfirmMsg{At: now, Uncertain: true})).To(BeEmpty())
}

// TestUncertainUntilLastConfirmationEnds guards against a loop that spins in the last moments of a
// confirmation, while an upstream waits for a certain assignment.
func TestUncertainUntilLastConfirmationEnds(t *testing.T) {
	gm := NewWithT(t)
	co, confirmedAt := renewal.New("a"), clock.Instant(time.Hour)
	co.Update(confirmedAt, renewal.TableMsg{
		Uncertain: true,
		Table: &assignment.Table{
			Members: []assignment.Member{{Host: "a", Domain: "d", Alive: true}},
			Shares:  []assignment.Share{{Service: "s", Range: keyspace.Range{To: keyspace.Last}, Owner: assignment.Claim{Upstream: "u", Epoch: 1}}},
		},
		Domains: map[ident.Upstream]ident.Domain{"u": "d"},
	})
	gm.Expect(co.Update(confirmedAt, renewal.ConfirmMsg{At: confirmedAt, Uncertain: true})).To(BeEmpty())
	for now := confirmedAt; now.Sub(confirmedAt) <= renewal.ConfirmTTL; now = now.Add(time.Millisecond) {
		gm.Expect(co.Update(now, nil)).To(BeEmpty())
		gm.Expect(co.Next(now)).To(BeNumerically(">", now), "%s after the confirmation", now.Sub(confirmedAt))
	}
}
