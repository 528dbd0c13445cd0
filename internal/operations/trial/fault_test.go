package trial_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/gomega"

	"chervilwalk/examples"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/trial"
	"chervilwalk/internal/serving/entry"
	standupstream "chervilwalk/internal/stand/upstream"
)

// got is what a caller of one request sees.
type got struct {
	id         ident.Request
	status     int
	verdict    string
	retryAfter string
	body       int
	whole      bool
}

// ask sends one request with a deadline.
func ask(method, target string, deadline time.Duration) (got, error) {
	rq, err := http.NewRequest(method, target, strings.NewReader("order"))
	if err != nil {
		return got{}, err
	}
	rq.Header.Set(entry.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return got{}, err
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	return got{
		id: ident.Request(rs.Header.Get(entry.RequestHeader)), status: rs.StatusCode,
		verdict: rs.Header.Get(entry.VerdictHeader), retryAfter: rs.Header.Get("Retry-After"),
		body: len(text), whole: err == nil,
	}, nil
}

// smallFleet runs the fleet of examples/by-hand.yaml until it serves orders.
func smallFleet(t *testing.T) *trial.Fleet {
	t.Helper()
	log.SetLevel(log.ErrorLevel)
	gm := NewWithT(t)
	fl, err := trial.StartFleet("by-hand", examples.ByHand)
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(fl.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	gm.Expect(fl.AwaitServing(ctx)).To(Succeed())
	awaitWarm(gm, fl)
	return fl
}

// awaitWarm waits until orders and certificates are answered at every entry.
func awaitWarm(gm *WithT, fl *trial.Fleet) {
	for _, path := range []string{"/orders/warm", "/certificates/warm"} {
		for _, ho := range fl.Bundle.Hosts {
			gm.Eventually(func() int {
				gt, _ := ask(http.MethodGet, "http://"+fl.Entry(ho.Name)+path, time.Second)
				return gt.status
			}, "10s").Should(Equal(http.StatusOK))
		}
	}
}

// fault sets the faults of all upstreams whose name begins with a prefix.
func fault(fl *trial.Fleet, prefix string, fa standupstream.Faults) {
	for name, us := range fl.Upstreams {
		if strings.HasPrefix(string(name), prefix) {
			us.SetFaults(fa)
		}
	}
}

// ranTimes counts how often a request ran anywhere.
func ranTimes(fl *trial.Fleet, id ident.Request) int {
	count := 0
	for _, us := range fl.Upstreams {
		for _, rn := range us.Runs() {
			if rn.Request == id {
				count++
			}
		}
	}
	return count
}

// An order meets each fault of an upstream, from every entry at once: it runs
// at most once, and its verdict is true.
func TestOrderMeetsFaultsOfUpstreams(t *testing.T) {
	cases := map[string]struct {
		faults   standupstream.Faults
		deadline time.Duration
		verdict  string
		runs     int
	}{
		"none":                 {deadline: 5 * time.Second, verdict: "ran", runs: 1},
		"sheds":                {faults: standupstream.Faults{Shed: true}, deadline: time.Second, verdict: "not-run"},
		"loses answers":        {faults: standupstream.Faults{LoseAnswers: true}, deadline: 5 * time.Second, verdict: "may-have-run", runs: 1},
		"cuts a short answer":  {faults: standupstream.Faults{Cut: true, CutBytes: 10}, deadline: 5 * time.Second, verdict: "may-have-run", runs: 1},
		"cuts before the body": {faults: standupstream.Faults{Cut: true}, deadline: 5 * time.Second, verdict: "may-have-run", runs: 1},
	}
	fl := smallFleet(t)
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			fault(fl, "orders", standupstream.Faults{})
			awaitWarm(gm, fl)
			fault(fl, "orders", cs.faults)
			var wg sync.WaitGroup
			answers := make([]got, len(fl.Bundle.Hosts))
			errs := make([]error, len(fl.Bundle.Hosts))
			for ix, ho := range fl.Bundle.Hosts {
				wg.Go(func() {
					answers[ix], errs[ix] = ask(http.MethodPost, "http://"+fl.Entry(ho.Name)+"/orders/1", cs.deadline)
				})
			}
			wg.Wait()
			for ix, gt := range answers {
				gm.Expect(errs[ix]).NotTo(HaveOccurred())
				gm.Expect(gt.whole).To(BeTrue())
				gm.Expect(gt.verdict).To(BeElementOf(cs.verdict, "not-run"), fmt.Sprint(gt))
				runs := ranTimes(fl, gt.id)
				if gt.verdict == "not-run" {
					gm.Expect(runs).To(BeZero())
					gm.Expect(gt.status).To(BeElementOf(http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusBadGateway))
					continue
				}
				gm.Expect(runs).To(Equal(cs.runs))
			}
			gm.Expect(answers).To(ContainElement(WithTransform(func(gt got) string { return gt.verdict }, Equal(cs.verdict))))
		})
	}
}

// A large answer that its upstream cuts at any point is cut for the caller too,
// at the holder's own entry and over the hop.
func TestCutAnswerIsCutOnTheWholePath(t *testing.T) {
	const size = 600_000
	fl := smallFleet(t)
	for _, chunked := range []bool{false, true} {
		for _, point := range []int{0, 1000, 70_000, size - 1} {
			t.Run(fmt.Sprintf("chunked %t point %d", chunked, point), func(t *testing.T) {
				gm := NewWithT(t)
				fault(fl, "certificates", standupstream.Faults{})
				awaitWarm(gm, fl)
				fault(fl, "certificates", standupstream.Faults{Cut: true, CutBytes: point, Chunked: chunked})
				for _, ho := range fl.Bundle.Hosts {
					gt, err := ask(http.MethodGet, fmt.Sprintf("http://%s/certificates/1?bytes=%d", fl.Entry(ho.Name), size), 5*time.Second)
					if err != nil {
						continue
					}
					gm.Expect(gt.whole && gt.status == http.StatusOK).To(BeFalse(), fmt.Sprint(gt))
					gm.Expect(gt.body).To(BeNumerically("<=", max(point, 200)))
				}
			})
		}
	}
}

// A frozen upstream leaves its order in doubt at the deadline, and serves again
// once it has thawed; the order has run at most once.
func TestFrozenUpstreamComesBack(t *testing.T) {
	gm := NewWithT(t)
	fl := smallFleet(t)
	fault(fl, "orders", standupstream.Faults{Frozen: true})
	start := time.Now()
	gt, err := ask(http.MethodPost, "http://"+fl.Entry(fl.Bundle.Hosts[0].Name)+"/orders/1", 600*time.Millisecond)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(gt.verdict).To(BeElementOf("may-have-run", "not-run"))
	gm.Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
	fault(fl, "orders", standupstream.Faults{})
	awaitWarm(gm, fl)
	gm.Expect(ranTimes(fl, gt.id)).To(BeNumerically("<=", 1))
	if gt.verdict == "not-run" {
		gm.Expect(ranTimes(fl, gt.id)).To(BeZero())
	}
}
