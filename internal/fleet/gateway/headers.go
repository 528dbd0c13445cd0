package gateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/internal/serving/verdict"
	"chervilwalk/platform"
)

// platformCallerFields reads and writes the platform's header fields for callers.
type platformCallerFields struct{}

// Terms implements proxy.CallerHeaders.
func (platformCallerFields) Terms(rq *httpserver.Request, _ desired.Service) (proxy.Terms, error) {
	tm, err := platform.DecodeTerms(rq.Header)
	return proxy.Terms(tm), err
}

// Answer implements proxy.CallerHeaders.
func (platformCallerFields) Answer(hd http.Header, _ proxy.Terms, _ ident.Upstream) {
	removeInternalFields(hd)
}

// Refusal implements proxy.CallerHeaders.
func (platformCallerFields) Refusal(hd http.Header, tm proxy.Terms, _ verdict.Verdict, retryAfter time.Duration) {
	platform.SetRequestID(hd, tm.Request)
	if retryAfter > 0 {
		platform.SetRetryAfter(hd, retryAfter)
	}
}

// removeInternalFields removes the header fields that callers must not see.
func removeInternalFields(hd http.Header) {
	for name := range hd {
		if platform.IsInternalHeader(name) {
			delete(hd, name)
		}
	}
}

// platformUpstreamFields reads and writes the platform's header fields for
// upstreams.
type platformUpstreamFields struct{}

// Address implements proxy.UpstreamHeaders.
func (platformUpstreamFields) Address(hd http.Header, tm proxy.Terms, id ident.Upstream, left time.Duration) {
	platform.SetUpstreamHeaders(hd, platform.Terms(tm), id, left)
}

// Report implements proxy.UpstreamHeaders.
func (platformUpstreamFields) Report(status int, hd http.Header) proxy.Report {
	rp := platform.DecodeReport(status, hd)
	report := proxy.Report{Sealed: rp.HasSignature, NotRun: rp.NotRun}
	if rp.Load != nil {
		report.Reported, report.Running, report.Waiting, report.Pace = true, rp.Load.Running, rp.Load.Waiting, rp.Load.LatencyPercent
	}
	return report
}

// Header fields of chervilwalk's own interface, which callers use where the
// desired state comes from bundles.
const (
	// fieldPrefix starts all of them. Those of a caller are not forwarded.
	fieldPrefix = "Chervilwalk-"
	// deadlineField is the caller's time limit for the answer, in milliseconds.
	deadlineField = fieldPrefix + "Deadline-Ms"
	// keyField is the key, for services that take it from the header.
	keyField = fieldPrefix + "Key"
	// verdictField says whether a failed request may have run.
	verdictField = fieldPrefix + "Verdict"
	// requestField is the request's id in logs.
	requestField = fieldPrefix + "Request"
	// upstreamField is the id of the upstream that answered.
	upstreamField = fieldPrefix + "Upstream"
	// keyParameter is the query parameter with the key, for services that take it
	// from the query.
	keyParameter = "key"
)

// bundleCallerFields reads and writes the header fields of chervilwalk's own
// interface.
type bundleCallerFields struct{}

// Terms implements proxy.CallerHeaders.
func (bundleCallerFields) Terms(rq *httpserver.Request, sv desired.Service) (proxy.Terms, error) {
	tm := proxy.Terms{Request: ident.Request(rand.Text())}
	if text := rq.Header.Get(deadlineField); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return tm, eris.Errorf("%s is %q, want a whole number of milliseconds above 0", deadlineField, text)
		}
		tm.TimeLimit = time.Duration(ms) * time.Millisecond
	}
	key, err := requestKey(rq, sv.Key)
	if err != nil {
		return tm, err
	}
	tm.Key, tm.Keyed = keyspace.Key(xxhash.Sum64String(key)%uint64(keyspace.Count)), sv.Keyed && key != ""
	for name := range rq.Header {
		if strings.HasPrefix(name, fieldPrefix) {
			delete(rq.Header, name)
		}
	}
	return tm, nil
}

// requestKey returns a request's key. It rejects paths with dot segments, since
// the upstream would resolve them to another path than the router.
func requestKey(rq *httpserver.Request, from desired.KeySource) (string, error) {
	target, err := url.ParseRequestURI(rq.URI)
	if err != nil || target.Host != "" {
		return "", eris.Errorf("path %q is malformed", rq.URI)
	}
	segments := strings.Split(strings.TrimPrefix(target.EscapedPath(), "/"), "/")
	for ix, segment := range segments {
		unescaped, err := url.PathUnescape(segment)
		if err != nil || unescaped == "." || unescaped == ".." {
			return "", eris.Errorf("path %q has a dot segment", rq.URI)
		}
		segments[ix] = unescaped
	}
	switch {
	case from == desired.KeyInQuery:
		return target.Query().Get(keyParameter), nil
	case from == desired.KeyInHeader:
		return rq.Header.Get(keyField), nil
	case from == desired.KeyInPath && len(segments) > 1:
		return segments[1], nil
	default:
		return "", nil
	}
}

// Answer implements proxy.CallerHeaders.
func (bundleCallerFields) Answer(hd http.Header, tm proxy.Terms, id ident.Upstream) {
	removeInternalFields(hd)
	for name := range hd {
		if strings.HasPrefix(name, fieldPrefix) {
			delete(hd, name)
		}
	}
	hd.Set(requestField, string(tm.Request))
	hd.Set(upstreamField, string(id))
	hd.Set(verdictField, verdict.Ran.String())
}

// Refusal implements proxy.CallerHeaders.
func (bundleCallerFields) Refusal(hd http.Header, tm proxy.Terms, vd verdict.Verdict, retryAfter time.Duration) {
	hd.Set(requestField, string(tm.Request))
	hd.Set(verdictField, vd.String())
	if retryAfter > 0 {
		platform.SetRetryAfter(hd, retryAfter)
	}
}

// answeredRequest returns the id of the request that an upstream's answer is for.
func answeredRequest(hd http.Header) ident.Request {
	return platform.DecodeReport(http.StatusOK, hd).Request
}

// serveReady answers the platform's readiness probe.
func (gw *Gateway) serveReady(_ context.Context, rq *httpserver.Request) *httpserver.Response {
	status := http.StatusServiceUnavailable
	switch {
	case rq.URI != platform.ReadyPath:
		status = http.StatusNotFound
	case gw.isReady.Load() && !gw.stopping.Load():
		status = http.StatusOK
	}
	return &httpserver.Response{Status: status, Header: http.Header{}}
}
