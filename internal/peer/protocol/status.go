package protocol

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
)

// Term is the number of a leader's term.
type Term uint64

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
	// LatencyPercent is the lowest processing time that its answers told, in percent of the
	// usual one; zero if none did.
	LatencyPercent int
	// UnreachedFor is how long the renewals of the upstream's grants have failed.
	UnreachedFor time.Duration
	// Superseded means that the upstream saw a higher epoch than the renewed one.
	Superseded bool
}

// MaxLatencyPercent is the highest processing time of an upstream that counts.
const MaxLatencyPercent = 10000

// minWorkTime is the least time that one answer counts for.
const minWorkTime = 10 * time.Microsecond

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
	// OperatorRows is 0 if the member takes no operator rows from the leader, as one of an
	// earlier build. Otherwise it is 1 more than the store's version of those that it knows.
	OperatorRows uint64
	// Uncertain reports that the member knows its assignment from a leader, or with a row, that was
	// uncertain. See Heartbeat.
	Uncertain bool
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
	// SendsOperatorRows says that the leader sends operator rows to members that take them. Only
	// a heartbeat that is a message of its own says so.
	SendsOperatorRows bool
	// Recovering asks for the members' assignments: the store came back from an older
	// copy and this leader does not know yet whether its own is the newest. It
	// confirms nothing. Heartbeats with an assignment never have it.
	Recovering bool
	// Uncertain says that the store may have lost a newer assignment than this leader's: it
	// confirms only grants that their upstreams hold. Heartbeats with an assignment never have
	// it; those of an uncertain leader have no Echo, so that they confirm nothing.
	Uncertain bool
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

// Leaving tells the leader that an upstream has said in an answer that it is leaving.
type Leaving struct {
	Upstream    ident.Upstream
	Incarnation roster.Incarnation
}

func codeMember(cd *codec, mb *assignment.Member) {
	text(cd, &mb.Host)
	text(cd, &mb.Domain)
	text(cd, &mb.Address)
	varint(cd, &mb.Incarnation)
	count(cd, &mb.Fitness)
	boolean(cd, &mb.Alive)
}

func (ms *Status) code(cd *codec) {
	codeMember(cd, &ms.Member)
	numbered(cd, &ms.Term)
	numbered(cd, &ms.Revision)
	boolean(cd, &ms.Stopping)
	varint(cd, &ms.RosterVersion)
	varint(cd, &ms.RosterDigest)
	varint(cd, &ms.SentAt)
	list(cd, &ms.Keys, func(kl *KeyLoad) {
		text(cd, &kl.Service)
		varint(cd, &kl.Key)
		count(cd, &kl.Count)
	})
	list(cd, &ms.Upstreams, func(ul *UpstreamLoad) {
		text(cd, &ul.Upstream)
		count(cd, &ul.Answers)
		duration(cd, &ul.WorkTime)
		count(cd, &ul.Failures)
		duration(cd, &ul.UnreachedFor)
		boolean(cd, &ul.Superseded)
		if cd.reading && ul.Answers > 0 {
			// The leader takes the logarithm of the mean.
			ul.WorkTime = max(ul.WorkTime, time.Duration(ul.Answers)*minWorkTime)
		}
	})
	addedVarint(cd, &ms.OperatorRows)
	if cd.reading && len(cd.buf) == 0 {
		// Earlier builds end here.
		return
	}
	for ix := range ms.Upstreams {
		latencyPercent(cd, &ms.Upstreams[ix].LatencyPercent)
	}
	addedBoolean(cd, &ms.Uncertain)
}

// latencyPercent codes a processing time in percent of the usual one.
func latencyPercent(cd *codec, percent *int) {
	count(cd, percent)
	if cd.reading && *percent > MaxLatencyPercent {
		*percent, cd.err, cd.buf = 0, errMalformed, nil
	}
}

func (ms *Heartbeat) code(cd *codec) {
	numbered(cd, &ms.Term)
	text(cd, &ms.Leader)
	numbered(cd, &ms.Revision)
	duration(cd, &ms.StoreAge)
	varint(cd, &ms.RowVersion)
	varint(cd, &ms.Echo)
	varint(cd, &ms.RosterVersion)
	duration(cd, &ms.RosterAge)
	varint(cd, &ms.OperatorVersion)
}

// codeAlone codes a heartbeat that is a message of its own, not the beginning of another.
func (ms *Heartbeat) codeAlone(cd *codec) {
	ms.code(cd)
	addedBoolean(cd, &ms.SendsOperatorRows)
}

func (ms *Leaving) code(cd *codec) {
	text(cd, &ms.Upstream)
	varint(cd, &ms.Incarnation)
}
