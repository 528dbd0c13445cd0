package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/entry"
	"chervilwalk/internal/serving/verdict"
	"chervilwalk/internal/stand/timeline"
)

// answerText is the body of a small answer.
const answerText = "batch 4711: opened, 31 days left"

// servingProbes measure what a request costs at each place of its path.
func servingProbes() []Probe {
	requests := []int{2000, 5000, 10000, 20000, 40000}
	return []Probe{
		{Name: "entryCpu", Unit: "ns", Per: "request", Role: "entry", Sizes: requests, Measure: entryCPU},
		{Name: "hopCpu", Unit: "ns", Per: "request", Role: "entry and holder", Sizes: requests, Measure: hopCPU},
		{Name: "hopBytes", Unit: "bytes", Per: "connection", Role: "entry and holder", Sizes: []int{10, 20, 50, 100}, Measure: hopBytes},
		{Name: "admissionCpu", Unit: "ns", Per: "request", Role: "pool holder", Sizes: []int{20000, 50000, 100000, 200000}, Measure: admissionCPU},
		{Name: "dispatchCpu", Unit: "ns", Per: "request", Role: "pool holder", Sizes: requests, Measure: dispatchCPU},
		{Name: "queuedBytes", Unit: "bytes", Per: "queued request", Role: "pool holder", Sizes: []int{500, 1000, 2000, 4000}, Measure: queuedBytes},
	}
}

// instantAnswer is an answer that costs nothing to make.
func instantAnswer() *dispatch.Answer {
	return &dispatch.Answer{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"text/plain"}},
		Length: int64(len(answerText)),
		Body:   io.NopCloser(strings.NewReader(answerText)),
	}
}

// instantRouter answers each call at once.
type instantRouter struct {
	bundle *bundle.Bundle
}

// Bundle implements entry.Router.
func (ir instantRouter) Bundle() *bundle.Bundle { return ir.bundle }

// Route implements entry.Router.
func (instantRouter) Route(context.Context, *bundle.Service, *inner.Call) (*dispatch.Answer, error) {
	return instantAnswer(), nil
}

// Health implements entry.Router.
func (instantRouter) Health() (healthy bool, state string) { return true, "serving" }

// instantService answers each call at once at the far end of the hop.
type instantService struct{ inner.Service }

// Serve implements inner.Service.
func (instantService) Serve(context.Context, *inner.Call) (*dispatch.Answer, error) {
	return instantAnswer(), nil
}

// entryCPU is the cost of taking a request and writing its answer, less what
// the caller's side costs on the same machine is not known: it counts both.
func entryCPU(size int) (float64, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	en := entry.New(instantRouter{bundle: stock(shape{domains: 1, hosts: 1, upstreams: 1, slices: 64})})
	done := make(chan error, 1)
	go func() { done <- en.Serve(ls) }()
	cost, err := cpuNanos(func() error { return ask(ls.Addr().String(), size) })
	if err != nil {
		return 0, err
	}
	if err := en.Close(context.Background()); err != nil {
		return 0, err
	}
	return cost, <-done
}

func ask(address string, size int) error {
	client := &fasthttp.HostClient{Addr: address}
	defer client.CloseIdleConnections()
	rq, rs := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(rq)
	defer fasthttp.ReleaseResponse(rs)
	for ix := range size {
		rq.SetRequestURI(fmt.Sprintf("http://%s/lookup/batch-%d", address, ix))
		if err := client.Do(rq, rs); err != nil {
			return err
		}
		if rs.StatusCode() != http.StatusOK {
			return fmt.Errorf("status %d", rs.StatusCode())
		}
	}
	return nil
}

// stockCall is a small lookup on its way over the hop.
func stockCall(ix int) *inner.Call {
	return &inner.Call{
		ID:         ident.Request(fmt.Sprintf("request-%020d", ix)),
		Pool:       "lookup@domain-1#0",
		Service:    "lookup",
		Key:        ident.Key(fmt.Sprintf("batch-%d", ix)),
		Method:     http.MethodGet,
		Path:       "/lookup/batch",
		Header:     http.Header{"Accept": {"*/*"}, "User-Agent": {"workshop/1.0"}},
		Idempotent: true,
		Deadline:   time.Now().Add(time.Minute),
	}
}

// startHop runs the far end of the hop.
func startHop() (address string, closeHop func(), err error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := inner.NewServer(instantService{})
	go func() { _ = server.Serve(ls) }()
	return ls.Addr().String(), func() { _ = server.Close() }, nil
}

// hopCPU is the cost of both ends of the hop between two nodes.
func hopCPU(size int) (float64, error) {
	address, closeHop, err := startHop()
	if err != nil {
		return 0, err
	}
	defer closeHop()
	pe := inner.NewPeer(address)
	defer pe.Close()
	return cpuNanos(func() error {
		for ix := range size {
			if err := forward(pe, ix); err != nil {
				return err
			}
		}
		return nil
	})
}

func forward(pe *inner.Peer, ix int) error {
	answer, err := pe.Forward(context.Background(), stockCall(ix))
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	return answer.Body.Close()
}

