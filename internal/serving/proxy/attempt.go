package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/transport"
)

// send sends the request to the permit's upstream and releases the permit.
func (ex *exchange) send(ctx context.Context, pm *Permit) (*transport.Answer, error) {
	runCtx := ctx
	if !ex.repeatable() {
		// A request that may not be repeated is finished even if its caller leaves.
		kept, cancel := withoutCaller(ctx)
		defer cancel()
		runCtx = kept
	}
	sendCtx, cancel := runCtx, context.CancelFunc(func() {})
	if pm.Watched {
		sendCtx, cancel = cancelLater(runCtx, watchTime)
	}
	defer cancel()
	hd := endToEndHeader(ex.rq.Header)
	ex.px.cf.UpstreamHeaders.SetRequest(hd, ex.info, pm.Upstream, time.Until(ex.deadline))
	began := time.Now()
	rq := &transport.Request{
		ID: ex.info.Request, Method: ex.rq.Method, URI: ex.rq.URI, Host: ex.rq.Host, Header: hd,
		Body: ex.rq.Body, Chunked: ex.rq.Chunked, Length: ex.rq.Length,
		Repeatable: ex.repeatable(), Deadline: ex.answerBy, RestDeadline: ex.deadline.Add(answerGrace),
	}
	if ex.rq.Rest != nil {
		ex.rest = &callerRest{Body: ex.rq.Rest, ctx: ctx}
		rq.Rest = ex.rest
	}
	an, err := ex.px.cf.Connections.Send(sendCtx, transport.Target{ID: pm.Upstream, Address: pm.Address}, rq)
	done := protocol.Done{Service: ex.service, Upstream: pm.Upstream, Took: time.Since(began)}
	outcome := ex.outcome(runCtx, an, err)
	if outcome == permit.TimedOut && ex.callerLeaves() {
		// The upstream had less than the time in which it must answer.
		outcome = permit.Withdrawn
	}
	done.Outcome = uint8(outcome)
	if an != nil {
		rp := ex.px.cf.UpstreamHeaders.DecodeReport(an.Status, an.Header)
		done.Reported, done.Running, done.Waiting, done.LatencyPercent = rp.Reported, rp.Running, rp.Waiting, rp.LatencyPercent
		// Another upstream may answer at the address: then what it says is not about
		// the one that the permit is for.
		if outcome != permit.Disowned {
			ex.noteAnnouncements(pm, rp, began)
		}
	}
	switch {
	case an == nil || an.Rest == nil:
		ex.noteRun(pm, outcome, an, err)
	case passedOn(outcome, an, ex.px.cf.UpstreamHeaders):
		// The upstream's slot is in use until the whole answer was read.
		an.Rest = &releasingRest{ReadCloser: an.Rest, release: func(end error) {
			done.Took = time.Since(began)
			switch {
			case errors.Is(end, io.EOF):
				ex.noteRun(pm, outcome, an, nil)
			case end != nil && (ctx.Err() == nil || !ex.repeatable()):
				done.Outcome = uint8(permit.Broken)
				if transport.IsClosed(end) {
					ex.px.cf.OnCrash(*pm, ex.end.Fingerprint)
				}
			case end != nil:
				done.Outcome = uint8(permit.Broken)
			}
			ex.px.cf.Permits.Release(*pm, done)
		}}
		return an, err
	default:
		// Nobody reads the rest. An error means that the connection has ended already.
		_ = an.Rest.Close()
	}
	ex.px.cf.Permits.Release(*pm, done)
	return an, err
}

// withoutCaller returns a context that does not end when the caller leaves, only when the server does.
func withoutCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	return endAfter(ctx, func(func()) {})
}

// cancelLater returns a context that ends some time after the caller has left, or with the server.
func cancelLater(ctx context.Context, delay time.Duration) (context.Context, context.CancelFunc) {
	return endAfter(ctx, func(end func()) { time.AfterFunc(delay, end) })
}

// endAfter returns a context that ends with the server. When the caller leaves it calls onLeft with
// the function that ends the context.
func endAfter(ctx context.Context, onLeft func(end func())) (context.Context, context.CancelFunc) {
	kept, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if httpserver.IsEnding(ctx) {
			cancel(httpserver.ErrEnding)
			return
		}
		onLeft(func() { cancel(context.Canceled) })
	})
	return kept, func() {
		stop()
		cancel(context.Canceled)
	}
}

// noteRun passes on what an attempt says of the request itself: whether its upstream may have
// crashed, or has run it to its end. An upstream that has stopped the work at its deadline has
// not.
func (ex *exchange) noteRun(pm *Permit, outcome permit.Outcome, an *transport.Answer, err error) {
	var fl *transport.Failure
	switch {
	case outcome == permit.Broken && errors.As(err, &fl) && fl.Closed:
		ex.px.cf.OnCrash(*pm, ex.end.Fingerprint)
	case outcome == permit.Withdrawn && errors.As(err, &fl) && fl.Sent && !ex.bodyBrokeOff():
		ex.px.cf.OnAbandoned(*pm, ex.end.Fingerprint)
	case outcome == permit.Answered,
		outcome == permit.Failed && passedOn(outcome, an, ex.px.cf.UpstreamHeaders) && an.Status != http.StatusGatewayTimeout:
		ex.px.cf.OnAnswer(*pm, ex.end.Fingerprint)
	}
}

// passedOn reports whether an answer with this outcome becomes the response to the
// caller.
func passedOn(outcome permit.Outcome, an *transport.Answer, uh UpstreamHeaders) bool {
	return outcome == permit.Answered || outcome == permit.Failed && uh.DecodeReport(an.Status, an.Header).HasSignature
}

