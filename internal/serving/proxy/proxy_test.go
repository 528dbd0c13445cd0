package proxy_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/internal/serving/verdict"
)

// testHeaders implements both header interfaces with the fewest fields possible.
type testHeaders struct{}

func (testHeaders) DecodeRequest(rq *httpserver.Request, sv desired.Service) (proxy.RequestInfo, error) {
	return proxy.RequestInfo{Request: ident.Request(rq.Header.Get("Id")), Keyed: sv.Keyed && rq.Header.Get("Key") != ""}, nil
}

func (testHeaders) RewriteAnswer(http.Header, proxy.RequestInfo, ident.Upstream) {}

func (testHeaders) SetRefusal(hd http.Header, _ proxy.RequestInfo, vd verdict.Verdict, retryAfter time.Duration) {
	hd.Set("Verdict", vd.String())
	if retryAfter > 0 {
		hd.Set("Retry-After", retryAfter.String())
	}
}

func (testHeaders) SetRequest(hd http.Header, _ proxy.RequestInfo, _ ident.Upstream, left time.Duration) {
	hd.Set("Left", left.String())
}

func (testHeaders) DecodeReport(_ int, hd http.Header) proxy.Report {
	rp := proxy.Report{HasSignature: hd.Get("Seal") != "", NotRun: hd.Get("Not-Run") != "", Leaving: hd.Get("Leaving") != ""}
	rp.Pause, _ = time.ParseDuration(hd.Get("Pause"))
	if number, err := strconv.ParseFloat(hd.Get("Limit"), 64); err == nil {
		rp.Limit = rate.At(rate.PerSecond(number))
	}
	return rp
}

// behavior is how an upstream treats one request.
type behavior int

const (
	answers behavior = iota
	fails
	refuses
	disowns
	breaks
	leavesUnsigned
	hangs
)

// upstream treats each request by the next of its behaviors, repeats the last one
// and counts the requests that it ran.
type upstream struct {
	server    *httptest.Server
	mu        sync.Mutex
	behaviors []behavior
	runs      int
}

func startUpstream(t *testing.T, behaviors ...behavior) *upstream {
	up := &upstream{behaviors: behaviors}
	up.server = httptest.NewServer(up)
	t.Cleanup(up.server.Close)
	return up
}

func (up *upstream) next() behavior {
	up.mu.Lock()
	defer up.mu.Unlock()
	bh := up.behaviors[0]
	if len(up.behaviors) > 1 {
		up.behaviors = up.behaviors[1:]
	}
	if bh != refuses && bh != disowns {
		up.runs++
	}
	return bh
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
	case leavesUnsigned:
	case hangs:
		<-rq.Context().Done()
	}
}

// permits issues permits for the addresses in turn and then refuses.
type permits struct {
	mu        sync.Mutex
	addresses []string
	issued    int
	released  int
	// outcomes are those of the released permits.
	outcomes []permit.Outcome
	// watched is what the permits say.
	watched bool
	// onRelease may be nil.
	onRelease func()
}

func (pm *permits) Acquire(_ context.Context, ask protocol.Ask) (proxy.Permit, *protocol.Refusal, error) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	if pm.issued == len(pm.addresses) {
		return proxy.Permit{}, &protocol.Refusal{Reason: "noRoomInTime", RetryAfter: time.Second}, nil
	}
	address := pm.addresses[pm.issued]
	pm.issued++
	return proxy.Permit{Permit: protocol.Permit{Ticket: ask.Ticket, Upstream: ident.Upstream(address), Watched: pm.watched}, Address: address}, nil, nil
}

func (pm *permits) Release(_ proxy.Permit, done protocol.Done) {
	pm.mu.Lock()
	defer pm.mu.Unlock()
	pm.released++
	pm.outcomes = append(pm.outcomes, permit.Outcome(done.Outcome))
	if pm.onRelease != nil {
		pm.onRelease()
	}
}

const timeout = 400 * time.Millisecond

