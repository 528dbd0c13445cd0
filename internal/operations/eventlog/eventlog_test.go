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

// pipe takes lines; while it is full, writing to it blocks.
type pipe struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (pp *pipe) Write(line []byte) (int, error) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	return pp.lines.Write(line)
}

func TestLines(t *testing.T) {
	gm := NewWithT(t)
	pp := &pipe{}
	jl := eventlog.New(pp, "front-1")
	jl.Event("request", eventlog.Fields{"request": "a1", "cause": "no room", "took": 5})
	jl.Problem("storeLost", errors.New("gone\naway"), nil)
	jl.Close()
	jl.Event("after", nil)
	gm.Expect(pp.lines.String()).To(MatchRegexp(`^\S+Z host=front-1 event=request cause="no room" request=a1 took=5\n`))
	gm.Expect(pp.lines.String()).To(ContainSubstring(`event=storeLost error="gone\naway"` + "\n"))
	gm.Expect(pp.lines.String()).NotTo(ContainSubstring("after"))
}

// TestFullPipe asks that a log that cannot be written slows nobody, that its
// volume is bounded, and that what was dropped is counted.
func TestFullPipe(t *testing.T) {
	gm := NewWithT(t)
	pp := &pipe{}
	pp.mu.Lock()
	jl := eventlog.New(pp, "front-1")
	began := time.Now()
	for range 20000 {
		jl.Event("request", eventlog.Fields{"request": "a1"})
	}
	gm.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	gm.Expect(jl.Dropped()).To(BeNumerically(">", 15000))
	pp.mu.Unlock()
	jl.Close()
	gm.Expect(pp.lines.String()).To(ContainSubstring("event=linesDropped count="))
	gm.Expect(strings.Count(pp.lines.String(), "event=request")).To(BeNumerically("<", 4000))
}

func BenchmarkEvent(b *testing.B) {
	jl := eventlog.New(&pipe{}, "front-1")
	defer jl.Close()
	b.ReportAllocs()
	for b.Loop() {
		jl.Event("request", eventlog.Fields{"request": "a1", "cause": "answered", "service": "lookup", "tookMs": 5, "waitedMs": 1})
	}
}
