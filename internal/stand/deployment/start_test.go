package deployment_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/faultproxy"
	"chervilwalk/internal/stand/metastore"
)

// hostsInForce returns the hosts that have logged a version of the desired state.
func hostsInForce(lg *logBuffer, version int) map[string]bool {
	hosts := map[string]bool{}
	for _, found := range regexp.MustCompile(fmt.Sprintf(`host=(\S+) event=desiredState .*version=%d\b`, version)).FindAllStringSubmatch(lg.String(), -1) {
		hosts[found[1]] = true
	}
	return hosts
}

// leaderAndOther returns the host that leads and one that does not.
func leaderAndOther(dp *deployment.Deployment, lg *logBuffer) (leader, other *deployment.Host) {
	found := regexp.MustCompile(`host=(\S+) event=leading now=true`).FindAllStringSubmatch(lg.String(), -1)
	for _, host := range dp.Hosts {
		if host.Name == found[len(found)-1][1] {
			leader = host
		} else {
			other = host
		}
	}
	return leader, other
}

// turnAway makes the store leave all calls of a host unanswered.
func turnAway(dp *deployment.Deployment, host *deployment.Host) {
	for _, px := range dp.Proxies() {
		if px.Name == host.Name {
			px.SetFaults(faultproxy.Faults{DropRequests: true, DropAnswers: true})
		}
	}
}

// TestDesiredStateWithoutWatch guards against hosts that serve by an older desired state since
// they leave it to a leader to watch: the way to it, or its own way to the store, is lost.
func TestDesiredStateWithoutWatch(t *testing.T) {
	// operatorRows is the number of the message with operator rows.
	const operatorRows = 19
	cases := map[string]struct {
		disturb func(dp *deployment.Deployment, leader, other *deployment.Host)
		within  time.Duration
	}{
		"nothing is lost": {func(*deployment.Deployment, *deployment.Host, *deployment.Host) {}, 500 * time.Millisecond},
		"the store turns a host away": {func(dp *deployment.Deployment, _, other *deployment.Host) {
			turnAway(dp, other)
			time.Sleep(2 * time.Second)
		}, time.Second},
		"rows do not reach a host": {func(_ *deployment.Deployment, _, other *deployment.Host) {
			other.MakeOld(func(datagram []byte) bool { return datagram[1] == operatorRows })
		}, 2 * time.Second},
		"the leader's rows reach nobody": {func(_ *deployment.Deployment, leader, _ *deployment.Host) {
			leader.MakeOld(func(datagram []byte) bool { return datagram[1] == operatorRows })
		}, 2 * time.Second},
		"the store turns the leader away": {func(dp *deployment.Deployment, leader, _ *deployment.Host) { turnAway(dp, leader) }, 3500 * time.Millisecond},
		"the leader is killed":            {func(dp *deployment.Deployment, leader, _ *deployment.Host) { dp.KillHost(leader) }, 2 * time.Second},
	}
	lastSubnet := 1780
	for name, tc := range cases {
		lastSubnet++
		subnet := lastSubnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			// Some hosts read for no failure domain.
			dp, lg := startDeployment(t, subnet, 41, func(cf *deployment.Config) { cf.Hosts, cf.Proxies = 6, true })
			time.Sleep(time.Second)
			leader, other := leaderAndOther(dp, lg)
			tc.disturb(dp, leader, other)
			dp.Configure(nil)
			running := 0
			for _, host := range dp.Hosts {
				if host.Running() {
					running++
				}
			}
			gm.Eventually(func() int { return len(hostsInForce(lg, dp.Version())) }, tc.within, "5ms").Should(Equal(running), lg.String)
		})
	}
}

