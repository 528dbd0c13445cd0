package leader

import (
	"cmp"
	"slices"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
)

// ack is a member's word that it follows a revision.
type ack struct {
	revision assignment.Revision
	at       clock.Instant
}

// member is what is known of a member beside the table.
type member struct {
	heardAt clock.Instant
	// acks are the revisions that it said it follows, in order.
	acks     []ack
	stopping bool
	latest   assignment.Member
}

// ack notes when a member first said that it follows a revision.
func (mb *member) ack(now clock.Instant, revision assignment.Revision) {
	if count := len(mb.acks); count > 0 && revision <= mb.acks[count-1].revision {
		return
	}
	mb.acks = append(mb.acks, ack{revision, now})
	if len(mb.acks) > ackMemory {
		mb.acks = slices.Delete(mb.acks, 0, ackMemory/2)
	}
}

// ackedAt is when the member first said that it follows a revision.
func (mb *member) ackedAt(revision assignment.Revision) (clock.Instant, bool) {
	ix, _ := slices.BinarySearchFunc(mb.acks, revision, func(ak ack, rv assignment.Revision) int {
		return cmp.Compare(ak.revision, rv)
	})
	if ix == len(mb.acks) {
		return 0, false
	}
	return mb.acks[ix].at, true
}

// watchMembers keeps the table's members in step with who is heard.
func (co *Core) watchMembers(now clock.Instant) {
	listed := make(map[ident.Host]int, len(co.draft.Members))
	for ix := range co.draft.Members {
		listed[co.draft.Members[ix].Host] = ix
	}
	for host, mb := range co.members {
		alive := now.Sub(mb.heardAt) < silentTime && !mb.stopping
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
				co.event("memberLost", map[string]any{"host": host, "silentMs": now.Sub(mb.heardAt).Milliseconds(), "stopping": mb.stopping})
			}
			*have = want
			co.dirty = true
		case known && !alive && now.Sub(mb.heardAt) > forgetTime:
			// The places of the others change with it.
			co.forget(host)
			return
		}
	}
}

func (co *Core) forget(host ident.Host) {
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
