package gateway

import (
	"net/netip"
	"strings"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/quarantine"
	"chervilwalk/platform"
)

// silentSpread is by how much hosts spread their reads when the leader goes silent.
const silentSpread = 250 * time.Millisecond

// rowRelay sends operator rows to other hosts and collects those that they send. Only the
// event loop may use it.
type rowRelay struct {
	// rows are the newest ones of this host, as the store had them at version.
	rows    []platform.Row
	version platform.Version
	// takers holds the addresses of the members that take rows from this host while it leads.
	takers map[netip.AddrPort]bool
	// starting holds those of them that have no rows yet.
	starting map[netip.AddrPort]bool
	// encoded is the row set that was encoded last, without suspects.
	encoded        []byte
	encodedVersion platform.Version
	// leaderBehindSince is since when the leader's heartbeats name older rows than this host knows.
	// reports is how often it was told of those of reportedVersion.
	leaderBehindSince clock.Instant
	reportedVersion   platform.Version
	reports           int
	pending           bodyParts
}

// bodyParts collects the parts of one body, such as a row set, from one host.
type bodyParts struct {
	from    netip.AddrPort
	version uint64
	parts   []string
	have    int
}

// maxBodyParts is the number of parts of the largest body.
const maxBodyParts = 1 << 10

// add stores a part and returns the body once all parts are there.
func (bp *bodyParts) add(from netip.AddrPort, version uint64, part, parts int, chunk string) (body string, complete bool) {
	if part >= parts || parts > maxBodyParts || chunk == "" {
		return "", false
	}
	if bp.from != from || bp.version != version || len(bp.parts) != parts {
		*bp = bodyParts{from: from, version: version, parts: make([]string, parts)}
	}
	if bp.parts[part] == "" {
		bp.parts[part] = chunk
		bp.have++
	}
	if bp.have < parts {
		return "", false
	}
	body = strings.Join(bp.parts, "")
	*bp = bodyParts{}
	return body, true
}

// answerStatus sends a member what its status says that it lacks, if this host leads.
func (gw *Gateway) answerStatus(now clock.Instant, st protocol.Status, from netip.AddrPort) {
	if !gw.agent.Leading() {
		return
	}
	rl := &gw.rowRelay
	delete(rl.takers, from)
	delete(rl.starting, from)
	if st.OperatorRows > 0 {
		rl.takers[from] = true
		if st.OperatorRows == 1 {
			rl.starting[from] = true
		}
		if rl.starting[from] || st.OperatorRows-1 < gw.cache.operatorVersion {
			gw.sendOperatorRows(now, from)
		}
	}
	if st.RosterVersion < gw.cache.changedVersion {
		gw.sendRoster(now, st.RosterDigest, from)
	}
}

// noteOperatorRows keeps the rows that are in force now, and passes them on if they have changed.
func (gw *Gateway) noteOperatorRows(now clock.Instant, ev operatorStateEvent) {
	gw.cache.operatorVersion = max(gw.cache.operatorVersion, ev.changedVersion)
	if ev.version <= gw.rowRelay.version {
		return
	}
	first := gw.rowRelay.version == 0
	gw.rowRelay.rows, gw.rowRelay.version = ev.rows, ev.version
	gw.broadcastOperatorRows(now)
	if first {
		gw.tellDomain(func(to netip.AddrPort) { gw.sendRowSet(now, to, true) })
	}
}

// tellDomain tells the members of this host's failure domain what it has read as one of the
// first readers: all hosts may have started at once, without a leader.
func (gw *Gateway) tellDomain(send func(to netip.AddrPort)) {
	rank := gw.domainRank.Load()
	if gw.agent.Leading() || gw.rowConditions().heard || rank < 0 || rank >= firstReaders {
		return
	}
	for _, mb := range gw.table.Load().Members {
		if to, err := netip.ParseAddrPort(mb.Address); err == nil && mb.Domain == gw.self.Domain && mb.Host != gw.self.Host {
			send(to)
		}
	}
}

// broadcastOperatorRows sends the operator rows to all members that take them, if this host
// leads.
func (gw *Gateway) broadcastOperatorRows(now clock.Instant) {
	if !gw.agent.Leading() {
		return
	}
	for _, mb := range gw.table.Load().Members {
		if to, err := netip.ParseAddrPort(mb.Address); err == nil && mb.Alive && gw.rowRelay.takers[to] {
			gw.sendOperatorRows(now, to)
		}
	}
}

// sendOperatorRows sends the operator rows to a host. One that has none must know the suspects
// before it serves.
func (gw *Gateway) sendOperatorRows(now clock.Instant, to netip.AddrPort) {
	gw.sendRowSet(now, to, gw.rowRelay.starting[to])
}

