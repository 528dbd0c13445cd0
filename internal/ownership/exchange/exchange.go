// Package exchange names what the ownership cores say to peers, to the table
// and to upstreams, and what they hear back.
//
//	return []exchange.Cmd{exchange.SendCmd{To: leader, Notice: exchange.Beat{Term: 7}}}
package exchange

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/table"
)

// Incarnation tells the processes of one host apart. It is the wall clock at the
// start, in nanoseconds: a process numbers its questions from there, so that an
// answer to an earlier process never fits a question of a later one.
type Incarnation uint64

// Cmd is something to do; Command marks its types.
type Cmd interface{ Command() }

// SendCmd sends a notice to a peer; it may be lost, late or repeated.
type SendCmd struct {
	To     ident.Host
	Notice Notice
}

// TableCmd reads rows or writes them in one transaction; its result comes back
// with the same tag and number.
type TableCmd struct {
	Tag    string
	Number uint64
	// Key is the row to read, when Writes is empty.
	Key    string
	Writes []table.Write
}

// OrderCmd sends an order to an upstream; its answer is an UpstreamMsg with the
// same number.
type OrderCmd struct {
	Upstream ident.Upstream
	Number   uint64
	Order    grant.Order
}

// Command marks a command.
func (SendCmd) Command() {}

// Command marks a command.
func (TableCmd) Command() {}

// Command marks a command.
func (OrderCmd) Command() {}

// TableMsg is the result of a TableCmd.
type TableMsg struct {
	Tag    string
	Number uint64
	Result table.Result
}

// UpstreamMsg is an upstream's answer to an order, or its absence.
type UpstreamMsg struct {
	Upstream ident.Upstream
	Number   uint64
	Order    grant.Order
	Reply    grant.Reply
	Err      error
}

// Notice is what one node says to another.
type Notice interface{ isNotice() }

// Beat is a node's heartbeat to the leader of its domain.
type Beat struct {
	Incarnation Incarnation
	// Reading is the sender's clock.
	Reading clock.Instant
	// Echo is the leader's clock in the last answer; a promise starts after it.
	Echo clock.Instant
	Term uint64
	// Promise says that the sender supports no other leader for one promise.
	Promise bool
	// Assignment and Routes are the numbers of what the sender has in force.
	Assignment uint64
	Routes     uint64
	// Held are the pools that the sender holds by an earlier leader's lease.
	Held []Claim
	// Refused are the tokens that upstreams set against the sender's.
	Refused []Claim
	// Leaving says that the sender is about to stop.
	Leaving bool
}

// Claim names a pool with the token of its holder.
type Claim struct {
	Pool  ident.Pool
	Term  uint64
	Epoch uint64
}

// Lease is the leader's answer to a heartbeat, or its first word to a peer.
type Lease struct {
	Term    uint64
	Counter uint64
	// Witnessed says that the leader goes by its followers alone.
	Witnessed bool
	// Incarnation is that of the process addressed; zero for a first word.
	Incarnation Incarnation
	// Reading is the leader's clock.
	Reading clock.Instant
	// Heard is the reading of the heartbeat that this answers.
	Heard clock.Instant
	// Until ends the lease of all assigned pools, on the receiver's clock.
	Until clock.Instant
	// Assignment numbers Pools, which is left out when the receiver has it.
	Assignment uint64
	Changed    bool
	Pools      []Assigned
	// RouteNumber numbers the routes; Routes are those changed since Beat.Routes.
	RouteNumber uint64
	Routes      []Holding
}

// Assigned is a pool that the receiver is to hold.
type Assigned struct {
	Pool  ident.Pool
	Term  uint64
	Epoch uint64
	// Quiet is how long, from receipt, an earlier holder's grants may last.
	Quiet time.Duration
}

// Holding names the holder of a pool; none while there is none.
type Holding struct {
	Pool   ident.Pool
	Holder ident.Host
}

// Ask asks for a vote.
type Ask struct {
	Round uint64
	Term  uint64
	// Table says that the asker can write the row; else it asks a majority
	// that knows the leader to be witnessed.
	Table bool
	// Withdrawn says that the bid was given up and counts no vote any more.
	Withdrawn bool
}

// Vote answers an Ask.
type Vote struct {
	Round   uint64
	Granted bool
	// Term is the highest that the voter knows.
	Term uint64
}

// Lead names the leader that the sender knows.
type Lead struct {
	Leader ident.Host
	Term   uint64
}

// Seek asks a peer which leader it knows.
type Seek struct{}

// Carry asks a peer to do a table operation for the sender.
type Carry struct {
	Tag    string
	Number uint64
	Key    string
	Writes []table.Write
}

// Carried is the result of a Carry.
type Carried struct {
	Tag    string
	Number uint64
	Result table.Result
}

// Copy leaves a pool's row with a peer.
type Copy struct {
	Pool   ident.Pool
	Number uint64
	Value  []byte
}

// Copied confirms a Copy.
type Copied struct {
	Pool   ident.Pool
	Number uint64
}

// Recall asks a peer for its copy of a pool's row.
type Recall struct{ Pool ident.Pool }

// Recalled answers a Recall; an empty value says that there is no copy.
type Recalled struct {
	Pool  ident.Pool
	Value []byte
}

// Offer says which routes of a domain its leader can tell.
type Offer struct {
	Domain ident.Domain
	Leader ident.Host
	Term   uint64
	Number uint64
}

// Want asks a leader for its domain's routes.
type Want struct{}

// Told gives all routes of a domain.
type Told struct {
	Offer  Offer
	Routes []Holding
}

// Place is the row that gives each slice of a service its pool.
type Place struct {
	Service ident.Service
	Version table.Version
	Value   []byte
}

// WantPlace asks a peer for the Place of a service.
type WantPlace struct {
	Service ident.Service
	// Known is the version that the asker has; an older one is not news to it.
	Known table.Version
}

func (Place) isNotice()     {}
func (WantPlace) isNotice() {}
func (Beat) isNotice()      {}
func (Lease) isNotice()     {}
func (Ask) isNotice()       {}
func (Vote) isNotice()      {}
func (Lead) isNotice()      {}
func (Seek) isNotice()      {}
func (Carry) isNotice()     {}
func (Carried) isNotice()   {}
func (Copy) isNotice()      {}
func (Copied) isNotice()    {}
func (Recall) isNotice()    {}
func (Recalled) isNotice()  {}
func (Offer) isNotice()     {}
func (Want) isNotice()      {}
func (Told) isNotice()      {}
