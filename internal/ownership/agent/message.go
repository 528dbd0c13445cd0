package agent

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/peer/protocol"
)

// Outcome tells what is known of a write to the store.
type Outcome int

const (
	// Unknown means that it may have been done, or may still be.
	Unknown Outcome = iota
	// Done means that it took effect.
	Done
	// Conflict means that a row had changed and nothing was written.
	Conflict
	// NotDone means that nothing was written.
	NotDone
)

// RowsMsg is the end of a read of the leader's row and the assignment.
type RowsMsg struct {
	Began   clock.Instant
	Failed  bool
	Row     election.Row
	RowAt   election.Version
	Table   *assignment.Table
	TableAt election.Version
}

// WrittenMsg is the end of a write.
type WrittenMsg struct {
	Write   WriteCmd
	Began   clock.Instant
	Outcome Outcome
	Version election.Version
}

// StatusMsg is a member's status; From is where it came from.
type StatusMsg struct {
	Status protocol.Status
	From   string
}

// BeatMsg is a heartbeat of a leader.
type BeatMsg struct {
	Beat protocol.Heartbeat
	From string
}

// ViewMsg is an assignment from a leader.
type ViewMsg struct {
	Beat  protocol.Heartbeat
	Table *assignment.Table
	From  string
}

// DeltaMsg is what a leader says that changed of the assignment.
type DeltaMsg struct {
	Beat  protocol.Heartbeat
	Delta assignment.Delta
	From  string
}

// FleetMsg tells which upstreams there are.
type FleetMsg struct {
	Fleet   leader.FleetMsg
	Domains map[ident.Upstream]ident.Domain
}

// StepMsg is the end of a call about a move.
type StepMsg leader.StepMsg

// RenewedMsg is the end of a renewal.
type RenewedMsg renewal.ResultMsg

// StopMsg begins a planned stop.
type StopMsg struct{}

// TickMsg says that time has passed.
type TickMsg struct{}

// ReadCmd tells to read the leader's row and the assignment.
type ReadCmd struct{}

// WriteCmd tells to write the leader's row or the assignment, if both still
// have the versions. One of Row and Table is nil.
type WriteCmd struct {
	Row     *election.Row
	Table   *assignment.Table
	RowAt   election.Version
	TableAt election.Version
}

// CallCmd tells to make a call about a move.
type CallCmd leader.CallCmd

// RenewCmd tells to renew an upstream's grants.
type RenewCmd renewal.RenewCmd

// EventCmd is a change of belief, for the log.
type EventCmd leader.EventCmd

// StatusCmd tells to send this host's status with what it counted.
type StatusCmd struct {
	To     string
	Status protocol.Status
}

// BeatCmd tells to send a heartbeat of this host as the leader. RosterAt and RosterDigest
// are of the upstreams' entries that the receiver knows.
type BeatCmd struct {
	To                     string
	RosterAt, RosterDigest uint64
	Beat                   protocol.Heartbeat
}

// ViewCmd tells to send the assignment in force, to a receiver that knows Base;
// nil where what it knows is too old.
type ViewCmd struct {
	To          string
	Beat        protocol.Heartbeat
	Table, Base *assignment.Table
}

// TableCmd says that a newer assignment is in force.
type TableCmd struct{ Table *assignment.Table }

// Cmd is one of the commands.
type Cmd any
