package proxy

import (
	"context"
	"net/http"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/internal/serving/verdict"
)

// exchange is the state of one request from its arrival to its response.
type exchange struct {
	px      *Proxy
	rq      *httpserver.Request
	info    RequestInfo
	state   *desired.State
	route   *desired.Route
	service ident.Service
	// deadline is when upstreams stop the work, answerBy when the answer must have begun.
	deadline time.Time
	answerBy time.Time
	// objective is when an answer stops meeting the route's objective. A later one
	// is still of use until the deadline.
	objective time.Time
	end       End
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// rest is what upstreams get of the request's Rest, nil before an attempt.
	rest *callerRest
	// avoid is the upstream that failed last.
	avoid         ident.Upstream
	disownedCount int
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
	if ex.service != "" {
		ex.end.Fingerprint = fingerprintOf(ex.rq, ex.info)
		if len(route.Destinations) > 1 && ex.px.cf.Suspect(ex.end.Fingerprint) {
			// One holder must see all of its asks.
			ex.service = commonDestination(route, ex.end.Fingerprint)
		}
	}
	switch {
	case ex.rq.Late:
		return ex.localResponse(http.StatusServiceUnavailable, "stopping", startRetryAfter)
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
	waited, answerLimit := time.Duration(0), limit+answerGrace
	if ex.info.TimeLimit > 0 {
		limit = min(limit, ex.info.TimeLimit-stopMargin)
		answerLimit = min(limit+answerGrace, ex.info.TimeLimit-deliveryMargin)
		waited = ex.px.limits.waited(ex.route.Name, ex.info.TimeLimit)
	}
	ex.deadline, ex.answerBy = ex.rq.Arrived.Add(limit), ex.rq.Arrived.Add(answerLimit)
	ex.objective = ex.rq.Arrived.Add(ex.route.Objective - waited)
}

// limitToStop brings the deadline forward if this process ends before it. What the upstream says at
// the deadline, such as that it has not begun, still reaches the caller then.
func (ex *exchange) limitToStop() {
	endsAt := ex.px.cf.EndsAt()
	if endsAt.IsZero() {
		return
	}
	if last := endsAt.Add(-stopMargin); last.Before(ex.deadline) {
		ex.deadline, ex.answerBy = last, endsAt
	}
}

// callerLeaves reports whether the answer is awaited only until the caller leaves or this process ends.
func (ex *exchange) callerLeaves() bool { return ex.answerBy.Before(ex.deadline.Add(answerGrace)) }

// forward sends the request until it is answered or no further attempt is
// allowed.
func (ex *exchange) forward(ctx context.Context) *httpserver.Response {
	for {
		ex.limitToStop()
		if time.Until(ex.deadline) < minTimeLeft {
			return ex.giveUp("outOfTime")
		}
		pm, rs := ex.acquire(ctx)
		if pm == nil {
			return rs
		}
		ex.limitToStop()
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
		Fingerprint: ex.end.Fingerprint, SizeClass: ex.sizeClass(),
	})
	waited := time.Since(began)
	ex.end.Waited += waited
	if err != nil && httpserver.IsEnding(ctx) {
		return nil, ex.giveUp("stopping")
	}
	if err != nil {
		ex.end.Cause = "callerLeft"
		return nil, nil
	}
	if refusal != nil {
		ex.end.RefusedAfter = waited
		if ex.mayHaveRun {
			return nil, ex.localResponse(http.StatusBadGateway, refusal.Reason, 0)
		}
		return nil, ex.localResponse(http.StatusServiceUnavailable, refusal.Reason, refusal.RetryAfter)
	}
	ex.end.Upstream, ex.end.Holder, ex.end.Epoch = pm.Upstream, pm.Holder, pm.Epoch
	return &pm, nil
}

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
	ex.noteSize(an)
	hd := endToEndHeader(an.Header)
	ex.px.cf.CallerHeaders.RewriteAnswer(hd, ex.info, ex.end.Upstream)
	return &httpserver.Response{Status: an.Status, Header: hd, Body: an.Body, Rest: an.Rest, Length: an.Length}
}
