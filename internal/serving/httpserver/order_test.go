package httpserver_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/serving/httpserver"
)

// orderedServer answers requests by their paths and notes which it has handled.
type orderedServer struct {
	mu      sync.Mutex
	handled []string
	// goOn lets "/waits" go on.
	goOn chan struct{}
}

func (or *orderedServer) serve(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
	or.mu.Lock()
	or.handled = append(or.handled, rq.URI)
	or.mu.Unlock()
	rs := &httpserver.Response{Status: 200, Header: http.Header{}, Length: 8}
	switch {
	case strings.HasSuffix(rq.URI, "waits"):
		select {
		case <-or.goOn:
		case <-ctx.Done():
			return nil
		}
	case strings.HasSuffix(rq.URI, "breaks"):
		rs.Body, rs.Rest = []byte("part"), brokenBody{bytes.NewReader(nil)}
	case strings.HasSuffix(rq.URI, "streams"):
		rs.Body, rs.Rest = []byte("part"), io.NopCloser(strings.NewReader("rest"))
	}
	return rs
}

func (or *orderedServer) paths() []string {
	or.mu.Lock()
	defer or.mu.Unlock()
	return slices.Clone(or.handled)
}

// TestRequestsBehindResponsesThatMayBreakOff guards against requests that are handled and whose
// callers get no response, since one before them on the connection broke off.
func TestRequestsBehindResponsesThatMayBreakOff(t *testing.T) {
	cases := map[string]struct {
		// paths are sent at once. Responses to those with "/file" may break off.
		paths []string
		// before is what is handled before "waits" may go on, after what is handled in the end.
		before, after []string
		responses     int
		// leaves means that the caller closes its connection before "waits" may go on.
		leaves     bool
		unanswered int
	}{
		"behind a whole response":              {paths: []string{"/file/whole", "/a"}, before: []string{"/file/whole", "/a"}, responses: 2},
		"behind one that is kept whole":        {paths: []string{"/file/waits", "/a"}, before: []string{"/file/waits"}, after: []string{"/file/waits", "/a"}, responses: 2},
		"behind one that is streamed":          {paths: []string{"/file/streams", "/a", "/b"}, before: []string{"/file/streams", "/a", "/b"}, responses: 3},
		"behind one that breaks off":           {paths: []string{"/file/breaks", "/a", "/b"}, before: []string{"/file/breaks"}, unanswered: 3},
		"behind a second one that breaks off":  {paths: []string{"/file/streams", "/file/breaks", "/a"}, before: []string{"/file/streams", "/file/breaks"}, responses: 1, unanswered: 2},
		"between two that may break off":       {paths: []string{"/file/waits", "/a", "/file/breaks", "/b"}, before: []string{"/file/waits"}, after: []string{"/file/waits", "/a", "/file/breaks"}, responses: 2, unanswered: 2},
		"behind one that cannot":               {paths: []string{"/waits", "/a"}, before: []string{"/waits", "/a"}, after: []string{"/waits", "/a"}, responses: 2},
		"the caller leaves meanwhile":          {paths: []string{"/file/waits", "/a"}, before: []string{"/file/waits"}, leaves: true, unanswered: 2},
		"behind the whole one of a HEAD":       {paths: []string{"HEAD /file/streams", "/a"}, before: []string{"/file/streams", "/a"}, responses: 1},
		"one that may not run twice waits too": {paths: []string{"/file/breaks", "POST /a"}, before: []string{"/file/breaks"}, unanswered: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			gm.Expect(err).NotTo(HaveOccurred())
			reports := make(chan httpserver.Unanswered, 8)
			or := &orderedServer{goOn: make(chan struct{})}
			sv := httpserver.New(or.serve, limits, httpserver.OnUnanswered(func(un httpserver.Unanswered) { reports <- un }),
				httpserver.MayBreakOff(func(_, uri string) bool { return strings.HasPrefix(uri, "/file/") }))
			go func() { _ = sv.Serve(ln) }()
			t.Cleanup(sv.Close)
			conn, err := net.Dial("tcp", ln.Addr().String())
			gm.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = conn.Close() })
			gm.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			text := ""
			for _, path := range tc.paths {
				method := "GET"
				if before, after, named := strings.Cut(path, " "); named {
					method, path = before, after
				}
				text += method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
			}
			_, err = io.WriteString(conn, text)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Eventually(or.paths, "2s").Should(ConsistOf(tc.before))
			gm.Consistently(or.paths, "50ms").Should(ConsistOf(tc.before))
			if tc.leaves {
				gm.Expect(conn.Close()).To(Succeed())
			} else {
				close(or.goOn)
			}
			if tc.after != nil {
				gm.Eventually(or.paths, "2s").Should(ConsistOf(tc.after))
			}
			reader := bufio.NewReader(conn)
			if strings.HasPrefix(tc.paths[0], "HEAD ") {
				rs, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
				gm.Expect(err).NotTo(HaveOccurred())
				gm.Expect(rs.StatusCode).To(Equal(200))
			}
			for range tc.responses {
				readResponse(t, reader)
			}
			handled := or.paths()
			for range tc.unanswered {
				var un httpserver.Unanswered
				gm.Eventually(reports, "2s").Should(Receive(&un))
				gm.Expect(un.Handled).To(Equal(slices.Contains(handled, un.Request.URI)))
			}
			gm.Consistently(reports, "20ms").ShouldNot(Receive())
		})
	}
}

