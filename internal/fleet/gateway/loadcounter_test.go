package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// TestToldLatency guards against a leader that takes a short disturbance for a slow upstream,
// and against a status that its leader refuses because an upstream tells nonsense.
func TestToldLatency(t *testing.T) {
	answered := func(percent int) protocol.Done {
		return protocol.Done{Upstream: "u", Outcome: uint8(permit.Answered), Took: time.Second, Reported: true, LatencyPercent: percent}
	}
	for name, tc := range map[string]struct {
		outcomes []protocol.Done
		want     int
	}{
		"the lowest counts":         {[]protocol.Done{answered(300), answered(60), answered(180)}, 60},
		"nothing told":              {[]protocol.Done{{Upstream: "u", Outcome: uint8(permit.Answered), LatencyPercent: 50}}, 0},
		"zero tells nothing":        {[]protocol.Done{answered(0), answered(140)}, 140},
		"more than a status allows": {[]protocol.Done{answered(1 << 20)}, protocol.MaxLatencyPercent},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			lc := newLoadCounter()
			for _, dn := range tc.outcomes {
				lc.countOutcome(dn)
			}
			_, upstreams := lc.take()
			gm.Expect(upstreams).To(HaveLen(1))
			gm.Expect(upstreams[0].LatencyPercent).To(Equal(tc.want))
		})
	}
}
