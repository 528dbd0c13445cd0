package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/policy"
	"chervilwalk/internal/serving/verdict"
)

const (
	// poolTick is how often an admission core is told the time.
	poolTick = 5 * time.Millisecond
	// nodeMaxQueued bounds what all pools of a node queue together, in requests.
	nodeMaxQueued = 8192
	// poolMinQueued is the part that a pool has at least.
	poolMinQueued = 256
)

// poolTask drives the admission core of one pool and owns the connections to
// its upstreams. All maps belong to its goroutine.
type poolTask struct {
	node  *Node
	keyed bool
	pool  bundle.Pool
	core  *admission.Core[policy.Soonest]
	inbox chan poolMsg
	// closing ends the arrivals, done all messages.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	lanes     map[ident.Upstream]*dispatch.Lane
	calls     map[ident.Request]*poolCall
	bars      map[ident.Request]chan<- bool
	sends     map[sendKey]context.CancelFunc
	load      loadCount
	// shown is the bundle that the pool was last taken from.
	shown atomic.Pointer[bundle.Bundle]
	// owners are the slices' owners in the view last shown.
	owners map[ident.Slice]ident.Upstream
}

// sendKey names one dispatch in flight.
type sendKey struct {
	id       ident.Request
	upstream ident.Upstream
}

// poolMsg is a message to the core with what the shell must remember of it.
type poolMsg struct {
	msg    admission.Msg
	call   *poolCall
	bar    chan<- bool
	answer *dispatch.Answer
	// report asks for the core's state; there is no message then.
	report chan<- admission.Report
}

// poolCall is a call that waits for its outcome.
type poolCall struct {
	ctx    context.Context
	call   *inner.Call
	sent   bool
	heads  map[ident.Upstream]*dispatch.Answer
	result chan poolResult
}

type poolResult struct {
	answer *dispatch.Answer
	err    error
}

// newPoolTask makes the task of a pool. Pools of one node share its memory and
// processor; each queues at most its part, so that a flood at one leaves the
// others theirs. The caller holds the node's lock.
func newPoolTask(nd *Node, pl bundle.Pool) *poolTask {
	part := max(poolMinQueued, nodeMaxQueued/(len(nd.pools)+1))
	pt := &poolTask{
		node:    nd,
		keyed:   pl.Service.Keyed,
		core:    admission.New(pl, admission.WithMaxQueued(part)),
		inbox:   make(chan poolMsg, 256),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		lanes:   map[ident.Upstream]*dispatch.Lane{},
		calls:   map[ident.Request]*poolCall{},
		bars:    map[ident.Request]chan<- bool{},
		sends:   map[sendKey]context.CancelFunc{},
	}
	pt.shown.Store(nd.Bundle())
	pt.adopt(pl)
	return pt
}

// adopt takes the pool's upstreams; an address that moved gets a new lane.
func (pt *poolTask) adopt(pl bundle.Pool) {
	for _, up := range pl.Upstreams {
		moved := false
		for _, old := range pt.pool.Upstreams {
			moved = moved || (old.Name == up.Name && old.Address != up.Address)
		}
		if ln := pt.lanes[up.Name]; ln != nil && moved {
			ln.Close()
			delete(pt.lanes, up.Name)
		}
		if pt.lanes[up.Name] == nil {
			pt.lanes[up.Name] = dispatch.New(up.Address, dispatch.WithConnections(up.Slots))
		}
	}
	pt.pool = pl
}

// close refuses what is queued as not run, lets what is in flight end, and then
// ends the task.
func (pt *poolTask) close() {
	pt.closeOnce.Do(func() { close(pt.closing) })
}

// post hands a message to the task; false when it has ended.
func (pt *poolTask) post(pm poolMsg) bool {
	select {
	case pt.inbox <- pm:
		return true
	case <-pt.done:
		return false
	}
}

// show hands on a view, and the pool's upstreams when the bundle has changed.
func (pt *poolTask) show(vw authority.View) {
	select {
	case <-pt.closing:
		return
	default:
	}
	bn := pt.node.Bundle()
	if pt.shown.Swap(bn) != bn {
		if pl, ok := poolOf(bn, vw.Pool); ok {
			pt.post(poolMsg{msg: admission.PoolMsg{Pool: pl}})
		}
	}
	pt.node.logOwners(pt.owners, vw)
	pt.owners = vw.Owners
	pt.post(poolMsg{msg: admission.ViewMsg{View: vw}})
}

// serve queues a call and waits for the head of its answer. Its refusal comes
// from the core alone, since only the core knows whether it was dispatched.
func (pt *poolTask) serve(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error) {
	select {
	case <-pt.closing:
		return nil, poolGone()
	default:
	}
	pc := &poolCall{ctx: ctx, call: ca, heads: map[ident.Upstream]*dispatch.Answer{}, result: make(chan poolResult, 1)}
	left := time.Until(ca.Deadline)
	arrive := admission.ArriveMsg{Request: admission.Request{
		ID:         ca.ID,
		Keyed:      pt.keyed,
		Slice:      ca.Slice,
		Idempotent: ca.Idempotent,
		Elsewhere:  ca.Elsewhere,
		Deadline:   pt.node.clock.Now().Add(left),
	}}
	if !pt.post(poolMsg{msg: arrive, call: pc}) {
		return nil, poolGone()
	}
	stop := context.AfterFunc(ctx, func() { pt.post(poolMsg{msg: admission.CancelMsg{ID: ca.ID}}) })
	defer stop()
	select {
	case rs := <-pc.result:
		return rs.answer, rs.err
	case <-pt.done:
		return pc.afterEnd()
	}
}

