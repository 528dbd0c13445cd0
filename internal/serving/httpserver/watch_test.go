package httpserver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/serving/httpserver"
)

// uploadBytes is the size of a body that is not kept in memory and whose rest fits into the buffers of its
// connection.
const uploadBytes = httpserver.BufferBytes + 30<<10

// upload returns the bytes of a request with a large body. Only sent bytes of the body follow.
func upload(chunked bool, field string, size, sent int) string {
	head := "POST /upload HTTP/1.1\r\nHost: h\r\n" + field
	if !chunked {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("u", sent)
	}
	text := head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", sent, strings.Repeat("u", sent))
	if sent == size {
		text += "0\r\n\r\n"
	}
	return text
}

// TestCallerOfUploadLeaves guards against uploads that are sent to upstreams although their callers have
// taken them back: nobody reads from the connection while they wait.
func TestCallerOfUploadLeaves(t *testing.T) {
	closes := func(conn net.Conn) error { return conn.Close() }
	reset := func(conn net.Conn) error {
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			return err
		}
		return conn.Close()
	}
	halfClose := func(conn net.Conn) error { return conn.(*net.TCPConn).CloseWrite() }
	const waits = "GET /waits HTTP/1.1\r\nHost: h\r\n\r\n"
	cases := map[string]struct {
		sent  string
		leave func(net.Conn) error
		// handled is how many requests are handled before the caller leaves.
		handled int
		// reads makes the handler of the upload read a part of the rest before it waits.
		reads bool
	}{
		"a body with a length":             {sent: upload(false, "", uploadBytes, uploadBytes), leave: closes, handled: 1},
		"a body in chunks":                 {sent: upload(true, "", uploadBytes, uploadBytes), leave: closes, handled: 1},
		"after an interim response":        {sent: upload(false, "Expect: 100-continue\r\n", uploadBytes, uploadBytes), leave: closes, handled: 1},
		"a body that is not whole":         {sent: upload(false, "", uploadBytes, uploadBytes-1), leave: closes, handled: 1},
		"by a reset":                       {sent: upload(false, "", uploadBytes, uploadBytes), leave: reset, handled: 1},
		"by a half close, as others do":    {sent: upload(false, "", uploadBytes, uploadBytes), leave: halfClose, handled: 1},
		"a part was passed on":             {sent: upload(false, "", uploadBytes, uploadBytes), leave: closes, handled: 1, reads: true},
		"a reset of a body in the buffers": {sent: upload(false, "", 900<<10, httpserver.BufferBytes+64<<10), leave: reset, handled: 1},
		"behind a request ahead":           {sent: waits + upload(false, "", uploadBytes, uploadBytes), leave: closes, handled: 1},
		"behind one ahead, with more":      {sent: waits + "POST /small HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nu" + waits, leave: closes, handled: 1},
		"requests ahead fill the queue":    {sent: strings.Repeat(waits, 40), leave: closes, handled: 17},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			begun, left := make(chan struct{}, 64), make(chan struct{}, 64)
			conn, _ := serveWithin(t, func(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
				if tc.reads {
					if _, err := io.ReadFull(rq.Rest, make([]byte, 100)); err != nil {
						return nil
					}
				}
				begun <- struct{}{}
				select {
				case <-ctx.Done():
					left <- struct{}{}
				case <-time.After(2 * time.Second):
				}
				return nil
			}, limits)
			go func() { _, _ = io.WriteString(conn, tc.sent) }()
			for range tc.handled {
				gm.Eventually(begun, "2s").Should(Receive())
			}
			gm.Consistently(left, "300ms").ShouldNot(Receive(), "the caller is there")
			gm.Expect(tc.leave(conn)).To(Succeed())
			for range tc.handled {
				gm.Eventually(left, "400ms").Should(Receive())
			}
		})
	}
}

