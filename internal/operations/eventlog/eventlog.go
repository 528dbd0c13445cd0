// Package eventlog writes structured log lines and parses them again. Logging
// never blocks the caller: when the buffer is full or the rate limit is reached,
// lines are dropped and counted.
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
	// bufferLines is the capacity of the buffer of unwritten lines.
	bufferLines = 1024
	// maxLinesPerSecond limits the log's volume; lines above it are dropped and counted.
	maxLinesPerSecond = 400
	// maxValueBytes is where a value is truncated, so that a client's input
	// cannot fill the log.
	maxValueBytes = 200
)

// Fields holds the named values of a line.
type Fields = log.Fields

// Log writes the event log of one host. It is safe for concurrent use.
type Log struct {
	logger  *log.Logger
	host    string
	lines   chan string
	dropped atomic.Uint64
	done    sync.WaitGroup

	mu              sync.Mutex
	currentSecond   int64
	linesThisSecond int
	closed          bool
}

// New returns the log of a host and starts the goroutine that writes its lines.
func New(to io.Writer, host string) *Log {
	lg := &Log{host: host, lines: make(chan string, bufferLines)}
	lg.logger = &log.Logger{Handler: log.HandlerFunc(lg.handle), Level: log.InfoLevel}
	lg.done.Add(1)
	go func() {
		defer lg.done.Done()
		for line := range lg.lines {
			if dropped := lg.dropped.Swap(0); dropped > 0 {
				line = lg.formatLine(time.Now(), "linesDropped", Fields{"count": dropped}) + line
			}
			// There is nowhere to report that the log itself cannot be written.
			_, _ = io.WriteString(to, line)
		}
	}()
	return lg
}

// Event logs an event. Its name and field names are written as they are, so
// they must not contain spaces, quotes or equals signs.
func (lg *Log) Event(event string, fields Fields) { lg.logger.WithFields(fields).Info(event) }

// ErrorEvent logs an event that was caused by an error. It adds the error's text
// to fields, as the field error; fields may be nil.
func (lg *Log) ErrorEvent(event string, err error, fields Fields) {
	if fields == nil {
		fields = Fields{}
	}
	fields["error"] = err.Error()
	lg.logger.WithFields(fields).Info(event)
}

// Dropped returns how many lines were dropped since the last line was written.
func (lg *Log) Dropped() uint64 { return lg.dropped.Load() }

// Close writes the buffered lines and stops the writer. Later events are ignored.
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

// handle implements log.HandlerFunc: it formats a line and puts it into the
// buffer, or drops it.
func (lg *Log) handle(en *log.Entry) error {
	line := lg.formatLine(en.Timestamp, en.Message, en.Fields)
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if lg.closed {
		return nil
	}
	if second := en.Timestamp.Unix(); second != lg.currentSecond {
		lg.currentSecond, lg.linesThisSecond = second, 0
	}
	lg.linesThisSecond++
	if lg.linesThisSecond > maxLinesPerSecond {
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

// formatLine returns a line with its fields in alphabetical order.
func (lg *Log) formatLine(at time.Time, event string, fields Fields) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var sb strings.Builder
	sb.WriteString(at.UTC().Format("2006-01-02T15:04:05.000Z"))
	sb.WriteString(" host=")
	sb.WriteString(formatValue(lg.host))
	sb.WriteString(" event=")
	sb.WriteString(event)
	for _, name := range names {
		sb.WriteByte(' ')
		sb.WriteString(name)
		sb.WriteByte('=')
		sb.WriteString(formatValue(fields[name]))
	}
	sb.WriteByte('\n')
	return sb.String()
}

// formatValue returns a value's text, truncated to maxValueBytes and quoted where
// ParseLine needs it.
func formatValue(content any) string {
	text := fmt.Sprint(content)
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes]
	}
	if text == "" || strings.ContainsAny(text, " \"=\n\r\t") || !utf8.ValidString(text) {
		return strconv.Quote(text)
	}
	return text
}
