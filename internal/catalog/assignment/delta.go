package assignment

import (
	"slices"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
)

// Place is where a share begins.
type Place struct {
	Service ident.Service
	From    keyspace.Key
}

// Delta leads from one revision of the table to a later one. It is what hosts
// that know the earlier one are told, since the whole table of a large
// deployment would fill a small host's link.
type Delta struct {
	Base, Revision Revision
	NextEpoch      keyspace.Epoch
	// Members are all members where any of them changed; else there are none.
	Members []Member
	Dropped []Place
	Added   []Share
}

// Diff is the delta from one table to another.
func Diff(base, next *Table) Delta {
	dl := Delta{Base: base.Revision, Revision: next.Revision, NextEpoch: next.NextEpoch}
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
		dl.Dropped = append(dl.Dropped, Place{sh.Service, sh.From})
	}
	for _, sh := range next.Shares {
		if kept[sh] {
			dl.Added = append(dl.Added, sh)
		}
	}
	return dl
}

// Apply is the table that the delta leads to; false means that it does not
// begin at this one.
func (dl *Delta) Apply(base *Table) (*Table, bool) {
	if base.Revision != dl.Base {
		return nil, false
	}
	next := &Table{Revision: dl.Revision, NextEpoch: dl.NextEpoch, Members: base.Members}
	if len(dl.Members) > 0 {
		next.Members = slices.Clone(dl.Members)
	}
	dropped := make(map[Place]bool, len(dl.Dropped))
	for _, pl := range dl.Dropped {
		dropped[pl] = true
	}
	next.Shares = make([]Share, 0, len(base.Shares)+len(dl.Added))
	for _, sh := range base.Shares {
		if !dropped[Place{sh.Service, sh.From}] {
			next.Shares = append(next.Shares, sh)
		}
	}
	next.Shares = append(next.Shares, dl.Added...)
	next.Sort()
	return next, true
}
