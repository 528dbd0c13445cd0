package gateway

import (
	"net/netip"
	"sync"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/peer/protocol"
)

const (
	// maxPartBytes is how many bytes of encoded entries go into one datagram, which stays
	// below maxDeltaBytes with the other fields.
	maxPartBytes = 11 << 10
	// wholeListBurst and wholeListRate limit what a leader sends to members that need
	// all entries, in bytes and bytes per second: at hundreds of hosts and thousands
	// of upstreams such lists would keep heartbeats from its link. Members that wait
	// for theirs read the store.
	wholeListBurst = 4 << 20
	wholeListRate  = 1 << 20
)

// rosterCache holds what this host knows of the store and how fresh that is. The
// leader reads the entries for all hosts and sends them the changes; a host
// without a leader whose entries are fresh reads them itself.
type rosterCache struct {
	entries []roster.Entry
	// version is the store version at which the entries were read, readAt when
	// this host or a leader last read them.
	version uint64
	readAt  clock.Instant
	// digest is the digest of entries.
	digest uint64
	// changedVersion is the store version at which the entries last changed.
	changedVersion uint64
	// operatorVersion is the store version of the newest operator row known.
	operatorVersion uint64
	// operatorBehindSince is since when the leader has known newer operator rows
	// than this host; zero if it does not, in the future after a requested read,
	// to delay the next request.
	operatorBehindSince clock.Instant
	// pendingParts are the parts received of a list that is not complete yet.
	pendingParts []protocol.Roster
	// history holds earlier lists of entries, the newest last.
	history []pastEntryList
	// wholeLists limits the lists of all entries that this host sends as the leader.
	wholeLists byteBudget
}

// byteBudget is a token bucket of bytes.
type byteBudget struct {
	spent      float64
	refilledAt clock.Instant
}

// take takes bytes from the budget. It returns false if too few are left.
func (bb *byteBudget) take(now clock.Instant, count, burst, perSecond int) bool {
	bb.spent = max(bb.spent-float64(perSecond)*now.Sub(bb.refilledAt).Seconds(), 0)
	bb.refilledAt = now
	if bb.spent > 0 && bb.spent+float64(count) > float64(burst) {
		return false
	}
	bb.spent += float64(count)
	return true
}

// pastEntryList is an earlier list of entries.
type pastEntryList struct {
	digest  uint64
	entries []roster.Entry
}

// maxRosterHistory is how many earlier lists of entries are kept: enough for a
// few seconds in which upstreams come and go.
const maxRosterHistory = 8

// pushHistory adds the current entries to the history before they are replaced.
func (rc *rosterCache) pushHistory() {
	rc.history = append(rc.history, pastEntryList{rc.digest, rc.entries})
	if len(rc.history) > maxRosterHistory {
		rc.history = rc.history[1:]
	}
}

// entriesWithDigest returns the earlier entries with a digest, if they are still
// in the history.
func (rc *rosterCache) entriesWithDigest(digest uint64) ([]roster.Entry, bool) {
	for _, past := range rc.history {
		if past.digest == digest && digest != 0 {
			return past.entries, true
		}
	}
	return nil, false
}

// freshness returns the versions and the age that the leader adds to heartbeats.
func (rc *rosterCache) freshness(now clock.Instant) protocol.Freshness {
	return protocol.Freshness{RosterVersion: rc.changedVersion, RosterAge: now.Sub(rc.readAt), OperatorVersion: rc.operatorVersion}
}

// sendHeartbeat sends a heartbeat, and the entries if the receiver's are outdated.
func (gw *Gateway) sendHeartbeat(cmd agent.HeartbeatCmd) {
	now := gw.clock.Now()
	hb := cmd.Heartbeat
	hb.Freshness = gw.cache.freshness(now)
	gw.sendMessage(cmd.To, hb)
	if to, err := netip.ParseAddrPort(cmd.To); err == nil && hb.Leader != "" && cmd.RosterVersion < gw.cache.changedVersion {
		gw.sendRoster(now, cmd.RosterDigest, to)
	}
}

