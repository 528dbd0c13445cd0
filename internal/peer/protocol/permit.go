package protocol

import (
	"math"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
)

// Ticket identifies one ask for a permit; it is unique per host and incarnation.
type Ticket uint64

// Process identifies one process of a host. Neither part does alone: processes of two hosts may
// have started at the same time.
type Process struct {
	Host        ident.Host
	Incarnation uint64
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
	// Fingerprint is 0 in asks of builds that do not send it.
	Fingerprint ident.Fingerprint
	// SizeClass is the size of the request and its answer, as package locality counts it; 0 in asks
	// of builds that do not send it.
	SizeClass uint8
}

// Process returns the process that asks.
func (ms Ask) Process() Process { return Process{ms.Host, ms.Incarnation} }

// Permit allows a host to send one request to an upstream.
type Permit struct {
	Ticket   Ticket
	Upstream ident.Upstream
	// Epoch is that of the owner's claim to the key; zero for unkeyed services.
	Epoch keyspace.Epoch
	// Watched asks the host to see how the run ends although its caller leaves: upstreams have
	// crashed lately. It is false in permits of builds that do not send it.
	Watched bool
	// Asker is the process whose ask this is the reply to; it is zero in replies of builds that
	// do not send it.
	Asker Process
}

// Refusal is the reply to an ask that gets no permit.
type Refusal struct {
	Ticket Ticket
	// RetryAfter is the time until a slot is expected.
	RetryAfter time.Duration
	Reason     string
	// Asker is that of Permit.
	Asker Process
}

// Pause tells the holder of a pool that an upstream wants no request from a host for
// the time left.
type Pause struct {
	Host     ident.Host
	Upstream ident.Upstream
	Left     time.Duration
}

// Queued confirms that an ask was received and waits.
type Queued struct {
	Ticket Ticket
	// Asker is that of Permit.
	Asker Process
}

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

// Process returns the process that had the permit.
func (ms Done) Process() Process { return Process{ms.Host, ms.Incarnation} }

// DoneAck acknowledges a Done.
type DoneAck struct {
	Ticket Ticket
	// Asker is that of Permit.
	Asker Process
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
	count(cd, &ms.Pool)
	count(cd, &ms.Pools)
	boolean(cd, &ms.Fallback)
	boolean(cd, &ms.Large)
	boolean(cd, &ms.Repeatable)
	varint(cd, &ms.Priority)
	duration(cd, &ms.ObjectiveLeft)
	duration(cd, &ms.TimeLeft)
	text(cd, &ms.Avoid)
	addedVarint(cd, &ms.Fingerprint)
	addedSizeClass(cd, &ms.SizeClass)
}

func (ms *Permit) code(cd *codec) {
	varint(cd, &ms.Ticket)
	text(cd, &ms.Upstream)
	numbered(cd, &ms.Epoch)
	addedBoolean(cd, &ms.Watched)
	addedProcess(cd, &ms.Asker)
}

func (ms *Refusal) code(cd *codec) {
	varint(cd, &ms.Ticket)
	retryAfter(cd, &ms.RetryAfter)
	text(cd, &ms.Reason)
	addedProcess(cd, &ms.Asker)
}

func (ms *Queued) code(cd *codec) {
	varint(cd, &ms.Ticket)
	addedProcess(cd, &ms.Asker)
}

func (ms *DoneAck) code(cd *codec) {
	varint(cd, &ms.Ticket)
	addedProcess(cd, &ms.Asker)
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
	if cd.reading {
		// Upstreams say these. Without its Done, a permit would stay taken.
		ms.Running, ms.Waiting, ms.LatencyPercent = clampCount(ms.Running), clampCount(ms.Waiting), clampCount(ms.LatencyPercent)
	}
}

func (ms *Pause) code(cd *codec) {
	text(cd, &ms.Host)
	text(cd, &ms.Upstream)
	duration(cd, &ms.Left)
}

// addedSizeClass codes a size class as the last field of a message that earlier builds end without.
func addedSizeClass(cd *codec, value *uint8) {
	class := uint64(*value)
	addedVarint(cd, &class)
	*value = uint8(min(class, math.MaxUint8))
}

// addedProcess codes a process as the last fields of a message that earlier builds end without.
func addedProcess(cd *codec, value *Process) {
	if cd.reading && len(cd.buf) == 0 {
		return
	}
	text(cd, &value.Host)
	varint(cd, &value.Incarnation)
}
