package deployment_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
)

// TestLeavingInAnswers covers upstreams that say in their answers that they leave
// while their entries still say that they are ready. drain-s after the first such
// answer no host may send them a request, and their keys must have moved.
func TestLeavingInAnswers(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 60, 6)
	var since time.Time
	leaving := []string{"i-lookup-0", "i-orders-0"}
	time.AfterFunc(300*time.Millisecond, func() {
		since = time.Now()
		for _, id := range leaving {
			dp.Upstream(id).SetFaults(fakeupstream.Faults{Leaving: true})
		}
	})
	counts := dp.Load(t.Context(), 80, 4500*time.Millisecond)
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
	gm.Expect(float64(counts.Answered)).To(BeNumerically(">=", 0.95*float64(counts.Requests)), "%+v\n%s", counts, lg.String())
	const drain = 2 * time.Second
	for _, id := range leaving {
		for _, run := range dp.Upstream(id).Runs() {
			gm.Expect(run.At).To(BeTemporally("<", since.Add(drain)), "%s\n%s", id, lg.String())
		}
	}
}

// TestPauseInRefusals covers upstreams that refuse requests and ask for a pause. From
// half a second after it a host may send two more requests at most.
func TestPauseInRefusals(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	// On loopback an upstream cannot tell hosts apart.
	dp, lg := startDeployment(t, 61, 7, func(cf *deployment.Config) { cf.Hosts = 1 })
	pausing := []string{"i-lookup-1", "i-orders-1"}
	for _, id := range pausing {
		dp.Upstream(id).SetFaults(fakeupstream.Faults{Shed: 0.3, PauseMs: 1500})
	}
	counts := dp.Load(t.Context(), 100, 4*time.Second)
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
	gm.Expect(lg.String()).To(ContainSubstring("event=upstreamPaused"))
	gm.Expect(lg.String()).To(ContainSubstring("cause=upstreamPaused"))
	for _, id := range pausing {
		gm.Expect(dp.Upstream(id).MostInPause()).To(BeNumerically("<=", 2), "%s\n%s", id, lg.String())
	}
}

// TestStoreReturnsFromCopy covers a store that comes back from an older copy, after
// keys have moved and with a new desired state lost.
func TestStoreReturnsFromCopy(t *testing.T) {
	for name, bundles := range map[string]bool{"operators' rows": false, "signed bundles": true} {
		subnet := 62
		if bundles {
			subnet = 63
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, subnet, 8, func(cf *deployment.Config) { cf.Bundles = bundles })
			time.Sleep(2 * time.Second)
			dp.DrainUpstream("i-lookup-0")
			if !bundles {
				dp.Configure(nil)
			}
			during := make(chan deployment.Counts)
			go func() { during <- dp.Load(t.Context(), 60, 4*time.Second) }()
			time.Sleep(1500 * time.Millisecond)
			dp.ReturnStore(3*time.Second, 300*time.Millisecond, time.Second)
			counts := <-during
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v\n%s", counts, lg.String())
			after := dp.Load(t.Context(), 60, 2*time.Second)
			gm.Expect(after.Broken()).To(BeFalse(), "%+v\n%s", after, lg.String())
			gm.Expect(after.Answered).To(Equal(after.Requests), "%+v\n%s", after, lg.String())
			gm.Expect(strings.Count(lg.String(), "event=assignmentRecovered")).To(Equal(1), lg.String())
			_, found := dp.Store.Get("chervilwalk", "era/0")
			gm.Expect(found).To(BeFalse(), "a write of the earlier era must find its era's row gone")
			_, found = dp.Store.Get("chervilwalk", "era/1")
			gm.Expect(found).To(BeTrue())
		})
	}
}

// TestRefusalByOwnHolder covers a host that holds the permits of its own callers'
// requests. A refusal must end the request at once, as one from another host does.
func TestRefusalByOwnHolder(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 64, 9, func(cf *deployment.Config) { cf.Hosts = 1 })
	for _, id := range []string{"i-orders-0", "i-orders-1", "i-orders-2", "i-lookup-0"} {
		dp.Upstream(id).SetFaults(fakeupstream.Faults{Slow: 15})
	}
	counts := dp.Load(t.Context(), 100, 3*time.Second)
	gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
	gm.Expect(lg.String()).To(ContainSubstring("cause=noRoomInTime"))
	gm.Expect(lg.String()).NotTo(ContainSubstring("cause=noAnswerFromHolder"))
}
