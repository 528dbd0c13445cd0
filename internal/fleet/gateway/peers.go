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
	// datagramBytes is the largest datagram that is read.
	datagramBytes = 16 << 10
	// viewPartBytes is how much of an assignment goes into one datagram.
	viewPartBytes = 8 << 10
	// deltaBytes is the largest datagram with a delta; a larger one is sent as the
	// whole that it leads to, in parts.
	deltaBytes = 12 << 10
)

// datagramEvent is a message from another host.
type datagramEvent struct {
	msg  protocol.Msg
	from netip.AddrPort
}

// receive reads datagrams.
func (gw *Gateway) receive() {
	buf := make([]byte, datagramBytes)
	for {
		count, from, err := gw.socket.ReadFromUDPAddrPort(buf)
		select {
		case <-gw.done:
			return
		default:
		}
		if err != nil {
			// A host that is down answers a datagram with an error here.
			continue
		}
		msg, err := protocol.Decode(buf[:count])
		if err != nil {
			gw.cf.Journal.Problem("datagramMalformed", err, eventlog.Fields{"from": from.String(), "bytes": count})
			continue
		}
		gw.send(datagramEvent{msg, from})
	}
}

// transmit sends a message. Lost datagrams are made up for by repeating.
func (gw *Gateway) transmit(address string, msg protocol.Msg) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		gw.cf.Journal.Problem("peerAddressMalformed", err, eventlog.Fields{"address": address})
		return
	}
	gw.transmitTo(to, msg)
}

func (gw *Gateway) transmitTo(to netip.AddrPort, msg protocol.Msg) {
	gw.write(to, protocol.Encode(msg))
}

func (gw *Gateway) write(to netip.AddrPort, datagram []byte) {
	if _, err := gw.socket.WriteToUDPAddrPort(datagram, to); err != nil {
		gw.cf.Metrics.datagramLost()
	}
}

// hear takes a message from another host.
func (gw *Gateway) hear(ev datagramEvent) {
	now := gw.clock.Now()
	switch ms := ev.msg.(type) {
	case protocol.Status:
		gw.own(agent.StatusMsg{Status: ms, From: ev.from.String()})
	case protocol.Heartbeat:
		gw.heardNews(now, ms)
		gw.own(agent.BeatMsg{Beat: ms, From: ev.from.String()})
	case protocol.Roster:
		gw.heardRoster(now, ms)
	case protocol.RosterDelta:
		gw.heardRosterDelta(now, ms)
	case protocol.Assignment:
		gw.heardView(ev.from, ms)
	case protocol.AssignmentDelta:
		gw.heardNews(now, ms.Heartbeat)
		gw.own(agent.DeltaMsg{Beat: ms.Heartbeat, Delta: ms.Delta, From: ev.from.String()})
	case protocol.Ask:
		gw.asks.remember(ms.Host, ev.from)
		gw.permit(permit.AskMsg{Ask: ms})
	case protocol.Done:
		gw.transmitTo(ev.from, protocol.DoneAck{Ticket: ms.Ticket})
		gw.permit(permit.DoneMsg{Done: ms})
	case protocol.Permit:
		gw.asks.permitted(now, ev.from.String(), ms)
	case protocol.Refusal:
		gw.asks.refused(ev.from.String(), ms)
	case protocol.Queued:
		gw.asks.queued(now, ev.from.String(), ms.Ticket)
	case protocol.DoneAck:
		gw.asks.doneSeen(ms.Ticket)
	}
}

// sendView sends an assignment: what changed since a base if that is known,
// else all of it in parts that fit into datagrams.
func (gw *Gateway) sendView(cmd agent.ViewCmd) {
	if cmd.Base != nil && gw.sendDelta(cmd) {
		return
	}
	if gw.encoded.table != cmd.Table {
		body, err := assignment.Encode(cmd.Table)
		if err != nil {
			gw.cf.Journal.Problem("assignmentNotEncoded", err, nil)
			return
		}
		gw.encoded = encodedTable{cmd.Table, string(body)}
	}
	body, beat := gw.encoded.body, cmd.Beat
	beat.Freshness = gw.news.word(gw.clock.Now())
	parts := (len(body) + viewPartBytes - 1) / viewPartBytes
	for part := range parts {
		piece := body[part*viewPartBytes : min((part+1)*viewPartBytes, len(body))]
		gw.transmit(cmd.To, protocol.Assignment{Heartbeat: beat, Part: part, Parts: parts, Body: piece})
	}
}

// sendDelta sends what changed of an assignment; false means that it does not
// fit into a datagram.
func (gw *Gateway) sendDelta(cmd agent.ViewCmd) bool {
	to, err := netip.ParseAddrPort(cmd.To)
	if err != nil {
		return false
	}
	if gw.diff.base != cmd.Base || gw.diff.table != cmd.Table {
		gw.diff = tableDiff{cmd.Base, cmd.Table, assignment.Diff(cmd.Base, cmd.Table)}
	}
	beat := cmd.Beat
	beat.Freshness = gw.news.word(gw.clock.Now())
	datagram := protocol.Encode(protocol.AssignmentDelta{Heartbeat: beat, Delta: gw.diff.delta})
	if len(datagram) > deltaBytes {
		return false
	}
	gw.write(to, datagram)
	return true
}

// tableDiff is the change of the assignment that was sent last.
type tableDiff struct {
	base, table *assignment.Table
	delta       assignment.Delta
}

// encodedTable is the assignment that was sent last.
type encodedTable struct {
	table *assignment.Table
	body  string
}

// viewParts collects the parts of an assignment.
type viewParts struct {
	term     protocol.Term
	revision assignment.Revision
	parts    []string
	have     int
}

func (vp *viewParts) add(ms protocol.Assignment) (body string, complete bool) {
	if ms.Parts < 1 || ms.Part < 0 || ms.Part >= ms.Parts || ms.Parts > 1<<10 {
		return "", false
	}
	if ms.Term != vp.term || ms.Revision != vp.revision || len(vp.parts) != ms.Parts {
		*vp = viewParts{term: ms.Term, revision: ms.Revision, parts: make([]string, ms.Parts)}
	}
	if vp.parts[ms.Part] == "" {
		vp.parts[ms.Part] = ms.Body
		vp.have++
	}
	if vp.have < ms.Parts {
		return "", false
	}
	body = strings.Join(vp.parts, "")
	*vp = viewParts{}
	return body, true
}

// heardView takes a part of an assignment.
func (gw *Gateway) heardView(from netip.AddrPort, ms protocol.Assignment) {
	gw.heardNews(gw.clock.Now(), ms.Heartbeat)
	if ms.Revision <= gw.table.Load().Revision {
		gw.own(agent.BeatMsg{Beat: ms.Heartbeat, From: from.String()})
		return
	}
	body, complete := gw.views.add(ms)
	if !complete {
		return
	}
	tb, err := assignment.Decode([]byte(body))
	if err != nil {
		gw.cf.Journal.Problem("assignmentMalformed", err, eventlog.Fields{"from": from.String(), "revision": ms.Revision})
		return
	}
	gw.own(agent.ViewMsg{Beat: ms.Heartbeat, Table: tb, From: from.String()})
}

// reply sends a holder's word to a host.
func (gw *Gateway) reply(host ident.Host, msg protocol.Msg) {
	if host == gw.self.Host {
		gw.asks.local(msg)
		return
	}
	if to, known := gw.asks.addressOf(host); known {
		gw.transmitTo(to, msg)
	}
}
