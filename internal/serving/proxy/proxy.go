// Package proxy forwards a caller's request to an upstream and returns the
// response: it looks up the route, acquires a permit, sends the request, and
// after a failure retries or generates a response itself.
//
//	px := proxy.New(config)
//	rs := px.Serve(ctx, rq)
package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/internal/serving/verdict"
)

const (
	// answerGrace is how long after a request's deadline its answer is awaited:
	// the upstream ends the work at the deadline and then says so.
	answerGrace = 120 * time.Millisecond
	// minTimeLeft is the shortest time left with which a request is still sent.
	minTimeLeft = 15 * time.Millisecond
	// startRetryAfter is the Retry-After of a host that has no desired state yet.
	startRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the Retry-After of a request that no upstream ran.
	busyRetryAfter = 300 * time.Millisecond
	// maxDisowned bounds how often a request follows its key to another owner.
	maxDisowned = 3
)

// RequestInfo holds what a request states about itself: id, time limit and key.
type RequestInfo struct {
	Request ident.Request
	// TimeLimit is how long the caller waits, or 0 if it does not say.
	TimeLimit time.Duration
	Key       keyspace.Key
	// Keyed reports whether the request has a key.
	Keyed bool
}

// Report holds what an upstream states in the header of its answer.
type Report struct {
	// HasSignature reports whether the answer has a signature. It is not verified.
	HasSignature bool
	// NotRun reports whether the upstream states that it did not run the request.
	NotRun bool
	// Leaving reports whether the upstream is about to stop. Pause is how long it wants
	// no further request from this host, or 0.
	Leaving bool
	Pause   time.Duration
	// Reported reports whether the upstream stated its load.
	Reported bool
	// Running and Waiting count the upstream's requests; LatencyPercent is its
	// current processing time in percent of the usual one.
	Running, Waiting, LatencyPercent int
}

// CallerHeaders reads and writes the header fields that callers use.
type CallerHeaders interface {
	// DecodeRequest decodes what a request to the service states about itself.
	DecodeRequest(rq *httpserver.Request, sv desired.Service) (RequestInfo, error)
	// RewriteAnswer adapts the header of an upstream's answer for the caller.
	RewriteAnswer(hd http.Header, ri RequestInfo, id ident.Upstream)
	// SetRefusal fills the header of a response that the router generates itself.
	SetRefusal(hd http.Header, ri RequestInfo, vd verdict.Verdict, retryAfter time.Duration)
}

// UpstreamHeaders reads and writes the header fields that upstreams use.
type UpstreamHeaders interface {
	// SetRequest writes which upstream a request is for and how much time is left.
	SetRequest(hd http.Header, ri RequestInfo, id ident.Upstream, left time.Duration)
	// DecodeReport decodes the status and header of an answer.
	DecodeReport(status int, hd http.Header) Report
}

// Permits issues permits to send a request to an upstream.
type Permits interface {
	// Acquire waits for a permit or a refusal. An error means that the caller
	// left.
	Acquire(ctx context.Context, ask protocol.Ask) (Permit, *protocol.Refusal, error)
	// Release releases a permit and reports how the attempt ended.
	Release(pm Permit, done protocol.Done)
}

// Permit is a protocol.Permit with the address of its upstream.
type Permit struct {
	protocol.Permit
	Address string
	// Holder is the host that issued the permit.
	Holder ident.Host
	// Waited is the time from the request for the permit to its arrival.
	Waited time.Duration
}

// End describes how a request ended, for logs and metrics.
type End struct {
	Request  ident.Request
	Route    string
	Service  ident.Service
	Status   int
	Cause    string
	Upstream ident.Upstream
	Holder   ident.Host
	Attempts int
	// Waited is the time spent waiting for permits, Took the time from the
	// request's arrival to its response.
	Waited time.Duration
	Took   time.Duration
	// HasSignature reports whether the response is an upstream's answer with a
	// signature, which is not verified.
	HasSignature bool
	Version      desired.Version
	Epoch        keyspace.Epoch
	Key          keyspace.Key
	Err          error
	// RetryAfter is the Retry-After of a refused request, or 0.
	RetryAfter time.Duration
	// TimeLimit is that of RequestInfo.
	TimeLimit time.Duration
}

