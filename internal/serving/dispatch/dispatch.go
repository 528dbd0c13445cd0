// Package dispatch sends one request to one upstream over connections that it
// owns, and knows after every failure whether the request may have run.
//
//	ln := dispatch.New("127.0.0.1:7101", 2)
//	an, err := ln.Do(ctx, rq)
//	defer an.Body.Close()
package dispatch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/serving/verdict"
)

// dialTimeout bounds the making of a connection.
const dialTimeout = time.Second

// errNoLength says that an answer's end could not be told from a cut.
var errNoLength = errors.New("the upstream's answer has neither length nor chunks")

// Answer is an upstream's answer. Body must be closed; a body that was cut ends
// in an error, never in io.EOF.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; -1 when it comes in chunks.
	Length int64
	Body   io.ReadCloser
}

// Lane is the connections to one upstream. Its methods may be called from many
// goroutines.
type Lane struct {
	address string

	mu     sync.Mutex
	idle   []*link
	closed bool
}

// link is one connection with its reader.
type link struct {
	conn   net.Conn
	reader *bufio.Reader
	reused bool
}

// New makes the lane to an IP and port; it dials when first needed.
func New(address string) *Lane {
	return &Lane{address: address}
}

// Close closes the idle connections; those in use close when they are done.
func (ln *Lane) Close() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.closed = true
	for _, lk := range ln.idle {
		_ = lk.conn.Close()
	}
	ln.idle = nil
}

// Do sends the request once and returns the head of the answer. Errors are
// *verdict.Error. The context's end breaks the connection.
func (ln *Lane) Do(ctx context.Context, rq *http.Request) (*Answer, error) {
	lk, err := ln.take(ctx)
	if err != nil {
		return nil, verdict.Refuse(http.StatusBadGateway, "the upstream refused the connection", 0)
	}
	stop := context.AfterFunc(ctx, func() { _ = lk.conn.Close() })
	answer, err := lk.exchange(rq)
	if err != nil {
		stop()
		_ = lk.conn.Close()
		return nil, verdict.Doubt(http.StatusBadGateway, "the upstream broke off before its answer")
	}
	if refusal := answer.Header.Get(control.RefusalHeader); refusal != "" {
		stop()
		_ = lk.conn.Close()
		return nil, verdict.Refuse(http.StatusServiceUnavailable, "the upstream refused: "+refusal, 0)
	}
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		stop()
		_ = lk.conn.Close()
		return nil, verdict.Doubt(http.StatusBadGateway, errNoLength.Error())
	}
	return &Answer{
		Status: answer.StatusCode,
		Header: answer.Header,
		Length: answer.ContentLength,
		Body:   &body{lane: ln, link: lk, stop: stop, answer: answer},
	}, nil
}

// take returns an idle connection that is still open, or dials.
func (ln *Lane) take(ctx context.Context) (*link, error) {
	for {
		lk := ln.pop()
		if lk == nil {
			break
		}
		if lk.open() {
			lk.reused = true
			return lk, nil
		}
		_ = lk.conn.Close()
	}
	dl := net.Dialer{Timeout: dialTimeout}
	conn, err := dl.DialContext(ctx, "tcp", ln.address)
	if err != nil {
		return nil, err
	}
	return &link{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (ln *Lane) pop() *link {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.idle) == 0 {
		return nil
	}
	last := len(ln.idle) - 1
	lk := ln.idle[last]
	ln.idle = ln.idle[:last]
	return lk
}

func (ln *Lane) put(lk *link) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.closed {
		_ = lk.conn.Close()
		return
	}
	ln.idle = append(ln.idle, lk)
}

// open tells whether the peer has neither closed an idle connection nor sent
// bytes that no request asked for. It looks without waiting: a read deadline
// would cost a timer's grain, about 1 ms, for each request.
func (lk *link) open() bool {
	if lk.reader.Buffered() > 0 {
		return false
	}
	sc, ok := lk.conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = rc.Read(func(fd uintptr) bool {
		_, _, peeked = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, unix.EAGAIN)
}

func (lk *link) exchange(rq *http.Request) (*http.Response, error) {
	wr := bufio.NewWriter(lk.conn)
	if err := rq.Write(wr); err != nil {
		return nil, err
	}
	if err := wr.Flush(); err != nil {
		return nil, err
	}
	return http.ReadResponse(lk.reader, rq)
}

// body reads an answer and gives its connection back at a clean end.
type body struct {
	lane   *Lane
	link   *link
	stop   func() bool
	answer *http.Response
	ended  bool
	closed bool
}

// Read reads on; a cut body gives io.ErrUnexpectedEOF or the connection's error.
func (bd *body) Read(buffer []byte) (int, error) {
	count, err := bd.answer.Body.Read(buffer)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		bd.ended = true
	}
	return count, err
}

// Close keeps the connection if the answer was read to its end.
func (bd *body) Close() error {
	if bd.closed {
		return nil
	}
	bd.closed = true
	kept := bd.stop()
	if bd.ended && kept && !bd.answer.Close {
		bd.lane.put(bd.link)
		return nil
	}
	return bd.link.conn.Close()
}
