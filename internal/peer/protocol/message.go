// Package protocol defines the messages between the hosts of chervilwalk and
// encodes each as one datagram.
//
//	datagram := protocol.Encode(protocol.Ask{Ticket: 7, Service: "lookup", Key: 4711, Keyed: true})
//	msg, err := protocol.Decode(datagram)
package protocol

import (
	"fmt"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
)

// version is the first byte of each datagram; other versions are rejected.
const version = 1

// Term is the number of a leader's term.
type Term uint64

// Ticket identifies one ask for a permit; it is unique per host and incarnation.
type Ticket uint64

// Msg is a message between hosts; number identifies its type in the datagram.
type Msg interface{ number() uint8 }

// KeyLoad is the number of requests for a key since the host's last status.
type KeyLoad struct {
	Service ident.Service
	Key     keyspace.Key
	Count   int
}

// UpstreamLoad is what a host measured of an upstream since its last status.
type UpstreamLoad struct {
	Upstream ident.Upstream
	Answers  int
	// WorkTime is the sum of the times that the answers took.
	WorkTime time.Duration
	Failures int
	// UnreachedFor is how long the renewals of the upstream's grants have failed.
	UnreachedFor time.Duration
	// Superseded means that the upstream saw a higher epoch than the renewed one.
	Superseded bool
}

// Status reports to the leader that a member is alive and what it measured.
type Status struct {
	Member   assignment.Member
	Term     Term
	Revision assignment.Revision
	// Stopping members issue no permits and renew no grants.
	Stopping bool
	// SentAt is the time of sending, by the member's own clock.
	SentAt clock.Instant
	// RosterVersion is the store's version of the upstream entries that the member
	// knows, RosterDigest their digest.
	RosterVersion, RosterDigest uint64

	Keys      []KeyLoad
	Upstreams []UpstreamLoad
}

// Heartbeat is the leader's heartbeat, the reply to a status.
type Heartbeat struct {
	Term     Term
	Leader   ident.Host
	Revision assignment.Revision
	// StoreAge is the time since the store last confirmed the leader.
	StoreAge time.Duration
	// RowVersion is the store's version of the leader's row.
	RowVersion uint64
	// Echo is the SentAt of the last status that the leader received from this
	// member; zero if there is none. The heartbeat's content was valid at that
	// time or later, however long its delivery took.
	Echo clock.Instant
	Freshness
	// Recovering asks for the members' assignments: the store came back from an older
	// copy and this leader does not know yet whether its own is the newest. It
	// confirms nothing. Heartbeats with an assignment never have it.
	Recovering bool
}

// Report carries one part of the encoded assignment that a member remembers, as the
// reply to a recovering heartbeat.
type Report struct {
	Host        ident.Host
	Revision    assignment.Revision
	Part, Parts int
	Body        string
}

// Freshness states how recent the leader's data from the store is. Members whose
// data is as recent need not read the store.
type Freshness struct {
	// RosterVersion is the store's version of the last change of the upstream entries,
	// RosterAge the time since the leader read them.
	RosterVersion uint64
	RosterAge     time.Duration
	// OperatorVersion is the store's version of the last change of the operator rows.
	OperatorVersion uint64
}

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

// AssignmentDelta carries the changes of the assignment.
type AssignmentDelta struct {
	Heartbeat
	Delta assignment.Delta
}

// Assignment carries one part of the encoded assignment, numbered as in Roster.
type Assignment struct {
	Heartbeat
	Part, Parts int
	Body        string
}

