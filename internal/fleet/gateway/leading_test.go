package gateway

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/platform"
)

// leadingGateway returns a gateway that leads members, with shares and entries of upstreams. What
// it sends is dropped.
func leadingGateway(tb testing.TB, members, shares, upstreams int) (*Gateway, *assignment.Table) {
	nw := &testNetwork{t: nil, gateways: map[netip.AddrPort]*Gateway{}}
	gw := newTestProcess(tb, nw, "h0", "10.0.0.1:1", 1)
	table := &assignment.Table{Revision: 7, LastEpoch: 1 << 20}
	for ix := range members {
		table.Members = append(table.Members, assignment.Member{Host: ident.Host(fmt.Sprint("front-domain-a-", ix)), Domain: "domain-a", Address: fmt.Sprintf("10.1.%d.%d:7540", ix/250, ix%250+1), Incarnation: 1, Fitness: 50, Alive: true})
	}
	for ix := range shares {
		from := keyspace.Key(ix * (keyspace.Count / shares))
		table.Shares = append(table.Shares, assignment.Share{Service: "lookup", Range: keyspace.Range{From: from, To: from + 9}, Owner: assignment.Claim{Upstream: ident.Upstream(fmt.Sprint("i-", ix)), Epoch: keyspace.Epoch(ix + 1)}})
	}
	for ix := range upstreams {
		gw.cache.entries = append(gw.cache.entries, roster.Entry{ID: ident.Upstream(fmt.Sprintf("i-%010x", ix)), Service: "lookup", Address: fmt.Sprintf("10.2.%d.%d:8787", ix/250, ix%250), Domain: "domain-a", Slots: 4, Sequence: 7, Incarnation: roster.Incarnation(1_700_000_000_000 + ix)})
	}
	gw.cache.version, gw.cache.changedVersion, gw.cache.digest = 9, 9, roster.Digest(gw.cache.entries)
	gw.table.Store(table)
	now := gw.clock.Now()
	for _, cmd := range gw.agent.Update(now, agent.TickMsg{}) {
		if _, reads := cmd.(agent.ReadCmd); reads {
			for _, cmd := range gw.agent.Update(now, agent.RowsMsg{StartedAt: now, Table: table, TableVersion: 4}) {
				if wr, writes := cmd.(agent.WriteCmd); writes {
					gw.agent.Update(now, agent.WrittenMsg{Write: wr, StartedAt: now, Outcome: agent.Done, Version: election.Version(5)})
				}
			}
		}
	}
	if !gw.agent.Leading() {
		tb.Fatal("the host does not lead")
	}
	return gw, table
}

// TestMembersOfEarlierBuilds guards against messages that a member of an earlier build cannot
// read, and so against one that never learns the assignment, the entries or the operator rows.
func TestMembersOfEarlierBuilds(t *testing.T) {
	// earlierNumbers is the number of the last message that the build before knows.
	const earlierNumbers = 18
	for name, tc := range map[string]struct {
		operatorRows uint64
		// later is how many kinds of later messages the member gets.
		later int
	}{"earlier build": {0, 0}, "this build": {1, 3}} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			gw, base := leadingGateway(t, 20, 10, 40)
			gw.source, gw.rowRelay.rows, gw.rowRelay.version, gw.cache.operatorVersion = operatorRows{}, []platform.Row{{Key: "config", Version: 5}}, 6, 6
			mb := base.Members[3]
			st := protocol.Status{Member: mb, Term: gw.agent.Term(), SentAt: gw.clock.Now(), OperatorRows: tc.operatorRows}
			gw.handleDatagram(datagramEvent{st, netip.MustParseAddrPort(mb.Address)})
			next := base.Clone()
			next.Revision++
			next.Members[7].Fitness++
			gw.sendAssignment(agent.AssignmentCmd{To: mb.Address, Table: next, Base: base})
			numbers := map[byte]bool{}
			for _, dg := range gw.socket.(testSocket).nw.inFlight {
				gm.Expect(protocol.Decode(dg.content)).NotTo(BeNil())
				if dg.to.String() == mb.Address && dg.content[1] > earlierNumbers {
					numbers[dg.content[1]] = true
				}
			}
			gm.Expect(numbers).To(HaveLen(tc.later))
		})
	}
}

