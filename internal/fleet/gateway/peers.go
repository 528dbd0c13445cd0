package gateway

import (
	"net/netip"
	"strings"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

const (
	// maxDatagramBytes is the largest datagram that is read.
	maxDatagramBytes = 16 << 10
	// assignmentPartBytes is how many bytes of an encoded assignment go into one
	// datagram.
	assignmentPartBytes = 8 << 10
	// maxDeltaBytes is the largest datagram with a delta. Instead of a larger delta
	// the complete state is sent, in parts.
	maxDeltaBytes = 12 << 10
)

// datagramEvent carries a message from another host.
type datagramEvent struct {
	msg  protocol.Msg
	from netip.AddrPort
}

// receiveDatagrams reads and decodes datagrams until the gateway is closed.
func (gw *Gateway) receiveDatagrams() {
	buf := make([]byte, maxDatagramBytes)
	for {
		count, from, err := gw.socket.ReadFromUDPAddrPort(buf)
		select {
		case <-gw.done:
			return
		default:
		}
		if err != nil {
			// An earlier datagram to a host that is down can make a read fail.
			continue
		}
		msg, err := protocol.Decode(buf[:count])
		if err != nil {
			gw.config.Log.ErrorEvent("datagramMalformed", err, eventlog.Fields{"from": from.String(), "bytes": count})
			continue
		}
		gw.send(datagramEvent{msg, from})
	}
}

// sendMessage sends a message to a host. Datagrams may be lost, so senders repeat
// their messages.
func (gw *Gateway) sendMessage(address string, msg protocol.Msg) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		gw.config.Log.ErrorEvent("peerAddressMalformed", err, eventlog.Fields{"address": address})
		return
	}
	gw.sendMessageTo(to, msg)
}

func (gw *Gateway) sendMessageTo(to netip.AddrPort, msg protocol.Msg) {
	gw.writeDatagram(to, protocol.Encode(msg))
}

func (gw *Gateway) writeDatagram(to netip.AddrPort, datagram []byte) {
	if _, err := gw.socket.WriteToUDPAddrPort(datagram, to); err != nil {
		gw.config.Metrics.datagramUnsent()
	}
}

// handleDatagram dispatches a message from another host.
func (gw *Gateway) handleDatagram(ev datagramEvent) {
	now := gw.clock.Now()
	switch ms := ev.msg.(type) {
	case protocol.Status:
		gw.updateAgent(agent.StatusMsg{Status: ms, From: ev.from.String()})
		gw.answerStatus(now, ms, ev.from)
	case protocol.Heartbeat:
		if ms.Term >= gw.agent.Term() && ms.Leader != "" {
			gw.permitClient.noteLeaderHeard(now)
		}
		if ms.Term >= gw.agent.Term() && gw.leaderSendsRows.Swap(ms.SendsOperatorRows) != ms.SendsOperatorRows {
			wake(gw.rowsWake)
		}
		gw.updateFreshness(now, ms, ev.from)
		gw.updateAgent(agent.HeartbeatMsg{Heartbeat: ms, From: ev.from.String()})
	case protocol.Roster:
		gw.handleRosterPart(now, ms, ev.from)
	case protocol.PackedRoster:
		gw.handlePackedRoster(now, ms, ev.from)
	case protocol.RosterDelta:
		gw.handleRosterDelta(now, ms, ev.from)
	case protocol.Assignment:
		gw.handleAssignmentPart(ev.from, ms)
	case protocol.AssignmentDelta:
		gw.updateFreshness(now, ms.Heartbeat, ev.from)
		gw.updateAgent(agent.DeltaMsg{Heartbeat: ms.Heartbeat, Delta: ms.Delta, From: ev.from.String()})
	case protocol.Leaving:
		gw.handlePeerLeaving(ms)
	case protocol.Pause:
		gw.updatePermits(permit.PauseMsg{Host: ms.Host, Upstream: ms.Upstream, Until: now.Add(ms.Left)})
	case protocol.Limits:
		gw.handlePeerLimits(ms, ev.from.String())
	case protocol.Suspects:
		gw.handlePeerSuspects(ms, ev.from.String())
	case protocol.OperatorRows:
		gw.handleOperatorRows(ms, ev.from)
	case protocol.Report:
		gw.handleReportPart(ms)
	case protocol.Ask:
		gw.permitClient.rememberAddress(ms.Host, ev.from)
		ms.Fallback = ms.Fallback || !gw.permitClient.holdsPool(ms)
		gw.handleAsk(ms)
	case protocol.Done:
		gw.sendMessageTo(ev.from, protocol.DoneAck{Ticket: ms.Ticket, Asker: ms.Process()})
		gw.handleDone(ms)
	case protocol.Permit:
		gw.permitClient.handlePermit(now, ev.from.String(), ms)
	case protocol.Refusal:
		gw.permitClient.handleRefusal(ev.from.String(), ms)
	case protocol.Queued:
		gw.permitClient.handleQueued(now, ev.from.String(), ms)
	case protocol.DoneAck:
		gw.permitClient.handleDoneAck(ms)
	}
}

