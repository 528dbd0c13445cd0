// Package gateway runs the router process of one host: it serves callers'
// requests, issues permits for the pools assigned to this host, renews grants
// and, on one host at a time, acts as the leader. A single event loop owns all
// cores; goroutines that do I/O run beside it and send it events.
//
//	gw, err := gateway.Start(gateway.Config{Settings: st, Log: lg})
//	gw.Stop() // planned stop: finishes in-flight requests
package gateway

import (
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
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
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/internal/serving/transport"
	"chervilwalk/platform"
)

// Config configures a gateway.
type Config struct {
	Settings platform.Settings
	Log      *eventlog.Log
	// Metrics is nil when no metrics are collected.
	Metrics *Metrics
	// Trusted holds the keys whose signed bundles may take effect. When it is
	// empty, the platform's operator rows provide the desired state.
	Trusted []bundle.TrustedKey
	// WrapSocket, if set, replaces the socket for messages between hosts, for example by
	// one that loses them.
	WrapSocket func(PeerSocket) PeerSocket
}

// PeerSocket sends and receives the datagrams between hosts, like a net.UDPConn.
type PeerSocket interface {
	ReadFromUDPAddrPort(buf []byte) (count int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error)
	Close() error
}

const (
	// eventBuffer is the capacity of the event queue; it lets senders continue
	// while the loop is busy.
	eventBuffer = 256
	// stopAcceptTimeout is how long new connections may still arrive after a planned
	// stop begins: the platform needs two readiness probes, one second apart.
	stopAcceptTimeout = 2300 * time.Millisecond
	// stopMargin is how long before the end of its grace period a process must
	// have finished.
	stopMargin = 700 * time.Millisecond
	// lastResponsesTimeout is how long a stopping process still writes the responses to the
	// requests that it has ended.
	lastResponsesTimeout = 200 * time.Millisecond
	// stopPollInterval is how often a stopping process checks whether it has
	// finished.
	stopPollInterval = 40 * time.Millisecond
	// Limits for callers until the first desired state is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// endpoint is where an upstream is reached.
type endpoint struct {
	service ident.Service
	domain  ident.Domain
	address string
	// refuseAt is the time from which no new requests are sent there.
	refuseAt clock.Instant
}

// Gateway is a running router process.
type Gateway struct {
	config           Config
	self             assignment.Member
	clock            clock.Boot
	store            *platform.Store
	source           stateSource
	callCounts       storeCallCounts
	socket           PeerSocket
	connPool         *transport.Pool
	callerServer     *httpserver.Server
	readyServer      *httpserver.Server
	metricsServer    *http.Server
	proxy            *proxy.Proxy
	loads            loadCounter
	grantClients     grantClients
	desiredState     atomic.Pointer[desired.State]
	endpoints        atomic.Pointer[map[ident.Upstream]endpoint]
	table            atomic.Pointer[assignment.Table]
	tableConfirmedAt atomic.Int64
	tableCertainAt   atomic.Int64
	// leadershipConfirmedAt is when the store last confirmed that this host leads.
	leadershipConfirmedAt atomic.Int64
	// leaderReadAt is when a leader last read the upstream entries and found no
	// change from those known here; operatorVersion is the store version up to
	// which the operator rows are known.
	leaderReadAt atomic.Int64
	// leaderHeardAt is when the leader's last heartbeat came, leaderStoreAt when the store last
	// answered the leader, as far as its heartbeats tell.
	leaderHeardAt   atomic.Int64
	leaderStoreAt   atomic.Int64
	leaderSendsRows atomic.Bool
	// domainRank is this host's rank in its failure domain, or -1.
	domainRank      atomic.Int64
	operatorVersion atomic.Uint64
	leading         atomic.Bool
	// longWatch reports whether the current watch of the operator rows uses the
	// long wait, which relies on a leader to report changes.
	longWatch atomic.Bool
	// listening reports whether this host relies on a leader to send it operator rows.
	listening       atomic.Bool
	rereadOperators chan struct{}
	// relayedRows carries rows that another host has sent. rowsWake and entriesWake wake the
	// goroutines that follow rows and entries, when what they depend on has changed.
	relayedRows           chan rowAnswer
	rowsWake, entriesWake chan struct{}
	isReady               atomic.Bool
	stopping              atomic.Bool
	// requestsEndAt is when a stopping process ends its requests, nil before that.
	requestsEndAt atomic.Pointer[time.Time]
	events        chan any
	done          chan struct{}
	tasks         sync.WaitGroup
	// bounds holds those of the newest settings.
	bounds atomic.Pointer[platform.Bounds]

	// The fields below are owned by the event loop.

	// nextRefusal is the earliest time at which another upstream stops getting
	// new requests.
	nextRefusal       clock.Instant
	roster            *roster.Roster
	operatorState     platform.OperatorState
	evacuations       evacuations
	restoredColdUntil map[ident.Domain]clock.Instant
	// evacuatedAt holds when each evacuated domain was evacuated.
	evacuatedAt map[ident.Domain]clock.Instant
	// outSince holds since when each upstream has been out of service.
	outSince map[ident.Upstream]clock.Instant
	agent    *agent.Core
	// upstreamCount is the number of upstreams of each service.
	upstreamCount   map[ident.Service]int
	permits         *permit.Core
	permitClient    permitClient
	assignmentParts assignmentParts
	// reportParts holds the parts of the assignment that each member remembers.
	reportParts    map[ident.Host]*assignmentParts
	announcements  announcements
	upstreamLimits upstreamLimits
	suspects       suspects
	// leaderConfirmedAt is when the store last confirmed the leader that this host follows.
	leaderConfirmedAt clock.Instant
	lastEncoded       encodedTable
	lastDiff          tableDiff
	cache             rosterCache
	rowRelay          rowRelay
	malformedLines    malformedLines
}

// Start opens the sockets of a gateway and starts its goroutines.
func Start(cf Config) (*Gateway, error) {
	st := cf.Settings
	peers, err := netip.ParseAddrPort(st.PeerAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "parse the address for peers %q", st.PeerAddress)
	}
	gw := &Gateway{
		config: cf,
		self:   assignment.Member{Host: st.Host, Domain: st.Domain, Address: st.PeerAddress, Incarnation: uint64(time.Now().UnixMicro()), Fitness: max(int(100*fitness(st)), 1), Alive: true},
		events: make(chan any, eventBuffer), done: make(chan struct{}), rereadOperators: make(chan struct{}, 1), relayedRows: make(chan rowAnswer, 1),
		rowsWake: make(chan struct{}, 1), entriesWake: make(chan struct{}, 1), rowRelay: rowRelay{takers: map[netip.AddrPort]bool{}, starting: map[netip.AddrPort]bool{}}, roster: roster.New(),
		restoredColdUntil: map[ident.Domain]clock.Instant{}, evacuatedAt: map[ident.Domain]clock.Instant{}, permits: permit.New(),
		grantClients: grantClients{clients: map[grantClientID]*grantClient{}}, announcements: newAnnouncements(), reportParts: map[ident.Host]*assignmentParts{},
	}
	gw.grantClients.onLeaving, gw.grantClients.mayRenewOn = gw.onLeaving, gw.mayRenewOn
	gw.bounds.Store(&st.Bounds)
	gw.loads = newLoadCounter()
	gw.domainRank.Store(-1)
	gw.permitClient = newPermitClient(gw)
	gw.permitClient.lastTicket.Store(firstTicket(gw.process()))
	gw.upstreamLimits, gw.suspects = newUpstreamLimits(gw), newSuspects(gw)
	var opts []leader.Option
	if st.FirstStart {
		opts = append(opts, leader.FirstStart())
	}
	gw.agent = agent.New(gw.self, fitness(st), opts...)
	gw.store = platform.NewStore(st.StoreAddress, gw.observeStoreCall)
	gw.source = operatorRows{}
	callers := proxy.CallerHeaders(platformCallerHeaders{})
	if len(cf.Trusted) > 0 {
		gw.source = &signedBundles{bundles: acceptance.NewRepository(gw.store), log: cf.Log, trust: bundle.Trust{Keys: cf.Trusted}}
		callers = bundleCallerHeaders{}
	}
	gw.connPool = transport.New(answeredRequest)
	gw.endpoints.Store(&map[ident.Upstream]endpoint{})
	gw.table.Store(&assignment.Table{})
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(peers))
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	gw.socket = socket
	if cf.WrapSocket != nil {
		gw.socket = cf.WrapSocket(socket)
	}
	gw.proxy = proxy.New(proxy.Config{
		State: gw.desiredState.Load, Permits: &gw.permitClient, Connections: gw.connPool, CallerHeaders: callers, UpstreamHeaders: platformUpstreamHeaders{&unknownFields{log: cf.Log}}, Domain: st.Domain,
		Budget: proxy.NewBudget(st.Bounds.RetryRatio, gw.retryAllowance),
		OnEnd:  gw.observeRequest, OnKeyedRequest: gw.loads.countArrival,
		OnLeaving: gw.onLeaving, OnPause: gw.onPause, OnLimit: gw.onLimit,
		OnCrash: gw.onCrash, OnAnswer: gw.onAnswer, OnAbandoned: gw.onAbandoned, Suspect: gw.suspects.suspect, EndsAt: gw.endsAt,
	})
	gw.callerServer = httpserver.New(gw.proxy.Serve, gw.limits, httpserver.OnPanic(gw.logPanic), httpserver.OnUnanswered(gw.observeUnanswered), httpserver.MayBreakOff(gw.proxy.MayBreakOff))
	gw.readyServer = httpserver.New(gw.serveReady, gw.limits)
	if err := gw.listen(); err != nil {
		_ = gw.socket.Close()
		return nil, err
	}
	return gw, nil
}

