package gateway

import (
	"net/netip"
	"strings"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/talk"
	"chervilwalk/internal/operations/journal"
	"chervilwalk/internal/ownership/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/serving/permit"
)

const (
	// datagramBytes is the largest datagram that is read.
	datagramBytes = 16 << 10
	// viewPartBytes is how much of an assignment goes into one datagram.
	viewPartBytes = 8 << 10
)

// datagramEvent is a message from another host.
type datagramEvent struct {
	msg  talk.Msg
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
		msg, err := talk.Decode(buf[:count])
		if err != nil {
			gw.cf.Journal.Problem("datagramMalformed", err, journal.Fields{"from": from.String(), "bytes": count})
			continue
		}
		gw.send(datagramEvent{msg, from})
	}
}

// transmit sends a message. Lost datagrams are made up for by repeating.
func (gw *Gateway) transmit(address string, msg talk.Msg) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		gw.cf.Journal.Problem("peerAddressMalformed", err, journal.Fields{"address": address})
		return
	}
	gw.transmitTo(to, msg)
}

func (gw *Gateway) transmitTo(to netip.AddrPort, msg talk.Msg) {
	if _, err := gw.socket.WriteToUDPAddrPort(talk.Encode(msg), to); err != nil {
		gw.cf.Metrics.datagramLost()
	}
}

// hear takes a message from another host.
func (gw *Gateway) hear(ev datagramEvent) {
	now := gw.clock.Now()
	switch ms := ev.msg.(type) {
	case talk.Status:
		gw.heardStatus(ev.from, ms)
	case talk.Beat:
		gw.heardBeat(ev.from, ms)
	case talk.View:
		gw.heardView(ev.from, ms)
	case talk.Ask:
		gw.asks.remember(ms.Host, ev.from)
		gw.permit(permit.AskMsg{Ask: ms})
	case talk.Done:
		gw.transmitTo(ev.from, talk.DoneSeen{Ticket: ms.Ticket})
		gw.permit(permit.DoneMsg{Done: ms})
	case talk.Permit:
		gw.asks.permitted(now, ev.from.String(), ms)
	case talk.Refusal:
		gw.asks.refused(ev.from.String(), ms)
	case talk.Queued:
		gw.asks.queued(now, ev.from.String(), ms.Ticket)
	case talk.DoneSeen:
		gw.asks.doneSeen(ms.Ticket)
	}
}

// heardStatus answers a member; without a lead it is not ours to answer.
func (gw *Gateway) heardStatus(from netip.AddrPort, st talk.Status) {
	if gw.leader == nil {
		return
	}
	if st.Revision < gw.table.Load().Revision {
		gw.sendView(from)
	} else {
		gw.transmitTo(from, gw.beat())
	}
	gw.lead(leader.StatusMsg{Status: st})
}

// beat is the sign of this host's lead.
func (gw *Gateway) beat() talk.Beat {
	return talk.Beat{
		Term: gw.election.Term(), Leader: gw.self.Host, Revision: gw.table.Load().Revision,
		StoreAge: gw.clock.Now().Sub(gw.election.Confirmed()),
	}
}

func (gw *Gateway) heardBeat(from netip.AddrPort, bt talk.Beat) {
	if bt.Term < gw.election.Term() {
		return
	}
	if heard := string(bt.Leader) + " " + from.String(); heard != gw.heard {
		gw.heard = heard
		gw.cf.Journal.Event("leader", journal.Fields{"leader": bt.Leader, "term": bt.Term, "address": from.String(), "storeAgeMs": bt.StoreAge.Milliseconds()})
	}
	gw.elect(election.BeatMsg{Term: bt.Term, Host: bt.Leader, Address: from.String()})
	if bt.Revision == gw.table.Load().Revision && bt.Leader != "" {
		gw.confirm(gw.clock.Now())
	}
}

// sendView sends the assignment in force.
func (gw *Gateway) sendView(to netip.AddrPort) {
	body, err := assignment.Encode(gw.table.Load())
	if err != nil {
		gw.cf.Journal.Problem("assignmentNotEncoded", err, nil)
		return
	}
	gw.sendParts(to, string(body))
}

func (gw *Gateway) sendParts(to netip.AddrPort, body string) {
	parts := (len(body) + viewPartBytes - 1) / viewPartBytes
	for part := range parts {
		piece := body[part*viewPartBytes : min((part+1)*viewPartBytes, len(body))]
		gw.transmitTo(to, talk.View{Beat: gw.beat(), Part: part, Parts: parts, Body: piece})
	}
}

// broadcast sends the assignment in force to every member.
func (gw *Gateway) broadcast() {
	tb := gw.table.Load()
	body, err := assignment.Encode(tb)
	if err != nil {
		gw.cf.Journal.Problem("assignmentNotEncoded", err, nil)
		return
	}
	for _, mb := range tb.Members {
		to, err := netip.ParseAddrPort(mb.Address)
		if err != nil || mb.Host == gw.self.Host {
			continue
		}
		gw.sendParts(to, string(body))
	}
	gw.sendStatus(gw.clock.Now())
}

// resigned tells the members that this host leads no more.
func (gw *Gateway) resigned() {
	for _, mb := range gw.table.Load().Members {
		if mb.Host != gw.self.Host {
			gw.transmit(mb.Address, talk.Beat{Term: gw.election.Term(), Revision: gw.table.Load().Revision})
		}
	}
}

// viewParts collects the parts of an assignment.
type viewParts struct {
	term     talk.Term
	revision assignment.Revision
	parts    []string
	have     int
}

func (vp *viewParts) add(ms talk.View) (body string, complete bool) {
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

func (gw *Gateway) heardView(from netip.AddrPort, ms talk.View) {
	if ms.Term < gw.election.Term() {
		return
	}
	body, complete := gw.views.add(ms)
	if !complete {
		return
	}
	tb, err := assignment.Decode([]byte(body))
	if err != nil {
		gw.cf.Journal.Problem("assignmentMalformed", err, journal.Fields{"from": from.String(), "revision": ms.Revision})
		return
	}
	gw.follow(tb)
	gw.heardBeat(from, ms.Beat)
	// The leader counts on hearing at once who follows.
	gw.sendStatus(gw.clock.Now())
}

// reply sends a holder's word to a host.
func (gw *Gateway) reply(host ident.Host, msg talk.Msg) {
	if host == gw.self.Host {
		gw.asks.local(msg)
		return
	}
	if to, known := gw.asks.addressOf(host); known {
		gw.transmitTo(to, msg)
	}
}