// TestCallsOfStartingHosts guards against a host that reads by itself what the leader could
// tell it, and against one that watches what the leader watches.
func TestCallsOfStartingHosts(t *testing.T) {
	t.Parallel()
	const (
		hosts, restarted = 9, 6
		span             = 3 * time.Second
		// perHost is the users' aim.
		perHost = 3
	)
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 1790, 42, func(cf *deployment.Config) { cf.Hosts = hosts })
	leader, _ := leaderAndOther(dp, lg)
	time.Sleep(2 * time.Second)
	before := dp.Store.Calls()
	time.Sleep(span)
	calm := dp.Store.Calls() - before
	// Twice a second the leader writes its row and reads the entries; it ends two watches.
	gm.Expect(calm).To(BeNumerically("<=", 4*int(span.Seconds())+4), "of %d hosts", hosts)
	before = dp.Store.Calls()
	started := 0
	for _, host := range dp.Hosts {
		if host != leader && started < restarted {
			started++
			dp.KillHost(host)
			gm.Expect(dp.StartHost(host)).To(Succeed())
		}
	}
	gm.Eventually(func() int { return strings.Count(lg.String(), "event=desiredState ") }, "1s", "5ms").Should(Equal(hosts+restarted), lg.String)
	time.Sleep(span)
	// Members that have changed are written to the assignment.
	gm.Expect(dp.Store.Calls()-before).To(BeNumerically("<=", 2*calm+perHost*restarted), lg.String())
}

// TestAllStartWhileStoreGoesAway guards against hosts that stay without a desired state, or that
// all call a store in need, after it went away while they started.
func TestAllStartWhileStoreGoesAway(t *testing.T) {
	const (
		away = 3 * time.Second
		// recovery is the users' bound for serving again.
		recovery = 15 * time.Second
	)
	lastSubnet := 1800
	for name, begin := range map[string]time.Duration{"before their first calls": 0, "as one of them leads": 100 * time.Millisecond, "as they learn from it": 400 * time.Millisecond} {
		lastSubnet++
		subnet := lastSubnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, subnet, 43, func(cf *deployment.Config) { cf.Hosts = 6 })
			for _, host := range dp.Hosts {
				dp.KillHost(host)
			}
			if begin == 0 {
				dp.Store.SetFaults(metastore.Faults{Down: true})
			}
			for _, host := range dp.Hosts {
				gm.Expect(dp.StartHost(host)).To(Succeed())
			}
			time.Sleep(begin)
			dp.Store.SetFaults(metastore.Faults{Down: true})
			before := dp.Store.Calls()
			time.Sleep(away)
			// A host reads its own rows, entries, operator rows and suspects, each at most 3 times a second.
			gm.Expect(dp.Store.Calls()-before).To(BeNumerically("<=", 6*9*3), "while the store was away")
			dp.Store.SetFaults(metastore.Faults{})
			for _, host := range dp.Hosts {
				gm.Eventually(host.Ready, "2s", "20ms").Should(BeTrue(), host.Name)
			}
			time.Sleep(recovery - away - 2*time.Second)
			counts := dp.Load(t.Context(), 60, 2*time.Second)
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
			gm.Expect(counts.Answered).To(Equal(counts.Requests), "%+v\n%s", counts, lg.String())
		})
	}
}

// TestAllStartWithoutLastLeader guards against hosts that serve later than they could, as they
// wait for a leader after a loss of all hosts: the last one does not come back.
func TestAllStartWithoutLastLeader(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 1805, 44, func(cf *deployment.Config) { cf.Hosts = 9 })
	leader, _ := leaderAndOther(dp, lg)
	time.Sleep(time.Second)
	for _, host := range dp.Hosts {
		dp.KillHost(host)
	}
	for _, host := range dp.Hosts {
		if host != leader {
			gm.Expect(dp.StartHost(host)).To(Succeed())
		}
	}
	// Unfit hosts read by themselves after 1.1 s, and nobody can lead for 1.7 s.
	for _, host := range dp.Hosts {
		if host != leader {
			gm.Eventually(host.Ready, "900ms", "10ms").Should(BeTrue(), host.Name)
		}
	}
}
