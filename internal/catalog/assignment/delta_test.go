package assignment_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
)

// deal makes a table of equal shares, each with its own upstream.
func deal(count int) *assignment.Table {
	tb := &assignment.Table{Revision: 1, NextEpoch: keyspace.Epoch(count)}
	for ix := range count {
		from, to := ix*keyspace.Count/count, (ix+1)*keyspace.Count/count-1
		tb.Shares = append(tb.Shares, assignment.Share{
			Service: "lookup", Range: keyspace.Range{From: keyspace.Key(from), To: keyspace.Key(to)},
			Owner: assignment.Claim{Upstream: ident.Upstream(fmt.Sprint("u", ix)), Epoch: keyspace.Epoch(ix + 1)},
		})
		tb.Members = append(tb.Members, assignment.Member{Host: ident.Host(fmt.Sprint("h", ix)), Alive: true})
	}
	return tb
}

// change plans, ends or undoes a move, cuts a share or changes a member.
func change(rt *rapid.T, tb *assignment.Table) *assignment.Table {
	next := tb.Clone()
	next.Revision++
	ix := rapid.IntRange(0, len(next.Shares)-1).Draw(rt, "share")
	sh := &next.Shares[ix]
	switch rapid.IntRange(0, 3).Draw(rt, "kind") {
	case 0:
		sh.Next, sh.Fence = assignment.Claim{Upstream: "new", Epoch: next.TakeEpoch()}, next.TakeEpoch()
	case 1:
		sh.Owner, sh.Next, sh.Fence = sh.Next, assignment.Claim{}, 0
	case 2:
		if sh.Len() > 2 {
			next.Split(ix, keyspace.Range{From: sh.From + 1, To: sh.From + 1})
		}
	case 3:
		next.Members[rapid.IntRange(0, len(next.Members)-1).Draw(rt, "member")].Alive = false
	}
	return next
}

func TestDeltasLeadFromOneTableToAnother(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gm := NewWithT(rt)
		base := deal(8)
		next := base
		for range rapid.IntRange(1, 6).Draw(rt, "changes") {
			next = change(rt, next)
		}
		delta := assignment.Diff(base, next)
		reached, begins := delta.Apply(base)
		gm.Expect(begins).To(BeTrue())
		gm.Expect(reached).To(Equal(next))
		_, begins = delta.Apply(next)
		gm.Expect(begins).To(BeFalse(), "a delta is taken only by who knows its base")
	})
}

// TestOneMoveIsASmallDelta answers the load of the grown sites: hundreds of
// shares and 142 hosts, some of whose links carry 10 Mbit/s.
func TestOneMoveIsASmallDelta(t *testing.T) {
	gm := NewWithT(t)
	base := deal(321)
	next := base.Clone()
	next.Revision++
	next.Shares[7].Next = assignment.Claim{Upstream: "u9", Epoch: next.TakeEpoch()}
	delta := assignment.Diff(base, next)
	gm.Expect(delta.Added).To(HaveLen(1))
	gm.Expect(delta.Dropped).To(HaveLen(1))
	gm.Expect(delta.Members).To(BeEmpty())
}
