package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/quarantine"
	"chervilwalk/platform"
)

// TestRowSources guards against hosts that call the store for what the leader tells all, and
// against one that waits for a leader which tells nothing.
func TestRowSources(t *testing.T) {
	const started = clock.Instant(time.Hour)
	later := started.Add(time.Minute)
	follows := rowConditions{heard: true, sends: true, fresh: true}
	lost := rowFeed{known: true, mustRead: true, failing: true}
	cases := map[string]struct {
		feed rowFeed
		at   clock.Instant
		rc   rowConditions
		want rowSource
		// ranked hosts keep the rank of rc, others have none.
		ranked bool
	}{
		"just started":                          {rowFeed{}, started, rowConditions{}, fromPeers, false},
		"started, nobody answers":               {rowFeed{}, started.Add(1500 * time.Millisecond), rowConditions{}, fromRead, false},
		"started, a leader has much to send":    {rowFeed{}, started.Add(1500 * time.Millisecond), follows, fromPeers, false},
		"started, a leader sends nothing":       {rowFeed{}, started.Add(3700 * time.Millisecond), follows, fromRead, false},
		"started, leader of an earlier build":   {rowFeed{}, started, rowConditions{heard: true, fresh: true}, fromRead, false},
		"all started, fit host of a domain":     {rowFeed{}, started.Add(300 * time.Millisecond), rowConditions{rank: 1}, fromRead, true},
		"all started, one of many of a domain":  {rowFeed{}, started.Add(300 * time.Millisecond), rowConditions{rank: 2}, fromPeers, true},
		"started and leads":                     {rowFeed{}, started, rowConditions{leading: true}, fromRead, false},
		"follows a leader":                      {rowFeed{known: true}, later, follows, fromPeers, false},
		"reads for its domain":                  {rowFeed{known: true}, later, rowConditions{heard: true, sends: true, fresh: true}, fromWatch, true},
		"follows a leader of an earlier build":  {rowFeed{known: true}, later, rowConditions{heard: true, fresh: true}, fromWatch, false},
		"the store does not answer the leader":  {rowFeed{known: true}, later, rowConditions{heard: true, sends: true}, fromWatch, false},
		"no leader":                             {rowFeed{known: true}, later, rowConditions{}, fromWatch, false},
		"leads":                                 {rowFeed{known: true}, later, rowConditions{leading: true, heard: true, sends: true, fresh: true}, fromWatch, false},
		"must read":                             {rowFeed{known: true, mustRead: true}, later, follows, fromRead, false},
		"the store turns it away, leader tells": {lost, later, follows, fromPeers, false},
		"the store turns it away, no leader":    {lost, later, rowConditions{}, fromRead, false},
		"the store turns a reader away":         {rowFeed{known: true, failing: true}, later, rowConditions{heard: true, sends: true, fresh: true}, fromPeers, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.feed.first = newFirstRead(started, "a", 0.5)
			if !tc.ranked {
				tc.rc.rank = -1
			}
			source, _ := tc.feed.next(tc.at, tc.rc)
			NewWithT(t).Expect(source).To(Equal(tc.want))
		})
	}
}

// TestFirstReadsAreSpread guards against hosts that all read at one moment, and against one
// that waits without end.
func TestFirstReadsAreSpread(t *testing.T) {
	gm := NewWithT(t)
	slots := map[time.Duration]int{}
	for ix := range 100 {
		fr := newFirstRead(0, ident.Host(rune('a'+ix)), 0.1)
		wait := time.Duration(fr.dueAt(false, -1))
		gm.Expect(wait).To(And(BeNumerically(">=", 800*time.Millisecond), BeNumerically("<=", 1500*time.Millisecond)))
		gm.Expect(newFirstRead(0, ident.Host(rune('a'+ix)), 1).dueAt(false, -1)).To(BeNumerically("<", fr.dueAt(false, -1)), "a fit host reads earlier")
		gm.Expect(time.Duration(fr.dueAt(true, 0))).To(BeNumerically("<", 4*time.Second))
		slots[wait.Truncate(50*time.Millisecond)]++
	}
	for slot, hosts := range slots {
		gm.Expect(hosts).To(BeNumerically("<", 30), "within 50 ms from %s", slot)
	}
}

// TestStoreAwayIsNotPolled guards against a host that calls a store which does not answer
// without a pause, or that does not notice its return.
func TestStoreAwayIsNotPolled(t *testing.T) {
	gm := NewWithT(t)
	rf := rowFeed{known: true, mustRead: true}
	calls := 0
	for now := clock.Instant(time.Hour); now < clock.Instant(time.Hour+10*time.Second); now = now.Add(10 * time.Millisecond) {
		if source, _ := rf.next(now, rowConditions{}); source == fromRead {
			calls++
			gm.Expect(rf.failed(now, errors.New("refused"))).To(Equal(calls == 1), "logged once")
		}
	}
	gm.Expect(calls).To(And(BeNumerically(">=", 10), BeNumerically("<=", 14)))
	rf.applied(clock.Instant(2*time.Hour), false)
	source, _ := rf.next(clock.Instant(2*time.Hour), rowConditions{})
	gm.Expect(source).To(Equal(fromWatch))
}

