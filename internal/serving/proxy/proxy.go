// Package proxy leads one request from its caller to an upstream and back:
// route, permit, sending, answer, and what follows from a failure.
//
//	px := proxy.New(proxy.Config{...})
//	rs := px.Serve(ctx, rq)
package proxy

import (
	"context"
	"errors"
	"net/http"
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
	// answerGrace is how long past its time a request's upstream is waited for:
	// it ends the work itself at that time and says so.
	answerGrace = 120 * time.Millisecond
	// minTime is the least time left for which a request is sent.
	minTime = 15 * time.Millisecond
	// startRetry is when callers of a host that knows no routes yet may return.
	startRetry = 500 * time.Millisecond
	// busyRetry is when a request that upstreams refused may return.
	busyRetry = 300 * time.Millisecond
	// maxDisowned bounds how often a request follows a key to its next owner.
	maxDisowned = 3
)

// Terms are what a request says of itself.
type Terms struct {
	Request ident.Request
	// TimeLimit is how long the caller waits; zero when it did not say.
	TimeLimit time.Duration
	Key       keyspace.Key
	Keyed     bool
}

// Report is what an answer's header says.
type Report struct {
	// Sealed tells whether the upstream signed the answer.
	Sealed bool
	// NotRun states that the upstream did not run the request.
	NotRun bool
	// Reported tells whether the upstream told its load.
	Reported               bool
	Running, Waiting, Pace int
}

// CallerHeaders reads and writes the header fields that callers use.
type CallerHeaders interface {
	// Terms reads what a request says of itself, for the service that it goes to.
	Terms(rq *httpserver.Request, sv desired.Service) (Terms, error)
	// Answer turns the header of an upstream's answer into one for the caller.
	Answer(hd http.Header, tm Terms, id ident.Upstream)
	// Refusal fills the header of an answer of the router's own.
	Refusal(hd http.Header, tm Terms, vd verdict.Verdict, retryAfter time.Duration)
}

// UpstreamHeaders reads and writes the header fields that upstreams use.
type UpstreamHeaders interface {
	// Address says whom a request is for and how long it may take.
	Address(hd http.Header, tm Terms, id ident.Upstream, left time.Duration)
	Report(status int, hd http.Header) Report
}

// Permits hands out permits to send.
type Permits interface {
	// Acquire waits for a permit or a refusal. An error means that the caller
	// left.
	Acquire(ctx context.Context, ask protocol.Ask) (Grant, *protocol.Refusal, error)
	// Release gives a permit back.
	Release(gr Grant, done protocol.Done)
}

// Grant is a permit with where it leads.
type Grant struct {
	protocol.Permit
	Address string
	// Holder is who gave it.
	Holder ident.Host
	// Waited is the time from the ask to the permit.
	Waited time.Duration
}

// End is how a request ended, for logs and metrics.
type End struct {
	Request  ident.Request
	Route    string
	Service  ident.Service
	Status   int
	Cause    string
	Upstream ident.Upstream
	Holder   ident.Host
	Attempts int
	Waited   time.Duration
	Took     time.Duration
	// Sealed tells whether the answer is an upstream's own.
	Sealed  bool
	Version desired.Version
	Epoch   keyspace.Epoch
	Key     keyspace.Key
	Err     error
	// RetryAfter is what a refused caller was told.
	RetryAfter time.Duration
	Limit      time.Duration
}

// Config is what a Proxy needs.
type Config struct {
	State         func() *desired.State
	Permits       Permits
	Transport     *transport.Pool
	CallerHeaders CallerHeaders
	// UpstreamHeaders is how upstreams are spoken to.
	UpstreamHeaders UpstreamHeaders
	Budget          *Budget
	// Observe is told of each request's end, Arrived of each keyed request.
	Observe func(End)
	Arrived func(sv ident.Service, ky keyspace.Key)
	Domain  ident.Domain
}

// Proxy serves requests. Its methods may be called from many goroutines.
type Proxy struct {
	cf     Config
	splits splits
	limits timeLimits
}

// New makes a Proxy.
func New(cf Config) *Proxy {
	return &Proxy{cf: cf, splits: newSplits(), limits: newTimeLimits()}
}

// trip is one request on its way.
type trip struct {
	px       *Proxy
	rq       *httpserver.Request
	terms    Terms
	state    *desired.State
	route    *desired.Route
	service  ident.Service
	deadline time.Time
	// objective is when an answer stops being of full use.
	objective time.Time
	end       End
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	avoid      ident.Upstream
	disowned   int
}

// Serve answers a request; nil closes the caller's connection.
func (px *Proxy) Serve(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
	tp := &trip{px: px, rq: rq, state: px.cf.State()}
	rs := tp.serve(ctx)
	tp.end.Took = time.Since(rq.Arrived)
	tp.end.Request, tp.end.Service, tp.end.Key, tp.end.Limit = tp.terms.Request, tp.service, tp.terms.Key, tp.terms.TimeLimit
	if rs != nil {
		tp.end.Status = rs.Status
	}
	px.cf.Observe(tp.end)
	return rs
}

