// Package socket reports the state of a connection without reading from it.
//
//	if socket.StateOf(conn) == socket.Closed { /* the peer closed it */ }
package socket

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// ErrNoSocket means that a connection has no socket whose state could be asked for.
var ErrNoSocket = errors.New("the connection is no socket")

// State is the current state of a connection.
type State int

const (
	// Unknown means that the state could not be determined.
	Unknown State = iota
	// Idle means that the connection is open and has no bytes to read.
	Idle
	// Readable means that bytes from the peer are waiting to be read.
	Readable
	// Closed means that the peer closed its side or the connection is lost.
	Closed
)

// StateOf returns the state of a connection. It makes one system call and does not
// block.
func StateOf(conn net.Conn) State {
	rc, err := rawConn(conn)
	if errors.Is(err, ErrNoSocket) {
		return Unknown
	}
	if err != nil {
		return Closed
	}
	state := Unknown
	err = rc.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

// peek looks at the first byte in the receive buffer and leaves it there.
func peek(fd int) State {
	var first [1]byte
	count, _, err := unix.Recvfrom(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return Idle
	case errors.Is(err, unix.EINTR):
		return Unknown
	case err != nil || count == 0:
		return Closed
	default:
		return Readable
	}
}
