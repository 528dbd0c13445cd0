package transport_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/serving/transport"
)

// requestID reads the id that the upstream of these tests sends back.
func requestID(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) }

// upstream is a server that counts its connections. On each of them it answers the
// requests with the given texts in turn.
type upstream struct {
	address string
	conns   atomic.Int32
}

func startUpstream(t *testing.T, answers ...string) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	up := &upstream{address: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			up.conns.Add(1)
			go answerInTurn(conn, answers)
		}
	}()
	return up
}

// answerInTurn answers the requests on a connection. An empty answer closes the
// connection, "silence" sends nothing for a second, and a text that ends in "…"
// is followed by the end of the connection.
func answerInTurn(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	from := bufio.NewReader(conn)
	for _, answer := range answers {
		rq, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		if rq.ContentLength > 0 {
			_, _ = from.Discard(int(rq.ContentLength))
		}
		if answer == "" {
			return
		}
		if answer == "silence" {
			time.Sleep(time.Second)
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
		if strings.HasSuffix(answer, "…") {
			return
		}
	}
}

// request returns a repeatable request that must be answered within 300 ms.
func request() *transport.Request {
	return &transport.Request{ID: "r1", Method: "GET", URI: "/a", Host: "h", Header: http.Header{}, Repeatable: true, Deadline: time.Now().Add(300 * time.Millisecond), RestDeadline: time.Now().Add(300 * time.Millisecond)}
}

const whole = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nwhole"

// TestAnswers checks for complete, delayed, broken and missing answers what Send
// returns, and for each failure whether the request may have arrived.
func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		answers []string
		body    string
		sent    bool
		timeout bool
	}{
		"complete":                               {[]string{whole}, "whole", false, false},
		"chunked":                                {[]string{"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}, "whole", false, false},
		"ends with its connection":               {[]string{"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nwhole…"}, "whole…", false, false},
		"follows an answer to another request":   {[]string{"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 5\r\n\r\nstray" + whole}, "whole", false, false},
		"follows an interim answer":              {[]string{"HTTP/1.1 103 Early Hints\r\n\r\n" + whole}, "whole", false, false},
		"breaks off":                             {[]string{"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 50\r\n\r\nwhole…"}, "", true, false},
		"connection closes without an answer":    {[]string{""}, "", true, false},
		"not HTTP":                               {[]string{"hello\r\n\r\n…"}, "", true, false},
		"no answer before the deadline":          {[]string{"silence"}, "", true, true},
		"status 000, whole answer inside":        {[]string{"HTTP/1.1 000 Odd\r\nId: r1\r\nContent-Length: 60\r\n\r\n" + whole}, "", true, false},
		"status 000, behind an interim answer":   {[]string{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\nId: r1\r\n\r\n" + whole}, "", true, false},
		"status 099, whole answer inside":        {[]string{"HTTP/1.1 099 Odd\r\nId: r1\r\nContent-Length: 60\r\n\r\n" + whole}, "", true, false},
		"status 600":                             {[]string{strings.Replace(whole, "200", "600", 1)}, "", true, false},
		"status 999, behind a stray answer":      {[]string{"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 5\r\n\r\nstray" + strings.Replace(whole, "200", "999", 1)}, "", true, false},
		"blank in a field's name":                {[]string{strings.Replace(whole, "Id", "Odd Name: x\r\nId", 1)}, "", true, false},
		"blank behind a field's name":            {[]string{"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length : 3\r\n\r\nwhole…"}, "", true, false},
		"blank in an interim answer":             {[]string{"HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\n" + whole}, "", true, false},
		"blank in a stray answer":                {[]string{"HTTP/1.1 200 OK\r\nOdd Name: x\r\nId: r0\r\nContent-Length: 5\r\n\r\nstray" + whole}, "", true, false},
		"control byte in a field's name":         {[]string{strings.Replace(whole, "Id", "Odd\x01Name: x\r\nId", 1)}, "", true, false},
		"chunks and a trailer":                   {[]string{"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n5\r\nwhole\r\n0\r\nA: b\r\n\r\n"}, "whole", false, false},
		"blank in a trailer's name":              {[]string{"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nOdd Name: b\r\n\r\n"}, "", true, false},
		"blank in the trailer of a stray answer": {[]string{"HTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\nOdd Name: b\r\n\r\n" + whole}, "", true, false},
		"only answers to other requests":         {[]string{strings.Repeat("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 5\r\n\r\nstray", 4)}, "", true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			up := startUpstream(t, tc.answers...)
			pl := transport.New(requestID)
			t.Cleanup(pl.Close)
			an, err := pl.Send(t.Context(), transport.Target{ID: "u", Address: up.address}, request())
			if tc.body != "" {
				gm.Expect(err).NotTo(HaveOccurred())
				gm.Expect(string(an.Body)).To(Equal(tc.body))
				return
			}
			var fl *transport.Failure
			gm.Expect(errors.As(err, &fl)).To(BeTrue())
			gm.Expect(fl.Sent).To(Equal(tc.sent))
			gm.Expect(fl.TimedOut).To(Equal(tc.timeout))
		})
	}
}

// TestAnswersWithoutBody guards against answers that have no body whatever their header states, and
// that are waited for, or taken for broken; and against bytes behind one that pass for the next answer.
func TestAnswersWithoutBody(t *testing.T) {
	cases := map[string]struct {
		method, answer string
		status         int
		conns          int32
	}{
		"HEAD, length":             {"HEAD", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\n", 200, 1},
		"HEAD, chunks":             {"HEAD", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n", 200, 1},
		"HEAD, neither":            {"HEAD", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", 200, 2},
		"HEAD, and a body":         {"HEAD", whole, 200, 2},
		"HEAD, and another answer": {"HEAD", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\n" + whole, 200, 2},
		"204":                      {"GET", "HTTP/1.1 204 No Content\r\nId: r1\r\n\r\n", 204, 1},
		"204, and a body":          {"GET", "HTTP/1.1 204 No Content\r\nId: r1\r\n\r\nwhole", 204, 2},
		"304, length":              {"GET", "HTTP/1.1 304 Not Modified\r\nId: r1\r\nContent-Length: 5\r\n\r\n", 304, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			up := startUpstream(t, tc.answer, tc.answer)
			pl := transport.New(requestID)
			t.Cleanup(pl.Close)
			for range 2 {
				rq := request()
				rq.Method = tc.method
				an, err := pl.Send(t.Context(), transport.Target{ID: "u", Address: up.address}, rq)
				gm.Expect(err).NotTo(HaveOccurred())
				gm.Expect(an.Status).To(Equal(tc.status))
				gm.Expect(an.Body).To(BeEmpty())
				gm.Expect(an.Rest).To(BeNil())
			}
			gm.Expect(up.conns.Load()).To(Equal(tc.conns))
		})
	}
}

// TestRefusedConnectionSentNothing checks that the failure of a refused connection
// states that nothing was sent.
func TestRefusedConnectionSentNothing(t *testing.T) {
	gm := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(ln.Close()).To(Succeed())
	_, err = transport.New(requestID).Send(t.Context(), transport.Target{ID: "u", Address: ln.Addr().String()}, request())
	var fl *transport.Failure
	gm.Expect(errors.As(err, &fl)).To(BeTrue())
	gm.Expect(fl.Sent).To(BeFalse())
}

// TestReuse checks which connections are used again.
func TestReuse(t *testing.T) {
	cases := map[string]struct {
		answers []string
		conns   int32
	}{
		"reused":                               {[]string{whole, whole}, 1},
		"upstream announces the close":         {[]string{strings.Replace(whole, "Id", "Connection: close\r\nId", 1), whole}, 2},
		"bytes follow the answer":              {[]string{whole + "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 0\r\n\r\n", whole}, 2},
		"keep-alive time is within the margin": {[]string{strings.Replace(whole, "Id", "Keep-Alive: timeout=1\r\nId", 1), whole}, 2},
		"upstream closes without notice":       {[]string{whole}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			up := startUpstream(t, tc.answers...)
			pl := transport.New(requestID)
			t.Cleanup(pl.Close)
			for range 2 {
				_, err := pl.Send(t.Context(), transport.Target{ID: "u", Address: up.address}, request())
				gm.Expect(err).NotTo(HaveOccurred())
				time.Sleep(30 * time.Millisecond)
			}
			gm.Expect(up.conns.Load()).To(Equal(tc.conns))
		})
	}
}

// TestCancelEndsSend checks that Send fails soon after its context ends, long before
// the deadline.
func TestCancelEndsSend(t *testing.T) {
	gm := NewWithT(t)
	up := startUpstream(t, "silence")
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	rq := request()
	rq.Deadline = time.Now().Add(3 * time.Second)
	_, err := transport.New(requestID).Send(ctx, transport.Target{ID: "u", Address: up.address}, rq)
	gm.Expect(err).To(HaveOccurred())
	gm.Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
}

// TestStaleAnswer guards against an earlier answer, written once more on a kept connection,
// that passes for the answer to the next request.
func TestStaleAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	named := strings.Replace(refusal, "Not-Run", "Id: r0\r\nNot-Run", 1)
	own := strings.Replace(named, "r0", "r1", 1)
	cases := map[string]struct {
		// answers are those to the first and the second request on a connection.
		answers []string
		// fails means that the second answer cannot be told from a stale one.
		fails bool
		conns int32
	}{
		"refusal without an id after one":           {[]string{refusal, refusal + whole}, false, 2},
		"refusal without an id after an answer":     {[]string{whole, refusal + whole}, true, 1},
		"refusal with the id of an earlier request": {[]string{named + whole, named + whole}, false, 1},
		"refusal of the same request, sent again":   {[]string{own, own + whole}, false, 2},
		"success without an id after one":           {[]string{unnamed, unnamed + whole}, false, 2},
		"success without an id after an answer":     {[]string{whole, unnamed + whole}, true, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			up := startUpstream(t, tc.answers...)
			pl := transport.New(requestID)
			t.Cleanup(pl.Close)
			_, err := pl.Send(t.Context(), transport.Target{ID: "u", Address: up.address}, request())
			gm.Expect(err).NotTo(HaveOccurred())
			_, err = pl.Send(t.Context(), transport.Target{ID: "u", Address: up.address}, request())
			gm.Expect(up.conns.Load()).To(Equal(tc.conns))
			if !tc.fails {
				gm.Expect(err).NotTo(HaveOccurred())
				return
			}
			var fl *transport.Failure
			gm.Expect(errors.As(err, &fl)).To(BeTrue())
			gm.Expect(fl.Sent).To(BeTrue())
		})
	}
}

// TestTruncatedHead guards against an answer whose head breaks off, anywhere, and passes for
// whole.
func TestTruncatedHead(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": whole,
		"in chunks":     "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"with its end":  "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			head := strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
			for cut := range head {
				up := startUpstream(t, answer[:cut])
				pl := transport.New(requestID)
				t.Cleanup(pl.Close)
				_, err := pl.Send(t.Context(), transport.Target{ID: "u", Address: up.address}, request())
				var fl *transport.Failure
				gm.Expect(errors.As(err, &fl)).To(BeTrue(), "%q", answer[:cut])
				gm.Expect(fl.Sent).To(BeTrue())
			}
		})
	}
}
