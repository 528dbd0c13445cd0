package gateway

import (
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
)

const (
	orders = ident.Service("orders")
	files  = ident.Service("files")
	// orderUpstream and fileUpstream are the only upstreams of the two services.
	orderUpstream = ident.Upstream("i-orders")
	fileUpstream  = ident.Upstream("i-files")
)

// datagram is one that has not arrived yet.
type datagram struct {
	from, to netip.AddrPort
	content  []byte
}

// testNetwork connects the event loops of gateways that run in the test's goroutine.
type testNetwork struct {
	t        *testing.T
	gateways map[netip.AddrPort]*Gateway
	inFlight []datagram
}

// testSocket is the socket of one gateway.
type testSocket struct {
	nw      *testNetwork
	address netip.AddrPort
}

// ReadFromUDPAddrPort implements PeerSocket.
func (ts testSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, io.EOF
}

// WriteToUDPAddrPort implements PeerSocket.
func (ts testSocket) WriteToUDPAddrPort(content []byte, to netip.AddrPort) (int, error) {
	ts.nw.inFlight = append(ts.nw.inFlight, datagram{ts.address, to, slices.Clone(content)})
	return len(content), nil
}

// Close implements PeerSocket.
func (ts testSocket) Close() error { return nil }

// startProcess starts a process of a host, in place of an earlier one at the same address. The
// tickets of all processes begin with the same number. Only the host "holder" issues permits.
func (nw *testNetwork) startProcess(host ident.Host, address string, incarnation uint64) *Gateway {
	return newTestProcess(nw.t, nw, host, address, incarnation)
}

func newTestProcess(tb testing.TB, nw *testNetwork, host ident.Host, address string, incarnation uint64) *Gateway {
	gw := &Gateway{
		self: assignment.Member{Host: host, Address: address, Incarnation: incarnation}, roster: roster.New(), permits: permit.New(),
		events: make(chan any, eventBuffer), done: make(chan struct{}), announcements: newAnnouncements(), loads: newLoadCounter(),
		upstreamCount: map[ident.Service]int{orders: 1, files: 1},
	}
	lg := eventlog.New(io.Discard, string(host))
	tb.Cleanup(lg.Close)
	gw.config.Log = lg
	gw.rowRelay.takers, gw.rowRelay.starting = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	gw.agent = agent.New(gw.self, 1)
	gw.permitClient = newPermitClient(gw)
	gw.permitClient.lastTicket.Store(0)
	gw.upstreamLimits, gw.suspects = newUpstreamLimits(gw), newSuspects(gw)
	table := &assignment.Table{Members: []assignment.Member{{Host: "holder", Address: "10.0.0.9:1", Fitness: 20, Alive: true}}}
	gw.table.Store(table)
	upstreams := []permit.Upstream{{ID: orderUpstream, Service: orders, Slots: 1}, {ID: fileUpstream, Service: files, Slots: 1}}
	gw.updatePermits(permit.UpstreamsMsg{Upstreams: upstreams, Services: map[ident.Service]desired.Service{orders: {}, files: {}}, Table: table})
	endpoints := map[ident.Upstream]endpoint{}
	for _, up := range upstreams {
		endpoints[up.ID] = endpoint{service: up.Service, address: "10.0.1.1:80", refuseAt: gw.clock.Now().Add(time.Hour)}
	}
	gw.endpoints.Store(&endpoints)
	at := netip.MustParseAddrPort(address)
	gw.socket = testSocket{nw, at}
	nw.gateways[at] = gw
	return gw
}

// deliver delivers the datagrams in flight and those that they cause.
func (nw *testNetwork) deliver() {
	for len(nw.inFlight) > 0 {
		dg := nw.inFlight[0]
		nw.inFlight = nw.inFlight[1:]
		msg, err := protocol.Decode(dg.content)
		NewWithT(nw.t).Expect(err).NotTo(HaveOccurred())
		if gw := nw.gateways[dg.to]; gw != nil {
			gw.handleDatagram(datagramEvent{msg, dg.from})
		}
	}
}

// acquire begins to acquire a permit, like Acquire.
func acquire(gw *Gateway, service ident.Service) chan acquireResult {
	reply := make(chan acquireResult, 1)
	gw.permitClient.start(acquireEvent{reply: reply, ask: protocol.Ask{
		Host: gw.self.Host, Incarnation: gw.self.Incarnation, Ticket: protocol.Ticket(gw.permitClient.lastTicket.Add(1)),
		Request: ident.Request(fmt.Sprint(gw.self.Host, gw.self.Incarnation, service)), Service: service,
		TimeLeft: 3 * time.Second, ObjectiveLeft: 3 * time.Second,
	}})
	return reply
}

