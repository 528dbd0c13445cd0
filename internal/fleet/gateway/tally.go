package gateway

import (
	"sync"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// maxTallyKeys bounds the keys that one status tells of.
const maxTallyKeys = 400

type keyOf struct {
	service ident.Service
	key     keyspace.Key
}

// tally counts what the leader plans by: requests by key, and what upstreams
// made of theirs. Its methods may be called from many goroutines.
type tally struct {
	mu        *sync.Mutex
	keys      map[keyOf]int
	upstreams map[ident.Upstream]*protocol.UpstreamLoad
}

func newTally() tally {
	return tally{mu: &sync.Mutex{}, keys: map[keyOf]int{}, upstreams: map[ident.Upstream]*protocol.UpstreamLoad{}}
}

// arrived counts a request for a key.
func (ta *tally) arrived(sv ident.Service, ky keyspace.Key) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if len(ta.keys) < maxTallyKeys {
		ta.keys[keyOf{sv, ky}]++
	}
}

// ended counts how a request ended at an upstream.
func (ta *tally) ended(dn protocol.Done) {
	outcome := permit.Outcome(dn.Outcome)
	if outcome == permit.Withdrawn || outcome == permit.Disowned {
		return
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ul, known := ta.upstreams[dn.Upstream]
	if !known {
		ul = &protocol.UpstreamLoad{Upstream: dn.Upstream}
		ta.upstreams[dn.Upstream] = ul
	}
	if outcome == permit.Answered || outcome == permit.TimedOut {
		ul.Answers++
		ul.Work += max(dn.Took, time.Millisecond)
		return
	}
	ul.Failures++
}

// take returns the counts since the last call.
func (ta *tally) take() ([]protocol.KeyLoad, []protocol.UpstreamLoad) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	keys := make([]protocol.KeyLoad, 0, len(ta.keys))
	for ko, count := range ta.keys {
		keys = append(keys, protocol.KeyLoad{Service: ko.service, Key: ko.key, Count: count})
	}
	upstreams := make([]protocol.UpstreamLoad, 0, len(ta.upstreams))
	for _, ul := range ta.upstreams {
		upstreams = append(upstreams, *ul)
	}
	clear(ta.keys)
	clear(ta.upstreams)
	return keys, upstreams
}
