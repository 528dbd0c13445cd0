package leader

import (
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/renewal"
)

// When the store comes back from an older copy, the newest assignment is the newest
// that any host remembers. The first leader of the new era asks all members for it
// and writes it again. Owners keep their keys meanwhile. If a member is silent or has
// forgotten what it knew, the store may have lost an assignment that gave keys to
// other owners. Then the table is uncertain: no key moves and no grant is given anew until every
// grant of such an assignment has expired, and after that all keys get epochs of the new era, above
// those of the lost assignment.

// reportTimeout is how long recovery waits for a member that has said to remember a
// newer assignment.
const reportTimeout = 4 * time.Second

// lostGrantTTL is how long a grant of a lost assignment can be valid: its leader may
// still be followed, and renewed for, by members that this leader does not reach.
var lostGrantTTL = election.StepDownTimeout + renewal.ConfirmTTL + renewal.CallTimeout + maxGrantTime(renewal.GrantTTL)

// endedGrantTTL is how long a grant of a lost assignment can be valid after its leader and all members
// that the table names have ended: a host that the leader had confirmed may still renew it.
var endedGrantTTL = renewal.ConfirmTTL + renewal.CallTimeout + maxGrantTime(renewal.GrantTTL)

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
	// forgottenAt is when the last of those that have restarted was first heard.
	forgottenAt clock.Instant
	// frozenUntil is when the last grant of a lost assignment has expired.
	frozenUntil clock.Instant
	// uncertain is set if the store may have lost an assignment, until the epochs of the table
	// in the store are above those of the lost one. doubted means that it was so already in
	// the earlier era.
	uncertain, doubted bool
}

// Recovering reports whether the table is not yet known to be the newest one.
func (co *Core) Recovering() bool { return co.recovery.active }

// Uncertain reports whether the store may have lost a newer assignment than the table.
func (co *Core) Uncertain() bool {
	return co.recovery.active && !co.recovery.certain || co.recovery.uncertain
}

// DoubtTable says that the table was uncertain already in an earlier era.
func (co *Core) DoubtTable() { co.recovery.doubted = true }

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
	return co.recovery.active || co.recovery.uncertain || now < co.recovery.frozenUntil
}

func (co *Core) startRecovery(now clock.Instant) {
	co.recovery = recovery{active: true, startedAt: now, frozenUntil: co.recovery.frozenUntil, firstStart: co.recovery.firstStart, uncertain: co.recovery.uncertain, doubted: co.recovery.doubted, reported: map[ident.Host]bool{}, newer: map[ident.Host]bool{}, forgotten: map[ident.Host]bool{}}
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
		if !rc.forgotten[mb.Host] {
			rc.forgotten[mb.Host], rc.forgottenAt = true, now
		}
	default:
		rc.reported[mb.Host] = true
		if ms.Status.Uncertain && !ms.Own && ms.Status.Revision == co.table.Revision {
			rc.doubted = true
		}
	}
}

// handleReport takes the assignment that a member remembers if it is the newest.
func (co *Core) handleReport(now clock.Instant, tb *assignment.Table) {
	if co.recovery.active && tb.Revision > co.table.Revision {
		co.resume(now, tb)
		// What the members remember is compared with this table from now on.
		clear(co.recovery.reported)
		clear(co.recovery.forgotten)
		co.recovery.certain, co.recovery.doubted = false, false
	}
}

// finishRecovery ends the recovery once all members have reported or had the time to,
// and reports whether it has ended.
func (co *Core) finishRecovery(now clock.Instant) bool {
	rc := &co.recovery
	waited := now.Sub(rc.startedAt)
	reported, silent, forgotten := 0, 0, 0
	for _, mb := range co.table.Members {
		switch {
		case rc.forgotten[mb.Host]:
			// One that the table takes for lost may have led since.
			forgotten++
		case !mb.Alive:
		case rc.reported[mb.Host]:
			reported++
		default:
			silent++
		}
	}
	if silent > 0 && waited < memberTimeout || len(rc.newer) > 0 && waited < reportTimeout {
		return false
	}
	rc.active = false
	if expiresAt, lost := rc.lostGrantsExpireAt(reported, forgotten, silent+len(rc.newer)); lost {
		rc.uncertain = true
		co.Freeze(expiresAt)
	}
	co.dirty = true
	co.logEvent("assignmentRecovered", map[string]any{
		"era": co.era, "revision": co.table.Revision, "reported": reported, "silent": silent, "forgotten": forgotten,
		"certain": rc.certain, "uncertain": rc.uncertain, "tookMs": waited.Milliseconds(), "frozenMs": max(rc.frozenUntil.Sub(now), 0).Milliseconds(),
	})
	return true
}

// lostGrantsExpireAt returns when all grants of a lost assignment have expired; lost is false if there
// can be none that this leader does not know. It gets how many members of the table have reported, have
// restarted, and have not been heard.
func (rc *recovery) lostGrantsExpireAt(reported, forgotten, unheard int) (at clock.Instant, lost bool) {
	switch {
	case rc.certain, !rc.doubted && reported > 0 && forgotten+unheard <= 1:
		// No keys are given to others before two hosts know of it, the leader and one more.
		return 0, false
	case rc.doubted, unheard > 0:
		return rc.startedAt.Add(lostGrantTTL), true
	case forgotten > 0:
		return rc.forgottenAt.Add(endedGrantTTL), true
	default:
		return 0, false
	}
}

// endUncertainty raises the epochs of the table once no grant of a lost assignment is valid any more.
// The table is certain when the store has it with those epochs.
func (co *Core) endUncertainty(now clock.Instant) {
	if !co.recovery.uncertain || now < co.recovery.frozenUntil {
		return
	}
	first := era.First[keyspace.Epoch](co.era)
	if !slices.ContainsFunc(co.table.Shares, func(sh assignment.Share) bool { return newestClaim(&sh).Epoch < first }) {
		co.recovery.uncertain = false
		co.logEvent("assignmentCertain", map[string]any{"era": co.era, "revision": co.table.Revision})
		return
	}
	for ix := range co.draft.Shares {
		sh := &co.draft.Shares[ix]
		cl := newestClaim(sh)
		if cl.Epoch >= first {
			continue
		}
		before := *sh
		cl.Epoch = co.draft.TakeEpoch()
		co.dirty = true
		if sh.Moving() {
			co.renumberMove(before, *sh)
		}
	}
}

// renumberMove gives a move the epoch that its next owner gets now. What it has waited for old grants
// counts.
func (co *Core) renumberMove(before, after assignment.Share) {
	from, to := moveID(before), moveID(after)
	co.resumedMoves[to] = co.resumedMoves[from]
	if mv, known := co.moves[from]; known {
		delete(co.moves, from)
		mv.id, mv.share = to, after
		co.moves[to] = mv
	}
}

// newestClaim returns the claim of a share that is granted next: a moving one is not renewed.
func newestClaim(sh *assignment.Share) *assignment.Claim {
	if sh.Moving() {
		return &sh.Next
	}
	return &sh.Owner
}
