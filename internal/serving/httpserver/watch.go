package httpserver

import (
	"errors"
	"io"
	"time"

	"chervilwalk/internal/serving/socket"
)

// watchUntil waits for a condition, which the connection's mutex guards. If the caller's side ends before,
// it cancels the requests, without reading what is still to come. Only the goroutine that reads
// requests calls it. The condition may depend on inFlight, closing and fields that are changed with
// change.
func (cn *connection) watchUntil(over func() bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for !over() {
		if cn.bodyReading || cn.unwatched {
			cn.changed.Wait()
			continue
		}
		cn.watching = true
		_ = cn.raw.SetReadDeadline(time.Time{})
		cn.mu.Unlock()
		err := socket.AwaitHangUp(cn.raw)
		cn.mu.Lock()
		cn.watching = false
		cn.changed.Broadcast()
		if isTimeout(err) {
			continue
		}
		cn.unwatched = true
		if errors.Is(err, socket.ErrNoSocket) {
			// The end is noticed when the connection is read again.
			continue
		}
		cn.noteReadEndLocked(err)
		cn.cancel()
	}
}

// change changes what goroutines wait for, and wakes them.
func (cn *connection) change(set func()) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	set()
	cn.wake()
}

// wake makes goroutines look at their conditions again. The mutex must be held.
func (cn *connection) wake() {
	cn.changed.Broadcast()
	if cn.watching {
		_ = cn.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginBodyRead keeps the connection from being watched while its body is read.
func (cn *connection) beginBodyRead() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.bodyReading = true
	cn.wake()
	for cn.watching {
		cn.changed.Wait()
	}
}

// endBodyRead lets the connection be watched again. Behind the end of a body it looks whether the caller
// has left: it cannot be seen before if the rest of the body is larger than the connection's buffers.
func (cn *connection) endBodyRead(complete bool) {
	if complete && socket.HungUp(cn.raw) {
		cn.noteReadEnd(io.EOF)
		cn.cancel()
	}
	cn.change(func() { cn.bodyReading = false })
}
