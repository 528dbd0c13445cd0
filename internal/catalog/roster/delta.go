package roster

import "chervilwalk/internal/base/ident"

// Delta is the difference between two lists of entries. Hosts that have the list
// with the digest Base get a delta instead of the whole list.
type Delta struct {
	// Base is the digest of the list that the delta applies to.
	Base uint64
	// Gone lists the removed upstreams, Entries the new and changed entries.
	Gone    []ident.Upstream
	Entries []Entry
}

// Diff returns the delta from base to next. It omits entries whose digest is the
// same in both.
func Diff(base, next []Entry) Delta {
	dl := Delta{Base: Digest(base)}
	before := make(map[ident.Upstream]uint64, len(base))
	for _, en := range base {
		before[en.ID] = en.digest()
	}
	for _, en := range next {
		if had, known := before[en.ID]; !known || had != en.digest() {
			dl.Entries = append(dl.Entries, en)
		}
		delete(before, en.ID)
	}
	for _, en := range base {
		if _, gone := before[en.ID]; gone {
			dl.Gone = append(dl.Gone, en.ID)
		}
	}
	return dl
}

// Apply returns the list that results from applying the delta to base, or false if
// base does not have the digest Base. The entries may be in another order than in
// the list that Diff got.
func (dl *Delta) Apply(base []Entry) ([]Entry, bool) {
	if Digest(base) != dl.Base {
		return nil, false
	}
	replaced := make(map[ident.Upstream]bool, len(dl.Gone)+len(dl.Entries))
	for _, id := range dl.Gone {
		replaced[id] = true
	}
	for _, en := range dl.Entries {
		replaced[en.ID] = true
	}
	next := make([]Entry, 0, len(base)+len(dl.Entries))
	for _, en := range base {
		if !replaced[en.ID] {
			next = append(next, en)
		}
	}
	return append(next, dl.Entries...), true
}