// TestIdleConnectionsKeepNoRequest guards against memory that grows with the connections that
// callers keep open: each held the last request on it, with its body.
func TestIdleConnectionsKeepNoRequest(t *testing.T) {
	const connections, bodyBytes = 64, 100 << 10
	gm := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	idle := func() httpserver.Limits {
		lm := limits()
		lm.IdleTimeout = time.Minute
		return lm
	}
	sv := httpserver.New(echo, idle, httpserver.MayBreakOff(func(_, _ string) bool { return false }))
	go func() { _ = sv.Serve(ln) }()
	t.Cleanup(sv.Close)
	text := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("b", bodyBytes))
	before := heapBytes()
	for range connections {
		conn, err := net.Dial("tcp", ln.Addr().String())
		gm.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		gm.Expect(err).NotTo(HaveOccurred())
		readResponse(t, bufio.NewReader(conn))
	}
	gm.Expect(sv.Connections()).To(Equal(connections))
	gm.Eventually(heapBytes, "2s").Should(BeNumerically("<", before+connections*bodyBytes/2))
}

// heapBytes returns the bytes of objects that are in use.
func heapBytes() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// TestServerEndsRequests guards against callers that get no response from a server that is about to
// close, though their requests wait, and against those of which it says that it ended a request while
// they had left.
func TestServerEndsRequests(t *testing.T) {
	cases := map[string]struct {
		// paths are sent at once; the handler of "waits" waits for the end of its context. Responses to
		// those with "/file" may break off.
		paths []string
		// statuses are those of the responses. The last one closes the connection.
		statuses []int
		// leaves means that the caller has left before.
		leaves bool
	}{
		"a request under way":                   {paths: []string{"/waits"}, statuses: []int{502}},
		"one behind it":                         {paths: []string{"/waits", "/waits"}, statuses: []int{502, 502}},
		"one behind it that has not been begun": {paths: []string{"/file/waits", "/a"}, statuses: []int{502, 503}},
		"one that may not run twice":            {paths: []string{"/waits", "POST /a"}, statuses: []int{502}},
		"an upload of which a part has come":    {paths: []string{"UPLOAD /waits"}, statuses: []int{502}},
		"its caller has left":                   {paths: []string{"/waits"}, leaves: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			gm.Expect(err).NotTo(HaveOccurred())
			begun, ended := make(chan struct{}, 8), make(chan bool, 8)
			handler := func(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
				if rq.Late {
					return &httpserver.Response{Status: 503, Header: http.Header{}}
				}
				if strings.HasSuffix(rq.URI, "waits") {
					begun <- struct{}{}
					<-ctx.Done()
					ended <- httpserver.IsEnding(ctx)
				}
				return &httpserver.Response{Status: 502, Header: http.Header{}}
			}
			sv := httpserver.New(handler, limits, httpserver.MayBreakOff(func(_, uri string) bool { return strings.HasPrefix(uri, "/file/") }))
			go func() { _ = sv.Serve(ln) }()
			t.Cleanup(sv.Close)
			conn, err := net.Dial("tcp", ln.Addr().String())
			gm.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = conn.Close() })
			gm.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			for _, path := range tc.paths {
				method := "GET"
				if before, after, named := strings.Cut(path, " "); named {
					method, path = before, after
				}
				text := method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
				if method == "UPLOAD" {
					text = upload(false, "", uploadBytes, uploadBytes-1)
					text = strings.Replace(text, "/upload", path, 1)
				}
				_, err = io.WriteString(conn, text)
				gm.Expect(err).NotTo(HaveOccurred())
			}
			gm.Eventually(begun, "2s").Should(Receive())
			time.Sleep(50 * time.Millisecond)
			if tc.leaves {
				gm.Expect(conn.Close()).To(Succeed())
				gm.Eventually(ended, "2s").Should(Receive(BeFalse()))
				sv.EndRequests()
				return
			}
			sv.Drain()
			sv.StopTaking()
			sv.EndRequests()
			reader := bufio.NewReader(conn)
			for ix, status := range tc.statuses {
				rs, _ := readResponse(t, reader)
				gm.Expect(rs.StatusCode).To(Equal(status))
				gm.Expect(rs.Close).To(Equal(ix == len(tc.statuses)-1))
			}
			gm.Expect(ended).To(Receive(BeTrue()))
			_, err = reader.ReadByte()
			gm.Expect(err).To(MatchError(io.EOF))
		})
	}
}
