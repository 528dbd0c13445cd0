package proxy

import (
	"sync"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/desired"
)

// trafficSplits distributes the requests of each route over its destinations by
// smooth weighted round-robin: in proportion to the weights, without bursts to one
// of them.
type trafficSplits struct {
	mu     *sync.Mutex
	routes map[*desired.Route][]int
}

func newTrafficSplits() trafficSplits {
	return trafficSplits{mu: &sync.Mutex{}, routes: map[*desired.Route][]int{}}
}

// maxRoutes bounds the routes that are remembered, which include those of
// earlier desired states.
const maxRoutes = 4096

// choose returns the service for the next request of a route.
func (ts *trafficSplits) choose(rt *desired.Route) ident.Service {
	if len(rt.Destinations) == 1 {
		return rt.Destinations[0].Service
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	current, known := ts.routes[rt]
	if !known {
		if len(ts.routes) >= maxRoutes {
			clear(ts.routes)
		}
		current = make([]int, len(rt.Destinations))
		ts.routes[rt] = current
	}
	total, best := 0, 0
	for ix, ds := range rt.Destinations {
		current[ix] += ds.Weight
		total += ds.Weight
		if current[ix] > current[best] {
			best = ix
		}
	}
	current[best] -= total
	return rt.Destinations[best].Service
}

// commonDestination returns the service to which all hosts send the repeats of one request.
func commonDestination(rt *desired.Route, fp ident.Fingerprint) ident.Service {
	total := 0
	for _, ds := range rt.Destinations {
		total += ds.Weight
	}
	left := int(uint64(fp) % uint64(max(total, 1)))
	for _, ds := range rt.Destinations {
		if left < ds.Weight {
			return ds.Service
		}
		left -= ds.Weight
	}
	return rt.Destinations[0].Service
}

// timeLimits remembers the longest time limit that callers of each route have
// stated, which is that of a first attempt.
type timeLimits struct {
	mu      *sync.Mutex
	longest map[string]time.Duration
}

func newTimeLimits() timeLimits {
	return timeLimits{mu: &sync.Mutex{}, longest: map[string]time.Duration{}}
}

// waited returns how long a caller that states this limit has waited since its
// first attempt.
func (tl *timeLimits) waited(route string, limit time.Duration) time.Duration {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if limit > tl.longest[route] {
		if len(tl.longest) >= maxRoutes {
			clear(tl.longest)
		}
		tl.longest[route] = limit
	}
	return tl.longest[route] - limit
}
