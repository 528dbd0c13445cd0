package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"chervilwalk/internal/fleet/socket"
)

// goneEvery is the time between two looks whether a waiting caller has gone.
// Requests that are answered sooner cost no look.
const goneEvery = 100 * time.Millisecond

// watcher gives up a request whose caller has closed its connection. The HTTP
// library does not read while a request is handled, so the watcher looks.
type watcher struct {
	conn   net.Conn
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watch looks at the connection until stop.
func watch(conn net.Conn, cancel context.CancelFunc) *watcher {
	wa := &watcher{conn: conn, cancel: cancel}
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.timer = time.AfterFunc(goneEvery, wa.look)
	return wa
}

func (wa *watcher) look() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wa.ended {
		return
	}
	if socket.StateOf(wa.conn) == socket.Closed {
		wa.cancel()
		return
	}
	wa.timer.Reset(goneEvery)
}

// stop ends the looking; the connection is not touched afterwards.
func (wa *watcher) stop() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.ended = true
	wa.timer.Stop()
}