func TestDomainRank(t *testing.T) {
	gm := NewWithT(t)
	tb := &assignment.Table{Members: []assignment.Member{
		{Host: "c", Domain: "x", Fitness: 80, Alive: true},
		{Host: "b", Domain: "x", Fitness: 80, Alive: true},
		{Host: "a", Domain: "x", Fitness: 10, Alive: true},
		{Host: "d", Domain: "x", Fitness: 90},
		{Host: "e", Domain: "y", Fitness: 100, Alive: true},
	}}
	for host, rank := range map[ident.Host]int{"a": 2, "b": 0, "c": 1, "d": -1, "e": 0, "f": -1} {
		gm.Expect(domainRank(tb, host)).To(Equal(rank), "%s: the fittest that is alive is first", host)
	}
}

// row returns a row of an era with the number that the store gave it.
func row(key string, er era.Era, number platform.Version) platform.Row {
	return platform.Row{Key: key, Version: era.Position(er, number)}
}

// TestRowSetUpdates guards against rows that go back to an earlier state, or that stay although
// they were deleted.
func TestRowSetUpdates(t *testing.T) {
	deleted := row("evacuate/a", 0, 5)
	deleted.Deleted = true
	known := rowSet{}.update(rowAnswer{[]platform.Row{row("config", 0, 3), row("evacuate/a", 0, 4)}, 4, true})
	NewWithT(t).Expect(rowSet{}.update(rowAnswer{[]platform.Row{row("config", 0, 3)}, 8, true}).changedVersion).To(BeEquivalentTo(8), "a row may have been deleted before")
	cases := map[string]struct {
		answer           rowAnswer
		rows             []platform.Row
		version, changed platform.Version
	}{
		"a watch with a change":                      {rowAnswer{[]platform.Row{row("config", 0, 6)}, 7, false}, []platform.Row{row("config", 0, 6), row("evacuate/a", 0, 4)}, 7, 6},
		"a watch with a deletion":                    {rowAnswer{[]platform.Row{deleted}, 5, false}, []platform.Row{row("config", 0, 3)}, 5, 5},
		"a watch without a change":                   {rowAnswer{nil, 9, false}, []platform.Row{row("config", 0, 3), row("evacuate/a", 0, 4)}, 9, 0},
		"a watch that was overtaken by another host": {rowAnswer{[]platform.Row{row("config", 0, 2)}, 2, false}, []platform.Row{row("config", 0, 3), row("evacuate/a", 0, 4)}, 4, 0},
		"all rows, one deleted":                      {rowAnswer{[]platform.Row{row("config", 0, 3)}, 6, true}, []platform.Row{row("config", 0, 3)}, 6, 6},
		"all rows again":                             {rowAnswer{[]platform.Row{row("config", 0, 3), row("evacuate/a", 0, 4)}, 9, true}, []platform.Row{row("config", 0, 3), row("evacuate/a", 0, 4)}, 9, 4},
		"all rows of a new era":                      {rowAnswer{[]platform.Row{row("config", 1, 2)}, era.Position[platform.Version](1, 3), true}, []platform.Row{row("config", 1, 2)}, era.Position[platform.Version](1, 3), era.Position[platform.Version](1, 3)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			next := known.update(tc.answer)
			gm.Expect(next.all()).To(Equal(tc.rows))
			gm.Expect(next.version).To(Equal(tc.version))
			gm.Expect(next.changedVersion).To(Equal(tc.changed), "hosts that know less are told")
		})
	}
}

// TestRowsOfOtherHosts guards against a desired state or an evacuation that is taken back by a
// host that knows less, or that has not heard of the store's return from an older copy.
func TestRowsOfOtherHosts(t *testing.T) {
	known := rowSet{}.update(rowAnswer{[]platform.Row{row("config", 1, 3)}, era.Position[platform.Version](1, 4), true})
	for name, tc := range map[string]struct {
		er      era.Era
		number  platform.Version
		newest  era.Era
		accepts bool
	}{
		"newer":                         {1, 5, 1, true},
		"the same":                      {1, 4, 1, false},
		"older":                         {1, 3, 1, false},
		"of an earlier era":             {0, 9, 1, false},
		"of a new era":                  {2, 1, 1, true},
		"newer, of an era that is over": {1, 5, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			ra := rowAnswer{version: era.Position(tc.er, tc.number), whole: true}
			NewWithT(t).Expect(known.accepts(ra, tc.newest)).To(Equal(tc.accepts))
		})
	}
}

