package deployment_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
)

// TestChangeBehindSilentConnections guards against hosts that serve by an older desired state: the
// open connections to the store have gone silent just before the change, while new ones work.
func TestChangeBehindSilentConnections(t *testing.T) {
	const (
		// inForceWithin is the users' bound for hosts in touch: a silence counts for half a second, and
		// hosts are in touch again three seconds after that.
		inForceWithin = 3500 * time.Millisecond
		changeDelay   = 300 * time.Millisecond
		rounds        = 4
		// operatorWatch begins a host's watch of the operators' rows.
		operatorWatch = "GET /api/rows-feed?table=op&"
	)
	cases := map[string]struct {
		subnet, hosts int
		// silence makes the open connections of all hosts silent.
		silence func(hosts []*deployment.Proxy, round int)
	}{
		"of all hosts": {188, 3, func(hosts []*deployment.Proxy, round int) {
			// The next watch begins 250 ms after a change.
			time.Sleep(300*time.Millisecond + time.Duration(round)*150*time.Millisecond)
			for _, px := range hosts {
				px.Silence()
			}
		}},
		// Nobody else reads the rows for the leader, and its watch is trusted for its whole time.
		"of a leader alone, as its watch begins": {198, 1, func(hosts []*deployment.Proxy, _ int) {
			<-hosts[0].SilenceAt(operatorWatch)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, tc.subnet, 35, func(cf *deployment.Config) { cf.Proxies, cf.Hosts = true, tc.hosts })
			inForce := func(version int) func() int {
				return func() int {
					return strings.Count(lg.String(), fmt.Sprintf("event=desiredState headerTimeoutMs=3000 idleTimeoutMs=10000 routes=3 services=3 version=%d", version))
				}
			}
			var hosts []*deployment.Proxy
			for _, px := range dp.Proxies() {
				if strings.HasPrefix(px.Name, "front-") {
					hosts = append(hosts, px)
				}
			}
			for round := range rounds {
				dp.Configure(nil)
				gm.Eventually(inForce(dp.Version()), "3s", "5ms").Should(Equal(tc.hosts), lg.String)
				tc.silence(hosts, round)
				silentAt := time.Now()
				time.Sleep(changeDelay)
				dp.Configure(nil)
				gm.Eventually(inForce(dp.Version()), "10s", "5ms").Should(Equal(tc.hosts), "round %d", round)
				took := time.Since(silentAt)
				t.Logf("round %d: in force %v after the silence", round, took)
				gm.Expect(took).To(BeNumerically("<", inForceWithin), "round %d", round)
				// The connections that are in use now go silent next.
				time.Sleep(2 * time.Second)
			}
		})
	}
}