func state(t *testing.T) *desired.State {
	route := func(name string, kind desired.Kind) desired.Route {
		return desired.Route{Name: name, Prefix: "/" + name, Kind: kind, Timeout: timeout, Objective: timeout, Attempts: 2, Destinations: []desired.Destination{{Service: "s", Weight: 1}}}
	}
	byMethod := route("method", desired.Idempotent)
	byMethod.Methods, byMethod.BodyBytes = []string{http.MethodGet}, 8
	keyed := route("keyed", desired.Idempotent)
	keyed.Destinations[0].Service = "k"
	st, err := desired.New(1, desired.Limits{}, []desired.Service{{Name: "s"}, {Name: "k", Keyed: true}}, []desired.Route{
		route("lookup", desired.Idempotent), route("order", desired.NonIdempotent), route("upload", desired.Upload), byMethod, keyed,
		{Prefix: "/lookup/malformed", Malformed: true},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return st
}

// closedAddress returns an address on which no process listens.
func closedAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(ln.Close()).To(Succeed())
	return ln.Addr().String()
}

// TestOutcomes checks for each way in which a request can end the response to its
// caller, how often it ran, and that every permit is released.
func TestOutcomes(t *testing.T) {
	const notRun, mayHaveRun = "not-run", "may-have-run"
	cases := map[string]struct {
		path string
		// first and second are the behaviors of the two upstreams; nil means that
		// the upstream cannot be reached.
		first, second []behavior
		status        int
		verdict       string
		runs          int
	}{
		"answered":                                                {"/lookup", []behavior{answers}, nil, 200, "", 1},
		"signed failure is passed on":                             {"/lookup", []behavior{fails}, []behavior{answers}, 500, "", 1},
		"refused lookup is retried":                               {"/lookup", []behavior{refuses}, []behavior{answers}, 200, "", 1},
		"refused order is retried":                                {"/order", []behavior{refuses}, []behavior{answers}, 200, "", 1},
		"order refused twice has not run":                         {"/order", []behavior{refuses}, []behavior{refuses}, 503, notRun, 0},
		"disowned order is sent to the next owner":                {"/order", []behavior{disowns}, []behavior{answers}, 200, "", 1},
		"lookup is retried after a broken connection":             {"/lookup", []behavior{breaks}, []behavior{answers}, 200, "", 2},
		"order is not retried after a broken connection":          {"/order", []behavior{breaks}, []behavior{answers}, 502, mayHaveRun, 1},
		"lookup is refused after a broken connection":             {"/lookup", []behavior{breaks}, []behavior{refuses}, 502, mayHaveRun, 1},
		"connection breaks twice":                                 {"/lookup", []behavior{breaks}, []behavior{breaks}, 502, mayHaveRun, 2},
		"unsigned answer to an order":                             {"/order", []behavior{leavesUnsigned}, []behavior{answers}, 502, mayHaveRun, 1},
		"unsigned answer to a lookup":                             {"/lookup", []behavior{leavesUnsigned}, []behavior{answers}, 200, "", 2},
		"upstream does not answer an order":                       {"/order", []behavior{hangs}, []behavior{answers}, 504, mayHaveRun, 1},
		"order is retried when the first upstream is unreachable": {"/order", nil, []behavior{answers}, 200, "", 1},
		"no upstream is reachable for a lookup":                   {"/lookup", nil, nil, 503, notRun, 0},
		"method that may not be repeated":                         {"/method", []behavior{breaks}, []behavior{answers}, 502, mayHaveRun, 1},
		"upload is not retried after a broken connection":         {"/upload", []behavior{breaks}, []behavior{answers}, 502, mayHaveRun, 1},
		"malformed route":                                         {"/lookup/malformed/1", []behavior{answers}, nil, 503, notRun, 0},
		"no route":                                                {"/other", []behavior{answers}, nil, 404, notRun, 0},
		"no key":                                                  {"/keyed", []behavior{answers}, nil, 400, notRun, 0},
		"body exceeds the route's limit":                          {"/method-large", []behavior{answers}, nil, 413, notRun, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			pm := &permits{}
			var ups []*upstream
			for _, behaviors := range [][]behavior{tc.first, tc.second} {
				if behaviors == nil {
					pm.addresses = append(pm.addresses, closedAddress(t))
					continue
				}
				up := startUpstream(t, behaviors...)
				ups = append(ups, up)
				pm.addresses = append(pm.addresses, up.server.Listener.Addr().String())
			}
			var end proxy.End
			pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
			defer pl.Close()
			st := state(t)
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: pm, Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
				Budget: proxy.NewBudget(1, func() float64 { return 10 }),
				OnEnd:  func(en proxy.End) { end = en }, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
				OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
				OnCrash: func(proxy.Permit, ident.Fingerprint) {}, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) {},
				Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
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
			gm.Expect(pm.released).To(Equal(pm.issued))
			if tc.status == http.StatusServiceUnavailable {
				gm.Expect(rs.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
			gm.Expect(time.Since(rq.Arrived)).To(BeNumerically("<", timeout+250*time.Millisecond))
		})
	}
}

// TestLateRequestsDoNotRun guards against requests that a stopping host sends to an upstream and
// cannot answer any more.
func TestLateRequestsDoNotRun(t *testing.T) {
	gm := NewWithT(t)
	st, pm := state(t), &permits{addresses: []string{closedAddress(t)}}
	var end proxy.End
	px := proxy.New(proxy.Config{
		State: func() *desired.State { return st }, Permits: pm, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
		Budget: proxy.NewBudget(1, func() float64 { return 10 }),
		OnEnd:  func(en proxy.End) { end = en }, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
		Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
	})
	rs := px.Serve(t.Context(), &httpserver.Request{Method: http.MethodPost, URI: "/order", Header: http.Header{"Id": {"r1"}}, Arrived: time.Now(), Late: true})
	gm.Expect(rs.Status).To(Equal(http.StatusServiceUnavailable))
	gm.Expect(rs.Header.Get("Verdict")).To(Equal(verdict.NotRun.String()))
	gm.Expect(rs.Header.Get("Retry-After")).NotTo(BeEmpty())
	gm.Expect(end.Cause).To(Equal("stopping"))
	gm.Expect(pm.issued).To(BeZero())
}

// TestServerEnds guards against callers whose connections are closed without an answer, as their
// requests are not done when a stopping host ends, and against answers that promise more than is known.
func TestServerEnds(t *testing.T) {
	const notRun, mayHaveRun = "not-run", "may-have-run"
	cases := map[string]struct {
		path string
		// first is what the first upstream does before the request waits for a permit; with hangs it
		// does not end.
		first   behavior
		watched bool
		status  int
		verdict string
		runs    int
	}{
		"a lookup waits for a permit":              {"/lookup", refuses, false, 503, notRun, 0},
		"an order waits for a permit":              {"/order", refuses, false, 503, notRun, 0},
		"a lookup that has run waits for a permit": {"/lookup", breaks, false, 502, mayHaveRun, 1},
		"a lookup runs":                            {"/lookup", hangs, false, 502, mayHaveRun, 1},
		"an order runs":                            {"/order", hangs, false, 502, mayHaveRun, 1},
		"a watched lookup runs":                    {"/lookup", hangs, true, 502, mayHaveRun, 1},
		"a watched order runs":                     {"/order", hangs, true, 502, mayHaveRun, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			up := startUpstream(t, tc.first)
			pm := &waitingPermits{permits: permits{addresses: []string{up.server.Listener.Addr().String()}, watched: tc.watched}}
			var end proxy.End
			pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
			defer pl.Close()
			st := state(t)
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: pm, Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
				Budget: proxy.NewBudget(1, func() float64 { return 10 }),
				OnEnd:  func(en proxy.End) { end = en }, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
				OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
				OnCrash: func(proxy.Permit, ident.Fingerprint) {}, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) {},
				Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			const endsAfter = 100 * time.Millisecond
			time.AfterFunc(endsAfter, func() { cancel(httpserver.ErrEnding) })
			rq := &httpserver.Request{Method: http.MethodPost, URI: tc.path, Header: http.Header{"Id": {"r1"}}, Arrived: time.Now()}
			rs := px.Serve(ctx, rq)
			gm.Expect(time.Since(rq.Arrived)).To(BeNumerically("<", endsAfter+150*time.Millisecond))
			gm.Expect(rs).NotTo(BeNil())
			gm.Expect(rs.Status).To(Equal(tc.status))
			gm.Expect(rs.Header.Get("Verdict")).To(Equal(tc.verdict))
			gm.Expect(rs.Header.Get("Retry-After") != "").To(Equal(tc.status == http.StatusServiceUnavailable))
			gm.Expect(end.Cause).To(Equal("stopping"))
			gm.Expect(up.ran()).To(Equal(tc.runs))
			gm.Expect(pm.released).To(Equal(1))
		})
	}
}

