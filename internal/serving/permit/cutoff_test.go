package permit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/serving/permit"
)

// TestCutOffDomain guards against a domain that is cut off and sends its load to others that it
// does not reach, and against one that is back and takes theirs for cold for seconds.
func TestCutOffDomain(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "any upstream": false} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			dms, load := newDomains(keyed, 9, 3, 100*time.Millisecond), rates{"d0": 120}
			dms.load(3*time.Second, load)
			dms.lost = func(from, to ident.Domain) bool { return from != to }
			dms.load(1500*time.Millisecond, load)
			dms.load(4*time.Second, load)
			// Four probes a second over each of two links in 4.5 seconds, and the first ones.
			gm.Expect(dms.sentFrom("d0")).To(BeNumerically("<=", 4.5*4*2+2))
			gm.Expect(dms.inTime["d0"]).To(BeNumerically(">=", 4*20))
			if keyed {
				gm.Expect(dms.refused["domainUnreached"]).To(BeNumerically(">", 4*40))
			}
			gm.Expect(dms.refused["upstreamLimited"]).To(BeZero())
			dms.lost = allReached
			dms.update(permit.RestoredMsg{Domain: "d0"})
			dms.load(500*time.Millisecond, load)
			gm.Expect(dms.refused["domainUnreached"]).To(BeZero())
			// With the wait for their ends it is a second: 2.6 for each of six upstreams, and one at
			// once for each.
			gm.Expect(dms.sentFrom("d0")).To(BeNumerically("<=", 6*2.6+6), "until the entries are known")
			dms.update(permit.ConfirmedMsg{Until: clock.Never, EntriesReadAt: dms.now})
			dms.load(time.Second, load)
			gm.Expect(dms.refused["upstreamLimited"]).To(BeZero())
			gm.Expect(dms.inTime["d0"]).To(BeNumerically(">=", 60))
		})
	}
}

// TestDarkDomain guards against more than the cold rate for upstreams that come back cold with
// their whole domain, also for those that got no request meanwhile.
func TestDarkDomain(t *testing.T) {
	gm := NewWithT(t)
	dms, load := newDomains(true, 9, 2, 100*time.Millisecond), rates{"d0": 45, "d1": 45}
	dms.load(3*time.Second, load)
	dms.lost = func(_, to ident.Domain) bool { return to == "d2" }
	// The keys of u8 are the last.
	dms.keys = keyspace.Count / 9 * 8
	dms.load(1500*time.Millisecond, load)
	gm.Expect(dms.refused["domainUnreached"]).To(BeNumerically(">", 0))
	dms.update(permit.ConfirmedMsg{Until: clock.Never, EntriesReadAt: dms.now.Add(time.Hour)})
	dms.lost, dms.keys = allReached, keyspace.Count
	// With the wait for their ends it is a second.
	dms.load(500*time.Millisecond, load)
	for _, id := range []ident.Upstream{"u2", "u5", "u8"} {
		gm.Expect(dms.sentTo[id]).To(BeNumerically("<=", 2.6+1), "%s", id)
	}
}
