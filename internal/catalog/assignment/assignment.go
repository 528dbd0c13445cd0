// Package assignment maps keys to the upstreams that own them. The table is kept
// in the platform's store, where only the current leader changes it, and is
// followed by every host.
//
//	sh, ok := tb.ShareOf("lookup", 4711)
//	if ok && !sh.Moving() { /* send to sh.Owner */ }
package assignment

import (
	"slices"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/roster"
)

// Revision numbers tables; a newer one has a higher revision.
type Revision uint64

// Claim is the ownership of keys by one incarnation of an upstream, with the epoch
// that it was granted in.
type Claim struct {
	Upstream    ident.Upstream
	Incarnation roster.Incarnation
	Epoch       keyspace.Epoch
}

// Share is a range of a service's keys with its owner.
type Share struct {
	Service ident.Service
	keyspace.Range
	// Owner holds the keys or, during a move, held them last.
	Owner Claim
	// Next is the next owner during a move; otherwise its Upstream is empty.
	Next Claim
	// Fence is the epoch that first fences off the owner during a move. Further
	// attempts use the epochs between it and that of Next.
	Fence keyspace.Epoch
}

// Moving reports whether the keys are moving to another upstream.
func (sh *Share) Moving() bool { return sh.Next.Upstream != "" }

// Member is a host that may renew grants and issue permits.
type Member struct {
	Host   ident.Host
	Domain ident.Domain
	// Address is the IP and port for datagrams.
	Address string
	// Incarnation distinguishes the processes of a host.
	Incarnation uint64
	// Fitness is the host's capacity for work beyond that of its own callers, from
	// 0 to 100.
	Fitness int
	// Alive is false for a member whose statuses have stopped.
	Alive bool
}

// Table is one revision of the assignment. A published table is immutable.
type Table struct {
	Revision Revision
	// LastEpoch is the highest epoch that TakeEpoch has returned.
	LastEpoch keyspace.Epoch
	Members   []Member
	// Shares is sorted by service and first key, without overlaps.
	Shares []Share
}

// Clone returns a copy of the table that can be changed.
func (tb *Table) Clone() *Table {
	return &Table{
		Revision: tb.Revision, LastEpoch: tb.LastEpoch, Members: slices.Clone(tb.Members), Shares: slices.Clone(tb.Shares),
	}
}

// TakeEpoch allocates an epoch that was never used. The leader of an era of the store
// first raises LastEpoch above all epochs of earlier eras.
func (tb *Table) TakeEpoch() keyspace.Epoch {
	tb.LastEpoch++
	return tb.LastEpoch
}

// Sort sorts the shares by service and first key.
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

// Index returns the index of the share that contains a key, or -1.
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

// ShareOf returns the share that contains a key, and false if there is none.
func (tb *Table) ShareOf(sv ident.Service, ky keyspace.Key) (Share, bool) {
	ix := tb.Index(sv, ky)
	if ix < 0 {
		return Share{}, false
	}
	return tb.Shares[ix], true
}

// Member returns the member that runs on a host, and false if there is none.
func (tb *Table) Member(host ident.Host) (*Member, bool) {
	for ix := range tb.Members {
		if tb.Members[ix].Host == host {
			return &tb.Members[ix], true
		}
	}
	return nil, false
}

// Split splits the share at an index so that the range, which must lie within
// it, becomes a share of its own. It returns the index of that share.
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

// Count returns the number of a service's shares.
func (tb *Table) Count(sv ident.Service) int {
	count := 0
	for ix := range tb.Shares {
		if tb.Shares[ix].Service == sv {
			count++
		}
	}
	return count
}

// Join joins the neighbouring shares of a service that don't move and that one incarnation of
// an upstream owns. Joined shares have a new epoch, above all that their owner has. It returns
// how many shares are gone.
func (tb *Table) Join(sv ident.Service) int {
	joined, fresh := make([]Share, 0, len(tb.Shares)), false
	for _, sh := range tb.Shares {
		last := len(joined) - 1
		if last < 0 || sh.Service != sv || !joined[last].joins(&sh) {
			joined, fresh = append(joined, sh), false
			continue
		}
		joined[last].To = sh.To
		if !fresh {
			joined[last].Owner.Epoch, fresh = tb.TakeEpoch(), true
		}
	}
	gone := len(tb.Shares) - len(joined)
	tb.Shares = joined
	return gone
}

// joins reports whether the share and the next one can be one.
func (sh *Share) joins(next *Share) bool {
	return sh.Service == next.Service && next.From > 0 && sh.To == next.From-1 && !sh.Moving() && !next.Moving() &&
		sh.Owner.Upstream == next.Owner.Upstream && sh.Owner.Incarnation == next.Owner.Incarnation
}
