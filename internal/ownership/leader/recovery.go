package leader

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/renewal"
)

// When the store comes back from an older copy, the newest assignment is the newest
// that any host remembers. The first leader of the new era asks all members for it
// and writes it again. Owners keep their keys meanwhile. If a member is silent or has
// forgotten what it knew, the store may have lost an assignment that gave keys to
// other owners. Then no key moves until every grant of such an assignment has expired.

// reportTimeout is how long recovery waits for a member that has said to remember a
// newer assignment.
const reportTimeout = 4 * time.Second

// lostGrantTTL is how long a grant of a lost assignment can be valid: its leader may
// still be followed, and renewed for, by members that this leader does not reach.
var lostGrantTTL = election.StepDownTimeout + renewal.ConfirmTTL + renewal.CallTimeout + maxGrantTime(renewal.GrantTTL)

// recovery is the state of recovering the assignment in a new era of the store.
type recovery struct {
	active    bool
	startedAt clock.Instant
	// certain reports that this host wrote the last assignment of the earlier era.
	certain bool
	// firstStart reports that the whole system has started for the first time, so that
	// the store has lost nothing.
	firstStart bool
	// reported holds the members that follow this leader and remember nothing newer,
	// newer those that do, forgotten those that have restarted since.
	reported, newer, forgotten map[ident.Host]bool
	// frozenUntil is when the last grant of a lost assignment has expired.
	frozenUntil clock.Instant
}

// Recovering reports whether the table is not yet known to be the newest one.
func (co *Core) Recovering() bool { return co.recovery.active }

// TrustTable says that no other host can have written an assignment since the table.
func (co *Core) TrustTable() { co.recovery.certain = true }

// Freeze lets no key move before a time.
func (co *Core) Freeze(until clock.Instant) {
	co.recovery.frozenUntil = max(co.recovery.frozenUntil, until)
}

// FrozenFor returns for how long no key may move.
func (co *Core) FrozenFor(now clock.Instant) time.Duration {
	if co.recovery.active && !co.recovery.certain {
		return lostGrantTTL
	}
	return max(co.recovery.frozenUntil.Sub(now), 0)
}

// frozen reports whether no key may move because a lost assignment may still be in use.
func (co *Core) frozen(now clock.Instant) bool {
	return co.recovery.active || now < co.recovery.frozenUntil
}

func (co *Core) startRecovery(now clock.Instant) {
	co.recovery = recovery{active: true, startedAt: now, frozenUntil: co.recovery.frozenUntil, firstStart: co.recovery.firstStart, reported: map[ident.Host]bool{}, newer: map[ident.Host]bool{}, forgotten: map[ident.Host]bool{}}
	// A leader that the store has forgotten may still send heartbeats.
	co.previous, co.previousGone = election.Row{Term: max(co.previous.Term, 1), Host: co.previous.Host}, false
}

// noteRevision notes which revision a member remembers. A leader that has not written
// in this era yet learns here that the store has lost assignments.
func (co *Core) noteRevision(now clock.Instant, ms StatusMsg) {
	newer := ms.Status.Revision > co.table.Revision
	unwritten := era.Of(co.table.Revision) < co.era || co.table.Revision == 0
	if newer && unwritten && !co.recovery.active && !co.commitInFlight {
		co.startRecovery(now)
	}
	if !co.recovery.active || !ms.Follows {
		return
	}
	rc, mb := &co.recovery, ms.Status.Member
	delete(rc.newer, mb.Host)
	listed, known := co.table.Member(mb.Host)
	switch {
	case newer:
		rc.newer[mb.Host] = true
	case known && listed.Incarnation != mb.Incarnation:
		rc.forgotten[mb.Host] = true
	default:
		rc.reported[mb.Host] = true
	}
}

// handleReport takes the assignment that a member remembers if it is the newest.
func (co *Core) handleReport(now clock.Instant, tb *assignment.Table) {
	if co.recovery.active && tb.Revision > co.table.Revision {
		co.resume(now, tb)
		// What the members remember is compared with this table from now on.
		clear(co.recovery.reported)
		clear(co.recovery.forgotten)
		co.recovery.certain = false
	}
}

// finishRecovery ends the recovery once all members have reported or had the time to,
// and reports whether it has ended.
func (co *Core) finishRecovery(now clock.Instant) bool {
	rc := &co.recovery
	waited := now.Sub(rc.startedAt)
	silent, forgotten := 0, 0
	for _, mb := range co.table.Members {
		switch {
		case !mb.Alive || rc.reported[mb.Host]:
		case rc.forgotten[mb.Host]:
			forgotten++
		default:
			silent++
		}
	}
	if silent > 0 && waited < memberTimeout || len(rc.newer) > 0 && waited < reportTimeout {
		return false
	}
	rc.active = false
	if !rc.certain && silent+forgotten+len(rc.newer) > 0 {
		co.Freeze(rc.startedAt.Add(lostGrantTTL))
	}
	co.dirty = true
	co.logEvent("assignmentRecovered", map[string]any{
		"era": co.era, "revision": co.table.Revision, "reported": len(rc.reported), "silent": silent, "forgotten": forgotten,
		"certain": rc.certain, "tookMs": waited.Milliseconds(), "frozenMs": max(rc.frozenUntil.Sub(now), 0).Milliseconds(),
	})
	return true
}
