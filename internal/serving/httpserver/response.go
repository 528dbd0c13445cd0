package httpserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeResponses writes the responses in the order of their requests.
func (cn *connection) writeResponses() {
	broken := false
	for pr := range cn.pipeline {
		rs := <-pr.response
		if !broken {
			broken = !cn.writeResponse(pr, rs)
		}
		if !broken && rs.Rest != nil {
			close(pr.settled)
		}
		if broken {
			cn.abort()
			cn.reportUnanswered(pr)
		}
		if rs != nil && rs.Rest != nil {
			_ = rs.Rest.Close()
		}
		cn.mu.Lock()
		if cn.inFlight.Add(-1) == 0 {
			cn.idleSince = time.Now()
		}
		if cn.lingering && cn.inFlight.Load() == 0 {
			_ = cn.raw.SetReadDeadline(time.Unix(1, 0))
		}
		cn.wake()
		cn.mu.Unlock()
	}
}

// abort closes a connection whose next response cannot be written.
func (cn *connection) abort() {
	cn.cancel()
	cn.mu.Lock()
	cn.closing, cn.told = true, true
	cn.wake()
	cn.mu.Unlock()
	if tc, ok := cn.raw.(*net.TCPConn); ok {
		// The reset tells the caller that no response will follow.
		_ = tc.SetLinger(0)
	}
	_ = cn.raw.Close()
}

// writeResponse writes a response and reports whether the connection is still
// usable.
func (cn *connection) writeResponse(pr *pendingRequest, rs *Response) bool {
	if rs == nil {
		cn.noteEnd(NoResponse, nil)
		return false
	}
	last := cn.closesAfter(pr, rs)
	var out bytes.Buffer
	out.Grow(512 + len(rs.Body))
	out.WriteString("HTTP/1.1 " + strconv.Itoa(rs.Status) + " " + http.StatusText(rs.Status) + "\r\n")
	chunked := rs.Rest != nil && rs.Length < 0 && pr.http11
	switch {
	case chunked:
		out.WriteString("Transfer-Encoding: chunked\r\n")
	case rs.Rest != nil && rs.Length >= 0:
		out.WriteString("Content-Length: " + strconv.FormatInt(rs.Length, 10) + "\r\n")
	case rs.Rest == nil && rs.Status != http.StatusNoContent && rs.Status != http.StatusNotModified && !pr.isHead:
		out.WriteString("Content-Length: " + strconv.Itoa(len(rs.Body)) + "\r\n")
	}
	if last {
		out.WriteString("Connection: close\r\n")
	}
	if err := rs.Header.Write(&out); err != nil {
		cn.noteEnd(WriteFailed, err)
		return false
	}
	out.WriteString("\r\n")
	if !pr.isHead && !chunked {
		out.Write(rs.Body)
	}
	count, err := cn.write(out.Bytes())
	pr.begun = count > 0
	if err != nil {
		cn.noteEnd(WriteFailed, err)
		return false
	}
	return rs.Rest == nil || pr.isHead || cn.writeRest(rs, chunked)
}

// write writes to the caller, with the whole write timeout.
func (cn *connection) write(part []byte) (int, error) {
	_ = cn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	return cn.raw.Write(part)
}

// closesAfter reports whether the connection closes after this response. Every
// request that was already read is still answered first.
func (cn *connection) closesAfter(pr *pendingRequest, rs *Response) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	unframed := rs.Rest != nil && rs.Length < 0 && !pr.http11
	if unframed || cn.server.draining.Load() || cn.inFlight.Load() == 1 && (pr.close || cn.closing) {
		cn.closing = true
		cn.wake()
		if !unframed && !cn.lingering && cn.inFlight.Load() == 1 {
			// readRequests may be waiting for the next request. While others are in flight it
			// notices if their caller leaves.
			_ = cn.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		}
	}
	last := cn.closing && cn.inFlight.Load() == 1
	cn.told = cn.told || last
	return last
}

// writeRest streams the rest of a large body and reports whether all of it was written.
func (cn *connection) writeRest(rs *Response, chunked bool) bool {
	// A caller that leaves ends the read of a rest that does not come.
	stop := context.AfterFunc(cn.ctx, func() { _ = rs.Rest.Close() })
	defer stop()
	body := io.MultiReader(bytes.NewReader(rs.Body), rs.Rest)
	if !chunked {
		body = rs.Rest
	}
	buf := make([]byte, 32<<10)
	for {
		count, readErr := body.Read(buf)
		if count > 0 {
			part := buf[:count]
			if chunked {
				part = append(append([]byte(strconv.FormatInt(int64(count), 16)+"\r\n"), part...), '\r', '\n')
			}
			if _, err := cn.write(part); err != nil {
				cn.noteEnd(WriteFailed, err)
				return false
			}
		}
		switch {
		case readErr == nil:
		case !errors.Is(readErr, io.EOF):
			cn.noteEnd(ResponseBrokeOff, readErr)
			return false
		case chunked:
			if _, err := cn.write([]byte("0\r\n\r\n")); err != nil {
				cn.noteEnd(WriteFailed, err)
				return false
			}
			return true
		default:
			return true
		}
	}
}