// afterEnd is the outcome of a call that the ended task may not have read.
func (pc *poolCall) afterEnd() (*dispatch.Answer, error) {
	select {
	case rs := <-pc.result:
		return rs.answer, rs.err
	default:
		return nil, poolGone()
	}
}

func poolGone() error {
	return verdict.Misdirect("this node no longer holds the pool")
}

// bar asks the core to forbid a call's dispatch.
func (pt *poolTask) bar(ctx context.Context, id ident.Request) bool {
	reply := make(chan bool, 1)
	if !pt.post(poolMsg{msg: admission.BarMsg{ID: id}, bar: reply}) {
		return false
	}
	select {
	case barred := <-reply:
		return barred
	case <-ctx.Done():
		return false
	case <-pt.done:
		return false
	}
}

func (pt *poolTask) run(ctx context.Context) error {
	tick := time.NewTicker(poolTick)
	defer tick.Stop()
	defer pt.end()
	closing := pt.closing
	for {
		pm := poolMsg{msg: admission.TickMsg{}}
		select {
		case <-ctx.Done():
			return nil
		case <-closing:
			closing = nil
			pm.msg = admission.ViewMsg{View: authority.View{Pool: pt.pool.Name, Until: lapsedNow}}
		case <-tick.C:
		case pm = <-pt.inbox:
		}
		pt.take(pm)
		if closing == nil && len(pt.calls) == 0 && len(pt.sends) == 0 {
			return nil
		}
	}
}

// lapsedNow is a lease that has ended.
const lapsedNow clock.Instant = 0

// take gives a message to the core and carries out what it decides.
func (pt *poolTask) take(pm poolMsg) {
	if pm.report != nil {
		pm.report <- pt.core.Report(pt.node.clock.Now())
		return
	}
	switch mg := pm.msg.(type) {
	case admission.ArriveMsg:
		if pt.calls[mg.Request.ID] != nil {
			pm.call.result <- poolResult{err: verdict.Doubt(http.StatusConflict, "the request is here already")}
			return
		}
		pt.calls[mg.Request.ID] = pm.call
		if pt.keyed {
			pt.load.count(mg.Request.Slice)
		}
	case admission.BarMsg:
		pt.bars[mg.ID] = pm.bar
	case admission.TickMsg:
		pt.load.report(pt.node.owner, pt.pool.Name)
	case admission.PoolMsg:
		pt.adopt(mg.Pool)
	case admission.HeadMsg:
		pt.keepHead(sendKey{mg.ID, mg.Upstream}, pm.answer)
	case admission.DoneMsg:
		if pm.answer != nil {
			pt.keepHead(sendKey{mg.ID, mg.Upstream}, pm.answer)
		}
		delete(pt.sends, sendKey{mg.ID, mg.Upstream})
	}
	for _, cmd := range pt.core.Update(pt.node.clock.Now(), pm.msg) {
		pt.do(cmd)
	}
}

func (pt *poolTask) do(cmd admission.Cmd) {
	switch cm := cmd.(type) {
	case admission.DispatchCmd:
		pt.send(cm)
	case admission.AnswerCmd:
		if pc := pt.calls[cm.ID]; pc != nil {
			pt.finish(cm.ID, poolResult{answer: pc.heads[cm.Upstream]})
		}
	case admission.RefuseCmd:
		pt.finish(cm.ID, poolResult{err: cm.Err})
	case admission.FailCmd:
		pt.finish(cm.ID, poolResult{err: cm.Err})
	case admission.CancelCmd:
		pt.cancel(cm)
	case admission.ProbeCmd:
		go pt.probe(cm.Upstream, pt.addressOf(cm.Upstream))
	case admission.BarredCmd:
		if reply := pt.bars[cm.ID]; reply != nil {
			delete(pt.bars, cm.ID)
			reply <- cm.Barred
		}
	}
}

// finish gives a call its outcome, once.
func (pt *poolTask) finish(id ident.Request, rs poolResult) {
	if pc := pt.calls[id]; pc != nil {
		delete(pt.calls, id)
		pc.result <- rs
	}
}

// end gives the calls that are left their outcome: those that were dispatched
// may have run, all others were not.
func (pt *poolTask) end() {
	pt.close()
	for id, pc := range pt.calls {
		err := poolGone()
		if pc.sent {
			err = verdict.Doubt(http.StatusServiceUnavailable, "this node stopped before the answer")
		}
		pt.finish(id, poolResult{err: err})
	}
	// Whoever finds the task ended without a result was never read from the
	// inbox, and so was not run.
	close(pt.done)
	for _, stop := range pt.sends {
		stop()
	}
	for _, ln := range pt.lanes {
		ln.Close()
	}
}
