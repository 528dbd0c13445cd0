package domain

import (
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/lease"
)

const (
	// HeartbeatEvery is the time between two heartbeats to another domain.
	HeartbeatEvery = 200 * time.Millisecond
	// SupportTime is how long a promise counts, from the asker's reading.
	SupportTime = 600 * time.Millisecond
	// ReleaseTime is how long a release counts, from the asker's reading.
	ReleaseTime = 300 * time.Millisecond
	// suspectAfter is the silence of a domain that starts a challenge.
	suspectAfter = 350 * time.Millisecond
	// aliveTime is how long the word of a host that does not lead counts.
	aliveTime = 500 * time.Millisecond
	// electionTime is the silence of a domain's leader after which its slices are
	// taken over although its hosts are up.
	electionTime = 2 * time.Second
	// rankDelay keeps the challengers of one domain apart.
	rankDelay = 500 * time.Millisecond
	// retryEvery is the time between two tries of a challenger's step.
	retryEvery = 100 * time.Millisecond
	// bookEvery is the time between two tries of writing the charter.
	bookEvery = 500 * time.Millisecond
)

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
	barred    time.Duration
	// restores tells whether a voter's promise may end a lapse.
	restores func(*peer) bool
}

func soundRules(ln lease.Line) rules {
	return rules{
		quorum:    QuorumOf,
		termLease: lease.Longest(ln.Term),
		leaseTail: lease.Longest(ln.Tail),
		bound:     lease.Longest(SupportTime),
		barred:    lease.Longest(ReleaseTime),
		restores:  func(pe *peer) bool { return pe.vouches },
	}
}

// TermRow is the key of a domain's term in the table.
func TermRow(dm ident.Domain) string { return "term/" + string(dm) }

// CharterRow is the key of a domain's charter in the table.
func CharterRow(dm ident.Domain) string { return "charter/" + string(dm) }
