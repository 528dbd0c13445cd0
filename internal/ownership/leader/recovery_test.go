package leader_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/peer/protocol"
)

// recoveredTable returns the assignment of a copy of the store with some members. One share moves.
func recoveredTable(members int) *assignment.Table {
	tb := &assignment.Table{Revision: 9, LastEpoch: 40, Shares: []assignment.Share{
		{Service: "s", Range: keyspace.Range{To: 9999}, Owner: assignment.Claim{Upstream: "u0", Incarnation: 1, Epoch: 7}},
		{
			Service: "s", Range: keyspace.Range{From: 10000, To: keyspace.Last}, Owner: assignment.Claim{Upstream: "u1", Incarnation: 1, Epoch: 8}, Fence: 20,
			Next: assignment.Claim{Upstream: "u0", Incarnation: 1, Epoch: 32},
		},
	}}
	for ix := range members {
		tb.Members = append(tb.Members, assignment.Member{Host: hostName(ix), Address: fmt.Sprint(ix), Incarnation: 1, Alive: true})
	}
	return tb
}

func hostName(ix int) ident.Host { return ident.Host(fmt.Sprint("h", ix)) }

// TestLostAssignments guards against a leader that gives keys away, or has them renewed, by the copy's
// assignment, as the members that knew a newer one have forgotten it or are silent. It must not wait
// where a member would know.
func TestLostAssignments(t *testing.T) {
	const (
		remembers = iota
		restarted
		silent
		doubts
		lost
		// lostBefore is a member that the table takes for lost, and that has restarted since.
		lostBefore
	)
	// ended and away are how long a lost grant may be valid at most: its host has ended, or may be
	// cut off.
	const ended, away = 6830 * time.Millisecond, 11830 * time.Millisecond
	cases := map[string]struct {
		// members is what becomes of each; the first one leads.
		members []int
		want    time.Duration
	}{
		"all remember":                              {members: []int{remembers, remembers, remembers}},
		"the leader has restarted":                  {members: []int{restarted, remembers, remembers}},
		"another one has restarted":                 {members: []int{remembers, restarted, remembers}},
		"one of two has restarted":                  {members: []int{restarted, remembers}},
		"one is silent":                             {members: []int{remembers, silent, remembers}},
		"one was lost before":                       {members: []int{restarted, lost, remembers}},
		"one was lost before and has restarted":     {members: []int{remembers, lostBefore, remembers}},
		"it and the leader have restarted":          {members: []int{restarted, lostBefore, remembers}, want: ended},
		"the only one that lived has restarted":     {members: []int{restarted, lost}, want: ended},
		"two have restarted":                        {members: []int{restarted, restarted, remembers, remembers}, want: ended},
		"all have restarted":                        {members: []int{restarted, restarted, restarted}, want: ended},
		"the only one has restarted":                {members: []int{restarted}, want: ended},
		"one has restarted, one is silent":          {members: []int{restarted, silent, remembers}, want: away},
		"two are silent":                            {members: []int{remembers, silent, silent}, want: away},
		"one remembers that nobody was sure":        {members: []int{restarted, doubts, remembers}, want: away},
		"the leader remembers that nobody was sure": {members: []int{doubts, remembers, remembers}, want: away},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			now := clock.Instant(time.Hour)
			tb := recoveredTable(len(tc.members))
			for ix, fate := range tc.members {
				tb.Members[ix].Alive = fate != lost && fate != lostBefore
			}
			co := leader.New(now, tb, election.Row{Term: 1, Host: "h1"}, 1)
			if tc.members[0] == doubts {
				co.DoubtTable()
			}
			stored := tb
			var handle func(cmds []leader.Cmd)
			handle = func(cmds []leader.Cmd) {
				for _, cmd := range cmds {
					switch cmd := cmd.(type) {
					case leader.CommitCmd:
						stored = cmd.Table
						handle(co.Update(now, leader.CommittedMsg{Table: cmd.Table}))
					case leader.CallCmd:
						gm.Expect(co.Uncertain()).To(BeFalse(), "no key moves meanwhile")
					}
				}
			}
			began := now
			var certainAt clock.Instant
			for now.Sub(began) < 14*time.Second && certainAt == 0 {
				for ix, fate := range tc.members {
					if fate == silent || fate == lost {
						continue
					}
					mb := tb.Members[ix]
					if fate == restarted || fate == lostBefore {
						mb.Incarnation = 2
					}
					handle(co.Update(now, leader.StatusMsg{
						Status: protocol.Status{Member: mb, Revision: co.Table().Revision, Uncertain: fate == doubts}, Follows: true, Own: ix == 0,
					}))
				}
				handle(co.Update(now, leader.TickMsg{}))
				if !co.Uncertain() {
					certainAt = now
				}
				now = now.Add(50 * time.Millisecond)
			}
			gm.Expect(certainAt).NotTo(BeZero(), "it must end")
			// Silent members have some time to answer.
			gm.Expect(certainAt.Sub(began)).To(BeNumerically("~", max(tc.want, 0), 1400*time.Millisecond))
			gm.Expect(certainAt.Sub(began)).To(BeNumerically(">=", tc.want))
			first := era.First[keyspace.Epoch](1)
			gm.Expect(stored.Shares[0].Owner.Epoch >= first).To(Equal(tc.want > 0), "epochs are above the lost ones, or stay")
			gm.Expect(stored.Shares[1].Next.Epoch >= first).To(Equal(tc.want > 0))
			gm.Expect(stored.Shares[1].Owner.Epoch).To(BeEquivalentTo(8))
		})
	}
}

