package protocol

import (
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
)

// Roster carries one part of the upstream entries that the leader read. Part counts
// from 0, Parts is the number of parts.
type Roster struct {
	Term Term
	// Version is the store's version of the entries.
	Version uint64
	// GraceLeft is how long missing entries may still reappear.
	GraceLeft   time.Duration
	Part, Parts int
	Entries     []roster.Entry
}

// RosterDelta carries the changes of the upstream entries, with Version and
// GraceLeft as in Roster.
type RosterDelta struct {
	Term      Term
	Version   uint64
	GraceLeft time.Duration
	roster.Delta
}

func (ms *Roster) code(cd *codec) {
	varint(cd, &ms.Term)
	varint(cd, &ms.Version)
	duration(cd, &ms.GraceLeft)
	varint(cd, &ms.Part)
	varint(cd, &ms.Parts)
	list(cd, &ms.Entries, func(en *roster.Entry) { codeEntry(cd, en) })
}

func codeEntry(cd *codec, en *roster.Entry) {
	text(cd, &en.ID)
	text(cd, &en.Service)
	text(cd, &en.Address)
	text(cd, &en.Domain)
	varint(cd, &en.Slots)
	boolean(cd, &en.Draining)
	duration(cd, &en.ColdLeft)
	varint(cd, &en.Sequence)
	varint(cd, &en.Incarnation)
}

func (ms *RosterDelta) code(cd *codec) {
	varint(cd, &ms.Term)
	varint(cd, &ms.Version)
	duration(cd, &ms.GraceLeft)
	varint(cd, &ms.Base)
	list(cd, &ms.Gone, func(id *ident.Upstream) { text(cd, id) })
	list(cd, &ms.Entries, func(en *roster.Entry) { codeEntry(cd, en) })
}
