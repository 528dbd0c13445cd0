package proxy_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/internal/serving/verdict"
)

// dialect is the least that a proxy needs of header fields.
type dialect struct{}

func (dialect) Terms(rq *httpserver.Request, sv desired.Service) (proxy.Terms, error) {
	return proxy.Terms{Request: ident.Request(rq.Header.Get("Id")), Keyed: sv.Keyed && rq.Header.Get("Key") != ""}, nil
}

func (dialect) Answer(http.Header, proxy.Terms, ident.Upstream) {}

func (dialect) Refusal(hd http.Header, _ proxy.Terms, vd verdict.Verdict, retryAfter time.Duration) {
	hd.Set("Verdict", vd.String())
	if retryAfter > 0 {
		hd.Set("Retry-After", retryAfter.String())
	}
}

func (dialect) Address(hd http.Header, _ proxy.Terms, _ ident.Upstream, left time.Duration) {
	hd.Set("Left", left.String())
}

func (dialect) Report(_ int, hd http.Header) proxy.Report {
	return proxy.Report{Sealed: hd.Get("Seal") != "", NotRun: hd.Get("Not-Run") != ""}
}

// act is what an upstream does with one request.
type act int

const (
	answers act = iota
	fails
	refuses
	disowns
	breaks
	forges
	hangs
)

// upstream does its acts in turn, the last one for ever, and counts what it ran.
type upstream struct {
	server *httptest.Server
	mu     sync.Mutex
	acts   []act
	runs   int
}

func start(t *testing.T, acts ...act) *upstream {
	up := &upstream{acts: acts}
	up.server = httptest.NewServer(up)
	t.Cleanup(up.server.Close)
	return up
}

func (up *upstream) next() act {
	up.mu.Lock()
	defer up.mu.Unlock()
	at := up.acts[0]
	if len(up.acts) > 1 {
		up.acts = up.acts[1:]
	}
	if at != refuses && at != disowns {
		up.runs++
	}
	return at
}

func (up *upstream) ran() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.runs
}

// ServeHTTP implements http.Handler.
func (up *upstream) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	hd := rw.Header()
	hd.Set("Id", rq.Header.Get("Id"))
	switch up.next() {
	case answers:
		hd.Set("Seal", "s")
	case fails:
		hd.Set("Seal", "s")
		rw.WriteHeader(http.StatusInternalServerError)
	case refuses:
		hd.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case disowns:
		hd.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
	case breaks:
		panic(http.ErrAbortHandler)
	case forges:
	case hangs:
		<-rq.Context().Done()
	}
}

// permits lead to the upstreams in turn and then refuse.
type permits struct {
	mu        sync.Mutex
	addresses []string
	given     int
	released  int
}

func (pm *permits) Acquire(_ context.Context, ask protocol.Ask) (proxy.Grant, *protocol.Refusal, error) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	if pm.given == len(pm.addresses) {
		return proxy.Grant{}, &protocol.Refusal{Reason: "noRoomInTime", RetryAfter: time.Second}, nil
	}
	address := pm.addresses[pm.given]
	pm.given++
	return proxy.Grant{Permit: protocol.Permit{Ticket: ask.Ticket, Upstream: ident.Upstream(address)}, Address: address}, nil, nil
}

func (pm *permits) Release(proxy.Grant, protocol.Done) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	pm.released++
}

const timeout = 400 * time.Millisecond

func state(t *testing.T) *desired.State {
	route := func(name string, kind desired.Kind) desired.Route {
		return desired.Route{Name: name, Prefix: "/" + name, Kind: kind, Timeout: timeout, Objective: timeout, Attempts: 2, Parts: []desired.Part{{Service: "s", Weight: 1}}}
	}
	byMethod := route("method", desired.Idempotent)
	byMethod.Methods, byMethod.BodyBytes = []string{http.MethodGet}, 8
	keyed := route("keyed", desired.Idempotent)
	keyed.Parts[0].Service = "k"
	st, err := desired.New(1, desired.Limits{}, []desired.Service{{Name: "s"}, {Name: "k", Keyed: true}},
		[]desired.Route{route("lookup", desired.Idempotent), route("order", desired.NonIdempotent), byMethod, keyed})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return st
}

// refusedAddress is one at which nobody listens.
func refusedAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(ln.Close()).To(Succeed())
	return ln.Addr().String()
}