// hopBytes is the live heap of both ends of idle connections between nodes.
func hopBytes(size int) (float64, error) {
	address, closeHop, err := startHop()
	if err != nil {
		return 0, err
	}
	defer closeHop()
	var peers []*inner.Peer
	cost := heapBytes(func() any {
		for ix := range size {
			pe := inner.NewPeer(address)
			if err = forward(pe, ix); err != nil {
				return nil
			}
			peers = append(peers, pe)
		}
		return peers
	})
	for _, pe := range peers {
		pe.Close()
	}
	return cost, err
}

// stockPool is one pool of a made-up fleet with all its grants.
func stockPool(upstreams int, slices uint32) (bundle.Pool, authority.View) {
	bn := stock(shape{domains: 1, hosts: 1, upstreams: upstreams, slices: slices})
	pl := bn.Services[0].Pools()[0]
	vw := authority.View{
		Pool:   pl.Name,
		Until:  clock.Never,
		Owners: map[ident.Slice]ident.Upstream{},
		Grants: map[ident.Upstream]authority.Grant{},
	}
	for _, up := range pl.Upstreams {
		vw.Grants[up.Name] = authority.Grant{Until: clock.Never, Incarnation: "1"}
	}
	for sl := range ident.Slice(slices) {
		vw.Owners[sl] = pl.Upstreams[int(sl)%len(pl.Upstreams)].Name
	}
	return pl, vw
}

// admitter is an admission core of any policy.
type admitter interface {
	Update(now clock.Instant, msg admission.Msg) []admission.Cmd
}

// counter runs an admission core over upstreams that answer after one service
// time, and counts the outcomes.
type counter struct {
	core     admitter
	line     *timeline.Line
	sent     int
	answered int
}

// admissionTick is how often the core is told the time, as the node does.
const admissionTick = 5 * time.Millisecond

func newCounter(upstreams int) *counter {
	pl, vw := stockPool(upstreams, 256)
	ct := &counter{core: admission.New(pl), line: timeline.New()}
	ct.take(admission.ViewMsg{View: vw})
	return ct
}

func (ct *counter) take(msg admission.Msg) {
	for _, cmd := range ct.core.Update(ct.line.Now(), msg) {
		switch cm := cmd.(type) {
		case admission.DispatchCmd:
			ct.line.After(serviceTime, func() {
				ct.take(admission.DoneMsg{ID: cm.ID, Upstream: cm.Upstream, Verdict: verdict.Ran})
			})
		case admission.AnswerCmd:
			ct.answered++
		}
	}
}

// serviceTime is the upstreams' time for one request in the probes.
const serviceTime = 4 * time.Millisecond

// run sends requests at a share of the upstreams' capacity.
func (ct *counter) run(count, upstreams int, load float64) {
	gap := time.Duration(float64(serviceTime) / (load * float64(2*upstreams)))
	tick := ct.line.Now()
	for range count {
		ct.line.RunUntil(ct.line.Now().Add(gap))
		for tick < ct.line.Now() {
			tick = tick.Add(admissionTick)
			ct.take(admission.TickMsg{})
		}
		ct.sent++
		ct.take(admission.ArriveMsg{Request: admission.Request{
			ID: ident.Request(fmt.Sprint(ct.sent)), Keyed: true, Slice: ident.Slice(uint32(ct.sent) * 7 % 256),
			Idempotent: true, Deadline: ct.line.Now().Add(time.Second),
		}})
	}
	ct.line.RunUntil(ct.line.Now().Add(time.Second))
}

// admissionCPU is the cost of the admission core: arrival, dispatch and end, at
// a load of 0.7 after the upstreams have warmed up.
func admissionCPU(size int) (float64, error) {
	upstreams := bundle.MaxPoolUpstreams
	ct := newCounter(upstreams)
	ct.run(20*upstreams, upstreams, 0.1)
	warm := ct.answered
	cost, err := cpuNanos(func() error {
		ct.run(size, upstreams, Assumed().Load)
		return nil
	})
	if served := ct.answered - warm; err == nil && served != size {
		err = fmt.Errorf("%d of %d requests answered", served, size)
	}
	return cost, err
}

// dispatchCPU is the cost of one exchange with an upstream, both ends.
func dispatchCPU(size int) (float64, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(rw, answerText)
		}),
	}
	go func() { _ = server.Serve(ls) }()
	defer func() { _ = server.Close() }()
	lane := dispatch.New(ls.Addr().String())
	defer lane.Close()
	return cpuNanos(func() error {
		for range size {
			if err := exchangeOnce(lane); err != nil {
				return err
			}
		}
		return nil
	})
}

func exchangeOnce(lane *dispatch.Lane) error {
	rq, err := http.NewRequest(http.MethodGet, "http://lookup/lookup/batch", nil)
	if err != nil {
		return err
	}
	answer, err := lane.Do(context.Background(), rq)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	return answer.Body.Close()
}

// queuedBytes is the live heap of requests that wait in a pool's queue.
func queuedBytes(size int) (float64, error) {
	pl, _ := stockPool(bundle.MaxPoolUpstreams, 256)
	co := admission.New(pl)
	cost := heapBytes(func() any {
		for ix := range size {
			co.Update(0, admission.ArriveMsg{Request: admission.Request{
				ID: ident.Request(fmt.Sprintf("request-%020d", ix)), Keyed: true, Slice: ident.Slice(ix % 256),
				Deadline: clock.Instant(time.Minute),
			}})
		}
		return co
	})
	return cost, nil
}