// sendAssignment sends an assignment: the delta if the receiver knows a base and
// the delta fits into a datagram, otherwise all of it in parts.
func (gw *Gateway) sendAssignment(cmd agent.AssignmentCmd) {
	if cmd.Base != nil && gw.sendAssignmentDelta(cmd) {
		return
	}
	if gw.lastEncoded.table != cmd.Table {
		body, err := assignment.Encode(cmd.Table)
		if err != nil {
			gw.config.Log.ErrorEvent("assignmentNotEncoded", err, nil)
			return
		}
		gw.lastEncoded = encodedTable{cmd.Table, string(body)}
	}
	hb := cmd.Heartbeat
	hb.Freshness = gw.cache.freshness(gw.clock.Now())
	for part, chunk := range assignmentChunks(gw.lastEncoded.body) {
		gw.sendMessage(cmd.To, protocol.Assignment{Heartbeat: hb, Part: part, Parts: chunkCount(gw.lastEncoded.body), Body: chunk})
	}
}

// assignmentChunks returns the parts of an encoded assignment, each for a datagram.
func assignmentChunks(body string) []string {
	var chunks []string
	for part := range chunkCount(body) {
		chunks = append(chunks, body[part*assignmentPartBytes:min((part+1)*assignmentPartBytes, len(body))])
	}
	return chunks
}

func chunkCount(body string) int { return (len(body) + assignmentPartBytes - 1) / assignmentPartBytes }

// sendReport sends the assignment that this host remembers to a recovering leader.
func (gw *Gateway) sendReport(cmd agent.ReportCmd) {
	body, err := assignment.Encode(cmd.Table)
	if err != nil {
		gw.config.Log.ErrorEvent("assignmentNotEncoded", err, eventlog.Fields{"revision": cmd.Table.Revision})
		return
	}
	gw.config.Log.Event("assignmentReported", eventlog.Fields{"leader": cmd.To, "revision": cmd.Table.Revision})
	for part, chunk := range assignmentChunks(string(body)) {
		gw.sendMessage(cmd.To, protocol.Report{Host: gw.self.Host, Revision: cmd.Table.Revision, Part: part, Parts: chunkCount(string(body)), Body: chunk})
	}
}

// handleReportPart handles a part of the assignment that a member remembers. Members may
// remember different ones, and their parts arrive mixed.
func (gw *Gateway) handleReportPart(ms protocol.Report) {
	if ms.Revision <= gw.table.Load().Revision {
		return
	}
	parts, known := gw.reportParts[ms.Host]
	if !known {
		parts = &assignmentParts{}
		gw.reportParts[ms.Host] = parts
	}
	body, complete := parts.add(protocol.Assignment{Heartbeat: protocol.Heartbeat{Revision: ms.Revision}, Part: ms.Part, Parts: ms.Parts, Body: ms.Body})
	if !complete {
		return
	}
	delete(gw.reportParts, ms.Host)
	tb, err := assignment.Decode([]byte(body))
	if err != nil {
		gw.config.Log.ErrorEvent("assignmentMalformed", err, eventlog.Fields{"from": ms.Host, "revision": ms.Revision})
		return
	}
	gw.updateAgent(agent.ReportMsg{Table: tb})
}

