package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/renewal"
)

// MoveID identifies a move. The epoch is that of the next owner.
type MoveID struct {
	Service ident.Service
	Range   keyspace.Range
	Epoch   keyspace.Epoch
}

// compareMoves orders moves by their epoch, which no two moves share.
func compareMoves(left, right *move) int { return cmp.Compare(left.id.Epoch, right.id.Epoch) }

func moveID(sh assignment.Share) MoveID {
	return MoveID{Service: sh.Service, Range: sh.Range, Epoch: sh.Next.Epoch}
}

// Step is the current step of a move.
type Step int

const (
	// Fence grants the keys to the old owner again, with a higher epoch.
	Fence Step = iota
	// Release takes the keys from the old owner.
	Release
	// Give grants the keys to the next owner.
	Give
	// Finished moves wait until the store has the new owner.
	Finished
)

// String returns the name of the step in logs.
func (st Step) String() string {
	return [...]string{"fence", "release", "give", "finished"}[st]
}

const (
	// fenceTTL is the lifetime of the grant that fences the old owner. If the
	// release is lost, the owner keeps the keys that long.
	fenceTTL = 2 * time.Second
	// releaseTimeout is the timeout of a release, which waits for running requests.
	releaseTimeout = 2 * time.Second
	// moveCheckInterval is the time between two checks of whether old grants have
	// expired.
	moveCheckInterval = 50 * time.Millisecond
	// retryDelay is the time between the end of a call and the next attempt.
	retryDelay = 250 * time.Millisecond
	// maxFenceTries is how often a move tries to fence the old owner. Each attempt
	// has its own epoch, so that the old owner refuses an unanswered attempt that
	// arrives after the next one.
	maxFenceTries = 3
	// maxLateFenceTries is how often it tries again while the old grant lasts: the old owner may
	// be reached again. lateFenceInterval is the time from one of these attempts to the next,
	// lateFenceTTL the lifetime of their grants.
	maxLateFenceTries = 9
	lateFenceInterval = 500 * time.Millisecond
	lateFenceTTL      = 700 * time.Millisecond
	// maxGiveTries is how often a move tries to grant the keys to the next owner. After
	// that the move ends and renewals grant them.
	maxGiveTries = 3
	// clockRate covers an upstream's clock that runs 2% slow, clockSlack a call that
	// is still in flight.
	clockRate  = 1.02
	clockSlack = 350 * time.Millisecond
)

// move is the state of a move in progress.
type move struct {
	id       MoveID
	share    assignment.Share
	step     Step
	inFlight bool
	// nextCallAt is when the next call of the step starts.
	nextCallAt clock.Instant
	tries      int
	// blocked moves wait for old grants, as of the last check; checkAt is when the next
	// one is due.
	blocked bool
	checkAt clock.Instant
	// revision is that of the first table with the move, seen at storedAt.
	revision assignment.Revision
	storedAt clock.Instant
	// fenceEpoch is the epoch of the last attempt to fence the old owner.
	fenceEpoch keyspace.Epoch
	// heldUntil is when all grants from fence calls have expired.
	heldUntil clock.Instant
	handover  keyspace.Handover
	// resumed moves were started by an earlier leader, which may already have
	// granted the keys to the next owner. So the old owner is not fenced, and its
	// release waits until no member renews the old grant any more.
	resumed   bool
	startedAt clock.Instant
}

// syncMoves adds and removes moves to match the table in the store.
func (co *Core) syncMoves(now clock.Instant) {
	co.movesDueAt = now
	current := map[MoveID]bool{}
	for _, sh := range co.table.Shares {
		if !sh.Moving() {
			continue
		}
		id := moveID(sh)
		current[id] = true
		if _, known := co.moves[id]; known {
			continue
		}
		mv := &move{id: id, share: sh, fenceEpoch: sh.Fence, nextCallAt: now, revision: co.table.Revision, storedAt: now, startedAt: now, resumed: co.resumedMoves[id]}
		if mv.resumed {
			mv.step = Release
		}
		co.moves[id] = mv
	}
	for id := range co.moves {
		if !current[id] {
			delete(co.moves, id)
		}
	}
}

// startDueCalls returns the next call of each move that is due. Moves whose old
// grant has expired continue with Give.
func (co *Core) startDueCalls(now clock.Instant) []Cmd {
	if now < co.movesDueAt {
		return nil
	}
	var cmds []Cmd
	co.movesDueAt = now.Add(moveCheckInterval)
	tried := map[ident.Upstream]bool{}
	for _, mv := range slices.SortedFunc(maps.Values(co.moves), compareMoves) {
		if now >= mv.checkAt && mv.step != Finished {
			co.checkMove(now, mv)
		}
		late := mv.step == Fence && mv.tries >= maxFenceTries
		if late && !co.mayFenceLate(now, mv, tried) {
			// Wait until the old grant has expired.
			continue
		}
		if !mv.inFlight && !mv.blocked && now < mv.nextCallAt {
			co.movesDueAt = min(co.movesDueAt, mv.nextCallAt)
		}
		if mv.inFlight || mv.blocked || now < mv.nextCallAt || mv.step == Finished {
			continue
		}
		cmds = append(cmds, mv.startCall(now))
	}
	return cmds
}

