package httpserver

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"chervilwalk/internal/serving/socket"
)

// Body is the part of a request's body that is read while the request is handled. A
// body that breaks off ends with an error, never with io.EOF. Only one goroutine may
// call Read.
type Body struct {
	reader io.Reader
	raw    net.Conn
	// source is below reader, which may replace its errors.
	source *socket.LimitedReader
	// beginRead and endRead enclose each read, see connection.beginBodyRead.
	beginRead func()
	endRead   func(complete bool)
	ended     bool

	mu sync.Mutex
	// started reports whether a byte was read, stopped whether Stop was called.
	started, stopped bool
	err              error
}

// errBodyStopped is the error of a Read after Stop.
var errBodyStopped = errors.New("the rest of the request's body is not needed")

// Read implements io.Reader.
func (bd *Body) Read(buf []byte) (int, error) {
	if bd.complete() {
		// The connection may be read for the next request already.
		return 0, io.EOF
	}
	bd.beginRead()
	count, err := bd.read(buf)
	bd.noteRead(err)
	bd.endRead(bd.complete())
	return count, err
}

// noteRead notes how a read has ended.
func (bd *Body) noteRead(err error) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.ended = errors.Is(err, io.EOF)
	if err != nil && !bd.ended && !bd.stopped {
		bd.err = cmp.Or(bd.source.Err, err)
	}
}

// read reads from the connection.
func (bd *Body) read(buf []byte) (int, error) {
	bd.mu.Lock()
	if bd.stopped {
		bd.mu.Unlock()
		return 0, errBodyStopped
	}
	bd.started = true
	// Within the lock, so that the deadline does not replace that of Stop.
	_ = bd.raw.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	bd.mu.Unlock()
	return bd.reader.Read(buf)
}

// Stop makes the current and all later reads fail. The connection is closed after
// the response if the body was not at its end.
func (bd *Body) Stop() {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.stopped = true
	if !bd.ended {
		_ = bd.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// Consumed reports whether a part of the body was read or Stop was called, so that
// the request cannot be sent again.
func (bd *Body) Consumed() bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.started || bd.stopped
}

// Err returns the error with which the caller's body broke off, or nil.
func (bd *Body) Err() error {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.err
}

// Rejection returns the status with which to reject the request if its body has ended with an
// error, or 0 if it has not or its caller left.
func (bd *Body) Rejection() int {
	err := bd.Err()
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return rejectionStatus(err)
	}
}

// complete reports whether the whole body was read.
func (bd *Body) complete() bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.ended
}
