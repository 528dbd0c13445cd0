package transport

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"chervilwalk/internal/base/ident"
)

// Request is a request to an upstream.
type Request struct {
	ID     ident.Request
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Rest follows Body if the body is too large to be kept in memory. A request
	// can't be sent again once a part of Rest was read.
	Rest Rest
	// Chunked reports that the length of the body is unknown.
	Chunked bool
	// Length is the length of the whole body in bytes, if it is known.
	Length int64
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Deadline is when Send stops waiting, RestDeadline when the Rest of an answer breaks off.
	Deadline, RestDeadline time.Time
}

// Rest is the part of a body that is read from the caller while it is sent.
type Rest interface {
	io.Reader
	// Stop makes the current and all later reads fail.
	Stop()
	// Err returns the error with which the caller's body broke off, or nil.
	Err() error
}

// write writes the request line, the header and the body.
func (rq *Request) write(to io.Writer) error {
	var head bytes.Buffer
	head.Grow(1024 + min(len(rq.Body), readBufferBytes))
	head.WriteString(rq.Method + " " + rq.URI + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	switch {
	case rq.Chunked && rq.Rest != nil:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case rq.Rest != nil:
		head.WriteString("Content-Length: " + strconv.FormatInt(rq.Length, 10) + "\r\n")
	case len(rq.Body) > 0 || rq.Method == http.MethodPost || rq.Method == http.MethodPut || rq.Method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	if err := rq.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if rq.Rest == nil && len(rq.Body) <= readBufferBytes {
		head.Write(rq.Body)
		_, err := to.Write(head.Bytes())
		return err
	}
	if _, err := to.Write(head.Bytes()); err != nil {
		return err
	}
	if rq.Rest == nil {
		_, err := to.Write(rq.Body)
		return err
	}
	return rq.writeRest(to)
}

// writeRest writes a body that is too large to be kept in memory.
func (rq *Request) writeRest(to io.Writer) error {
	body := io.MultiReader(bytes.NewReader(rq.Body), rq.Rest)
	if !rq.Chunked {
		_, err := io.Copy(to, body)
		return err
	}
	buf := make([]byte, 16<<10)
	for {
		count, err := body.Read(buf)
		if count > 0 {
			chunk := append([]byte(strconv.FormatInt(int64(count), 16)+"\r\n"), buf[:count]...)
			if _, err := to.Write(append(chunk, '\r', '\n')); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := io.WriteString(to, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}
