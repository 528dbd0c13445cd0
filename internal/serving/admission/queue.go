package admission

import (
	"cmp"
	"container/heap"

	"chervilwalk/internal/fleet/clock"
)

// notQueued is the index of a flow that is in no queue.
const notQueued = -1

// queue is a heap of flows, the earliest deadline first. Keyed services have
// one for each owner, so that one owner's full slots hold up nobody else.
type queue struct {
	flows flowHeap
	// changed means that a dispatch may be possible that was not before.
	changed bool
}

func (qu *queue) length() int { return len(qu.flows) }

func (qu *queue) push(fl *flow) {
	fl.queue = qu
	qu.changed = true
	heap.Push(&qu.flows, fl)
}

func (qu *queue) first() *flow { return qu.flows[0] }

// remove takes a flow out of the queue that it is in, if any.
func (fl *flow) remove() {
	if fl.queue == nil {
		return
	}
	heap.Remove(&fl.queue.flows, fl.index)
	fl.queue = nil
}

// ahead counts the flows that go before a deadline.
func (qu *queue) ahead(deadline clock.Instant) int {
	count := 0
	for _, fl := range qu.flows {
		if fl.request.Deadline <= deadline {
			count++
		}
	}
	return count
}

// flowHeap implements heap.Interface; each flow knows its index.
type flowHeap []*flow

// Len returns the number of flows.
func (fh flowHeap) Len() int { return len(fh) }

// Less orders by deadline, then by arrival.
func (fh flowHeap) Less(left, right int) bool {
	lf, rf := fh[left], fh[right]
	return cmp.Or(cmp.Compare(lf.request.Deadline, rf.request.Deadline), cmp.Compare(lf.order, rf.order)) < 0
}

// Swap exchanges two places.
func (fh flowHeap) Swap(left, right int) {
	fh[left], fh[right] = fh[right], fh[left]
	fh[left].index, fh[right].index = left, right
}

// Push is part of heap.Interface.
func (fh *flowHeap) Push(item any) {
	fl, _ := item.(*flow)
	fl.index = len(*fh)
	*fh = append(*fh, fl)
}

// Pop is part of heap.Interface.
func (fh *flowHeap) Pop() any {
	last := len(*fh) - 1
	fl := (*fh)[last]
	(*fh)[last] = nil
	*fh = (*fh)[:last]
	fl.index = notQueued
	return fl
}
