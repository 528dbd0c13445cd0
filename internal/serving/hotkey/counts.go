package hotkey

import "chervilwalk/internal/base/clock"

const (
	// excessLatencies is how many times its slots a key must be asked for, beyond what its owner has
	// run since, to be hot: the last ask would wait for as long as a request runs.
	excessLatencies = 2
	// minExcess is the least excess of a hot key: a few asks at once are no load.
	minExcess = 8
	// maxCounts limits the keys that are counted. Those of calm keys are dropped once their owner
	// can have run all of them.
	maxCounts = 512
)

// count is how many asks for a key its owner cannot have run yet if it runs nothing else.
type count struct {
	excess    float64
	perSecond float64
	at        clock.Instant
}

// at returns the excess at a later time.
func (ct count) excessAt(now clock.Instant) float64 {
	return max(ct.excess-ct.perSecond*now.Sub(ct.at).Seconds(), 0)
}

// counts holds the counts of the keys that are asked for most.
type counts map[ID]count

// hotExcess is the excess above which a key is hot.
func hotExcess(slots float64) float64 { return max(excessLatencies*slots, minExcess) }

// add counts an ask and returns its key's excess. The excess is bounded, so that a key that is no longer
// asked for is calm again after a few latencies.
func (cs counts) add(now clock.Instant, id ID, perSecond, slots float64) float64 {
	ct, known := cs[id]
	if !known {
		cs.makeRoom(now)
	}
	excess := min(ct.excessAt(now)+1, 2*hotExcess(slots))
	cs[id] = count{excess, perSecond, now}
	return excess
}

// makeRoom drops the keys whose asks have been run, or else the key with the least excess.
func (cs counts) makeRoom(now clock.Instant) {
	if len(cs) < maxCounts {
		return
	}
	var least ID
	lowest := -1.0
	for id, ct := range cs {
		excess := ct.excessAt(now)
		if excess <= 0 {
			delete(cs, id)
		} else if lowest < 0 || excess < lowest {
			least, lowest = id, excess
		}
	}
	if len(cs) >= maxCounts {
		delete(cs, least)
	}
}
