// Package httpserver serves callers' HTTP/1 connections. It supports pipelining:
// the requests of a connection are handled concurrently and their responses are
// written in the order of the requests. A handler's context ends when its caller
// leaves.
//
//	sv := httpserver.New(handler, limits)
//	go sv.Serve(listener)
//	sv.Drain()
package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chervilwalk/internal/base/ident"
)

const (
	// maxPipelined bounds the requests that are read on a connection before the
	// first of them is answered.
	maxPipelined = 16
	// BufferBytes is the size up to which a request's body is read before the
	// request is handled.
	BufferBytes = 128 << 10
	// readBufferBytes is the size of the read buffer of each connection.
	readBufferBytes = 4096
	// bodyReadTimeout bounds the time to read the buffered part of a body and each
	// read after that.
	bodyReadTimeout = 10 * time.Second
	// writeTimeout bounds each write of a response, as a caller may read slowly.
	writeTimeout = 30 * time.Second
	// minIdleCheck is the least time after which a connection with requests in flight looks again
	// whether it is idle.
	minIdleCheck = time.Second
	// lingerTimeout is how long the server still reads from a connection that it
	// closes, so that its last response is not lost to a reset.
	lingerTimeout = time.Second
)

// ErrEnding is the cause of the end of a request's context when the server is about to close.
var ErrEnding = errors.New("the server is about to close")

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time to read the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request while none is in flight.
	IdleTimeout time.Duration
}

// Request is a request from a caller.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Rest follows Body if the body is larger than BufferBytes.
	Rest *Body
	// Chunked reports whether the body is sent in chunks.
	Chunked bool
	// Length is the length of the whole body in bytes, or -1 if it is unknown.
	Length int64
	// Arrived is the time at which the head of the request had been read.
	Arrived time.Time
	// Late reports whether the request arrived while its connection stopped taking any. It
	// might not be finished before the server closes.
	Late bool
	// ID names the request in reports. The handler may set it until it returns.
	ID ident.Request
}

// Response is a response to a caller. A nil Response closes the connection.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest follows Body. The server closes it after writing the response, and already
	// during a read if the caller leaves.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes, or -1 if it is unknown. It
	// only matters with Rest.
	Length int64
}

// Handler returns the response to a request. It must be safe for concurrent use. The context ends
// when the caller leaves, and with Server.EndRequests.
type Handler func(ctx context.Context, rq *Request) *Response

// Server serves callers' connections. It is safe for concurrent use.
type Server struct {
	handler Handler
	limits  func() Limits
	onPanic func(value any)
	// onUnanswered may be nil.
	onUnanswered func(Unanswered)
	// mayBreakOff may be nil.
	mayBreakOff func(host, uri string) bool
	draining    atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*connection]struct{}
	group    sync.WaitGroup
}

// Option configures a Server.
type Option func(*Server)

// OnPanic makes the server survive a handler that panics: it calls report with the
// value and closes the caller's connection. Without it the process ends.
func OnPanic(report func(value any)) Option {
	return func(sv *Server) { sv.onPanic = report }
}

// New makes a server. It calls limits for each request.
func New(handler Handler, limits func() Limits, opts ...Option) *Server {
	sv := &Server{handler: handler, limits: limits, conns: map[*connection]struct{}{}}
	for _, opt := range opts {
		opt(sv)
	}
	return sv
}

// handle calls the handler.
func (sv *Server) handle(ctx context.Context, rq *Request) (rs *Response) {
	if sv.onPanic != nil {
		defer func() {
			if value := recover(); value != nil {
				sv.onPanic(value)
				rs = nil
			}
		}()
	}
	return sv.handler(ctx, rq)
}

// Serve accepts and serves connections until the listener is closed.
func (sv *Server) Serve(ln net.Listener) error {
	sv.mu.Lock()
	sv.listener = ln
	sv.mu.Unlock()
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Probably out of file descriptors, which other connections will free.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		cn := newConnection(sv, raw)
		sv.mu.Lock()
		sv.conns[cn] = struct{}{}
		sv.mu.Unlock()
		sv.group.Add(1)
		go func() {
			defer sv.group.Done()
			cn.serve()
			sv.mu.Lock()
			delete(sv.conns, cn)
			sv.mu.Unlock()
		}()
	}
}

// Drain makes each connection take no further request once its next response is written. It
// closes after the responses to those that it has taken.
func (sv *Server) Drain() { sv.draining.Store(true) }

// Idle reports whether no request is in flight.
func (sv *Server) Idle() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cn := range sv.conns {
		if cn.inFlight.Load() > 0 {
			return false
		}
	}
	return true
}

// Connections returns the number of open connections.
func (sv *Server) Connections() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.conns)
}

// StopAccepting closes the listener. Open connections stay.
func (sv *Server) StopAccepting() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.listener != nil {
		_ = sv.listener.Close()
	}
}

// StopTaking makes each connection take no further request. Those without one in flight close at
// once, or after the response to one of which a part has arrived, the others after the responses
// to what they have taken.
func (sv *Server) StopTaking() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cn := range sv.conns {
		cn.stopTaking()
	}
}

// EndRequests ends the contexts of all requests, those under way and those that follow, with the
// cause ErrEnding. Their responses are still written.
func (sv *Server) EndRequests() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cn := range sv.conns {
		cn.endRequests(ErrEnding)
	}
}

// IsEnding reports whether a request's context has ended since the server is about to close, and
// not since the caller left: the caller still reads its response.
func IsEnding(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrEnding) }

// Close closes the listener and all connections, and waits for their goroutines.
func (sv *Server) Close() {
	sv.StopAccepting()
	sv.mu.Lock()
	for cn := range sv.conns {
		_ = cn.raw.Close()
	}
	sv.mu.Unlock()
	sv.group.Wait()
}