// noteAnnouncements passes on what an upstream says about further requests.
func (ex *exchange) noteAnnouncements(pm *Permit, rp Report, sentAt time.Time) {
	if rp.Leaving {
		ex.px.cf.OnLeaving(pm.Upstream)
	}
	if rp.Pause > 0 {
		ex.px.cf.OnPause(*pm, rp.Pause)
	}
	// Spoiled answers say nothing by what they lack.
	if rp.Limit.Named || rp.HasSignature || rp.NotRun {
		ex.px.cf.OnLimit(*pm, sentAt, rp.Limit, rp.LimitErr)
	}
}

// releasingRest releases a permit once the rest of an answer has been read or given up.
// Close may be called beside Read.
type releasingRest struct {
	io.ReadCloser
	// release gets the error that ended the last read, or nil if the rest was given up.
	release func(end error)
	once    sync.Once
	mu      sync.Mutex
	end     error
}

// Read implements io.Reader.
func (rr *releasingRest) Read(buf []byte) (int, error) {
	count, err := rr.ReadCloser.Read(buf)
	if err != nil {
		rr.mu.Lock()
		defer rr.mu.Unlock()
		rr.end = err
	}
	return count, err
}

// Close closes the rest and releases the permit.
func (rr *releasingRest) Close() error {
	rr.once.Do(func() {
		rr.mu.Lock()
		end := rr.end
		rr.mu.Unlock()
		rr.release(end)
	})
	return rr.ReadCloser.Close()
}

// outcome classifies the result of one attempt.
func (ex *exchange) outcome(ctx context.Context, an *transport.Answer, err error) permit.Outcome {
	var fl *transport.Failure
	failed := errors.As(err, &fl)
	switch {
	// That the upstream ended counts although the caller has left.
	case failed && ctx.Err() != nil && !fl.Closed, failed && ex.bodyBrokeOff():
		return permit.Withdrawn
	case failed && !fl.Sent:
		return permit.Unreached
	case failed && fl.TimedOut:
		return permit.TimedOut
	case err != nil:
		return permit.Broken
	}
	rp := ex.px.cf.UpstreamHeaders.DecodeReport(an.Status, an.Header)
	switch {
	case rp.NotRun && an.Status == http.StatusMisdirectedRequest:
		return permit.Disowned
	case rp.NotRun:
		return permit.Refused
	case !rp.HasSignature, an.Status >= http.StatusInternalServerError:
		return permit.Failed
	default:
		return permit.Answered
	}
}

// handleOutcome decides what follows from an attempt: it returns the response to
// the caller, or true for another attempt.
func (ex *exchange) handleOutcome(ctx context.Context, pm *Permit, an *transport.Answer, err error) (rs *httpserver.Response, again bool) {
	outcome := ex.outcome(ctx, an, err)
	if err != nil && ctx.Err() != nil {
		outcome = permit.Withdrawn
	}
	switch outcome {
	case permit.Answered:
		ex.end.Cause = "answered"
		return ex.upstreamResponse(an), false
	case permit.Failed:
		if passedOn(outcome, an, ex.px.cf.UpstreamHeaders) {
			ex.end.Cause = "upstreamFailed"
			return ex.upstreamResponse(an), false
		}
		ex.mayHaveRun = true
		return ex.retry(pm, "unsignedAnswer", ex.repeatable())
	case permit.Withdrawn:
		if status := ex.bodyRejection(); status != 0 {
			ex.mayHaveRun = true
			ex.end.Err = err
			return ex.localResponse(status, "bodyRejected", 0), false
		}
		if httpserver.IsEnding(ctx) {
			var fl *transport.Failure
			ex.end.Err, ex.mayHaveRun = err, ex.mayHaveRun || !errors.As(err, &fl) || fl.Sent
			return ex.giveUp("stopping"), false
		}
		ex.end.Cause = "callerLeft"
		return nil, false
	case permit.Unreached:
		ex.end.Err = err
		return ex.retry(pm, "unreached", true)
	case permit.Disowned:
		ex.disownedCount++
		if ex.disownedCount <= maxDisowned && !ex.bodyConsumed() && ex.px.cf.Budget.Spend(ex.service) {
			return nil, true
		}
		return ex.retry(pm, outcome.String(), true)
	case permit.Refused:
		return ex.retry(pm, outcome.String(), true)
	default:
		ex.end.Err, ex.mayHaveRun = err, true
		return ex.retry(pm, outcome.String(), ex.repeatable())
	}
}

// retry returns true if the request is to be sent to another upstream: it may be
// sent again, its body was kept whole, and attempts, time and retry budget are
// left. Otherwise it returns the response to the caller.
func (ex *exchange) retry(pm *Permit, cause string, allowed bool) (*httpserver.Response, bool) {
	ex.avoid = pm.Upstream
	if allowed && !ex.bodyConsumed() && ex.end.Attempts < ex.route.Attempts && time.Until(ex.deadline) > minTimeLeft && ex.px.cf.Budget.Spend(ex.service) {
		return nil, true
	}
	return ex.giveUp(cause), false
}

// bodyBrokeOff reports whether the caller left before the whole body was sent, or its rest could not
// be read.
func (ex *exchange) bodyBrokeOff() bool { return ex.rest != nil && ex.rest.Err() != nil }

// bodyRejection returns the status for a body whose rest could not be read, or 0.
func (ex *exchange) bodyRejection() int {
	if ex.rq.Rest == nil {
		return 0
	}
	return ex.rq.Rest.Rejection()
}

// bodyConsumed reports whether a part of the body was sent and not kept.
func (ex *exchange) bodyConsumed() bool { return ex.rq.Rest != nil && ex.rq.Rest.Consumed() }
