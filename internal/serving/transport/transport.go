// Package transport sends requests to upstreams over connections that it keeps, and
// knows for each failure whether a byte of the request can have arrived.
//
//	an, err := pl.Send(ctx, transport.Target{ID: id, Address: address}, rq)
//	var fl *transport.Failure
//	if errors.As(err, &fl) && !fl.Sent { /* not run */ }
package transport

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
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/serving/socket"
)

const (
	// dialTime bounds opening a connection. A host without power never
	// answers, and a lost opening packet is repeated only after a second.
	dialTime = 350 * time.Millisecond
	// defaultIdle is how long a connection is reused where the upstream states
	// no time, and closeMargin how long before the stated time it no longer is.
	defaultIdle = 4 * time.Second
	closeMargin = 1500 * time.Millisecond
	// freshIdle bounds the idle time of connections for requests that may not
	// be repeated: an upstream can drop an idle connection without notice.
	freshIdle = time.Second
	// readBufferBytes holds the header of an answer.
	readBufferBytes = 4096
	// BufferBytes is up to which size an answer is read before any of it is
	// passed on, so that a broken one can be asked for again.
	BufferBytes = 1 << 20
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 2
	// strays bounds the answers to other requests that are skipped.
	strays = 3
)

// Target is an upstream to send to.
type Target struct {
	ID      ident.Upstream
	Address string
}

// Request is a request as it goes to an upstream.
type Request struct {
	ID     ident.Request
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Rest follows Body where the body is too large to be kept; it can be sent
	// once only.
	Rest io.Reader
	// Chunked tells that the body's length is not known.
	Chunked bool
	// Length is that of the whole body, where it is known.
	Length int64
	// Repeatable requests may run more than once.
	Repeatable bool
	// Deadline is when to stop waiting.
	Deadline time.Time
}

// Answer is an upstream's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest follows Body in answers larger than BufferBytes; it must be closed.
	Rest io.ReadCloser
	// Length is that of the whole body, or -1.
	Length int64
	// Took is the time from sending to the whole answer.
	Took time.Duration
	// Reused tells that the connection had been used before.
	Reused bool
}

// Failure is why there is no whole answer.
type Failure struct {
	// Sent tells whether a byte of the request may have arrived.
	Sent bool
	// TimedOut tells that the deadline passed.
	TimedOut bool
	Reused   bool
	err      error
}

// Error gives the cause.
func (fl *Failure) Error() string { return fl.err.Error() }

// Unwrap gives the cause to errors.Is.
func (fl *Failure) Unwrap() error { return fl.err }

// errForeign says that the connection brought answers to other requests only.
var errForeign = errors.New("the connection brought answers to other requests")

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reuseUntil is when it is too old to be used again.
	reuseUntil time.Time
	idleSince  time.Time
	used       bool
}

// Pool keeps connections to upstreams. Its methods may be called from many
// goroutines.
type Pool struct {
	mu     sync.Mutex
	idle   map[ident.Upstream][]*conn
	closed bool
	echo   func(http.Header) ident.Request
}

// New makes a pool; echo reads from an answer's header which request it is for.
func New(echo func(http.Header) ident.Request) *Pool {
	return &Pool{idle: map[ident.Upstream][]*conn{}, echo: echo}
}

// Close closes the idle connections; those in use close when they are done.
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

// Retain closes the connections to upstreams that are no longer listed and
// those that are too old.
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

// take returns an idle connection that is fit for the request, or nil.
func (pl *Pool) take(tg Target, rq *Request) *conn {
	now := time.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	list := pl.idle[tg.ID]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		pl.idle[tg.ID] = list
		fresh := rq.Repeatable || now.Sub(cn.idleSince) < freshIdle
		if cn.RemoteAddr().String() == tg.Address && now.Before(cn.reuseUntil) && fresh && socket.StateOf(cn.Conn) == socket.Quiet {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

func (pl *Pool) give(tg Target, cn *conn) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.closed || len(pl.idle[tg.ID]) >= maxIdle {
		_ = cn.Close()
		return
	}
	pl.idle[tg.ID] = append(pl.idle[tg.ID], cn)
}

// Send sends a request and reads its answer. An error is a *Failure.
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
		// The caller left; an answer that is complete all the same is used.
		reusable = false
	}
	reused := cn.used
	if err != nil {
		_ = cn.Close()
		var ne net.Error
		timedOut := errors.As(err, &ne) && ne.Timeout() && ctx.Err() == nil
		return nil, &Failure{Sent: true, TimedOut: timedOut, Reused: reused, err: err}
	}
	an.Took, an.Reused = time.Since(began), reused
	if an.Rest == nil {
		pl.after(tg, cn, an, reusable)
	}
	return an, nil
}

// after keeps the connection if it can be used again.
func (pl *Pool) after(tg Target, cn *conn, an *Answer, reusable bool) {
	if !reusable || cn.reader.Buffered() > 0 {
		_ = cn.Close()
		return
	}
	now := time.Now()
	cn.used, cn.idleSince = true, now
	cn.reuseUntil = now.Add(idleTime(an.Header))
	_ = cn.SetDeadline(time.Time{})
	pl.give(tg, cn)
}

