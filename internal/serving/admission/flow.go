package admission

import (
	"net/http"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/verdict"
)

const (
	// maxSheds is how often one request is queued again after a refusal.
	maxSheds = 4
	// maxExtras is how many retries and hedges one request may cost.
	maxExtras = 2
)

// flow is one request from its arrival to its outcome.
type flow struct {
	request Request
	arrived clock.Instant
	order   uint64
	queue   *queue
	index   int
	// attempts are the dispatches that may still answer.
	attempts []*attempt
	// avoid lists the upstreams where a dispatch broke.
	avoid  []*upstream
	sheds  int
	extras int
	// doubt means that some dispatch may have run.
	doubt bool
}

// attempt is one dispatch, from the command to the proof that its slot is free.
type attempt struct {
	key      attemptKey
	flow     *flow
	upstream *upstream
	started  clock.Instant
	// incarnation is the upstream's at the dispatch.
	incarnation string
	headed      bool
	cancelled   bool
}

// attemptKey is unique: a request is at one upstream at most once at a time.
type attemptKey struct {
	id       ident.Request
	upstream ident.Upstream
}

// shuns tells whether the request must not be sent to an upstream: it is there
// now, or broke there and was cancelled.
func (fl *flow) shuns(up *upstream) bool {
	return slices.Contains(fl.avoid, up) || slices.ContainsFunc(up.held, func(at *attempt) bool { return at.key.id == fl.request.ID })
}

func (co *Core[P]) head(now clock.Instant, mg HeadMsg) []Cmd {
	at := co.attempts[attemptKey{mg.ID, mg.Upstream}]
	if at == nil || at.headed {
		return nil
	}
	co.observe(at, orNow(mg.At, now))
	return co.answer(at)
}

// answer makes an attempt the request's; the other attempts are cancelled.
func (co *Core[P]) answer(at *attempt) []Cmd {
	fl := at.flow
	if at.cancelled || !co.open(fl) {
		return nil
	}
	fl.drop(at)
	fl.doubt = true
	return co.end(fl, AnswerCmd{ID: fl.request.ID, Upstream: at.key.upstream})
}

func orNow(at, now clock.Instant) clock.Instant {
	if at == 0 {
		return now
	}
	return at
}

func (fl *flow) drop(at *attempt) {
	fl.attempts = slices.DeleteFunc(fl.attempts, func(other *attempt) bool { return other == at })
}

// open tells whether the request has no outcome yet.
func (co *Core[P]) open(fl *flow) bool {
	return co.flows[fl.request.ID] == fl
}

// done takes the end of a dispatch.
func (co *Core[P]) done(now clock.Instant, mg DoneMsg) []Cmd {
	at := co.attempts[attemptKey{mg.ID, mg.Upstream}]
	if at == nil {
		return nil
	}
	switch mg.Verdict {
	case verdict.Ran:
		return co.ran(now, at, mg)
	case verdict.NotRun:
		return co.refused(now, at, mg.Refusal)
	default:
		return co.doubted(now, at)
	}
}

func (co *Core[P]) ran(now clock.Instant, at *attempt, mg DoneMsg) []Cmd {
	if !at.headed {
		co.observe(at, orNow(mg.FirstByte, now))
	}
	cmds := co.answer(at)
	if at.incarnation == at.upstream.grant.Incarnation {
		at.upstream.occupied.Observe(orNow(mg.End, now).Sub(at.started))
	}
	co.release(at)
	return cmds
}

// refused queues a request again: the refusal proves that it was not run.
func (co *Core[P]) refused(now clock.Instant, at *attempt, rf verdict.Refusal) []Cmd {
	at.upstream.refuse(now, rf)
	co.release(at)
	fl := at.flow
	fl.drop(at)
	if !co.open(fl) || fl.queue != nil || len(fl.attempts) > 0 {
		return nil
	}
	fl.sheds++
	if fl.sheds > maxSheds {
		return co.giveUp(fl, http.StatusServiceUnavailable, "the upstreams refused the request", minRetryAfter)
	}
	co.enqueue(fl)
	return nil
}

