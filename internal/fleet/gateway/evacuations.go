package gateway

import (
	"maps"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
)

// rewriteTimeout is how long the operators may take to write their rows again after
// the store came back from an older copy.
const rewriteTimeout = 3 * time.Second

// evacuationsDueEvent reports that rewriteTimeout is over.
type evacuationsDueEvent struct{}

// evacuations decides which domains are evacuated while the operators' rows may be
// older than what this host knows.
type evacuations struct {
	// last is the newest event with the rows as the store has them.
	last operatorStateEvent
	era  era.Era
	// remembered holds the evacuated domains before the store came back; until
	// unsureUntil they count for all domains whose rows were not written since.
	remembered  map[ident.Domain]bool
	unsureUntil clock.Instant
	known       bool
}

// resolve returns the domains that are evacuated.
func (es *evacuations) resolve(now clock.Instant, ev operatorStateEvent) map[ident.Domain]bool {
	if es.known && ev.era != es.era {
		es.remembered = es.inForce(now)
		es.unsureUntil = now.Add(rewriteTimeout)
	}
	es.known, es.era, es.last = true, ev.era, ev
	return es.inForce(now)
}

// inForce returns the domains that are evacuated by the rows and by memory.
func (es *evacuations) inForce(now clock.Instant) map[ident.Domain]bool {
	domains := maps.Clone(es.last.state.Evacuated)
	if now >= es.unsureUntil {
		return domains
	}
	for dm := range domains {
		if !es.remembered[dm] && !es.last.rewritten[dm] {
			delete(domains, dm)
		}
	}
	if domains == nil {
		domains = map[ident.Domain]bool{}
	}
	for dm := range es.remembered {
		if !es.last.rewritten[dm] {
			domains[dm] = true
		}
	}
	return domains
}