// Config configures a Proxy.
type Config struct {
	// State returns the current desired state, or nil before there is one.
	State           func() *desired.State
	Permits         Permits
	Connections     *transport.Pool
	CallerHeaders   CallerHeaders
	UpstreamHeaders UpstreamHeaders
	Budget          *Budget
	// OnEnd is called when a request has ended, OnKeyedRequest for each request with
	// a key before its permit is acquired.
	OnEnd          func(End)
	OnKeyedRequest func(sv ident.Service, ky keyspace.Key)
	// OnLeaving is called when an answer says that its upstream is leaving, OnPause when
	// it says that this host must pause. Both are called before the permit is released.
	OnLeaving func(id ident.Upstream)
	OnPause   func(pm Permit, pause time.Duration)
	// Domain is the failure domain of this host.
	Domain ident.Domain
}

// Proxy serves requests. It is safe for concurrent use.
type Proxy struct {
	cf     Config
	splits trafficSplits
	limits timeLimits
}

// New makes a Proxy.
func New(cf Config) *Proxy {
	return &Proxy{cf: cf, splits: newTrafficSplits(), limits: newTimeLimits()}
}

// exchange is the state of one request from its arrival to its response.
type exchange struct {
	px       *Proxy
	rq       *httpserver.Request
	info     RequestInfo
	state    *desired.State
	route    *desired.Route
	service  ident.Service
	deadline time.Time
	// objective is when an answer stops meeting the route's objective. A later one
	// is still of use until the deadline.
	objective time.Time
	end       End
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// avoid is the upstream that failed last.
	avoid         ident.Upstream
	disownedCount int
}

// Serve forwards a request and returns its response. A nil response means that
// the caller's connection is to be closed.
func (px *Proxy) Serve(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
	ex := &exchange{px: px, rq: rq, state: px.cf.State()}
	rs := ex.serve(ctx)
	ex.end.Took = time.Since(rq.Arrived)
	ex.end.Request, ex.end.Service, ex.end.Key, ex.end.TimeLimit = ex.info.Request, ex.service, ex.info.Key, ex.info.TimeLimit
	if rs != nil {
		ex.end.Status = rs.Status
	}
	px.cf.OnEnd(ex.end)
	return rs
}

func (ex *exchange) serve(ctx context.Context) *httpserver.Response {
	route, found := &desired.Route{}, false
	if ex.state != nil {
		ex.end.Version = ex.state.Version
		route, found = ex.state.Lookup(ex.rq.Host, ex.rq.URI)
	}
	if found {
		ex.route, ex.end.Route = route, route.Name
	}
	if found && !route.Malformed {
		ex.service = ex.px.splits.choose(route)
	}
	var err error
	if ex.info, err = ex.px.cf.CallerHeaders.DecodeRequest(ex.rq, ex.serviceConfig()); err != nil {
		ex.end.Err = err
		return ex.localResponse(http.StatusBadRequest, "malformed", 0)
	}
	switch {
	case ex.state == nil:
		return ex.localResponse(http.StatusServiceUnavailable, "noDesiredState", startRetryAfter)
	case !found:
		return ex.localResponse(http.StatusNotFound, "noRoute", 0)
	case route.Malformed:
		return ex.localResponse(http.StatusServiceUnavailable, "routeMalformed", startRetryAfter)
	case ex.keyed() && !ex.info.Keyed:
		return ex.localResponse(http.StatusBadRequest, "noKey", 0)
	case ex.bodyTooLarge():
		return ex.localResponse(http.StatusRequestEntityTooLarge, "bodyTooLarge", 0)
	}
	ex.setDeadlines()
	if ex.keyed() {
		ex.px.cf.OnKeyedRequest(ex.service, ex.info.Key)
	}
	ex.px.cf.Budget.Earn(ex.service)
	return ex.forward(ctx)
}

// serviceConfig returns the service that the request goes to, or an empty one
// if it is not known.
func (ex *exchange) serviceConfig() desired.Service {
	if ex.state == nil {
		return desired.Service{}
	}
	return ex.state.Services[ex.service]
}

func (ex *exchange) keyed() bool { return ex.serviceConfig().Keyed }

// repeatable reports whether the request may run more than once.
func (ex *exchange) repeatable() bool { return ex.route.Repeatable(ex.rq.Method) }

