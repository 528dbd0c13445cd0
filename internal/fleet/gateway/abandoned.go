package gateway

import (
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/serving/quarantine"
)

const (
	// abandonedTTL is how long after its caller has left a run may turn out to have crashed its
	// upstream: entries of crashed upstreams are gone or replaced within six seconds.
	abandonedTTL = 10 * time.Second
	// maxAbandoned limits the runs that are remembered.
	maxAbandoned = 512
)

// abandonedEvent reports that a caller has left while an upstream ran its request.
type abandonedEvent crashEvent

// abandonedRun is a run of which nobody saw the end, since its caller had left.
type abandonedRun struct {
	crashEvent
	incarnation roster.Incarnation
	at          clock.Instant
}

// abandonedRuns holds the last ones, in order of their time.
type abandonedRuns []abandonedRun

// add adds a run. It forgets those that are too old to count, and the oldest if there are too many.
func (ars *abandonedRuns) add(added abandonedRun) {
	list := *ars
	for len(list) > 0 && (len(list) >= maxAbandoned || added.at.Sub(list[0].at) > abandonedTTL) {
		list = list[1:]
	}
	*ars = append(list, added)
}

// take removes the runs on an upstream and returns those that are not too old to count.
func (ars *abandonedRuns) take(now clock.Instant, id ident.Upstream) []abandonedRun {
	var taken []abandonedRun
	*ars = slices.DeleteFunc(*ars, func(ar abandonedRun) bool {
		if ar.upstream == id && now.Sub(ar.at) <= abandonedTTL {
			taken = append(taken, ar)
		}
		return ar.upstream == id
	})
	return taken
}

// handleAbandoned remembers a run until it is known whether its upstream lives.
func (gw *Gateway) handleAbandoned(ev abandonedEvent) {
	if up, known := gw.roster.Get(ev.upstream); known {
		gw.suspects.abandoned.add(abandonedRun{crashEvent(ev), up.Incarnation, gw.clock.Now()})
	}
}

// countAbandoned counts the abandoned runs on an upstream that has ended since as crashes.
func (gw *Gateway) countAbandoned(now clock.Instant, ended ident.Upstream) {
	for _, ar := range gw.suspects.abandoned.take(now, ended) {
		gw.recordCrash(now, ar.holder, quarantine.CrashMsg{
			Fingerprint: ar.fingerprint, Upstream: ar.upstream, Incarnation: ar.incarnation, Run: ar.run, Age: now.Sub(ar.at),
		}, "abandoned")
	}
}
