// Package entry takes callers' requests over HTTP, checks them, and answers
// each with its own whole answer or with a refusal that carries a verdict.
//
//	en := entry.New(router)
//	err := en.Serve(listener)
package entry

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/dispatch"
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

const (
	// maxHeaderBytes bounds a request's line and headers together.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds any service's body; the bundle may say less.
	maxBodyBytes = 8 << 20
)

// Router finds the answer to a checked request.
type Router interface {
	// Bundle returns the bundle in force; nil before the first.
	Bundle() *bundle.Bundle
	// Route runs a call where its pool is held. Errors carry a verdict.
	Route(ctx context.Context, sv *bundle.Service, ca *inner.Call) (*dispatch.Answer, error)
	// Health tells the balancer whether to send callers here, and why not.
	Health() (healthy bool, state string)
}

// Entry is the caller's side of a node.
type Entry struct {
	router Router
	server *fasthttp.Server
}

// New makes an entry; Serve starts it.
func New(rt Router) *Entry {
	en := &Entry{router: rt}
	en.server = &fasthttp.Server{
		Handler:               en.handle,
		ErrorHandler:          refuseUnread,
		Name:                  "chervilwalk",
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		IdleTimeout:           time.Minute,
	}
	return en
}

// Serve answers callers on the listener until Close.
func (en *Entry) Serve(ls net.Listener) error {
	return en.server.Serve(ls)
}

// Close stops accepting and waits until every request in flight is answered.
func (en *Entry) Close(ctx context.Context) error {
	return en.server.ShutdownWithContext(ctx)
}

// refuseUnread answers a request that could not be read whole.
func refuseUnread(cx *fasthttp.RequestCtx, err error) {
	status, reason := http.StatusBadRequest, "the request could not be read"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case eris.As(err, &small):
		status, reason = http.StatusRequestHeaderFieldsTooLarge, "the headers are larger than 16 KiB"
	case eris.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = http.StatusRequestEntityTooLarge, "the body is larger than the router takes"
	}
	cx.SetConnectionClose()
	refuse(cx, verdict.Refuse(status, reason, 0))
}

func (en *Entry) handle(cx *fasthttp.RequestCtx) {
	if string(cx.Path()) == "/healthz" {
		en.health(cx)
		return
	}
	bn := en.router.Bundle()
	if bn == nil {
		refuse(cx, verdict.Refuse(http.StatusServiceUnavailable, "this node has no bundle yet", time.Second))
		return
	}
	sv, ca, er := parse(bn, cx)
	if er != nil {
		refuse(cx, er)
		return
	}
	cx.Response.Header.Set(RequestHeader, string(ca.ID))
	ctx, cancel := context.WithDeadline(context.Background(), ca.Deadline)
	answer, err := en.router.Route(ctx, sv, ca)
	if err != nil {
		cancel()
		refuse(cx, verdict.From(err))
		return
	}
	relay(cx, answer, cancel)
}

func (en *Entry) health(cx *fasthttp.RequestCtx) {
	healthy, state := en.router.Health()
	if !healthy {
		cx.SetStatusCode(http.StatusServiceUnavailable)
	}
	cx.SetBodyString(state + "\n")
}

// parse checks a request against the bundle; nothing is dispatched before it.
func parse(bn *bundle.Bundle, cx *fasthttp.RequestCtx) (*bundle.Service, *inner.Call, *verdict.Error) {
	path := strings.TrimPrefix(string(cx.Path()), "/")
	name, rest, _ := strings.Cut(path, "/")
	sv, ok := bn.Service(ident.Service(name))
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
		ca.Key = keyOf(sv, cx, rest)
		if ca.Key == "" {
			return nil, nil, verdict.Refuse(http.StatusBadRequest, "the request has no key: the service takes it from the "+string(sv.Key), 0)
		}
		ca.Slice = ident.SliceOf(ca.Key, sv.Slices)
	}
	return sv, ca, nil
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

func keyOf(sv *bundle.Service, cx *fasthttp.RequestCtx, rest string) ident.Key {
	switch sv.Key {
	case bundle.KeyInQuery:
		return ident.Key(cx.QueryArgs().Peek("key"))
	case bundle.KeyInHeader:
		return ident.Key(cx.Request.Header.Peek(KeyHeader))
	default:
		segment, _, _ := strings.Cut(rest, "/")
		return ident.Key(segment)
	}
}

// hopByHop are the headers that end at this hop.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Host": true, "Expect": true,
}

func headerOf(cx *fasthttp.RequestCtx) http.Header {
	hd := http.Header{}
	for name, value := range cx.Request.Header.All() {
		if !hopByHop[string(name)] && !strings.HasPrefix(string(name), "Chervilwalk-") {
			hd.Add(string(name), string(value))
		}
	}
	return hd
}

// refuse answers with a status, a verdict and one line of text.
func refuse(cx *fasthttp.RequestCtx, er *verdict.Error) {
	cx.SetStatusCode(er.Status)
	cx.Response.Header.Set(VerdictHeader, er.Verdict.String())
	if er.RetryAfter > 0 {
		seconds := (er.RetryAfter + time.Second - 1) / time.Second
		cx.Response.Header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	cx.SetContentType("text/plain; charset=utf-8")
	cx.SetBodyString(er.Reason + "\n")
}

// relay streams an answer; a cut body breaks the caller's connection.
func relay(cx *fasthttp.RequestCtx, an *dispatch.Answer, cancel context.CancelFunc) {
	cx.SetStatusCode(an.Status)
	for name, values := range an.Header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			cx.Response.Header.Add(name, value)
		}
	}
	cx.Response.Header.Set(VerdictHeader, verdict.Ran.String())
	cx.SetBodyStream(&stream{answer: an, cancel: cancel}, int(an.Length))
}

// stream closes the answer and its context after the last byte.
type stream struct {
	answer *dispatch.Answer
	cancel context.CancelFunc
}

// Read reads the answer's body.
func (st *stream) Read(buffer []byte) (int, error) {
	return st.answer.Body.Read(buffer)
}

// Close frees the upstream's slot.
func (st *stream) Close() error {
	err := st.answer.Body.Close()
	st.cancel()
	return err
}