// Ask requests a permit to send one request from the holder of a pool.
type Ask struct {
	Host        ident.Host
	Incarnation uint64
	Ticket      Ticket
	Request     ident.Request
	Service     ident.Service
	Domain      ident.Domain
	Key         keyspace.Key
	Keyed       bool
	// Pool is the pool of the service's upstreams that the permit may be for, from
	// 0; Pools is the number of the service's pools.
	Pool, Pools int
	// Fallback means that the pool's regular holder was skipped. Several hosts may
	// then issue its permits at once, and together they would exceed a cold
	// upstream's limit.
	Fallback bool
	// Large marks a request whose answer is large and should not cross domains.
	Large bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Priority orders asks that wait; lower values are served first.
	Priority int
	// ObjectiveLeft is the time left to meet the request's objective.
	ObjectiveLeft time.Duration
	// TimeLeft is the time left to the request's deadline.
	TimeLeft time.Duration
	// Avoid is the upstream that already got this request; empty if none did.
	Avoid ident.Upstream
}

// Permit allows a host to send one request to an upstream.
type Permit struct {
	Ticket   Ticket
	Upstream ident.Upstream
	// Epoch is that of the owner's claim to the key; zero for unkeyed services.
	Epoch keyspace.Epoch
}

// Refusal is the reply to an ask that gets no permit.
type Refusal struct {
	Ticket Ticket
	// RetryAfter is the time until a slot is expected.
	RetryAfter time.Duration
	Reason     string
}

// Leaving tells the leader that an upstream has said in an answer that it is leaving.
type Leaving struct {
	Upstream    ident.Upstream
	Incarnation roster.Incarnation
}

// Pause tells the holder of a pool that an upstream wants no request from a host for
// the time left.
type Pause struct {
	Host     ident.Host
	Upstream ident.Upstream
	Left     time.Duration
}

// Queued confirms that an ask was received and waits.
type Queued struct{ Ticket Ticket }

// Done releases a permit or withdraws an ask.
type Done struct {
	Host        ident.Host
	Incarnation uint64
	Ticket      Ticket
	Service     ident.Service
	Upstream    ident.Upstream
	// Outcome is a permit.Outcome.
	Outcome uint8
	// Took is the time from sending the request to its end.
	Took time.Duration
	// Reported is false if the upstream reported no load.
	Reported bool
	// Running and Waiting count the upstream's requests. LatencyPercent is its
	// current processing time in percent of the usual one.
	Running, Waiting, LatencyPercent int
}

// DoneAck acknowledges a Done.
type DoneAck struct{ Ticket Ticket }

// The numbers of the messages are the second byte of a datagram: append only.
const (
	statusNumber = iota + 1
	heartbeatNumber
	assignmentNumber
	askNumber
	permitNumber
	refusalNumber
	queuedNumber
	doneNumber
	doneAckNumber
	rosterNumber
	rosterDeltaNumber
	assignmentDeltaNumber
	reportNumber
	recoveringNumber
	leavingNumber
	pauseNumber
)

func (Status) number() uint8          { return statusNumber }
func (Assignment) number() uint8      { return assignmentNumber }
func (Ask) number() uint8             { return askNumber }
func (Permit) number() uint8          { return permitNumber }
func (Refusal) number() uint8         { return refusalNumber }
func (Queued) number() uint8          { return queuedNumber }
func (Done) number() uint8            { return doneNumber }
func (Roster) number() uint8          { return rosterNumber }
func (DoneAck) number() uint8         { return doneAckNumber }
func (AssignmentDelta) number() uint8 { return assignmentDeltaNumber }

// number of a recovering heartbeat is another one, so that builds that do not know it
// take it for no confirmation.
func (ms Heartbeat) number() uint8 {
	if ms.Recovering {
		return recoveringNumber
	}
	return heartbeatNumber
}

func (Leaving) number() uint8     { return leavingNumber }
func (Pause) number() uint8       { return pauseNumber }
func (Report) number() uint8      { return reportNumber }
func (RosterDelta) number() uint8 { return rosterDeltaNumber }

func codeMember(cd *codec, mb *assignment.Member) {
	text(cd, &mb.Host)
	text(cd, &mb.Domain)
	text(cd, &mb.Address)
	varint(cd, &mb.Incarnation)
	varint(cd, &mb.Fitness)
	boolean(cd, &mb.Alive)
}