// bodyTooLarge reports whether the body exceeds the route's limit. A body of
// unknown length that was not read whole is too large.
func (ex *exchange) bodyTooLarge() bool {
	limit := ex.route.BodyBytes
	return limit > 0 && (ex.rq.Length > limit || int64(len(ex.rq.Body)) > limit || ex.rq.Chunked && ex.rq.Rest != nil)
}

// setDeadlines sets the deadline and the objective. A caller that retries states
// a shorter time limit than at first; the difference is how long it has waited.
func (ex *exchange) setDeadlines() {
	limit := ex.route.Timeout
	if ex.route.DefaultTimeout > 0 && ex.info.TimeLimit == 0 {
		limit = ex.route.DefaultTimeout
	}
	waited := time.Duration(0)
	if ex.info.TimeLimit > 0 {
		limit = min(limit, ex.info.TimeLimit)
		waited = ex.px.limits.waited(ex.route.Name, ex.info.TimeLimit)
	}
	ex.deadline = ex.rq.Arrived.Add(limit)
	ex.objective = ex.rq.Arrived.Add(ex.route.Objective - waited)
}

// forward sends the request until it is answered or no further attempt is
// allowed.
func (ex *exchange) forward(ctx context.Context) *httpserver.Response {
	for {
		if time.Until(ex.deadline) < minTimeLeft {
			return ex.giveUp("outOfTime")
		}
		pm, rs := ex.acquire(ctx)
		if pm == nil {
			return rs
		}
		ex.end.Attempts++
		an, err := ex.send(ctx, pm)
		rs, again := ex.handleOutcome(ctx, pm, an, err)
		if !again {
			return rs
		}
	}
}

// acquire waits for a permit. Without one it returns the response to the caller.
func (ex *exchange) acquire(ctx context.Context) (*Permit, *httpserver.Response) {
	began := time.Now()
	pm, refusal, err := ex.px.cf.Permits.Acquire(ctx, protocol.Ask{
		Request: ex.info.Request, Service: ex.service, Domain: ex.px.cf.Domain, Key: ex.info.Key, Keyed: ex.keyed(),
		Large: ex.route.Kind == desired.Download, Repeatable: ex.repeatable(), Priority: ex.route.Priority,
		ObjectiveLeft: time.Until(ex.objective), TimeLeft: time.Until(ex.deadline), Avoid: ex.avoid,
	})
	ex.end.Waited += time.Since(began)
	if err != nil {
		ex.end.Cause = "callerLeft"
		return nil, nil
	}
	if refusal != nil {
		if ex.mayHaveRun {
			return nil, ex.localResponse(http.StatusBadGateway, refusal.Reason, 0)
		}
		return nil, ex.localResponse(http.StatusServiceUnavailable, refusal.Reason, refusal.RetryAfter)
	}
	ex.end.Upstream, ex.end.Holder, ex.end.Epoch = pm.Upstream, pm.Holder, pm.Epoch
	return &pm, nil
}

