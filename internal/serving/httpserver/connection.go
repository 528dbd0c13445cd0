package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// turn is one request's place in the order of answers.
type turn struct {
	request *Request
	answer  chan *Response
	// close asks to close the connection after the answer.
	close bool
	head  bool
	http1 bool
}

// connection is one caller's connection. One goroutine reads requests, another
// writes their answers.
type connection struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	source *limitedReader
	ctx    context.Context
	cancel context.CancelFunc
	turns  chan *turn
	// open counts the requests that were read and not answered.
	open atomic.Int32

	mu sync.Mutex
	// closing connections take no further request.
	closing bool
	// empty is signalled when no request is open.
	empty *sync.Cond
}

// limitedReader bounds the bytes of one request's head.
type limitedReader struct {
	raw  net.Conn
	left int
}

var errHeaderTooLarge = errors.New("header too large")

func (lr *limitedReader) Read(buf []byte) (int, error) {
	if lr.left <= 0 {
		return 0, errHeaderTooLarge
	}
	count, err := lr.raw.Read(buf[:min(len(buf), lr.left)])
	lr.left -= count
	return count, err
}

const unlimited = 1 << 62

func newConnection(sv *Server, raw net.Conn) *connection {
	cn := &connection{server: sv, raw: raw, source: &limitedReader{raw: raw, left: unlimited}, turns: make(chan *turn, ahead)}
	cn.reader = bufio.NewReaderSize(cn.source, readBufferBytes)
	cn.ctx, cn.cancel = context.WithCancel(context.Background())
	cn.empty = sync.NewCond(&cn.mu)
	return cn
}

func (cn *connection) serve() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		cn.write()
	}()
	cn.read()
	close(cn.turns)
	<-written
	cn.cancel()
	_ = cn.raw.Close()
}

// closeIfIdle closes the connection if nothing was read that is not answered.
func (cn *connection) closeIfIdle() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.open.Load() == 0 {
		cn.closing = true
		_ = cn.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// read reads requests until the connection ends.
func (cn *connection) read() {
	for {
		tn, status := cn.next()
		if tn == nil && status == 0 {
			// The caller left, or was idle for too long.
			cn.cancel()
			return
		}
		if tn == nil {
			cn.reject(status)
			cn.linger()
			return
		}
		if !cn.admit(tn) {
			cn.linger()
			return
		}
		cn.turns <- tn
		handled := make(chan struct{})
		go func() {
			defer close(handled)
			tn.answer <- cn.server.handler(cn.ctx, tn.request)
		}()
		if tn.request.Rest != nil {
			// The rest of the body stands before the next request.
			<-handled
			if _, err := io.Copy(io.Discard, tn.request.Rest); err != nil {
				cn.cancel()
				return
			}
		}
	}
}

// admit takes a request unless the connection closes. Requests that may not be
// repeated wait until those before them are answered, so that none of them
// stands behind an answer that closes the connection.
func (cn *connection) admit(tn *turn) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	safe := tn.request.Method == http.MethodGet || tn.request.Method == http.MethodHead
	for !safe && cn.open.Load() > 0 && !cn.closing {
		cn.empty.Wait()
	}
	if cn.closing {
		return false
	}
	cn.open.Add(1)
	return true
}

// next reads one request; a status says with what to reject it.
func (cn *connection) next() (*turn, int) {
	lm := cn.server.limits()
	if cn.reader.Buffered() == 0 {
		cn.source.left = unlimited
		_ = cn.raw.SetReadDeadline(time.Now().Add(lm.IdleTimeout))
		if cn.isClosing() {
			_ = cn.raw.SetReadDeadline(time.Unix(1, 0))
		}
		if _, err := cn.reader.Peek(1); err != nil {
			return nil, 0
		}
	}
	_ = cn.raw.SetReadDeadline(time.Now().Add(lm.HeaderTimeout))
	cn.source.left = max(lm.HeaderBytes-cn.reader.Buffered(), 0)
	hr, err := http.ReadRequest(cn.reader)
	cn.source.left = unlimited
	if err != nil {
		return nil, statusOf(err)
	}
	if headBytes(hr) > lm.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	if hr.ContentLength > int64(lm.BodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if len(hr.TransferEncoding) > 0 && hr.Header.Get("Content-Length") != "" || !strings.HasPrefix(hr.RequestURI, "/") {
		return nil, http.StatusBadRequest
	}
	tn := &turn{
		answer: make(chan *Response, 1), close: hr.Close || !hr.ProtoAtLeast(1, 1), head: hr.Method == http.MethodHead, http1: hr.ProtoAtLeast(1, 1),
		request: &Request{
			Method: hr.Method, URI: hr.RequestURI, Host: hr.Host, Header: hr.Header, Length: hr.ContentLength,
			Chunked: len(hr.TransferEncoding) > 0, Arrived: time.Now(),
		},
	}
	return tn, cn.body(tn, hr, lm)
}

// headBytes is about the size of a request's head, of which a part may have
// been in the buffer before it was bounded.
func headBytes(hr *http.Request) int {
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

// statusOf tells apart a caller that left and a request that cannot be read.
func statusOf(err error) int {
	var ne net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne), errors.Is(err, net.ErrClosed):
		return 0
	default:
		return http.StatusBadRequest
	}
}