// TestCallerLeavesBehindLongBody guards against a body that is larger than the buffers of its connection
// and hides that its caller has left, until all of it was passed on.
func TestCallerLeavesBehindLongBody(t *testing.T) {
	const bodyBytes = 1 << 20
	for name, leaves := range map[string]bool{"the caller has left": true, "it is there": false} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", chunked ", chunked), func(t *testing.T) {
				t.Parallel()
				gm := NewWithT(t)
				gone, ends := make(chan struct{}), make(chan error, 1)
				conn, from := serveWithin(t, func(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
					<-gone
					count, err := io.Copy(io.Discard, rq.Rest)
					if err == nil && count+int64(len(rq.Body)) != bodyBytes {
						err = fmt.Errorf("got %d bytes of %d", count, bodyBytes)
					}
					if err == nil {
						err = ctx.Err()
					}
					ends <- err
					return &httpserver.Response{Status: http.StatusOK, Header: http.Header{}}
				}, func() httpserver.Limits {
					lm := limits()
					lm.BodyBytes = bodyBytes
					return lm
				})
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = io.WriteString(conn, upload(chunked, "", bodyBytes, bodyBytes))
				}()
				if leaves {
					// What is still to be sent goes on; the end follows it.
					gm.Expect(conn.(*net.TCPConn).SetWriteBuffer(4 << 20)).To(Succeed())
					gm.Eventually(written, "2s").Should(BeClosed())
					gm.Expect(conn.Close()).To(Succeed())
					time.Sleep(50 * time.Millisecond)
				}
				close(gone)
				var err error
				gm.Eventually(ends, "3s").Should(Receive(&err))
				if leaves {
					gm.Expect(err).To(MatchError(context.Canceled))
					return
				}
				gm.Expect(err).NotTo(HaveOccurred())
				rs, _ := readResponse(t, from)
				gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
			})
		}
	}
}

// TestSlowUploads guards against bodies that are damaged, and connections that hang, as the connection is
// watched between the reads of a body that comes in pieces.
func TestSlowUploads(t *testing.T) {
	const bodyBytes, pieces = 300_000, 60
	gm := NewWithT(t)
	conn, from := serveWithin(t, func(ctx context.Context, rq *httpserver.Request) *httpserver.Response {
		sum := 0
		for _, ch := range rq.Body {
			sum += int(ch)
		}
		buf := make([]byte, 10_000)
		for {
			count, err := rq.Rest.Read(buf)
			for _, ch := range buf[:count] {
				sum += int(ch)
			}
			if err == io.EOF {
				break
			}
			if err != nil || ctx.Err() != nil {
				return nil
			}
			time.Sleep(time.Millisecond)
		}
		return &httpserver.Response{Status: http.StatusOK, Header: http.Header{}, Body: fmt.Append(nil, sum)}
	}, limits)
	body := make([]byte, bodyBytes)
	want := 0
	for ix := range body {
		body[ix] = byte(ix * 7)
		want += int(body[ix])
	}
	for range 2 {
		_, err := fmt.Fprintf(conn, "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		gm.Expect(err).NotTo(HaveOccurred())
		for piece := range pieces {
			_, err := conn.Write(body[piece*bodyBytes/pieces : (piece+1)*bodyBytes/pieces])
			gm.Expect(err).NotTo(HaveOccurred())
			time.Sleep(2 * time.Millisecond)
		}
		rs, text := readResponse(t, from)
		gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
		gm.Expect(text).To(Equal(fmt.Sprint(want)))
	}
}

// TestReadBehindUpload guards against a body that is read again behind its end, while the connection is
// read for the next request, and replaces the deadline of that request.
func TestReadBehindUpload(t *testing.T) {
	for name, chunked := range map[string]bool{"a body with a length": false, "a body in chunks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			ended, again := make(chan struct{}), make(chan struct{})
			conn, from := serveWithin(t, func(_ context.Context, rq *httpserver.Request) *httpserver.Response {
				_, _ = io.Copy(io.Discard, rq.Rest)
				close(ended)
				<-again
				count, err := rq.Rest.Read(make([]byte, 1))
				return &httpserver.Response{Status: http.StatusOK, Header: http.Header{}, Body: fmt.Append(nil, count, " ", err)}
			}, limits)
			_, err := io.WriteString(conn, upload(chunked, "", uploadBytes, uploadBytes)+"GET /next HTT")
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Eventually(ended, "2s").Should(BeClosed())
			// The next request has its deadline by then.
			time.Sleep(100 * time.Millisecond)
			close(again)
			rs, text := readResponse(t, from)
			gm.Expect(rs.StatusCode).To(Equal(http.StatusOK))
			gm.Expect(text).To(Equal("0 EOF"))
			gm.Expect(conn.SetReadDeadline(time.Now().Add(4 * limits().HeaderTimeout))).To(Succeed())
			rs, _ = readResponse(t, from)
			gm.Expect(rs.StatusCode).To(Equal(http.StatusRequestTimeout))
		})
	}
}
