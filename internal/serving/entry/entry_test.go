package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/entry"
	"chervilwalk/internal/serving/verdict"
)

// router is a node by hand.
type router struct {
	route func(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error)
}

func (rt *router) Bundle() *bundle.Bundle {
	return &bundle.Bundle{Services: []bundle.Service{
		{Name: "lookup", Keyed: true, Key: bundle.KeyInPath, Slices: 8, DefaultTimeout: 5 * time.Second, MaxTimeout: 10 * time.Second, MaxBodyBytes: 100},
		{Name: "orders", DefaultTimeout: 5 * time.Second, MaxTimeout: 10 * time.Second, MaxBodyBytes: 100, IdempotentMethods: []string{"GET", "HEAD"}},
	}}
}

func (rt *router) Route(ctx context.Context, _ *bundle.Service, ca *inner.Call) (*dispatch.Answer, error) {
	return rt.route(ctx, ca)
}

func (rt *router) Health() (bool, string) { return true, "serving" }

// start serves a router on loopback until the test's end.
func start(t *testing.T, route func(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error)) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	en := entry.New(&router{route: route})
	go func() { _ = en.Serve(ls) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = en.Close(ctx)
	})
	return ls.Addr().String()
}

// exchange sends raw bytes and reads the answer's head and body.
func exchange(address, raw string) (*http.Response, []byte, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, raw); err != nil {
		return nil, nil, err
	}
	method, _, _ := strings.Cut(raw, " ")
	rs, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(rs.Body)
	return rs, body, err
}

// What the entry refuses is refused as not run, and nothing is dispatched.
func TestRefusalsBeforeDispatch(t *testing.T) {
	cases := map[string]struct {
		raw    string
		status int
	}{
		"unknown service":     {raw: "GET /nothing/x HTTP/1.1\r\nHost: r\r\n\r\n", status: 404},
		"no service":          {raw: "GET / HTTP/1.1\r\nHost: r\r\n\r\n", status: 404},
		"missing key":         {raw: "GET /lookup HTTP/1.1\r\nHost: r\r\n\r\n", status: 400},
		"empty key":           {raw: "GET /lookup/ HTTP/1.1\r\nHost: r\r\n\r\n", status: 400},
		"dot segment":         {raw: "GET /lookup/../orders/1 HTTP/1.1\r\nHost: r\r\n\r\n", status: 400},
		"hidden dot segment":  {raw: "GET /lookup/%2e%2e/orders HTTP/1.1\r\nHost: r\r\n\r\n", status: 400},
		"bad escape":          {raw: "GET /lookup/%zz HTTP/1.1\r\nHost: r\r\n\r\n", status: 400},
		"foreign target":      {raw: "GET http://other/lookup/1 HTTP/1.1\r\nHost: r\r\n\r\n", status: 400},
		"deadline no number":  {raw: "GET /lookup/1 HTTP/1.1\r\nHost: r\r\nChervilwalk-Deadline-Ms: soon\r\n\r\n", status: 400},
		"deadline negative":   {raw: "GET /lookup/1 HTTP/1.1\r\nHost: r\r\nChervilwalk-Deadline-Ms: -1\r\n\r\n", status: 400},
		"deadline zero":       {raw: "GET /lookup/1 HTTP/1.1\r\nHost: r\r\nChervilwalk-Deadline-Ms: 0\r\n\r\n", status: 400},
		"deadline overflows":  {raw: "GET /lookup/1 HTTP/1.1\r\nHost: r\r\nChervilwalk-Deadline-Ms: 99999999999999999999\r\n\r\n", status: 400},
		"body over service's": {raw: "POST /orders/1 HTTP/1.1\r\nHost: r\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), status: 413},
		"body over router's":  {raw: "POST /orders/1 HTTP/1.1\r\nHost: r\r\nContent-Length: 99999999\r\n\r\n", status: 413},
		"header too large":    {raw: "GET /lookup/1 HTTP/1.1\r\nHost: r\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", status: 431},
		"odd method":          {raw: "G\"T /lookup/1 HTTP/1.1\r\nHost: r\r\n\r\n", status: 400},
		"no HTTP":             {raw: "what is this\r\n\r\n", status: 400},
	}
	address := start(t, func(context.Context, *inner.Call) (*dispatch.Answer, error) {
		t.Error("a refused request was dispatched")
		return nil, verdict.Doubt(500, "")
	})
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rs, body, err := exchange(address, cs.raw)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(rs.StatusCode).To(Equal(cs.status))
			gm.Expect(rs.Header.Get(entry.VerdictHeader)).To(Equal("not-run"))
			gm.Expect(bytes.Count(body, []byte("\n"))).To(Equal(1), "one line and no stack trace")
		})
	}
}

