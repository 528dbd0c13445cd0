package leader

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/peer/protocol"
)

// StatusMsg carries the periodic status of a member.
type StatusMsg struct {
	Status protocol.Status
	// Follows reports whether the member has heard of this leader's term.
	Follows bool
	// Own reports whether it is the status of the leader's own host.
	Own bool
}

// ReportMsg is the assignment that a member remembers from an earlier era.
type ReportMsg struct{ Table *assignment.Table }

// UpstreamsMsg lists the keyed services and all their upstreams.
type UpstreamsMsg struct {
	Keyed     map[ident.Service]bool
	Upstreams []Upstream
}

// Upstream describes one upstream to the leader.
type Upstream struct {
	ID          ident.Upstream
	Service     ident.Service
	Domain      ident.Domain
	Slots       int
	Incarnation roster.Incarnation
	// Usable upstreams may own keys; the keys of others are moved away.
	Usable bool
	// ColdUntil is when its warm-up ends.
	ColdUntil clock.Instant
	// ColdRate is how many requests per second it can take during warm-up.
	ColdRate float64
	// Limit is how many requests it takes from all hosts together, until LimitUntil.
	Limit      rate.Limit
	LimitUntil clock.Instant
}

// CommittedMsg reports that a commit took effect, with the table now in the store.
type CommittedMsg struct{ Table *assignment.Table }

// CommitFailedMsg reports that the last commit did not take effect.
type CommitFailedMsg struct{}

// TableReadMsg carries a table read from the store: after a commit with an unknown
// outcome, or one that such a commit has left there later.
type TableReadMsg struct{ Table *assignment.Table }

// StepMsg is the result of a CallCmd.
type StepMsg struct {
	Move     MoveID
	Step     Step
	Result   Result
	Handover keyspace.Handover
}

// CheckedMsg is the result of a CheckCmd.
type CheckedMsg struct {
	Upstream    ident.Upstream
	Incarnation roster.Incarnation
	Reached     bool
}

// Result is the outcome of a call to an upstream.
type Result int

const (
	// Unknown means that the call may have taken effect or may still do so.
	Unknown Result = iota
	// Taken means that the call took effect.
	Taken
	// Superseded means that the upstream has seen a higher epoch.
	Superseded
	// Refused means that the call had no effect.
	Refused
	// Misdirected means that the address now belongs to another upstream.
	Misdirected
)

// TickMsg reports that time has passed.
type TickMsg struct{}

// CommitCmd requests a write of the table to the store.
type CommitCmd struct{ Table *assignment.Table }

// CallCmd requests a call to an upstream for one step of a move.
type CallCmd struct {
	Move     MoveID
	Step     Step
	Service  ident.Service
	Upstream ident.Upstream
	Range    keyspace.Range
	Epoch    keyspace.Epoch
	// TTL is the lifetime of the grant, 0 for a release.
	TTL time.Duration
	// Handover is what the old owner returned on release, for the next owner.
	Handover keyspace.Handover
	Timeout  time.Duration
}

// CheckCmd requests a call that shows whether an upstream that owns no keys answers at its
// address. The call must change nothing.
type CheckCmd struct {
	Upstream    ident.Upstream
	Incarnation roster.Incarnation
	Timeout     time.Duration
}

// EventCmd requests a log event.
type EventCmd struct {
	Name   string
	Fields map[string]any
}

// Cmd is a CommitCmd, CallCmd, CheckCmd or EventCmd.
type Cmd any
