package socket_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/serving/socket"
)

// TestAwaitHangUp guards against an end that is noticed late, or not, behind bytes that nobody reads, and
// against bytes that are taken for an end.
func TestAwaitHangUp(t *testing.T) {
	cases := map[string]struct {
		// unread is what the peer sends before.
		unread string
		end    func(remote *net.TCPConn, local net.Conn) error
		want   error
	}{
		"a close":             {end: func(remote *net.TCPConn, _ net.Conn) error { return remote.Close() }, want: io.EOF},
		"behind unread bytes": {unread: "unread", end: func(remote *net.TCPConn, _ net.Conn) error { return remote.Close() }, want: io.EOF},
		"a half close":        {unread: "unread", end: func(remote *net.TCPConn, _ net.Conn) error { return remote.CloseWrite() }, want: io.EOF},
		"a reset": {unread: "unread", end: func(remote *net.TCPConn, _ net.Conn) error {
			return errors.Join(remote.SetLinger(0), remote.Close())
		}, want: io.EOF},
		"a deadline":    {unread: "unread", end: func(_ *net.TCPConn, local net.Conn) error { return local.SetReadDeadline(time.Unix(1, 0)) }, want: os.ErrDeadlineExceeded},
		"its own close": {unread: "unread", end: func(_ *net.TCPConn, local net.Conn) error { return local.Close() }, want: net.ErrClosed},
		"the last bytes": {end: func(remote *net.TCPConn, _ net.Conn) error {
			_, err := remote.Write([]byte("last"))
			return errors.Join(err, remote.Close())
		}, want: io.EOF},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			gm.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = ln.Close() }()
			local, err := net.Dial("tcp", ln.Addr().String())
			gm.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = local.Close() }()
			remote, err := ln.Accept()
			gm.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = remote.Close() }()
			ended := make(chan error, 1)
			go func() { ended <- socket.AwaitHangUp(local) }()
			_, err = io.WriteString(remote, tc.unread)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Consistently(ended, "50ms").ShouldNot(Receive())
			gm.Expect(socket.HungUp(local)).To(BeFalse())
			gm.Expect(tc.end(remote.(*net.TCPConn), local)).To(Succeed())
			gm.Eventually(ended, "1s").Should(Receive(MatchError(tc.want)))
			gm.Expect(socket.HungUp(local)).To(Equal(errors.Is(tc.want, io.EOF)))
			if tc.want == io.EOF && name != "a reset" {
				// Nothing was read.
				text, err := io.ReadAll(local)
				gm.Expect(err).NotTo(HaveOccurred())
				gm.Expect(string(text)).To(HavePrefix(tc.unread))
			}
		})
	}
	local, remote := net.Pipe()
	defer func() { _, _ = local.Close(), remote.Close() }()
	NewWithT(t).Expect(socket.AwaitHangUp(local)).To(MatchError(socket.ErrNoSocket))
}
