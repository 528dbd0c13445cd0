package gateway

import (
	"sync"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// maxCountedKeys limits the keys in one status.
const maxCountedKeys = 400

// serviceKey is a key of one service.
type serviceKey struct {
	service ident.Service
	key     keyspace.Key
}

// loadCounter counts the load that the leader plans by: requests per key and
// their outcomes per upstream. Its methods are safe for concurrent use.
type loadCounter struct {
	mu        *sync.Mutex
	keys      map[serviceKey]int
	upstreams map[ident.Upstream]*protocol.UpstreamLoad
}

func newLoadCounter() loadCounter {
	return loadCounter{mu: &sync.Mutex{}, keys: map[serviceKey]int{}, upstreams: map[ident.Upstream]*protocol.UpstreamLoad{}}
}

// countArrival counts a request for a key.
func (lc *loadCounter) countArrival(sv ident.Service, ky keyspace.Key) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	counted := serviceKey{sv, ky}
	if _, known := lc.keys[counted]; known || len(lc.keys) < maxCountedKeys {
		lc.keys[counted]++
	}
}

// countOutcome counts the outcome of a request at an upstream.
func (lc *loadCounter) countOutcome(dn protocol.Done) {
	outcome := permit.Outcome(dn.Outcome)
	if outcome == permit.Withdrawn || outcome == permit.Disowned {
		return
	}
	lc.mu.Lock()
	defer lc.mu.Unlock()
	ul, known := lc.upstreams[dn.Upstream]
	if !known {
		ul = &protocol.UpstreamLoad{Upstream: dn.Upstream}
		lc.upstreams[dn.Upstream] = ul
	}
	if outcome == permit.Answered || outcome == permit.TimedOut {
		ul.Answers++
		ul.WorkTime += max(dn.Took, time.Millisecond)
		if percent := min(dn.LatencyPercent, protocol.MaxLatencyPercent); dn.Reported && percent > 0 && (ul.LatencyPercent == 0 || percent < ul.LatencyPercent) {
			ul.LatencyPercent = percent
		}
		return
	}
	ul.Failures++
}

// take returns the counts since the last call and resets them.
func (lc *loadCounter) take() ([]protocol.KeyLoad, []protocol.UpstreamLoad) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	keys := make([]protocol.KeyLoad, 0, len(lc.keys))
	for sk, count := range lc.keys {
		keys = append(keys, protocol.KeyLoad{Service: sk.service, Key: sk.key, Count: count})
	}
	upstreams := make([]protocol.UpstreamLoad, 0, len(lc.upstreams))
	for _, ul := range lc.upstreams {
		upstreams = append(upstreams, *ul)
	}
	clear(lc.keys)
	clear(lc.upstreams)
	return keys, upstreams
}