// sendRowSet sends the operator rows to a host, with the suspects if it starts. Their version is that
// of their last change, as in heartbeats.
func (gw *Gateway) sendRowSet(now clock.Instant, to netip.AddrPort, starts bool) {
	rl := &gw.rowRelay
	if rl.version == 0 {
		return
	}
	var suspects []protocol.Suspect
	if starts {
		suspects = gw.suspects.core.Suspects(now, maxStored)
	}
	body := rl.encoded
	if len(suspects) > 0 || rl.encodedVersion != rl.version {
		body = protocol.EncodeRowSet(gw.rowSetMessage(suspects))
	}
	if len(suspects) == 0 {
		rl.encoded, rl.encodedVersion = body, rl.version
	}
	chunks := assignmentChunks(string(body))
	for part, chunk := range chunks {
		gw.sendMessageTo(to, protocol.OperatorRows{Version: gw.cache.operatorVersion, Part: part, Parts: len(chunks), Body: chunk})
	}
}

func (gw *Gateway) rowSetMessage(suspects []protocol.Suspect) protocol.RowSet {
	set := protocol.RowSet{Table: gw.source.table(), Version: gw.cache.operatorVersion, Suspects: suspects}
	for _, rw := range gw.rowRelay.rows {
		set.Rows = append(set.Rows, protocol.OperatorRow{Key: rw.Key, Value: string(rw.Value), Version: uint64(rw.Version)})
	}
	return set
}

// handleOperatorRows handles a part of the operator rows that another host knows.
func (gw *Gateway) handleOperatorRows(ms protocol.OperatorRows, from netip.AddrPort) {
	if ms.Version <= gw.operatorVersion.Load() {
		return
	}
	body, complete := gw.rowRelay.pending.add(from, ms.Version, ms.Part, ms.Parts, ms.Body)
	if !complete {
		return
	}
	set, err := protocol.DecodeRowSet([]byte(body))
	if err != nil {
		gw.config.Log.ErrorEvent("operatorRowsMalformed", err, eventlog.Fields{"from": from.String(), "version": ms.Version})
		return
	}
	if set.Table != gw.source.table() || set.Version != ms.Version {
		gw.config.Log.Event("operatorRowsIgnored", eventlog.Fields{"from": from.String(), "version": set.Version, "table": set.Table})
		return
	}
	if gw.desiredState.Load() == nil && len(set.Suspects) > 0 {
		gw.updateSuspects(gw.clock.Now(), quarantine.SuspectsMsg{Suspects: set.Suspects, Stored: true}, from.String())
	}
	ra := rowAnswer{version: platform.Version(set.Version), whole: true}
	for _, rw := range set.Rows {
		ra.rows = append(ra.rows, platform.Row{Table: set.Table, Key: rw.Key, Value: []byte(rw.Value), Version: platform.Version(rw.Version)})
	}
	gw.config.Log.Event("operatorRowsReceived", eventlog.Fields{"from": from.String(), "version": set.Version, "rows": len(set.Rows)})
	gw.config.Metrics.rowsReceived()
	// Only the newest ones count.
	select {
	case <-gw.relayedRows:
	default:
	}
	gw.relayedRows <- ra
}

// compareOperatorRows compares this host's operator rows with those of the leader, by its
// heartbeat: rows that stay older are read, newer ones of a domain's reader are sent to it.
func (gw *Gateway) compareOperatorRows(now clock.Instant, hb protocol.Heartbeat, from netip.AddrPort) {
	rc := &gw.cache
	gw.reportOperatorRows(now, hb, from)
	known := gw.operatorVersion.Load()
	if hb.OperatorVersion <= known || known == 0 {
		// Without any, the first read is due at its own time.
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

// maxRowReports limits how often a leader is told of one version. One that has read all rows
// does not know of a deletion, and names an older version although it knows the newest.
const maxRowReports = 3

// reportOperatorRows sends the leader newer operator rows, if this host reads for its domain.
func (gw *Gateway) reportOperatorRows(now clock.Instant, hb protocol.Heartbeat, from netip.AddrPort) {
	rl := &gw.rowRelay
	if hb.OperatorVersion >= gw.cache.operatorVersion || !gw.leaderSendsRows.Load() || gw.domainRank.Load() != 0 {
		rl.leaderBehindSince = 0
		return
	}
	if rl.leaderBehindSince == 0 {
		rl.leaderBehindSince = now
	}
	if rl.reportedVersion != rl.version {
		rl.reportedVersion, rl.reports = rl.version, 0
	}
	if now.Sub(rl.leaderBehindSince) < maxWatchLag || rl.reports >= maxRowReports {
		return
	}
	rl.reports++
	gw.config.Log.Event("operatorRowsReported", eventlog.Fields{"leader": from.String(), "version": rl.version, "leaderHas": hb.OperatorVersion})
	gw.sendOperatorRows(now, from)
}

// checkSilentLeader requests a read if this host relies on a leader for changes that has not
// had an answer of the store lately.
func (gw *Gateway) checkSilentLeader() {
	delay := maxEntriesAge
	if gw.domainRank.Load() != 0 {
		delay += time.Duration(ident.Weight("silent", string(gw.self.Host)) % uint64(silentSpread))
	}
	if (gw.longWatch.Load() || gw.listening.Load()) && gw.leaderStoreAge() >= delay {
		gw.longWatch.Store(false)
		gw.listening.Store(false)
		gw.requestOperatorRead("leaderSilent")
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
