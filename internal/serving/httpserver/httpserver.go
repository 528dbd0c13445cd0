// Package httpserver serves callers' connections: it reads requests, also
// several ahead on one connection, hands them to a handler side by side and
// writes the answers in the order of the requests. A handler's context ends
// when its caller leaves.
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
)

const (
	// ahead bounds the requests that are read on a connection before the first
	// of them is answered.
	ahead = 16
	// KeepBytes is up to which size a request's body is read before it is
	// handled.
	KeepBytes = 128 << 10
	// readBufferBytes is the read buffer of each connection.
	readBufferBytes = 4096
	// bodyTime bounds a pause within a body.
	bodyTime = 10 * time.Second
	// writeTime bounds writing one answer to a caller that reads slowly.
	writeTime = 30 * time.Second
	// lingerTime is how long a closed connection is still read, so that its
	// last answer is not lost to a reset.
	lingerTime = time.Second
)

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a caller's request.
type Request struct {
	Method string
	// URI is the path and query as they were sent.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Rest follows Body where the body is larger than KeepBytes.
	Rest    io.Reader
	Chunked bool
	Length  int64
	// Arrived is when the head had been read.
	Arrived time.Time
}

// Response is the answer to a caller. A nil Response closes the connection.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest follows Body; it is closed when it was written.
	Rest io.ReadCloser
	// Length is that of the whole body, or -1 where it is not known.
	Length int64
}

// Handler answers a request. It may be called from many goroutines.
type Handler func(ctx context.Context, rq *Request) *Response

// Server serves callers' connections.
type Server struct {
	handler  Handler
	limits   func() Limits
	draining atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*connection]struct{}
	group    sync.WaitGroup
}

// New makes a server; limits is asked for each request.
func New(handler Handler, limits func() Limits) *Server {
	return &Server{handler: handler, limits: limits, conns: map[*connection]struct{}{}}
}

// Serve accepts connections until the listener is closed.
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
			// Out of descriptors: those in use will be given back.
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

// Drain makes each connection close after its next answer; connections still
// serve until then.
func (sv *Server) Drain() { sv.draining.Store(true) }

// Idle tells whether no request is being handled.
func (sv *Server) Idle() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cn := range sv.conns {
		if cn.open.Load() > 0 {
			return false
		}
	}
	return true
}

// Connections counts the open connections.
func (sv *Server) Connections() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.conns)
}

// CloseIdle closes the connections on which no request is being handled.
func (sv *Server) CloseIdle() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cn := range sv.conns {
		cn.closeIfIdle()
	}
}

// Close closes the listener and all connections, and waits until they are done.
func (sv *Server) Close() {
	sv.mu.Lock()
	if sv.listener != nil {
		_ = sv.listener.Close()
	}
	for cn := range sv.conns {
		_ = cn.raw.Close()
	}
	sv.mu.Unlock()
	sv.group.Wait()
}
