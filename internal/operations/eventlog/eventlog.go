// Package eventlog writes structured log lines to standard output. Writing never
// blocks the caller: lines that find the buffer full are dropped and counted.
//
//	lg := eventlog.New(os.Stdout, "front-a-1")
//	defer lg.Close()
//	lg.Event("leading", eventlog.Fields{"term": 4})
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

// Log is a process's log. Its methods may be called from many goroutines.
type Log struct {
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
func New(to io.Writer, host string) *Log {
	lg := &Log{host: host, lines: make(chan string, bufferLines)}
	lg.logger = &log.Logger{Handler: log.HandlerFunc(lg.handle), Level: log.InfoLevel}
	lg.done.Add(1)
	go func() {
		defer lg.done.Done()
		for line := range lg.lines {
			if dropped := lg.dropped.Swap(0); dropped > 0 {
				line = lg.format(time.Now(), "linesDropped", Fields{"count": dropped}) + line
			}
			// A log that cannot be written has nowhere to say so.
			_, _ = io.WriteString(to, line)
		}
	}()
	return lg
}

// Event writes one line.
func (lg *Log) Event(what string, fields Fields) { lg.logger.WithFields(fields).Info(what) }

// Problem writes one line about an error and what is done in spite of it.
func (lg *Log) Problem(what string, err error, fields Fields) {
	if fields == nil {
		fields = Fields{}
	}
	fields["error"] = err.Error()
	lg.logger.WithFields(fields).Info(what)
}

// Dropped counts the lines dropped since the last one that was written.
func (lg *Log) Dropped() uint64 { return lg.dropped.Load() }

// Close writes what waits and ends the writer.
func (lg *Log) Close() {
	lg.mu.Lock()
	closed := lg.closed
	lg.closed = true
	lg.mu.Unlock()
	if !closed {
		close(lg.lines)
	}
	lg.done.Wait()
}

// handle takes a line from the logging library.
func (lg *Log) handle(en *log.Entry) error {
	line := lg.format(en.Timestamp, en.Message, en.Fields)
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if lg.closed {
		return nil
	}
	if second := en.Timestamp.Unix(); second != lg.second {
		lg.second, lg.count = second, 0
	}
	lg.count++
	if lg.count > linesPerSecond {
		lg.dropped.Add(1)
		return nil
	}
	select {
	case lg.lines <- line:
	default:
		lg.dropped.Add(1)
	}
	return nil
}

func (lg *Log) format(at time.Time, what string, fields Fields) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var sb strings.Builder
	sb.WriteString(at.UTC().Format("2006-01-02T15:04:05.000Z"))
	sb.WriteString(" host=")
	sb.WriteString(value(lg.host))
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
