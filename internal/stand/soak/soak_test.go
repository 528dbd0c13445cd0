package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/soak"
)

// build builds chervilwalk and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "chervilwalk")
	output, err := exec.Command("go", "build", "-o", program, "../../../cmd/chervilwalk").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(output))
	return program
}

// logsDir returns a directory for the hosts' logs, which stays if the test fails.
func logsDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "chervilwalk-"+t.Name()+"-")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the hosts' logs are in %s", dir)
			return
		}
		NewWithT(t).Expect(os.RemoveAll(dir)).To(Succeed())
	})
	return dir
}

// TestMemoryUnderBytesWithoutEnd checks the memory of a host's process while several
// upstreams answer with bytes without end, and that the others' answers go on.
func TestMemoryUnderBytesWithoutEnd(t *testing.T) {
	t.Parallel()
	const (
		maxPeakKB = 40 << 10
		// minPours is what a test of this length must have met to say anything.
		minPours = 10
	)
	gm := NewWithT(t)
	dp, err := deployment.Start(deployment.Config{Dir: logsDir(t), Hosts: 1, Keyed: 4, Orders: 4, Files: 4, Seed: 3, Subnet: 71, Program: build(t)})
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(dp.Close)
	time.Sleep(4 * time.Second)
	pouring := []string{"i-lookup-0", "i-lookup-1", "i-orders-0", "i-orders-1", "i-files-0", "i-files-1"}
	for _, id := range pouring {
		dp.Upstream(id).SetFaults(fakeupstream.Faults{Pour: 1})
	}
	counts := dp.Load(t.Context(), 100, 8*time.Second)
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
	gm.Expect(counts.Answered).To(BeNumerically(">", counts.Requests/3), "%+v", counts)
	gm.Expect(dp.Hosts[0].PeakKB()).To(And(BeNumerically(">", 0), BeNumerically("<", maxPeakKB)))
	pours := 0
	for _, id := range pouring {
		pours += dp.Upstream(id).Pours()
	}
	gm.Expect(pours).To(BeNumerically(">=", minPours))
	t.Logf("peak %d KB after %d answers without end, %+v", dp.Hosts[0].PeakKB(), pours, counts)
}

// TestLimitWhileHolderIsFrozen guards against a holder that continues, once it is thawed, beside
// the one that has taken its place, and against upstreams without one meanwhile.
func TestLimitWhileHolderIsFrozen(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dir := logsDir(t)
	dp, err := deployment.Start(deployment.Config{Dir: dir, Hosts: 3, Keyed: 4, Orders: 3, Files: 3, Seed: 4, Subnet: 72, Program: build(t)})
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(dp.Close)
	time.Sleep(4 * time.Second)
	limited := []string{"i-lookup-0", "i-lookup-1", "i-lookup-2", "i-lookup-3"}
	for _, id := range limited {
		dp.Upstream(id).SetFaults(fakeupstream.Faults{Limit: "3"})
	}
	result := make(chan deployment.Counts)
	go func() { result <- dp.Load(t.Context(), 100, 14*time.Second) }()
	time.Sleep(4 * time.Second)
	holders := map[string]int{}
	for _, host := range dp.Hosts {
		log, err := os.ReadFile(filepath.Join(dir, host.Name+".log"))
		gm.Expect(err).NotTo(HaveOccurred())
		for _, found := range regexp.MustCompile(`event=request .*holder=(front-\d) .*service=lookup`).FindAllSubmatch(log, -1) {
			holders[string(found[1])]++
		}
	}
	for _, host := range dp.Hosts {
		if holders[host.Name] > 0 {
			host.Freeze()
			time.AfterFunc(4*time.Second, host.Thaw)
		}
	}
	gm.Expect(holders).To(HaveLen(1))
	time.Sleep(2500 * time.Millisecond)
	taken := time.Now()
	counts := <-result
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
	used := 0
	for _, id := range limited {
		used += dp.Upstream(id).Arrivals(taken)
	}
	// Half of what the limits admit, without the frozen host's callers.
	gm.Expect(used).To(BeNumerically(">=", 7*12/2), "%+v", counts)
}

// TestDeadlyWhileHolderIsFrozen guards against a deadly request that is sent on while its holder
// does not answer, or by one that continues and knows less than the others.
func TestDeadlyWhileHolderIsFrozen(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dir := logsDir(t)
	dp, err := deployment.Start(deployment.Config{Dir: dir, Hosts: 3, Keyed: 4, Orders: 4, Files: 3, Seed: 6, Subnet: 73, Program: build(t)})
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(dp.Close)
	time.Sleep(4 * time.Second)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(t.Context(), 14*time.Second)
		defer cancel()
		dp.Repeat(ctx, deployment.Deadly("order", deployment.OrderService))
	}()
	gm.Eventually(dp.Crashes, 5*time.Second, 5*time.Millisecond).ShouldNot(BeEmpty())
	time.Sleep(200 * time.Millisecond)
	frozen := 0
	for _, host := range dp.Hosts {
		log, err := os.ReadFile(filepath.Join(dir, host.Name+".log"))
		gm.Expect(err).NotTo(HaveOccurred())
		if regexp.MustCompile(`event=request .*holder=` + host.Name + ` .*service=orders`).Match(log) {
			host.Freeze()
			time.AfterFunc(4*time.Second, host.Thaw)
			frozen++
		}
	}
	gm.Expect(frozen).To(BeNumerically("<=", 1))
	<-ended
	runs := dp.DeadlyRuns()
	gm.Expect(runs["order"].Crashes).To(BeNumerically(">=", deployment.CrashesAllowed), "%v", runs)
	gm.Expect(runs["order"].Broken()).To(BeFalse(), "%v", runs)
	counts := dp.Load(t.Context(), 60, 2*time.Second)
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
}

// TestSoak plays one seed with real processes. Longer runs and other seeds are played
// by hand: chervilstand soak.
func TestSoak(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	rs, err := soak.Run(t.Context(), soak.Config{Program: build(t), Dir: logsDir(t), Seed: 105, Hosts: 4, PerSecond: 40, Span: 12 * time.Second, Subnet: 70})
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(rs.Broken()).To(BeFalse(), rs.String)
	gm.Expect(len(rs.Steps)).To(BeNumerically(">", 5), rs.String)
}
