package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"chervilwalk/internal/base/httphead"
)

// Answer is the HTTP response of an upstream. What the router sends to a caller is
// an httpserver.Response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest follows Body in answers larger than BufferBytes; it must be closed.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes, or -1 if it is unknown.
	Length int64
	// Took is the time from the start of sending until Send had the answer.
	Took time.Duration
	// Reused reports whether the connection had been used before.
	Reused bool
	// endsWithConn reports whether the body ends where its connection does, since the header
	// states neither a length nor chunks.
	endsWithConn bool
}

const (
	// readBufferBytes is the size of each read buffer; it holds the header of an
	// answer.
	readBufferBytes = 4096
	// BufferBytes is the size up to which an answer is read whole before any of it
	// is passed on, so that the request can be retried if the answer breaks off.
	BufferBytes = 160 << 10
	// firstBufferBytes is the first size of the buffer for an answer that does not
	// state its length.
	firstBufferBytes = 10 << 10
	// maxHeadBytes bounds the status line and header of an answer.
	maxHeadBytes = 32 << 10
	// maxInterim bounds the interim answers (1xx) before an answer.
	maxInterim = 8
	// maxUnstatedBytes bounds the body of an answer that does not state its length.
	maxUnstatedBytes = 64 << 20
	// maxSkipped bounds the answers to other requests that are skipped on a
	// connection.
	maxSkipped = 3
)

// errWrongRequest means that the connection returned answers to other requests
// only.
var errWrongRequest = errors.New("connection returned answers to other requests only")

// errUnnamed means that the answer may belong to an earlier request on its connection.
var errUnnamed = errors.New("answer on a connection in use again does not state its request")

// errNoFinalAnswer means that the connection returned interim answers only.
var errNoFinalAnswer = errors.New("connection returned interim answers only")

// readAnswer skips answers to other requests and reads the one for this request.
func (pl *Pool) readAnswer(cn *conn, rq *Request) (*Answer, bool, error) {
	for range maxSkipped {
		rs, err := readHead(cn, rq)
		if err != nil {
			return nil, false, err
		}
		id := pl.requestID(rs.Header)
		if id == "" {
			return readUnnamed(cn, rs)
		}
		if id != rq.ID {
			if _, err := io.CopyN(io.Discard, rs.Body, BufferBytes+1); !errors.Is(err, io.EOF) {
				return nil, false, errWrongRequest
			}
			continue
		}
		return readBody(cn, rs)
	}
	return nil, false, errWrongRequest
}

// readUnnamed reads an answer that does not state which request it belongs to. On a connection
// that has carried another request it may be an earlier answer, written once more.
func readUnnamed(cn *conn, rs *http.Response) (*Answer, bool, error) {
	if cn.used {
		return nil, false, errUnnamed
	}
	an, _, err := readBody(cn, rs)
	return an, false, err
}

// readHead reads the status line and header of the next final answer; it skips
// interim ones (1xx).
func readHead(cn *conn, rq *Request) (*http.Response, error) {
	cn.source.Remaining = maxHeadBytes
	for range maxInterim {
		cn.head.start(cn.reader)
		rs, err := http.ReadResponse(cn.reader, &http.Request{Method: rq.Method})
		raw := cn.head.stop(cn.reader)
		if err != nil {
			return nil, err
		}
		if err := httphead.CheckParsed(rs, raw); err != nil {
			return nil, fmt.Errorf("malformed head of an answer: %w", err)
		}
		if rs.StatusCode >= http.StatusOK {
			cn.source.Remaining = maxUnstatedBytes
			if rs.ContentLength >= 0 {
				cn.source.Remaining = rs.ContentLength + readBufferBytes
			}
			rs.Body = checkedBody{rs.Body, rs}
			return rs, nil
		}
	}
	return nil, errNoFinalAnswer
}

// checkedBody is the body of an answer, which ends with an error if its trailer is malformed: the chunk
// before it may not have been the last one.
type checkedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (tb checkedBody) Read(buf []byte) (int, error) {
	count, err := tb.ReadCloser.Read(buf)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if err := httphead.CheckFields(tb.answer.Trailer); err != nil {
		return count, fmt.Errorf("malformed trailer of an answer: %w", err)
	}
	return count, err
}

// restReader reads the remainder of a large answer from its connection.
type restReader struct {
	io.Reader
	cn *conn
}

// Close closes the connection: it is not reused after a large answer.
func (rr restReader) Close() error { return rr.cn.Close() }

// readBody reads the body of an answer up to BufferBytes and reports whether the
// connection can be reused.
func readBody(cn *conn, rs *http.Response) (*Answer, bool, error) {
	framed := rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0
	an := &Answer{Status: rs.StatusCode, Header: rs.Header, Length: rs.ContentLength, endsWithConn: !framed && rs.Request.Method != http.MethodHead}
	body, whole, err := readUpTo(rs.Body, rs.ContentLength, BufferBytes)
	if err != nil {
		return nil, false, err
	}
	an.Body = body
	if !whole {
		an.Rest = restReader{Reader: rs.Body, cn: cn}
		return an, false, nil
	}
	count := int64(len(body))
	if rs.ContentLength >= 0 && count != rs.ContentLength && rs.Request.Method != http.MethodHead {
		return nil, false, io.ErrUnexpectedEOF
	}
	an.Length = count
	return an, framed && !rs.Close, nil
}

// readUpTo reads a body up to limit bytes and reports whether that was all of it.
// Its length is -1 if it is not stated; the buffer then grows with the body.
func readUpTo(from io.Reader, length int64, limit int) (body []byte, whole bool, err error) {
	size := int64(firstBufferBytes)
	if length >= 0 {
		size = length
	}
	body = make([]byte, 0, min(size, int64(limit))+1)
	for {
		count, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) > limit:
			return body, false, nil
		case len(body) == cap(body):
			grown := make([]byte, len(body), min(2*cap(body), limit+1))
			copy(grown, body)
			body = grown
		}
	}
}
