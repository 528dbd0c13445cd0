// Package transport sends requests to upstreams over pooled connections. Each
// failure states whether a byte of the request may have arrived.
//
//	an, err := pl.Send(ctx, transport.Target{ID: id, Address: address}, rq)
//	var fl *transport.Failure
//	if errors.As(err, &fl) && !fl.Sent { /* not run */ }
package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/serving/socket"
)

const (
	// dialTimeout bounds the time to open a connection. A host without power never
	// answers, and a lost SYN is sent again only after a second.
	dialTimeout = 350 * time.Millisecond
	// defaultIdleTimeout is how long a connection stays reusable if the upstream
	// states no time. idleTimeoutMargin is subtracted from a time that it states.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 1500 * time.Millisecond
	// nonRepeatableIdleTimeout bounds the idle time of connections for requests that
	// may not be repeated: an upstream can drop an idle connection without notice.
	nonRepeatableIdleTimeout = time.Second
	// maxIdleConns bounds the idle connections to one upstream.
	maxIdleConns = 2
	// maxRefused bounds the refused requests that a connection remembers.
	maxRefused = 32
)

// Target is the upstream that a request is sent to.
type Target struct {
	ID ident.Upstream
	// Address is its IP and port.
	Address string
}

// Failure is the error of a request without a complete answer.
type Failure struct {
	// Sent reports whether a byte of the request may have arrived.
	Sent bool
	// TimedOut reports whether the deadline passed.
	TimedOut bool
	// Reused reports whether the connection had been used before.
	Reused bool
	// Closed reports whether the upstream's side ended the connection.
	Closed bool
	err    error
}

// Error returns the text of the cause.
func (fl *Failure) Error() string { return fl.err.Error() }

// Unwrap returns the cause.
func (fl *Failure) Unwrap() error { return fl.err }

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	// source limits what reader takes from the connection, head records the heads of answers.
	source *socket.LimitedReader
	head   *headRecorder
	reader *bufio.Reader
	// reuseUntil is when the connection stops being reusable.
	reuseUntil time.Time
	idleSince  time.Time
	// used reports whether the connection has carried a request.
	used bool
	// refused holds the last requests that got an error on this connection. When one of them is
	// sent again, its earlier answer, written once more, could not be told from the next one.
	refused []ident.Request
}

// remember adds a request to the refused ones.
func (cn *conn) remember(id ident.Request) {
	cn.refused = append(cn.refused, id)
	cn.refused = cn.refused[max(len(cn.refused)-maxRefused, 0):]
}

// Pool keeps idle connections to upstreams. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	idle      map[ident.Upstream][]*conn
	closed    bool
	requestID func(http.Header) ident.Request
}

// New makes a pool. requestID returns the id of the request that an answer with
// this header belongs to, or an empty one if the header does not state it.
func New(requestID func(http.Header) ident.Request) *Pool {
	return &Pool{idle: map[ident.Upstream][]*conn{}, requestID: requestID}
}

// Close closes the idle connections. Those in use are closed after their request.
func (pl *Pool) Close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	for id, list := range pl.idle {
		for _, cn := range list {
			_ = cn.Close()
		}
		delete(pl.idle, id)
	}
}