// TestEnds asks of every way in which a request can end what its caller is
// told, how often it ran, and that each permit is given back.
func TestEnds(t *testing.T) {
	const notRun, mayHaveRun = "not-run", "may-have-run"
	cases := map[string]struct {
		path string
		// first and second do what is listed; a missing one is not reachable.
		first, second []act
		status        int
		verdict       string
		runs          int
	}{
		"answered":                              {"/lookup", []act{answers}, nil, 200, "", 1},
		"upstream's own failure is delivered":   {"/lookup", []act{fails}, []act{answers}, 500, "", 1},
		"refused lookup goes elsewhere":         {"/lookup", []act{refuses}, []act{answers}, 200, "", 1},
		"refused order goes elsewhere":          {"/order", []act{refuses}, []act{answers}, 200, "", 1},
		"order refused twice has not run":       {"/order", []act{refuses}, []act{refuses}, 503, notRun, 0},
		"disowned order goes to the next owner": {"/order", []act{disowns}, []act{answers}, 200, "", 1},
		"broken lookup goes elsewhere":          {"/lookup", []act{breaks}, []act{answers}, 200, "", 2},
		"broken order is not sent again":        {"/order", []act{breaks}, []act{answers}, 502, mayHaveRun, 1},
		"broken lookup, refused elsewhere":      {"/lookup", []act{breaks}, []act{refuses}, 502, mayHaveRun, 1},
		"broken twice":                          {"/lookup", []act{breaks}, []act{breaks}, 502, mayHaveRun, 2},
		"unsigned answer to an order":           {"/order", []act{forges}, []act{answers}, 502, mayHaveRun, 1},
		"unsigned answer to a lookup":           {"/lookup", []act{forges}, []act{answers}, 200, "", 2},
		"silent upstream and an order":          {"/order", []act{hangs}, []act{answers}, 504, mayHaveRun, 1},
		"order that reached nobody goes on":     {"/order", nil, []act{answers}, 200, "", 1},
		"lookup that reached nobody":            {"/lookup", nil, nil, 503, notRun, 0},
		"a method that may not be repeated":     {"/method", []act{breaks}, []act{answers}, 502, mayHaveRun, 1},
		"no route":                              {"/other", []act{answers}, nil, 404, notRun, 0},
		"no key":                                {"/keyed", []act{answers}, nil, 400, notRun, 0},
		"body above the route's":                {"/method-large", []act{answers}, nil, 413, notRun, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			pm := &permits{}
			var ups []*upstream
			for _, acts := range [][]act{tc.first, tc.second} {
				if acts == nil {
					pm.addresses = append(pm.addresses, refusedAddress(t))
					continue
				}
				up := start(t, acts...)
				ups = append(ups, up)
				pm.addresses = append(pm.addresses, up.server.Listener.Addr().String())
			}
			var end proxy.End
			links := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
			defer links.Close()
			st := state(t)
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: pm, Transport: links, CallerHeaders: dialect{}, UpstreamHeaders: dialect{},
				Budget:  proxy.NewBudget(1, func() float64 { return 10 }),
				Observe: func(en proxy.End) { end = en }, Arrived: func(ident.Service, keyspace.Key) {},
			})
			rq := &httpserver.Request{Method: http.MethodPost, URI: tc.path, Header: http.Header{"Id": {"r1"}}, Arrived: time.Now()}
			if tc.path == "/method-large" {
				rq.Body, rq.Length = make([]byte, 9), 9
			}
			rs := px.Serve(t.Context(), rq)
			gm.Expect(rs).NotTo(BeNil())
			gm.Expect(rs.Status).To(Equal(tc.status), "%+v", end)
			gm.Expect(rs.Header.Get("Verdict")).To(Equal(tc.verdict))
			gm.Expect(end.Status).To(Equal(tc.status))
			runs := 0
			for _, up := range ups {
				runs += up.ran()
			}
			gm.Expect(runs).To(Equal(tc.runs))
			gm.Expect(pm.released).To(Equal(pm.given))
			if tc.status == http.StatusServiceUnavailable {
				gm.Expect(rs.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
			gm.Expect(time.Since(rq.Arrived)).To(BeNumerically("<", timeout+250*time.Millisecond))
		})
	}
}

// TestBudgetEndsRepeats asks that no more is sent again than the budget allows,
// whatever the upstreams do.
func TestBudgetEndsRepeats(t *testing.T) {
	gm := NewWithT(t)
	up := start(t, breaks)
	address := up.server.Listener.Addr().String()
	links := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
	defer links.Close()
	st := state(t)
	const requests, allowance = 20, 8
	pm := &permits{}
	for range 2 * requests {
		pm.addresses = append(pm.addresses, address)
	}
	px := proxy.New(proxy.Config{
		State: func() *desired.State { return st }, Permits: pm, Transport: links, CallerHeaders: dialect{}, UpstreamHeaders: dialect{},
		Budget:  proxy.NewBudget(0, func() float64 { return allowance }),
		Observe: func(proxy.End) {}, Arrived: func(ident.Service, keyspace.Key) {},
	})
	for range requests {
		px.Serve(t.Context(), &httpserver.Request{Method: http.MethodGet, URI: "/lookup", Header: http.Header{"Id": {"r"}}, Arrived: time.Now()})
	}
	gm.Expect(up.ran() - requests).To(BeNumerically("<=", allowance))
	gm.Expect(up.ran()).To(BeNumerically(">", requests))
}