// permitted returns the permit that an acquire has got.
func permitted(gm Gomega, reply chan acquireResult) proxy.Permit {
	var rs acquireResult
	gm.ExpectWithOffset(1, reply).To(Receive(&rs))
	gm.ExpectWithOffset(1, rs.refusal).To(BeNil())
	return rs.permit
}

// release releases a permit after an answer.
func release(gw *Gateway, service ident.Service, pm proxy.Permit) {
	gw.permitClient.release(releaseEvent{pm, protocol.Done{Service: service, Upstream: pm.Upstream, Outcome: uint8(permit.Answered), Took: time.Millisecond}})
}

// TestRepliesToKilledProcess guards against requests that run at upstreams of another service, or
// are refused: a host took the reply to an ask of its killed process for one to its own ask, since
// both have the same ticket.
func TestRepliesToKilledProcess(t *testing.T) {
	const hostAddress = "10.0.0.1:1"
	cases := map[string]struct {
		// ordersBusy means that the only slot for orders is in use.
		ordersBusy bool
		// before is what the killed process has done of which the replies are in flight.
		before func(nw *testNetwork, killed *Gateway)
	}{
		"a permit in flight": {before: func(_ *testNetwork, killed *Gateway) { acquire(killed, orders) }},
		"a refusal in flight": {before: func(_ *testNetwork, killed *Gateway) {
			acquire(killed, "unknown")
		}},
		"an ask that waits": {ordersBusy: true, before: func(nw *testNetwork, killed *Gateway) {
			acquire(killed, orders)
			nw.deliver()
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			nw := &testNetwork{t: t, gateways: map[netip.AddrPort]*Gateway{}}
			nw.startProcess("holder", "10.0.0.9:1", 1)
			other := nw.startProcess("other", "10.0.0.2:1", 1)
			filesHeld := acquire(other, files)
			ordersHeld := make(chan acquireResult)
			if tc.ordersBusy {
				ordersHeld = acquire(other, orders)
			}
			nw.deliver()
			tc.before(nw, nw.startProcess("host", hostAddress, 1))
			next := nw.startProcess("host", hostAddress, 2)
			waiting := acquire(next, files)
			nw.deliver()
			if tc.ordersBusy {
				release(other, orders, permitted(gm, ordersHeld))
				nw.deliver()
			}
			gm.Expect(waiting).NotTo(Receive(), "the only slot for files is in use")
			release(other, files, permitted(gm, filesHeld))
			nw.deliver()
			gm.Expect(permitted(gm, waiting).Upstream).To(Equal(fileUpstream))
			again := acquire(other, orders)
			nw.deliver()
			gm.Expect(permitted(gm, again).Upstream).To(Equal(orderUpstream), "nobody uses the slot for orders")
		})
	}
}