// sendAssignmentDelta sends the delta of an assignment. It returns false if the
// delta does not fit into a datagram or the address is malformed.
func (gw *Gateway) sendAssignmentDelta(cmd agent.AssignmentCmd) bool {
	to, err := netip.ParseAddrPort(cmd.To)
	if err != nil || len(cmd.Table.Members) == 0 {
		// A delta cannot say that all members have left.
		return false
	}
	if gw.lastDiff.base != cmd.Base || gw.lastDiff.table != cmd.Table {
		delta := assignment.Diff(cmd.Base, cmd.Table)
		gw.lastDiff = tableDiff{cmd.Base, cmd.Table, protocol.EncodeDelta(delta), protocol.EncodeDelta(delta.WithChangedMembers(cmd.Base))}
	}
	hb := cmd.Heartbeat
	hb.Freshness = gw.cache.freshness(gw.clock.Now())
	delta := gw.lastDiff.delta
	if gw.rowRelay.takers[to] {
		delta = gw.lastDiff.changed
	}
	datagram := delta.Datagram(hb)
	if len(datagram) > maxDeltaBytes {
		return false
	}
	gw.writeDatagram(to, datagram)
	return true
}

// tableDiff is the assignment delta that was computed last. changed has only the members that
// have changed, which earlier builds do not read.
type tableDiff struct {
	base, table    *assignment.Table
	delta, changed protocol.EncodedDelta
}

// encodedTable is the assignment that was encoded last.
type encodedTable struct {
	table *assignment.Table
	body  string
}

// assignmentParts collects the parts of one revision of an assignment.
type assignmentParts struct {
	term     protocol.Term
	revision assignment.Revision
	parts    []string
	have     int
}

// add stores a part and returns the body once all parts are there.
func (ap *assignmentParts) add(ms protocol.Assignment) (body string, complete bool) {
	if ms.Parts < 1 || ms.Part < 0 || ms.Part >= ms.Parts || ms.Parts > 1<<10 {
		return "", false
	}
	if ms.Term != ap.term || ms.Revision != ap.revision || len(ap.parts) != ms.Parts {
		*ap = assignmentParts{term: ms.Term, revision: ms.Revision, parts: make([]string, ms.Parts)}
	}
	if ap.parts[ms.Part] == "" {
		ap.parts[ms.Part] = ms.Body
		ap.have++
	}
	if ap.have < ms.Parts {
		return "", false
	}
	body = strings.Join(ap.parts, "")
	*ap = assignmentParts{}
	return body, true
}

// handleAssignmentPart handles a part of an assignment from the leader.
func (gw *Gateway) handleAssignmentPart(from netip.AddrPort, ms protocol.Assignment) {
	gw.updateFreshness(gw.clock.Now(), ms.Heartbeat, from)
	if ms.Revision <= gw.table.Load().Revision {
		gw.updateAgent(agent.HeartbeatMsg{Heartbeat: ms.Heartbeat, From: from.String()})
		return
	}
	body, complete := gw.assignmentParts.add(ms)
	if !complete {
		return
	}
	tb, err := assignment.Decode([]byte(body))
	if err != nil {
		gw.config.Log.ErrorEvent("assignmentMalformed", err, eventlog.Fields{"from": from.String(), "revision": ms.Revision})
		return
	}
	gw.updateAgent(agent.AssignmentMsg{Heartbeat: ms.Heartbeat, Table: tb, From: from.String()})
}

// sendToHost sends a reply of this host's permit core to a host.
func (gw *Gateway) sendToHost(host ident.Host, msg protocol.Msg) {
	if host == gw.self.Host {
		gw.permitClient.handleLocal(msg)
		return
	}
	if to, known := gw.permitClient.addressOf(host); known {
		gw.sendMessageTo(to, msg)
	}
}