// mayFenceLate reports whether an old owner that has not answered is called once more. Of the moves
// from one owner the first one finds out whether it answers, tried holds those that have one. No
// attempt may hold the keys for longer than the old grant does.
func (co *Core) mayFenceLate(now clock.Instant, mv *move, tried map[ident.Upstream]bool) bool {
	claim := mv.share.Owner
	up, known := co.upstreams[claim.Upstream]
	if !known || up.Incarnation != claim.Incarnation || mv.tries >= maxFenceTries+maxLateFenceTries {
		return false
	}
	if tried[claim.Upstream] && !up.reached {
		return false
	}
	tried[claim.Upstream] = true
	if mv.inFlight || now < mv.nextCallAt {
		return false
	}
	held := now.Add(renewal.CallTimeout).Add(maxGrantTime(lateFenceTTL))
	return held <= co.renewalsEndAt(now, mv).Add(maxGrantTime(renewal.GrantTTL))
}

// checkMove finds out whether a move still has to wait for old grants. It looks at
// every member, so it is not repeated with each of the many messages that arrive while
// hundreds of keys move.
func (co *Core) checkMove(now clock.Instant, mv *move) {
	if mv.step < Give && now >= co.grantExpiresAt(now, mv) {
		co.logEvent("grantLapsed", map[string]any{"upstream": mv.share.Owner.Upstream, "from": mv.share.From, "to": mv.share.To, "waitedMs": now.Sub(mv.storedAt).Milliseconds()})
		mv.enterStep(now, Give)
	}
	mv.checkAt = now.Add(moveCheckInterval)
	mv.blocked = mv.step == Give && !co.witnessed(mv.revision) || mv.resumed && (mv.step == Give && now < co.resumedGiveAt(now, mv) || mv.step == Release && now < co.renewalsEndAt(now, mv))
}

// witnessed reports whether a member other than this host knows the table of a revision, if there are
// others. Then no single host is the only one that remembers why keys have another owner, should
// the store lose the table.
func (co *Core) witnessed(revision assignment.Revision) bool {
	if revision <= co.witnessedRevision {
		return true
	}
	return !slices.ContainsFunc(co.table.Members, func(mb assignment.Member) bool { return mb.Host != co.self })
}

// noteWitness records that a member knows the table of a revision. It reports whether moves have
// waited for that.
func (co *Core) noteWitness(now clock.Instant, host ident.Host, revision assignment.Revision) bool {
	if host == co.self || revision <= co.witnessedRevision {
		return false
	}
	co.witnessedRevision = revision
	waited := false
	for _, mv := range co.moves {
		if mv.step == Give && mv.blocked {
			mv.checkAt, co.movesDueAt, waited = now, now, true
		}
	}
	return waited
}

func (mv *move) enterStep(now clock.Instant, step Step) {
	mv.step, mv.tries, mv.nextCallAt, mv.inFlight = step, 0, now, false
	mv.checkAt = now
}

// startCall returns the call of the move's current step.
func (mv *move) startCall(now clock.Instant) Cmd {
	mv.inFlight = true
	mv.tries++
	cmd := CallCmd{
		Move: mv.id, Step: mv.step, Service: mv.share.Service, Range: mv.share.Range, Upstream: mv.share.Owner.Upstream, Epoch: mv.fenceEpoch,
		Timeout: renewal.CallTimeout,
	}
	switch mv.step {
	case Fence:
		mv.fenceEpoch = mv.share.Fence + keyspace.Epoch(mv.tries-1)
		cmd.TTL, cmd.Epoch = fenceTTL, mv.fenceEpoch
		if mv.tries > maxFenceTries {
			cmd.TTL = lateFenceTTL
		}
		mv.heldUntil = max(mv.heldUntil, now.Add(cmd.Timeout).Add(maxGrantTime(cmd.TTL)))
	case Release:
		cmd.Timeout = releaseTimeout
	case Give:
		cmd.Upstream, cmd.Epoch = mv.share.Next.Upstream, mv.share.Next.Epoch
		cmd.TTL, cmd.Handover = renewal.GrantTTL, mv.handover
	case Finished:
	}
	return cmd
}

