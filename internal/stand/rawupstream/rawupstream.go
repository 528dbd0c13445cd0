// Package rawupstream is a stand-in for an upstream in trouble. It answers with bytes that are
// given, sound or not, and ends its connections as told.
//
//	up, err := rawupstream.Start("127.0.0.1:0")
//	defer up.Close()
//	up.SetAnswer(rawupstream.Answer{Text: "HTTP/1.1 000 OK\r\nRequest-Id: {id}\r\n\r\n"})
package rawupstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// idPlace stands in an answer's text for the id of its request.
const idPlace = "{id}"

// resetDelay passes between an end in order and a reset, so that the client has all bytes by then.
const resetDelay = 50 * time.Millisecond

// End is what follows an answer.
type End int

const (
	// KeepOpen reads the rest of the request and then the next one.
	KeepOpen End = iota
	// Finish ends the connection in order: what the client still sends is read.
	Finish
	// FinishUnread ends the answer in order and resets the connection later.
	FinishUnread
	// Reset resets the connection.
	Reset
)

// Answer is what the upstream sends for a request.
type Answer struct {
	// Text is sent as it is, with the request's id wherever it holds {id}.
	Text string
	// Early answers when the request's head was read, before its body.
	Early bool
	End   End
}

// Upstream is a running stand-in. It is safe for concurrent use.
type Upstream struct {
	listener net.Listener
	group    sync.WaitGroup

	mu     sync.Mutex
	answer Answer
	ids    []string
	conns  map[net.Conn]bool
}

// Start starts an upstream at an address, an IP and port. Port 0 picks a free one.
func Start(address string) (*Upstream, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	up := &Upstream{listener: ln, conns: map[net.Conn]bool{}}
	up.group.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			up.mu.Lock()
			up.conns[conn] = true
			up.mu.Unlock()
			up.group.Go(func() { up.serve(conn) })
		}
	})
	return up, nil
}

// Address returns the IP:PORT that the upstream listens on.
func (up *Upstream) Address() string { return up.listener.Addr().String() }

// SetAnswer sets the answer to all requests from now on.
func (up *Upstream) SetAnswer(an Answer) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.answer = an
}

// Count returns how many requests with an id have arrived.
func (up *Upstream) Count(id string) int {
	up.mu.Lock()
	defer up.mu.Unlock()
	count := 0
	for _, known := range up.ids {
		if known == id {
			count++
		}
	}
	return count
}

// Close stops the upstream and closes its connections.
func (up *Upstream) Close() {
	_ = up.listener.Close()
	up.mu.Lock()
	for conn := range up.conns {
		_ = conn.Close()
	}
	up.mu.Unlock()
	up.group.Wait()
}

func (up *Upstream) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		up.mu.Lock()
		delete(up.conns, conn)
		up.mu.Unlock()
	}()
	for reader := bufio.NewReader(conn); ; {
		rq, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := rq.Header.Get("Request-Id")
		up.mu.Lock()
		an := up.answer
		up.ids = append(up.ids, id)
		up.mu.Unlock()
		if !an.Early {
			if _, err := io.Copy(io.Discard, rq.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(an.Text, idPlace, id)); err != nil {
			return
		}
		if an.End != KeepOpen {
			end(conn, an.End)
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
	}
}

// end ends a connection.
func end(conn net.Conn, end End) {
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if end != Reset && tc.CloseWrite() != nil {
		return
	}
	switch end {
	case Finish:
		_, _ = io.Copy(io.Discard, tc)
		return
	case FinishUnread:
		time.Sleep(resetDelay)
	}
	// If this fails, the connection is closed without a reset.
	_ = tc.SetLinger(0)
}
