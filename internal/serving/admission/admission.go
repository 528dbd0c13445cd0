// Package admission decides for one pool which request goes to which upstream
// and when, so that no upstream ever gets more than its slots.
//
//	co := admission.New(pool)
//	cmds := co.Update(now, admission.ArriveMsg{Request: rq})
package admission

import (
	"container/heap"
	"net/http"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/serving/verdict"
)

// maxQueued bounds a pool's queue, in requests.
const maxQueued = 4096

// retryAfter is what a caller is told when its request was refused for load.
const retryAfter = time.Second

// Request is what admission knows of a request.
type Request struct {
	ID         ident.Request
	Keyed      bool
	Slice      ident.Slice
	Idempotent bool
	Deadline   clock.Instant
}

// Msg is something that happened.
type Msg interface{ isMsg() }

// ArriveMsg brings a new request.
type ArriveMsg struct{ Request Request }

// DoneMsg says that a dispatched request has left its slot.
type DoneMsg struct {
	ID       ident.Request
	Upstream ident.Upstream
}

// BarMsg forbids a request's dispatch if it is still queued.
type BarMsg struct{ ID ident.Request }

// ViewMsg brings what may be dispatched.
type ViewMsg struct{ View authority.View }

// TickMsg says that time has passed.
type TickMsg struct{}

func (ArriveMsg) isMsg() {}
func (DoneMsg) isMsg()   {}
func (BarMsg) isMsg()    {}
func (ViewMsg) isMsg()   {}
func (TickMsg) isMsg()   {}

// Cmd is something to do.
type Cmd interface{ isCmd() }

// DispatchCmd sends a request to an upstream.
type DispatchCmd struct {
	ID       ident.Request
	Upstream ident.Upstream
	Token    grant.Token
	// Deadline is the earlier of the request's and the grant's.
	Deadline clock.Instant
}

// RefuseCmd ends a queued request.
type RefuseCmd struct {
	ID  ident.Request
	Err *verdict.Error
}

// BarredCmd answers a BarMsg.
type BarredCmd struct {
	ID ident.Request
	// Barred is true when the request was never dispatched and never will be.
	Barred bool
}

func (DispatchCmd) isCmd() {}
func (RefuseCmd) isCmd()   {}
func (BarredCmd) isCmd()   {}

// Core is one pool's admission.
type Core struct {
	pool      bundle.Pool
	view      authority.View
	queue     queue
	busy      map[ident.Upstream]int
	inFlight  map[ident.Request]ident.Upstream
	barred    map[ident.Request]clock.Instant
	bookOrder uint64
}

// New makes the admission of a pool.
func New(pl bundle.Pool) *Core {
	return &Core{
		pool:     pl,
		busy:     map[ident.Upstream]int{},
		inFlight: map[ident.Request]ident.Upstream{},
		barred:   map[ident.Request]clock.Instant{},
	}
}

// Update takes one message and returns what to do.
func (co *Core) Update(now clock.Instant, msg Msg) []Cmd {
	var cmds []Cmd
	switch mg := msg.(type) {
	case ArriveMsg:
		cmds = co.arrive(now, mg.Request)
	case DoneMsg:
		co.finish(mg)
	case BarMsg:
		cmds = co.bar(now, mg.ID)
	case ViewMsg:
		co.view = mg.View
	case TickMsg:
		co.forget(now)
	}
	return append(cmds, co.dispatch(now)...)
}

func (co *Core) arrive(now clock.Instant, rq Request) []Cmd {
	if _, ok := co.barred[rq.ID]; ok {
		return refuse(rq.ID, http.StatusServiceUnavailable, "the request was barred before it arrived", 0)
	}
	if !now.Before(rq.Deadline) {
		return refuse(rq.ID, http.StatusGatewayTimeout, "the deadline has passed", 0)
	}
	if co.queue.Len() >= maxQueued {
		return refuse(rq.ID, http.StatusServiceUnavailable, "the queue is full", retryAfter)
	}
	co.bookOrder++
	heap.Push(&co.queue, waiting{request: rq, order: co.bookOrder})
	return nil
}

func refuse(id ident.Request, status int, reason string, after time.Duration) []Cmd {
	return []Cmd{RefuseCmd{ID: id, Err: verdict.Refuse(status, reason, after)}}
}

func (co *Core) finish(mg DoneMsg) {
	if _, ok := co.inFlight[mg.ID]; !ok {
		return
	}
	delete(co.inFlight, mg.ID)
	co.busy[mg.Upstream]--
}

// bar forbids the dispatch of a request that is queued or has not come yet.
func (co *Core) bar(now clock.Instant, id ident.Request) []Cmd {
	if _, ok := co.inFlight[id]; ok {
		return []Cmd{BarredCmd{ID: id}}
	}
	co.barred[id] = now.Add(barTime)
	cmds := []Cmd{BarredCmd{ID: id, Barred: true}}
	if co.queue.remove(id) {
		cmds = append(cmds, refuse(id, http.StatusServiceUnavailable, "the request was barred", 0)...)
	}
	return cmds
}

// barTime is how long a barred id is remembered; no request lives longer.
const barTime = 2 * time.Minute

func (co *Core) forget(now clock.Instant) {
	for id, until := range co.barred {
		if !now.Before(until) {
			delete(co.barred, id)
		}
	}
}

// dispatch gives free slots to the queue in order of deadline.
func (co *Core) dispatch(now clock.Instant) []Cmd {
	var cmds []Cmd
	var held []waiting
	for co.queue.Len() > 0 {
		wt, _ := heap.Pop(&co.queue).(waiting)
		if !now.Before(wt.request.Deadline) {
			cmds = append(cmds, refuse(wt.request.ID, http.StatusGatewayTimeout, "the deadline passed in the queue", 0)...)
			continue
		}
		up, ok := co.choose(now, wt.request)
		if !ok {
			held = append(held, wt)
			continue
		}
		cmds = append(cmds, co.send(wt.request, up))
	}
	for _, wt := range held {
		heap.Push(&co.queue, wt)
	}
	return cmds
}

// choose picks the owner of a keyed request's slice, or the least busy
// upstream for any other, if it has a free slot and a grant.
func (co *Core) choose(now clock.Instant, rq Request) (ident.Upstream, bool) {
	if !now.Before(co.view.Until) {
		return "", false
	}
	best, found := ident.Upstream(""), false
	for _, up := range co.pool.Upstreams {
		if rq.Keyed && co.view.Owners[rq.Slice] != up.Name {
			continue
		}
		gr, ok := co.view.Grants[up.Name]
		if !ok || !now.Before(gr.Until) || co.busy[up.Name] >= up.Slots {
			continue
		}
		if !found || co.busy[up.Name] < co.busy[best] {
			best, found = up.Name, true
		}
	}
	return best, found
}

func (co *Core) send(rq Request, up ident.Upstream) Cmd {
	co.busy[up]++
	co.inFlight[rq.ID] = up
	gr := co.view.Grants[up]
	return DispatchCmd{ID: rq.ID, Upstream: up, Token: gr.Token, Deadline: rq.Deadline}
}
