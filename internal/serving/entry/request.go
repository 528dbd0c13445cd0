package entry

import (
	"crypto/rand"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/verdict"
)

// Headers of the caller's interface.
const (
	// DeadlineHeader states the milliseconds in which the caller wants its answer.
	DeadlineHeader = "Chervilwalk-Deadline-Ms"
	// KeyHeader carries the key where the bundle says so.
	KeyHeader = "Chervilwalk-Key"
	// VerdictHeader tells whether a failed request may have run.
	VerdictHeader = "Chervilwalk-Verdict"
	// RequestHeader names the request in logs and dumps.
	RequestHeader = "Chervilwalk-Request"
)

// ownPrefix begins the names of the router's own headers. A caller's and an
// upstream's headers of such names go no further.
const ownPrefix = "Chervilwalk-"

// parse checks a request against the bundle; nothing is dispatched before it.
func parse(bn *bundle.Bundle, cx *fasthttp.RequestCtx) (*bundle.Service, *inner.Call, *verdict.Error) {
	if !plainMethod(cx.Method()) {
		return nil, nil, verdict.Refuse(http.StatusBadRequest, "the method is malformed: it is a word in capitals", 0)
	}
	segments, er := segmentsOf(cx)
	if er != nil {
		return nil, nil, er
	}
	sv, ok := bn.Service(ident.Service(segments[0]))
	if !ok {
		return nil, nil, verdict.Refuse(http.StatusNotFound, "no service of this name: the path is /{service}/…", 0)
	}
	if len(cx.PostBody()) > sv.MaxBodyBytes {
		return nil, nil, verdict.Refuse(http.StatusRequestEntityTooLarge, "the body is larger than the service takes", 0)
	}
	timeout, er := timeoutOf(sv, cx)
	if er != nil {
		return nil, nil, er
	}
	ca := &inner.Call{
		ID:         ident.Request(rand.Text()),
		Service:    sv.Name,
		Method:     string(cx.Method()),
		Path:       string(cx.RequestURI()),
		Header:     headerOf(cx),
		Body:       append([]byte(nil), cx.PostBody()...),
		Idempotent: sv.Idempotent(string(cx.Method())),
		Deadline:   time.Now().Add(timeout),
	}
	if sv.Keyed {
		ca.Key = keyOf(sv, cx, segments)
		if ca.Key == "" {
			return nil, nil, verdict.Refuse(http.StatusBadRequest, "the request has no key: the service takes it from the "+string(sv.Key), 0)
		}
		ca.Slice = ident.SliceOf(ca.Key, sv.Slices)
	}
	return sv, ca, nil
}

// plainMethod tells whether a method is a word in capitals.
func plainMethod(method []byte) bool {
	for _, letter := range method {
		if letter < 'A' || letter > 'Z' {
			return false
		}
	}
	return len(method) > 0
}

// segmentsOf splits the path as it was sent, since it is passed on unchanged.
// Dot segments are refused: the upstream would read another path than the
// router did.
func segmentsOf(cx *fasthttp.RequestCtx) ([]string, *verdict.Error) {
	malformed := verdict.Refuse(http.StatusBadRequest, "the path is malformed: it begins with / and has no dot segments", 0)
	target, err := url.ParseRequestURI(string(cx.RequestURI()))
	if err != nil || target.Host != "" || !strings.HasPrefix(target.Path, "/") {
		return nil, malformed
	}
	segments := strings.Split(target.EscapedPath()[1:], "/")
	for ix, segment := range segments {
		plain, err := url.PathUnescape(segment)
		if err != nil || plain == "." || plain == ".." {
			return nil, malformed
		}
		segments[ix] = plain
	}
	return segments, nil
}

func timeoutOf(sv *bundle.Service, cx *fasthttp.RequestCtx) (time.Duration, *verdict.Error) {
	text := string(cx.Request.Header.Peek(DeadlineHeader))
	if text == "" {
		return sv.DefaultTimeout, nil
	}
	millis, err := strconv.ParseUint(text, 10, 31)
	if err != nil || millis == 0 {
		return 0, verdict.Refuse(http.StatusBadRequest, DeadlineHeader+" must be a whole number of milliseconds above 0", 0)
	}
	return min(time.Duration(millis)*time.Millisecond, sv.MaxTimeout), nil
}

func keyOf(sv *bundle.Service, cx *fasthttp.RequestCtx, segments []string) ident.Key {
	switch {
	case sv.Key == bundle.KeyInQuery:
		return ident.Key(cx.QueryArgs().Peek("key"))
	case sv.Key == bundle.KeyInHeader:
		return ident.Key(cx.Request.Header.Peek(KeyHeader))
	case len(segments) > 1:
		return ident.Key(segments[1])
	default:
		return ""
	}
}

// hopByHop are the headers that end at this hop.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// endsHere tells whether a header goes no further; named are the headers that
// the message's Connection header names.
func endsHere(name string, named map[string]bool) bool {
	return hopByHop[name] || named[name] || strings.HasPrefix(name, ownPrefix)
}

// namedIn lists the headers that a Connection header's values name.
func namedIn(values ...string) map[string]bool {
	named := map[string]bool{}
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

func headerOf(cx *fasthttp.RequestCtx) http.Header {
	named := namedIn(string(cx.Request.Header.Peek("Connection")))
	hd := http.Header{}
	for key, value := range cx.Request.Header.All() {
		name := textproto.CanonicalMIMEHeaderKey(string(key))
		if !endsHere(name, named) {
			hd.Add(name, string(value))
		}
	}
	return hd
}
