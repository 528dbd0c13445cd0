package socket_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/serving/socket"
)

// TestStateOf checks the state while the connection is open, when the peer has
// written, and when either side has closed it.
func TestStateOf(t *testing.T) {
	gm := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	local, err := net.Dial("tcp", ln.Addr().String())
	gm.Expect(err).NotTo(HaveOccurred())
	remote, err := ln.Accept()
	gm.Expect(err).NotTo(HaveOccurred())

	gm.Expect(socket.StateOf(local)).To(Equal(socket.Idle))
	_, err = remote.Write([]byte("x"))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Eventually(func() socket.State { return socket.StateOf(local) }, "5s").Should(Equal(socket.Readable))
	_, err = local.Read(make([]byte, 1))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(remote.Close()).To(Succeed())
	gm.Eventually(func() socket.State { return socket.StateOf(local) }, "5s").Should(Equal(socket.Closed))
	gm.Expect(local.Close()).To(Succeed())
	gm.Expect(socket.StateOf(local)).To(Equal(socket.Closed))
}