// broadcastRoster sends the entries to every member if this host leads. Most
// members know the entries with the previous digest, before.
func (gw *Gateway) broadcastRoster(now clock.Instant, before uint64) {
	if !gw.agent.Leading() {
		return
	}
	delta, small := gw.encodeRosterDelta(now, before)
	whole := sync.OnceValue(func() [][]byte { return gw.encodeRoster(now) })
	for _, mb := range gw.table.Load().Members {
		to, err := netip.ParseAddrPort(mb.Address)
		switch {
		case err != nil || mb.Host == gw.self.Host:
		case small:
			gw.writeDatagram(to, delta)
		default:
			gw.sendWholeRoster(now, to, whole)
		}
	}
}

// sendRoster sends the entries to a host that knows those with the digest known: a
// delta if possible, otherwise all entries.
func (gw *Gateway) sendRoster(now clock.Instant, known uint64, to netip.AddrPort) {
	if delta, small := gw.encodeRosterDelta(now, known); small {
		gw.writeDatagram(to, delta)
		return
	}
	gw.sendWholeRoster(now, to, func() [][]byte { return gw.encodeRoster(now) })
}

// encodeRosterDelta returns the datagram with what has changed since the entries with
// the digest known. It returns false if these are not known any more or too different.
func (gw *Gateway) encodeRosterDelta(now clock.Instant, known uint64) ([]byte, bool) {
	rc := &gw.cache
	base, found := rc.entriesWithDigest(known)
	if !found {
		return nil, false
	}
	datagram := protocol.Encode(protocol.RosterDelta{
		Term: gw.agent.Term(), Version: rc.version, GraceLeft: gw.roster.GraceLeft(now), Delta: roster.Diff(base, rc.entries),
	})
	return datagram, len(datagram) <= maxDeltaBytes
}

// sendWholeRoster sends all entries in parts, or nothing if too much was sent lately; the
// next heartbeat is the next attempt.
func (gw *Gateway) sendWholeRoster(now clock.Instant, to netip.AddrPort, encode func() [][]byte) {
	if !gw.cache.wholeLists.take(now, gw.cache.listBytes(), wholeListBurst, wholeListRate) {
		return
	}
	for _, datagram := range encode() {
		gw.writeDatagram(to, datagram)
	}
}

// listBytes returns the size of all entries in datagrams.
func (rc *rosterCache) listBytes() int {
	sum := 0
	for ix := range rc.entries {
		sum += protocol.EntryBytes(&rc.entries[ix])
	}
	return sum
}

// parts cuts the entries into lists for one datagram each; there is at least one.
func (rc *rosterCache) parts() [][]roster.Entry {
	var parts [][]roster.Entry
	start, size := 0, 0
	for ix := range rc.entries {
		entryBytes := protocol.EntryBytes(&rc.entries[ix])
		if size+entryBytes > maxPartBytes && ix > start {
			parts = append(parts, rc.entries[start:ix])
			start, size = ix, 0
		}
		size += entryBytes
	}
	return append(parts, rc.entries[start:])
}

// encodeRoster returns the datagrams with all entries.
func (gw *Gateway) encodeRoster(now clock.Instant) [][]byte {
	parts := gw.cache.parts()
	datagrams := make([][]byte, 0, len(parts))
	for part, entries := range parts {
		datagrams = append(datagrams, protocol.Encode(protocol.Roster{
			Term: gw.agent.Term(), Version: gw.cache.version, GraceLeft: gw.roster.GraceLeft(now), Part: part, Parts: len(parts), Entries: entries,
		}))
	}
	return datagrams
}

