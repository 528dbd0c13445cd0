package eventlog_test

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/eventlog"
)

// blockingWriter keeps lines; Write blocks while mu is locked.
type blockingWriter struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (bw *blockingWriter) Write(line []byte) (int, error) {
	bw.mu.Lock()
	defer bw.mu.Unlock()
	return bw.lines.Write(line)
}

func TestLineFormat(t *testing.T) {
	gm := NewWithT(t)
	bw := &blockingWriter{}
	lg := eventlog.New(bw, "front-1")
	lg.Event("request", eventlog.Fields{"request": "a1", "cause": "no room", "took": 5})
	lg.ErrorEvent("storeLost", errors.New("gone\naway"), nil)
	lg.Close()
	lg.Event("after", nil)
	gm.Expect(bw.lines.String()).To(MatchRegexp(`^\S+Z host=front-1 event=request cause="no room" request=a1 took=5\n`))
	gm.Expect(bw.lines.String()).To(ContainSubstring(`event=storeLost error="gone\naway"` + "\n"))
	gm.Expect(bw.lines.String()).NotTo(ContainSubstring("after"))
}

// TestBlockedWriterDropsLines checks that a writer that blocks does not slow
// down callers, that the log's volume stays limited, and that dropped lines are
// counted.
func TestBlockedWriterDropsLines(t *testing.T) {
	gm := NewWithT(t)
	bw := &blockingWriter{}
	bw.mu.Lock()
	lg := eventlog.New(bw, "front-1")
	began := time.Now()
	for range 20000 {
		lg.Event("request", eventlog.Fields{"request": "a1"})
	}
	gm.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	gm.Expect(lg.Dropped()).To(BeNumerically(">", 15000))
	bw.mu.Unlock()
	lg.Close()
	gm.Expect(bw.lines.String()).To(ContainSubstring("event=linesDropped count="))
	gm.Expect(strings.Count(bw.lines.String(), "event=request")).To(BeNumerically("<", 4000))
}

func BenchmarkEvent(b *testing.B) {
	lg := eventlog.New(&blockingWriter{}, "front-1")
	defer lg.Close()
	b.ReportAllocs()
	for b.Loop() {
		lg.Event("request", eventlog.Fields{"request": "a1", "cause": "answered", "service": "lookup", "tookMs": 5, "waitedMs": 1})
	}
}