// send sends the request to the permit's upstream and releases the permit.
func (ex *exchange) send(ctx context.Context, pm *Permit) (*transport.Answer, error) {
	if !ex.repeatable() {
		// A request that may not be repeated is finished even if its caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	hd := endToEndHeader(ex.rq.Header)
	ex.px.cf.UpstreamHeaders.SetRequest(hd, ex.info, pm.Upstream, time.Until(ex.deadline))
	began := time.Now()
	rq := &transport.Request{
		ID: ex.info.Request, Method: ex.rq.Method, URI: ex.rq.URI, Host: ex.rq.Host, Header: hd,
		Body: ex.rq.Body, Chunked: ex.rq.Chunked, Length: ex.rq.Length,
		Repeatable: ex.repeatable(), Deadline: ex.deadline.Add(answerGrace),
	}
	if ex.rq.Rest != nil {
		rq.Rest = ex.rq.Rest
	}
	an, err := ex.px.cf.Connections.Send(ctx, transport.Target{ID: pm.Upstream, Address: pm.Address}, rq)
	done := protocol.Done{Service: ex.service, Upstream: pm.Upstream, Took: time.Since(began)}
	outcome := ex.outcome(ctx, an, err)
	done.Outcome = uint8(outcome)
	if an != nil {
		rp := ex.px.cf.UpstreamHeaders.DecodeReport(an.Status, an.Header)
		done.Reported, done.Running, done.Waiting, done.LatencyPercent = rp.Reported, rp.Running, rp.Waiting, rp.LatencyPercent
		// Another upstream may answer at the address: then what it says is not about
		// the one that the permit is for.
		if outcome != permit.Disowned {
			ex.noteAnnouncements(pm, rp)
		}
	}
	switch {
	case an == nil || an.Rest == nil:
	case passedOn(outcome, an, ex.px.cf.UpstreamHeaders):
		// The upstream's slot is in use until the whole answer was read.
		an.Rest = &releasingRest{ReadCloser: an.Rest, release: func(broken bool) {
			done.Took = time.Since(began)
			if broken {
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

// passedOn reports whether an answer with this outcome becomes the response to the
// caller.
func passedOn(outcome permit.Outcome, an *transport.Answer, uh UpstreamHeaders) bool {
	return outcome == permit.Answered || outcome == permit.Failed && uh.DecodeReport(an.Status, an.Header).HasSignature
}

// noteAnnouncements passes on what an upstream says about further requests.
func (ex *exchange) noteAnnouncements(pm *Permit, rp Report) {
	if rp.Leaving {
		ex.px.cf.OnLeaving(pm.Upstream)
	}
	if rp.Pause > 0 {
		ex.px.cf.OnPause(*pm, rp.Pause)
	}
}

// releasingRest releases a permit once the rest of an answer has been read or given up.
// Close may be called beside Read.
type releasingRest struct {
	io.ReadCloser
	release func(broken bool)
	once    sync.Once
	broken  atomic.Bool
}

// Read implements io.Reader.
func (rr *releasingRest) Read(buf []byte) (int, error) {
	count, err := rr.ReadCloser.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		rr.broken.Store(true)
	}
	return count, err
}

// Close closes the rest and releases the permit.
func (rr *releasingRest) Close() error {
	rr.once.Do(func() { rr.release(rr.broken.Load()) })
	return rr.ReadCloser.Close()
}

// outcome classifies the result of one attempt.
func (ex *exchange) outcome(ctx context.Context, an *transport.Answer, err error) permit.Outcome {
	var fl *transport.Failure
	switch {
	case ctx.Err() != nil && err != nil, err != nil && ex.bodyBrokeOff():
		return permit.Withdrawn
	case errors.As(err, &fl) && !fl.Sent:
		return permit.Unreached
	case errors.As(err, &fl) && fl.TimedOut:
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
	switch outcome := ex.outcome(ctx, an, err); outcome {
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

// bodyBrokeOff reports whether the caller stopped in the middle of the body.
func (ex *exchange) bodyBrokeOff() bool { return ex.rq.Rest != nil && ex.rq.Rest.Err() != nil }

// bodyConsumed reports whether a part of the body was sent and not kept.
func (ex *exchange) bodyConsumed() bool { return ex.rq.Rest != nil && ex.rq.Rest.Consumed() }

// giveUp returns the response to a request that no upstream answered.
func (ex *exchange) giveUp(cause string) *httpserver.Response {
	switch {
	case !ex.mayHaveRun:
		return ex.localResponse(http.StatusServiceUnavailable, cause, busyRetryAfter)
	case time.Until(ex.deadline) < minTimeLeft:
		return ex.localResponse(http.StatusGatewayTimeout, cause, 0)
	default:
		return ex.localResponse(http.StatusBadGateway, cause, 0)
	}
}

// localResponse returns a response that the router generates itself.
func (ex *exchange) localResponse(status int, cause string, retryAfter time.Duration) *httpserver.Response {
	ex.end.Cause, ex.end.RetryAfter = cause, retryAfter
	hd := http.Header{}
	vd := verdict.NotRun
	if ex.mayHaveRun {
		vd = verdict.MayHaveRun
	}
	ex.px.cf.CallerHeaders.SetRefusal(hd, ex.info, vd, retryAfter)
	return &httpserver.Response{Status: status, Header: hd}
}

// upstreamResponse returns an upstream's answer as the response to the caller.
func (ex *exchange) upstreamResponse(an *transport.Answer) *httpserver.Response {
	ex.end.HasSignature = true
	hd := endToEndHeader(an.Header)
	ex.px.cf.CallerHeaders.RewriteAnswer(hd, ex.info, ex.end.Upstream)
	return &httpserver.Response{Status: an.Status, Header: hd, Body: an.Body, Rest: an.Rest, Length: an.Length}
}
