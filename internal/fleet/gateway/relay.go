package gateway

import (
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/peer/protocol"
)

// minBroadcastInterval is the least time between two broadcasts of a relay after a change.
const minBroadcastInterval = 200 * time.Millisecond

// silentLeaderDelay is how long the leader may take to tell the members of a change that this host
// knows. One of a build that does not know such statements never does.
const silentLeaderDelay = time.Second

// maxReported limits the subjects that a host reports to the leader at once.
const maxReported = 200

// relay carries what this host learns from upstreams and all hosts need to know: it tells the
// holder that issued the permit and the leader, and the leader tells all members. Without a
// leader, or with one that tells nobody, this host tells the members itself. K names what something is learned about, S is a
// statement on it. Only the event loop may use a relay.
type relay[K comparable, S any] struct {
	gw *Gateway
	// statement returns what this host knows of a subject, shared what all members must know
	// and what may have changed since a time.
	statement func(now clock.Instant, subject K) (S, bool)
	shared    func(now, since clock.Instant) []S
	// isShared reports whether all members must know a statement.
	isShared func(statement S) bool
	// message wraps at most perDatagram statements, which stay below maxDatagramBytes.
	message     func(statements []S) protocol.Msg
	perDatagram int
	// reportTTL is how long the leader, and the members if it tells them nothing, are told with
	// each status.
	reportTTL time.Duration
	// broadcastInterval is the time between two broadcasts without a change, for members that
	// missed one or have just started.
	broadcastInterval time.Duration
	// learnedAt is when this host itself last learned something of a subject, or held it.
	learnedAt map[K]clock.Instant
	// broadcastAt is when the members were told last, repeatedAt when of everything.
	broadcastAt, repeatedAt clock.Instant
	// changed reports whether the leader has more to tell than in its last broadcast.
	changed bool
	// silentSince is since when the leader has told this host nothing although there was a change
	// to tell, or 0.
	silentSince clock.Instant
}

// changedBy notes a change that all members must know. from is the address of the host that said so,
// or anything else if this host found out itself.
func (rl *relay[K, S]) changedBy(now clock.Instant, from string) {
	rl.changed = true
	if rl.silentSince == 0 && from != rl.gw.agent.Leader() {
		rl.silentSince = now
	}
}

// heard notes that the host at an address has told something, whether there is a change or not.
func (rl *relay[K, S]) heard(from string) {
	if from == rl.gw.agent.Leader() {
		rl.silentSince = 0
	}
}

// learned passes on what this host has learned of a subject with a permit of a holder. changed
// reports whether that is new here.
func (rl *relay[K, S]) learned(now clock.Instant, subject K, holder ident.Host, changed bool) {
	rl.remember(now, subject)
	statement, known := rl.statement(now, subject)
	if !known {
		return
	}
	if mb, known := rl.gw.table.Load().Member(holder); known && holder != rl.gw.self.Host {
		rl.send(mb.Address, []S{statement})
	}
	switch {
	case !changed:
	case rl.gw.leaderFresh() || rl.gw.agent.Leading():
		rl.report(now)
	default:
		rl.sendToMembers([]S{statement})
	}
}

// held notes that this host issues permits by what it knows of a subject. If the leader tells
// nothing, this host may be the only one to which all others have told what they learned.
func (rl *relay[K, S]) held(now clock.Instant, subject K) {
	if rl.silentSince != 0 {
		rl.remember(now, subject)
	}
}

// remember makes this host report on a subject.
func (rl *relay[K, S]) remember(now clock.Instant, subject K) {
	if _, known := rl.learnedAt[subject]; known || len(rl.learnedAt) < maxReported {
		rl.learnedAt[subject] = now
	}
}

// report tells the leader what this host has learned lately, and the members what the leader does
// not tell them.
func (rl *relay[K, S]) report(now clock.Instant) {
	var statements []S
	for subject, at := range rl.learnedAt {
		statement, known := rl.statement(now, subject)
		if !known || now.Sub(at) > rl.reportTTL {
			delete(rl.learnedAt, subject)
			continue
		}
		statements = append(statements, statement)
	}
	if rl.gw.agent.Leading() {
		return
	}
	if leader := rl.gw.agent.Leader(); leader != "" {
		rl.send(leader, statements)
	}
	switch silent := now.Sub(rl.silentSince); {
	case rl.silentSince == 0 || silent < silentLeaderDelay:
	case silent < silentLeaderDelay+rl.reportTTL:
		// Not all that it knows: each host that hears of it would tell all others.
		rl.sendToMembers(slices.DeleteFunc(statements, func(statement S) bool { return !rl.isShared(statement) }))
	default:
		rl.silentSince = 0
	}
}

// broadcast tells all members what they must know, if this host leads and it is time. It
// returns false if there was nothing to tell.
func (rl *relay[K, S]) broadcast(now clock.Instant) bool {
	if !rl.gw.agent.Leading() || now.Sub(rl.broadcastAt) < minBroadcastInterval || !rl.changed && now.Sub(rl.repeatedAt) < rl.broadcastInterval {
		return false
	}
	from := rl.broadcastAt
	if now.Sub(rl.repeatedAt) >= rl.broadcastInterval {
		from, rl.repeatedAt = 0, now
	}
	rl.broadcastAt, rl.changed = now, false
	statements := rl.shared(now, from)
	rl.sendToMembers(statements)
	return len(statements) > 0
}

func (rl *relay[K, S]) sendToMembers(statements []S) {
	if len(statements) == 0 {
		return
	}
	for _, mb := range rl.gw.table.Load().Members {
		if mb.Alive && mb.Host != rl.gw.self.Host {
			rl.send(mb.Address, statements)
		}
	}
}

func (rl *relay[K, S]) send(address string, statements []S) {
	for part := range slices.Chunk(statements, rl.perDatagram) {
		rl.gw.sendMessage(address, rl.message(part))
	}
}
