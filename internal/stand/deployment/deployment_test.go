package deployment_test

import (
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/metastore"
)

// logBuffer collects the hosts' log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (lg *logBuffer) Write(line []byte) (int, error) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.lines.Write(line)
}

func (lg *logBuffer) String() string {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.lines.String()
}

// startDeployment starts a deployment and waits until its keys have owners. subnet
// must be different in each test, because they run in parallel.
func startDeployment(t *testing.T, subnet int, seed int64, change ...func(*deployment.Config)) (*deployment.Deployment, *logBuffer) {
	t.Helper()
	lg := &logBuffer{}
	cf := deployment.Config{Dir: t.TempDir(), Hosts: 3, Keyed: 4, Orders: 3, Files: 3, Seed: seed, Subnet: subnet, Log: lg}
	for _, ch := range change {
		ch(&cf)
	}
	dp, err := deployment.Start(cf)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(dp.Close)
	NewWithT(t).Eventually(func() int {
		return strings.Count(lg.String(), "event=keysDealt")
	}, 8*time.Second, 50*time.Millisecond).Should(BeNumerically(">", 0), lg.String)
	time.Sleep(200 * time.Millisecond)
	return dp, lg
}

// TestWholePath sends requests of all kinds over sockets while one fault occurs.
// No guarantee may be violated, and most requests must be answered.
func TestWholePath(t *testing.T) {
	cases := map[string]struct {
		disrupt func(dp *deployment.Deployment)
		// answered is the minimum share of requests that must be answered.
		answered float64
	}{
		"no fault":                {func(*deployment.Deployment) {}, 1},
		"a host is killed":        {func(dp *deployment.Deployment) { dp.KillHost(dp.Hosts[0]) }, 0.9},
		"an upstream crashes":     {func(dp *deployment.Deployment) { dp.Upstream("i-orders-0").Close() }, 0.95},
		"a keyed upstream drains": {func(dp *deployment.Deployment) { dp.DrainUpstream("i-lookup-0") }, 0.97},
		"the store is down for a while": {func(dp *deployment.Deployment) {
			dp.Store.SetFaults(metastore.Faults{Down: true})
			time.AfterFunc(1500*time.Millisecond, func() { dp.Store.SetFaults(metastore.Faults{}) })
		}, 0.97},
		"the store loses its history": {func(dp *deployment.Deployment) { dp.Store.Compact() }, 0.99},
		"the store's answers are lost": {func(dp *deployment.Deployment) {
			dp.Store.SetFaults(metastore.Faults{LoseAnswers: 0.3})
		}, 0.97},
		"answers are truncated, reset or stray": {func(dp *deployment.Deployment) {
			dp.Upstream("i-files-0").SetFaults(fakeupstream.Faults{Truncate: 0.2, Stray: 0.2})
			dp.Upstream("i-orders-1").SetFaults(fakeupstream.Faults{Reset: 0.1, Stray: 0.3})
		}, 0.9},
		"an upstream refuses half of its requests": {func(dp *deployment.Deployment) {
			dp.Upstream("i-orders-0").SetFaults(fakeupstream.Faults{Shed: 0.5})
		}, 0.9},
		"an upstream starts cold": {func(dp *deployment.Deployment) {
			dp.Upstream("i-orders-0").Close()
			if err := dp.AddUpstream("i-orders-0", deployment.OrderService, "zone-a"); err != nil {
				panic(err)
			}
		}, 0.95},
		"grants take effect late": {func(dp *deployment.Deployment) {
			dp.Upstream("i-lookup-1").SetFaults(fakeupstream.Faults{LateGrants: 0.3})
		}, 0.8},
	}
	lastSubnet := 10
	for name, tc := range cases {
		lastSubnet++
		subnet := lastSubnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, subnet, 1)
			time.AfterFunc(500*time.Millisecond, func() { tc.disrupt(dp) })
			counts := dp.Load(t.Context(), 80, 4*time.Second)
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
			gm.Expect(float64(counts.Answered)).To(BeNumerically(">=", tc.answered*float64(counts.Requests)), "%+v\n%s", counts, lg.String())
		})
	}
}

// TestPlannedStop checks that no request is interrupted while a host shuts down
// gracefully.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 40, 2)
	stopped := make(chan struct{})
	time.AfterFunc(500*time.Millisecond, func() {
		dp.StopHost(dp.Hosts[1])
		close(stopped)
	})
	counts := dp.Load(t.Context(), 60, 2*time.Second)
	<-stopped
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
	gm.Expect(counts.Doubtful).To(BeZero(), "%+v\n%s", counts, lg.String())
}

