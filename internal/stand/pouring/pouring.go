// Package pouring is a server that sends bytes without end.
//
//	sv, err := pouring.Start("HTTP/1.1 200 OK\r\n\r\n", "x")
//	defer sv.Close()
package pouring

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
)

// blockBytes is about how many bytes are sent at once.
const blockBytes = 16 << 10

// Server is a running server.
type Server struct {
	listener net.Listener
	group    sync.WaitGroup
}

// Start starts a server on loopback that answers the first request of each connection with a text
// and then repeats another one until its client closes the connection.
func Start(begin, repeated string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sv := &Server{listener: ln}
	block := []byte(strings.Repeat(repeated, blockBytes/len(repeated)))
	sv.group.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go pour(conn, []byte(begin), block)
		}
	})
	return sv, nil
}

// Address returns the IP:PORT that the server listens on.
func (sv *Server) Address() string { return sv.listener.Addr().String() }

// Close closes the listener. Connections end with their clients.
func (sv *Server) Close() {
	_ = sv.listener.Close()
	sv.group.Wait()
}

func pour(conn net.Conn, begin, block []byte) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	// In one write, so that the first of the bytes are there with the beginning.
	_, err := conn.Write(append(begin, block...))
	for err == nil {
		_, err = conn.Write(block)
	}
}
