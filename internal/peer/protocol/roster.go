package protocol

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"

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
	// Malformed are the errors of the entries that Decode has left out.
	Malformed []error
}

// RosterDelta carries the changes of the upstream entries, with Version and
// GraceLeft as in Roster.
type RosterDelta struct {
	Term      Term
	Version   uint64
	GraceLeft time.Duration
	roster.Delta
	// Malformed are the errors of the entries that Decode has left out. Their upstreams
	// are gone, as with malformed rows of the store.
	Malformed []error
}

func (ms *Roster) code(cd *codec) {
	varint(cd, &ms.Term)
	varint(cd, &ms.Version)
	duration(cd, &ms.GraceLeft)
	varint(cd, &ms.Part)
	varint(cd, &ms.Parts)
	codeEntries(cd, &ms.Entries, &ms.Malformed)
}

// EntryBytes returns the size of an entry in a message.
func EntryBytes(en *roster.Entry) int {
	sum := protowire.SizeVarint(uint64(en.Slots)) + protowire.SizeVarint(protowire.EncodeBool(en.Draining)) +
		protowire.SizeVarint(uint64(max(en.ColdLeft.Microseconds(), 0))) + protowire.SizeVarint(en.Sequence) + protowire.SizeVarint(uint64(en.Incarnation))
	for _, field := range [...]int{len(en.ID), len(en.Service), len(en.Address), len(en.Domain)} {
		sum += protowire.SizeBytes(field)
	}
	return sum
}

// codeEntries codes entries. On reading, those beyond the bounds in package roster are
// left out; it returns the ids of these.
func codeEntries(cd *codec, entries *[]roster.Entry, malformed *[]error) []ident.Upstream {
	list(cd, entries, func(en *roster.Entry) { codeEntry(cd, en) })
	if !cd.reading || cd.err != nil {
		return nil
	}
	var ids []ident.Upstream
	*entries = slices.DeleteFunc(*entries, func(en roster.Entry) bool {
		err := en.Check()
		if err != nil {
			ids = append(ids, en.ID)
			*malformed = append(*malformed, eris.Errorf("entry %.200q: %.300s", en.ID, err.Error()))
		}
		return err != nil
	})
	return ids
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
	ms.Gone = append(ms.Gone, codeEntries(cd, &ms.Entries, &ms.Malformed)...)
}