// doubted takes a dispatch that broke. Its slot stays taken until the upstream
// confirms; only an idempotent request may be tried again.
func (co *Core[P]) doubted(now clock.Instant, at *attempt) []Cmd {
	if !at.cancelled && !at.headed {
		at.upstream.cool(now)
	}
	cmds := co.cancel(at)
	fl := at.flow
	fl.drop(at)
	if !co.open(fl) {
		return cmds
	}
	fl.doubt = true
	fl.avoid = append(fl.avoid, at.upstream)
	if fl.queue != nil || len(fl.attempts) > 0 {
		return cmds
	}
	if co.retriable(fl) && co.budget.Spend() {
		fl.extras++
		co.enqueue(fl)
		return cmds
	}
	return append(cmds, co.giveUp(fl, http.StatusBadGateway, "the upstream broke off before its answer", 0)...)
}

// retriable tells whether a request whose dispatch broke may be sent elsewhere.
func (co *Core[P]) retriable(fl *flow) bool {
	if !fl.request.Idempotent || fl.extras >= maxExtras {
		return false
	}
	if fl.request.Keyed {
		owner := co.upstream[co.view.Owners[fl.request.Slice]]
		return owner != nil && !fl.shuns(owner)
	}
	return slices.ContainsFunc(co.order, func(up *upstream) bool {
		return up.granted && !up.leaving && !fl.shuns(up)
	})
}

// cancel asks once for a slot that stays taken until the answer.
func (co *Core[P]) cancel(at *attempt) []Cmd {
	if at.cancelled {
		return nil
	}
	at.cancelled = true
	return []Cmd{CancelCmd{ID: at.key.id, Upstream: at.key.upstream}}
}

// confirm frees the slot of a cancelled dispatch.
func (co *Core[P]) confirm(now clock.Instant, mg CancelledMsg) []Cmd {
	at := co.attempts[attemptKey{mg.ID, mg.Upstream}]
	if at == nil || !at.cancelled {
		return nil
	}
	if at.incarnation == at.upstream.grant.Incarnation {
		at.upstream.abandon(at, now)
	}
	co.release(at)
	return nil
}

// release frees an attempt's slot.
func (co *Core[P]) release(at *attempt) {
	delete(co.attempts, at.key)
	at.upstream.free(at)
	co.changed(at.upstream)
}

// giveUp ends a request without an answer, at once.
func (co *Core[P]) giveUp(fl *flow, status int, reason string, after time.Duration) []Cmd {
	id := fl.request.ID
	if fl.doubt || len(fl.attempts) > 0 {
		fl.doubt = true
		return co.end(fl, FailCmd{ID: id, Err: verdict.Doubt(status, reason)})
	}
	return co.end(fl, RefuseCmd{ID: id, Err: verdict.Refuse(status, reason, after)})
}

// end gives a request its outcome and cancels what is left of it.
func (co *Core[P]) end(fl *flow, outcome Cmd) []Cmd {
	cmds := []Cmd{outcome}
	if fl.queue != nil {
		co.leave(fl)
	}
	delete(co.flows, fl.request.ID)
	en := refused
	if fl.doubt {
		en = doubtful
	}
	co.memory.keep(fl.request.ID, fl.request.Deadline, en)
	for _, at := range fl.attempts {
		cmds = append(cmds, co.cancel(at)...)
	}
	fl.attempts = nil
	return cmds
}

// withdraw ends a request whose caller has gone.
func (co *Core[P]) withdraw(id ident.Request) []Cmd {
	fl := co.flows[id]
	if fl == nil {
		return nil
	}
	return co.giveUp(fl, statusCallerGone, "the caller has gone", 0)
}

// statusCallerGone is the customary status of a request without a reader.
const statusCallerGone = 499
