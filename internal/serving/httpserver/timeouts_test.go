package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/serving/httpserver"
)

// serveWithin is serve with limits that change.
func serveWithin(t *testing.T, handler httpserver.Handler, lm func() httpserver.Limits) (net.Conn, *bufio.Reader) {
	t.Helper()
	gm := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	sv := httpserver.New(handler, lm)
	go func() { _ = sv.Serve(ln) }()
	t.Cleanup(sv.Close)
	conn, err := net.Dial("tcp", ln.Addr().String())
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	gm.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return conn, bufio.NewReader(conn)
}

// takes returns a handler that answers after a time unless its caller leaves.
func takes(work time.Duration) httpserver.Handler {
	return func(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(work):
			return &httpserver.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(rq.URI)}
		}
	}
}

// TestConnectionTimeoutsCutNoRequest guards against whole requests that are cut since a timeout of
// their connection runs out while they are served.
func TestConnectionTimeoutsCutNoRequest(t *testing.T) {
	const (
		get  = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
		post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
		work = 600 * time.Millisecond
	)
	short := httpserver.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	cases := map[string]struct {
		sent    string
		answers int
	}{
		"a request takes longer than the idle timeout":               {get, 1},
		"one that may not be repeated does":                          {post, 1},
		"several on one connection do":                               {get + get + get, 3},
		"the head of the next request does not end":                  {get + "GET /b HTTP/1.1\r\nHo", 1},
		"the head of the next one that is not repeatable is not due": {get + "POST /b HTTP/1.1\r\n", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			conn, from := serveWithin(t, takes(work), func() httpserver.Limits { return short })
			_, err := io.WriteString(conn, tc.sent)
			gm.Expect(err).NotTo(HaveOccurred())
			for range tc.answers {
				rs, body := readResponse(t, from)
				gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
				gm.Expect(body).To(Equal("/a"))
			}
		})
	}
}

// TestIdleTimeBeginsWithTheAnswer guards against connections that close before their caller has
// had the whole idle timeout to use them again.
func TestIdleTimeBeginsWithTheAnswer(t *testing.T) {
	gm := NewWithT(t)
	const idle = 1200 * time.Millisecond
	lm := httpserver.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: idle}
	conn, from := serveWithin(t, takes(time.Second), func() httpserver.Limits { return lm })
	for range 2 {
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		gm.Expect(err).NotTo(HaveOccurred())
		rs, _ := readResponse(t, from)
		gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
		time.Sleep(idle * 4 / 5)
	}
	answered := time.Now()
	_, err := from.ReadByte()
	gm.Expect(err).To(MatchError(io.EOF))
	gm.Expect(time.Since(answered)).To(BeNumerically("<", idle), "an idle connection closes")
}

// TestLongerIdleTimeoutHoldsAtOnce guards against connections that close by an idle timeout that
// is no longer in force.
func TestLongerIdleTimeoutHoldsAtOnce(t *testing.T) {
	gm := NewWithT(t)
	var idle atomic.Int64
	idle.Store(int64(300 * time.Millisecond))
	conn, from := serveWithin(t, takes(0), func() httpserver.Limits {
		return httpserver.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Duration(idle.Load())}
	})
	ask := func() {
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		gm.Expect(err).NotTo(HaveOccurred())
		rs, _ := readResponse(t, from)
		gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
	}
	ask()
	idle.Store(int64(5 * time.Second))
	// Longer than the wait that began beside the request in flight.
	time.Sleep(1500 * time.Millisecond)
	ask()
}

// TestWriteTimeoutIsThatOfTheWrite guards against responses that are cut since the time for an
// earlier write has run out.
func TestWriteTimeoutIsThatOfTheWrite(t *testing.T) {
	t.Parallel()
	const longer = 31 * time.Second
	patient := func() httpserver.Limits {
		return httpserver.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 2 * longer}
	}
	t.Run("a request expects 100 Continue", func(t *testing.T) {
		t.Parallel()
		gm := NewWithT(t)
		conn, from := serveWithin(t, takes(0), patient)
		gm.Expect(conn.SetDeadline(time.Now().Add(2 * longer))).To(Succeed())
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		gm.Expect(err).NotTo(HaveOccurred())
		rs, _ := readResponse(t, from)
		gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
		time.Sleep(longer)
		_, err = io.WriteString(conn, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
		gm.Expect(err).NotTo(HaveOccurred())
		rs, _ = readResponse(t, from)
		gm.Expect(rs.StatusCode).To(Equal(http.StatusContinue))
		_, err = io.WriteString(conn, "abc")
		gm.Expect(err).NotTo(HaveOccurred())
		rs, body := readResponse(t, from)
		gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
		gm.Expect(body).To(Equal("/b"))
	})
	t.Run("a streamed answer ends late", func(t *testing.T) {
		t.Parallel()
		gm := NewWithT(t)
		reader, writer := io.Pipe()
		conn, from := serveWithin(t, func(context.Context, *httpserver.Request) *httpserver.Response {
			return &httpserver.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("abc"), Rest: reader, Length: -1}
		}, patient)
		gm.Expect(conn.SetDeadline(time.Now().Add(2 * longer))).To(Succeed())
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		gm.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(longer, func() { _ = writer.Close() })
		rs, body := readResponse(t, from)
		gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
		gm.Expect(body).To(Equal("abc"))
	})
}
