package socket

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// AwaitHangUp waits until the peer has ended its side of a connection, whatever bytes are still to be
// read, and returns io.EOF. It reads nothing. Without an end it returns the error of a passed read deadline or of
// a closed connection. While it waits, reads from the connection block.
//
// An end behind more bytes than the connection's buffers hold cannot be seen.
func AwaitHangUp(conn net.Conn) error {
	rc, err := rawConn(conn)
	if err != nil {
		return err
	}
	// The runtime's poller calls the function again after each event of the socket.
	if err := rc.Read(func(fd uintptr) bool { return hungUp(int(fd)) }); err != nil {
		return err
	}
	return io.EOF
}

// HungUp reports whether the peer has ended its side of a connection. It makes one system call.
func HungUp(conn net.Conn) bool {
	rc, err := rawConn(conn)
	if err != nil {
		return false
	}
	ended := false
	err = rc.Control(func(fd uintptr) { ended = hungUp(int(fd)) })
	return err == nil && ended
}

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, ErrNoSocket
	}
	return sc.SyscallConn()
}

// hungUp asks for the state of a socket.
func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	count, err := unix.Poll(fds, 0)
	return err == nil && count == 1 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
