package httpserver_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/serving/httpserver"
)

// brokenBody ends with an error instead of io.EOF.
type brokenBody struct{ io.Reader }

func (brokenBody) Close() error { return nil }

func (bb brokenBody) Read(buf []byte) (int, error) {
	count, err := bb.Reader.Read(buf)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// TestUnansweredRequestsAreReported guards against requests that get no response and leave no
// trace of why.
func TestUnansweredRequestsAreReported(t *testing.T) {
	const slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	cases := map[string]struct {
		sent   string
		leave  bool
		causes []httpserver.EndCause
		begun  []bool
	}{
		"the caller leaves":                    {"GET /waits HTTP/1.1\r\nHost: h\r\n\r\n", true, []httpserver.EndCause{httpserver.CallerLeft}, []bool{false}},
		"the handler has no response":          {"GET /none HTTP/1.1\r\nHost: h\r\n\r\n", false, []httpserver.EndCause{httpserver.NoResponse}, []bool{false}},
		"a response breaks off before another": {"GET /breaks HTTP/1.1\r\nHost: h\r\n\r\n" + slow, false, []httpserver.EndCause{httpserver.ResponseBrokeOff, httpserver.ResponseBrokeOff}, []bool{true, false}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			reports := make(chan httpserver.Unanswered, 4)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			gm.Expect(err).NotTo(HaveOccurred())
			sv := httpserver.New(func(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
				rq.ID = "named"
				switch rq.URI {
				case "/none":
					return nil
				case "/waits":
					<-ctx.Done()
					return nil
				case "/breaks":
					return &httpserver.Response{Status: 200, Header: http.Header{}, Rest: brokenBody{bytes.NewReader([]byte("part"))}, Length: 100}
				}
				return echo(ctx, rq)
			}, limits, httpserver.OnUnanswered(func(un httpserver.Unanswered) { reports <- un }))
			go func() { _ = sv.Serve(ln) }()
			t.Cleanup(sv.Close)
			conn, err := net.Dial("tcp", ln.Addr().String())
			gm.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = conn.Close() })
			gm.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, err = io.WriteString(conn, tc.sent)
			gm.Expect(err).NotTo(HaveOccurred())
			if tc.leave {
				gm.Expect(conn.Close()).To(Succeed())
			} else {
				_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
			}
			for ix, cause := range tc.causes {
				var un httpserver.Unanswered
				gm.Eventually(reports, "3s").Should(Receive(&un))
				gm.Expect(un.Cause).To(Equal(cause))
				gm.Expect(un.Begun).To(Equal(tc.begun[ix]))
				gm.Expect(un.Request.ID).To(BeEquivalentTo("named"))
			}
			gm.Consistently(reports, "50ms").ShouldNot(Receive())
		})
	}
}
