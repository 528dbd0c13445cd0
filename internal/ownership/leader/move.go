package leader

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/renewal"
)

// MoveID names a move by the epoch that its next owner gets.
type MoveID struct {
	Service ident.Service
	Range   keyspace.Range
	Epoch   keyspace.Epoch
}

func moveID(sh assignment.Share) MoveID {
	return MoveID{Service: sh.Service, Range: sh.Range, Epoch: sh.Next.Epoch}
}

// Step is what a move does next.
type Step int

const (
	// Fence gives the keys to the old owner with a higher epoch.
	Fence Step = iota
	// Release takes the keys from the old owner.
	Release
	// Give grants the keys to the next owner.
	Give
	// Finished moves wait for the store to hold their end.
	Finished
)

// String is the step's name in logs.
func (st Step) String() string {
	return [...]string{"fence", "release", "give", "finished"}[st]
}

const (
	// fenceHold is how long a fenced owner keeps keys whose release is lost.
	fenceHold = 2 * time.Second
	// releaseTime bounds a release, which waits for the work that runs.
	releaseTime = 2 * time.Second
	// retryTime is the time between two tries of a step.
	retryTime = 250 * time.Millisecond
	// fences is how often the old owner is fenced, each time with an epoch of its
	// own: one that was not answered may take effect late, and is then refused
	// for the next one's sake.
	fences = 3
	// gives is how often the next owner is tried before renewals go on.
	gives = 3
	// clockSlack covers an upstream's clock that runs 2% slow, and a call that
	// was still on its way.
	clockRate  = 1.02
	clockSlack = 350 * time.Millisecond
)

// move is one move on its way.
type move struct {
	id    MoveID
	share assignment.Share
	step  Step
	busy  bool
	// due is when the step is tried again.
	due   clock.Instant
	tries int
	// revision is the table that first held the move.
	revision assignment.Revision
	storedAt clock.Instant
	// fence is the epoch of the last try to fence the old owner.
	fence keyspace.Epoch
	// heldUntil is until when a call of ours may keep the old owner going.
	heldUntil clock.Instant
	handover  keyspace.Handover
	// unfenced moves were begun by an earlier leader, who may already have
	// granted the keys to the next owner: the old one gets no new grant, and its
	// release waits until no member renews the old grant any more.
	unfenced bool
	began    clock.Instant
}

// adopt brings the moves in step with the store's table.
func (co *Core) adopt(now clock.Instant) {
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
		mv := &move{id: id, share: sh, fence: sh.Fence, due: now, revision: co.table.Revision, storedAt: now, began: now, unfenced: co.resumed[id]}
		if mv.unfenced {
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

// advance starts the next step of each move that is due.
func (co *Core) advance(now clock.Instant) []Cmd {
	var cmds []Cmd
	for _, mv := range co.moves {
		if mv.step < Give && now >= co.lapsed(now, mv) {
			co.event("grantLapsed", map[string]any{"upstream": mv.share.Owner.Upstream, "from": mv.share.From, "to": mv.share.To, "waitedMs": now.Sub(mv.storedAt).Milliseconds()})
			mv.next(now, Give)
		}
		if mv.busy || now < mv.due || mv.step == Finished {
			continue
		}
		if mv.step == Fence && mv.tries == fences {
			// The old grant has to run out.
			continue
		}
		if mv.unfenced && mv.step == Give && now < co.began.Add(held(fenceHold)) {
			// A fence of the earlier leader may still take effect.
			continue
		}
		if mv.unfenced && mv.step == Release && now < co.quiet(now, mv) {
			continue
		}
		cmds = append(cmds, mv.call(now))
	}
	return cmds
}

func (mv *move) next(now clock.Instant, step Step) {
	mv.step, mv.tries, mv.due, mv.busy = step, 0, now, false
}

// call makes the command of the move's step.
func (mv *move) call(now clock.Instant) Cmd {
	mv.busy = true
	mv.tries++
	cmd := CallCmd{
		Move: mv.id, Step: mv.step, Service: mv.share.Service, Range: mv.share.Range, Upstream: mv.share.Owner.Upstream, Epoch: mv.fence,
		Timeout: renewal.CallTime,
	}
	switch mv.step {
	case Fence:
		mv.fence = mv.share.Fence + keyspace.Epoch(mv.tries-1)
		cmd.Hold, cmd.Epoch = fenceHold, mv.fence
		mv.heldUntil = max(mv.heldUntil, now.Add(cmd.Timeout).Add(held(fenceHold)))
	case Release:
		cmd.Timeout = releaseTime
	case Give:
		cmd.Upstream, cmd.Epoch = mv.share.Next.Upstream, mv.share.Next.Epoch
		cmd.Hold, cmd.Handover = renewal.Hold, mv.handover
	case Finished:
	}
	return cmd
}

// held is how long a grant may keep an upstream going by our clock.
func held(hold time.Duration) time.Duration {
	return time.Duration(clockRate*float64(hold)) + clockSlack
}

// stalled moves wait for time to pass; they keep nobody busy.
func (mv *move) stalled() bool {
	return mv.unfenced && mv.step == Release || mv.step == Fence && mv.tries == fences && !mv.busy
}

// step takes the end of a call.
func (co *Core) step(now clock.Instant, ms StepMsg) {
	mv, known := co.moves[ms.Move]
	if !known || mv.step != ms.Step {
		return
	}
	mv.busy, mv.due = false, now.Add(retryTime)
	if ms.Result == Misdirected && mv.step < Give {
		// Another upstream answers at this address, so the owner has ended.
		mv.next(now, Give)
		return
	}
	switch mv.step {
	case Fence:
		if ms.Result == Taken {
			mv.next(now, Release)
		}
	case Release:
		if ms.Result == Taken {
			mv.handover = ms.Handover
			mv.next(now, Give)
		}
	case Give:
		if ms.Result == Taken || mv.tries >= gives {
			co.finish(now, mv, ms.Result)
		}
	case Finished:
	}
}

// finish writes the end of a move into the draft.
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
	co.event("moved", map[string]any{
		"service": sh.Service, "from": sh.From, "to": sh.To, "owner": sh.Owner.Upstream, "epoch": sh.Owner.Epoch,
		"warm": mv.handover != "", "tookMs": now.Sub(mv.began).Milliseconds(),
	})
}

// quiet is when no member renews the old owner's grant any more: after each
// one has said that it follows the move, or cannot have been told for so long
// that it has stopped.
func (co *Core) quiet(now clock.Instant, mv *move) clock.Instant {
	last := mv.storedAt
	unheard := mv.storedAt.Add(renewal.ConfirmTime)
	if !co.Settled(now) {
		// An earlier leader may still be heard by members that do not hear us.
		unheard = co.began.Add(election.LeadTime + renewal.ConfirmTime)
	} else if co.settledAt > 0 {
		unheard = max(unheard, co.settledAt.Add(renewal.ConfirmTime))
	}
	for _, mb := range co.table.Members {
		known, found := co.members[mb.Host]
		if !found {
			last = max(last, unheard)
			continue
		}
		at, acked := known.ackedAt(mv.revision)
		if !acked {
			at = unheard
		}
		last = max(last, at)
	}
	return last.Add(renewal.CallTime)
}

// lapsed is when the old owner's last grant has surely run out.
func (co *Core) lapsed(now clock.Instant, mv *move) clock.Instant {
	return max(co.quiet(now, mv).Add(held(renewal.Hold)), mv.heldUntil)
}
