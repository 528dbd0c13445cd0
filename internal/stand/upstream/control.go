package upstream

import (
	"net/http"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/control"
)

const (
	// maxCancelled bounds the remembered cancellations, in requests.
	maxCancelled = 4096
	// maxLoads bounds the remembered load for reports that lag.
	maxLoads = 4096
)

// cancelledSet remembers the latest cancellations, so that a request that comes
// after its own cancellation is not run.
type cancelledSet struct {
	known map[ident.Request]bool
	order []ident.Request
}

func (cs *cancelledSet) add(id ident.Request) {
	if cs.known[id] {
		return
	}
	if cs.known == nil {
		cs.known = map[ident.Request]bool{}
	}
	if len(cs.order) >= maxCancelled {
		delete(cs.known, cs.order[0])
		cs.order = cs.order[1:]
	}
	cs.known[id] = true
	cs.order = append(cs.order, id)
}

func (cs *cancelledSet) has(id ident.Request) bool {
	return cs.known[id]
}

// serveCancel answers once the request has left its slot. A stand-in that
// ignores cancellations answers when the request has run to its end.
func (us *Upstream) serveCancel(_ http.ResponseWriter, rq *http.Request) {
	if !us.waitThaw(rq.Context()) {
		return
	}
	id := ident.Request(rq.URL.Query().Get("id"))
	us.mu.Lock()
	rg := us.runningOf(id)
	if !us.faults.IgnoreCancel {
		us.cancelled.add(id)
		if rg != nil {
			rg.stop(endCancelled)
		}
	}
	us.mu.Unlock()
	if rg == nil {
		return
	}
	select {
	case <-rg.left:
	case <-rq.Context().Done():
	}
}

// runningOf finds a request in its slot; the caller holds the lock.
func (us *Upstream) runningOf(id ident.Request) *running {
	for rg := range us.running {
		if rg.id == id {
			return rg
		}
	}
	return nil
}

// load is how many requests ran from an instant on.
type load struct {
	at   clock.Instant
	busy int
}

// sampleLoad remembers the load for reports that lag; the caller holds the lock.
func (us *Upstream) sampleLoad(now clock.Instant) {
	if us.faults.ReportLagMillis == 0 {
		return
	}
	if len(us.loads) >= maxLoads {
		us.loads = us.loads[maxLoads/2:]
	}
	us.loads = append(us.loads, load{at: now, busy: len(us.running)})
}

func (us *Upstream) serveReport(rw http.ResponseWriter, rq *http.Request) {
	if !us.waitThaw(rq.Context()) {
		return
	}
	us.mu.Lock()
	rp := us.report(us.clock.Now())
	us.mu.Unlock()
	writeJSON(rw, rp)
}

// report builds the load report; the caller holds the lock.
func (us *Upstream) report(now clock.Instant) control.Report {
	rp := control.Report{Busy: len(us.running), Cold: us.cold(now), Incarnation: us.incarnationName()}
	if us.faults.ReportLagMillis > 0 {
		rp.Busy = us.loadAt(now.Add(-time.Duration(us.faults.ReportLagMillis) * time.Millisecond))
	}
	if us.faults.FalseReport {
		rp.Busy, rp.Cold = 0, false
	}
	return rp
}

func (us *Upstream) loadAt(at clock.Instant) int {
	busy := 0
	for _, ld := range us.loads {
		if at.Before(ld.at) {
			break
		}
		busy = ld.busy
	}
	return busy
}
