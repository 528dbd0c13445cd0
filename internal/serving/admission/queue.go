package admission

import (
	"cmp"
	"container/heap"

	"chervilwalk/internal/fleet/ident"
)

// waiting is a queued request; order breaks ties of the deadline.
type waiting struct {
	request Request
	order   uint64
}

// queue is a heap of requests, the earliest deadline first.
type queue []waiting

// Len returns the number of queued requests.
func (qu *queue) Len() int { return len(*qu) }

// Less orders by deadline, then by arrival.
func (qu *queue) Less(left, right int) bool {
	lw, rw := (*qu)[left], (*qu)[right]
	return cmp.Or(cmp.Compare(lw.request.Deadline, rw.request.Deadline), cmp.Compare(lw.order, rw.order)) < 0
}

// Swap exchanges two places.
func (qu *queue) Swap(left, right int) { (*qu)[left], (*qu)[right] = (*qu)[right], (*qu)[left] }

// Push is part of heap.Interface.
func (qu *queue) Push(item any) {
	wt, _ := item.(waiting)
	*qu = append(*qu, wt)
}

// Pop is part of heap.Interface.
func (qu *queue) Pop() any {
	last := len(*qu) - 1
	wt := (*qu)[last]
	*qu = (*qu)[:last]
	return wt
}

// remove takes a request out of the queue.
func (qu *queue) remove(id ident.Request) bool {
	for ix := range *qu {
		if (*qu)[ix].request.ID == id {
			heap.Remove(qu, ix)
			return true
		}
	}
	return false
}
