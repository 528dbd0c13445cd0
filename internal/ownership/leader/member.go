package leader

import (
	"cmp"
	"maps"
	"slices"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
)

const (
	// maxAcks limits the acknowledgements kept per member. The oldest one that is
	// kept also covers all earlier revisions.
	maxAcks = 256
)

// ack is the first acknowledgement of a table revision by a member.
type ack struct {
	revision assignment.Revision
	at       clock.Instant
}

// member is the leader's state of one member.
type member struct {
	// heardAt is when its last status arrived.
	heardAt clock.Instant
	// acks holds the revisions that it acknowledged, in ascending order.
	acks     []ack
	stopping bool
	// latest is the entry from its last status.
	latest assignment.Member
}

// ack records an acknowledgement unless the member has already acknowledged this or
// a newer revision.
func (mb *member) ack(now clock.Instant, revision assignment.Revision) {
	if count := len(mb.acks); count > 0 && revision <= mb.acks[count-1].revision {
		return
	}
	mb.acks = append(mb.acks, ack{revision, now})
	if len(mb.acks) > maxAcks {
		mb.acks = slices.Delete(mb.acks, 0, maxAcks/2)
	}
}

// ackedAt returns when the member first acknowledged the revision or a newer one.
func (mb *member) ackedAt(revision assignment.Revision) (clock.Instant, bool) {
	ix, _ := slices.BinarySearchFunc(mb.acks, revision, func(ak ack, rv assignment.Revision) int {
		return cmp.Compare(ak.revision, rv)
	})
	if ix == len(mb.acks) {
		return 0, false
	}
	return mb.acks[ix].at, true
}

// updateMembers updates the draft's members from the statuses that have arrived.
func (co *Core) updateMembers(now clock.Instant) {
	listed := make(map[ident.Host]int, len(co.draft.Members))
	for ix := range co.draft.Members {
		listed[co.draft.Members[ix].Host] = ix
	}
	for _, host := range slices.Sorted(maps.Keys(co.members)) {
		mb := co.members[host]
		alive := now.Sub(mb.heardAt) < memberTimeout && !mb.stopping
		want := mb.latest
		want.Alive = alive
		ix, known := listed[host]
		have := &assignment.Member{}
		if known {
			have = &co.draft.Members[ix]
		}
		switch {
		case !known && alive:
			co.draft.Members = append(co.draft.Members, want)
			co.dirty = true
		case known && *have != want:
			if have.Alive && !alive {
				co.logEvent("memberLost", map[string]any{"host": host, "silentMs": now.Sub(mb.heardAt).Milliseconds(), "stopping": mb.stopping})
			}
			*have = want
			co.dirty = true
		case known && !alive && now.Sub(mb.heardAt) > deadMemberTTL:
			// Stop here: the removal invalidates the indexes in listed.
			co.removeMember(host)
			return
		}
	}
}

func (co *Core) removeMember(host ident.Host) {
	delete(co.members, host)
	kept := co.draft.Members[:0]
	for _, mb := range co.draft.Members {
		if mb.Host != host {
			kept = append(kept, mb)
		}
	}
	co.draft.Members = kept
	co.dirty = true
}
