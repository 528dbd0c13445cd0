package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/serving/httpserver"
)

// TestCallerLeavesBehindRejection guards against upstreams that work for nobody: the caller of
// requests in flight leaves after one behind them that is not read on.
func TestCallerLeavesBehindRejection(t *testing.T) {
	const inFlight = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	short := httpserver.Limits{HeaderBytes: 1024, BodyBytes: 1024, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Minute}
	cases := map[string]string{
		"nothing follows":       "",
		"a head does not end":   "GET /b HTTP/1.1\r\nHo",
		"a head is malformed":   "GET\r\n\r\n",
		"a body is too large":   "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n",
		"a body does not end":   "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
		"the rest is not taken": "GET\r\n\r\n" + inFlight + inFlight,
	}
	for name, behind := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			left := make(chan struct{})
			conn, _ := serveWithin(t, func(ctx context.Context, _ *httpserver.Request) *httpserver.Response {
				select {
				case <-ctx.Done():
					close(left)
				case <-time.After(2 * time.Second):
				}
				return nil
			}, func() httpserver.Limits { return short })
			_, err := io.WriteString(conn, inFlight+behind)
			gm.Expect(err).NotTo(HaveOccurred())
			// Longer than the head timeout.
			time.Sleep(400 * time.Millisecond)
			gm.Expect(left).NotTo(BeClosed())
			gm.Expect(conn.Close()).To(Succeed())
			gm.Eventually(left, "500ms").Should(BeClosed())
		})
	}
}

// TestCallerLeavesBeforeItsTurn guards against upstreams that work for nobody: the caller leaves
// while a request that may not be repeated waits for those before it.
func TestCallerLeavesBeforeItsTurn(t *testing.T) {
	const post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	cases := map[string]string{
		"one that is safe":             "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + post,
		"one that may not be repeated": post + post,
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			left := make(chan struct{})
			var served atomic.Int32
			_, conn, _ := serve(t, func(ctx context.Context, _ *httpserver.Request) *httpserver.Response {
				served.Add(1)
				select {
				case <-ctx.Done():
					close(left)
				case <-time.After(2 * time.Second):
				}
				return nil
			})
			_, err := io.WriteString(conn, sent)
			gm.Expect(err).NotTo(HaveOccurred())
			time.Sleep(200 * time.Millisecond)
			gm.Expect(left).NotTo(BeClosed())
			gm.Expect(conn.Close()).To(Succeed())
			gm.Eventually(left, "500ms").Should(BeClosed())
			gm.Consistently(served.Load, "200ms").Should(BeEquivalentTo(1))
		})
	}
}

// bufferingListener accepts connections that take a whole response to send it later.
type bufferingListener struct{ net.Listener }

func (bl bufferingListener) Accept() (net.Conn, error) {
	conn, err := bl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(400 << 10)
}

// TestStopLeavesTheLastResponse guards against a reset that destroys a response which is still on
// its way: its caller sends another request meanwhile, and the process stops.
func TestStopLeavesTheLastResponse(t *testing.T) {
	gm := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	body := make([]byte, 150<<10)
	taken := make(chan struct{})
	sv := httpserver.New(func(context.Context, *httpserver.Request) *httpserver.Response {
		close(taken)
		return &httpserver.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}
	}, limits)
	go func() { _ = sv.Serve(bufferingListener{ln}) }()
	t.Cleanup(sv.Close)
	conn, err := net.Dial("tcp", ln.Addr().String())
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	gm.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	// A slow link.
	gm.Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	sv.Drain()
	_, err = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Eventually(taken).Should(BeClosed())
	gm.Eventually(sv.Idle).Should(BeTrue(), "the response is written")
	for range 5 {
		// As a stopping process does.
		sv.StopTaking()
		time.Sleep(20 * time.Millisecond)
	}
	_, err = io.WriteString(conn, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	gm.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	rs, got := readResponse(t, bufio.NewReader(conn))
	gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
	gm.Expect(got).To(HaveLen(len(body)))
}

// deafListener accepts connections whose callers cannot be written to any more.
type deafListener struct{ net.Listener }

type deafConn struct{ net.Conn }

func (dl deafListener) Accept() (net.Conn, error) {
	conn, err := dl.Listener.Accept()
	return deafConn{conn}, err
}

func (deafConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// TestNoRequestWithoutItsBody guards against requests that are served without the body that their
// caller did not send: it has left before it was told to go on.
func TestNoRequestWithoutItsBody(t *testing.T) {
	gm := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	var served atomic.Bool
	sv := httpserver.New(func(context.Context, *httpserver.Request) *httpserver.Response {
		served.Store(true)
		return nil
	}, limits)
	go func() { _ = sv.Serve(deafListener{ln}) }()
	t.Cleanup(sv.Close)
	conn, err := net.Dial("tcp", ln.Addr().String())
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	gm.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	gm.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Read(make([]byte, 1))
	gm.Expect(err).To(HaveOccurred(), "the connection ends")
	gm.Expect(served.Load()).To(BeFalse())
}

// TestStopAnswersWhatArrives guards against a request that a planned stop cuts without an answer
// while it arrives: no response before it has told its caller that the connection closes.
func TestStopAnswersWhatArrives(t *testing.T) {
	const whole = "GET /before HTTP/1.1\r\nHost: h\r\n\r\n"
	cases := map[string]struct {
		// before is sent and answered before, first before the stop, rest after it.
		before, first, rest string
		status              int
	}{
		"in its head":              {"", "POST /a HTTP/1.1\r\nHost: h\r\nConte", "nt-Length: 3\r\n\r\nabc", http.StatusServiceUnavailable},
		"in its body":              {"", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc", "def", http.StatusServiceUnavailable},
		"after another one":        {whole, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc", "def", http.StatusServiceUnavailable},
		"with a body in two parts": {"", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "0\r\n\r\n", http.StatusServiceUnavailable},
		"malformed":                {"", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "zz\r\n", http.StatusBadRequest},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sv, conn, from := serve(t, func(_ context.Context, rq *httpserver.Request) *httpserver.Response {
				if rq.Late {
					return &httpserver.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
				}
				return &httpserver.Response{Status: http.StatusOK, Header: http.Header{}}
			})
			if tc.before != "" {
				_, err := io.WriteString(conn, tc.before)
				gm.Expect(err).NotTo(HaveOccurred())
				rs, _ := readResponse(t, from)
				gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
			}
			_, err := io.WriteString(conn, tc.first)
			gm.Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
			sv.Drain()
			for range 5 {
				// As a stopping process does.
				sv.StopTaking()
				time.Sleep(20 * time.Millisecond)
			}
			_, err = io.WriteString(conn, tc.rest)
			gm.Expect(err).NotTo(HaveOccurred())
			rs, _ := readResponse(t, from)
			gm.Expect(rs.StatusCode).To(Equal(tc.status))
			gm.Expect(rs.Close).To(BeTrue())
			gm.Eventually(sv.Connections, 3*time.Second).Should(BeZero())
		})
	}
}