// TestForeignRepliesChangeNothing guards against replies to another process that keep an ask or a
// release of this one from being sent again: to its killed process, and to a host that had its
// address before.
func TestForeignRepliesChangeNothing(t *testing.T) {
	const holder = "10.0.0.9:1"
	self := protocol.Process{Host: "host", Incarnation: 2}
	cases := map[string]struct {
		asker protocol.Process
		// foreign means that the reply is not one to this process.
		foreign bool
	}{
		"to this process":                  {asker: self},
		"of a build that does not say":     {},
		"to its killed process":            {protocol.Process{Host: "host", Incarnation: 1}, true},
		"to a host that had the address":   {protocol.Process{Host: "other", Incarnation: 1}, true},
		"to a host that started with it":   {protocol.Process{Host: "other", Incarnation: 2}, true},
		"to its process after clock steps": {protocol.Process{Host: "host", Incarnation: 3}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			nw := &testNetwork{t: t, gateways: map[netip.AddrPort]*Gateway{}}
			gw := nw.startProcess("host", "10.0.0.1:1", self.Incarnation)
			pc := &gw.permitClient
			from := netip.MustParseAddrPort(holder)
			reply := func(msg protocol.Msg) {
				decoded, err := protocol.Decode(protocol.Encode(msg))
				gm.Expect(err).NotTo(HaveOccurred())
				gw.handleDatagram(datagramEvent{decoded, from})
			}
			waiting := acquire(gw, files)
			ticket := protocol.Ticket(pc.lastTicket.Load())
			nextAt := pc.pending[ticket].nextAt
			reply(protocol.Queued{Ticket: ticket, Asker: tc.asker})
			gm.Expect(pc.pending[ticket].nextAt > nextAt).To(Equal(!tc.foreign), "when the ask is sent again")
			reply(protocol.Refusal{Ticket: ticket, Asker: tc.asker})
			gm.Expect(len(waiting) == 0).To(Equal(tc.foreign), "whether the refusal counts")

			waiting = acquire(gw, files)
			ticket = protocol.Ticket(pc.lastTicket.Load())
			reply(protocol.Permit{Ticket: ticket, Upstream: fileUpstream, Asker: tc.asker})
			gm.Expect(len(waiting) == 0).To(Equal(tc.foreign), "whether the permit counts")

			pc.release(releaseEvent{proxy.Permit{Permit: protocol.Permit{Ticket: 100}, Holder: "holder"}, protocol.Done{Service: files}})
			reply(protocol.DoneAck{Ticket: 100, Asker: tc.asker})
			_, releasing := pc.releases[askID{self.Incarnation, 100}]
			gm.Expect(releasing).To(Equal(tc.foreign), "whether the release is sent again")
		})
	}
}

// TestFirstTickets guards against tickets that two processes share: holders of earlier builds
// reply with the ticket alone.
func TestFirstTickets(t *testing.T) {
	gm := NewWithT(t)
	// lifetime is more tickets than a process takes in a year at 10,000 a second.
	const processes, lifetime = 1000, uint64(1) << 39
	var firsts []uint64
	for incarnation := range uint64(processes) {
		for _, host := range []ident.Host{"front-a-1", "front-a-11"} {
			first := firstTicket(protocol.Process{Host: host, Incarnation: 1_796_000_000_000_000 + incarnation})
			gm.Expect(first).To(BeNumerically("<", uint64(1)<<ticketBits))
			firsts = append(firsts, first)
		}
	}
	slices.Sort(firsts)
	for ix := range firsts[1:] {
		gm.Expect(firsts[ix+1] - firsts[ix]).To(BeNumerically(">", lifetime))
	}
}

// TestRepeatedPermit guards against a slot that is given away while a request uses it: an ask that
// was sent again gets its permit twice.
func TestRepeatedPermit(t *testing.T) {
	gm := NewWithT(t)
	nw := &testNetwork{t: t, gateways: map[netip.AddrPort]*Gateway{}}
	nw.startProcess("holder", "10.0.0.9:1", 1)
	other := nw.startProcess("other", "10.0.0.2:1", 1)
	gw := nw.startProcess("host", "10.0.0.1:1", 1)
	held := acquire(gw, files)
	nw.inFlight = append(nw.inFlight, nw.inFlight[0])
	nw.deliver()
	pm := permitted(gm, held)
	waiting := acquire(other, files)
	nw.deliver()
	gm.Expect(waiting).NotTo(Receive(), "the only slot is in use")
	release(gw, files, pm)
	nw.deliver()
	gm.Expect(permitted(gm, waiting).Upstream).To(Equal(fileUpstream))
	gm.Expect(gw.permitClient.held).To(BeEmpty())
}

// TestUpstreamOfAnotherService guards against requests that run at upstreams of another service:
// an upstream has started again for another one, and its holder does not know that yet.
func TestUpstreamOfAnotherService(t *testing.T) {
	gm := NewWithT(t)
	nw := &testNetwork{t: t, gateways: map[netip.AddrPort]*Gateway{}}
	nw.startProcess("holder", "10.0.0.9:1", 1)
	gw := nw.startProcess("host", "10.0.0.1:1", 1)
	endpoints := maps.Clone(*gw.endpoints.Load())
	moved := endpoints[fileUpstream]
	moved.service = orders
	endpoints[fileUpstream] = moved
	gw.endpoints.Store(&endpoints)
	waiting := acquire(gw, files)
	nw.deliver()
	gm.Expect(waiting).NotTo(Receive(), "the only upstream serves orders now")
	other := acquire(gw, orders)
	nw.deliver()
	gm.Expect(permitted(gm, other).Upstream).To(Equal(orderUpstream))
}
