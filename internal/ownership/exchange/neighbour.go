package exchange

import (
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/table"
)

// NeighbourKind says what a Neighbour carries.
type NeighbourKind uint8

const (
	// NeighbourBeat is a domain's heartbeat to another one.
	NeighbourBeat NeighbourKind = iota + 1
	// NeighbourSupport promises a domain support.
	NeighbourSupport
	// NeighbourAsk asks for the release of a domain.
	NeighbourAsk
	// NeighbourRelease gives it.
	NeighbourRelease
	// NeighbourAlive says that a host of the domain is up, whoever leads it.
	NeighbourAlive
)

// Neighbour is a word from the leader of one domain to that of another; package
// domain says what its fields mean. Any host of the addressed domain takes it
// and passes it once to its own leader.
type Neighbour struct {
	Kind   NeighbourKind
	From   ident.Domain
	Leader ident.Host
	To     ident.Domain
	About  ident.Domain
	// Term and Reading are the sender's in a heartbeat and an ask, else those of
	// the leader that is answered.
	Term    uint64
	Reading clock.Instant
	Until   clock.Instant
	Row     table.Version
	// EchoTerm and Echo are the clock that a heartbeat has heard, or the clock of
	// the sender of a promise.
	EchoTerm uint64
	Echo     clock.Instant
	// Flag is Covered in a heartbeat, and Vouched in a promise.
	Flag bool
}

func (Neighbour) isNotice() {}
