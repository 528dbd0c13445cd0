// Package roster tracks which upstreams exist and which of them may get requests,
// from the entries that the upstreams keep in the platform's store.
//
//	rs := roster.New()
//	changes := rs.Update(now, entries)
//	up, ok := rs.Get("i-7f3a91c2")
package roster

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
)

// storeRecoveryGrace is the time after an outage of the store in which an upstream
// with a missing entry does not count as gone. The platform states that entries
// are back after about two seconds.
const storeRecoveryGrace = 2 * time.Second

// goneRetention is how long an upstream whose entry is missing stays in the list.
const goneRetention = 5 * time.Second

// olderEntryTimeout is how long entries may stay older than the known one before they
// replace it: what an upstream writes is then older than what another writer has left
// under its id. It is longer than a copy of the store keeps an entry that is not renewed,
// which is three heartbeat intervals.
const olderEntryTimeout = 10 * time.Second

// digestBufferBytes is the initial size of the buffer to encode an entry in.
const digestBufferBytes = 128

// Incarnation identifies one process of an upstream: its start time in Unix
// milliseconds, 0 if unknown. A restarted upstream has a higher one.
type Incarnation int64

// Entry is what an upstream publishes about itself.
type Entry struct {
	ID      ident.Upstream
	Service ident.Service
	Address string
	Domain  ident.Domain
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int
	// Draining upstreams finish their running requests and then leave.
	Draining bool
	// ColdLeft is the time until the upstream is warm, as of writing the entry.
	ColdLeft time.Duration
	// Sequence orders the entries of one incarnation.
	Sequence    uint64
	Incarnation Incarnation
}

// Upstream is an upstream of the list: its last entry and its state.
type Upstream struct {
	Entry
	// ColdUntil is when the upstream becomes warm.
	ColdUntil clock.Instant
	// LeavingAt is when the upstream was first seen draining or gone, or clock.Never.
	LeavingAt clock.Instant
	// Limit is how many requests the upstream takes from all hosts together, as its
	// answers say, and LimitAt the time for which they say so.
	Limit   rate.Limit
	LimitAt clock.Instant
	// Gone reports that the upstream no longer has an entry.
	Gone bool
	// announced reports that the upstream itself has said that it is leaving. It then
	// leaves whatever its entry says.
	announced bool
	// missingSince is when the entry was first missing, or clock.Never.
	missingSince clock.Instant
	// olderSince is since when the store has had older entries than this one and no newer
	// one, or clock.Never. After olderEntryTimeout the entry is doubted, and the next older
	// one replaces it.
	olderSince clock.Instant
	doubted    bool
	// replaced is the entry that an older one has replaced, or nil. It does not come back.
	replaced *Entry
}

// Leaving reports whether the upstream is draining or gone.
func (up *Upstream) Leaving() bool { return up.LeavingAt != clock.Never }

// Change is one change of an upstream's state, for logs.
type Change struct {
	Upstream ident.Upstream
	// Kind is "joined", "restarted", "draining", "announcedLeaving" or "gone".
	Kind string
	// MissingFor is how long the entry of a gone upstream has been missing.
	MissingFor time.Duration
	// Unannounced reports that an upstream has ended, or restarted, that was not leaving.
	Unannounced bool
}

// Roster is the list of upstreams. It is not safe for concurrent use.
type Roster struct {
	upstreams map[ident.Upstream]*Upstream
	// graceUntil is the time until which no missing upstream counts as gone.
	graceUntil clock.Instant
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{upstreams: map[ident.Upstream]*Upstream{}}
}

// GraceLeft returns the time for which missing upstreams do not yet count as gone.
func (rs *Roster) GraceLeft(now clock.Instant) time.Duration { return max(rs.graceUntil.Sub(now), 0) }

// ExtendGrace extends the grace period for missing entries to at least the given
// time from now.
func (rs *Roster) ExtendGrace(now clock.Instant, left time.Duration) {
	rs.graceUntil = max(rs.graceUntil, now.Add(left))
}

// Digest hashes the entries, in any order. It stays the same while upstreams only
// renew their entries, as it leaves out the sequence and the exact cold time.
func Digest(entries []Entry) uint64 {
	sum := uint64(len(entries))
	for _, en := range entries {
		// A sum does not depend on the order of the entries.
		sum += en.digest()
	}
	return sum
}

// digest hashes the fields in which a change matters to other hosts.
func (en *Entry) digest() uint64 {
	buf := make([]byte, 0, digestBufferBytes)
	for _, field := range []string{string(en.ID), string(en.Service), en.Address, string(en.Domain)} {
		buf = append(append(buf, field...), 0)
	}
	buf = binary.AppendVarint(buf, int64(en.Slots))
	buf = binary.AppendVarint(buf, int64(en.Incarnation))
	buf = strconv.AppendBool(buf, en.Draining)
	buf = strconv.AppendBool(buf, en.ColdLeft > 0)
	return xxhash.Sum64(buf)
}

// StoreRecovered starts the grace period for missing entries after an outage of the
// store.
func (rs *Roster) StoreRecovered(now clock.Instant) {
	rs.graceUntil = now.Add(storeRecoveryGrace)
}

