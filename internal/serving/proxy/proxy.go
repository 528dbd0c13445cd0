// Package proxy forwards a caller's request to an upstream and returns the
// response: it looks up the route, acquires a permit, sends the request, and
// after a failure retries or generates a response itself.
//
//	px := proxy.New(config)
//	rs := px.Serve(ctx, rq)
package proxy

import (
	"context"
	"net/http"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/internal/serving/verdict"
)

const (
	// answerGrace is how long after a request's deadline its answer is awaited:
	// the upstream ends the work at the deadline and then says so.
	answerGrace = 120 * time.Millisecond
	// stopMargin is how long before its caller's limit a request's deadline is, so that what the
	// upstream says then reaches the caller, also over a slow link. After a limit the caller
	// closes its connection, with the answers that are ready behind the late one.
	stopMargin = 20 * time.Millisecond
	// deliveryMargin is how long before the caller's limit an answer is awaited.
	deliveryMargin = 10 * time.Millisecond
	// minTimeLeft is the shortest time left with which a request is still sent.
	minTimeLeft = 15 * time.Millisecond
	// startRetryAfter is the Retry-After of a host that has no desired state yet, or that stops.
	startRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the Retry-After of a request that no upstream ran.
	busyRetryAfter = 300 * time.Millisecond
	// watchTime is how long a watched run goes on after its caller has left: less than the half
	// second that the users allow upstreams to work for nobody.
	watchTime = 350 * time.Millisecond
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
	// Limit is how many requests the upstream takes from all hosts together. With a
	// LimitErr it was malformed and says nothing.
	Limit    rate.Limit
	LimitErr error
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
	// RefusedAfter is how long the request waited for the permit that it was refused, or 0.
	RefusedAfter time.Duration
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
	// Fingerprint is 0 if the request has no service.
	Fingerprint ident.Fingerprint
	// RequestBytes and AnswerBytes are the sizes of the bodies if an upstream's answer is passed on.
	RequestBytes, AnswerBytes int64
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
	// OnLimit is called with the limit that an answer names, the zero Limit if it names none,
	// or the error if it is malformed, before the permit is released. sentAt is when the
	// request was sent.
	OnLimit func(pm Permit, sentAt time.Time, limit rate.Limit, err error)
	// OnCrash is called when the connection to an upstream ended while it ran a request,
	// OnAnswer when an upstream has run a request to its end, OnAbandoned when nobody knows since
	// the caller left. They are called before the permit is released.
	OnCrash, OnAnswer, OnAbandoned func(pm Permit, fp ident.Fingerprint)
	// Suspect reports whether upstreams have crashed under a request. It may be called at any time.
	Suspect func(fp ident.Fingerprint) bool
	// Domain is the failure domain of this host.
	Domain ident.Domain
	// EndsAt returns when this process ends its requests, or the zero time if it is not stopping.
	EndsAt func() time.Time
}

// Proxy serves requests. It is safe for concurrent use.
type Proxy struct {
	cf     Config
	splits trafficSplits
	limits timeLimits
	sizes  answerSizes
}

// New makes a Proxy.
func New(cf Config) *Proxy {
	return &Proxy{cf: cf, splits: newTrafficSplits(), limits: newTimeLimits(), sizes: newAnswerSizes()}
}

// MayBreakOff reports whether the response to a request may break off after a part of it was passed
// on, which large answers are. Routes say by their kind which have those. It is safe for
// concurrent use.
func (px *Proxy) MayBreakOff(host, uri string) bool {
	st := px.cf.State()
	if st == nil {
		return false
	}
	route, found := st.Lookup(host, uri)
	return found && route.Kind == desired.Download
}

// Serve forwards a request and returns its response. A nil response means that
// the caller's connection is to be closed.
func (px *Proxy) Serve(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
	ex := &exchange{px: px, rq: rq, state: px.cf.State()}
	rs := ex.serve(ctx)
	rq.ID = ex.info.Request
	ex.end.Took = time.Since(rq.Arrived)
	ex.end.Request, ex.end.Service, ex.end.Key, ex.end.TimeLimit = ex.info.Request, ex.service, ex.info.Key, ex.info.TimeLimit
	if rs != nil {
		ex.end.Status = rs.Status
	}
	px.cf.OnEnd(ex.end)
	return rs
}
