package faultproxy_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/faultproxy"
)

// TestFaults sends a byte to a server that echoes it, through a proxy with faults.
func TestFaults(t *testing.T) {
	const timeout = 300 * time.Millisecond
	cases := map[string]struct {
		faults  faultproxy.Faults
		answers bool
		took    time.Duration
	}{
		"none":          {faultproxy.Faults{}, true, 0},
		"delayed":       {faultproxy.Faults{Delay: 40 * time.Millisecond}, true, 80 * time.Millisecond},
		"requests lost": {faultproxy.Faults{DropRequests: true}, false, timeout},
		"answers lost":  {faultproxy.Faults{DropAnswers: true}, false, timeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			gm.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = ln.Close() })
			go func() {
				conn, err := ln.Accept()
				if err == nil {
					_, _ = io.Copy(conn, conn)
				}
			}()
			px, err := faultproxy.Start("127.0.0.1:0", ln.Addr().String())
			gm.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(px.Close)
			px.SetFaults(tc.faults)
			conn, err := net.Dial("tcp", px.Address())
			gm.Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			gm.Expect(conn.SetDeadline(began.Add(timeout))).To(Succeed())
			_, err = conn.Write([]byte("a"))
			gm.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(conn, make([]byte, 1))
			gm.Expect(err == nil).To(Equal(tc.answers))
			gm.Expect(time.Since(began)).To(BeNumerically(">=", tc.took))
			px.Reset()
			gm.Expect(conn.SetDeadline(time.Now().Add(timeout))).To(Succeed())
			_, err = conn.Read(make([]byte, 1))
			gm.Expect(err).To(MatchError(ContainSubstring("reset")))
		})
	}
}

// TestStopAccepting guards against connections that a proxy accepts for a process that has ended:
// a host takes their end for a crash under its request.
func TestStopAccepting(t *testing.T) {
	gm := NewWithT(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = target.Close() })
	px, err := faultproxy.Start("127.0.0.1:0", target.Addr().String())
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(px.Close)
	open, err := net.Dial("tcp", px.Address())
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = open.Close() })
	accepted, err := target.Accept()
	gm.Expect(err).NotTo(HaveOccurred())
	px.StopAccepting()
	_, err = net.Dial("tcp", px.Address())
	gm.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	_, err = accepted.Write([]byte("x"))
	gm.Expect(err).NotTo(HaveOccurred())
	_, err = open.Read(make([]byte, 1))
	gm.Expect(err).NotTo(HaveOccurred())
}
