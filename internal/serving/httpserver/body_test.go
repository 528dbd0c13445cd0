package httpserver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/serving/httpserver"
)

// frame returns the bytes of a request. With a fault, its body breaks off or has a
// malformed chunk.
func frame(rt *rapid.T, uri, body, fault string) string {
	head := "POST " + uri + " HTTP/1.1\r\nHost: h\r\n"
	if rapid.Bool().Draw(rt, "chunked") {
		size := rapid.IntRange(1, max(len(body), 1)).Draw(rt, "chunk")
		var chunks strings.Builder
		for rest := body; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			part := rest[:min(size, len(rest))]
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(part), part)
		}
		text := head + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String()
		switch fault {
		case "breaks off":
			return text
		case "malformed":
			return text + "zz\r\n" + "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
		default:
			return text + "0\r\n\r\n"
		}
	}
	length := len(body)
	if fault != "" {
		length += rapid.IntRange(1, 100).Draw(rt, "missing")
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + body
}

// TestOnlyWholeRequestsAreHandled sends whole requests, then one that breaks off or
// has a malformed chunk. Only the whole ones may reach the handler, each with its
// exact body: an order without its body must not run, and bytes behind a malformed
// chunk are no request.
func TestOnlyWholeRequestsAreHandled(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gm := NewWithT(rt)
		var mu sync.Mutex
		var handled, want []string
		handler := func(_ context.Context, rq *httpserver.Request) *httpserver.Response {
			body := rq.Body
			if rq.Rest != nil {
				rest, err := io.ReadAll(rq.Rest)
				if err != nil {
					return nil
				}
				body = append(body, rest...)
			}
			mu.Lock()
			defer mu.Unlock()
			handled = append(handled, rq.Method+" "+rq.URI+" "+string(body))
			return &httpserver.Response{Status: 200, Header: http.Header{}}
		}
		var sent strings.Builder
		for ix := range rapid.IntRange(0, 4).Draw(rt, "whole") {
			uri := fmt.Sprintf("/%d", ix)
			body := strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 100, 5000, httpserver.BufferBytes - 1, httpserver.BufferBytes, httpserver.BufferBytes + 1, 300000}).Draw(rt, "length"))
			sent.WriteString(frame(rt, uri, body, ""))
			want = append(want, "POST "+uri+" "+body)
		}
		fault := rapid.SampledFrom([]string{"", "breaks off", "malformed"}).Draw(rt, "fault")
		if fault != "" {
			body := strings.Repeat("c", rapid.SampledFrom([]int{0, 3, 5000, 200000}).Draw(rt, "brokenLength"))
			sent.WriteString(frame(rt, "/broken", body, fault))
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		gm.Expect(err).NotTo(HaveOccurred())
		sv := httpserver.New(handler, limits)
		go func() { _ = sv.Serve(ln) }()
		conn, err := net.Dial("tcp", ln.Addr().String())
		gm.Expect(err).NotTo(HaveOccurred())
		go func() {
			_, _ = io.WriteString(conn, sent.String())
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		// A reset is a proper end too: the handler aborts a body that breaks off.
		_, err = io.Copy(io.Discard, conn)
		gm.Expect(fmt.Sprint(err)).NotTo(ContainSubstring("timeout"))
		_ = conn.Close()
		sv.Close()
		gm.Expect(handled).To(Equal(want))
	})
}

// TestEarlyResponse checks that a response does not wait for the rest of a long body
// and that the bytes of that body are not taken for a request.
func TestEarlyResponse(t *testing.T) {
	gm := NewWithT(t)
	_, conn, from := serve(t, func(context.Context, *httpserver.Request) *httpserver.Response {
		return &httpserver.Response{Status: 503, Header: http.Header{}}
	})
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("GET /b HTTP/1.1\r\nHost: h\r\n\r\n", 7000))
	gm.Expect(err).NotTo(HaveOccurred())
	rs, _ := readResponse(t, from)
	gm.Expect(rs.StatusCode).To(Equal(503))
	gm.Expect(rs.Close).To(BeTrue())
	_, err = io.ReadAll(from)
	gm.Expect(err).NotTo(HaveOccurred())
}

// TestRejectionOfBodies guards against a caller that is taken to have left, since the rest of its
// body cannot be read.
func TestRejectionOfBodies(t *testing.T) {
	t.Parallel()
	chunk := func(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size)) }
	first := chunk(httpserver.BufferBytes + 1)
	cases := map[string]struct {
		body   string
		leaves bool
		status int
	}{
		"whole":                        {body: first + "0\r\n\r\n"},
		"too large":                    {body: first + chunk(limits().BodyBytes) + "0\r\n\r\n", status: http.StatusRequestEntityTooLarge},
		"malformed":                    {body: first + "zz\r\n", status: http.StatusBadRequest},
		"stalls":                       {body: first, status: http.StatusRequestTimeout},
		"stalls at its end":            {body: first + "0\r\n", status: http.StatusRequestTimeout},
		"the caller leaves":            {body: first, leaves: true},
		"the caller leaves at its end": {body: first + "0\r\n", leaves: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			rejections := make(chan int, 1)
			_, conn, _ := serve(t, func(_ context.Context, rq *httpserver.Request) *httpserver.Response {
				_, err := io.Copy(io.Discard, rq.Rest)
				gm.Expect(err != nil).To(Equal(tc.status != 0 || tc.leaves))
				rejections <- rq.Rest.Rejection()
				return nil
			})
			_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+tc.body)
			gm.Expect(err).NotTo(HaveOccurred())
			if tc.leaves {
				gm.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			}
			gm.Eventually(rejections, 15*time.Second).Should(Receive(Equal(tc.status)))
		})
	}
}
