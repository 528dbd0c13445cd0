package assignment

import (
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

// Apply returns the table that results from applying the delta to base, and false
// if the delta has another base revision.
func (dl *Delta) Apply(base *Table) (*Table, bool) {
	if base.Revision != dl.Base {
		return nil, false
	}
	next := &Table{Revision: dl.Revision, LastEpoch: dl.LastEpoch, Members: base.Members}
	if len(dl.Members) > 0 {
		next.Members = slices.Clone(dl.Members)
	}
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
