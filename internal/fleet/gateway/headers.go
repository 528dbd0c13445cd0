package gateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/internal/serving/verdict"
	"chervilwalk/platform"
)

// platformCallerHeaders reads and writes the platform's header fields for callers.
type platformCallerHeaders struct{}

// DecodeRequest implements proxy.CallerHeaders.
func (platformCallerHeaders) DecodeRequest(rq *httpserver.Request, _ desired.Service) (proxy.RequestInfo, error) {
	ri, err := platform.DecodeRequestInfo(rq.Header)
	return proxy.RequestInfo(ri), err
}

// RewriteAnswer implements proxy.CallerHeaders.
func (platformCallerHeaders) RewriteAnswer(hd http.Header, _ proxy.RequestInfo, _ ident.Upstream) {
	removeInternalFields(hd)
}

// SetRefusal implements proxy.CallerHeaders.
func (platformCallerHeaders) SetRefusal(hd http.Header, ri proxy.RequestInfo, _ verdict.Verdict, retryAfter time.Duration) {
	platform.SetRequestID(hd, ri.Request)
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

// platformUpstreamHeaders reads and writes the platform's header fields for
// upstreams.
type platformUpstreamHeaders struct{ unknown *unknownFields }

// maxUnknownFields limits how many names of unknown fields are logged.
const maxUnknownFields = 32

// unknownFields logs once for each field that upstreams say something of themselves that this
// build does not read. It is safe for concurrent use.
type unknownFields struct {
	log    *eventlog.Log
	mu     sync.Mutex
	logged map[string]bool
}

func (uf *unknownFields) note(hd http.Header) {
	fields := platform.UnknownFields(hd)
	if len(fields) == 0 {
		return
	}
	uf.mu.Lock()
	defer uf.mu.Unlock()
	for _, field := range fields {
		if uf.logged[field] || len(uf.logged) == maxUnknownFields {
			continue
		}
		if uf.logged == nil {
			uf.logged = map[string]bool{}
		}
		uf.logged[field] = true
		uf.log.Event("answerFieldUnknown", eventlog.Fields{"field": field})
	}
}

// SetRequest implements proxy.UpstreamHeaders.
func (platformUpstreamHeaders) SetRequest(hd http.Header, ri proxy.RequestInfo, id ident.Upstream, left time.Duration) {
	platform.SetUpstreamHeaders(hd, platform.RequestInfo(ri), id, left)
}

// DecodeReport implements proxy.UpstreamHeaders.
func (ph platformUpstreamHeaders) DecodeReport(status int, hd http.Header) proxy.Report {
	ph.unknown.note(hd)
	rp := platform.DecodeReport(status, hd)
	report := proxy.Report{HasSignature: rp.HasSignature, NotRun: rp.NotRun, Leaving: rp.Leaving, Pause: rp.Pause, Limit: rp.Limit, LimitErr: rp.LimitErr}
	if rp.Load != nil {
		report.Reported, report.Running, report.Waiting, report.LatencyPercent = true, rp.Load.Running, rp.Load.Waiting, rp.Load.LatencyPercent
	}
	return report
}

// Header fields of chervilwalk's own interface, which callers use where the
// desired state comes from bundles.
const (
	// fieldPrefix starts all of them. Fields with this prefix from a caller are not
	// forwarded.
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

// bundleCallerHeaders reads and writes the header fields of chervilwalk's own
// interface.
type bundleCallerHeaders struct{}

// DecodeRequest implements proxy.CallerHeaders.
func (bundleCallerHeaders) DecodeRequest(rq *httpserver.Request, sv desired.Service) (proxy.RequestInfo, error) {
	ri := proxy.RequestInfo{Request: ident.Request(rand.Text())}
	if text := rq.Header.Get(deadlineField); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return ri, eris.Errorf("%s is %q, want a whole number of milliseconds above 0", deadlineField, text)
		}
		ri.TimeLimit = time.Duration(ms) * time.Millisecond
	}
	key, err := requestKey(rq, sv.Key)
	if err != nil {
		return ri, err
	}
	ri.Key, ri.Keyed = keyspace.Key(xxhash.Sum64String(key)%uint64(keyspace.Count)), sv.Keyed && key != ""
	for name := range rq.Header {
		if strings.HasPrefix(name, fieldPrefix) {
			delete(rq.Header, name)
		}
	}
	return ri, nil
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

// RewriteAnswer implements proxy.CallerHeaders.
func (bundleCallerHeaders) RewriteAnswer(hd http.Header, ri proxy.RequestInfo, id ident.Upstream) {
	removeInternalFields(hd)
	for name := range hd {
		if strings.HasPrefix(name, fieldPrefix) {
			delete(hd, name)
		}
	}
	hd.Set(requestField, string(ri.Request))
	hd.Set(upstreamField, string(id))
	hd.Set(verdictField, verdict.Ran.String())
}

// SetRefusal implements proxy.CallerHeaders.
func (bundleCallerHeaders) SetRefusal(hd http.Header, ri proxy.RequestInfo, vd verdict.Verdict, retryAfter time.Duration) {
	hd.Set(requestField, string(ri.Request))
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
