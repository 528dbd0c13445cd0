package domain

import (
	"time"

	"chervilwalk/internal/fleet/ident"
)

const (
	// HeartbeatEvery is the time between two heartbeats to another domain.
	HeartbeatEvery = 200 * time.Millisecond
	// SupportTime is how long a promise counts, from the asker's reading.
	SupportTime = 600 * time.Millisecond
	// ReleaseTime is how long a release counts, from the asker's reading.
	ReleaseTime = 300 * time.Millisecond
	// TermLease is how long a renewal of a term's row counts.
	TermLease = 700 * time.Millisecond
	// LeaseTail is how much longer than its leader's cover a pool's lease lasts.
	LeaseTail = 500 * time.Millisecond
	// suspectAfter is the silence of a domain that starts a challenge.
	suspectAfter = 350 * time.Millisecond
	// rankDelay keeps the challengers of one domain apart.
	rankDelay = 400 * time.Millisecond
	// retryEvery is the time between two tries of a challenger's step.
	retryEvery = 150 * time.Millisecond
	// bookEvery is the time between two tries of writing the charter.
	bookEvery = 500 * time.Millisecond
	// driftPart bounds the difference of two clocks' rates to 1 in driftPart.
	driftPart = 32
)

// stretch lengthens a wait for a lease that another clock counts, so that it
// outlasts the lease when the clocks drift.
func stretch(dr time.Duration) time.Duration {
	return dr + dr/driftPart
}

// Quorum says how many of a domain's other voters carry it, and how many can
// stop it. The two numbers exceed the voters together, so they share a voter.
type Quorum struct {
	// Support is how many promises let a domain go on without the table.
	Support int
	// Releases is how many releases prove that it cannot.
	Releases int
}

// QuorumOf counts for a domain with this many other voters: it goes on while
// at least half of them hear it.
func QuorumOf(others int) Quorum {
	support := (others + 1) / 2
	return Quorum{Support: support, Releases: others - support + 1}
}

// rules are the waits and counts that safety rests on.
type rules struct {
	quorum    func(others int) Quorum
	termLease time.Duration
	leaseTail time.Duration
	bound     time.Duration
}

func soundRules() rules {
	return rules{
		quorum:    QuorumOf,
		termLease: stretch(TermLease),
		leaseTail: stretch(LeaseTail),
		bound:     stretch(SupportTime),
	}
}

// TermRow is the key of a domain's term in the table.
func TermRow(dm ident.Domain) string { return "term/" + string(dm) }

// CharterRow is the key of a domain's charter in the table.
func CharterRow(dm ident.Domain) string { return "charter/" + string(dm) }
