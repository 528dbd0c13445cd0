// Package timeline is an event queue with a virtual clock. Tests and benchmarks
// drive the decision cores with it; it knows no policy and no protocol.
//
//	ln := timeline.New()
//	ln.After(time.Millisecond, func() { deliver(msg) })
//	ln.RunUntil(clock.Instant(time.Second))
package timeline

import (
	"cmp"
	"container/heap"
	"time"

	"chervilwalk/internal/fleet/clock"
)

// Line is a queue of events in virtual time. It serves one goroutine.
type Line struct {
	now    clock.Instant
	events events
	order  uint64
}

// event is one thing to do; order keeps events of one instant in the order in
// which they were added.
type event struct {
	at    clock.Instant
	order uint64
	run   func()
}

// New makes an empty line at instant 0.
func New() *Line {
	return &Line{}
}

// Now returns the virtual time. Line is a clock.Clock.
func (ln *Line) Now() clock.Instant {
	return ln.now
}

// Len returns how many events are waiting.
func (ln *Line) Len() int {
	return len(ln.events)
}

// At runs a function at an instant; one that has passed means now.
func (ln *Line) At(at clock.Instant, run func()) {
	ln.order++
	heap.Push(&ln.events, event{at: max(at, ln.now), order: ln.order, run: run})
}

// After runs a function once the time has passed.
func (ln *Line) After(dr time.Duration, run func()) {
	ln.At(ln.now.Add(dr), run)
}

// Step runs the next event; false when none is left.
func (ln *Line) Step() bool {
	if len(ln.events) == 0 {
		return false
	}
	ev, _ := heap.Pop(&ln.events).(event)
	ln.now = ev.at
	ev.run()
	return true
}

// RunUntil runs all events up to and at an instant, then stands at it.
func (ln *Line) RunUntil(at clock.Instant) {
	for len(ln.events) > 0 && ln.events[0].at <= at {
		ln.Step()
	}
	ln.now = max(ln.now, at)
}

// events is a heap, the earliest event first.
type events []event

// Len returns the number of events.
func (es events) Len() int { return len(es) }

// Less orders by instant, then by the order of adding.
func (es events) Less(left, right int) bool {
	return cmp.Or(cmp.Compare(es[left].at, es[right].at), cmp.Compare(es[left].order, es[right].order)) < 0
}

// Swap exchanges two places.
func (es events) Swap(left, right int) { es[left], es[right] = es[right], es[left] }

// Push is part of heap.Interface.
func (es *events) Push(item any) {
	ev, _ := item.(event)
	*es = append(*es, ev)
}

// Pop is part of heap.Interface.
func (es *events) Pop() any {
	last := len(*es) - 1
	ev := (*es)[last]
	(*es)[last] = event{}
	*es = (*es)[:last]
	return ev
}
