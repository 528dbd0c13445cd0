package transport_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/internal/stand/rawupstream"
)

// upload is the rest of a body that its caller sends without a pause.
type upload struct {
	left    int
	reads   atomic.Int64
	stopped atomic.Bool
}

func (ul *upload) Read(buf []byte) (int, error) {
	ul.reads.Add(1)
	if ul.stopped.Load() {
		return 0, errors.New("stopped")
	}
	if ul.left == 0 {
		return 0, io.EOF
	}
	count := min(len(buf), ul.left)
	ul.left -= count
	return count, nil
}

func (ul *upload) Stop() { ul.stopped.Store(true) }

func (ul *upload) Err() error { return nil }

// awaitEndOfWrites returns once no more of the upload is read.
func (ul *upload) awaitEndOfWrites() {
	for before := int64(-1); before != ul.reads.Load(); time.Sleep(100 * time.Millisecond) {
		before = ul.reads.Load()
	}
}

// TestEndDuringUpload guards against an answer without a length whose connection was reset while the
// request was written, and that passes for whole: the writer of the request was told of the reset, and
// the reader of the answer sees an ordinary end.
func TestEndDuringUpload(t *testing.T) {
	const bodyBytes = 64 << 20
	head := "HTTP/1.1 200 OK\r\nId: {id}\r\n"
	part := strings.Repeat("p", 1000)
	cases := map[string]struct {
		answer rawupstream.Answer
		// body is the length of the answer that passes for whole; -1 for none.
		body int
	}{
		"reset, no length":              {rawupstream.Answer{Text: head + "\r\n" + part, End: rawupstream.Reset}, -1},
		"reset, no length, no body":     {rawupstream.Answer{Text: head + "\r\n", End: rawupstream.Reset}, -1},
		"reset, no length, large":       {rawupstream.Answer{Text: head + "\r\n" + strings.Repeat(part, 300), End: rawupstream.Reset}, -1},
		"reset, chunks that end":        {rawupstream.Answer{Text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", End: rawupstream.Reset}, 4},
		"reset, chunks that do not end": {rawupstream.Answer{Text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", End: rawupstream.Reset}, -1},
		"reset, whole length":           {rawupstream.Answer{Text: head + "Content-Length: 1000\r\n\r\n" + part, End: rawupstream.Reset}, 1000},
		"reset, part of its length":     {rawupstream.Answer{Text: head + "Content-Length: 1001\r\n\r\n" + part, End: rawupstream.Reset}, -1},
		"end in order, no length":       {rawupstream.Answer{Text: head + "\r\n" + part, End: rawupstream.Finish}, 1000},
		"end in order, then a reset":    {rawupstream.Answer{Text: head + "\r\n" + part, End: rawupstream.FinishUnread}, 1000},
	}
	for name, tc := range cases {
		for _, chunked := range []bool{false, true} {
			title := name + ", upload with a length"
			if chunked {
				title = name + ", upload in chunks"
			}
			t.Run(title, func(t *testing.T) {
				gm := NewWithT(t)
				up, err := rawupstream.Start("127.0.0.1:0")
				gm.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(up.Close)
				tc.answer.Early = true
				up.SetAnswer(tc.answer)
				ul := &upload{left: bodyBytes}
				pl := transport.New(func(hd http.Header) ident.Request {
					if tc.answer.End != rawupstream.Finish {
						// The body is read after the writer has met the reset.
						ul.awaitEndOfWrites()
					}
					return requestID(hd)
				})
				t.Cleanup(pl.Close)
				rq := request()
				rq.Header.Set("Request-Id", string(rq.ID))
				rq.Method, rq.Rest, rq.Length, rq.Chunked, rq.Repeatable = http.MethodPost, ul, bodyBytes, chunked, false
				rq.Deadline = time.Now().Add(5 * time.Second)
				rq.RestDeadline = rq.Deadline
				an, err := pl.Send(t.Context(), transport.Target{ID: "u", Address: up.Address()}, rq)
				if err == nil && an.Rest != nil {
					// The reset has come after the first part of the answer was read.
					_, err = io.Copy(io.Discard, an.Rest)
					gm.Expect(errors.Join(err, an.Rest.Close())).To(HaveOccurred(), "the answer passed for whole")
					return
				}
				if tc.body >= 0 {
					gm.Expect(err).NotTo(HaveOccurred())
					gm.Expect(an.Body).To(HaveLen(tc.body))
					return
				}
				var fl *transport.Failure
				gm.Expect(errors.As(err, &fl)).To(BeTrue(), "the answer passed for whole")
				gm.Expect(fl.Sent).To(BeTrue())
				gm.Expect(fl.Closed).To(BeTrue())
				gm.Expect(fl.TimedOut).To(BeFalse())
			})
		}
	}
}