// TestSuspectsComeWithRows guards against a host that has a desired state, and so serves, before
// it knows the requests that crash upstreams.
func TestSuspectsComeWithRows(t *testing.T) {
	gm := NewWithT(t)
	nw := &testNetwork{t: t, gateways: map[netip.AddrPort]*Gateway{}}
	leader, starts := nw.startProcess("a", "10.0.0.1:1", 1), nw.startProcess("b", "10.0.0.2:1", 1)
	for _, gw := range []*Gateway{leader, starts} {
		gw.source, gw.relayedRows = operatorRows{}, make(chan rowAnswer, 1)
	}
	const deadly = ident.Fingerprint(7)
	for run, upstream := range []ident.Upstream{"u", "v", "w"} {
		leader.recordCrash(leader.clock.Now(), "", quarantine.CrashMsg{Fingerprint: deadly, Upstream: upstream, Incarnation: 1, Run: protocol.Run(run)}, "attempt")
	}
	nw.inFlight = nil
	config := platform.Row{Table: platform.OperatorTable, Key: "config", Value: bytes.Repeat([]byte("{}"), 40_000), Version: 5}
	for ix := range config.Value {
		// It must not fit into one datagram.
		config.Value[ix] = byte(ident.Weight("value", fmt.Sprint(ix)))
	}
	leader.rowRelay.rows, leader.rowRelay.version, leader.cache.operatorVersion = []platform.Row{config}, 8, 6
	leader.sendRowSet(leader.clock.Now(), netip.MustParseAddrPort("10.0.0.2:1"), true)
	gm.Expect(len(nw.inFlight)).To(BeNumerically(">", 2))
	nw.deliver()
	gm.Expect(starts.relayedRows).To(Receive(Equal(rowAnswer{[]platform.Row{config}, 6, true})))
	gm.Expect(starts.suspects.core.Crashes(deadly)).To(Equal(3))
	starts.operatorVersion.Store(6)
	leader.sendRowSet(leader.clock.Now(), netip.MustParseAddrPort("10.0.0.2:1"), false)
	nw.deliver()
	gm.Expect(starts.relayedRows).NotTo(Receive(), "they are known")
}

// TestSuspectsComeWithFirstRows guards against hosts that get their desired state, and so serve, before they
// know the requests that crash upstreams, as they have asked a leader that had no rows itself yet.
func TestSuspectsComeWithFirstRows(t *testing.T) {
	const deadly = ident.Fingerprint(7)
	for name, tc := range map[string]struct {
		// known is the version of the rows that the member knows, 0 for none.
		known uint64
		want  int
	}{"a host that starts": {want: 1}, "one that serves": {known: 4}} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			gw, base := leadingGateway(t, 3, 2, 2)
			gw.source = operatorRows{}
			nw, now, mb := gw.socket.(testSocket).nw, gw.clock.Now(), base.Members[1]
			for run, upstream := range []ident.Upstream{"u", "v", "w"} {
				gw.recordCrash(now, "", quarantine.CrashMsg{Fingerprint: deadly, Upstream: upstream, Incarnation: 1, Run: protocol.Run(run)}, "attempt")
			}
			st := protocol.Status{Member: mb, Term: gw.agent.Term(), SentAt: now, OperatorRows: tc.known + 1}
			gw.handleDatagram(datagramEvent{st, netip.MustParseAddrPort(mb.Address)})
			nw.inFlight = nil
			gw.noteOperatorRows(now, operatorStateEvent{rows: []platform.Row{{Key: "config", Value: []byte("{}"), Version: 5}}, version: 6, changedVersion: 5})
			body := ""
			for _, dg := range nw.inFlight {
				msg, err := protocol.Decode(dg.content)
				gm.Expect(err).NotTo(HaveOccurred())
				if rows, isRows := msg.(protocol.OperatorRows); isRows && dg.to.String() == mb.Address {
					body += rows.Body
				}
			}
			set, err := protocol.DecodeRowSet([]byte(body))
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(set.Rows).To(HaveLen(1))
			gm.Expect(set.Suspects).To(HaveLen(tc.want))
		})
	}
}

// TestReportsOfNewerRows guards against a leader that keeps an older desired state although a
// domain's reader knows a newer one, and against a reader that reports without end.
func TestReportsOfNewerRows(t *testing.T) {
	gm := NewWithT(t)
	nw := &testNetwork{t: t, gateways: map[netip.AddrPort]*Gateway{}}
	reader := nw.startProcess("a", "10.0.0.1:1", 1)
	reader.source, reader.rowRelay.version, reader.cache.operatorVersion = operatorRows{}, 6, 6
	reader.operatorVersion.Store(6)
	reader.leaderSendsRows.Store(true)
	now := clock.Instant(time.Hour)
	for range 20 {
		reader.compareOperatorRows(now, protocol.Heartbeat{Freshness: protocol.Freshness{OperatorVersion: 5}}, netip.MustParseAddrPort("10.0.0.2:1"))
		now = now.Add(400 * time.Millisecond)
	}
	gm.Expect(nw.inFlight).To(HaveLen(maxRowReports))
}