func (tp *trip) serve(ctx context.Context) *httpserver.Response {
	route, found := &desired.Route{}, false
	if tp.state != nil {
		tp.end.Version = tp.state.Version
		route, found = tp.state.Lookup(tp.rq.Host, tp.rq.URI)
	}
	if found {
		tp.route, tp.end.Route = route, route.Name
		tp.service = tp.px.splits.choose(route)
	}
	var err error
	if tp.terms, err = tp.px.cf.CallerHeaders.Terms(tp.rq, tp.sv()); err != nil {
		tp.end.Err = err
		return tp.own(http.StatusBadRequest, "malformed", 0)
	}
	switch {
	case tp.state == nil:
		return tp.own(http.StatusServiceUnavailable, "noDesiredState", startRetry)
	case !found:
		return tp.own(http.StatusNotFound, "noRoute", 0)
	case tp.keyed() && !tp.terms.Keyed:
		return tp.own(http.StatusBadRequest, "noKey", 0)
	case tp.tooLarge():
		return tp.own(http.StatusRequestEntityTooLarge, "bodyTooLarge", 0)
	}
	tp.times()
	if tp.keyed() {
		tp.px.cf.Arrived(tp.service, tp.terms.Key)
	}
	tp.px.cf.Budget.Earn(tp.service)
	return tp.attempts(ctx)
}

// sv is the service that the request goes to; empty where none is known.
func (tp *trip) sv() desired.Service {
	if tp.state == nil {
		return desired.Service{}
	}
	return tp.state.Services[tp.service]
}

func (tp *trip) keyed() bool { return tp.sv().Keyed }

// repeatable tells whether the request may run more than once.
func (tp *trip) repeatable() bool { return tp.route.Repeatable(tp.rq.Method) }

// tooLarge tells whether the body is larger than the route takes. A body of
// unknown length that is not read whole counts as such.
func (tp *trip) tooLarge() bool {
	limit := tp.route.BodyBytes
	return limit > 0 && (tp.rq.Length > limit || int64(len(tp.rq.Body)) > limit || tp.rq.Chunked && tp.rq.Rest != nil)
}

// times sets the deadline and the objective. A caller that comes again states
// less time than a first one, which tells how long it has waited already.
func (tp *trip) times() {
	limit := tp.route.Timeout
	if tp.route.DefaultTimeout > 0 && tp.terms.TimeLimit == 0 {
		limit = tp.route.DefaultTimeout
	}
	waited := time.Duration(0)
	if tp.terms.TimeLimit > 0 {
		limit = min(limit, tp.terms.TimeLimit)
		waited = tp.px.limits.waited(tp.route.Name, tp.terms.TimeLimit)
	}
	tp.deadline = tp.rq.Arrived.Add(limit)
	tp.objective = tp.rq.Arrived.Add(tp.route.Objective - waited)
}

// attempts sends the request until it is answered or nothing more can be done.
func (tp *trip) attempts(ctx context.Context) *httpserver.Response {
	for {
		if time.Until(tp.deadline) < minTime {
			return tp.giveUp("outOfTime")
		}
		gr, rs := tp.acquire(ctx)
		if gr == nil {
			return rs
		}
		tp.end.Attempts++
		an, err := tp.send(ctx, gr)
		rs, again := tp.judge(ctx, gr, an, err)
		if !again {
			return rs
		}
	}
}

// acquire waits for a permit; without one it returns the answer to give.
func (tp *trip) acquire(ctx context.Context) (*Grant, *httpserver.Response) {
	began := time.Now()
	gr, refusal, err := tp.px.cf.Permits.Acquire(ctx, protocol.Ask{
		Request: tp.terms.Request, Service: tp.service, Domain: tp.px.cf.Domain, Key: tp.terms.Key, Keyed: tp.keyed(),
		Large: tp.route.Kind == desired.Download, Repeatable: tp.repeatable(), Priority: tp.route.Priority,
		ObjectiveLeft: time.Until(tp.objective), TimeLeft: time.Until(tp.deadline), Avoid: tp.avoid,
	})
	tp.end.Waited += time.Since(began)
	if err != nil {
		tp.end.Cause = "callerLeft"
		return nil, nil
	}
	if refusal != nil {
		if tp.mayHaveRun {
			return nil, tp.own(http.StatusBadGateway, refusal.Reason, 0)
		}
		return nil, tp.own(http.StatusServiceUnavailable, refusal.Reason, refusal.RetryAfter)
	}
	tp.end.Upstream, tp.end.Holder, tp.end.Epoch = gr.Upstream, gr.Holder, gr.Epoch
	return &gr, nil
}

