package fakeupstream

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// pause is a pause that the upstream has asked a host for. Requests count from
// pauseSlack after its start.
type pause struct {
	from, until time.Time
	requests    int
}

// pauseSlack is how long after the start of a pause requests may still arrive.
const pauseSlack = 500 * time.Millisecond

// MostInPause returns the largest number of requests that one host sent in a pause
// that the upstream had asked it for.
func (up *Upstream) MostInPause() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.mostInPause
}

// notePause counts a request that arrives in a pause.
func (up *Upstream) notePause(rq *http.Request) {
	host, _, _ := net.SplitHostPort(rq.RemoteAddr)
	now := time.Now()
	if ps, found := up.pauses[host]; found && now.After(ps.from) && now.Before(ps.until) {
		ps.requests++
		up.mostInPause = max(up.mostInPause, ps.requests)
	}
}

// shed refuses a request and asks for a pause if the faults say so.
func (up *Upstream) shed(rw http.ResponseWriter, rq *http.Request) {
	rw.Header().Set("Not-Executed", "1")
	if up.faults.PauseMs > 0 {
		host, _, _ := net.SplitHostPort(rq.RemoteAddr)
		span := time.Duration(up.faults.PauseMs) * time.Millisecond
		if ps, found := up.pauses[host]; !found || time.Now().After(ps.until) {
			up.pauses[host] = &pause{from: time.Now().Add(pauseSlack), until: time.Now().Add(span)}
		}
		rw.Header().Set("Retry-After", strconv.FormatFloat(span.Seconds(), 'f', 3, 64))
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
}
