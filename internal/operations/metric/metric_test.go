package metric_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/dump"
	"chervilwalk/internal/operations/metric"
	"chervilwalk/internal/serving/verdict"
)

func TestScrapeHasWhatWasCounted(t *testing.T) {
	gm := NewWithT(t)
	mt := metric.New()
	mt.Register(metric.NewPools(func() []dump.Pool {
		up := dump.Upstream{Slots: 2, Limit: 1, InFlight: 1}
		return []dump.Pool{
			{Name: "lookup@north#0", Queued: 3, Upstreams: []dump.Upstream{up, up}},
			{Name: "lookup@north#1", Queued: 4, Upstreams: []dump.Upstream{up}},
		}
	}))
	mt.Request("lookup", verdict.Ran, 5*time.Millisecond)
	mt.Request("lookup", verdict.NotRun, time.Millisecond)
	mt.Refusal("untrusted")
	mt.InForce(7)
	mt.PlatformCall("census", errors.New("silent"))
	rc := httptest.NewRecorder()
	mt.Handler().ServeHTTP(rc, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`chervilwalk_requests_total{service="lookup",verdict="ran"} 1`,
		`chervilwalk_requests_total{service="lookup",verdict="not-run"} 1`,
		`chervilwalk_request_duration_seconds_bucket{service="lookup",le="0.008"} 2`,
		`chervilwalk_bundle_refusals_total{reason="untrusted"} 1`,
		"chervilwalk_bundle_version 7",
		`chervilwalk_platform_calls_total{call="census",outcome="failed"} 1`,
		`chervilwalk_pools_held{domain="north",service="lookup"} 2`,
		`chervilwalk_queued_requests{domain="north",service="lookup"} 7`,
		`chervilwalk_in_flight_requests{domain="north",service="lookup"} 3`,
		`chervilwalk_limited_upstreams{domain="north",service="lookup"} 3`,
	} {
		gm.Expect(rc.Body.String()).To(ContainSubstring(want))
	}
	gm.Expect(mt.Verdicts()).To(ConsistOf(
		metric.Verdicts{Service: "lookup", Verdict: "ran", Count: 1},
		metric.Verdicts{Service: "lookup", Verdict: "not-run", Count: 1}))
}