func (ms *Status) code(cd *codec) {
	codeMember(cd, &ms.Member)
	varint(cd, &ms.Term)
	varint(cd, &ms.Revision)
	boolean(cd, &ms.Stopping)
	varint(cd, &ms.RosterVersion)
	varint(cd, &ms.RosterDigest)
	varint(cd, &ms.SentAt)
	list(cd, &ms.Keys, func(kl *KeyLoad) {
		text(cd, &kl.Service)
		varint(cd, &kl.Key)
		varint(cd, &kl.Count)
	})
	list(cd, &ms.Upstreams, func(ul *UpstreamLoad) {
		text(cd, &ul.Upstream)
		varint(cd, &ul.Answers)
		duration(cd, &ul.WorkTime)
		varint(cd, &ul.Failures)
		duration(cd, &ul.UnreachedFor)
		boolean(cd, &ul.Superseded)
	})
}

func (ms *Heartbeat) code(cd *codec) {
	varint(cd, &ms.Term)
	text(cd, &ms.Leader)
	varint(cd, &ms.Revision)
	duration(cd, &ms.StoreAge)
	varint(cd, &ms.RowVersion)
	varint(cd, &ms.Echo)
	varint(cd, &ms.RosterVersion)
	duration(cd, &ms.RosterAge)
	varint(cd, &ms.OperatorVersion)
}

func (ms *Leaving) code(cd *codec) {
	text(cd, &ms.Upstream)
	varint(cd, &ms.Incarnation)
}

func (ms *Pause) code(cd *codec) {
	text(cd, &ms.Host)
	text(cd, &ms.Upstream)
	duration(cd, &ms.Left)
}

func (ms *Report) code(cd *codec) {
	text(cd, &ms.Host)
	varint(cd, &ms.Revision)
	varint(cd, &ms.Part)
	varint(cd, &ms.Parts)
	text(cd, &ms.Body)
}

