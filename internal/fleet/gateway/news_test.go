package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/peer/protocol"
)

// TestEntriesKnownThroughALeader asks that a host stops counting on a leader
// that the store turns away, while that leader's signs go on: an upstream that
// began to leave right after the leader's last read must be known, by a read of
// the host's own, early enough within two seconds.
func TestEntriesKnownThroughALeader(t *testing.T) {
	const (
		signEvery = 400 * time.Millisecond
		// The host's own read and the time that keyed upstreams still get.
		rest = 100*time.Millisecond + keyedLeave
	)
	gm := NewWithT(t)
	gw := &Gateway{duty: agent.New(assignment.Member{Host: "a"}, 1), nudge: make(chan struct{}, 1)}
	lastRead := clock.Instant(time.Hour)
	for age := time.Duration(0); ; age += signEvery {
		now := lastRead.Add(age)
		gw.heardNews(now, protocol.Heartbeat{Leader: "b", Echo: now, Freshness: protocol.Freshness{RosterAge: age}})
		left := now.Sub(clock.Instant(gw.newsAt.Load()))
		if left >= newsTime {
			break
		}
		gm.Expect(age).To(BeNumerically("<", 4*time.Second))
	}
	vouched := clock.Instant(gw.newsAt.Load()).Add(newsTime)
	gm.Expect(vouched.Add(rest).Sub(lastRead)).To(BeNumerically("<", 2*time.Second))
}

// TestRosterInParts asks that entries are taken only when all parts of one
// version are there, in any order.
func TestRosterInParts(t *testing.T) {
	gm := NewWithT(t)
	gw := &Gateway{duty: agent.New(assignment.Member{Host: ident.Host("a")}, 1)}
	collect := func(at uint64, part int) bool {
		_, complete := gw.news.collect(protocol.Roster{At: at, Part: part, Parts: 2})
		return complete
	}
	gm.Expect(collect(5, 1)).To(BeFalse())
	gm.Expect(collect(5, 1)).To(BeFalse())
	gm.Expect(collect(6, 0)).To(BeFalse())
	gm.Expect(collect(6, 1)).To(BeTrue())
}