// Update applies a complete list of entries and returns the changes. Outside the
// grace period an upstream that is not in the list is gone, and it is removed after
// goneRetention.
func (rs *Roster) Update(now clock.Instant, entries []Entry) []Change {
	var changes []Change
	listed := make(map[ident.Upstream]bool, len(entries))
	for _, en := range entries {
		listed[en.ID] = true
		if ch, changed := rs.updateEntry(now, en); changed {
			changes = append(changes, ch)
		}
	}
	for id, up := range rs.upstreams {
		if listed[id] {
			up.missingSince = clock.Never
			continue
		}
		up.missingSince = min(up.missingSince, now)
		switch {
		case now.Before(rs.graceUntil):
		case !up.Gone:
			changes = append(changes, Change{Upstream: id, Kind: "gone", MissingFor: now.Sub(up.missingSince), Unannounced: !up.Leaving()})
			up.Gone, up.LeavingAt = true, min(up.LeavingAt, now)
		case now.Sub(up.missingSince) > goneRetention:
			delete(rs.upstreams, id)
		}
	}
	return changes
}

// isOlder reports whether an entry comes before another one of the same upstream.
func (en *Entry) isOlder(than Entry) bool {
	return en.Incarnation < than.Incarnation || en.Incarnation == than.Incarnation && en.Sequence < than.Sequence
}

// isSameVersion reports whether an upstream wrote both entries as the same one.
func (en *Entry) isSameVersion(as Entry) bool {
	return en.Incarnation == as.Incarnation && en.Sequence == as.Sequence
}

// updateEntry applies one entry unless a newer one is known. It reports whether
// there is a change to log.
func (rs *Roster) updateEntry(now clock.Instant, en Entry) (Change, bool) {
	up, known := rs.upstreams[en.ID]
	older := known && en.isOlder(up.Entry)
	switch {
	case known && up.replaced != nil && en.isSameVersion(*up.replaced):
		return Change{}, false
	case older && !up.doubted:
		up.olderSince = min(up.olderSince, now)
		up.doubted = now.Sub(up.olderSince) >= olderEntryTimeout && !now.Before(rs.graceUntil)
		return Change{}, false
	case known && up.Entry.isOlder(en):
		up.olderSince, up.doubted = clock.Never, false
	}
	if known && up.Gone && en.isSameVersion(up.Entry) {
		// The store came back from a copy that still has the entry.
		return Change{}, false
	}
	if known && !up.Gone && en.isSameVersion(up.Entry) && en.Draining == up.Draining {
		return Change{}, false
	}
	ch := Change{Upstream: en.ID}
	if !known || en.Incarnation != up.Incarnation || up.Gone || older {
		ch.Kind = "joined"
		if known && en.Incarnation > up.Incarnation {
			ch.Kind, ch.Unannounced = "restarted", !up.Leaving()
		}
		before := up
		up = &Upstream{LeavingAt: clock.Never, missingSince: clock.Never, olderSince: clock.Never}
		rs.upstreams[en.ID] = up
		if older {
			up.replaced = &before.Entry
		} else if known {
			up.replaced = before.replaced
		}
		if known && en.Incarnation == before.Incarnation {
			// What an upstream says of itself holds although its entry was missing.
			up.announced, up.Limit, up.LimitAt = before.announced, before.Limit, before.LimitAt
			if up.announced {
				up.LeavingAt = before.LeavingAt
			}
		}
	}
	up.Entry = en
	up.ColdUntil = now.Add(en.ColdLeft)
	if en.Draining && !up.Leaving() {
		up.LeavingAt = now
		ch.Kind = "draining"
	}
	if !en.Draining && !up.announced {
		up.LeavingAt = clock.Never
	}
	return ch, ch.Kind != ""
}

// Announce records that an upstream has said in an answer that it is leaving. It
// returns false if that was known.
func (rs *Roster) Announce(now clock.Instant, id ident.Upstream) (Change, bool) {
	up, known := rs.upstreams[id]
	if !known || up.announced {
		return Change{}, false
	}
	up.announced = true
	if up.Leaving() {
		return Change{}, false
	}
	up.LeavingAt = now
	return Change{Upstream: id, Kind: "announcedLeaving"}, true
}

// minLimit is the smallest limit that is kept: an upstream that gets no request cannot say
// that it takes more.
const minLimit = rate.PerSecond(0.5)

// NameLimit records how many requests an upstream takes, as an answer of one of its
// incarnations says for a time. It returns false if the limit in force stays.
func (rs *Roster) NameLimit(id ident.Upstream, incarnation Incarnation, at clock.Instant, lm rate.Limit) (changed bool) {
	up, known := rs.upstreams[id]
	if !known || up.Incarnation != incarnation || at <= up.LimitAt {
		return false
	}
	if lm.Named {
		lm.PerSecond = max(lm.PerSecond, minLimit)
	}
	changed = up.Limit != lm
	up.Limit, up.LimitAt = lm, at
	return changed
}

// MarkLeaving marks those entries as draining whose upstream is known to leave
// although the entry does not say so.
func (rs *Roster) MarkLeaving(entries []Entry) {
	for ix := range entries {
		up, known := rs.upstreams[entries[ix].ID]
		if !known || up.Incarnation != entries[ix].Incarnation {
			continue
		}
		// An upstream that was gone leaves no longer once it has written a newer entry. An
		// entry that is doubted says nothing about others.
		if up.announced || !up.doubted && (up.Draining || up.Gone && entries[ix].Sequence <= up.Sequence) {
			entries[ix].Draining = true
		}
	}
}

// Get returns the upstream with the given id.
func (rs *Roster) Get(id ident.Upstream) (*Upstream, bool) {
	up, ok := rs.upstreams[id]
	return up, ok
}

// All calls visit for every upstream, in no particular order.
func (rs *Roster) All(visit func(*Upstream)) {
	for _, up := range rs.upstreams {
		visit(up)
	}
}

// Len returns the number of upstreams, gone ones included.
func (rs *Roster) Len() int { return len(rs.upstreams) }
