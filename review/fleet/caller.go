package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a caller's request.
type Request struct {
	Method, Path string
	Body         string
	// Key is the key, or below 0 for none.
	Key       int
	TimeLimit time.Duration
	// ID is set by Call if it is empty.
	ID string
}

// Answer is what a caller got. Err is set if the connection ended without a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	// Close reports whether the connection closes after the answer.
	Close bool
	// Sent reports whether a part of the request may have been read.
	Sent bool
}

var lastRequest atomic.Uint64

// NewID returns the id of a new request.
func NewID() string {
	return fmt.Sprintf("%08x%08x", uint32(os.Getpid()), lastRequest.Add(1))
}

// Write writes a request to a connection.
func (rq *Request) Write(to io.Writer) error {
	if rq.ID == "" {
		rq.ID = NewID()
	}
	head := rq.Method + " " + rq.Path + " HTTP/1.1\r\nHost: " + VirtualHost + "\r\nRequest-Id: " + rq.ID + "\r\nRequest-Deadline: " + strconv.FormatInt(rq.TimeLimit.Milliseconds(), 10) + "\r\n"
	if rq.Key >= 0 {
		head += "Shard-Key: " + strconv.Itoa(rq.Key) + "\r\n"
	}
	if rq.Method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n"
	}
	_, err := io.WriteString(to, head+"\r\n"+rq.Body)
	return err
}

// Read reads an answer.
func Read(rd *bufio.Reader) Answer {
	rs, err := http.ReadResponse(rd, nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(rs.Body)
	return Answer{Status: rs.StatusCode, Header: rs.Header, Body: body, Err: err, Close: rs.Close}
}

// Call sends a request on a new connection and waits for its answer for the time limit.
func Call(address string, rq *Request) Answer {
	deadline := time.Now().Add(rq.TimeLimit)
	if rq.ID == "" {
		rq.ID = NewID()
	}
	conn, err := net.DialTimeout("tcp", address, min(time.Second, rq.TimeLimit))
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	if err := rq.Write(conn); err != nil {
		return Answer{Err: err, Sent: true}
	}
	an := Read(bufio.NewReader(conn))
	an.Sent = true
	return an
}

// Record writes the lines of record.txt. It is safe for concurrent use.
type Record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, startedAt: time.Now()}, err
}

// Printf writes a line with the time since the start in seconds.
func (rc *Record) Printf(format string, values ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	line := strings.TrimRight(fmt.Sprintf(format, values...), "\n")
	_, _ = fmt.Fprintf(rc.file, "%8.3f %s\n", time.Since(rc.startedAt).Seconds(), line)
}

// Close closes the file.
func (rc *Record) Close() { _ = rc.file.Close() }
