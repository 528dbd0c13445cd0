// Package admission decides for one pool which request goes to which upstream
// and when, so that no upstream ever gets more than its slots.
//
// The core is pure: it is told what happened and answers what to do. A request
// gets exactly one outcome: AnswerCmd, RefuseCmd or FailCmd.
//
//	co := admission.New(pool)
//	cmds := co.Update(now, admission.ArriveMsg{Request: rq})
package admission

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/budget"
	"chervilwalk/internal/serving/policy"
)

// Core is one pool's admission. P chooses among the upstreams with room.
type Core[P policy.Policy] struct {
	options  options
	policy   P
	pool     bundle.Pool
	view     authority.View
	seen     bool
	began    clock.Instant
	upstream map[ident.Upstream]*upstream
	// order lists the upstreams as the bundle does, the leaving ones last.
	order []*upstream
	// common queues the requests of an unkeyed service; homeless those whose
	// slice has no owner in the view. Each upstream has a queue for the rest.
	common   queue
	homeless queue
	queued   int
	callers  map[Caller][]*flow
	flows    map[ident.Request]*flow
	attempts map[attemptKey]*attempt
	memory   memory
	budget   budget.Budget
	arrivals uint64
	figures  figures
	// candidates is the scratch space of choose.
	candidates []policy.Candidate
}

// New makes the admission of a pool with the product's own policy.
func New(pl bundle.Pool, opts ...Option) *Core[policy.Soonest] {
	return NewWith(pl, policy.Soonest{}, opts...)
}

// NewWith makes the admission of a pool with any policy.
func NewWith[P policy.Policy](pl bundle.Pool, py P, opts ...Option) *Core[P] {
	co := &Core[P]{
		options:  defaults(),
		policy:   py,
		began:    clock.Never,
		upstream: map[ident.Upstream]*upstream{},
		callers:  map[Caller][]*flow{},
		flows:    map[ident.Request]*flow{},
		attempts: map[attemptKey]*attempt{},
		memory:   newMemory(),
	}
	for _, opt := range opts {
		opt(&co.options)
	}
	co.budget = budget.New(co.options.extraShare)
	co.resize(pl)
	return co
}

// Update takes one message and returns what to do.
func (co *Core[P]) Update(now clock.Instant, msg Msg) []Cmd {
	co.began = min(co.began, now)
	co.refresh(now)
	cmds := co.take(now, msg)
	return append(cmds, co.dispatch(now)...)
}

func (co *Core[P]) take(now clock.Instant, msg Msg) []Cmd {
	switch mg := msg.(type) {
	case ArriveMsg:
		return co.arrive(now, mg.Request)
	case HeadMsg:
		return co.head(now, mg)
	case DoneMsg:
		return co.done(now, mg)
	case CancelledMsg:
		return co.confirm(now, mg)
	case CancelMsg:
		return co.withdraw(mg.ID)
	case BarMsg:
		return co.bar(now, mg.ID)
	case ViewMsg:
		return co.show(mg.View)
	case PoolMsg:
		co.resize(mg.Pool)
	case ReportMsg:
		co.report(now, mg)
	case ProbedMsg:
		co.probed(now, mg)
	case TickMsg:
		return co.tick(now)
	}
	return nil
}

// show takes a view: grants, owners and the lease's end. Queued requests follow
// their slices.
func (co *Core[P]) show(vw authority.View) []Cmd {
	co.view = vw
	co.seen = true
	for _, up := range co.order {
		co.regrant(up)
	}
	co.rehome()
	co.changedAll()
	return nil
}

// regrant takes an upstream's grant. A new incarnation starts cold. It may hold
// what was sent to the one before and came late, so that no slot is freed here.
func (co *Core[P]) regrant(up *upstream) {
	gr, ok := co.view.Grants[up.spec.Name]
	up.granted = ok
	if !ok {
		return
	}
	if up.grant.Incarnation != gr.Incarnation {
		up.restart()
	}
	if up.grant.Token != gr.Token {
		up.staleUntil = 0
	}
	up.grant = gr
}

// resize takes the pool's upstreams. One that is no longer listed, or is out,
// gets no new work and stays until its last dispatch has ended.
func (co *Core[P]) resize(pl bundle.Pool) {
	co.pool = pl
	listed := make([]*upstream, 0, len(pl.Upstreams))
	for _, sp := range pl.Upstreams {
		up := co.upstream[sp.Name]
		if up == nil {
			up = newUpstream(sp)
			co.upstream[sp.Name] = up
		}
		up.respec(sp)
		co.regrant(up)
		listed = append(listed, up)
	}
	for _, up := range co.order {
		if !listedIn(pl, up.spec.Name) {
			up.leaving = true
			listed = append(listed, up)
		}
	}
	co.order = listed
	co.forgetLeft()
	co.rehome()
	co.changedAll()
}

func listedIn(pl bundle.Pool, name ident.Upstream) bool {
	for _, sp := range pl.Upstreams {
		if sp.Name == name {
			return true
		}
	}
	return false
}

// forgetLeft drops the upstreams that have left and hold nothing.
func (co *Core[P]) forgetLeft() {
	kept := co.order[:0]
	for _, up := range co.order {
		if !listedIn(co.pool, up.spec.Name) && len(up.held) == 0 && up.queue.length() == 0 {
			delete(co.upstream, up.spec.Name)
			continue
		}
		kept = append(kept, up)
	}
	co.order = kept
}

// rehome moves every queued keyed request to its slice's owner of now.
func (co *Core[P]) rehome() {
	for _, up := range co.order {
		co.rehomeQueue(&up.queue)
	}
	co.rehomeQueue(&co.homeless)
}

func (co *Core[P]) rehomeQueue(qu *queue) {
	var moved []*flow
	for _, fl := range qu.flows {
		if co.queueOf(fl.request) != qu {
			moved = append(moved, fl)
		}
	}
	for _, fl := range moved {
		fl.remove()
		co.queueOf(fl.request).push(fl)
	}
}

// queueOf returns the queue that a request belongs to.
func (co *Core[P]) queueOf(rq Request) *queue {
	if !rq.Keyed {
		return &co.common
	}
	if up := co.upstream[co.view.Owners[rq.Slice]]; up != nil && !up.leaving {
		return &up.queue
	}
	return &co.homeless
}

// lapsed tells whether the node's right to the pool has ended.
func (co *Core[P]) lapsed(now clock.Instant) bool {
	return co.seen && !now.Before(co.view.Until)
}

func (co *Core[P]) changed(up *upstream) {
	co.common.changed = true
	up.queue.changed = true
}

func (co *Core[P]) changedAll() {
	for _, up := range co.order {
		co.changed(up)
	}
}

// minRetryAfter is the least that a caller is told to wait.
const minRetryAfter = time.Second
