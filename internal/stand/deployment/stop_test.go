package deployment_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/metastore"
)

// stopCaller sends requests on one connection to a host that is stopped meanwhile.
type stopCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialCaller opens a connection and uses it once, so that it stays with its host.
func dialCaller(t *testing.T, address, id string) *stopCaller {
	t.Helper()
	gm := NewWithT(t)
	conn, err := net.Dial("tcp", address)
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	gm.Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	sc := &stopCaller{conn, bufio.NewReader(conn)}
	sc.send(t, "GET", "/none/", id, "")
	gm.Expect(sc.receive()).To(HaveField("StatusCode", http.StatusNotFound))
	return sc
}

func (sc *stopCaller) send(t *testing.T, method, path, id, body string) {
	t.Helper()
	_, err := fmt.Fprintf(sc.conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nRequest-Deadline: 9000\r\nShard-Key: 7\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

// receive reads a whole response. Without one the status is 0.
func (sc *stopCaller) receive() *http.Response {
	rs, err := http.ReadResponse(sc.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, rs.Body)
	}
	if err != nil {
		return &http.Response{Status: err.Error()}
	}
	return rs
}

// TestRequestsThatWaitAtStop guards against callers who lose their connections without an answer,
// as the host that holds their requests back for an upstream is stopped as planned.
func TestRequestsThatWaitAtStop(t *testing.T) {
	const slots = 2
	cases := map[string]struct {
		method, path string
		// host is the index of the one that is stopped. Before that, host 1 issues the permits of orders.
		host int
		// before is how long before the stop the requests that wait were sent; negative for after it.
		before  time.Duration
		disturb func(dp *deployment.Deployment, host *deployment.Host)
		// ahead sends the requests that wait behind those under way on their connections.
		ahead bool
		// busyFor is how long the requests under way take; 0 for longer than the stop.
		busyFor time.Duration
		// passedOn means that an upstream may get the requests that wait, as a new holder of permits
		// does not know of those under way.
		passedOn bool
		status   int
	}{
		"for a permit":                         {method: "POST", path: "/orders/1", before: -1500 * time.Millisecond, status: 503},
		"for a permit since before the stop":   {method: "POST", path: "/orders/1", before: 500 * time.Millisecond, status: 503},
		"for a permit of the stopped host":     {method: "POST", path: "/orders/1", host: 1, before: 500 * time.Millisecond, passedOn: true},
		"for the owner of a key":               {method: "GET", path: "/lookup/7", before: -500 * time.Millisecond, status: 503},
		"behind a request sent before them":    {method: "GET", path: "/files/1", before: -500 * time.Millisecond, ahead: true, status: 503},
		"while the store is away":              {method: "POST", path: "/orders/1", before: 500 * time.Millisecond, status: 503, disturb: func(dp *deployment.Deployment, _ *deployment.Host) { dp.Store.SetFaults(metastore.Faults{Down: true}) }},
		"while no other host is reached":       {method: "POST", path: "/orders/1", before: 500 * time.Millisecond, passedOn: true, disturb: func(dp *deployment.Deployment, host *deployment.Host) { dp.CutOff(host, true) }},
		"while their holder stops too":         {method: "POST", path: "/orders/1", before: 500 * time.Millisecond, passedOn: true, disturb: func(dp *deployment.Deployment, _ *deployment.Host) { go dp.StopHost(dp.Hosts[1]) }},
		"until there is room during the stop":  {method: "POST", path: "/orders/1", before: 500 * time.Millisecond, status: 200, busyFor: 2 * time.Second},
		"until their owner has room during it": {method: "GET", path: "/lookup/7", before: -500 * time.Millisecond, status: 200, busyFor: 2 * time.Second},
		"for room, and it comes at the last":   {method: "GET", path: "/files/1", before: -500 * time.Millisecond, busyFor: 5550 * time.Millisecond, passedOn: true},
	}
	lastSubnet := 210
	for name, tc := range cases {
		lastSubnet++
		subnet := lastSubnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, subnet, 5, func(cf *deployment.Config) { cf.Keyed, cf.Orders, cf.Files, cf.Proxies = 1, 1, 1, true })
			dp.Configure(func(text string) string { return strings.ReplaceAll(text, `"timeout-s":1.5`, `"timeout-s":8`) })
			time.Sleep(700 * time.Millisecond)
			ids := []string{"i-lookup-0", "i-orders-0", "i-files-0"}
			for _, id := range ids {
				work := dp.Upstream(id).Config().Work
				dp.Upstream(id).SetFaults(fakeupstream.Faults{Slow: float64(cmp.Or(tc.busyFor, time.Minute)) / float64(work)})
			}
			host := dp.Hosts[tc.host]
			var busy, waiting []*stopCaller
			for ix := range slots {
				busy = append(busy, dialCaller(t, host.Address, fmt.Sprint("first-busy-", ix)))
				waiting = append(waiting, dialCaller(t, host.Address, fmt.Sprint("first-waiting-", ix)))
			}
			for ix, sc := range busy {
				sc.send(t, tc.method, tc.path, fmt.Sprint("busy-", ix), "")
			}
			runs := func() (list []string) {
				for _, id := range ids {
					for _, run := range dp.Upstream(id).Runs() {
						list = append(list, run.Request)
					}
				}
				return list
			}
			gm.Eventually(runs, 2*time.Second).Should(HaveLen(slots))
			for _, id := range ids {
				// Those under way take as long as before.
				dp.Upstream(id).SetFaults(fakeupstream.Faults{})
			}
			if tc.disturb != nil {
				tc.disturb(dp, host)
			}
			var group sync.WaitGroup
			stop := func() { group.Go(func() { dp.StopHost(host) }) }
			if tc.before < 0 {
				stop()
				time.Sleep(-tc.before)
			}
			for ix, sc := range waiting {
				if tc.ahead {
					sc = busy[ix]
				}
				sc.send(t, tc.method, tc.path, fmt.Sprint("waiting-", ix), "")
			}
			if tc.before > 0 {
				time.Sleep(tc.before)
				stop()
			}
			stoppedAt := time.Now()
			refused := 0
			for ix, sc := range waiting {
				if tc.ahead {
					gm.Expect(busy[ix].receive().StatusCode).NotTo(BeZero(), "under way")
					sc = busy[ix]
				}
				rs := sc.receive()
				if tc.passedOn {
					gm.Expect(rs.StatusCode).NotTo(BeZero(), "%s\n%s", rs.Status, lg.String())
				} else {
					gm.Expect(rs.StatusCode).To(Equal(tc.status), "%s\n%s", rs.Status, lg.String())
				}
				if rs.StatusCode == http.StatusServiceUnavailable {
					refused++
					gm.Expect(rs.Header.Get("Retry-After")).NotTo(BeEmpty())
				}
			}
			for _, sc := range busy {
				if !tc.ahead {
					// A whole answer that promises nothing, or that of the upstream.
					rs := sc.receive()
					gm.Expect(rs.StatusCode).To(Or(Equal(http.StatusOK), Equal(http.StatusBadGateway), Equal(http.StatusGatewayTimeout)), rs.Status)
				}
			}
			group.Wait()
			gm.Expect(len(runs())).To(BeNumerically("<=", 2*slots-refused), "refused requests must not run")
			gm.Expect(time.Since(stoppedAt)).To(BeNumerically("<", 6*time.Second), "grace-s")
		})
	}
}
