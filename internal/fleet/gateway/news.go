package gateway

import (
	"net/netip"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/duty"
	"chervilwalk/internal/peer/talk"
)

// rosterPart is how many entries go into one datagram.
const rosterPart = 120

// news is what this host knows of the platform's store, and since when. The
// leader reads for all hosts and tells them of changes; a host that does not
// hear a leader whose knowledge is fresh reads by itself.
type news struct {
	entries []roster.Entry
	// rosterAt is the store's version at which they were read, readAt when.
	rosterAt uint64
	readAt   clock.Instant
	digest   uint64
	// changedAt is the store's version at which they differed last.
	changedAt  uint64
	operatorAt uint64
	// behindSince is since when the leader knows newer rows of the operators.
	behindSince clock.Instant
	parts       []talk.Roster
}

// word is what the leader says of its knowledge.
func (ns *news) word(now clock.Instant) talk.News {
	return talk.News{RosterAt: ns.changedAt, RosterAge: now.Sub(ns.readAt), OperatorAt: ns.operatorAt}
}

// sendBeat sends a sign of the lead, and the entries to a host that lacks them.
func (gw *Gateway) sendBeat(cmd duty.BeatCmd) {
	now := gw.clock.Now()
	beat := cmd.Beat
	beat.News = gw.news.word(now)
	gw.transmit(cmd.To, beat)
	if to, err := netip.ParseAddrPort(cmd.To); err == nil && beat.Leader != "" && cmd.RosterAt < gw.news.changedAt {
		gw.sendRoster(gw.rosterParts(now), to)
	}
}

// spreadRoster sends the entries to every member while this host leads.
func (gw *Gateway) spreadRoster(now clock.Instant) {
	if !gw.duty.Leading() {
		return
	}
	parts := gw.rosterParts(now)
	for _, mb := range gw.table.Load().Members {
		if to, err := netip.ParseAddrPort(mb.Address); err == nil && mb.Host != gw.self.Host {
			gw.sendRoster(parts, to)
		}
	}
}

// rosterParts are the datagrams that carry the entries.
func (gw *Gateway) rosterParts(now clock.Instant) [][]byte {
	ns := &gw.news
	count := max((len(ns.entries)+rosterPart-1)/rosterPart, 1)
	parts := make([][]byte, 0, count)
	for part := range count {
		entries := ns.entries[min(part*rosterPart, len(ns.entries)):min((part+1)*rosterPart, len(ns.entries))]
		parts = append(parts, talk.Encode(talk.Roster{
			Term: gw.duty.Term(), At: ns.rosterAt, Age: now.Sub(ns.readAt), GraceLeft: gw.book.GraceLeft(now), Part: part, Parts: count, Entries: entries,
		}))
	}
	return parts
}

func (gw *Gateway) sendRoster(parts [][]byte, to netip.AddrPort) {
	for _, datagram := range parts {
		gw.write(to, datagram)
	}
}

// heardRoster takes a part of the entries from a leader.
func (gw *Gateway) heardRoster(now clock.Instant, ms talk.Roster) {
	ns := &gw.news
	if ms.Term < gw.duty.Term() || ms.At <= ns.rosterAt || ms.Parts < 1 || ms.Part < 0 || ms.Part >= ms.Parts {
		return
	}
	entries, complete := ns.collect(ms)
	if !complete {
		return
	}
	ns.entries, ns.rosterAt, ns.readAt = entries, ms.At, now.Add(-ms.Age)
	ns.digest, ns.changedAt = roster.Digest(entries), ms.At
	gw.newsAt.Store(int64(ns.readAt))
	gw.book.Grace(now, ms.GraceLeft)
	gw.listed()
}

// collect puts the parts of one version together.
func (ns *news) collect(ms talk.Roster) ([]roster.Entry, bool) {
	if len(ns.parts) > 0 && (ns.parts[0].At != ms.At || ns.parts[0].Parts != ms.Parts) {
		ns.parts = nil
	}
	for _, had := range ns.parts {
		if had.Part == ms.Part {
			return nil, false
		}
	}
	ns.parts = append(ns.parts, ms)
	if len(ns.parts) < ms.Parts {
		return nil, false
	}
	var entries []roster.Entry
	for _, part := range ns.parts {
		entries = append(entries, part.Entries...)
	}
	ns.parts = nil
	return entries, true
}

// heardNews compares the leader's knowledge with this host's.
func (gw *Gateway) heardNews(now clock.Instant, bt talk.Beat) {
	ns := &gw.news
	if bt.Term < gw.duty.Term() || bt.Leader == "" {
		return
	}
	if bt.RosterAt <= ns.rosterAt {
		ns.readAt = max(ns.readAt, now.Add(-bt.RosterAge))
		gw.newsAt.Store(int64(ns.readAt))
	}
	if bt.OperatorAt <= gw.operatorAt.Load() {
		ns.behindSince = 0
		return
	}
	if ns.behindSince == 0 {
		ns.behindSince = now
	}
	if now.Sub(ns.behindSince) >= nudgeTime {
		ns.behindSince = now.Add(time.Second)
		gw.rereadOperators("leaderKnowsNewer")
	}
}

// rereadOperators lets the operators' rows be read at once.
func (gw *Gateway) rereadOperators(reason string) {
	select {
	case gw.nudge <- struct{}{}:
		gw.cf.Journal.Event("operatorRowsReadAgain", map[string]any{"reason": reason, "version": gw.operatorAt.Load()})
	default:
	}
}
