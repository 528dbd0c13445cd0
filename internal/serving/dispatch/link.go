package dispatch

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"chervilwalk/internal/fleet/socket"
	"chervilwalk/internal/serving/verdict"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// maxInterim bounds the interim answers (status 1xx) before the answer.
	maxInterim = 5
)

// errInterim says that the upstream sent only interim answers.
var errInterim = errors.New("too many interim answers")

// link is one connection with its reader. It counts what was written of the
// current request.
type link struct {
	conn    net.Conn
	reader  *bufio.Reader
	reused  bool
	written int
}

// take returns an idle connection that is still open, or dials.
func (ln *Lane) take(ctx context.Context) (*link, error) {
	for lk := ln.pop(); lk != nil; lk = ln.pop() {
		if lk.open() {
			lk.reused = true
			lk.written = 0
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
// bytes that no request asked for.
func (lk *link) open() bool {
	return lk.reader.Buffered() == 0 && socket.StateOf(lk.conn) == socket.Quiet
}

// abort breaks the connection, so that whoever waits for it goes on.
func (lk *link) abort() {
	_ = lk.conn.Close()
}

// Write counts the bytes that the connection took.
func (lk *link) Write(data []byte) (int, error) {
	count, err := lk.conn.Write(data)
	lk.written += count
	return count, err
}

// exchange writes the request and reads the head of its final answer.
func (lk *link) exchange(rq *http.Request) (*http.Response, error) {
	wr := bufio.NewWriter(lk)
	if err := rq.Write(wr); err != nil {
		return nil, err
	}
	if err := wr.Flush(); err != nil {
		return nil, err
	}
	for range maxInterim {
		answer, err := http.ReadResponse(lk.reader, rq)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK || answer.StatusCode == http.StatusSwitchingProtocols {
			return answer, nil
		}
	}
	return nil, errInterim
}

// verdict tells what is known of a request after its exchange broke off.
func (lk *link) verdict(ctx context.Context) *verdict.Error {
	late := ctx.Err() != nil
	switch {
	case lk.written == 0 && late:
		return tooLate()
	case lk.written == 0:
		return verdict.Refuse(http.StatusBadGateway, "the upstream closed the connection before the request", 0)
	case late:
		return verdict.Doubt(http.StatusGatewayTimeout, "the deadline passed while the upstream had the request")
	default:
		return verdict.Doubt(http.StatusBadGateway, "the upstream broke off before its answer")
	}
}