// idleTime is how long a connection may be reused after an answer.
func idleTime(hd http.Header) time.Duration {
	for part := range strings.SplitSeq(hd.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if secs, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(secs)*time.Second-closeMargin, 0)
		}
	}
	return defaultIdle
}

func dial(ctx context.Context, tg Target, deadline time.Time) (*conn, error) {
	limit := time.Now().Add(dialTime)
	if deadline.Before(limit) {
		limit = deadline
	}
	dl := net.Dialer{Deadline: limit, KeepAlive: -1}
	raw, err := dl.DialContext(ctx, "tcp", tg.Address)
	if err != nil {
		return nil, err
	}
	if tc, ok := raw.(*net.TCPConn); ok {
		// Closing drops what was not delivered yet, so that no request given up
		// arrives later.
		if err := tc.SetLinger(0); err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

// exchange writes the request and reads its answer.
func (pl *Pool) exchange(cn *conn, rq *Request) (an *Answer, reusable bool, err error) {
	written := make(chan error, 1)
	if len(rq.Body) > readBufferBytes || rq.Rest != nil {
		// The upstream may answer before it has read all of a long body.
		go func() { written <- rq.write(cn) }()
	} else {
		if err := rq.write(cn); err != nil {
			return nil, false, err
		}
		written <- nil
	}
	an, reusable, err = pl.read(cn, rq)
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		reusable = false
		_ = cn.SetWriteDeadline(time.Unix(1, 0))
	}
	return an, reusable, nil
}

// write sends the whole request.
func (rq *Request) write(to io.Writer) error {
	var head bytes.Buffer
	head.Grow(1024 + len(rq.Body))
	head.WriteString(rq.Method + " " + rq.URI + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	switch {
	case rq.Chunked && rq.Rest != nil:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case rq.Rest != nil:
		head.WriteString("Content-Length: " + strconv.FormatInt(rq.Length, 10) + "\r\n")
	case len(rq.Body) > 0 || rq.Method == http.MethodPost || rq.Method == http.MethodPut || rq.Method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	if err := rq.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if rq.Rest == nil {
		head.Write(rq.Body)
		_, err := to.Write(head.Bytes())
		return err
	}
	if _, err := to.Write(head.Bytes()); err != nil {
		return err
	}
	return rq.writeRest(to)
}

// writeRest sends a body that is too large to be kept.
func (rq *Request) writeRest(to io.Writer) error {
	body := io.MultiReader(bytes.NewReader(rq.Body), rq.Rest)
	if !rq.Chunked {
		_, err := io.Copy(to, body)
		return err
	}
	buf := make([]byte, 16<<10)
	for {
		count, err := body.Read(buf)
		if count > 0 {
			chunk := append([]byte(strconv.FormatInt(int64(count), 16)+"\r\n"), buf[:count]...)
			if _, err := to.Write(append(chunk, '\r', '\n')); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := io.WriteString(to, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// read reads answers until the one for the request.
func (pl *Pool) read(cn *conn, rq *Request) (*Answer, bool, error) {
	for range strays {
		rs, err := readHead(cn, rq)
		if err != nil {
			return nil, false, err
		}
		if id := pl.echo(rs.Header); id != "" && id != rq.ID {
			if _, err := io.CopyN(io.Discard, rs.Body, BufferBytes+1); !errors.Is(err, io.EOF) {
				return nil, false, errForeign
			}
			continue
		}
		return readBody(cn, rs)
	}
	return nil, false, errForeign
}

// readHead reads the head of the next final answer.
func readHead(cn *conn, rq *Request) (*http.Response, error) {
	for {
		rs, err := http.ReadResponse(cn.reader, &http.Request{Method: rq.Method})
		if err != nil {
			return nil, err
		}
		if rs.StatusCode >= http.StatusOK {
			return rs, nil
		}
	}
}

// rest is the remainder of a large answer, with its connection.
type rest struct {
	io.Reader
	cn *conn
}

// Close closes the connection too: a large answer's is not used again.
func (rs rest) Close() error { return rs.cn.Close() }

func readBody(cn *conn, rs *http.Response) (*Answer, bool, error) {
	an := &Answer{Status: rs.StatusCode, Header: rs.Header, Length: rs.ContentLength}
	var body bytes.Buffer
	if rs.ContentLength > 0 {
		body.Grow(int(min(rs.ContentLength, BufferBytes)) + bytes.MinRead)
	}
	count, err := body.ReadFrom(io.LimitReader(rs.Body, BufferBytes+1))
	if err != nil {
		return nil, false, err
	}
	an.Body = body.Bytes()
	if count > BufferBytes {
		an.Rest = rest{Reader: rs.Body, cn: cn}
		return an, false, nil
	}
	if rs.ContentLength >= 0 && count != rs.ContentLength && rs.Request.Method != http.MethodHead {
		return nil, false, io.ErrUnexpectedEOF
	}
	an.Length = count
	framed := rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0
	return an, framed && !rs.Close, nil
}
