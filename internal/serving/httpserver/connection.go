package httpserver

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chervilwalk/internal/serving/socket"
)

// pendingRequest is a request whose response is written after those of the requests
// before it.
type pendingRequest struct {
	request  *Request
	response chan *Response
	// close asks to close the connection after the response.
	close bool
	// isHead reports whether the method is HEAD, http11 whether the caller speaks
	// HTTP/1.1 or later.
	isHead bool
	http11 bool
	// begun reports whether a part of the response was written.
	begun bool
	// settled is closed once the response can no longer break off. turn is that of the request for
	// whose response this one waits, or nil.
	settled chan struct{}
	turn    <-chan struct{}
	// handled reports whether the handler was called.
	handled atomic.Bool
}

// connection is a connection from a caller. One goroutine reads requests, another
// writes their responses.
type connection struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	source *socket.LimitedReader
	ctx    context.Context
	cancel context.CancelFunc
	// requests is the context of the connection's requests. It ends with ctx, or before.
	requests    context.Context
	endRequests context.CancelCauseFunc
	pipeline    chan *pendingRequest
	// unsettled holds the responses that may still break off. It belongs to the goroutine that
	// reads requests.
	unsettled []unsettledResponse
	// inFlight counts the requests that were read and not yet answered.
	inFlight atomic.Int32

	mu sync.Mutex
	// end is the first reason for which the connection ends with requests unanswered, endErr its
	// error.
	end    EndCause
	endErr error
	// idleSince is when the last request in flight was answered, or the connection opened.
	idleSince time.Time
	// closing reports whether no further request is accepted, told whether a response or a reset
	// says so.
	closing, told bool
	// reading reports whether a part of a request that is not in flight yet was read.
	reading bool
	// lingering reports whether what the caller sends is only read to be discarded.
	lingering bool
	// watching reports whether the goroutine that reads requests waits for the end of the caller's
	// side meanwhile, see watchUntil. It does not while bodyReading is set, nor once unwatched is.
	watching, bodyReading, unwatched bool
	// changed wakes goroutines that wait for a change of inFlight or closing, or for what is
	// changed with change.
	changed *sync.Cond
}

func newConnection(sv *Server, raw net.Conn) *connection {
	cn := &connection{server: sv, raw: raw, idleSince: time.Now(), source: &socket.LimitedReader{Conn: raw, Remaining: socket.Unlimited}, pipeline: make(chan *pendingRequest, maxPipelined)}
	cn.reader = bufio.NewReaderSize(cn.source, readBufferBytes)
	cn.ctx, cn.cancel = context.WithCancel(context.Background())
	cn.requests, cn.endRequests = context.WithCancelCause(cn.ctx)
	cn.changed = sync.NewCond(&cn.mu)
	return cn
}

// serve serves the connection until it ends, and closes it.
func (cn *connection) serve() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		cn.writeResponses()
	}()
	cn.readRequests()
	close(cn.pipeline)
	<-written
	cn.cancel()
	_ = cn.raw.Close()
}

