package gateway

import (
	"cmp"
	"errors"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/platform"
)

// rowSource is where this host gets the operator rows from.
type rowSource int

const (
	// fromPeers waits for rows that another host sends.
	fromPeers rowSource = iota
	fromRead
	fromWatch
)

// rowFeed decides where this host's operator rows come from.
type rowFeed struct {
	first firstRead
	// known is true once this host has rows.
	known bool
	// mustRead is set while what this host has may be outdated, without a history from which a
	// watch could go on.
	mustRead bool
	// failing is set while the store does not answer.
	failing bool
	// pausedUntil is when the store is called again at the earliest.
	pausedUntil clock.Instant
	retryDelay  time.Duration
}

// rowConditions is what the choice of a source depends on.
type rowConditions struct {
	// leading is set while this host leads.
	leading bool
	// rank is this host's rank in its failure domain, or -1.
	rank int
	// heard is set while a leader is heard, sends while that leader sends rows, and fresh while
	// the store has answered it lately.
	heard, sends, fresh bool
}

// relayed reports whether the leader tells this host of changes in time.
func (rc rowConditions) relayed() bool { return rc.sends && rc.fresh && !rc.leading }

// reader reports whether this host watches for its failure domain.
func (rc rowConditions) reader() bool { return rc.rank == 0 }

// next returns the source, and when to ask again if nothing happens before.
func (rf *rowFeed) next(now clock.Instant, rc rowConditions) (rowSource, clock.Instant) {
	switch {
	case now < rf.pausedUntil:
		return fromPeers, rf.pausedUntil
	case rf.mustRead && !(rf.failing && rf.known && rc.relayed()):
		return fromRead, clock.Never
	case !rf.known && !rc.leading && (rc.sends || !rc.heard) && now < rf.first.dueAt(rc.heard, rc.rank):
		return fromPeers, rf.first.dueAt(rc.heard, rc.rank)
	case !rf.known:
		return fromRead, clock.Never
	case rc.relayed() && (!rc.reader() || rf.failing):
		return fromPeers, clock.Never
	}
	return fromWatch, clock.Never
}

// reread makes the next source a read.
func (rf *rowFeed) reread() { rf.mustRead, rf.pausedUntil = true, 0 }

// failed notes that the store has not answered. It returns true for the first time.
func (rf *rowFeed) failed(now clock.Instant, err error) bool {
	first := !rf.failing
	rf.failing = true
	// Without the history that a watch needs, all rows are read again.
	rf.mustRead = rf.mustRead || errors.Is(err, platform.ErrHistoryGone)
	if first && platform.IsTimeout(err) {
		// Another connection may work.
		return true
	}
	rf.retryDelay = max(rf.retryDelay, minRetryDelay)
	rf.pausedUntil = now.Add(rf.retryDelay)
	rf.retryDelay = min(2*rf.retryDelay, maxRetryDelay)
	return first
}

// undecoded notes rows that could not be decoded for now.
func (rf *rowFeed) undecoded(now clock.Instant) {
	rf.mustRead, rf.pausedUntil = true, now.Add(minRetryDelay)
}

// applied notes rows that are in force. changed reports whether there were any: a watch after
// several changes in quick succession costs one call.
func (rf *rowFeed) applied(now clock.Instant, changed bool) {
	rf.known, rf.mustRead, rf.failing, rf.pausedUntil, rf.retryDelay = true, false, false, 0, minRetryDelay
	if changed {
		rf.pausedUntil = now.Add(watchDelay)
	}
}

// domainRank returns how many members of a host's failure domain are fitter than it, or -1 if
// the assignment does not list it as alive. All hosts that know the assignment rank alike. The
// first one watches the operator rows for its domain, beside the leader.
func domainRank(tb *assignment.Table, host ident.Host) int {
	self, listed := tb.Member(host)
	if !listed || !self.Alive {
		return -1
	}
	rank := 0
	for _, mb := range tb.Members {
		if mb.Domain == self.Domain && mb.Alive && cmp.Or(cmp.Compare(mb.Fitness, self.Fitness), cmp.Compare(self.Host, mb.Host)) > 0 {
			rank++
		}
	}
	return rank
}
