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

// platformCallers speak the platform's header fields.
type platformCallers struct{}

// Terms implements proxy.Callers.
func (platformCallers) Terms(rq *httpserver.Request, _ desired.Service) (proxy.Terms, error) {
	tm, err := platform.DecodeTerms(rq.Header)
	return proxy.Terms(tm), err
}

// Answer implements proxy.Callers.
func (platformCallers) Answer(hd http.Header, _ proxy.Terms, _ ident.Upstream) { removeInner(hd) }

// Refusal implements proxy.Callers.
func (platformCallers) Refusal(hd http.Header, tm proxy.Terms, _ verdict.Verdict, retryAfter time.Duration) {
	platform.SetRequestID(hd, tm.Request)
	if retryAfter > 0 {
		platform.SetRetryAfter(hd, retryAfter)
	}
}

// removeInner removes what is not for callers.
func removeInner(hd http.Header) {
	for name := range hd {
		if platform.IsInternalHeader(name) {
			delete(hd, name)
		}
	}
}

// platformUpstreams speak the platform's header fields.
type platformUpstreams struct{}

// Address implements proxy.Upstreams.
func (platformUpstreams) Address(hd http.Header, tm proxy.Terms, id ident.Upstream, left time.Duration) {
	platform.SetUpstreamHeaders(hd, platform.Terms(tm), id, left)
}

// Report implements proxy.Upstreams.
func (platformUpstreams) Report(status int, hd http.Header) proxy.Report {
	rp := platform.DecodeReport(status, hd)
	report := proxy.Report{Sealed: rp.Sealed, NotRun: rp.NotRun}
	if rp.Load != nil {
		report.Reported, report.Running, report.Waiting, report.Pace = true, rp.Load.Running, rp.Load.Waiting, rp.Load.Pace
	}
	return report
}

// Header fields of chervilwalk's own interface, which callers use where the
// desired state comes from bundles.
const (
	// ownPrefix begins all of them; a caller's go no further than here.
	ownPrefix = "Chervilwalk-"
	// deadlineField states the milliseconds in which the caller wants its answer.
	deadlineField = ownPrefix + "Deadline-Ms"
	// keyField carries the key where the service takes it from there.
	keyField = ownPrefix + "Key"
	// verdictField tells whether a failed request may have run.
	verdictField = ownPrefix + "Verdict"
	// requestField names the request in logs.
	requestField = ownPrefix + "Request"
	// upstreamField names who answered.
	upstreamField = ownPrefix + "Upstream"
	// keyParameter is the query parameter that carries the key.
	keyParameter = "key"
)

// bundleCallers speak the header fields of chervilwalk's own interface.
type bundleCallers struct{}

// Terms implements proxy.Callers.
func (bundleCallers) Terms(rq *httpserver.Request, sv desired.Service) (proxy.Terms, error) {
	tm := proxy.Terms{Request: ident.Request(rand.Text())}
	if text := rq.Header.Get(deadlineField); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return tm, eris.Errorf("%s is %q, want whole milliseconds above 0", deadlineField, text)
		}
		tm.TimeLimit = time.Duration(ms) * time.Millisecond
	}
	key, err := keyOfRequest(rq, sv.Key)
	if err != nil {
		return tm, err
	}
	tm.Key, tm.Keyed = keyspace.Key(xxhash.Sum64String(key)%uint64(keyspace.Count)), sv.Keyed && key != ""
	for name := range rq.Header {
		if strings.HasPrefix(name, ownPrefix) {
			delete(rq.Header, name)
		}
	}
	return tm, nil
}

// keyOfRequest reads a request's key. A path with dot segments is refused: an
// upstream would read another path than the router did.
func keyOfRequest(rq *httpserver.Request, from desired.KeySource) (string, error) {
	target, err := url.ParseRequestURI(rq.URI)
	if err != nil || target.Host != "" {
		return "", eris.Errorf("the path %q is malformed", rq.URI)
	}
	segments := strings.Split(strings.TrimPrefix(target.EscapedPath(), "/"), "/")
	for ix, segment := range segments {
		plain, err := url.PathUnescape(segment)
		if err != nil || plain == "." || plain == ".." {
			return "", eris.Errorf("the path %q has a dot segment", rq.URI)
		}
		segments[ix] = plain
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

// Answer implements proxy.Callers.
func (bundleCallers) Answer(hd http.Header, tm proxy.Terms, id ident.Upstream) {
	removeInner(hd)
	for name := range hd {
		if strings.HasPrefix(name, ownPrefix) {
			delete(hd, name)
		}
	}
	hd.Set(requestField, string(tm.Request))
	hd.Set(upstreamField, string(id))
	hd.Set(verdictField, verdict.Ran.String())
}

// Refusal implements proxy.Callers.
func (bundleCallers) Refusal(hd http.Header, tm proxy.Terms, vd verdict.Verdict, retryAfter time.Duration) {
	hd.Set(requestField, string(tm.Request))
	hd.Set(verdictField, vd.String())
	if retryAfter > 0 {
		platform.SetRetryAfter(hd, retryAfter)
	}
}

func echo(hd http.Header) ident.Request {
	return platform.DecodeReport(http.StatusOK, hd).Request
}

// answerReady tells the platform whether callers may be sent here.
func (gw *Gateway) answerReady(_ context.Context, rq *httpserver.Request) *httpserver.Response {
	status := http.StatusServiceUnavailable
	switch {
	case rq.URI != platform.ReadyPath:
		status = http.StatusNotFound
	case gw.isReady.Load() && !gw.stopping.Load():
		status = http.StatusOK
	}
	return &httpserver.Response{Status: status, Header: http.Header{}}
}