// TestPackedEntries guards against entries that are lost on their way or go back to earlier ones.
func TestPackedEntries(t *testing.T) {
	gm := NewWithT(t)
	gw, base := leadingGateway(t, 2, 2, 3000)
	nw := gw.socket.(testSocket).nw
	member := newTestProcess(t, nw, "h1", base.Members[1].Address, 1)
	member.connPool = transport.New(answeredRequest)
	nw.t = t
	to := netip.MustParseAddrPort(base.Members[1].Address)
	gw.rowRelay.takers[to] = true
	gw.sendRoster(gw.clock.Now(), 0, to)
	gm.Expect(len(nw.inFlight)).To(BeNumerically(">", 1), "in parts")
	earlier := slices.Clone(nw.inFlight)
	nw.deliver()
	gm.Expect(member.cache.entries).To(Equal(gw.cache.entries))
	gw.cache.entries, gw.cache.version = gw.cache.entries[:2999], 10
	gw.sendRoster(gw.clock.Now(), 0, to)
	nw.deliver()
	gm.Expect(member.cache.entries).To(HaveLen(2999))
	nw.inFlight = earlier
	nw.deliver()
	gm.Expect(member.cache.entries).To(HaveLen(2999), "an earlier list came late")
}

// BenchmarkCommitBroadcast measures what a leader of 300 members sends after one commit: a member
// that joined and a share that moves.
func BenchmarkCommitBroadcast(b *testing.B) {
	gw, base := leadingGateway(b, 300, 1500, 0)
	for _, mb := range base.Members {
		gw.rowRelay.takers[netip.MustParseAddrPort(mb.Address)] = true
	}
	b.ReportAllocs()
	for b.Loop() {
		next := base.Clone()
		next.Revision++
		next.Members[7].Fitness++
		next.Shares[9].Next = assignment.Claim{Upstream: "i-9999", Epoch: next.TakeEpoch()}
		for _, mb := range next.Members {
			gw.sendAssignment(agent.AssignmentCmd{To: mb.Address, Table: next, Base: base})
		}
		b.ReportMetric(float64(gw.dropSent()), "B/commit")
	}
}

// BenchmarkStartOfAll measures what a leader sends to 300 members that start at once and know
// nothing: the assignment and the entries of 3,000 upstreams.
func BenchmarkStartOfAll(b *testing.B) {
	gw, base := leadingGateway(b, 300, 1500, 3000)
	b.ReportAllocs()
	for b.Loop() {
		gw.cache.wholeLists = byteBudget{}
		for _, mb := range base.Members {
			st := protocol.Status{Member: mb, Term: gw.agent.Term(), SentAt: gw.clock.Now(), OperatorRows: 1}
			gw.handleDatagram(datagramEvent{st, netip.MustParseAddrPort(mb.Address)})
		}
		b.ReportMetric(float64(gw.dropSent()), "B/start")
	}
}

// BenchmarkStatuses measures a second of 300 members that know everything.
func BenchmarkStatuses(b *testing.B) {
	const perSecond = float64(time.Second) / float64(400*time.Millisecond)
	gw, base := leadingGateway(b, 300, 1500, 3000)
	b.ReportAllocs()
	for b.Loop() {
		for ix := range int(perSecond * float64(len(base.Members))) {
			mb := base.Members[ix%len(base.Members)]
			st := protocol.Status{Member: mb, Term: gw.agent.Term(), Revision: gw.agent.Table().Revision, SentAt: gw.clock.Now(), RosterVersion: 9, RosterDigest: gw.cache.digest}
			gw.handleDatagram(datagramEvent{st, netip.MustParseAddrPort(mb.Address)})
		}
		gw.dropSent()
	}
}

// dropSent forgets what the gateway has sent, and returns its size.
func (gw *Gateway) dropSent() (size int) {
	nw := gw.socket.(testSocket).nw
	for _, dg := range nw.inFlight {
		size += len(dg.content)
	}
	nw.inFlight = nil
	return size
}
