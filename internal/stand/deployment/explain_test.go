package deployment_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/explain"
	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
)

// TestFailuresAreExplained makes requests fail in several ways. The report on a
// failed request, built from the hosts' logs and the request's ID, must name the
// cause.
func TestFailuresAreExplained(t *testing.T) {
	breakOrders := func(fl fakeupstream.Faults) func(*deployment.Deployment) {
		return func(dp *deployment.Deployment) {
			for ix := range 3 {
				dp.Upstream(fmt.Sprint("i-orders-", ix)).SetFaults(fl)
			}
		}
	}
	cases := map[string]struct {
		disrupt func(*deployment.Deployment)
		cause   string
		// wantInReport are texts that the report must contain.
		wantInReport []string
	}{
		"connections are reset":    {breakOrders(fakeupstream.Faults{Reset: 1}), "broken", []string{"may have run", "upstream=i-orders-", "event=desiredState"}},
		"orders are refused":       {breakOrders(fakeupstream.Faults{Shed: 1}), "refused", []string{"did not run", "event=desiredState"}},
		"upstreams do not respond": {breakOrders(fakeupstream.Faults{Unresponsive: true}), "timedOut", []string{"no answer came in time", "upstream=i-orders-"}},
		"no upstream is listed": {func(dp *deployment.Deployment) {
			for ix := range 3 {
				dp.DelistUpstream(fmt.Sprint("i-orders-", ix))
			}
		}, "noUpstream", []string{"did not run", "event=refused", "event=desiredState"}},
	}
	lastSubnet := 80
	for name, tc := range cases {
		lastSubnet++
		subnet := lastSubnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, subnet, 11)
			tc.disrupt(dp)
			time.Sleep(1500 * time.Millisecond)
			dp.Load(t.Context(), 20, 2*time.Second)
			endLine := regexp.MustCompile(`event=request .*cause=` + tc.cause + ` .*request=(\S+) `)
			var found []string
			gm.Eventually(func() []string {
				found = endLine.FindStringSubmatch(lg.String())
				return found
			}, 2*time.Second, 50*time.Millisecond).ShouldNot(BeEmpty(), lg.String)
			cl := explain.New(found[1])
			gm.Expect(cl.Read(strings.NewReader(lg.String()))).To(Succeed())
			report, known := cl.Report()
			gm.Expect(known).To(BeTrue())
			var text strings.Builder
			gm.Expect(report.Write(&text)).To(Succeed())
			gm.Expect(text.String()).To(ContainSubstring("cause " + tc.cause))
			for _, part := range tc.wantInReport {
				gm.Expect(text.String()).To(ContainSubstring(part))
			}
		})
	}
}