// handleRosterPart handles a part of the entries from a leader.
func (gw *Gateway) handleRosterPart(now clock.Instant, ms protocol.Roster, from netip.AddrPort) {
	rc := &gw.cache
	if ms.Term < gw.agent.Term() || ms.Version <= rc.version || ms.Parts < 1 || ms.Part < 0 || ms.Part >= ms.Parts {
		return
	}
	gw.logMalformed(now, ms.Malformed, from)
	if entries, complete := rc.addPart(ms); complete {
		gw.applyLeaderEntries(now, entries, ms.Version, ms.GraceLeft)
	}
}

// handleRosterDelta handles a delta of the entries from a leader. A host that
// does not know the base gets all entries with the next heartbeat.
func (gw *Gateway) handleRosterDelta(now clock.Instant, ms protocol.RosterDelta, from netip.AddrPort) {
	if ms.Term < gw.agent.Term() || ms.Version <= gw.cache.version {
		return
	}
	gw.logMalformed(now, ms.Malformed, from)
	if entries, ok := ms.Apply(gw.cache.entries); ok {
		gw.applyLeaderEntries(now, entries, ms.Version, ms.GraceLeft)
	}
}

// applyLeaderEntries applies entries received from a leader.
func (gw *Gateway) applyLeaderEntries(now clock.Instant, entries []roster.Entry, version uint64, graceLeft time.Duration) {
	rc := &gw.cache
	// readAt stays: this message may have been delayed for long, so only the next
	// heartbeat can say how fresh the entries are.
	rc.entries, rc.version = entries, version
	rc.digest, rc.changedVersion = roster.Digest(entries), version
	gw.roster.ExtendGrace(now, graceLeft)
	gw.updateRoster(true)
}

// addPart stores a part and returns all entries once every part of one version
// is there.
func (rc *rosterCache) addPart(ms protocol.Roster) ([]roster.Entry, bool) {
	if len(rc.pendingParts) > 0 && (rc.pendingParts[0].Version != ms.Version || rc.pendingParts[0].Parts != ms.Parts) {
		rc.pendingParts = nil
	}
	for _, received := range rc.pendingParts {
		if received.Part == ms.Part {
			return nil, false
		}
	}
	rc.pendingParts = append(rc.pendingParts, ms)
	if len(rc.pendingParts) < ms.Parts {
		return nil, false
	}
	var entries []roster.Entry
	for _, part := range rc.pendingParts {
		entries = append(entries, part.Entries...)
	}
	rc.pendingParts = nil
	return entries, true
}

// updateFreshness applies the versions and the age from a leader's heartbeat and
// requests a read of the operator rows if they stay behind the leader's.
func (gw *Gateway) updateFreshness(now clock.Instant, hb protocol.Heartbeat) {
	gw.noteStoreConfirmation(now, hb)
	rc := &gw.cache
	if hb.Term < gw.agent.Term() || hb.Leader == "" {
		return
	}
	if hb.RosterVersion <= rc.version && hb.Echo <= now {
		// The heartbeat may have been delayed for long. Echo is when this host sent
		// its status, so the leader read the entries at Echo minus RosterAge or later.
		rc.readAt = max(rc.readAt, hb.Echo.Add(-hb.RosterAge))
		gw.leaderReadAt.Store(int64(rc.readAt))
	}
	if hb.OperatorVersion <= gw.operatorVersion.Load() {
		rc.operatorBehindSince = 0
		return
	}
	if rc.operatorBehindSince == 0 {
		rc.operatorBehindSince = now
	}
	if now.Sub(rc.operatorBehindSince) >= maxWatchLag {
		rc.operatorBehindSince = now.Add(time.Second)
		gw.requestOperatorRead("leaderKnowsNewer")
	}
}

// requestOperatorRead requests an immediate read of the operator rows.
func (gw *Gateway) requestOperatorRead(reason string) {
	select {
	case gw.rereadOperators <- struct{}{}:
		gw.config.Log.Event("operatorRowsReadAgain", map[string]any{"reason": reason, "version": gw.operatorVersion.Load()})
	default:
	}
}
