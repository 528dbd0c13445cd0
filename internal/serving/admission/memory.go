package admission

import (
	"container/heap"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
)

// memoryTime is how long after its deadline a request's end is remembered, so
// that a late copy or a late bar gets a true answer.
const memoryTime = 2 * time.Second

// memory keeps whether requests that have ended were not run.
type memory struct {
	notRun map[ident.Request]bool
	ends   expiryHeap
}

type expiry struct {
	until clock.Instant
	id    ident.Request
}

func newMemory() memory {
	return memory{notRun: map[ident.Request]bool{}}
}

func (me *memory) keep(id ident.Request, deadline clock.Instant, notRun bool) {
	if _, ok := me.notRun[id]; !ok {
		heap.Push(&me.ends, expiry{until: deadline.Add(memoryTime), id: id})
	}
	me.notRun[id] = notRun
}

func (me *memory) find(id ident.Request) (notRun, ok bool) {
	notRun, ok = me.notRun[id]
	return notRun, ok
}

func (me *memory) forget(now clock.Instant) {
	for len(me.ends) > 0 && !now.Before(me.ends[0].until) {
		ex, _ := heap.Pop(&me.ends).(expiry)
		delete(me.notRun, ex.id)
	}
}

// expiryHeap implements heap.Interface, the earliest end first.
type expiryHeap []expiry

// Len returns the number of entries.
func (eh expiryHeap) Len() int { return len(eh) }

// Less orders by end.
func (eh expiryHeap) Less(left, right int) bool { return eh[left].until < eh[right].until }

// Swap exchanges two places.
func (eh expiryHeap) Swap(left, right int) { eh[left], eh[right] = eh[right], eh[left] }

// Push is part of heap.Interface.
func (eh *expiryHeap) Push(item any) {
	ex, _ := item.(expiry)
	*eh = append(*eh, ex)
}

// Pop is part of heap.Interface.
func (eh *expiryHeap) Pop() any {
	last := len(*eh) - 1
	ex := (*eh)[last]
	*eh = (*eh)[:last]
	return ex
}
