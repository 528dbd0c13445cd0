// Package gateway is the process that runs on every host: it takes callers'
// requests, hands out permits for the pools that fall to it, renews grants and,
// on one host at a time, leads. One loop owns all cores; what talks to a socket
// runs beside it and sends it events.
//
//	gw, err := gateway.Start(gateway.Config{Settings: st, Journal: jl})
//	gw.Stop() // planned: finishes what is in flight
package gateway

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/acceptance"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/platform"
)

// Config is what a gateway needs.
type Config struct {
	Settings platform.Settings
	Journal  *eventlog.Log
	// Metrics is nil where none are kept.
	Metrics *Metrics
	// Trusted are the keys whose bundles are put in force; without any the
	// platform's operators say what is.
	Trusted []bundle.TrustedKey
}

const (
	// eventBuffer lets senders go on while the loop is busy.
	eventBuffer = 256
	// stopAccepting is how long after a planned stop began new connections may
	// still come: the platform needs two looks, a second apart.
	stopAccepting = 2300 * time.Millisecond
	// stopMargin is how long before the end of its grace a process has to be done.
	stopMargin = 700 * time.Millisecond
	// stopPoll is how often a stopping process looks whether it is done.
	stopPoll = 40 * time.Millisecond
	// Limits for callers before any desired state is known.
	firstHeaderBytes   = 16 << 10
	firstBodyBytes     = 1 << 20
	firstHeaderTimeout = 3 * time.Second
	firstIdleTimeout   = 15 * time.Second
)

// place is where an upstream is reached.
type place struct {
	address string
	// refuseAt is from when nothing new may be sent there.
	refuseAt clock.Instant
}

// Gateway is a running process.
type Gateway struct {
	cf          Config
	self        assignment.Member
	clock       clock.Boot
	store       *platform.Store
	source      source
	calls       storeCalls
	socket      *net.UDPConn
	links       *transport.Pool
	callers     *httpserver.Server
	ready       *httpserver.Server
	metrics     *http.Server
	journey     *proxy.Proxy
	tally       tally
	owners      owners
	state       atomic.Pointer[desired.State]
	places      atomic.Pointer[map[ident.Upstream]place]
	table       atomic.Pointer[assignment.Table]
	confirmedAt atomic.Int64
	// ledAt is when the store last confirmed this host's lead.
	ledAt atomic.Int64
	// newsAt is when the entries were read that a leader vouches for, operatorAt
	// the store's version up to which the operators' rows are known.
	newsAt     atomic.Int64
	operatorAt atomic.Uint64
	leading    atomic.Bool
	// longWatch tells that the watch of the operators' rows counts on a leader.
	longWatch atomic.Bool
	nudge     chan struct{}
	isReady   atomic.Bool
	stopping  atomic.Bool
	events    chan any
	done      chan struct{}
	group     sync.WaitGroup

	// What follows belongs to the loop.

	// refuseNext is when the next upstream begins to get nothing new.
	refuseNext clock.Instant
	book       *roster.Book
	operators  platform.OperatorState
	coldAgain  map[ident.Domain]clock.Instant
	// evacuated tells since when domains are to get nothing.
	evacuated map[ident.Domain]clock.Instant
	// outSince tells since when upstreams are out of service.
	outSince map[ident.Upstream]clock.Instant
	duty     *agent.Core
	// upstreams counts the upstreams of each service.
	upstreams map[ident.Service]int
	permits   *permit.Core
	asks      asks
	views     viewParts
	encoded   encodedTable
	diff      tableDiff
	news      news
}

// Start starts a process.
func Start(cf Config) (*Gateway, error) {
	st := cf.Settings
	peers, err := netip.ParseAddrPort(st.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "address for peers")
	}
	gw := &Gateway{
		cf:     cf,
		self:   assignment.Member{Host: st.Host, Domain: st.Domain, Address: st.Peers, Incarnation: uint64(time.Now().UnixMicro()), Fitness: max(int(100*fitness(st)), 1), Alive: true},
		events: make(chan any, eventBuffer), done: make(chan struct{}), nudge: make(chan struct{}, 1), book: roster.New(),
		coldAgain: map[ident.Domain]clock.Instant{}, evacuated: map[ident.Domain]clock.Instant{}, permits: permit.New(),
		owners: owners{clients: map[ident.Upstream]*owner{}},
	}
	gw.tally = newTally()
	gw.asks = newAsks(gw)
	gw.duty = agent.New(gw.self, fitness(st))
	gw.store = platform.NewStore(st.Store, gw.observeStore)
	gw.source = operatorRows{}
	callers := proxy.CallerHeaders(platformCallers{})
	if len(cf.Trusted) > 0 {
		gw.source = &signedBundles{shelf: acceptance.NewRepository(gw.store), jl: cf.Journal, trust: bundle.Trust{Keys: cf.Trusted}}
		callers = bundleCallers{}
	}
	gw.links = transport.New(echo)
	gw.places.Store(&map[ident.Upstream]place{})
	gw.table.Store(&assignment.Table{})
	if gw.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(peers)); err != nil {
		return nil, eris.Wrap(err, "address for peers")
	}
	gw.journey = proxy.New(proxy.Config{
		State: gw.state.Load, Permits: &gw.asks, Connections: gw.links, CallerHeaders: callers, UpstreamHeaders: platformUpstreams{}, Domain: st.Domain,
		Budget:  proxy.NewBudget(st.Bounds.RetryRatio, gw.retryAllowance),
		Observe: gw.observe, Arrived: gw.tally.arrived,
	})
	gw.callers = httpserver.New(gw.journey.Serve, gw.limits)
	gw.ready = httpserver.New(gw.answerReady, gw.limits)
	return gw, gw.listen()
}