// TestDeadlineAtStop guards against requests that an upstream begins to run, or keeps in its queue,
// when the stopping host that has sent them can pass on no answer any more.
func TestDeadlineAtStop(t *testing.T) {
	const endsAfter = 200 * time.Millisecond
	// onTheWay is how long the upstream's answer takes at least.
	const onTheWay = 2 * time.Millisecond
	cases := map[string]struct {
		stopping bool
		// silent upstreams never answer.
		silent bool
		// endsAfter is how long after the request's arrival the host ends its requests.
		endsAfter time.Duration
		// most is the most time that the upstream is told to have.
		most time.Duration
	}{
		"the host does not stop":       {most: timeout},
		"it stops later":               {stopping: true, endsAfter: 2 * timeout, most: timeout},
		"it stops before the deadline": {stopping: true, endsAfter: endsAfter, most: endsAfter - onTheWay},
		"and no answer comes":          {stopping: true, silent: true, endsAfter: endsAfter, most: endsAfter - onTheWay},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			left := make(chan time.Duration, 1)
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
				span, err := time.ParseDuration(rq.Header.Get("Left"))
				if err == nil {
					left <- span
				}
				if tc.silent {
					<-rq.Context().Done()
					return
				}
				time.Sleep(span / 2)
				rw.Header().Set("Id", rq.Header.Get("Id"))
				rw.Header().Set("Not-Run", "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(server.Close)
			pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
			defer pl.Close()
			st, pm, endsAt := state(t), &permits{addresses: []string{server.Listener.Addr().String()}}, time.Time{}
			if tc.stopping {
				endsAt = time.Now().Add(tc.endsAfter)
			}
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: pm, Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
				Budget: proxy.NewBudget(1, func() float64 { return 10 }),
				OnEnd:  func(proxy.End) {}, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
				OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
				OnCrash: func(proxy.Permit, ident.Fingerprint) {}, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) {},
				Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return endsAt },
			})
			rq := &httpserver.Request{Method: http.MethodPost, URI: "/order", Header: http.Header{"Id": {"r1"}}, Arrived: time.Now()}
			rs := px.Serve(t.Context(), rq)
			took, told := time.Since(rq.Arrived), <-left
			gm.Expect(took).To(BeNumerically("<", tc.most+150*time.Millisecond))
			gm.Expect(told).To(And(BeNumerically("<=", tc.most), BeNumerically(">", tc.most-100*time.Millisecond)))
			if tc.silent {
				gm.Expect(rs.Status).To(Equal(http.StatusGatewayTimeout))
				gm.Expect(rs.Header.Get("Verdict")).To(Equal(verdict.MayHaveRun.String()))
				gm.Expect(took).To(BeNumerically(">=", told+onTheWay), "an answer at the end of its time is still awaited")
				return
			}
			gm.Expect(rs.Status).To(Equal(http.StatusServiceUnavailable))
			gm.Expect(rs.Header.Get("Verdict")).To(Equal(verdict.NotRun.String()))
		})
	}
}

