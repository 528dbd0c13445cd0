package agent

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/peer/protocol"
)

// Outcome is the result of a write to the store as far as it is known.
type Outcome int

const (
	// Unknown means that the write may have taken effect or may still do so.
	Unknown Outcome = iota
	// Done means that the write took effect.
	Done
	// Conflict means that a row had another version and nothing was written.
	Conflict
	// NotDone means that nothing was written.
	NotDone
)

// RowsMsg is the result of a read of the leader's row and the assignment that
// started at StartedAt. After a failed read only StartedAt and Failed are set.
type RowsMsg struct {
	StartedAt clock.Instant
	Failed    bool
	// Era is the era of the store that was read.
	Era era.Era
	// EraRowVersion is the version of the row that marks this era, or 0 if no host
	// has led in it.
	EraRowVersion election.Version
	Row           election.Row
	RowVersion    election.Version
	// RowUnreadable means that the leader's row exists and could not be decoded.
	RowUnreadable bool
	Table         *assignment.Table
	TableVersion  election.Version
	// TableUnreadable means that the assignment exists and could not be decoded.
	TableUnreadable bool
}

// WrittenMsg is the result of a write that started at StartedAt. Version is the new
// version of the written row if the outcome is Done.
type WrittenMsg struct {
	Write     WriteCmd
	StartedAt clock.Instant
	Outcome   Outcome
	Version   election.Version
}

// StatusMsg is a member's status. From is the sender's address, empty for this
// host's own status.
type StatusMsg struct {
	Status protocol.Status
	From   string
}

// HeartbeatMsg is a leader's heartbeat from the address From.
type HeartbeatMsg struct {
	Heartbeat protocol.Heartbeat
	From      string
}

// AssignmentMsg is a heartbeat with a whole assignment from the leader.
type AssignmentMsg struct {
	Heartbeat protocol.Heartbeat
	Table     *assignment.Table
	From      string
}

// ReportMsg is the assignment that a member remembers from an earlier era. The leader
// asked for it with a recovering heartbeat.
type ReportMsg struct{ Table *assignment.Table }

// DeltaMsg is a heartbeat with a change of the assignment from the leader.
type DeltaMsg struct {
	Heartbeat protocol.Heartbeat
	Delta     assignment.Delta
	From      string
}

// UpstreamsMsg lists the upstreams and their failure domains.
type UpstreamsMsg struct {
	// ForLeader is passed to the leader while this host is elected.
	ForLeader leader.UpstreamsMsg
	Domains   map[ident.Upstream]ident.Domain
}

// StepMsg is the result of a call for a move of keys.
type StepMsg leader.StepMsg

// CheckedMsg is the result of a check of an upstream.
type CheckedMsg leader.CheckedMsg

// RenewedMsg is the result of renewing an upstream's grants.
type RenewedMsg renewal.ResultMsg

// StopMsg starts the graceful shutdown of this host.
type StopMsg struct{}

// TickMsg is sent when the time that Next returned has come.
type TickMsg struct{}

// ReadCmd reads the leader's row and the assignment; RowsMsg is the result.
type ReadCmd struct{}

// WriteCmd writes the leader's row or the assignment if both rows still have the
// versions RowVersion and TableVersion and the row that marks the era still has
// EraRowVersion; if that is 0, the row is written too. One of Row and Table is nil.
// WrittenMsg is the result.
type WriteCmd struct {
	Era           era.Era
	EraRowVersion election.Version
	Row           *election.Row
	Table         *assignment.Table
	RowVersion    election.Version
	TableVersion  election.Version
}

// CallCmd calls an upstream for a move of keys; StepMsg is the result.
type CallCmd leader.CallCmd

// CheckCmd checks whether an upstream answers; CheckedMsg is the result.
type CheckCmd leader.CheckCmd

// RenewCmd renews an upstream's grants; RenewedMsg is the result.
type RenewCmd renewal.RenewCmd

// EventCmd logs an event.
type EventCmd leader.EventCmd

// StatusCmd sends this host's status, with the load that it has counted since
// the last one, to the leader's address. An empty To means this host itself,
// which gets it as a StatusMsg.
type StatusCmd struct {
	To     string
	Status protocol.Status
}

// HeartbeatCmd sends a heartbeat to a member.
type HeartbeatCmd struct {
	To        string
	Heartbeat protocol.Heartbeat
}

// AssignmentCmd sends the assignment in force to a member that knows Base. Base
// is nil if what the member knows is too old for a delta.
type AssignmentCmd struct {
	To          string
	Heartbeat   protocol.Heartbeat
	Table, Base *assignment.Table
}

// ReportCmd sends the assignment that this host remembers to a recovering leader.
type ReportCmd struct {
	To    string
	Table *assignment.Table
}

// TableCmd publishes a newer assignment that is now in force.
type TableCmd struct{ Table *assignment.Table }

// Cmd is a command that Update returns: one of the …Cmd types of this package.
type Cmd any