// leadLink is the link in megabits a second beyond which more does not make a
// host a better leader: the users' hosts have from 10 to 700, and a leader tells
// all others of every change beside serving its callers.
const leadLink = 100

// fitness is how well a host can lead and hand out permits, up to 1: its part
// of a processor, less where its link is slow.
func fitness(st platform.Settings) float64 {
	if st.Link <= 0 {
		return st.Processor
	}
	return st.Processor * min(st.Link/leadLink, 1)
}

// listen opens the sockets and starts the tasks.
func (gw *Gateway) listen() error {
	callers, err := net.Listen("tcp", gw.cf.Settings.Callers)
	if err != nil {
		return eris.Wrap(err, "address for callers")
	}
	ready, err := net.Listen("tcp", gw.cf.Settings.Ready)
	if err != nil {
		return eris.Wrap(err, "address for readiness")
	}
	gw.serveMetrics()
	gw.cf.Journal.Event("start", eventlog.Fields{
		"domain": gw.self.Domain, "incarnation": gw.self.Incarnation, "callers": gw.cf.Settings.Callers, "store": gw.cf.Settings.Store,
	})
	tasks := []func(){
		gw.run, gw.receive, gw.watchOperators, gw.pollUpstreams,
		func() { gw.serve(gw.callers, callers) },
		func() { gw.serve(gw.ready, ready) },
	}
	for _, task := range tasks {
		gw.group.Add(1)
		go func() {
			defer gw.group.Done()
			task()
		}()
	}
	return nil
}

func (gw *Gateway) serve(sv *httpserver.Server, ln net.Listener) {
	if err := sv.Serve(ln); err != nil {
		gw.cf.Journal.Problem("listenerFailed", err, eventlog.Fields{"address": ln.Addr().String()})
	}
}

// Stop is a planned stop: the host stops being ready, lets go of its duties,
// goes on answering and returns when its connections have ended.
func (gw *Gateway) Stop() {
	began := time.Now()
	gw.cf.Journal.Event("stopping", eventlog.Fields{"connections": gw.callers.Connections()})
	gw.stopping.Store(true)
	gw.isReady.Store(false)
	gw.callers.Drain()
	gw.send(agent.StopMsg{})
	end := began.Add(gw.cf.Settings.Bounds.Grace - stopMargin)
	for time.Now().Before(end) {
		if time.Since(began) > stopAccepting {
			gw.callers.CloseIdle()
			if gw.callers.Connections() == 0 && gw.asks.idle() {
				break
			}
		}
		time.Sleep(stopPoll)
	}
	gw.cf.Journal.Event("stop", eventlog.Fields{"tookMs": time.Since(began).Milliseconds(), "connections": gw.callers.Connections()})
	gw.Close()
}

// Close ends the process at once and waits for its tasks.
func (gw *Gateway) Close() {
	gw.callers.Close()
	gw.ready.Close()
	if gw.metrics != nil {
		_ = gw.metrics.Close()
	}
	close(gw.done)
	_ = gw.socket.Close()
	gw.links.Close()
	gw.owners.closeAll()
}

// Reload takes new settings into force as far as they can change in a process.
func (gw *Gateway) Reload(st platform.Settings) {
	gw.cf.Journal.Event("reload", eventlog.Fields{"drainMs": st.Bounds.Drain.Milliseconds(), "graceMs": st.Bounds.Grace.Milliseconds(), "store": st.Store})
	gw.send(settingsEvent{st})
}

// limits are what callers may send.
func (gw *Gateway) limits() httpserver.Limits {
	st := gw.state.Load()
	if st == nil {
		return httpserver.Limits{HeaderBytes: firstHeaderBytes, BodyBytes: firstBodyBytes, HeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout}
	}
	return httpserver.Limits(st.Limits)
}

// retryAllowance is this host's part of the repeats that all may send.
func (gw *Gateway) retryAllowance() float64 {
	alive := 0
	for _, mb := range gw.table.Load().Members {
		if mb.Alive {
			alive++
		}
	}
	return gw.cf.Settings.Bounds.RetryAllowance / float64(max(alive, leastHosts))
}

// leastHosts is how many hosts are reckoned with before the members are known.
const leastHosts = 20
