package roster

import "chervilwalk/internal/base/ident"

// Delta leads from one list of entries to another; hosts that know the first
// one by its digest are told this in place of the whole list.
type Delta struct {
	// Base is the digest of the list that it begins at.
	Base    uint64
	Gone    []ident.Upstream
	Entries []Entry
}

// Diff is the delta from one list to another, of what matters to anybody.
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

// Apply is the list that the delta leads to; false means that it does not
// begin at this one.
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
