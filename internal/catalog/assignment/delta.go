package assignment

import (
	"maps"
	"slices"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
)

// ShareStart identifies a share by its service and first key.
type ShareStart struct {
	Service ident.Service
	From    keyspace.Key
}

// Delta is the difference between two revisions of the table. It is sent to hosts
// that know the earlier one, because the whole table of a large deployment would
// saturate a small host's link.
type Delta struct {
	Base, Revision Revision
	LastEpoch      keyspace.Epoch
	// Members holds all members if any of them changed; otherwise it is empty. A table
	// whose members have all left has no delta.
	Members []Member
	// Changed holds the members that are new or have changed, Left those that are gone. A
	// delta has either these or Members.
	Changed []Member
	Left    []ident.Host
	// Dropped shares are removed before Added shares are inserted.
	Dropped []ShareStart
	Added   []Share
}

// Diff returns the delta from one table to another.
func Diff(base, next *Table) Delta {
	dl := Delta{Base: base.Revision, Revision: next.Revision, LastEpoch: next.LastEpoch}
	if !slices.Equal(base.Members, next.Members) {
		dl.Members = next.Members
	}
	kept := make(map[Share]bool, len(next.Shares))
	for _, sh := range next.Shares {
		kept[sh] = true
	}
	for _, sh := range base.Shares {
		if kept[sh] {
			delete(kept, sh)
			continue
		}
		dl.Dropped = append(dl.Dropped, ShareStart{sh.Service, sh.From})
	}
	for _, sh := range next.Shares {
		if kept[sh] {
			dl.Added = append(dl.Added, sh)
		}
	}
	return dl
}

// ChangesMembers reports whether the delta has the members that have changed in place of all.
func (dl *Delta) ChangesMembers() bool { return len(dl.Changed)+len(dl.Left) > 0 }

// WithChangedMembers returns the delta from a base with only those members that have changed.
func (dl Delta) WithChangedMembers(base *Table) Delta {
	known := make(map[ident.Host]Member, len(base.Members))
	for _, mb := range base.Members {
		known[mb.Host] = mb
	}
	for _, mb := range dl.Members {
		if known[mb.Host] != mb {
			dl.Changed = append(dl.Changed, mb)
		}
		delete(known, mb.Host)
	}
	if len(dl.Members) > 0 {
		dl.Left = slices.Sorted(maps.Keys(known))
	}
	dl.Members = nil
	return dl
}

// members returns the members that result from applying the delta to those of base.
func (dl *Delta) members(base *Table) []Member {
	if len(dl.Members) > 0 {
		return slices.Clone(dl.Members)
	}
	if !dl.ChangesMembers() {
		return base.Members
	}
	changed := make(map[ident.Host]Member, len(dl.Changed))
	for _, mb := range dl.Changed {
		changed[mb.Host] = mb
	}
	left := make(map[ident.Host]bool, len(dl.Left))
	for _, host := range dl.Left {
		left[host] = true
	}
	members := make([]Member, 0, len(base.Members)+len(dl.Changed))
	for _, mb := range base.Members {
		if left[mb.Host] {
			continue
		}
		if now, known := changed[mb.Host]; known {
			mb = now
			delete(changed, mb.Host)
		}
		members = append(members, mb)
	}
	for _, mb := range dl.Changed {
		if _, added := changed[mb.Host]; added {
			members = append(members, mb)
		}
	}
	return members
}

// Apply returns the table that results from applying the delta to base, and false
// if the delta has another base revision.
func (dl *Delta) Apply(base *Table) (*Table, bool) {
	if base.Revision != dl.Base {
		return nil, false
	}
	next := &Table{Revision: dl.Revision, LastEpoch: dl.LastEpoch, Members: dl.members(base)}
	dropped := make(map[ShareStart]bool, len(dl.Dropped))
	for _, ss := range dl.Dropped {
		dropped[ss] = true
	}
	next.Shares = make([]Share, 0, len(base.Shares)+len(dl.Added))
	for _, sh := range base.Shares {
		if !dropped[ShareStart{sh.Service, sh.From}] {
			next.Shares = append(next.Shares, sh)
		}
	}
	next.Shares = append(next.Shares, dl.Added...)
	next.Sort()
	return next, true
}
