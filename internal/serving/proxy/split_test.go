package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/proxy"
)

// TestSuspectsOnSplitRoutes guards against a deadly request that the holders of several services
// try, each as often as one of them may.
func TestSuspectsOnSplitRoutes(t *testing.T) {
	const hosts, repeats, requests = 3, 20, 200
	cases := map[string]struct {
		suspect bool
		// services is to how many services the repeats of one request go.
		services int
	}{
		"suspect":     {true, 1},
		"not suspect": {false, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			st, err := desired.New(1, desired.Limits{}, []desired.Service{{Name: "s"}, {Name: "t"}}, []desired.Route{{
				Name: "split", Prefix: "/", Timeout: timeout, Objective: timeout, Attempts: 1,
				Destinations: []desired.Destination{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}},
			}})
			gm.Expect(err).NotTo(HaveOccurred())
			var last ident.Service
			list := make([]*proxy.Proxy, hosts)
			for ix := range list {
				list[ix] = proxy.New(proxy.Config{
					State: func() *desired.State { return st }, Permits: &permits{}, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
					Budget: proxy.NewBudget(0, func() float64 { return 0 }),
					OnEnd:  func(en proxy.End) { last = en.Service }, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
					Suspect: func(ident.Fingerprint) bool { return tc.suspect }, EndsAt: func() time.Time { return time.Time{} },
				})
			}
			all := map[ident.Service]int{}
			for number := range requests {
				services := map[ident.Service]bool{}
				for repeat := range repeats {
					list[repeat%hosts].Serve(t.Context(), &httpserver.Request{
						Method: http.MethodGet, URI: fmt.Sprint("/", number), Header: http.Header{"Id": {fmt.Sprint("r", repeat)}}, Arrived: time.Now(),
					})
					services[last] = true
					all[last]++
				}
				gm.Expect(services).To(HaveLen(tc.services))
			}
			gm.Expect(float64(all["t"])/(requests*repeats)).To(BeNumerically("~", 0.25, 0.1), "the share of its weight")
		})
	}
}
