package deployment_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/stand/deployment"
)

// TestDeadEntry guards against one entry of another writer, at whose address connections are
// refused, that takes keys from working upstreams: their lookups would fail until the keys
// are back.
func TestDeadEntry(t *testing.T) {
	subnet := 203
	for name, tc := range map[string]struct {
		slots int
		// answered is the minimum share of requests, of the first six seconds.
		answered float64
		// fresh adds an upstream that answers, which must get keys.
		fresh bool
		// known means that the entry names an upstream.
		known bool
	}{
		"an ordinary one":             {4, 0.99, false, true},
		"one with as many as may be":  {roster.MaxSlots, 0.99, false, true},
		"one with too many slots":     {1 << 31, 0.99, false, false},
		"one with far too many":       {1 << 62, 0.99, false, false},
		"beside a new upstream too":   {roster.MaxSlots, 0.97, true, true},
		"too many, and a new one too": {1 << 31, 0.97, true, false},
	} {
		subnet++
		number := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, number, 31)
			time.Sleep(time.Second)
			dp.Store.Put("servers", "i-dead", fmt.Appendf(nil,
				`{"service":%q,"address":"127.0.0.1:1","zone":"zone-a","version":"1","slots":%d,"state":"ready","cold-left-s":0,"sequence":1}`, deployment.KeyedService, tc.slots))
			if tc.fresh {
				gm.Expect(dp.AddUpstream("i-lookup-9", deployment.KeyedService, "zone-b")).To(Succeed())
			}
			counts := dp.Load(t.Context(), 80, 6*time.Second)
			t.Logf("%+v", counts)
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
			gm.Expect(float64(counts.Answered)).To(BeNumerically(">=", tc.answered*float64(counts.Requests)), "%+v\n%s", counts, lg.String())
			event := "event=entryMalformed .*i-dead"
			if tc.known {
				event = "event=upstream .*i-dead"
			}
			gm.Expect(lg.String()).To(MatchRegexp(event))
			gm.Expect(lg.String()).NotTo(MatchRegexp("event=movePlanned .*next=i-dead"))
			gm.Expect(strings.Contains(lg.String(), "event=movePlanned") && strings.Contains(lg.String(), "next=i-lookup-9")).To(Equal(tc.fresh), lg.String())
		})
	}
}
