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

// ending is how a request ended.
type ending int

const (
	// refused means that it was not run; its sender may send it again.
	refused ending = iota
	// barred means that it was not run and must not be.
	barred
	// doubtful means that it may have run.
	doubtful
)

// memory keeps how requests have ended.
type memory struct {
	endings map[ident.Request]ending
	ends    expiryHeap
}

type expiry struct {
	until clock.Instant
	id    ident.Request
}

func newMemory() memory {
	return memory{endings: map[ident.Request]ending{}}
}

func (me *memory) keep(id ident.Request, deadline clock.Instant, en ending) {
	if _, ok := me.endings[id]; !ok {
		heap.Push(&me.ends, expiry{until: deadline.Add(memoryTime), id: id})
	}
	me.endings[id] = en
}

func (me *memory) find(id ident.Request) (en ending, ok bool) {
	en, ok = me.endings[id]
	return en, ok
}

func (me *memory) forget(now clock.Instant) {
	for len(me.ends) > 0 && !now.Before(me.ends[0].until) {
		ex, _ := heap.Pop(&me.ends).(expiry)
		delete(me.endings, ex.id)
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
