package gateway

import (
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/peer/protocol"
)

// TestLeaderWithoutStoreIsNotTrusted checks that a host stops relying on a leader
// that the store refuses to serve although the leader's heartbeats continue: the
// host's own read must find an upstream that began to leave right after the
// leader's last read, early enough within the two seconds that the platform allows.
func TestLeaderWithoutStoreIsNotTrusted(t *testing.T) {
	const (
		heartbeatInterval = 400 * time.Millisecond
		// rest is the time for the host's own read plus the drain time of keyed upstreams.
		rest = 100*time.Millisecond + keyedDrainTimeout
	)
	gm := NewWithT(t)
	gw := &Gateway{agent: agent.New(assignment.Member{Host: "a"}, 1), rereadOperators: make(chan struct{}, 1)}
	lastRead := clock.Instant(time.Hour)
	for age := time.Duration(0); ; age += heartbeatInterval {
		now := lastRead.Add(age)
		gw.updateFreshness(now, protocol.Heartbeat{Leader: "b", Echo: now, Freshness: protocol.Freshness{RosterAge: age}}, netip.AddrPort{})
		sinceRead := now.Sub(clock.Instant(gw.leaderReadAt.Load()))
		if sinceRead >= maxEntriesAge {
			break
		}
		gm.Expect(age).To(BeNumerically("<", 4*time.Second))
	}
	trustedUntil := clock.Instant(gw.leaderReadAt.Load()).Add(maxEntriesAge)
	gm.Expect(trustedUntil.Add(rest).Sub(lastRead)).To(BeNumerically("<", 2*time.Second))
}

// TestRosterPartsAreCollected checks that entries are complete only once all parts
// of one version have arrived, in any order.
func TestRosterPartsAreCollected(t *testing.T) {
	gm := NewWithT(t)
	gw := &Gateway{agent: agent.New(assignment.Member{Host: ident.Host("a")}, 1)}
	collect := func(version uint64, part int) bool {
		_, complete := gw.cache.addPart(protocol.Roster{Version: version, Part: part, Parts: 2})
		return complete
	}
	gm.Expect(collect(5, 1)).To(BeFalse())
	gm.Expect(collect(5, 1)).To(BeFalse())
	gm.Expect(collect(6, 0)).To(BeFalse())
	gm.Expect(collect(6, 1)).To(BeTrue())
}

// TestByteBudget sends lists of the sizes that a leader meets: at hundreds of hosts what
// it sends stays within the rate, and a single large list is sent all the same.
func TestByteBudget(t *testing.T) {
	// entryBytes is the usual size of an entry in a datagram.
	const entryBytes = 90
	for name, tc := range map[string]struct {
		listBytes, lists int
		minSent, maxSent int
	}{
		"144 hosts, 261 upstreams":  {261 * entryBytes, 144, 144, 144},
		"300 hosts, 3000 upstreams": {3000 * entryBytes, 300, 15, 16},
		"420 hosts, 4200 upstreams": {4200 * entryBytes, 420, 11, 12},
		"a list above the burst":    {2 * wholeListBurst, 10, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			now := clock.Instant(time.Hour)
			bb := byteBudget{}
			sent := 0
			for range tc.lists {
				if bb.take(now, tc.listBytes, wholeListBurst, wholeListRate) {
					sent++
				}
			}
			gm.Expect(sent).To(And(BeNumerically(">=", tc.minSent), BeNumerically("<=", tc.maxSent)))
			later := 0
			for range 100 {
				now = now.Add(100 * time.Millisecond)
				if bb.take(now, tc.listBytes, wholeListBurst, wholeListRate) {
					later++
				}
			}
			gm.Expect(later * tc.listBytes).To(BeNumerically("<=", wholeListBurst+10*wholeListRate+tc.listBytes))
			gm.Expect(later).To(BeNumerically(">", 0))
		})
	}
}

// TestRosterPartBytes guards against lists in parts that receivers cannot read: entries of
// the largest size made parts of 80 KB.
func TestRosterPartBytes(t *testing.T) {
	for name, tc := range map[string]struct {
		count, textBytes  int
		minParts, maxPart int
	}{
		"none":               {0, 8, 1, 1},
		"one":                {1, 8, 1, 1},
		"usual texts":        {261, 8, 2, 4},
		"longest texts":      {261, roster.MaxTextBytes, 17, 17},
		"one, longest texts": {1, roster.MaxTextBytes, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			gw := &Gateway{agent: agent.New(assignment.Member{Host: "a"}, 1), roster: roster.New()}
			for ix := range tc.count {
				pad := func(text string) string {
					return text + strings.Repeat("x", tc.textBytes-len(text))
				}
				gw.cache.entries = append(gw.cache.entries, roster.Entry{
					ID: ident.Upstream(pad(strconv.Itoa(ix))), Service: ident.Service(pad("s")), Domain: ident.Domain(pad("d")),
					Address: "[2001:0db8:ffff:ffff:ffff:ffff:255.255.255.255]:65535", Slots: roster.MaxSlots, ColdLeft: roster.MaxColdLeft, Sequence: roster.MaxSequence, Incarnation: roster.MaxIncarnation,
				})
			}
			gw.cache.version = 9
			datagrams := gw.encodeRoster(0)
			gm.Expect(len(datagrams)).To(And(BeNumerically(">=", tc.minParts), BeNumerically("<=", tc.maxPart)))
			var cache rosterCache
			var entries []roster.Entry
			sum := 0
			for ix, datagram := range datagrams {
				gm.Expect(len(datagram)).To(BeNumerically("<=", maxDeltaBytes))
				sum += len(datagram)
				msg, err := protocol.Decode(datagram)
				gm.Expect(err).NotTo(HaveOccurred())
				part := msg.(protocol.Roster)
				gm.Expect(part.Malformed).To(BeEmpty())
				gm.Expect([]int{part.Part, part.Parts}).To(Equal([]int{ix, len(datagrams)}))
				entries, _ = cache.addPart(part)
			}
			gm.Expect(entries).To(Equal(gw.cache.entries))
			gm.Expect(gw.cache.listBytes()).To(And(BeNumerically("<=", sum), BeNumerically(">", sum-100*len(datagrams))), "what the rate of lists counts")
		})
	}
}

// TestListPace guards against a leader whose own heartbeats wait behind the lists that it sends.
func TestListPace(t *testing.T) {
	const heartbeatDelay = time.Second
	for name, linkMbps := range map[string]float64{"slow link": 10, "fast link": 700} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			gw := &Gateway{}
			gw.config.Settings.LinkMbps = linkMbps
			now, sent := clock.Instant(time.Hour), 0
			for range 1000 {
				if gw.mayListBytes(now, 50_000) {
					sent += 50_000
				}
			}
			gm.Expect(time.Duration(float64(sent) / (linkMbps * bytesPerMegabit) * float64(time.Second))).To(And(BeNumerically(">", heartbeatDelay/2), BeNumerically("<=", heartbeatDelay)))
		})
	}
}
