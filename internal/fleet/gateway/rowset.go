package gateway

import (
	"maps"
	"slices"

	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/platform"
)

// rowSet holds the operator rows as the store had them at a version.
type rowSet struct {
	rows    map[string]platform.Row
	version platform.Version
	// rewritten holds the domains whose rows were written in the era of version, and not
	// before.
	rewritten map[ident.Domain]bool
	// changedVersion is the newest version at which the last answer has changed the rows, as far
	// as it tells, or 0.
	changedVersion platform.Version
}

// rowAnswer is what the store or another host says of the operator rows: all of them at a
// version, or from a watch those that have changed.
type rowAnswer struct {
	rows    []platform.Row
	version platform.Version
	whole   bool
}

// update returns the set with an answer. The set itself stays as it is: what the rows say may
// turn out to be unknown for now.
func (rs rowSet) update(ra rowAnswer) rowSet {
	next := rowSet{rows: map[string]platform.Row{}, version: max(rs.version, ra.version), rewritten: map[ident.Domain]bool{}}
	changed := ra.rows
	if ra.whole {
		next.version = ra.version
	} else {
		maps.Copy(next.rows, rs.rows)
		// Another host may have told the rest while the watch was open.
		changed = slices.DeleteFunc(slices.Clone(changed), func(rw platform.Row) bool { return rw.Version <= rs.version })
	}
	// Rows of another era may be older than what this host knows.
	if ra.version.Era() == rs.version.Era() {
		maps.Copy(next.rewritten, rs.rewritten)
		noteRewritten(next.rewritten, rs.rows, changed, !ra.whole)
	}
	if ra.whole && rs.mayLose(ra) {
		// All rows do not say when one was deleted.
		next.changedVersion = ra.version
	}
	for _, rw := range changed {
		next.changedVersion = max(next.changedVersion, rw.Version)
		if rw.Deleted {
			delete(next.rows, rw.Key)
			continue
		}
		next.rows[rw.Key] = rw
	}
	return next
}

// mayLose reports whether rows may have been deleted between the set and all rows of an answer.
func (rs rowSet) mayLose(ra rowAnswer) bool {
	listed := make(map[string]bool, len(ra.rows))
	for _, rw := range ra.rows {
		listed[rw.Key] = true
	}
	for key := range rs.rows {
		if !listed[key] {
			return true
		}
	}
	return rs.version == 0 || ra.version.Era() != rs.version.Era()
}

// accepts reports whether rows that another host has sent are newer than the set. newest is the
// newest era that the store has named to this host.
func (rs rowSet) accepts(ra rowAnswer, newest era.Era) bool {
	return ra.version > rs.version && ra.version.Era() >= newest
}

// all returns the rows in the order of their keys.
func (rs rowSet) all() []platform.Row {
	rows := make([]platform.Row, 0, len(rs.rows))
	for _, key := range slices.Sorted(maps.Keys(rs.rows)) {
		rows = append(rows, rs.rows[key])
	}
	return rows
}

// noteRewritten notes the domains whose rows have changed since the last answer: those
// of a watch, or the difference between two reads.
func noteRewritten(rewritten map[ident.Domain]bool, before map[string]platform.Row, rows []platform.Row, watched bool) {
	listed := map[string]bool{}
	for _, rw := range rows {
		listed[rw.Key] = true
		if dm, ok := platform.EvacuatedDomain(rw.Key); ok && (watched || before[rw.Key].Version != rw.Version) {
			rewritten[dm] = true
		}
	}
	for key := range before {
		if dm, ok := platform.EvacuatedDomain(key); ok && !watched && !listed[key] {
			rewritten[dm] = true
		}
	}
}
