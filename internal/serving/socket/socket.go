// Package socket tells the state of a connection without reading from it.
//
//	if socket.StateOf(conn) == socket.Closed { /* the peer has gone */ }
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection shows at the moment.
type State int

const (
	// Unknown means that the connection cannot be looked at.
	Unknown State = iota
	// Quiet means that the connection is open and nothing waits to be read.
	Quiet
	// Readable means that bytes of the peer wait to be read.
	Readable
	// Closed means that the peer closed its side or the connection is lost.
	Closed
)

// StateOf looks at a connection with one system call and never waits.
func StateOf(conn net.Conn) State {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	rc, err := sc.SyscallConn()
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

func peek(fd int) State {
	var first [1]byte
	count, _, err := unix.Recvfrom(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return Quiet
	case errors.Is(err, unix.EINTR):
		return Unknown
	case err != nil || count == 0:
		return Closed
	default:
		return Readable
	}
}
