// Package roster tells which upstreams exist and which of them may get work,
// from the entries that they keep in the platform's store.
//
//	bk := roster.New()
//	changes := bk.Update(now, entries)
//	up, ok := bk.Get("i-7f3a91c2")
package roster

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
)

// returnTime is how long an entry that vanished while the store was away may
// take to come back before its upstream counts as gone; the platform states
// about two seconds for it.
const returnTime = 2 * time.Second

// forgetTime is how long an upstream without an entry is remembered.
const forgetTime = 5 * time.Second

// digestBytes is enough for the text that sums up an entry.
const digestBytes = 128

// Life tells an upstream's incarnations apart.
type Life int64

// Entry is what an upstream says of itself.
type Entry struct {
	ID      ident.Upstream
	Service ident.Service
	Address string
	Domain  ident.Domain
	Slots   int
	// Draining upstreams finish their work and leave.
	Draining bool
	// ColdLeft is how long the upstream stays cold, from when it wrote this.
	ColdLeft time.Duration
	Sequence uint64
	Life     Life
}

// Upstream is a listed upstream with what is known of it.
type Upstream struct {
	Entry
	// ColdUntil is when the upstream stops being cold.
	ColdUntil clock.Instant
	// LeavingAt is when its leaving was first seen, clock.Never before that.
	LeavingAt clock.Instant
	// Gone tells that it has no entry any more.
	Gone bool
	// missingSince is when its entry was first missing, clock.Never before.
	missingSince clock.Instant
}

// Leaving tells whether the upstream is on its way out.
func (up *Upstream) Leaving() bool { return up.LeavingAt != clock.Never }

// Change is one thing that the book now believes of an upstream.
type Change struct {
	Upstream ident.Upstream
	What     string
	Age      time.Duration
}

// Book is the list of upstreams. It is not safe for concurrent use.
type Book struct {
	upstreams map[ident.Upstream]*Upstream
	// graceUntil is until when missing entries may still come back.
	graceUntil clock.Instant
}

// New makes an empty book.
func New() *Book {
	return &Book{upstreams: map[ident.Upstream]*Upstream{}}
}

// GraceLeft is how long missing entries may still come back.
func (bk *Book) GraceLeft(now clock.Instant) time.Duration { return max(bk.graceUntil.Sub(now), 0) }

// Grace lets missing entries come back for a while.
func (bk *Book) Grace(now clock.Instant, left time.Duration) {
	bk.graceUntil = max(bk.graceUntil, now.Add(left))
}

// Digest sums up what of the entries matters to anybody: it stays the same
// while upstreams only say again that they are there.
func Digest(entries []Entry) uint64 {
	sum := uint64(len(entries))
	for _, en := range entries {
		// The order of the entries does not matter.
		sum += en.digest()
	}
	return sum
}

func (en *Entry) digest() uint64 {
	text := make([]byte, 0, digestBytes)
	for _, field := range []string{string(en.ID), string(en.Service), en.Address, string(en.Domain)} {
		text = append(append(text, field...), 0)
	}
	text = binary.AppendVarint(text, int64(en.Slots))
	text = binary.AppendVarint(text, int64(en.Life))
	text = strconv.AppendBool(text, en.Draining)
	text = strconv.AppendBool(text, en.ColdLeft > 0)
	return xxhash.Sum64(text)
}

// StoreReturned notes that the store answers again after it was away.
func (bk *Book) StoreReturned(now clock.Instant) {
	bk.graceUntil = now.Add(returnTime)
}

// Update takes a complete read and returns what changed.
func (bk *Book) Update(now clock.Instant, entries []Entry) []Change {
	var changes []Change
	listed := make(map[ident.Upstream]bool, len(entries))
	for _, en := range entries {
		listed[en.ID] = true
		if ch, changed := bk.take(now, en); changed {
			changes = append(changes, ch)
		}
	}
	for id, up := range bk.upstreams {
		if listed[id] {
			up.missingSince = clock.Never
			continue
		}
		up.missingSince = min(up.missingSince, now)
		switch {
		case now.Before(bk.graceUntil):
		case !up.Gone:
			up.Gone, up.LeavingAt = true, min(up.LeavingAt, now)
			changes = append(changes, Change{Upstream: id, What: "gone", Age: now.Sub(up.missingSince)})
		case now.Sub(up.missingSince) > forgetTime:
			delete(bk.upstreams, id)
		}
	}
	return changes
}

// take notes one entry, unless it is older than what is known.
func (bk *Book) take(now clock.Instant, en Entry) (Change, bool) {
	up, known := bk.upstreams[en.ID]
	if known && (en.Life < up.Life || en.Life == up.Life && en.Sequence < up.Sequence) {
		return Change{}, false
	}
	if known && !up.Gone && en.Life == up.Life && en.Sequence == up.Sequence && en.Draining == up.Draining {
		return Change{}, false
	}
	ch := Change{Upstream: en.ID}
	if !known || en.Life != up.Life || up.Gone {
		ch.What = "joined"
		if known && en.Life != up.Life {
			ch.What = "restarted"
		}
		up = &Upstream{LeavingAt: clock.Never, missingSince: clock.Never}
		bk.upstreams[en.ID] = up
	}
	up.Entry = en
	up.ColdUntil = now.Add(en.ColdLeft)
	if en.Draining && !up.Leaving() {
		up.LeavingAt = now
		ch.What = "draining"
	}
	if !en.Draining {
		up.LeavingAt = clock.Never
	}
	return ch, ch.What != ""
}

// Get finds an upstream by its id.
func (bk *Book) Get(id ident.Upstream) (*Upstream, bool) {
	up, ok := bk.upstreams[id]
	return up, ok
}

// All calls visit for every listed upstream.
func (bk *Book) All(visit func(*Upstream)) {
	for _, up := range bk.upstreams {
		visit(up)
	}
}

// Len counts the listed upstreams.
func (bk *Book) Len() int { return len(bk.upstreams) }
