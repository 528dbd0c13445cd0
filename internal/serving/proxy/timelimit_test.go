package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/internal/serving/transport"
)

// limitedHeaders are testHeaders with a time limit.
type limitedHeaders struct{ testHeaders }

func (lh limitedHeaders) DecodeRequest(rq *httpserver.Request, sv desired.Service) (proxy.RequestInfo, error) {
	ri, err := lh.testHeaders.DecodeRequest(rq, sv)
	if err != nil {
		return ri, err
	}
	ri.TimeLimit, err = time.ParseDuration(rq.Header.Get("Time-Limit"))
	return ri, err
}

// TestAnswerBeforeTheCallerLeaves guards against requests that end when their caller is no longer
// there, with the ready answers to those behind them on its connection.
func TestAnswerBeforeTheCallerLeaves(t *testing.T) {
	stops := func(rw http.ResponseWriter, rq *http.Request) {
		left, err := time.ParseDuration(rq.Header.Get("Left"))
		if err != nil {
			panic(err)
		}
		time.Sleep(left)
		rw.Header().Set("Id", rq.Header.Get("Id"))
		rw.Header().Set("Seal", "s")
		rw.WriteHeader(http.StatusGatewayTimeout)
	}
	silent := func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() }
	// onTheWay is how long the answer takes to the caller at least.
	const onTheWay = 2 * time.Millisecond
	cases := map[string]struct {
		path    string
		limit   time.Duration
		handler http.HandlerFunc
		// by is when the response is due.
		by time.Duration
		// seal is that of the upstream's own answer.
		seal string
	}{
		"an upstream stops at the caller's limit":     {"/lookup", timeout / 2, stops, timeout/2 - onTheWay, "s"},
		"it runs a request that is not repeatable":    {"/order", timeout / 2, stops, timeout/2 - onTheWay, "s"},
		"an upstream says nothing":                    {"/lookup", timeout / 2, silent, timeout/2 - onTheWay, ""},
		"it got a request that is not repeatable":     {"/order", timeout / 2, silent, timeout/2 - onTheWay, ""},
		"the route's timeout is just before":          {"/order", timeout + 20*time.Millisecond, silent, timeout + 20*time.Millisecond - onTheWay, ""},
		"the caller waits longer than the route does": {"/order", 4 * timeout, stops, timeout + 120*time.Millisecond, "s"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			server := httptest.NewServer(tc.handler)
			t.Cleanup(server.Close)
			pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
			t.Cleanup(pl.Close)
			st := state(t)
			serve := func() (time.Duration, string) {
				px := proxy.New(proxy.Config{
					State: func() *desired.State { return st }, Permits: &permits{addresses: []string{server.Listener.Addr().String()}},
					Connections: pl, CallerHeaders: limitedHeaders{}, UpstreamHeaders: testHeaders{},
					Budget: proxy.NewBudget(1, func() float64 { return 10 }),
					OnEnd:  func(proxy.End) {}, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
					OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
					OnCrash: func(proxy.Permit, ident.Fingerprint) {}, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) {},
					Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
				})
				rq := &httpserver.Request{Method: http.MethodPost, URI: tc.path, Header: http.Header{"Id": {"r1"}, "Time-Limit": {tc.limit.String()}}, Arrived: time.Now()}
				rs := px.Serve(t.Context(), rq)
				gm.Expect(rs).NotTo(BeNil())
				gm.Expect(rs.Status).To(Equal(http.StatusGatewayTimeout))
				return time.Since(rq.Arrived), rs.Header.Get("Seal")
			}
			// A busy machine may delay one of them by itself.
			gm.Eventually(func() bool {
				took, seal := serve()
				return took < tc.by && seal == tc.seal
			}, 20*time.Second).Should(BeTrue())
		})
	}
}

// TestSilenceUntilTheCallerLeaves guards against an upstream that is blamed for a time in which it
// need not have answered, and against a crash that is not counted since its caller's limit came.
func TestSilenceUntilTheCallerLeaves(t *testing.T) {
	cases := map[string]struct {
		limit     time.Duration
		outcome   permit.Outcome
		abandoned bool
	}{
		"the caller's limit comes":  {timeout / 2, permit.Withdrawn, true},
		"the route's timeout comes": {4 * timeout, permit.TimedOut, false},
	}
	for name, tc := range cases {
		for _, path := range []string{"/lookup", "/order"} {
			t.Run(name+path, func(t *testing.T) {
				gm := NewWithT(t)
				server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() }))
				t.Cleanup(server.Close)
				pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
				t.Cleanup(pl.Close)
				st := state(t)
				pm := &permits{addresses: []string{server.Listener.Addr().String()}}
				abandoned := false
				px := proxy.New(proxy.Config{
					State: func() *desired.State { return st }, Permits: pm,
					Connections: pl, CallerHeaders: limitedHeaders{}, UpstreamHeaders: testHeaders{},
					Budget: proxy.NewBudget(1, func() float64 { return 10 }),
					OnEnd:  func(proxy.End) {}, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
					OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
					OnCrash: func(proxy.Permit, ident.Fingerprint) {}, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) { abandoned = true },
					Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
				})
				rs := px.Serve(t.Context(), &httpserver.Request{Method: http.MethodPost, URI: path, Header: http.Header{"Id": {"r1"}, "Time-Limit": {tc.limit.String()}}, Arrived: time.Now()})
				gm.Expect(rs).NotTo(BeNil())
				gm.Expect(rs.Status).To(Equal(http.StatusGatewayTimeout))
				gm.Expect(pm.outcomes).To(Equal([]permit.Outcome{tc.outcome}))
				gm.Expect(abandoned).To(Equal(tc.abandoned))
			})
		}
	}
}