// TestNewDesiredState checks that every host has a new desired state in force
// within two seconds and ignores a malformed one.
func TestNewDesiredState(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 41, 3)
	dp.Configure(func(text string) string { return text[:len(text)/2] })
	gm.Eventually(lg.String, 2*time.Second).Should(ContainSubstring("event=desiredStateMalformed"))
	dp.Configure(func(text string) string {
		return strings.Replace(text, `"service":"orders"`, `"service":"files"`, 1)
	})
	applied := regexp.MustCompile(`event=desiredState .*routes=3 services=3 version=9`)
	gm.Eventually(func() int { return len(applied.FindAllString(lg.String(), -1)) },
		2*time.Second, 20*time.Millisecond).Should(Equal(len(dp.Hosts)), lg.String)
}

// TestAllHostsRestart checks that a deployment serves all requests again after all
// of its hosts were killed and restarted.
func TestAllHostsRestart(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 42, 4)
	for _, host := range dp.Hosts {
		dp.KillHost(host)
	}
	for _, host := range dp.Hosts {
		gm.Expect(dp.StartHost(host)).To(Succeed())
	}
	time.Sleep(4 * time.Second)
	counts := dp.Load(t.Context(), 60, 2*time.Second)
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
	gm.Expect(counts.Answered).To(Equal(counts.Requests), "%+v\n%s", counts, lg.String())
}

// TestStopBesideALongRequest stops a host while requests on it take longer than new
// connections are accepted. Callers that come after that must go elsewhere at once:
// what is taken late in a stop is cut off at its end.
func TestStopBesideALongRequest(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 44, 9)
	for _, id := range []string{"i-orders-0", "i-orders-1", "i-orders-2"} {
		dp.Upstream(id).SetFaults(fakeupstream.Faults{Slow: 60})
	}
	host := dp.Hosts[1]
	stopped := make(chan time.Time, 1)
	began := time.Now()
	go func() {
		dp.StopHost(host)
		stopped <- time.Now()
	}()
	// Just before no more connections are accepted.
	time.Sleep(2200 * time.Millisecond)
	long := make(chan int, 1)
	go func() {
		rq, err := http.NewRequest(http.MethodPost, "http://"+host.Address+"/orders/1", strings.NewReader("{}"))
		if err != nil {
			long <- 0
			return
		}
		rq.Host = "shop.example"
		rq.Header.Set("Request-Id", "long")
		rq.Header.Set("Request-Deadline", "1500")
		rs, err := http.DefaultTransport.RoundTrip(rq)
		if err != nil {
			long <- 0
			return
		}
		_ = rs.Body.Close()
		long <- rs.StatusCode
	}()
	var lastAccepted time.Duration
	for len(stopped) == 0 {
		if raw, err := net.DialTimeout("tcp", host.Address, time.Second); err == nil {
			lastAccepted = time.Since(began)
			_ = raw.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	gm.Expect(<-long).NotTo(BeZero(), "a request that was taken must be answered\n%s", lg.String())
	gm.Expect((<-stopped).Sub(began)).To(BeNumerically(">", 3*time.Second), "the long request must have kept the host: %s", lg.String())
	gm.Expect(lastAccepted).To(BeNumerically("<", 2700*time.Millisecond), lg.String())
}

// TestDrainWhileStoreRefusesLeader checks that a draining upstream gets no
// requests after two seconds even if the store refuses the calls of the leader,
// which reads the store for all hosts, and of no other host.
func TestDrainWhileStoreRefusesLeader(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 43, 5)
	leaderLines := regexp.MustCompile(`host=(\S+) event=leading now=true`).FindAllStringSubmatch(lg.String(), -1)
	gm.Expect(leaderLines).NotTo(BeEmpty())
	for _, host := range dp.Hosts {
		if host.Name == leaderLines[len(leaderLines)-1][1] {
			dp.Store.SetFaults(metastore.Faults{Refused: map[string]bool{host.IP: true}})
		}
	}
	var drainedAt time.Time
	time.AfterFunc(100*time.Millisecond, func() {
		drainedAt = time.Now()
		dp.DrainUpstream("i-lookup-0")
		dp.DrainUpstream("i-orders-0")
	})
	counts := dp.Load(t.Context(), 80, 4*time.Second)
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
	for _, id := range []string{"i-lookup-0", "i-orders-0"} {
		for _, run := range dp.Upstream(id).Runs() {
			gm.Expect(run.At).To(BeTemporally("<", drainedAt.Add(2*time.Second)), lg.String())
		}
	}
	// Keyed upstreams still get requests for half a second after a host has read
	// the new state, so the hosts must know it half a second earlier.
	drainLines := regexp.MustCompile(`(?m)^(\S+) host=\S+ event=upstream missingMs=0 now=draining upstream=i-lookup-0`).FindAllStringSubmatch(lg.String(), -1)
	gm.Expect(len(drainLines)).To(BeNumerically(">=", len(dp.Hosts)-1))
	for _, line := range drainLines[:len(dp.Hosts)-1] {
		at, err := time.Parse(time.RFC3339Nano, line[1])
		gm.Expect(err).NotTo(HaveOccurred())
		gm.Expect(at).To(BeTemporally("<", drainedAt.Add(1500*time.Millisecond)), lg.String())
	}
}
