package assignment_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
)

// equalShares returns a table with count hosts and count shares of equal size,
// each with its own upstream.
func equalShares(count int) *assignment.Table {
	tb := &assignment.Table{Revision: 1, LastEpoch: keyspace.Epoch(count)}
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

// randomChange starts a move, makes the next claim of a share its owner, splits a
// share, marks a member as not alive, adds one or removes one.
func randomChange(rt *rapid.T, tb *assignment.Table) *assignment.Table {
	next := tb.Clone()
	next.Revision++
	ix := rapid.IntRange(0, len(next.Shares)-1).Draw(rt, "share")
	sh := &next.Shares[ix]
	switch rapid.IntRange(0, 5).Draw(rt, "kind") {
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
	case 4:
		next.Members = append(next.Members, assignment.Member{Host: ident.Host(fmt.Sprint("new", next.Revision)), Alive: true})
	case 5:
		if len(next.Members) > 1 {
			ix := rapid.IntRange(0, len(next.Members)-1).Draw(rt, "leaves")
			next.Members = slices.Delete(next.Members, ix, ix+1)
		}
	}
	return next
}

// TestApplyReversesDiff checks that a delta turns its base into the other table
// and applies to no other base.
func TestApplyReversesDiff(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gm := NewWithT(rt)
		base := equalShares(8)
		next := base
		for range rapid.IntRange(1, 6).Draw(rt, "changes") {
			next = randomChange(rt, next)
		}
		delta := assignment.Diff(base, next)
		applied, ok := delta.Apply(base)
		gm.Expect(ok).To(BeTrue())
		gm.Expect(applied).To(Equal(next))
		changed := delta.WithChangedMembers(base)
		gm.Expect(changed.Members).To(BeEmpty())
		applied, ok = changed.Apply(base)
		gm.Expect(ok).To(BeTrue())
		gm.Expect(applied).To(Equal(next))
		_, ok = delta.Apply(next)
		gm.Expect(ok).To(BeFalse(), "a delta applies only to its base")
	})
}

// TestOneMoveMakesASmallDelta checks that the delta of one move holds one share.
// Large sites have hundreds of shares and 142 hosts, some with 10 Mbit/s links.
func TestOneMoveMakesASmallDelta(t *testing.T) {
	gm := NewWithT(t)
	base := equalShares(321)
	next := base.Clone()
	next.Revision++
	next.Shares[7].Next = assignment.Claim{Upstream: "u9", Epoch: next.TakeEpoch()}
	delta := assignment.Diff(base, next)
	gm.Expect(delta.Added).To(HaveLen(1))
	gm.Expect(delta.Dropped).To(HaveLen(1))
	gm.Expect(delta.Members).To(BeEmpty())
}
