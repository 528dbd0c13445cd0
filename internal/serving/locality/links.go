// Package locality decides what failure domains mean for the choice of an upstream: which
// domains can be reached from which, and when a request leaves its own.
//
// It does no I/O and holds what the holder of pools has seen; a new holder begins without.
package locality

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
)

const (
	// lostRequests and lostUpstreams are how many requests in a row, to how many upstreams,
	// must be lost before a link counts as down. One upstream that crashes is not a link.
	lostRequests  = 4
	lostUpstreams = 2
	// probeInterval is the time between two requests over a link that is down.
	probeInterval = 250 * time.Millisecond
	// minCutLinks is how many links to other domains must be down, and none of them up, before
	// the cause is taken to be on the near side. With one, either side may be cut off.
	minCutLinks = 2
	// silentDelay is how long after the first lost request was reported nothing must have been
	// heard of a domain. Where few requests are sent, an upstream that works may be idle meanwhile.
	silentDelay = 300 * time.Millisecond
	// linkTTL is how long a link counts that carries nothing.
	linkTTL = 10 * time.Second
	// excessWeight is the weight of the newest answer in a link's excess.
	excessWeight = 0.05
)

// Link is the way from the domain of the hosts that send requests to that of the upstreams.
type Link struct{ From, To ident.Domain }

// linkState is what requests over a link have shown.
type linkState struct {
	// heardAt is when the newest reply came.
	heardAt clock.Instant
	// failingSince is when the first lost request was sent, of those sent since the newest reply.
	failingSince clock.Instant
	// lostAt is when the first of them was reported lost.
	lostAt    clock.Instant
	lost      int
	upstreams map[ident.Upstream]struct{}
	down      bool
	// upAt is when the link was last found to be up again.
	upAt    clock.Instant
	probeAt clock.Instant
	// excess is the moving average of how much longer than usual for their upstreams answers took.
	excess time.Duration
}

// Links holds the state of links. It is not safe for concurrent use.
type Links struct{ states map[Link]*linkState }

// NewLinks returns Links that take every link for up.
func NewLinks() *Links { return &Links{states: map[Link]*linkState{}} }

func (ls *Links) state(lk Link) *linkState {
	st, known := ls.states[lk]
	if !known {
		st = &linkState{upstreams: map[ident.Upstream]struct{}{}}
		ls.states[lk] = st
	}
	return st
}

// Heard reports a reply to a request over a link, whatever it says.
func (ls *Links) Heard(now clock.Instant, lk Link) {
	st := ls.state(lk)
	if st.down {
		st.upAt = now
	}
	st.heardAt, st.lost, st.down = now, 0, false
	clear(st.upstreams)
}

// Answered reports by how much an answer over a link was later than its upstream's usually are.
func (ls *Links) Answered(lk Link, excess time.Duration) {
	st := ls.state(lk)
	st.excess += time.Duration(excessWeight * float64(excess-st.excess))
}

// Delay returns how much longer answers of a domain take over a link than within the domain.
func (ls *Links) Delay(lk Link) time.Duration {
	st, known := ls.states[lk]
	if !known || lk.From == lk.To {
		return 0
	}
	within := time.Duration(0)
	if home, known := ls.states[Link{lk.To, lk.To}]; known {
		within = home.excess
	}
	return max(st.excess-within, 0)
}

// Lost reports that a request got no reply. It returns true if the link counts as down from now on.
// A request that was sent before the newest reply says nothing of the link.
func (ls *Links) Lost(now clock.Instant, lk Link, id ident.Upstream, sentAt clock.Instant) bool {
	st := ls.state(lk)
	if sentAt < st.heardAt {
		return false
	}
	if st.lost == 0 {
		st.failingSince, st.lostAt = sentAt, now
	}
	st.failingSince = min(st.failingSince, sentAt)
	st.lost++
	st.upstreams[id] = struct{}{}
	if st.down || st.lost < lostRequests || len(st.upstreams) < lostUpstreams {
		return false
	}
	st.down = true
	return true
}

// Restored reports that the hosts of a domain that was cut off hear others again.
func (ls *Links) Restored(now clock.Instant, from ident.Domain) {
	if !ls.Isolated(now, from) {
		return
	}
	for lk, st := range ls.states {
		if lk.From == from && st.down {
			st.upAt, st.lost, st.down = now, 0, false
			clear(st.upstreams)
		}
	}
}

// Sent reports that a request is sent over a link.
func (ls *Links) Sent(now clock.Instant, lk Link) {
	if st, known := ls.states[lk]; known && st.down {
		st.probeAt = now.Add(probeInterval)
	}
}

// Down reports whether a link counts as down.
func (ls *Links) Down(lk Link) bool {
	st, known := ls.states[lk]
	return known && st.down
}

// HeardAt returns when the newest reply came over a link.
func (ls *Links) HeardAt(lk Link) clock.Instant { return ls.state(lk).heardAt }

// UpAt returns when a link was last found to be up again, 0 if it never was down.
func (ls *Links) UpAt(lk Link) clock.Instant { return ls.state(lk).upAt }

// Allows reports whether a request may be sent over a link: any while it is up, a probe from time
// to time while it is down.
func (ls *Links) Allows(now clock.Instant, lk Link) bool {
	st, known := ls.states[lk]
	return !known || !st.down || now >= st.probeAt
}

// Isolated reports whether a domain, or the host that sends from there, is cut off from all others,
// and not they from it: none of several other domains is heard any more. The own domain is, or it is
// lost too and the host alone is cut off.
func (ls *Links) Isolated(now clock.Instant, from ident.Domain) bool {
	down := 0
	since := clock.Never
	for lk, st := range ls.states {
		if lk.From != from || lk.To == from {
			continue
		}
		switch {
		case st.down:
			down++
			since = min(since, st.failingSince)
		case st.heardAt > 0 && now.Sub(st.heardAt) < linkTTL:
			return false
		}
	}
	home, known := ls.states[Link{from, from}]
	return down >= minCutLinks && known && (home.down || home.heardAt > since)
}

// Silent reports whether nothing was heard of a domain since requests over a link to it were lost.
func (ls *Links) Silent(now clock.Instant, to ident.Domain) bool {
	lostAt, heardAt := clock.Never, clock.Instant(0)
	for lk, st := range ls.states {
		switch {
		case lk.To != to:
		case st.down:
			lostAt = min(lostAt, st.lostAt)
		default:
			heardAt = max(heardAt, st.heardAt)
		}
	}
	return lostAt != clock.Never && heardAt < lostAt && now.Sub(lostAt) >= silentDelay
}