// Retain closes the idle connections to upstreams that are not listed and those
// that are too old to be reused.
func (pl *Pool) Retain(listed func(ident.Upstream) bool) {
	now := time.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for id, list := range pl.idle {
		kept := list[:0]
		for _, cn := range list {
			if listed(id) && now.Before(cn.reuseUntil) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		pl.idle[id] = kept
		if len(kept) == 0 {
			delete(pl.idle, id)
		}
	}
}

// take returns an idle connection that the request may use, or nil.
func (pl *Pool) take(tg Target, rq *Request) *conn {
	now := time.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for ix := len(pl.idle[tg.ID]) - 1; ix >= 0; ix-- {
		cn := pl.idle[tg.ID][ix]
		if slices.Contains(cn.refused, rq.ID) {
			continue
		}
		pl.idle[tg.ID] = slices.Delete(pl.idle[tg.ID], ix, ix+1)
		fresh := rq.Repeatable || now.Sub(cn.idleSince) < nonRepeatableIdleTimeout
		if cn.RemoteAddr().String() == tg.Address && now.Before(cn.reuseUntil) && fresh && socket.StateOf(cn.Conn) == socket.Idle {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// put adds a connection to the idle ones, or closes it if there are enough.
func (pl *Pool) put(tg Target, cn *conn) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.closed || len(pl.idle[tg.ID]) >= maxIdleConns {
		_ = cn.Close()
		return
	}
	pl.idle[tg.ID] = append(pl.idle[tg.ID], cn)
}

// Send sends a request and reads its answer. Every error is a *Failure. Send also
// fails if ctx ends before the answer is complete.
func (pl *Pool) Send(ctx context.Context, tg Target, rq *Request) (*Answer, error) {
	cn := pl.take(tg, rq)
	if cn == nil {
		var err error
		if cn, err = dial(ctx, tg, rq.Deadline); err != nil {
			return nil, &Failure{err: err}
		}
	}
	_ = cn.SetDeadline(rq.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	began := time.Now()
	an, reusable, err := pl.exchange(cn, rq)
	if !stop() {
		// The caller left. If the answer is complete, it is used.
		reusable = false
	}
	reused := cn.used
	if err != nil {
		_ = cn.Close()
		var ne net.Error
		timedOut := errors.As(err, &ne) && ne.Timeout() && ctx.Err() == nil
		return nil, &Failure{Sent: true, TimedOut: timedOut, Reused: reused, Closed: IsClosed(err), err: err}
	}
	an.Took, an.Reused = time.Since(began), reused
	if an.Status >= http.StatusBadRequest {
		cn.remember(rq.ID)
	}
	if an.Rest == nil {
		pl.keepOrClose(tg, cn, an, reusable)
	} else if ctx.Err() == nil {
		_ = cn.SetDeadline(rq.RestDeadline)
	}
	return an, nil
}

// IsClosed reports whether an error means that the other side ended the connection.
func IsClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// keepOrClose returns a reusable connection to the pool and closes any other.
func (pl *Pool) keepOrClose(tg Target, cn *conn, an *Answer, reusable bool) {
	if !reusable || cn.reader.Buffered() > 0 {
		_ = cn.Close()
		return
	}
	now := time.Now()
	cn.used, cn.idleSince = true, now
	cn.reuseUntil = now.Add(idleTimeout(an.Header))
	_ = cn.SetDeadline(time.Time{})
	pl.put(tg, cn)
}

// idleTimeout returns how long a connection may be reused after an answer with this
// header.
func idleTimeout(hd http.Header) time.Duration {
	for part := range strings.SplitSeq(hd.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if secs, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(secs)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

func dial(ctx context.Context, tg Target, deadline time.Time) (*conn, error) {
	limit := time.Now().Add(dialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	dl := net.Dialer{Deadline: limit, KeepAlive: -1}
	raw, err := dl.DialContext(ctx, "tcp", tg.Address)
	if err != nil {
		return nil, err
	}
	if tc, ok := raw.(*net.TCPConn); ok {
		// Close then drops undelivered bytes, so that an abandoned request does not
		// arrive later.
		if err := tc.SetLinger(0); err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	source := &socket.LimitedReader{Conn: raw, Remaining: socket.Unlimited}
	head := &headRecorder{source: source}
	return &conn{Conn: raw, source: source, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}, nil
}

// exchange writes the request and reads its answer. It also reports whether the
// connection can be reused.
func (pl *Pool) exchange(cn *conn, rq *Request) (an *Answer, reusable bool, err error) {
	if len(rq.Body) <= readBufferBytes && rq.Rest == nil {
		if err := rq.write(cn); err != nil {
			return nil, false, err
		}
		return pl.readAnswer(cn, rq)
	}
	// The upstream may answer before it has read the whole of a long body.
	written := make(chan error, 1)
	go func() {
		err := rq.write(cn)
		if rq.Rest != nil && rq.Rest.Err() != nil {
			// The caller's body broke off, so no answer is due any more.
			_ = cn.SetReadDeadline(time.Unix(1, 0))
		}
		written <- err
	}()
	an, reusable, err = pl.readAnswer(cn, rq)
	// The upstream may read the rest of the body later, so only a connection whose
	// request was sent whole is reused.
	_ = cn.SetWriteDeadline(time.Unix(1, 0))
	if rq.Rest != nil {
		rq.Rest.Stop()
	}
	werr := <-written
	switch {
	case err != nil:
		return nil, false, err
	case an.endsWithConn && isConnLost(werr):
		return nil, false, fmt.Errorf("the connection was lost, and with it the end of an answer without a length: %w", werr)
	default:
		return an, reusable && werr == nil, nil
	}
}

// isConnLost reports whether an error of a write means that the connection was lost, such as by a
// reset. A socket reports that once, to the first call that comes, and a read after it returns an
// ordinary end. EPIPE is no such error: the upstream had ended its side in order before.
func isConnLost(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "write" && !oe.Timeout() && !errors.Is(err, syscall.EPIPE)
}
