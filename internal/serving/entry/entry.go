// Package entry takes callers' requests over HTTP, checks them, and answers
// each with its own whole answer or with a refusal that carries a verdict.
//
//	en := entry.New(router)
//	err := en.Serve(listener)
package entry

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

// HealthPath is where the balancer asks whether to send callers here.
const HealthPath = "/healthz"

const (
	// maxHeaderBytes bounds a request's line and headers together.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds any service's body; the bundle may say less.
	maxBodyBytes = 8 << 20
	// readTimeout bounds the reading of one request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds the writing of one answer to a slow caller.
	writeTimeout = 2 * time.Minute
	// answerSlack is how long beyond the deadline an entry waits for the word on
	// what became of a request.
	answerSlack = 200 * time.Millisecond
	// idleTimeout bounds the wait for the next request of a connection.
	idleTimeout = time.Minute
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
	router   Router
	server   *fasthttp.Server
	draining atomic.Bool
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
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return en
}

// Serve answers callers on the listener until Close.
func (en *Entry) Serve(ls net.Listener) error {
	return en.server.Serve(ls)
}

// Drain answers on, but closes each caller's connection after its next answer,
// so that callers find another node without losing a request.
func (en *Entry) Drain() {
	en.draining.Store(true)
}

// Open returns the number of callers' connections.
func (en *Entry) Open() int {
	return int(en.server.GetOpenConnectionsCount())
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

// handle answers one request. A panic below it costs this request alone: its
// caller is told that the request may have run.
func (en *Entry) handle(cx *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			log.WithField("stack", string(debug.Stack())).Errorf("entry: panic: %v", cause)
			cx.Response.Reset()
			refuse(cx, verdict.Doubt(http.StatusInternalServerError, "the request failed inside the router"))
		}
	}()
	if en.draining.Load() {
		cx.SetConnectionClose()
	}
	if string(cx.Path()) == HealthPath {
		en.health(cx)
		return
	}
	en.route(cx)
}

func (en *Entry) route(cx *fasthttp.RequestCtx) {
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
	ctx, cancel := context.WithDeadline(context.Background(), ca.Deadline.Add(answerSlack))
	gone := watch(cx.Conn(), cancel)
	answer, err := en.router.Route(ctx, sv, ca)
	gone.stop()
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
