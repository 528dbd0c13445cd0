package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

// refuse answers with a status, a verdict and one line of text.
func refuse(cx *fasthttp.RequestCtx, er *verdict.Error) {
	cx.SetStatusCode(er.Status)
	cx.Response.Header.Set(VerdictHeader, er.Verdict.String())
	if er.RetryAfter > 0 {
		seconds := (er.RetryAfter + time.Second - 1) / time.Second
		cx.Response.Header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	cx.SetContentType("text/plain; charset=utf-8")
	cx.SetBodyString(er.Reason + "\n")
}

// relay streams an answer; a cut body breaks the caller's connection.
func relay(cx *fasthttp.RequestCtx, an *dispatch.Answer, cancel context.CancelFunc) {
	cx.SetStatusCode(an.Status)
	named := namedIn(an.Header.Values("Connection")...)
	for name, values := range an.Header {
		if endsHere(name, named) && name != inner.UpstreamHeader {
			continue
		}
		for _, value := range values {
			cx.Response.Header.Add(name, value)
		}
	}
	cx.Response.Header.Set(VerdictHeader, verdict.Ran.String())
	if string(cx.Method()) == http.MethodHead && an.Length >= 0 {
		cx.Response.Header.SetContentLength(int(an.Length))
	}
	cx.SetBodyStream(&stream{answer: an, cancel: cancel}, int(an.Length))
}

// stream closes the answer and its context after the last byte. An error, once
// given, is given again, since the writer may ask twice.
type stream struct {
	answer *dispatch.Answer
	cancel context.CancelFunc
	err    error
}

// Read reads the answer's body; a panic below it cuts this answer alone.
func (st *stream) Read(buffer []byte) (count int, err error) {
	if st.err != nil {
		return 0, st.err
	}
	defer func() {
		if cause := recover(); cause != nil {
			count, err = 0, fmt.Errorf("reading an answer panicked: %v: %w", cause, io.ErrUnexpectedEOF)
		}
		st.err = err
	}()
	return st.answer.Body.Read(buffer)
}

// Close ends the answer; one that was not read to its end is broken off.
func (st *stream) Close() error {
	err := st.answer.Body.Close()
	st.cancel()
	return err
}
