package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

const (
	// cancelRetryEvery is the pause before a cancellation that was not
	// confirmed is asked for again.
	cancelRetryEvery = 200 * time.Millisecond
	// cancelTimeout bounds one wait for a cancellation's confirmation.
	cancelTimeout = 5 * time.Second
	// probeTimeout bounds the wait for a sign of life.
	probeTimeout = 200 * time.Millisecond
	// maxReportBytes bounds an upstream's report.
	maxReportBytes = 64 << 10
)

// answerBuffers bounds what all answers of the process keep ahead of their readers.
var answerBuffers dispatch.Buffers

// send starts a dispatch.
func (pt *poolTask) send(cm admission.DispatchCmd) {
	pc := pt.calls[cm.ID]
	if pc == nil {
		return
	}
	pc.sent = true
	ctx, stop := context.WithCancel(pc.ctx)
	pt.sends[sendKey{cm.ID, cm.Upstream}] = stop
	rq := upstreamRequest(pc.call, pt.pool, cm.Token)
	pt.node.logStep("request dispatched", pc.call, log.Fields{"upstream": cm.Upstream, "token": control.FormatToken(cm.Token)})
	go pt.exchange(ctx, pt.lanes[cm.Upstream], rq, cm)
}

// exchange sends a dispatched call and tells the core what came of it.
func (pt *poolTask) exchange(ctx context.Context, ln *dispatch.Lane, rq *http.Request, cm admission.DispatchCmd) {
	answer, err := ln.Do(ctx, rq)
	if err != nil {
		er := verdict.From(err)
		pt.post(poolMsg{msg: admission.DoneMsg{ID: cm.ID, Upstream: cm.Upstream, Verdict: er.Verdict, Refusal: er.Refusal}})
		return
	}
	answer.Header.Set(inner.UpstreamHeader, string(cm.Upstream))
	ended := make(chan verdict.Verdict, 1)
	answer.Body = &slotBody{ReadCloser: answer.Body, ended: ended}
	firstByte := pt.node.clock.Now()
	answerBuffers.Ahead(answer)
	done := admission.DoneMsg{ID: cm.ID, Upstream: cm.Upstream, FirstByte: firstByte}
	select {
	case done.Verdict = <-ended:
		// A short answer is whole already: one message tells both.
		pt.post(poolMsg{msg: done, answer: answer})
		return
	default:
	}
	head := admission.HeadMsg{ID: cm.ID, Upstream: cm.Upstream, At: firstByte}
	if !pt.post(poolMsg{msg: head, answer: answer}) {
		_ = answer.Body.Close()
	}
	done.Verdict = <-ended
	pt.post(poolMsg{msg: done})
}

// keepHead holds an answer until the core says whose it is. An answer to a call
// that has its outcome already is dropped.
func (pt *poolTask) keepHead(key sendKey, answer *dispatch.Answer) {
	if pc := pt.calls[key.id]; pc != nil {
		pc.heads[key.upstream] = answer
		return
	}
	go func() { _ = answer.Body.Close() }()
}

// cancel breaks a dispatch off and asks the upstream for its slot until it
// confirms.
func (pt *poolTask) cancel(cm admission.CancelCmd) {
	if stop := pt.sends[sendKey{cm.ID, cm.Upstream}]; stop != nil {
		stop()
	}
	go pt.awaitCancel(cm, pt.lanes[cm.Upstream])
}

func (pt *poolTask) awaitCancel(cm admission.CancelCmd, ln *dispatch.Lane) {
	for !askCancel(ln, cm.ID) {
		select {
		case <-pt.done:
			return
		case <-time.After(cancelRetryEvery):
		}
	}
	pt.post(poolMsg{msg: admission.CancelledMsg{ID: cm.ID, Upstream: cm.Upstream}})
}

func askCancel(ln *dispatch.Lane, id ident.Request) bool {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	return ln.Cancel(ctx, id) == nil
}

func (pt *poolTask) addressOf(name ident.Upstream) string {
	for _, up := range pt.pool.Upstreams {
		if up.Name == name {
			return up.Address
		}
	}
	return ""
}

// probe asks an upstream for its report: a sign of life and a hint on its load.
func (pt *poolTask) probe(name ident.Upstream, address string) {
	start := time.Now()
	rp, err := askReport(address)
	pt.post(poolMsg{msg: admission.ProbedMsg{Upstream: name, Alive: err == nil, Took: time.Since(start)}})
	if err == nil {
		pt.post(poolMsg{msg: admission.ReportMsg{Upstream: name, Busy: rp.Busy}})
	}
}

func askReport(address string) (control.Report, error) {
	var rp control.Report
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+control.ReportPath, nil)
	if err != nil {
		return rp, err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return rp, err
	}
	defer func() { _ = rs.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(rs.Body, maxReportBytes)).Decode(&rp)
	return rp, err
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

// slotBody tells when the answer is closed whether the upstream had sent it
// whole: only then is its slot known to be free.
type slotBody struct {
	io.ReadCloser
	// ended is told once and never blocks.
	ended chan<- verdict.Verdict
	whole atomic.Bool
	once  sync.Once
}

// Read reads on and notes the end.
func (sb *slotBody) Read(buffer []byte) (int, error) {
	count, err := sb.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		sb.whole.Store(true)
	}
	return count, err
}

// Close closes the answer and tells once.
func (sb *slotBody) Close() error {
	err := sb.ReadCloser.Close()
	vd := verdict.MayHaveRun
	if sb.whole.Load() {
		vd = verdict.Ran
	}
	sb.once.Do(func() { sb.ended <- vd })
	return err
}
