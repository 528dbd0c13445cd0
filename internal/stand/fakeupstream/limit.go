package fakeupstream

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// limitHeader names the requests per second that the upstream takes from all hosts
// together.
const limitHeader = "Server-Limit"

// What LimitExcess allows: from limitGrace after a limit was first named, in any
// limitWindow, limitFactor times what the limit admits and limitSlack requests.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitChange is a change of the limit, which is infinite while none is named.
type limitChange struct {
	at        time.Time
	perSecond float64
}

// noteLimit records a change of the limit. One that isn't a number changes nothing.
func (up *Upstream) noteLimit(text string) {
	limit := math.Inf(1)
	if text != "" {
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return
		}
		limit = number
	}
	if len(up.limitChanges) == 0 && math.IsInf(limit, 1) {
		return
	}
	up.limitChanges = append(up.limitChanges, limitChange{time.Now(), limit})
}

// setLimitHeader names the limit in an answer.
func (up *Upstream) setLimitHeader(rw http.ResponseWriter) {
	rw.Header().Del(limitHeader)
	if up.faults.Limit != "" {
		rw.Header().Set(limitHeader, up.faults.Limit)
	}
}

// LimitExcess returns by how many requests the limits that the upstream named were
// exceeded in the worst window; 0 if they were kept.
func (up *Upstream) LimitExcess() float64 {
	up.mu.Lock()
	defer up.mu.Unlock()
	if len(up.limitChanges) == 0 {
		return 0
	}
	counted := up.limitChanges[0].at.Add(limitGrace)
	worst, last := 0.0, 0
	for first, from := range up.arrivals {
		for last < len(up.arrivals) && up.arrivals[last].Before(from.Add(limitWindow)) {
			last++
		}
		if !from.Before(counted) {
			worst = max(worst, float64(last-first)-limitFactor*up.admitted(from, from.Add(limitWindow))-limitSlack)
		}
	}
	return worst
}

// admitted returns how many requests the limits admit between two times.
func (up *Upstream) admitted(from, to time.Time) float64 {
	sum := 0.0
	for ix, lc := range up.limitChanges {
		end := to
		if ix+1 < len(up.limitChanges) && up.limitChanges[ix+1].at.Before(to) {
			end = up.limitChanges[ix+1].at
		}
		if lc.at.After(from) {
			from = lc.at
		}
		if end.After(from) {
			sum += lc.perSecond * end.Sub(from).Seconds()
			from = end
		}
	}
	return sum
}

// Arrivals returns how many requests reached the upstream since a time.
func (up *Upstream) Arrivals(since time.Time) int {
	up.mu.Lock()
	defer up.mu.Unlock()
	count := 0
	for _, at := range up.arrivals {
		if at.After(since) {
			count++
		}
	}
	return count
}