// waitingPermits issues its permits and then none, until the context ends.
type waitingPermits struct{ permits }

// Acquire implements proxy.Permits.
func (wp *waitingPermits) Acquire(ctx context.Context, ask protocol.Ask) (proxy.Permit, *protocol.Refusal, error) {
	wp.mu.Lock()
	none := wp.issued == len(wp.addresses)
	wp.mu.Unlock()
	if none {
		<-ctx.Done()
		return proxy.Permit{}, nil, ctx.Err()
	}
	return wp.permits.Acquire(ctx, ask)
}

// slowPermits issues the first permit late.
type slowPermits struct {
	permits
	first time.Duration
}

func (sp *slowPermits) Acquire(ctx context.Context, ask protocol.Ask) (proxy.Permit, *protocol.Refusal, error) {
	time.Sleep(sp.first)
	sp.first = 0
	return sp.permits.Acquire(ctx, ask)
}

// TestRefusedAfter guards against a refusal that seems late, since the request had waited for an
// attempt before, and against a late one that does not, since an attempt came before it.
func TestRefusedAfter(t *testing.T) {
	const first = timeout / 4
	cases := map[string]struct {
		attempts int
		cause    string
		refused  bool
	}{
		"its next permit is refused": {1, "noRoomInTime", true},
		"no attempt is left":         {2, "unreached", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			var end proxy.End
			pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
			t.Cleanup(pl.Close)
			st := state(t)
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: &slowPermits{permits: permits{addresses: slices.Repeat([]string{closedAddress(t)}, tc.attempts)}, first: first},
				Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
				Budget: proxy.NewBudget(1, func() float64 { return 10 }),
				OnEnd:  func(en proxy.End) { end = en }, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
				Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
			})
			rs := px.Serve(t.Context(), &httpserver.Request{Method: http.MethodPost, URI: "/order", Header: http.Header{"Id": {"r1"}}, Arrived: time.Now()})
			gm.Expect(rs).NotTo(BeNil())
			gm.Expect(rs.Status).To(Equal(http.StatusServiceUnavailable), "%+v", end)
			gm.Expect(end.Cause).To(Equal(tc.cause))
			gm.Expect(end.Attempts).To(Equal(tc.attempts))
			gm.Expect(end.Waited).To(BeNumerically(">=", first))
			gm.Expect(end.RefusedAfter > 0).To(Equal(tc.refused))
			gm.Expect(end.RefusedAfter).To(BeNumerically("<", first))
		})
	}
}

