package drive

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Client is a connection of a caller.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a host.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// DialSlow connects to a host as a caller that reads slowly: its receive buffer is small.
func DialSlow(address string, receiveBytes int) (*Client, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		return errors.Join(err, failed)
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Head returns the head of a request. The fields are further header lines, each with its line end.
func Head(method, path, host, id string, deadline time.Duration, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n%s\r\n", method, path, host, id, deadline.Milliseconds(), fields)
}

// Answer is what a caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// IsWhole reports whether the answer is the whole one to a request.
func (an *Answer) IsWhole(request string) bool {
	return an.Status == http.StatusOK && an.Header.Get("Request-Id") == request && an.Header.Get("Response-Seal") == Seal(request, an.Body)
}

// Receive reads an answer until a time.
func (cl *Client) Receive(method string, until time.Time) (*Answer, error) {
	_ = cl.SetReadDeadline(until)
	rs, err := http.ReadResponse(cl.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return nil, fmt.Errorf("status %d, %d bytes of the body: %w", rs.StatusCode, len(body), err)
	}
	return &Answer{Status: rs.StatusCode, Header: rs.Header, Body: body}, nil
}
