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