// TestUncertainPredecessor guards against a leader that takes over while the assignment of its era is
// uncertain, and does not go on with that.
func TestUncertainPredecessor(t *testing.T) {
	for name, tc := range map[string]struct {
		row  election.Row
		want time.Duration
	}{
		"certain":                     {row: election.Row{Term: era.First[protocol.Term](1) + 1, Host: "h1"}},
		"uncertain for some time":     {row: election.Row{Term: era.First[protocol.Term](1) + 1, Host: "h1", Frozen: 3 * time.Second, Uncertain: true}, want: 3 * time.Second},
		"the epochs are to be raised": {row: election.Row{Term: era.First[protocol.Term](1) + 1, Host: "h1", Uncertain: true}, want: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			now := clock.Instant(time.Hour)
			tb := recoveredTable(3)
			tb.Revision = era.First[assignment.Revision](1) + 2
			co := leader.New(now, tb, tc.row, 1)
			gm.Expect(co.Uncertain()).To(Equal(tc.want > 0))
			began := now
			for co.Uncertain() && now.Sub(began) < 10*time.Second {
				now = now.Add(10 * time.Millisecond)
				for _, cmd := range co.Update(now, leader.TickMsg{}) {
					if cc, isCommit := cmd.(leader.CommitCmd); isCommit {
						co.Update(now, leader.CommittedMsg{Table: cc.Table})
					}
				}
			}
			gm.Expect(now.Sub(began)).To(BeNumerically("~", tc.want, 100*time.Millisecond))
			gm.Expect(co.Table().Shares[0].Owner.Epoch >= era.First[keyspace.Epoch](1)).To(Equal(tc.want > 0))
		})
	}
}

// TestMovesWaitForAWitness guards against keys that have another owner of which only the leader knows:
// if it ends and the store loses the assignment, the old owner would get them again.
func TestMovesWaitForAWitness(t *testing.T) {
	cases := map[string]struct {
		members int
		// acknowledges is the index of the member that does.
		acknowledges int
		given        bool
	}{
		"another member knows":     {members: 3, acknowledges: 1, given: true},
		"only the leader knows":    {members: 3, acknowledges: 0},
		"there is no other member": {members: 1, acknowledges: 0, given: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			now := clock.Instant(time.Hour)
			tb := recoveredTable(tc.members)
			tb.Shares[1].Next, tb.Shares[1].Fence = assignment.Claim{}, 0
			co := leader.New(now, tb, election.Row{}, 0)
			upstream := func(id ident.Upstream, usable bool) leader.Upstream {
				return leader.Upstream{ID: id, Service: "s", Slots: 2, Incarnation: 1, Usable: usable, ColdRate: 2}
			}
			given := false
			var handle func(cmds []leader.Cmd)
			handle = func(cmds []leader.Cmd) {
				for _, cmd := range cmds {
					switch cmd := cmd.(type) {
					case leader.CommitCmd:
						handle(co.Update(now, leader.CommittedMsg{Table: cmd.Table}))
					case leader.CallCmd:
						given = given || cmd.Step == leader.Give
						handle(co.Update(now, leader.StepMsg{Move: cmd.Move, Step: cmd.Step, Result: leader.Taken}))
					}
				}
			}
			status := func(ix int, revision assignment.Revision) {
				handle(co.Update(now, leader.StatusMsg{Status: protocol.Status{Member: tb.Members[ix], Revision: revision}, Follows: true, Own: ix == 0}))
			}
			for step := range 100 {
				now = now.Add(10 * time.Millisecond)
				for ix := range tc.members {
					status(ix, tb.Revision)
				}
				handle(co.Update(now, leader.UpstreamsMsg{Keyed: map[ident.Service]bool{"s": true}, Upstreams: []leader.Upstream{upstream("u0", true), upstream("u1", step < 20)}}))
				handle(co.Update(now, leader.TickMsg{}))
			}
			if tc.members > 1 {
				gm.Expect(given).To(BeFalse(), "before any acknowledgement")
			}
			status(tc.acknowledges, co.Table().Revision)
			gm.Expect(given).To(Equal(tc.given))
		})
	}
}
