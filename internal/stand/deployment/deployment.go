// Package deployment runs a small but complete deployment in one process, on
// loopback addresses: the store's stand-in, upstreams, one gateway per host, and
// callers, which all talk over sockets. It checks the router's guarantees against
// what upstreams and callers recorded.
//
//	dp, err := deployment.Start(deployment.Config{Dir: dir, Hosts: 3, Keyed: 4, Orders: 3, Files: 3, Seed: 1})
//	defer dp.Close()
//	// Wait until a host has logged the event keysDealt.
//	counts := dp.Load(ctx, 60, 5*time.Second)
package deployment

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/faultproxy"
	"chervilwalk/internal/stand/metastore"
)

// Config is the configuration of a deployment.
type Config struct {
	// Dir is the directory of the hosts' settings files and logs.
	Dir string
	// Hosts is the number of hosts.
	Hosts int
	// Keyed, Orders and Files are the numbers of upstreams of the three services.
	Keyed, Orders, Files int
	// FileBytes is the size of an answer with a file, or 0 for a usual one, which hosts read whole
	// before they pass it on.
	FileBytes int
	// Bundles selects signed bundles as the source of the desired state and
	// chervilwalk's own header fields for callers. Otherwise the desired state
	// comes from the platform's operators and callers use the platform's fields.
	Bundles bool
	// Seed is the seed of the load and of the upstreams' random faults.
	Seed int64
	// Subnet selects the second and third byte of the loopback addresses. Deployments
	// that run at the same time on one machine need different values.
	Subnet int
	// Log receives the hosts' log lines; nil writes them to files in Dir.
	Log io.Writer
	// Program is the path of chervilwalk's binary. If it is set, each host is a process
	// of its own.
	Program string
	// Proxies puts a proxy before the store, for each host, and before each upstream.
	Proxies bool
}

// The names of the services, and the properties of requests and upstreams.
const (
	KeyedService = "lookup"
	OrderService = "orders"
	FileService  = "files"
	// virtualHost is the host name in requests and in the operators' desired state.
	virtualHost = "shop.example"
	// Upstreams are cold for coldTime after their start and should get at most
	// coldRate requests per second in that time.
	coldTime = 2 * time.Second
	coldRate = 5
	// maxColdRequests is how many requests a cold upstream may get within any second
	// before it counts as a violation: 1.5 times its rate plus 5.
	maxColdRequests = coldRate*3/2 + 5
	// announceInterval is the time between two writes of the upstreams' entries.
	announceInterval = 300 * time.Millisecond
	// How long requests of the services run, and the size of an answer with a file.
	keyedWork = 20 * time.Millisecond
	orderWork = 25 * time.Millisecond
	fileWork  = 15 * time.Millisecond
	fileBytes = 60000
	// balancerDelay is how long callers keep sending to a host that is no longer
	// ready.
	balancerDelay = 1200 * time.Millisecond
	// requestTimeout is the deadline of each request.
	requestTimeout = 1500 * time.Millisecond
	// DeadlySuffix ends the paths of requests that crash the upstreams that run them. An
	// upstream that has crashed is started again after CrashedTime.
	DeadlySuffix = "/deadly"
	CrashedTime  = 2500 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Proxy is a proxy before the store or an upstream.
type Proxy struct {
	*faultproxy.Proxy
	// Name is that of the host or upstream.
	Name string
}

// Deployment is a running deployment.
type Deployment struct {
	cf Config
	// Store is the stand-in for the platform's store. server serves it at address.
	Store      *metastore.Store
	server     *http.Server
	address    string
	done       chan struct{}
	background sync.WaitGroup
	// version is that of the operators' desired state, config its text.
	version int
	config  []byte
	// mu guards upstreams, retired, upstreamsStarted and proxies.
	mu        sync.Mutex
	Hosts     []*Host
	upstreams map[string]*upstream
	// retired are the upstreams that were replaced by one with the same ID.
	retired          []*fakeupstream.Upstream
	upstreamsStarted int
	// crashes are the times at which deadly requests have crashed upstreams.
	crashes []time.Time
	proxies []*Proxy
	// loads counts the calls of Load, so that each request has its own ID.
	loads atomic.Int32
	// operator is nil if the desired state comes from the platform's operators.
	operator *operator
}

// Start starts the store, the upstreams and the hosts. It does not wait until the
// keys have owners.
func Start(cf Config) (*Deployment, error) {
	dp := &Deployment{cf: cf, Store: metastore.New(), done: make(chan struct{}), upstreams: map[string]*upstream{}}
	ln, err := net.Listen("tcp", dp.ip(0)+":0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for the store")
	}
	dp.address = ln.Addr().String()
	dp.server = &http.Server{Handler: dp.Store, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve returns when the server is closed.
		_ = dp.server.Serve(ln)
	}()
	if !cf.Bundles {
		dp.Configure(nil)
	}
	for service, count := range map[string]int{KeyedService: cf.Keyed, OrderService: cf.Orders, FileService: cf.Files} {
		for ix := range count {
			if err := dp.AddUpstream(fmt.Sprintf("i-%s-%d", service, ix), service, zones[ix%len(zones)]); err != nil {
				return nil, err
			}
		}
	}
	if cf.Bundles {
		if dp.operator, err = newOperator(dp); err != nil {
			return nil, err
		}
	}
	dp.background.Add(1)
	go dp.announceLoop()
	for ix := range cf.Hosts {
		host, err := dp.newHost(ix)
		if err != nil {
			return nil, err
		}
		dp.Hosts = append(dp.Hosts, host)
		if err := dp.StartHost(host); err != nil {
			return nil, err
		}
	}
	return dp, nil
}

