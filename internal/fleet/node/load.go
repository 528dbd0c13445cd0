package node

import (
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/authority"
)

// loadEvery is the time between two reports of a pool's load to the ownership
// core.
const loadEvery = time.Second

// loadCount counts the requests of a pool's slices until they are reported.
type loadCount struct {
	requests map[ident.Slice]uint64
	next     time.Time
}

// count notes one request.
func (lc *loadCount) count(sl ident.Slice) {
	if lc.requests == nil {
		lc.requests = map[ident.Slice]uint64{}
	}
	lc.requests[sl]++
}

// report tells the ownership core when it is due. It never waits: the core may
// be waiting for this pool, and the counts keep until the next time.
func (lc *loadCount) report(ot *ownerTask, name ident.Pool) {
	now := time.Now()
	if now.Before(lc.next) || len(lc.requests) == 0 {
		return
	}
	lc.next = now.Add(loadEvery)
	select {
	case ot.inbox <- authority.LoadMsg{Pool: name, Requests: lc.requests}:
		lc.requests = nil
	default:
	}
}
