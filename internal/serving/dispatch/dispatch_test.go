package dispatch_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

// peer is an upstream by hand: it runs a script on each accepted connection.
func peer(t *testing.T, script func(conn net.Conn, reader *bufio.Reader, number int)) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := ls.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn), number)
			}()
		}
	}()
	return ls.Addr().String()
}

func request(method, body string) *http.Request {
	rq, err := http.NewRequest(method, "http://orders/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	return rq
}

func serveOne(reader *bufio.Reader) bool {
	rq, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	return true
}

func TestVerdictOfALostConnection(t *testing.T) {
	large := strings.Repeat("x", 8<<20)
	cases := map[string]struct {
		script  func(conn net.Conn, reader *bufio.Reader, number int)
		body    string
		refused bool
		want    verdict.Verdict
	}{
		"refused": {refused: true, want: verdict.NotRun},
		"while the request is written": {
			script: func(_ net.Conn, reader *bufio.Reader, _ int) { _, _ = reader.Peek(1) },
			body:   large, want: verdict.MayHaveRun,
		},
		"after the request": {
			script: func(_ net.Conn, reader *bufio.Reader, _ int) { serveOne(reader) },
			want:   verdict.MayHaveRun,
		},
		"within the answer's head": {
			script: func(conn net.Conn, reader *bufio.Reader, _ int) {
				serveOne(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 O")
			},
			want: verdict.MayHaveRun,
		},
		"within a short body": {
			script: func(conn net.Conn, reader *bufio.Reader, _ int) {
				serveOne(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc")
			},
			want: verdict.MayHaveRun,
		},
		"an end that is no proof of the whole": {
			script: func(conn net.Conn, reader *bufio.Reader, _ int) {
				serveOne(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nabc")
			},
			want: verdict.MayHaveRun,
		},
		"shed": {
			script: func(conn net.Conn, reader *bufio.Reader, _ int) {
				serveOne(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nChervilwalk-Refusal: shed\r\nContent-Length: 0\r\n\r\n")
			},
			want: verdict.NotRun,
		},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			address := "127.0.0.1:1"
			if !cs.refused {
				address = peer(t, cs.script)
			}
			ln := dispatch.New(address)
			defer ln.Close()
			_, err := ln.Do(t.Context(), request(http.MethodPost, cs.body))
			gm.Expect(err).To(HaveOccurred())
			gm.Expect(verdict.Of(err)).To(Equal(cs.want))
		})
	}
}

// A peer that closes a connection between two requests costs nothing; one that
// closes it after it took the second request leaves it in doubt.
func TestReusedConnectionThatIsClosed(t *testing.T) {
	cases := map[string]struct {
		takesSecond bool
		want        verdict.Verdict
	}{
		"before the second request": {want: verdict.Ran},
		"after the second request":  {takesSecond: true, want: verdict.MayHaveRun},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			closed := make(chan struct{})
			address := peer(t, func(conn net.Conn, reader *bufio.Reader, number int) {
				serveOne(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				if number == 0 && cs.takesSecond {
					serveOne(reader)
				}
				if number == 0 {
					_ = conn.Close()
					close(closed)
				}
			})
			ln := dispatch.New(address, dispatch.WithConnections(1))
			defer ln.Close()
			an, err := ln.Do(t.Context(), request(http.MethodPost, "one"))
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(an.Body.Close()).To(Succeed())
			if !cs.takesSecond {
				<-closed
			}
			_, err = ln.Do(t.Context(), request(http.MethodPost, "two"))
			if cs.want == verdict.Ran {
				gm.Expect(err).NotTo(HaveOccurred())
				return
			}
			gm.Expect(verdict.Of(err)).To(Equal(cs.want))
		})
	}
}

// An answer that comes after its caller has given up never reaches the next
// request, and no more connections are open than the lane may have.
func TestLateAnswerIsDropped(t *testing.T) {
	gm := NewWithT(t)
	release := make(chan struct{})
	address := peer(t, func(conn net.Conn, reader *bufio.Reader, number int) {
		serveOne(reader)
		if number == 0 {
			<-release
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
		serveOne(reader)
	})
	ln := dispatch.New(address, dispatch.WithConnections(1))
	defer ln.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := ln.Do(ctx, request(http.MethodGet, ""))
	gm.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
	close(release)
	an, err := ln.Do(t.Context(), request(http.MethodGet, ""))
	gm.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(an.Body)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(string(text)).To(Equal("1"))
}

// A second request waits while the lane's only connection is in use, and is
// refused as not run when its deadline passes.
func TestLaneKeepsItsBound(t *testing.T) {
	gm := NewWithT(t)
	release := make(chan struct{})
	defer close(release)
	address := peer(t, func(_ net.Conn, reader *bufio.Reader, _ int) {
		serveOne(reader)
		<-release
	})
	ln := dispatch.New(address, dispatch.WithConnections(1))
	defer ln.Close()
	sent := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_, err := ln.Do(ctx, request(http.MethodGet, ""))
		sent <- err
	}()
	gm.Consistently(sent, "20ms").ShouldNot(Receive())
	short, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	_, err := ln.Do(short, request(http.MethodGet, ""))
	gm.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	cancel()
	gm.Eventually(sent, "5s").Should(Receive())
}

// source is a body of which the test sees that it was closed.
type source struct {
	io.Reader
	closed chan struct{}
}

func (so *source) Close() error {
	close(so.closed)
	return nil
}

// A reader that reads nothing keeps an upstream only for what does not fit
// ahead of it, and gets the body, or its cut, unchanged.
func TestAheadFreesTheSourceBeforeItsReader(t *testing.T) {
	const fits, tooLarge = 900 << 10, 3 << 20
	cases := map[string]struct {
		size  int
		early bool
		err   error
	}{
		"fits":      {size: fits, early: true},
		"cut":       {size: fits, early: true, err: io.ErrUnexpectedEOF},
		"too large": {size: tooLarge},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			content := bytes.Repeat([]byte("0123456789abcde\n"), cs.size/16)
			reader := io.Reader(bytes.NewReader(content))
			if cs.err != nil {
				reader = io.MultiReader(reader, broken{err: cs.err})
			}
			so := &source{Reader: reader, closed: make(chan struct{})}
			bf := &dispatch.Buffers{}
			an := &dispatch.Answer{Length: -1, Body: so}
			bf.Ahead(an)
			if cs.early {
				gm.Eventually(so.closed, "5s").Should(BeClosed())
			} else {
				gm.Consistently(so.closed, "20ms").ShouldNot(BeClosed())
			}
			got, err := io.ReadAll(an.Body)
			gm.Expect(errors.Is(err, cs.err)).To(BeTrue())
			gm.Expect(bytes.Equal(got, content)).To(BeTrue())
			gm.Eventually(so.closed, "5s").Should(BeClosed())
			gm.Expect(an.Body.Close()).To(Succeed())
			gm.Expect(bf.Used()).To(BeZero())
		})
	}
}

type broken struct{ err error }

func (br broken) Read([]byte) (int, error) { return 0, br.err }