// body reads a body that is small enough to be kept.
func (cn *connection) body(tn *turn, hr *http.Request, lm Limits) int {
	if hr.ContentLength == 0 {
		return 0
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") && cn.open.Load() == 0 {
		if _, err := io.WriteString(cn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0
		}
	}
	_ = cn.raw.SetReadDeadline(time.Now().Add(bodyTime))
	var kept bytes.Buffer
	if hr.ContentLength > 0 {
		kept.Grow(int(min(hr.ContentLength, KeepBytes)) + bytes.MinRead)
	}
	body := io.Reader(hr.Body)
	if tn.request.Chunked {
		body = http.MaxBytesReader(nil, hr.Body, int64(lm.BodyBytes))
	}
	count, err := kept.ReadFrom(io.LimitReader(body, KeepBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return http.StatusRequestEntityTooLarge
		}
		return http.StatusBadRequest
	}
	tn.request.Body = kept.Bytes()
	if count == KeepBytes && hr.ContentLength != KeepBytes {
		tn.request.Rest = pausing{body, cn.raw}
	} else {
		tn.request.Length = count
	}
	return 0
}

// pausing bounds the pauses within a long body.
type pausing struct {
	io.Reader
	raw net.Conn
}

func (ps pausing) Read(buf []byte) (int, error) {
	_ = ps.raw.SetReadDeadline(time.Now().Add(bodyTime))
	return ps.Reader.Read(buf)
}

// reject queues the answer to a request that cannot be read.
func (cn *connection) reject(status int) {
	cn.mu.Lock()
	if cn.closing {
		cn.mu.Unlock()
		return
	}
	cn.open.Add(1)
	cn.mu.Unlock()
	tn := &turn{answer: make(chan *Response, 1), close: true, http1: true}
	tn.answer <- &Response{Status: status, Header: http.Header{}}
	cn.turns <- tn
}

// linger reads what still comes, so that the last answer is not reset.
func (cn *connection) linger() {
	cn.mu.Lock()
	for cn.open.Load() > 0 {
		cn.empty.Wait()
	}
	cn.mu.Unlock()
	if tc, ok := cn.raw.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
	_ = cn.raw.SetReadDeadline(time.Now().Add(lingerTime))
	cn.source.left = unlimited
	_, _ = io.Copy(io.Discard, cn.reader)
}

// write writes the answers in order.
func (cn *connection) write() {
	broken := false
	for tn := range cn.turns {
		rs := <-tn.answer
		if !broken {
			broken = !cn.answer(tn, rs)
		}
		if broken {
			cn.fail()
		}
		if rs != nil && rs.Rest != nil {
			_ = rs.Rest.Close()
		}
		cn.mu.Lock()
		cn.open.Add(-1)
		cn.empty.Broadcast()
		cn.mu.Unlock()
	}
}

// fail ends a connection whose next answer cannot be given.
func (cn *connection) fail() {
	cn.cancel()
	cn.mu.Lock()
	cn.closing = true
	cn.empty.Broadcast()
	cn.mu.Unlock()
	if tc, ok := cn.raw.(*net.TCPConn); ok {
		// A reset shows the caller that nothing more will come.
		_ = tc.SetLinger(0)
	}
	_ = cn.raw.Close()
}

// answer writes one answer; false means that the connection is of no more use.
func (cn *connection) answer(tn *turn, rs *Response) bool {
	if rs == nil {
		return false
	}
	last := cn.last(tn, rs)
	var out bytes.Buffer
	out.Grow(512 + len(rs.Body))
	out.WriteString("HTTP/1.1 " + strconv.Itoa(rs.Status) + " " + http.StatusText(rs.Status) + "\r\n")
	chunked := rs.Rest != nil && rs.Length < 0 && tn.http1
	switch {
	case chunked:
		out.WriteString("Transfer-Encoding: chunked\r\n")
	case rs.Rest != nil && rs.Length >= 0:
		out.WriteString("Content-Length: " + strconv.FormatInt(rs.Length, 10) + "\r\n")
	case rs.Rest == nil && rs.Status != http.StatusNoContent && rs.Status != http.StatusNotModified && !tn.head:
		out.WriteString("Content-Length: " + strconv.Itoa(len(rs.Body)) + "\r\n")
	}
	if last {
		out.WriteString("Connection: close\r\n")
	}
	if err := rs.Header.Write(&out); err != nil {
		return false
	}
	out.WriteString("\r\n")
	_ = cn.raw.SetWriteDeadline(time.Now().Add(writeTime))
	if !tn.head && !chunked {
		out.Write(rs.Body)
	}
	if _, err := cn.raw.Write(out.Bytes()); err != nil {
		return false
	}
	if rs.Rest != nil && !tn.head {
		if err := cn.stream(rs, chunked); err != nil {
			return false
		}
	}
	return true
}

// last tells whether the connection closes after this answer. Requests that
// were read behind it are still answered first.
func (cn *connection) last(tn *turn, rs *Response) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	unframed := rs.Rest != nil && rs.Length < 0 && !tn.http1
	if unframed || cn.open.Load() == 1 && (tn.close || cn.closing || cn.server.draining.Load()) {
		cn.closing = true
		cn.empty.Broadcast()
		if !unframed {
			// The reader may be waiting for the next request.
			_ = cn.raw.SetReadDeadline(time.Now().Add(lingerTime))
		}
	}
	return cn.closing && cn.open.Load() == 1
}

// stream writes the parts of a large answer as they come.
func (cn *connection) stream(rs *Response, chunked bool) error {
	body := io.MultiReader(bytes.NewReader(rs.Body), rs.Rest)
	if !chunked {
		body = rs.Rest
	}
	buf := make([]byte, 32<<10)
	for {
		count, err := body.Read(buf)
		if count > 0 {
			_ = cn.raw.SetWriteDeadline(time.Now().Add(writeTime))
			part := buf[:count]
			if chunked {
				part = append(append([]byte(strconv.FormatInt(int64(count), 16)+"\r\n"), part...), '\r', '\n')
			}
			if _, err := cn.raw.Write(part); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if chunked {
				_, err := io.WriteString(cn.raw, "0\r\n\r\n")
				return err
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}
