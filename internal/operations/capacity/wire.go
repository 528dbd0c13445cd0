package capacity

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// segmentBytes is what TCP and IP add to one segment, in bytes.
const segmentBytes = 52

// wire counts what crosses the connections that a listener accepts: the bytes
// of the payload, and for each write one segment of TCP and IP.
type wire struct {
	net.Listener
	bytes    atomic.Int64
	segments atomic.Int64
}

// listenWire listens on loopback.
func listenWire() (*wire, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &wire{Listener: ls}, nil
}

// Accept counts on the connection that it returns.
func (wi *wire) Accept() (net.Conn, error) {
	cn, err := wi.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &wireConn{Conn: cn, wire: wi}, nil
}

// total is the bytes so far, both ways, with the segments' headers.
func (wi *wire) total() float64 {
	return float64(wi.bytes.Load() + segmentBytes*wi.segments.Load())
}

// serve runs a server on the wire; the returned function stops it.
func (wi *wire) serve(server *http.Server) func() {
	server.ReadHeaderTimeout = time.Second
	go func() { _ = server.Serve(wi) }()
	return func() { _ = server.Close() }
}

// wireConn is one accepted connection. What it reads in one call is taken for
// one segment of the other side.
type wireConn struct {
	net.Conn
	wire *wire
}

// Read counts what came.
func (wc *wireConn) Read(buffer []byte) (int, error) {
	count, err := wc.Conn.Read(buffer)
	wc.count(count)
	return count, err
}

// Write counts what went.
func (wc *wireConn) Write(buffer []byte) (int, error) {
	count, err := wc.Conn.Write(buffer)
	wc.count(count)
	return count, err
}

func (wc *wireConn) count(bytes int) {
	if bytes > 0 {
		wc.wire.bytes.Add(int64(bytes))
		wc.wire.segments.Add(1)
	}
}