// TestBudgetBoundsRetries checks that retries stay within the budget when every
// attempt fails.
func TestBudgetBoundsRetries(t *testing.T) {
	gm := NewWithT(t)
	up := startUpstream(t, breaks)
	address := up.server.Listener.Addr().String()
	pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
	defer pl.Close()
	st := state(t)
	const requests, allowance = 20, 8
	pm := &permits{}
	for range 2 * requests {
		pm.addresses = append(pm.addresses, address)
	}
	px := proxy.New(proxy.Config{
		State: func() *desired.State { return st }, Permits: pm, Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
		Budget: proxy.NewBudget(0, func() float64 { return allowance }),
		OnEnd:  func(proxy.End) {}, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
		OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
		OnCrash: func(proxy.Permit, ident.Fingerprint) {}, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) {},
		Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
	})
	for range requests {
		px.Serve(t.Context(), &httpserver.Request{Method: http.MethodGet, URI: "/lookup", Header: http.Header{"Id": {"r"}}, Arrived: time.Now()})
	}
	gm.Expect(up.ran() - requests).To(BeNumerically("<=", allowance))
	gm.Expect(up.ran()).To(BeNumerically(">", requests))
}

// TestAnnouncements checks that what an upstream says about further requests is passed on
// before its permit is released, but not what another one at its address says.
func TestAnnouncements(t *testing.T) {
	cases := map[string]struct {
		status int
		header http.Header
		want   []string
	}{
		"leaving":                    {200, http.Header{"Seal": {"s"}, "Leaving": {"1"}}, []string{"leaving", "no limit", "released"}},
		"pause":                      {503, http.Header{"Not-Run": {"1"}, "Pause": {"2s"}}, []string{"pause 2s", "no limit", "released"}},
		"both":                       {503, http.Header{"Not-Run": {"1"}, "Pause": {"2s"}, "Leaving": {"1"}}, []string{"leaving", "pause 2s", "no limit", "released"}},
		"limit":                      {200, http.Header{"Seal": {"s"}, "Limit": {"2.5"}}, []string{"limit 2.5", "released"}},
		"limit in a refusal":         {503, http.Header{"Not-Run": {"1"}, "Limit": {"2.5"}}, []string{"limit 2.5", "released"}},
		"limit in a spoiled answer":  {200, http.Header{"Limit": {"2.5"}}, []string{"limit 2.5", "released"}},
		"spoiled answer":             {200, http.Header{}, []string{"released"}},
		"nothing":                    {200, http.Header{"Seal": {"s"}}, []string{"no limit", "released"}},
		"another upstream's address": {421, http.Header{"Not-Run": {"1"}, "Leaving": {"1"}, "Limit": {"1"}}, []string{"released"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				maps.Copy(rw.Header(), tc.header)
				rw.WriteHeader(tc.status)
			}))
			t.Cleanup(server.Close)
			var seen []string
			pm := &permits{addresses: []string{server.Listener.Addr().String()}, onRelease: func() { seen = append(seen, "released") }}
			pl := transport.New(func(http.Header) ident.Request { return "" })
			t.Cleanup(pl.Close)
			st := state(t)
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: pm, Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
				Budget: proxy.NewBudget(0, func() float64 { return 0 }),
				OnEnd:  func(proxy.End) {}, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
				OnLeaving: func(ident.Upstream) { seen = append(seen, "leaving") },
				OnPause:   func(_ proxy.Permit, pause time.Duration) { seen = append(seen, "pause "+pause.String()) },
				OnCrash:   func(proxy.Permit, ident.Fingerprint) {}, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) {},
				Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
				OnLimit: func(_ proxy.Permit, _ time.Time, limit rate.Limit, _ error) {
					seen = append(seen, "no limit")
					if limit.Named {
						seen[len(seen)-1] = fmt.Sprint("limit ", limit.PerSecond)
					}
				},
			})
			px.Serve(t.Context(), &httpserver.Request{Method: http.MethodGet, URI: "/lookup", Header: http.Header{"Id": {"r"}}, Arrived: time.Now()})
			gm.Expect(seen).To(Equal(tc.want))
		})
	}
}