func TestCallIsPassedOnUnchangedButForItsHop(t *testing.T) {
	gm := NewWithT(t)
	var got *inner.Call
	address := start(t, func(_ context.Context, ca *inner.Call) (*dispatch.Answer, error) {
		got = ca
		hd := http.Header{"Connection": {"X-Link"}, "X-Link": {"1"}, "X-End": {"2"}, "Chervilwalk-Verdict": {"not-run"}}
		return &dispatch.Answer{Status: 200, Header: hd, Length: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
	})
	rs, body, err := exchange(address, "GET /lookup/a%2Fb/c?d=%20e HTTP/1.1\r\nHost: r\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"+
		"Te: trailers\r\nX-Kept: 2\r\nChervilwalk-Token: 9.9.9\r\nChervilwalk-Deadline-Ms: 60000\r\n\r\n")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(string(body)).To(Equal("ok"))
	gm.Expect(rs.Header.Values(entry.VerdictHeader)).To(Equal([]string{"ran"}))
	gm.Expect(rs.Header.Get("X-Link")).To(BeEmpty())
	gm.Expect(rs.Header.Get("X-End")).To(Equal("2"))
	gm.Expect(got.Path).To(Equal("/lookup/a%2Fb/c?d=%20e"))
	gm.Expect(string(got.Key)).To(Equal("a/b"))
	gm.Expect(got.Header).To(Equal(http.Header{"X-Kept": {"2"}}))
	gm.Expect(time.Until(got.Deadline)).To(BeNumerically("<=", 10*time.Second), "the bundle bounds the deadline")
}

func TestErrorsBecomeAnswersWithAVerdict(t *testing.T) {
	cases := map[string]struct {
		route      func() error
		status     int
		verdict    string
		retryAfter string
	}{
		"refused":       {route: func() error { return verdict.Refuse(503, "busy", 1500*time.Millisecond) }, status: 503, verdict: "not-run", retryAfter: "2"},
		"in doubt":      {route: func() error { return verdict.Doubt(502, "broke off") }, status: 502, verdict: "may-have-run"},
		"unknown error": {route: func() error { return io.ErrClosedPipe }, status: 502, verdict: "may-have-run"},
		"panic":         {route: func() error { panic("a defect") }, status: 500, verdict: "may-have-run"},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			address := start(t, func(context.Context, *inner.Call) (*dispatch.Answer, error) { return nil, cs.route() })
			for range 2 {
				rs, body, err := exchange(address, "POST /orders/1 HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
				gm.Expect(err).NotTo(HaveOccurred())
				gm.Expect(rs.StatusCode).To(Equal(cs.status))
				gm.Expect(rs.Header.Get(entry.VerdictHeader)).To(Equal(cs.verdict))
				gm.Expect(rs.Header.Get("Retry-After")).To(Equal(cs.retryAfter))
				gm.Expect(string(body)).NotTo(ContainSubstring("goroutine"))
			}
		})
	}
}

// A body that is cut at any point cuts the caller's, with a length and in chunks.
func TestCutAnswerIsCutForTheCaller(t *testing.T) {
	const size = 200_000
	for _, length := range []int64{size, -1} {
		for _, point := range []int{0, 1, 100, 4096, 65536, size - 1} {
			t.Run(fmt.Sprintf("length %d point %d", length, point), func(t *testing.T) {
				gm := NewWithT(t)
				address := start(t, func(context.Context, *inner.Call) (*dispatch.Answer, error) {
					body := io.MultiReader(strings.NewReader(strings.Repeat("x", point)), cut{})
					return &dispatch.Answer{Status: 200, Header: http.Header{}, Length: length, Body: io.NopCloser(body)}, nil
				})
				_, body, err := exchange(address, "GET /orders/1 HTTP/1.1\r\nHost: r\r\n\r\n")
				gm.Expect(err).To(HaveOccurred())
				gm.Expect(len(body)).To(BeNumerically("<=", point))
			})
		}
	}
}

type cut struct{}

func (cut) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestHeadAnswerKeepsItsLength(t *testing.T) {
	gm := NewWithT(t)
	address := start(t, func(context.Context, *inner.Call) (*dispatch.Answer, error) {
		return &dispatch.Answer{Status: 200, Header: http.Header{}, Length: 77, Body: http.NoBody}, nil
	})
	rs, body, err := exchange(address, "HEAD /orders/1 HTTP/1.1\r\nHost: r\r\n\r\n")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(body).To(BeEmpty())
	gm.Expect(rs.Header.Get("Content-Length")).To(Equal(strconv.Itoa(77)))
}

// A caller that closes its connection ends its request's context.
func TestCallerThatHasGoneEndsItsRequest(t *testing.T) {
	gm := NewWithT(t)
	came, ended := make(chan struct{}), make(chan struct{})
	address := start(t, func(ctx context.Context, _ *inner.Call) (*dispatch.Answer, error) {
		close(came)
		<-ctx.Done()
		close(ended)
		return nil, verdict.Doubt(504, "given up")
	})
	conn, err := net.Dial("tcp", address)
	gm.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, "GET /orders/1 HTTP/1.1\r\nHost: r\r\nChervilwalk-Deadline-Ms: 10000\r\n\r\n")
	gm.Expect(err).NotTo(HaveOccurred())
	<-came
	gm.Expect(conn.Close()).To(Succeed())
	gm.Eventually(ended, "3s").Should(BeClosed())
}
