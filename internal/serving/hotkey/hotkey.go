// Package hotkey divides what the owner of a key can run among those who ask for the key, if it is asked
// for more than that. It decides at the arrival of each ask, so that nobody waits for a refusal.
//
//	co := hotkey.New()
//	if co.Count(now, id, owner) {
//		dc := co.Decide(now, ask, owner)
//	}
package hotkey

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
)

// maxHot limits the hot keys: one for each upstream of a pool, and some of other services.
const maxHot = 64

// ID identifies a key among all services.
type ID struct {
	Service ident.Service
	Key     keyspace.Key
}

// Ask is what a decision needs of a request for a permit.
type Ask struct {
	ID          ID
	Host        ident.Host
	Domain      ident.Domain
	Priority    int
	Fingerprint ident.Fingerprint
	// ObjectiveLeft and TimeLeft are the times left to the objective and the deadline.
	ObjectiveLeft, TimeLeft time.Duration
}

// Owner is the state of a key's owner at the arrival of an ask.
type Owner struct {
	// PerSecond is how many requests a second it can run, Slots how many at once.
	PerSecond float64
	Slots     int
	Latency   time.Duration
	// Running and Waiting count the requests for the key, Others those for other keys that run or wait.
	Running, Waiting, Others int
	// Delay is how long the owner runs nothing for the key: it does not have it yet.
	Delay time.Duration
}

// Decision is the decision on an ask for a hot key.
type Decision struct {
	Admitted bool
	// Returning reports that the caller came back when it was told to.
	Returning bool
	// RetryAfter is when the owner has room for a caller that is refused. After the caller's deadline
	// it has none.
	RetryAfter time.Duration
}

// Change is a key that has become hot or calm.
type Change struct {
	ID  ID
	Hot bool
	// Refused counts the asks refused while it was hot.
	Refused int
}

// Core decides on asks. It is not safe for concurrent use.
type Core struct {
	counts  counts
	hot     map[ID]*hotKey
	changes []Change
}

// New returns a core that knows of no asks.
func New() *Core { return &Core{counts: counts{}, hot: map[ID]*hotKey{}} }

// Len returns the number of hot keys.
func (co *Core) Len() int { return len(co.hot) }

// Count counts an ask for a key and reports whether the key is hot: whether it has been asked for more
// than its owner can run, and has not been asked for less since.
func (co *Core) Count(now clock.Instant, id ID, ow Owner) bool {
	if ow.PerSecond <= 0 || ow.Slots <= 0 {
		return false
	}
	excess, most := co.counts.add(now, id, ow.PerSecond, float64(ow.Slots)), hotExcess(float64(ow.Slots))
	_, hot := co.hot[id]
	switch {
	case !hot && excess > most:
		co.makeRoom()
		co.hot[id] = newHotKey(now)
		co.changes = append(co.changes, Change{ID: id, Hot: true})
	case hot && excess <= 1:
		co.forget(id)
	default:
		return hot
	}
	return !hot
}

// Expire forgets the hot keys that are no longer asked for.
func (co *Core) Expire(now clock.Instant) {
	for id := range co.hot {
		if co.counts[id].excessAt(now) <= 0 {
			co.forget(id)
		}
	}
}

// Changes returns the keys that have become hot or calm since the last call.
func (co *Core) Changes() []Change {
	changes := co.changes
	co.changes = nil
	return changes
}

func (co *Core) forget(id ID) {
	co.changes = append(co.changes, Change{ID: id, Refused: co.hot[id].refused})
	delete(co.hot, id)
}

// makeRoom forgets all hot keys if there are too many: they are found again within a moment.
func (co *Core) makeRoom() {
	if len(co.hot) < maxHot {
		return
	}
	for id := range co.hot {
		co.forget(id)
	}
}

// Decide decides on an ask for which Count has reported that its key is hot.
func (co *Core) Decide(now clock.Instant, ask Ask, ow Owner) Decision {
	hk, hot := co.hot[ask.ID]
	if !hot {
		return Decision{Admitted: true}
	}
	hk.parts.ask(now, ask)
	rm := hk.room(now, ask, ow)
	rt, told := hk.returns.find(now, ask.Fingerprint)
	fair := hk.parts.mayTake(now, ask)
	switch {
	case told && rm.meetsDeadline && rt.dueAt <= now.Add(earlyReturn):
		hk.returns.remove(rt)
		return Decision{Admitted: true, Returning: true}
	case rm.admits(fair):
		if told {
			hk.returns.remove(rt)
		} else {
			hk.parts.take(now, ask)
		}
		return Decision{Admitted: true}
	case told && rt.dueAt > now:
		hk.refused++
		return Decision{RetryAfter: rt.dueAt.Sub(now)}
	}
	hk.refused++
	if at := hk.returns.next(now, rm); fair && rm.admitsReturn(at.Sub(now), ask) && hk.returns.add(ask.Fingerprint, at, rm) {
		hk.parts.take(now, ask)
		return Decision{RetryAfter: at.Sub(now)}
	}
	return Decision{RetryAfter: hk.returns.afterDeadline(now, ask.TimeLeft, rm)}
}

// hotKey is the state of a hot key.
type hotKey struct {
	hotAt   clock.Instant
	refused int
	// others is the average of Owner.Others.
	others average
	// punctualAt is when the last ask came that could still meet its objective.
	punctualAt clock.Instant
	parts      division
	returns    returns
}

func newHotKey(now clock.Instant) *hotKey { return &hotKey{hotAt: now, parts: newDivision()} }

// average is a moving average over averageTime.
type average struct {
	value float64
	at    clock.Instant
	known bool
}

const averageTime = time.Second

func (av *average) add(now clock.Instant, value float64) float64 {
	if !av.known {
		*av = average{value, now, true}
		return value
	}
	av.value += (value - av.value) * (1 - math.Exp(-now.Sub(av.at).Seconds()/averageTime.Seconds()))
	av.at = now
	return av.value
}