// TestLongAnswers checks when the permit of an answer that is passed on while it is read
// is released, and that one that is not passed on is not read either: its upstream may
// send bytes until the connection is closed.
func TestLongAnswers(t *testing.T) {
	cases := map[string]struct {
		header http.Header
		status int
		// passedOn reports whether the caller gets the answer.
		passedOn bool
	}{
		"signed":   {http.Header{"Seal": {"s"}}, 200, true},
		"failed":   {http.Header{"Seal": {"s"}}, 500, true},
		"unsigned": {http.Header{}, 200, false},
		"refused":  {http.Header{"Not-Run": {"1"}}, 503, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			closed := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				defer close(closed)
				maps.Copy(rw.Header(), tc.header)
				rw.WriteHeader(tc.status)
				for {
					if _, err := rw.Write(make([]byte, 16<<10)); err != nil {
						return
					}
				}
			}))
			t.Cleanup(server.Close)
			pm := &permits{addresses: []string{server.Listener.Addr().String()}}
			pl := transport.New(func(http.Header) ident.Request { return "" })
			t.Cleanup(pl.Close)
			st := state(t)
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: pm, Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
				Budget: proxy.NewBudget(0, func() float64 { return 0 }),
				OnEnd:  func(proxy.End) {}, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
				OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
				OnCrash: func(proxy.Permit, ident.Fingerprint) {}, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) {},
				Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
			})
			rs := px.Serve(t.Context(), &httpserver.Request{Method: http.MethodGet, URI: "/lookup", Header: http.Header{"Id": {"r"}}, Arrived: time.Now()})
			gm.Expect(rs).NotTo(BeNil())
			gm.Expect(rs.Rest != nil).To(Equal(tc.passedOn))
			if tc.passedOn {
				gm.Expect(pm.released).To(BeZero(), "while the answer is read")
				gm.Expect(rs.Rest.Close()).To(Succeed())
			}
			gm.Expect(pm.released).To(Equal(1))
			gm.Eventually(closed, time.Second).Should(BeClosed())
		})
	}
}

// TestCrashDuringLongAnswer guards against an upstream that crashes under a request, again and again, and
// nobody learns of it, since a part of its answer was passed on.
func TestCrashDuringLongAnswer(t *testing.T) {
	cases := map[string]struct {
		path string
		// leaves means that the caller has left when the answer breaks off.
		leaves, want bool
	}{
		"lookup":                    {path: "/lookup", want: true},
		"lookup, its caller leaves": {path: "/lookup", leaves: true},
		"order":                     {path: "/order", want: true},
		"order, its caller leaves":  {path: "/order", leaves: true, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			crash := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
				rw.Header().Set("Id", rq.Header.Get("Id"))
				rw.Header().Set("Seal", "s")
				_, _ = rw.Write(make([]byte, 2*transport.BufferBytes))
				_ = http.NewResponseController(rw).Flush()
				<-crash
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
			defer pl.Close()
			st, crashed := state(t), false
			pm := &permits{addresses: []string{server.Listener.Addr().String()}}
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: pm, Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
				Budget: proxy.NewBudget(1, func() float64 { return 10 }),
				OnEnd:  func(proxy.End) {}, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
				OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
				OnCrash: func(proxy.Permit, ident.Fingerprint) { crashed = true }, OnAnswer: func(proxy.Permit, ident.Fingerprint) {}, OnAbandoned: func(proxy.Permit, ident.Fingerprint) {},
				Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
			})
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			rs := px.Serve(ctx, &httpserver.Request{Method: http.MethodPost, URI: tc.path, Header: http.Header{"Id": {"r"}}, Arrived: time.Now()})
			gm.Expect(rs).NotTo(BeNil())
			gm.Expect(rs.Rest).NotTo(BeNil())
			if tc.leaves {
				leave()
			}
			close(crash)
			_, err := io.Copy(io.Discard, rs.Rest)
			gm.Expect(err).To(HaveOccurred())
			gm.Expect(rs.Rest.Close()).To(Succeed())
			gm.Expect(crashed).To(Equal(tc.want))
			gm.Expect(pm.outcomes).To(Equal([]permit.Outcome{permit.Broken}))
		})
	}
}

