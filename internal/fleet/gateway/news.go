package gateway

import (
	"net/netip"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/peer/protocol"
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
	parts       []protocol.Roster
	// history are the entries as they were before they changed, the newest last.
	history []pastEntries
}

// pastEntries are the upstreams' entries at an earlier time.
type pastEntries struct {
	digest  uint64
	entries []roster.Entry
}

// rosterHistory is how many earlier lists of entries are kept: those of some
// seconds in which upstreams come and go.
const rosterHistory = 8

// remember keeps the entries, which are about to be replaced.
func (ns *news) remember() {
	ns.history = append(ns.history, pastEntries{ns.digest, ns.entries})
	if len(ns.history) > rosterHistory {
		ns.history = ns.history[1:]
	}
}

// since are the entries that had a digest not long ago.
func (ns *news) since(digest uint64) ([]roster.Entry, bool) {
	for _, past := range ns.history {
		if past.digest == digest && digest != 0 {
			return past.entries, true
		}
	}
	return nil, false
}

// word is what the leader says of its knowledge.
func (ns *news) word(now clock.Instant) protocol.News {
	return protocol.News{RosterAt: ns.changedAt, RosterAge: now.Sub(ns.readAt), OperatorAt: ns.operatorAt}
}

// sendBeat sends a heartbeat, and the entries to a host that lacks them.
func (gw *Gateway) sendBeat(cmd agent.BeatCmd) {
	now := gw.clock.Now()
	beat := cmd.Beat
	beat.News = gw.news.word(now)
	gw.transmit(cmd.To, beat)
	if to, err := netip.ParseAddrPort(cmd.To); err == nil && beat.Leader != "" && cmd.RosterAt < gw.news.changedAt {
		gw.sendRoster(gw.rosterParts(now, cmd.RosterDigest), to)
	}
}

// spreadRoster sends the entries to every member while this host leads; most of
// them know those with the digest of before.
func (gw *Gateway) spreadRoster(now clock.Instant, before uint64) {
	if !gw.duty.Leading() {
		return
	}
	parts := gw.rosterParts(now, before)
	for _, mb := range gw.table.Load().Members {
		if to, err := netip.ParseAddrPort(mb.Address); err == nil && mb.Host != gw.self.Host {
			gw.sendRoster(parts, to)
		}
	}
}

// rosterParts are the datagrams that carry the entries to a host that knows
// those with a digest: what changed, or all.
func (gw *Gateway) rosterParts(now clock.Instant, known uint64) [][]byte {
	ns := &gw.news
	if base, found := ns.since(known); found {
		datagram := protocol.Encode(protocol.RosterDelta{
			Term: gw.duty.Term(), At: ns.rosterAt, GraceLeft: gw.book.GraceLeft(now), Delta: roster.Diff(base, ns.entries),
		})
		if len(datagram) <= deltaBytes {
			return [][]byte{datagram}
		}
	}
	count := max((len(ns.entries)+rosterPart-1)/rosterPart, 1)
	parts := make([][]byte, 0, count)
	for part := range count {
		entries := ns.entries[min(part*rosterPart, len(ns.entries)):min((part+1)*rosterPart, len(ns.entries))]
		parts = append(parts, protocol.Encode(protocol.Roster{
			Term: gw.duty.Term(), At: ns.rosterAt, GraceLeft: gw.book.GraceLeft(now), Part: part, Parts: count, Entries: entries,
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
func (gw *Gateway) heardRoster(now clock.Instant, ms protocol.Roster) {
	ns := &gw.news
	if ms.Term < gw.duty.Term() || ms.At <= ns.rosterAt || ms.Parts < 1 || ms.Part < 0 || ms.Part >= ms.Parts {
		return
	}
	if entries, complete := ns.collect(ms); complete {
		gw.takeEntries(now, entries, ms.At, ms.GraceLeft)
	}
}

// heardRosterDelta takes what changed of the entries from a leader. A host
// that does not know what it begins at gets all with the next heartbeat.
func (gw *Gateway) heardRosterDelta(now clock.Instant, ms protocol.RosterDelta) {
	if ms.Term < gw.duty.Term() || ms.At <= gw.news.rosterAt {
		return
	}
	if entries, begins := ms.Apply(gw.news.entries); begins {
		gw.takeEntries(now, entries, ms.At, ms.GraceLeft)
	}
}

// takeEntries takes the entries as the leader knows them.
func (gw *Gateway) takeEntries(now clock.Instant, entries []roster.Entry, at uint64, graceLeft time.Duration) {
	ns := &gw.news
	// How fresh they are is for the next heartbeat to say: this may have been on its
	// way for long.
	ns.entries, ns.rosterAt = entries, at
	ns.digest, ns.changedAt = roster.Digest(entries), at
	gw.book.ExtendGrace(now, graceLeft)
	gw.listed(true)
}

// collect puts the parts of one version together.
func (ns *news) collect(ms protocol.Roster) ([]roster.Entry, bool) {
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
func (gw *Gateway) heardNews(now clock.Instant, bt protocol.Beat) {
	ns := &gw.news
	if bt.Term < gw.duty.Term() || bt.Leader == "" {
		return
	}
	if bt.RosterAt <= ns.rosterAt && bt.Echo <= now {
		// The heartbeat may have been on its way for long; the leader had read the
		// entries this long before it got this host's status, at the latest.
		ns.readAt = max(ns.readAt, bt.Echo.Add(-bt.RosterAge))
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