// maxGrantTime returns the longest time, by this host's clock, for which a grant can
// be valid at an upstream.
func maxGrantTime(ttl time.Duration) time.Duration {
	return time.Duration(clockRate*float64(ttl)) + clockSlack
}

// stalled reports whether the move only waits for time to pass and needs no calls.
func (mv *move) stalled() bool {
	return mv.resumed && mv.step == Release || mv.step == Fence && (mv.tries > maxFenceTries || mv.tries == maxFenceTries && !mv.inFlight)
}

// handleStep handles the result of a call.
func (co *Core) handleStep(now clock.Instant, ms StepMsg) {
	mv, known := co.moves[ms.Move]
	if !known || mv.step != ms.Step {
		return
	}
	mv.inFlight, mv.nextCallAt = false, now.Add(retryDelay)
	co.noteStep(mv, ms)
	co.movesDueAt = now
	if ms.Result == Misdirected && mv.step < Give {
		// Another upstream answers at the address, so the old owner has ended.
		mv.enterStep(now, Give)
		return
	}
	switch mv.step {
	case Fence:
		if ms.Result == Taken {
			mv.enterStep(now, Release)
		} else if mv.tries >= maxFenceTries {
			mv.nextCallAt = now.Add(lateFenceInterval)
		}
	case Release:
		if ms.Result == Taken {
			mv.handover = ms.Handover
			mv.enterStep(now, Give)
		}
	case Give:
		if ms.Result == Taken || mv.tries >= maxGiveTries {
			co.finish(now, mv, ms.Result)
		}
	case Finished:
	}
}

// noteStep notes that the upstream of a call was reached.
func (co *Core) noteStep(mv *move, ms StepMsg) {
	claim := mv.share.Owner
	if mv.step == Give {
		claim = mv.share.Next
	}
	up, known := co.upstreams[claim.Upstream]
	if known && up.Incarnation == claim.Incarnation && (ms.Result == Taken || ms.Result == Superseded) {
		up.reached = true
	}
}

// finish makes the next owner the owner in the draft, with a new epoch if it has seen
// a higher one.
func (co *Core) finish(now clock.Instant, mv *move, result Result) {
	mv.step = Finished
	ix := co.draft.Index(mv.id.Service, mv.id.Range.From)
	if ix < 0 || moveID(co.draft.Shares[ix]) != mv.id {
		return
	}
	sh := &co.draft.Shares[ix]
	sh.Owner, sh.Next, sh.Fence = sh.Next, assignment.Claim{}, 0
	if result == Superseded {
		sh.Owner.Epoch = co.draft.TakeEpoch()
	}
	co.dirty = true
	co.logEvent("moved", map[string]any{
		"service": sh.Service, "from": sh.From, "to": sh.To, "owner": sh.Owner.Upstream, "epoch": sh.Owner.Epoch,
		"warm": mv.handover != "", "tookMs": now.Sub(mv.startedAt).Milliseconds(),
	})
}

// renewalsEndAt returns when no member renews the old owner's grant any more. Each
// member stops when it acknowledges the table with the move, or when its older table
// has not been confirmed for renewal.ConfirmTTL.
func (co *Core) renewalsEndAt(now clock.Instant, mv *move) clock.Instant {
	end := mv.storedAt
	unackedEnd := mv.storedAt.Add(renewal.ConfirmTTL)
	if !co.Settled(now) {
		// Members that this host does not reach may still get heartbeats from an
		// earlier leader.
		unackedEnd = co.startedAt.Add(election.StepDownTimeout + renewal.ConfirmTTL)
	} else if co.settledAt > 0 {
		unackedEnd = max(unackedEnd, co.settledAt.Add(renewal.ConfirmTTL))
	}
	for _, mb := range co.table.Members {
		state, found := co.members[mb.Host]
		if !found {
			end = max(end, unackedEnd)
			continue
		}
		at, acked := state.ackedAt(mv.revision)
		if !acked {
			at = unackedEnd
		}
		// A member that was cut off acknowledges late, but stopped before.
		end = max(end, min(at, unackedEnd))
	}
	return end.Add(renewal.CallTimeout)
}

// resumedGiveAt returns when the keys of a resumed move may be granted to the next
// owner. The old owner was not fenced by this leader: a renewal, or a fence call of
// the earlier leader, that was not answered can still take effect after the release.
func (co *Core) resumedGiveAt(now clock.Instant, mv *move) clock.Instant {
	return max(co.grantExpiresAt(now, mv), co.startedAt.Add(maxGrantTime(fenceTTL)))
}

// grantExpiresAt returns when the old owner's last grant is certain to have expired.
func (co *Core) grantExpiresAt(now clock.Instant, mv *move) clock.Instant {
	return max(co.renewalsEndAt(now, mv).Add(maxGrantTime(renewal.GrantTTL)), mv.heldUntil)
}