// TestCallerLeavesBeforeCrash guards against a crash that is not counted since its caller has left.
func TestCallerLeavesBeforeCrash(t *testing.T) {
	const crashDelay = 60 * time.Millisecond
	cases := map[string]struct {
		watched, crashes bool
		want             string
	}{
		"watched":                       {true, true, "crash"},
		"not watched":                   {false, true, "abandoned"},
		"watched, the upstream answers": {true, false, "answer"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
				time.Sleep(crashDelay)
				if tc.crashes {
					panic(http.ErrAbortHandler)
				}
				rw.Header().Set("Id", rq.Header.Get("Id"))
				rw.Header().Set("Seal", "s")
			}))
			t.Cleanup(server.Close)
			pl := transport.New(func(hd http.Header) ident.Request { return ident.Request(hd.Get("Id")) })
			defer pl.Close()
			st := state(t)
			var seen []string
			note := func(end string) func(proxy.Permit, ident.Fingerprint) {
				return func(proxy.Permit, ident.Fingerprint) { seen = append(seen, end) }
			}
			pm := &permits{addresses: []string{server.Listener.Addr().String()}, watched: tc.watched}
			px := proxy.New(proxy.Config{
				State: func() *desired.State { return st }, Permits: pm, Connections: pl, CallerHeaders: testHeaders{}, UpstreamHeaders: testHeaders{},
				Budget: proxy.NewBudget(1, func() float64 { return 10 }),
				OnEnd:  func(proxy.End) {}, OnKeyedRequest: func(ident.Service, keyspace.Key) {},
				OnLeaving: func(ident.Upstream) {}, OnPause: func(proxy.Permit, time.Duration) {}, OnLimit: func(proxy.Permit, time.Time, rate.Limit, error) {},
				OnCrash: note("crash"), OnAnswer: note("answer"), OnAbandoned: note("abandoned"),
				Suspect: func(ident.Fingerprint) bool { return false }, EndsAt: func() time.Time { return time.Time{} },
			})
			ctx, leave := context.WithTimeout(t.Context(), crashDelay/3)
			defer leave()
			px.Serve(ctx, &httpserver.Request{Method: http.MethodGet, URI: "/lookup", Header: http.Header{"Id": {"r"}}, Arrived: time.Now()})
			gm.Expect(seen).To(Equal([]string{tc.want}))
			gm.Expect(pm.released).To(Equal(1))
		})
	}
}

// TestMayBreakOff guards against requests that are sent to upstreams behind a download, which would
// end their connection if it broke off.
func TestMayBreakOff(t *testing.T) {
	st, err := desired.New(1, desired.Limits{}, []desired.Service{{Name: "s"}}, []desired.Route{
		{Name: "file", Prefix: "/file", Kind: desired.Download, Destinations: []desired.Destination{{Service: "s", Weight: 1}}},
		{Name: "lookup", Prefix: "/lookup", Kind: desired.Idempotent, Destinations: []desired.Destination{{Service: "s", Weight: 1}}},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	cases := map[string]struct {
		state *desired.State
		uri   string
		want  bool
	}{
		"a download":              {st, "/file/1", true},
		"a lookup":                {st, "/lookup/1", false},
		"no route":                {st, "/other", false},
		"before a state is known": {nil, "/file/1", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			px := proxy.New(proxy.Config{State: func() *desired.State { return tc.state }})
			NewWithT(t).Expect(px.MayBreakOff("", tc.uri)).To(Equal(tc.want))
		})
	}
}