func (ms *Assignment) code(cd *codec) {
	ms.Heartbeat.code(cd)
	varint(cd, &ms.Part)
	varint(cd, &ms.Parts)
	text(cd, &ms.Body)
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

func (ms *AssignmentDelta) code(cd *codec) {
	ms.Heartbeat.code(cd)
	dl := &ms.Delta
	varint(cd, &dl.Base)
	varint(cd, &dl.Revision)
	varint(cd, &dl.LastEpoch)
	list(cd, &dl.Members, func(mb *assignment.Member) { codeMember(cd, mb) })
	list(cd, &dl.Dropped, func(ss *assignment.ShareStart) {
		text(cd, &ss.Service)
		varint(cd, &ss.From)
	})
	list(cd, &dl.Added, func(sh *assignment.Share) {
		text(cd, &sh.Service)
		varint(cd, &sh.From)
		varint(cd, &sh.To)
		codeClaim(cd, &sh.Owner)
		codeClaim(cd, &sh.Next)
		varint(cd, &sh.Fence)
	})
}

func codeClaim(cd *codec, cl *assignment.Claim) {
	text(cd, &cl.Upstream)
	varint(cd, &cl.Incarnation)
	varint(cd, &cl.Epoch)
}

func (ms *Ask) code(cd *codec) {
	text(cd, &ms.Host)
	varint(cd, &ms.Incarnation)
	varint(cd, &ms.Ticket)
	text(cd, &ms.Request)
	text(cd, &ms.Service)
	text(cd, &ms.Domain)
	varint(cd, &ms.Key)
	boolean(cd, &ms.Keyed)
	varint(cd, &ms.Pool)
	varint(cd, &ms.Pools)
	boolean(cd, &ms.Fallback)
	boolean(cd, &ms.Large)
	boolean(cd, &ms.Repeatable)
	varint(cd, &ms.Priority)
	duration(cd, &ms.ObjectiveLeft)
	duration(cd, &ms.TimeLeft)
	text(cd, &ms.Avoid)
}

func (ms *Permit) code(cd *codec) {
	varint(cd, &ms.Ticket)
	text(cd, &ms.Upstream)
	varint(cd, &ms.Epoch)
}

func (ms *Refusal) code(cd *codec) {
	varint(cd, &ms.Ticket)
	duration(cd, &ms.RetryAfter)
	text(cd, &ms.Reason)
}

func (ms *Done) code(cd *codec) {
	text(cd, &ms.Host)
	varint(cd, &ms.Incarnation)
	varint(cd, &ms.Ticket)
	text(cd, &ms.Service)
	text(cd, &ms.Upstream)
	varint(cd, &ms.Outcome)
	duration(cd, &ms.Took)
	boolean(cd, &ms.Reported)
	varint(cd, &ms.Running)
	varint(cd, &ms.Waiting)
	varint(cd, &ms.LatencyPercent)
}

// Encode returns a message as a datagram.
func Encode(msg Msg) []byte {
	cd := &codec{buf: []byte{version, msg.number()}}
	switch ms := msg.(type) {
	case Status:
		ms.code(cd)
	case Heartbeat:
		ms.code(cd)
	case Report:
		ms.code(cd)
	case Leaving:
		ms.code(cd)
	case Pause:
		ms.code(cd)
	case Assignment:
		ms.code(cd)
	case Ask:
		ms.code(cd)
	case Permit:
		ms.code(cd)
	case Refusal:
		ms.code(cd)
	case Queued:
		varint(cd, &ms.Ticket)
	case Done:
		ms.code(cd)
	case DoneAck:
		varint(cd, &ms.Ticket)
	case Roster:
		ms.code(cd)
	case RosterDelta:
		ms.code(cd)
	case AssignmentDelta:
		ms.code(cd)
	}
	return cd.buf
}

// Decode returns a datagram's message. It fails if the datagram is truncated or
// has an unknown version or message number.
func Decode(datagram []byte) (Msg, error) {
	if len(datagram) < 2 || datagram[0] != version {
		return nil, errMalformed
	}
	cd := &codec{buf: datagram[2:], reading: true}
	var msg Msg
	switch datagram[1] {
	case statusNumber:
		msg = decode(cd, func(ms *Status) { ms.code(cd) })
	case heartbeatNumber:
		msg = decode(cd, func(ms *Heartbeat) { ms.code(cd) })
	case recoveringNumber:
		msg = decode(cd, func(ms *Heartbeat) {
			ms.code(cd)
			ms.Recovering = true
		})
	case leavingNumber:
		msg = decode(cd, func(ms *Leaving) { ms.code(cd) })
	case pauseNumber:
		msg = decode(cd, func(ms *Pause) { ms.code(cd) })
	case reportNumber:
		msg = decode(cd, func(ms *Report) { ms.code(cd) })
	case assignmentNumber:
		msg = decode(cd, func(ms *Assignment) { ms.code(cd) })
	case askNumber:
		msg = decode(cd, func(ms *Ask) { ms.code(cd) })
	case permitNumber:
		msg = decode(cd, func(ms *Permit) { ms.code(cd) })
	case refusalNumber:
		msg = decode(cd, func(ms *Refusal) { ms.code(cd) })
	case queuedNumber:
		msg = decode(cd, func(ms *Queued) { varint(cd, &ms.Ticket) })
	case doneNumber:
		msg = decode(cd, func(ms *Done) { ms.code(cd) })
	case doneAckNumber:
		msg = decode(cd, func(ms *DoneAck) { varint(cd, &ms.Ticket) })
	case rosterNumber:
		msg = decode(cd, func(ms *Roster) { ms.code(cd) })
	case rosterDeltaNumber:
		msg = decode(cd, func(ms *RosterDelta) { ms.code(cd) })
	case assignmentDeltaNumber:
		msg = decode(cd, func(ms *AssignmentDelta) { ms.code(cd) })
	default:
		return nil, fmt.Errorf("protocol: unknown message %d", datagram[1])
	}
	return msg, cd.err
}

// decode reads one message of type T.
func decode[T Msg](cd *codec, read func(*T)) T {
	var msg T
	if cd.err == nil {
		read(&msg)
	}
	return msg
}
