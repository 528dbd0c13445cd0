// Package assignment holds which upstream owns which keys. The table is kept
// in the platform's store, changed there by one leader at a time, and followed
// by every host.
//
//	sh, ok := tb.Owner("lookup", 4711)
//	if ok && !sh.Moving() { /* send to sh.Owner */ }
package assignment

import (
	"slices"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/roster"
)

// Revision orders tables.
type Revision uint64

// Claim is an upstream's right to keys in one of its lives.
type Claim struct {
	Upstream ident.Upstream
	Life     roster.Life
	Epoch    keyspace.Epoch
}

// Share is a run of keys with its owner.
type Share struct {
	Service ident.Service
	keyspace.Range
	// Owner holds the keys, or held them last while they move.
	Owner Claim
	// Next is who gets the keys; its upstream is empty while nothing moves.
	Next Claim
	// Fence is the first of the epochs with which a moving share is taken from
	// its owner; the others lie between it and that of the next owner.
	Fence keyspace.Epoch
}

// Moving tells whether the keys are on their way to another upstream.
func (sh *Share) Moving() bool { return sh.Next.Upstream != "" }

// Member is a host that may renew grants and hand out permits.
type Member struct {
	Host    ident.Host
	Domain  ident.Domain
	Address string
	// Incarnation tells a host's processes apart.
	Incarnation uint64
	// Fitness is how well the host can do more than its own callers' work, in
	// hundredths.
	Fitness int
	// Alive is false for a member that fell silent.
	Alive bool
}

// Table is one revision of the assignment. A published table is not changed.
type Table struct {
	Revision  Revision
	NextEpoch keyspace.Epoch
	Members   []Member
	// Shares are ordered by service and first key and do not overlap.
	Shares []Share
}

// Clone copies a table so that it can be changed.
func (tb *Table) Clone() *Table {
	return &Table{
		Revision: tb.Revision, NextEpoch: tb.NextEpoch, Members: slices.Clone(tb.Members), Shares: slices.Clone(tb.Shares),
	}
}

// TakeEpoch returns an epoch that was never used.
func (tb *Table) TakeEpoch() keyspace.Epoch {
	tb.NextEpoch++
	return tb.NextEpoch
}

// Sort restores the order of the shares.
func (tb *Table) Sort() {
	slices.SortFunc(tb.Shares, func(left, right Share) int {
		if left.Service != right.Service {
			if left.Service < right.Service {
				return -1
			}
			return 1
		}
		return int(left.From) - int(right.From)
	})
}

// Index finds the share of a key, or -1.
func (tb *Table) Index(sv ident.Service, ky keyspace.Key) int {
	ix, found := slices.BinarySearchFunc(tb.Shares, ky, func(sh Share, ky keyspace.Key) int {
		switch {
		case sh.Service < sv || sh.Service == sv && sh.To < ky:
			return -1
		case sh.Service > sv || sh.From > ky:
			return 1
		}
		return 0
	})
	if !found {
		return -1
	}
	return ix
}

// Owner finds the share of a key.
func (tb *Table) Owner(sv ident.Service, ky keyspace.Key) (Share, bool) {
	ix := tb.Index(sv, ky)
	if ix < 0 {
		return Share{}, false
	}
	return tb.Shares[ix], true
}

// Member finds a host among the members.
func (tb *Table) Member(host ident.Host) (*Member, bool) {
	for ix := range tb.Members {
		if tb.Members[ix].Host == host {
			return &tb.Members[ix], true
		}
	}
	return nil, false
}

// Split cuts the share at an index so that the range is a share of its own,
// and returns its index. The range must lie within the share.
func (tb *Table) Split(ix int, rg keyspace.Range) int {
	sh := tb.Shares[ix]
	var pieces []Share
	if rg.From > sh.From {
		left := sh
		left.To = rg.From - 1
		pieces = append(pieces, left)
	}
	at := ix + len(pieces)
	middle := sh
	middle.Range = rg
	pieces = append(pieces, middle)
	if rg.To < sh.To {
		right := sh
		right.From = rg.To + 1
		pieces = append(pieces, right)
	}
	tb.Shares = slices.Replace(tb.Shares, ix, ix+1, pieces...)
	return at
}
