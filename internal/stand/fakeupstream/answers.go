package fakeupstream

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Pours returns the number of answers without end so far.
func (up *Upstream) Pours() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.pours
}

// Sign returns the signature of an answer to a request, which the header
// Response-Seal carries.
func Sign(request string, body []byte) string {
	sum := sha256.Sum256(append([]byte(request+"\x00"), body...))
	return hex.EncodeToString(sum[:8])
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(rw http.ResponseWriter) {
	hj, ok := rw.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hj.Hijack()
	if err != nil {
		return
	}
	if tc, ok := conn.(*net.TCPConn); ok {
		// If this fails, the connection is closed without a reset.
		_ = tc.SetLinger(0)
	}
	_ = conn.Close()
}

// writeAnswer writes an answer. draw is a random number from 0 to 1 that decides
// which of the faults applies to it.
func (up *Upstream) writeAnswer(rw http.ResponseWriter, id string, status int, load string, body []byte, fl Faults, draw float64) {
	reply := make([]byte, max(up.cf.AnswerBytes, 1))
	for ix := range reply {
		reply[ix] = 'a' + byte(ix%26)
	}
	reply = append(reply, body...)
	rw.Header().Set("Server-Load", load)
	up.mu.Lock()
	// It may have changed while the request ran.
	up.setLimitHeader(rw)
	up.mu.Unlock()
	rw.Header().Set("Response-Seal", Sign(id, reply))
	switch {
	case draw < fl.Reset:
		resetConnection(rw)
	case draw < fl.Reset+fl.Truncate:
		rw.Header().Set("Content-Length", strconv.Itoa(len(reply)+10))
		rw.WriteHeader(status)
		_, _ = rw.Write(reply)
		panic(http.ErrAbortHandler)
	case draw < fl.Reset+fl.Truncate+fl.Stray:
		up.writeStrayAnswer(rw, id, status, load, reply)
	case draw < fl.Reset+fl.Truncate+fl.Stray+fl.Pour:
		up.mu.Lock()
		up.pours++
		up.mu.Unlock()
		pour(rw, id, draw)
	default:
		rw.WriteHeader(status)
		// An error means that the client has disconnected.
		_, _ = rw.Write(reply)
	}
}

// pour answers with bytes without end: a head that does not end, a body without a
// length, or chunks, whichever draw selects.
func pour(rw http.ResponseWriter, id string, draw float64) {
	hj, ok := rw.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hj.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n"
	kinds := [][2]string{{head, "X-A: b\r\n"}, {head + "\r\n", "x"}, {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}}
	kind := kinds[int(draw*1e6)%len(kinds)]
	block := []byte(strings.Repeat(kind[1], 4096))
	_, err = io.WriteString(conn, kind[0])
	for err == nil {
		_, err = conn.Write(block)
	}
}

// writeStrayAnswer writes an answer to another request before the right one.
func (up *Upstream) writeStrayAnswer(rw http.ResponseWriter, id string, status int, load string, reply []byte) {
	hj, ok := rw.(http.Hijacker)
	if !ok {
		return
	}
	conn, out, err := hj.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, request := range []string{"stray-" + id, id} {
		fmt.Fprintf(out, "HTTP/1.1 %d OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, request, Sign(request, reply), load, len(reply), reply)
	}
	_ = out.Flush()
}