// fitness returns how suitable this host is to read for others and to lead, at most 1.
func (gw *Gateway) fitness() float64 { return float64(gw.self.Fitness) / 100 }

// fullFitnessLink is the link speed in Mbit/s above which a host is no better as
// a leader: the users' hosts have 10 to 700 Mbit/s, and a leader sends every
// change to all other hosts besides serving its callers.
const fullFitnessLink = 100

// fitness returns how suitable a host is to lead and to issue permits, at most
// 1: its share of a CPU, scaled down if its network link is slow.
func fitness(st platform.Settings) float64 {
	if st.LinkMbps <= 0 {
		return st.CPUs
	}
	return st.CPUs * min(st.LinkMbps/fullFitnessLink, 1)
}

// listen opens the listeners and starts the gateway's goroutines.
func (gw *Gateway) listen() error {
	callers, err := net.Listen("tcp", gw.config.Settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", gw.config.Settings.ReadyAddress)
	if err != nil {
		_ = callers.Close()
		return eris.Wrap(err, "listen for readiness probes")
	}
	gw.serveMetrics()
	gw.config.Log.Event("start", eventlog.Fields{
		"domain": gw.self.Domain, "incarnation": gw.self.Incarnation, "callers": gw.config.Settings.CallerAddress, "store": gw.config.Settings.StoreAddress,
	})
	gw.checkBounds(*gw.bounds.Load())
	tasks := []func(){
		gw.run, gw.receiveDatagrams, gw.followOperatorRows, gw.pollEntries,
		func() { gw.serve(gw.callerServer, callers) },
		func() { gw.serve(gw.readyServer, ready) },
	}
	for _, task := range tasks {
		gw.tasks.Add(1)
		go func() {
			defer gw.tasks.Done()
			task()
		}()
	}
	return nil
}

// logPanic logs a panic while a request was handled. Its permit expires with the
// request's deadline.
func (gw *Gateway) logPanic(value any) {
	gw.config.Log.ErrorEvent("requestPanicked", eris.Errorf("%v", value), eventlog.Fields{"stack": string(debug.Stack())})
}

func (gw *Gateway) serve(sv *httpserver.Server, ln net.Listener) {
	if err := sv.Serve(ln); err != nil {
		gw.config.Log.ErrorEvent("listenerFailed", err, eventlog.Fields{"address": ln.Addr().String()})
	}
}

// Stop performs a planned stop: the host becomes not ready, gives up its roles,
// keeps serving, and returns once its connections have ended or its grace
// period is nearly over.
func (gw *Gateway) Stop() {
	began := time.Now()
	gw.config.Log.Event("stopping", eventlog.Fields{"connections": gw.callerServer.Connections()})
	gw.stopping.Store(true)
	gw.isReady.Store(false)
	gw.callerServer.Drain()
	gw.send(agent.StopMsg{})
	end := began.Add(gw.bounds.Load().Grace - stopMargin)
	gw.requestsEndAt.Store(&end)
	gw.send(stopEvent{gw.clock.Now().Add(time.Until(end))})
	for time.Now().Before(end) {
		if time.Since(began) > stopAcceptTimeout {
			// What came now might not be finished in time.
			gw.callerServer.StopAccepting()
			gw.callerServer.StopTaking()
			if gw.callerServer.Connections() == 0 && gw.permitClient.idle() {
				break
			}
		}
		time.Sleep(stopPollInterval)
	}
	gw.endRequests()
	gw.config.Log.Event("stop", eventlog.Fields{"tookMs": time.Since(began).Milliseconds(), "connections": gw.callerServer.Connections()})
	gw.Close()
}

// endsAt returns when this process ends its requests, or the zero time if it is not stopping.
func (gw *Gateway) endsAt() time.Time {
	if end := gw.requestsEndAt.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// endRequests ends the requests in flight, so that their callers get a response that says whether
// they may have run, before the connections close.
func (gw *Gateway) endRequests() {
	gw.callerServer.StopAccepting()
	gw.callerServer.StopTaking()
	if gw.callerServer.Idle() {
		return
	}
	gw.config.Log.Event("endingRequests", eventlog.Fields{"waiting": gw.permitClient.waitingCount.Load(), "open": gw.permitClient.openCount.Load()})
	gw.callerServer.EndRequests()
	for end := time.Now().Add(lastResponsesTimeout); !gw.callerServer.Idle() && time.Now().Before(end); {
		time.Sleep(stopPollInterval)
	}
}

// Close stops the process at once, without draining, and waits for its tasks. Calls to
// the store and to upstreams that are in flight end on their own.
func (gw *Gateway) Close() {
	gw.callerServer.Close()
	gw.readyServer.Close()
	if gw.metricsServer != nil {
		_ = gw.metricsServer.Close()
	}
	close(gw.done)
	_ = gw.socket.Close()
	gw.connPool.Close()
	gw.grantClients.closeAll()
	gw.tasks.Wait()
	gw.store.Close()
}

// Reload applies those new settings that can change in a running process.
func (gw *Gateway) Reload(st platform.Settings) {
	gw.config.Log.Event("reload", eventlog.Fields{"drainMs": st.Bounds.Drain.Milliseconds(), "graceMs": st.Bounds.Grace.Milliseconds(), "store": st.StoreAddress})
	gw.checkBounds(st.Bounds)
	gw.send(settingsEvent{st})
}

// checkBounds logs the bounds that this build cannot keep. The host runs all the same:
// what does not depend on them is served.
func (gw *Gateway) checkBounds(bd platform.Bounds) {
	for _, sf := range Shortfalls(bd) {
		gw.config.Log.ErrorEvent("boundTooLow", sf, eventlog.Fields{"bound": sf.Bound})
	}
}

// Shortfall is a bound of the settings that this build cannot keep. It is an error.
type Shortfall struct {
	// Bound is the bound's name in the settings file.
	Bound       string
	Set, Needed time.Duration
}

// Error implements error.
func (sf Shortfall) Error() string {
	return sf.Bound + " is " + sf.Set.String() + ", this build needs " + sf.Needed.String()
}

// Shortfalls returns the bounds that this build cannot keep.
func Shortfalls(bd platform.Bounds) []Shortfall {
	var low []Shortfall
	for _, sf := range []Shortfall{
		{"drain-s", bd.Drain, maxEntriesAge + keyedDrainTimeout},
		{"max-hold-s", bd.MaxGrantTTL, renewal.GrantTTL},
	} {
		if sf.Set < sf.Needed {
			low = append(low, sf)
		}
	}
	return low
}

// limits returns the limits for callers' requests.
func (gw *Gateway) limits() httpserver.Limits {
	st := gw.desiredState.Load()
	if st == nil {
		return httpserver.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	return httpserver.Limits(st.Limits)
}

// retryAllowance returns this host's share of the retries allowed to all hosts.
func (gw *Gateway) retryAllowance() float64 {
	alive := 0
	for _, mb := range gw.table.Load().Members {
		if mb.Alive {
			alive++
		}
	}
	return gw.bounds.Load().RetryAllowance / float64(max(alive, defaultHosts))
}

// defaultHosts is the number of hosts assumed until the members are known.
const defaultHosts = 20
