// Package eventlog writes structured log lines to standard output. Writing never
// blocks the caller: lines that find the buffer full are dropped and counted.
//
//	jl := eventlog.New(os.Stdout, "front-a-1")
//	defer jl.Close()
//	jl.Event("leading", eventlog.Fields{"term": 4})
package eventlog

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
)

const (
	// bufferLines is how many lines may wait to be written.
	bufferLines = 1024
	// linesPerSecond bounds the volume; what is beyond is dropped and counted.
	linesPerSecond = 400
	// maxValueBytes bounds one value, so that no caller can fill the log.
	maxValueBytes = 200
)

// Fields are the named values of a line.
type Fields = log.Fields

// Journal is a process's log. Its methods may be called from many goroutines.
type Journal struct {
	logger  *log.Logger
	host    string
	lines   chan string
	dropped atomic.Uint64
	done    sync.WaitGroup

	mu     sync.Mutex
	second int64
	count  int
	closed bool
}

// New starts the writer of a host's log.
func New(to io.Writer, host string) *Journal {
	jl := &Journal{host: host, lines: make(chan string, bufferLines)}
	jl.logger = &log.Logger{Handler: log.HandlerFunc(jl.handle), Level: log.InfoLevel}
	jl.done.Add(1)
	go func() {
		defer jl.done.Done()
		for line := range jl.lines {
			if dropped := jl.dropped.Swap(0); dropped > 0 {
				line = jl.format(time.Now(), "linesDropped", Fields{"count": dropped}) + line
			}
			// A log that cannot be written has nowhere to say so.
			_, _ = io.WriteString(to, line)
		}
	}()
	return jl
}

// Event writes one line.
func (jl *Journal) Event(what string, fields Fields) { jl.logger.WithFields(fields).Info(what) }

// Problem writes one line about an error and what is done in spite of it.
func (jl *Journal) Problem(what string, err error, fields Fields) {
	if fields == nil {
		fields = Fields{}
	}
	fields["error"] = err.Error()
	jl.logger.WithFields(fields).Info(what)
}

// Dropped counts the lines dropped since the last one that was written.
func (jl *Journal) Dropped() uint64 { return jl.dropped.Load() }

// Close writes what waits and ends the writer.
func (jl *Journal) Close() {
	jl.mu.Lock()
	closed := jl.closed
	jl.closed = true
	jl.mu.Unlock()
	if !closed {
		close(jl.lines)
	}
	jl.done.Wait()
}

// handle takes a line from the logging library.
func (jl *Journal) handle(en *log.Entry) error {
	line := jl.format(en.Timestamp, en.Message, en.Fields)
	jl.mu.Lock()
	defer jl.mu.Unlock()
	if jl.closed {
		return nil
	}
	if second := en.Timestamp.Unix(); second != jl.second {
		jl.second, jl.count = second, 0
	}
	jl.count++
	if jl.count > linesPerSecond {
		jl.dropped.Add(1)
		return nil
	}
	select {
	case jl.lines <- line:
	default:
		jl.dropped.Add(1)
	}
	return nil
}

func (jl *Journal) format(at time.Time, what string, fields Fields) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var sb strings.Builder
	sb.WriteString(at.UTC().Format("2006-01-02T15:04:05.000Z"))
	sb.WriteString(" host=")
	sb.WriteString(value(jl.host))
	sb.WriteString(" event=")
	sb.WriteString(what)
	for _, name := range names {
		sb.WriteByte(' ')
		sb.WriteString(name)
		sb.WriteByte('=')
		sb.WriteString(value(fields[name]))
	}
	sb.WriteByte('\n')
	return sb.String()
}

func value(content any) string {
	text := fmt.Sprint(content)
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes]
	}
	if text == "" || strings.ContainsAny(text, " \"=\n\r\t") || !utf8.ValidString(text) {
		return strconv.Quote(text)
	}
	return text
}
