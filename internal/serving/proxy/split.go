package proxy

import (
	"sync"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/desired"
)

// splits deals the requests of each route to its parts in proportion to their
// weights, evenly over any run of requests.
type splits struct {
	mu     *sync.Mutex
	routes map[*desired.Route][]int
}

func newSplits() splits {
	return splits{mu: &sync.Mutex{}, routes: map[*desired.Route][]int{}}
}

// maxRoutes bounds the routes of earlier desired states that are remembered.
const maxRoutes = 4096

// choose picks the service for the next request of a route.
func (sp *splits) choose(rt *desired.Route) ident.Service {
	if len(rt.Parts) == 1 {
		return rt.Parts[0].Service
	}
	sp.mu.Lock()
	defer sp.mu.Unlock()
	current, known := sp.routes[rt]
	if !known {
		if len(sp.routes) >= maxRoutes {
			clear(sp.routes)
		}
		current = make([]int, len(rt.Parts))
		sp.routes[rt] = current
	}
	total, best := 0, 0
	for ix, pt := range rt.Parts {
		current[ix] += pt.Weight
		total += pt.Weight
		if current[ix] > current[best] {
			best = ix
		}
	}
	current[best] -= total
	return rt.Parts[best].Service
}

// timeLimits remembers the longest time limit that callers of a route state:
// that of a first try.
type timeLimits struct {
	mu      *sync.Mutex
	longest map[string]time.Duration
}

func newTimeLimits() timeLimits {
	return timeLimits{mu: &sync.Mutex{}, longest: map[string]time.Duration{}}
}

// waited is how long a caller with this limit has been waiting already.
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