// stopTaking takes no further request and closes the connection if it has none in flight.
func (cn *connection) stopTaking() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.closing = true
	cn.wake()
	// A lingering connection has a deadline of its own. A request that is arriving is refused.
	if cn.inFlight.Load() == 0 && !cn.lingering && !cn.reading {
		_ = cn.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// readRequests reads requests until the connection ends.
func (cn *connection) readRequests() {
	for {
		pr, status := cn.readRequest()
		if pr == nil && status == stoppedReading {
			cn.linger()
			return
		}
		if pr == nil && status == 0 {
			// readRequest has noted why.
			cn.cancel()
			return
		}
		if pr == nil {
			cn.reject(status)
			cn.linger()
			return
		}
		if !cn.admit(pr) {
			cn.linger()
			return
		}
		cn.follow(pr)
		cn.watchUntil(func() bool { return int(cn.inFlight.Load()) <= cap(cn.pipeline)+1 })
		cn.pipeline <- pr
		handled := false
		go func() {
			rs := cn.respond(pr)
			if pr.request.Rest != nil && !pr.request.Rest.complete() {
				// No further request can be found behind a body that was not read.
				pr.close = true
			}
			pr.response <- rs
			cn.change(func() { handled = true })
		}()
		if pr.request.Rest != nil {
			// The next request follows the rest of this body.
			cn.watchUntil(func() bool { return handled || pr.request.Rest.complete() })
			if !pr.request.Rest.complete() {
				cn.linger()
				return
			}
		}
	}
}

// respond returns the response to a request once it may be handled.
func (cn *connection) respond(pr *pendingRequest) *Response {
	if !cn.awaitSettled(pr) {
		return nil
	}
	pr.handled.Store(true)
	rs := cn.server.handle(cn.requests, pr.request)
	if rs != nil && rs.Rest == nil {
		close(pr.settled)
	}
	return rs
}

// admit counts a request as in flight, or returns false if the connection is
// closing and a response before it says so. Requests that may not be repeated (all but GET and HEAD) first wait
// until those before them are answered, so that none of them follows a response
// that closes the connection.
func (cn *connection) admit(pr *pendingRequest) bool {
	safe := pr.request.Method == http.MethodGet || pr.request.Method == http.MethodHead
	if !safe {
		cn.watchUntil(func() bool { return cn.inFlight.Load() == 0 || cn.closing })
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closing && (cn.told || cn.inFlight.Load() > 0) {
		return false
	}
	pr.request.Late = cn.closing
	cn.inFlight.Add(1)
	cn.reading = false
	return true
}

// stoppedReading stands for a status where a connection that is closing stopped to wait for a
// request. Those in flight are still answered.
const stoppedReading = -1

// readRequest reads a request and its body up to BufferBytes. Without a request, it
// returns the status with which to reject it, 0 if the connection ended, or stoppedReading.
func (cn *connection) readRequest() (*pendingRequest, int) {
	if cn.reader.Buffered() == 0 {
		if err := cn.awaitRequest(); err != nil {
			if isTimeout(err) && cn.isClosing() {
				return nil, stoppedReading
			}
			cn.noteReadEnd(err)
			return nil, 0
		}
	}
	lm := cn.server.limits()
	cn.mu.Lock()
	cn.reading = true
	_ = cn.raw.SetReadDeadline(time.Now().Add(lm.HeaderTimeout))
	cn.mu.Unlock()
	cn.source.Remaining = int64(max(lm.HeaderBytes-cn.reader.Buffered(), 0))
	hr, err := http.ReadRequest(cn.reader)
	if err != nil {
		status := rejectionStatus(cmp.Or(cn.source.Err, err))
		if status == 0 {
			cn.noteReadEnd(cmp.Or(cn.source.Err, err))
		}
		return nil, status
	}
	cn.source.Remaining = socket.Unlimited
	if headerBytes(hr) > lm.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	if hr.ContentLength > int64(lm.BodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if len(hr.TransferEncoding) > 0 && hr.Header.Get("Content-Length") != "" || !strings.HasPrefix(hr.RequestURI, "/") {
		return nil, http.StatusBadRequest
	}
	pr := &pendingRequest{
		response: make(chan *Response, 1), settled: make(chan struct{}), close: hr.Close || !hr.ProtoAtLeast(1, 1), isHead: hr.Method == http.MethodHead, http11: hr.ProtoAtLeast(1, 1),
		request: &Request{
			Method: hr.Method, URI: hr.RequestURI, Host: hr.Host, Header: hr.Header, Length: hr.ContentLength,
			Chunked: len(hr.TransferEncoding) > 0, Arrived: time.Now(),
		},
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") && hr.ContentLength != 0 && cn.inFlight.Load() == 0 {
		if _, err := cn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			cn.noteReadEnd(err)
			return nil, 0
		}
	}
	if status := cn.readBody(pr, hr, lm); status != 0 {
		return nil, status
	}
	return pr, 0
}

// awaitRequest waits for the first byte of the next request. The connection times out only while
// it has no request in flight.
func (cn *connection) awaitRequest() error {
	cn.source.Remaining = socket.Unlimited
	for {
		_ = cn.raw.SetReadDeadline(cn.idleUntil())
		if cn.isClosing() {
			_ = cn.raw.SetReadDeadline(time.Unix(1, 0))
		}
		_, err := cn.reader.Peek(1)
		if err == nil || !isTimeout(err) || cn.isClosing() || !time.Now().Before(cn.idleUntil()) {
			return err
		}
	}
}

// idleUntil returns when the connection closes if it gets no further request. The limits and the
// requests in flight may change meanwhile.
func (cn *connection) idleUntil() time.Time {
	timeout := cn.server.limits().IdleTimeout
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.inFlight.Load() > 0 {
		return time.Now().Add(max(timeout, minIdleCheck))
	}
	return cn.idleSince.Add(timeout)
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// headerBytes returns about the size of a request's URI and header. A part of them
// may have been in the buffer already when the source got its limit.
func headerBytes(hr *http.Request) int {
	size := len(hr.RequestURI)
	for name, values := range hr.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func (cn *connection) isClosing() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.closing
}

// rejectionStatus returns the status with which to reject a request that cannot be
// read, or 0 if its caller left.
func rejectionStatus(err error) int {
	var ne net.Error
	switch {
	case errors.Is(err, socket.ErrTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne), errors.Is(err, net.ErrClosed):
		return 0
	default:
		return http.StatusBadRequest
	}
}

// readBody reads up to BufferBytes of a body and leaves the remainder in Rest. It
// returns the status for a body that is malformed, incomplete or too large, or 0.
func (cn *connection) readBody(pr *pendingRequest, hr *http.Request, lm Limits) int {
	if hr.ContentLength == 0 {
		return 0
	}
	_ = cn.raw.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	var buffered bytes.Buffer
	if hr.ContentLength > 0 {
		buffered.Grow(int(min(hr.ContentLength, BufferBytes)) + bytes.MinRead)
	}
	body := io.Reader(hr.Body)
	if pr.request.Chunked {
		body = http.MaxBytesReader(nil, hr.Body, int64(lm.BodyBytes))
	}
	count, err := buffered.ReadFrom(io.LimitReader(body, BufferBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			return http.StatusRequestEntityTooLarge
		case isTimeout(err):
			return http.StatusRequestTimeout
		default:
			return http.StatusBadRequest
		}
	}
	pr.request.Body = buffered.Bytes()
	if count == BufferBytes && hr.ContentLength != BufferBytes {
		pr.request.Rest = &Body{reader: body, raw: cn.raw, source: cn.source, beginRead: cn.beginBodyRead, endRead: cn.endBodyRead}
	} else {
		pr.request.Length = count
	}
	return 0
}

// reject queues the response to a request that cannot be read.
func (cn *connection) reject(status int) {
	cn.mu.Lock()
	if cn.closing && (cn.told || cn.inFlight.Load() > 0) {
		cn.mu.Unlock()
		return
	}
	cn.inFlight.Add(1)
	cn.mu.Unlock()
	pr := &pendingRequest{response: make(chan *Response, 1), close: true, http11: true}
	pr.response <- &Response{Status: status, Header: http.Header{}}
	cn.pipeline <- pr
}

// linger waits for the responses in flight, closes the write side, and reads what
// the caller still sends, so that a reset does not destroy the last response.
func (cn *connection) linger() {
	cn.source.Remaining = socket.Unlimited
	cn.mu.Lock()
	cn.lingering = true
	waits := cn.inFlight.Load() > 0
	if waits {
		_ = cn.raw.SetReadDeadline(time.Time{})
	}
	cn.mu.Unlock()
	if waits {
		cn.discardUntilAnswered()
	}
	if tc, ok := cn.raw.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = cn.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, cn.reader)
}

// discardUntilAnswered reads on until no request is in flight. Those in flight are cancelled if
// their caller leaves.
func (cn *connection) discardUntilAnswered() {
	// The writer ends the read after the last response.
	if _, err := io.Copy(io.Discard, cn.reader); !isTimeout(err) {
		cn.noteReadEnd(cmp.Or(err, io.EOF))
		cn.cancel()
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for cn.inFlight.Load() > 0 {
		cn.changed.Wait()
	}
}
