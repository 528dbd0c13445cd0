package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

// poolTick is how often an admission core is told the time.
const poolTick = 5 * time.Millisecond

// poolTask drives the admission core of one pool and owns the connections to
// its upstreams.
type poolTask struct {
	node  *Node
	pool  bundle.Pool
	core  *admission.Core
	inbox chan poolMsg
	done  chan struct{}
	once  sync.Once
	lanes map[ident.Upstream]*dispatch.Lane
	calls map[ident.Request]*poolCall
	bars  map[ident.Request]chan<- bool
}

// poolMsg is a message to the core with what the shell must remember of it.
type poolMsg struct {
	msg  admission.Msg
	call *poolCall
	bar  chan<- bool
}

// poolCall is a call that waits for its dispatch or its refusal.
type poolCall struct {
	ctx    context.Context
	call   *inner.Call
	result chan poolResult
}

type poolResult struct {
	answer *dispatch.Answer
	err    error
}

func newPoolTask(nd *Node, pl bundle.Pool) *poolTask {
	pt := &poolTask{
		node:  nd,
		pool:  pl,
		core:  admission.New(pl),
		inbox: make(chan poolMsg, 256),
		done:  make(chan struct{}),
		lanes: map[ident.Upstream]*dispatch.Lane{},
		calls: map[ident.Request]*poolCall{},
		bars:  map[ident.Request]chan<- bool{},
	}
	for _, up := range pl.Upstreams {
		pt.lanes[up.Name] = dispatch.New(up.Address, dispatch.WithConnections(up.Slots))
	}
	return pt
}

// close ends the task; calls that were not dispatched are refused as not run.
func (pt *poolTask) close() {
	pt.once.Do(func() { close(pt.done) })
}

// post hands a message to the task; false when it has ended.
func (pt *poolTask) post(pm poolMsg) bool {
	select {
	case <-pt.done:
		return false
	default:
	}
	select {
	case pt.inbox <- pm:
		return true
	case <-pt.done:
		return false
	}
}

func (pt *poolTask) show(vw authority.View) {
	pt.post(poolMsg{msg: admission.ViewMsg{View: vw}})
}

// serve queues a call and waits for the head of its answer. Its refusal comes
// from the core alone, since only the core knows whether it was dispatched.
func (pt *poolTask) serve(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error) {
	pc := &poolCall{ctx: ctx, call: ca, result: make(chan poolResult, 1)}
	left := time.Until(ca.Deadline)
	arrive := admission.ArriveMsg{Request: admission.Request{
		ID:         ca.ID,
		Keyed:      pt.pool.Service.Keyed,
		Slice:      ca.Slice,
		Idempotent: ca.Idempotent,
		Deadline:   pt.node.clock.Now().Add(left),
	}}
	if !pt.post(poolMsg{msg: arrive, call: pc}) {
		return nil, poolGone()
	}
	rs := <-pc.result
	return rs.answer, rs.err
}

func poolGone() error {
	return verdict.Refuse(http.StatusServiceUnavailable, "this node no longer holds the pool", time.Second)
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
	for {
		var pm poolMsg
		select {
		case <-ctx.Done():
			pt.close()
			return nil
		case <-pt.done:
			return nil
		case <-tick.C:
			pm.msg = admission.TickMsg{}
		case pm = <-pt.inbox:
		}
		pt.take(pm)
	}
}

func (pt *poolTask) take(pm poolMsg) {
	switch mg := pm.msg.(type) {
	case admission.ArriveMsg:
		pt.calls[mg.Request.ID] = pm.call
	case admission.BarMsg:
		pt.bars[mg.ID] = pm.bar
	}
	for _, cmd := range pt.core.Update(pt.node.clock.Now(), pm.msg) {
		pt.do(cmd)
	}
}

func (pt *poolTask) do(cmd admission.Cmd) {
	switch cm := cmd.(type) {
	case admission.DispatchCmd:
		pc := pt.calls[cm.ID]
		delete(pt.calls, cm.ID)
		go pt.exchange(pc, cm)
	case admission.RefuseCmd:
		if pc := pt.calls[cm.ID]; pc != nil {
			delete(pt.calls, cm.ID)
			pc.result <- poolResult{err: cm.Err}
		}
	case admission.BarredCmd:
		if reply := pt.bars[cm.ID]; reply != nil {
			delete(pt.bars, cm.ID)
			reply <- cm.Barred
		}
	}
}

// end refuses what was never dispatched and closes the idle connections.
func (pt *poolTask) end() {
	for {
		select {
		case pm := <-pt.inbox:
			if pm.call != nil {
				pm.call.result <- poolResult{err: poolGone()}
			}
			continue
		default:
		}
		break
	}
	for _, pc := range pt.calls {
		pc.result <- poolResult{err: poolGone()}
	}
	for _, ln := range pt.lanes {
		ln.Close()
	}
}

// exchange sends a dispatched call; its slot is freed when its answer's body
// is closed.
func (pt *poolTask) exchange(pc *poolCall, cm admission.DispatchCmd) {
	rq := upstreamRequest(pc.call, pt.pool, cm.Token)
	answer, err := pt.lanes[cm.Upstream].Do(pc.ctx, rq)
	free := func() {
		pt.post(poolMsg{msg: admission.DoneMsg{ID: cm.ID, Upstream: cm.Upstream}})
	}
	if err != nil {
		free()
		pc.result <- poolResult{err: err}
		return
	}
	answer.Header.Set(inner.UpstreamHeader, string(cm.Upstream))
	answer.Body = &slotBody{ReadCloser: answer.Body, free: free}
	pc.result <- poolResult{answer: answer}
}

func upstreamRequest(ca *inner.Call, pl bundle.Pool, tk grant.Token) *http.Request {
	rq, err := http.NewRequest(ca.Method, "http://"+string(pl.Service.Name)+ca.Path, bytes.NewReader(ca.Body))
	if err != nil {
		rq, _ = http.NewRequest(ca.Method, "http://"+string(pl.Service.Name)+"/", bytes.NewReader(ca.Body))
	}
	for name, values := range ca.Header {
		rq.Header[name] = values
	}
	rq.Header.Set(control.RequestHeader, string(ca.ID))
	rq.Header.Set(control.PoolHeader, string(pl.Name))
	rq.Header.Set(control.TokenHeader, control.FormatToken(tk))
	rq.Header.Set(control.RemainingHeader, strconv.FormatInt(time.Until(ca.Deadline).Milliseconds(), 10))
	if pl.Service.Keyed {
		rq.Header.Set(control.SliceHeader, strconv.FormatUint(uint64(ca.Slice), 10))
	}
	return rq
}

// slotBody frees the upstream's slot when the answer is closed.
type slotBody struct {
	io.ReadCloser
	free func()
	once sync.Once
}

// Close closes the answer and frees the slot once.
func (sb *slotBody) Close() error {
	err := sb.ReadCloser.Close()
	sb.once.Do(sb.free)
	return err
}
