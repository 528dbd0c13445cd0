package httpserver_test

import (
	"context"
	"io"
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