// send sends the request to the permit's upstream and gives the permit back.
func (tp *trip) send(ctx context.Context, gr *Grant) (*transport.Answer, error) {
	if !tp.repeatable() {
		// What may not be repeated is finished even if its caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	hd := forwarded(tp.rq.Header)
	tp.px.cf.UpstreamHeaders.Address(hd, tp.terms, gr.Upstream, time.Until(tp.deadline))
	began := time.Now()
	an, err := tp.px.cf.Transport.Send(ctx, transport.Target{ID: gr.Upstream, Address: gr.Address}, &transport.Request{
		ID: tp.terms.Request, Method: tp.rq.Method, URI: tp.rq.URI, Host: tp.rq.Host, Header: hd,
		Body: tp.rq.Body, Rest: tp.rq.Rest, Chunked: tp.rq.Chunked, Length: tp.rq.Length,
		Repeatable: tp.repeatable(), Deadline: tp.deadline.Add(answerGrace),
	})
	done := protocol.Done{Service: tp.service, Upstream: gr.Upstream, Took: time.Since(began)}
	outcome := tp.outcome(ctx, an, err)
	done.Outcome = uint8(outcome)
	if an != nil {
		rp := tp.px.cf.UpstreamHeaders.Report(an.Status, an.Header)
		done.Reported, done.Running, done.Waiting, done.Pace = rp.Reported, rp.Running, rp.Waiting, rp.Pace
	}
	tp.px.cf.Permits.Release(*gr, done)
	return an, err
}

// outcome says what one attempt showed of the upstream.
func (tp *trip) outcome(ctx context.Context, an *transport.Answer, err error) permit.Outcome {
	var fl *transport.Failure
	switch {
	case ctx.Err() != nil && err != nil:
		return permit.Withdrawn
	case errors.As(err, &fl) && !fl.Sent:
		return permit.Unreached
	case errors.As(err, &fl) && fl.TimedOut:
		return permit.TimedOut
	case err != nil:
		return permit.Broken
	}
	rp := tp.px.cf.UpstreamHeaders.Report(an.Status, an.Header)
	switch {
	case rp.NotRun && an.Status == http.StatusMisdirectedRequest:
		return permit.Disowned
	case rp.NotRun:
		return permit.Refused
	case !rp.Sealed, an.Status >= http.StatusInternalServerError:
		return permit.Failed
	default:
		return permit.Answered
	}
}

// judge decides what follows from an attempt: an answer, or another attempt.
func (tp *trip) judge(ctx context.Context, gr *Grant, an *transport.Answer, err error) (rs *httpserver.Response, again bool) {
	switch outcome := tp.outcome(ctx, an, err); outcome {
	case permit.Answered:
		tp.end.Cause = "answered"
		return tp.deliver(an), false
	case permit.Failed:
		if rp := tp.px.cf.UpstreamHeaders.Report(an.Status, an.Header); rp.Sealed {
			tp.end.Cause = "upstreamFailed"
			return tp.deliver(an), false
		}
		tp.mayHaveRun = true
		return tp.retry(gr, "unsignedAnswer", tp.repeatable())
	case permit.Withdrawn:
		tp.end.Cause = "callerLeft"
		return nil, false
	case permit.Unreached:
		tp.end.Err = err
		return tp.retry(gr, "unreached", true)
	case permit.Disowned:
		tp.disowned++
		if tp.disowned <= maxDisowned && tp.rq.Rest == nil && tp.px.cf.Budget.Spend(tp.service) {
			return nil, true
		}
		return tp.retry(gr, outcome.String(), true)
	case permit.Refused:
		return tp.retry(gr, outcome.String(), true)
	default:
		tp.end.Err, tp.mayHaveRun = err, true
		return tp.retry(gr, outcome.String(), tp.repeatable())
	}
}

// retry tries another upstream if that is allowed and leaves time enough.
func (tp *trip) retry(gr *Grant, cause string, allowed bool) (*httpserver.Response, bool) {
	tp.avoid = gr.Upstream
	spent := tp.rq.Rest != nil
	if allowed && !spent && tp.end.Attempts < tp.route.Attempts && time.Until(tp.deadline) > minTime && tp.px.cf.Budget.Spend(tp.service) {
		return nil, true
	}
	return tp.giveUp(cause), false
}

// giveUp answers a request that no upstream answered.
func (tp *trip) giveUp(cause string) *httpserver.Response {
	switch {
	case !tp.mayHaveRun:
		return tp.own(http.StatusServiceUnavailable, cause, busyRetry)
	case time.Until(tp.deadline) < minTime:
		return tp.own(http.StatusGatewayTimeout, cause, 0)
	default:
		return tp.own(http.StatusBadGateway, cause, 0)
	}
}

// own is an answer of the router's own.
func (tp *trip) own(status int, cause string, retryAfter time.Duration) *httpserver.Response {
	tp.end.Cause, tp.end.RetryAfter = cause, retryAfter
	hd := http.Header{}
	vd := verdict.NotRun
	if tp.mayHaveRun {
		vd = verdict.MayHaveRun
	}
	tp.px.cf.CallerHeaders.Refusal(hd, tp.terms, vd, retryAfter)
	return &httpserver.Response{Status: status, Header: hd}
}

// deliver is an upstream's own answer.
func (tp *trip) deliver(an *transport.Answer) *httpserver.Response {
	tp.end.Sealed = true
	hd := forwarded(an.Header)
	tp.px.cf.CallerHeaders.Answer(hd, tp.terms, tp.end.Upstream)
	return &httpserver.Response{Status: an.Status, Header: hd, Body: an.Body, Rest: an.Rest, Length: an.Length}
}