// ip returns one of the deployment's loopback addresses.
func (dp *Deployment) ip(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+dp.cf.Subnet/250, dp.cf.Subnet%250, 1+number)
}

// Configure writes a new version of the operators' desired state. change, if not
// nil, edits its text first.
func (dp *Deployment) Configure(change func(string) string) {
	dp.version += 3
	text := fmt.Sprintf(`{"version":"r%d","services":[
{"name":"lookup","health-path":"/health","max-conns":100,"cold-start-s":2,"cold-per-s":5,"sharded":true,"warm-s":1},
{"name":"orders","health-path":"/health","max-conns":100,"cold-start-s":2,"cold-per-s":5},
{"name":"files","health-path":"/health","max-conns":100,"cold-start-s":2,"cold-per-s":5}],
"limits":{"max-header-bytes":8192,"max-body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":10},
"virtual-hosts":[{"host":"shop.example","path-rules":[
{"name":"lookup","prefix":"/lookup/","kind":"idempotent","timeout-s":1.5,"slo-latency-s":0.5,"priority":2,"service":"lookup","max-attempts":2},
{"name":"orders","prefix":"/orders/","kind":"non_idempotent","timeout-s":1.5,"slo-latency-s":0.5,"priority":1,"service":"orders","max-attempts":2},
{"name":"files","prefix":"/files/","kind":"download","timeout-s":1.5,"slo-latency-s":0.5,"priority":2,"service":"files","max-attempts":2}]}]}`, dp.version)
	if change != nil {
		text = change(text)
	}
	dp.config = []byte(text)
	dp.Store.Put("op", "config", dp.config)
}

// Version is that of the operators' desired state.
func (dp *Deployment) Version() int { return dp.version }

// ReturnStore makes the store come back from a copy of some age after it was away for
// a moment. The operators write their rows again later; upstreams always do.
func (dp *Deployment) ReturnStore(age, away, rewriteDelay time.Duration) {
	dp.Store.SetFaults(metastore.Faults{Down: true})
	time.Sleep(away)
	dp.Store.Return(age)
	dp.Store.SetFaults(metastore.Faults{})
	time.Sleep(rewriteDelay)
	if dp.config != nil {
		dp.Store.Put("op", "config", dp.config)
	}
}

// addProxy starts a proxy. dp.mu must be held.
func (dp *Deployment) addProxy(name, target string) (*Proxy, error) {
	px, err := faultproxy.Start(dp.ip(0)+":0", target)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy of %s", name)
	}
	dp.proxies = append(dp.proxies, &Proxy{px, name})
	return dp.proxies[len(dp.proxies)-1], nil
}

// Proxies returns all proxies, in the order of their start.
func (dp *Deployment) Proxies() []*Proxy {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return slices.Clone(dp.proxies)
}

// Close stops the hosts, the upstreams and the store.
func (dp *Deployment) Close() {
	close(dp.done)
	dp.background.Wait()
	for _, host := range dp.Hosts {
		dp.KillHost(host)
	}
	for _, px := range dp.Proxies() {
		px.Close()
	}
	for _, up := range dp.allUpstreams() {
		up.Close()
	}
	_ = dp.server.Close()
}
