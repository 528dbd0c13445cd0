// Package dispatch sends one request to one upstream over connections that it
// owns, and knows after every failure whether the request may have run.
//
//	ln := dispatch.New("127.0.0.1:7101", dispatch.WithConnections(2))
//	an, err := ln.Do(ctx, rq)
//	defer an.Body.Close()
package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/serving/verdict"
)

const (
	// defaultConnections is the bound of a lane that is told none.
	defaultConnections = 2
	// wholeBytes is the length up to which an answer is read whole before its
	// head is passed on. A cut within it is an error and no broken answer.
	wholeBytes = 64 << 10
)

// Errors of Cancel.
var (
	// ErrNotConfirmed says that the upstream did not confirm a cancellation, so
	// that the request's slot must be taken to be in use.
	ErrNotConfirmed = eris.New("dispatch: the upstream did not confirm the cancellation")
)

// Answer is an upstream's answer. Body must be closed; a body that was cut ends
// in an error, never in io.EOF.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; -1 when it comes in chunks.
	Length int64
	Body   io.ReadCloser
}

// Lane is the connections to one upstream: a bounded number for requests and
// one for control. Its methods may be called from many goroutines.
type Lane struct {
	address string
	// permits holds one item for each connection that carries a request.
	permits chan struct{}
	control *http.Client

	mu     sync.Mutex
	idle   []*link
	closed bool
}

// Option changes a lane at its making.
type Option func(*Lane)

// WithConnections bounds the connections for requests. As many as the
// upstream has slots are enough.
func WithConnections(count int) Option {
	return func(ln *Lane) { ln.permits = make(chan struct{}, max(1, count)) }
}

// New makes the lane to an IP and port; it dials when first needed.
func New(address string, opts ...Option) *Lane {
	ln := &Lane{
		address: address,
		permits: make(chan struct{}, defaultConnections),
		control: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}},
	}
	for _, opt := range opts {
		opt(ln)
	}
	return ln
}

// Close closes the idle connections; those in use close when they are done.
func (ln *Lane) Close() {
	ln.control.CloseIdleConnections()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.closed = true
	for _, lk := range ln.idle {
		_ = lk.conn.Close()
	}
	ln.idle = nil
}

// Do sends the request once and returns the head of the answer. Errors are
// *verdict.Error. The context's end breaks the connection.
func (ln *Lane) Do(ctx context.Context, rq *http.Request) (*Answer, error) {
	select {
	case ln.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, tooLate()
	}
	answer, lk, err := ln.exchange(ctx, rq)
	if err != nil {
		<-ln.permits
		return nil, err
	}
	bd := &body{lane: ln, link: lk, answer: answer}
	bd.stop = context.AfterFunc(ctx, lk.abort)
	an := &Answer{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, Body: bd}
	if err := ln.check(ctx, an, answer); err != nil {
		_ = bd.Close()
		return nil, err
	}
	return an, nil
}

func tooLate() *verdict.Error {
	return verdict.Refuse(http.StatusGatewayTimeout, "the deadline passed before the request was sent", 0)
}

// exchange sends the request and reads the head of its answer. A connection
// that took no byte of the request is replaced, since that proves that the
// request was not run.
func (ln *Lane) exchange(ctx context.Context, rq *http.Request) (*http.Response, *link, error) {
	for {
		lk, err := ln.take(ctx)
		if err != nil {
			return nil, nil, notConnected(ctx)
		}
		stop := context.AfterFunc(ctx, lk.abort)
		answer, err := lk.exchange(rq)
		stop()
		if err == nil {
			return answer, lk, nil
		}
		_ = lk.conn.Close()
		if lk.reused && lk.written == 0 && ctx.Err() == nil {
			if err := rewind(rq); err != nil {
				return nil, nil, verdict.Refuse(http.StatusBadGateway, "the upstream closed the connection", 0)
			}
			continue
		}
		return nil, nil, lk.verdict(ctx)
	}
}

// rewind makes the request's body readable from its start again.
func rewind(rq *http.Request) error {
	if rq.GetBody == nil {
		return nil
	}
	var err error
	rq.Body, err = rq.GetBody()
	return err
}

func notConnected(ctx context.Context) *verdict.Error {
	if ctx.Err() != nil {
		return tooLate()
	}
	er := verdict.Refuse(http.StatusBadGateway, "the upstream refused the connection", 0)
	er.Refusal = verdict.Unreachable
	return er
}

// refused is the error of an answer that says the request was not run.
func refused(word string) *verdict.Error {
	er := verdict.Refuse(http.StatusServiceUnavailable, "the upstream refused: "+word, 0)
	switch word {
	case control.RefusalStale:
		er.Refusal = verdict.StaleToken
	case control.RefusalCancelled:
		er.Refusal = verdict.Cancelled
	default:
		er.Refusal = verdict.Shed
	}
	return er
}

// check turns answers that are none into errors, and reads short ones whole.
func (ln *Lane) check(ctx context.Context, an *Answer, answer *http.Response) error {
	if refusal := answer.Header.Get(control.RefusalHeader); refusal != "" {
		_, _ = io.CopyN(io.Discard, an.Body, wholeBytes)
		return refused(refusal)
	}
	headOnly := answer.Request.Method == http.MethodHead
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && !headOnly {
		return verdict.Doubt(http.StatusBadGateway, "the upstream's answer has neither length nor chunks")
	}
	if answer.ContentLength < 0 || answer.ContentLength > wholeBytes {
		return nil
	}
	whole, err := io.ReadAll(an.Body)
	if err != nil {
		return cutOff(ctx)
	}
	_ = an.Body.Close()
	an.Body = io.NopCloser(bytes.NewReader(whole))
	return nil
}

func cutOff(ctx context.Context) *verdict.Error {
	if ctx.Err() != nil {
		return verdict.Doubt(http.StatusGatewayTimeout, "the deadline passed while the upstream answered")
	}
	return verdict.Doubt(http.StatusBadGateway, "the upstream cut its answer")
}

// Cancel asks the upstream to give up a request. It returns nil once the
// upstream has confirmed that the request's slot is free.
func (ln *Lane) Cancel(ctx context.Context, id ident.Request) error {
	target := "http://" + ln.address + control.CancelPath + "?id=" + url.QueryEscape(string(id))
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return err
	}
	rs, err := ln.control.Do(rq)
	if err != nil {
		return errors.Join(ErrNotConfirmed, err)
	}
	_, _ = io.CopyN(io.Discard, rs.Body, wholeBytes)
	_ = rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return ErrNotConfirmed
	}
	return nil
}
