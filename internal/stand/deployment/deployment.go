// Package deployment runs a whole small deployment in one process, on loopback
// addresses: the store's stand-in, upstreams, one gateway for each host, and
// callers, speaking the platform's protocol over sockets. It judges by what
// upstreams and callers saw.
//
//	dp, err := deployment.Start(deployment.Config{Dir: dir, Hosts: 3, Seed: 1})
//	defer dp.Close()
//	counts := dp.Load(ctx, 60, 5*time.Second)
package deployment

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/fleet/gateway"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/stand/fakeupstream"
	"chervilwalk/internal/stand/metastore"
	"chervilwalk/platform"
)

// Config says what a deployment consists of.
type Config struct {
	// Dir holds the hosts' settings files and logs.
	Dir   string
	Hosts int
	// Keyed, Orders and Files are how many upstreams each service has.
	Keyed, Orders, Files int
	// Bundles lets signed bundles say what is in force, and callers speak
	// chervilwalk's own header fields; else the platform's operators and theirs.
	Bundles bool
	Seed    int64
	// Net is the second and third number of the loopback addresses, so that
	// deployments of one machine do not meet.
	Net int
	// Log gets the hosts' log lines; nil writes them to files in Dir.
	Log io.Writer
}

// The names of the services and their hosts.
const (
	KeyedService = "lookup"
	OrderService = "orders"
	FileService  = "files"
	hostName     = "shop.example"
	coldTime     = 2 * time.Second
	coldRate     = 5
	// coldMost is how many requests a cold upstream may get in a second: half as
	// many again as its rate, and five.
	coldMost  = coldRate*3/2 + 5
	beatTime  = 300 * time.Millisecond
	keyedWork = 20 * time.Millisecond
	orderWork = 25 * time.Millisecond
	fileWork  = 15 * time.Millisecond
	fileBytes = 60000
	// balancerTime is how long callers still come to a host that is not ready.
	balancerTime = 1200 * time.Millisecond
	timeout      = 1500 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Host is one gateway.
type Host struct {
	Name    string
	Address string
	Zone    string
	IP      string
	file    string
	gateway *gateway.Gateway
	journal *eventlog.Log
	log     io.WriteCloser
	// out tells that callers' new connections go elsewhere.
	out atomic.Bool
}

// Deployment is a running deployment.
type Deployment struct {
	cf       Config
	Store    *metastore.Store
	server   *http.Server
	address  string
	done     chan struct{}
	group    sync.WaitGroup
	version  int
	mu       sync.Mutex
	Hosts    []*Host
	upstream map[string]*upstream
	retired  []*fakeupstream.Upstream
	random   int
	operator *operator
}

type upstream struct {
	*fakeupstream.Upstream
	sequence int
	state    string
	listed   bool
}

// Start starts everything and waits until the keys are dealt.
func Start(cf Config) (*Deployment, error) {
	dp := &Deployment{cf: cf, Store: metastore.New(), done: make(chan struct{}), upstream: map[string]*upstream{}}
	ln, err := net.Listen("tcp", dp.ip(0)+":0")
	if err != nil {
		return nil, eris.Wrap(err, "store")
	}
	dp.address = ln.Addr().String()
	dp.server = &http.Server{Handler: dp.Store, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve ends when the server is closed.
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
	dp.group.Add(1)
	go dp.beat()
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

func (dp *Deployment) ip(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+dp.cf.Net/250, dp.cf.Net%250, 1+number)
}

// Configure writes a desired state; change may edit its text.
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
	dp.Store.Put("op", "config", []byte(text))
}

// AddUpstream starts an upstream.
func (dp *Deployment) AddUpstream(id, service, zone string) error {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.random++
	cf := fakeupstream.Config{
		ID: id, Address: dp.ip(100+dp.random%100) + ":0", Service: service, Zone: zone, Slots: upstreamSlots, Queue: 8,
		Keyed: service == KeyedService, Work: keyedWork, AnswerBytes: 500, ColdFor: coldTime, ColdRate: coldRate, Seed: dp.cf.Seed + int64(dp.random),
	}
	switch service {
	case OrderService:
		cf.Work = orderWork
	case FileService:
		cf.Work, cf.AnswerBytes = fileWork, fileBytes
	}
	tg, err := fakeupstream.Start(cf)
	if err != nil {
		return eris.Wrap(err, id)
	}
	if old, known := dp.upstream[id]; known {
		dp.retired = append(dp.retired, old.Upstream)
	}
	dp.upstream[id] = &upstream{Upstream: tg, state: "ready", listed: true}
	return nil
}

// Upstream finds a running upstream.
func (dp *Deployment) Upstream(id string) *fakeupstream.Upstream {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.upstream[id].Upstream
}

// DrainUpstream lets an upstream say that it leaves.
func (dp *Deployment) DrainUpstream(id string) {
	dp.mu.Lock()
	dp.upstream[id].state = "draining"
	dp.mu.Unlock()
	dp.announce()
}

// DelistUpstream removes an upstream's entry.
func (dp *Deployment) DelistUpstream(id string) {
	dp.mu.Lock()
	dp.upstream[id].listed = false
	dp.mu.Unlock()
	dp.Store.Drop("servers", id)
}

// targets lists all upstreams that ever ran.
func (dp *Deployment) targets() []*fakeupstream.Upstream {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	list := append([]*fakeupstream.Upstream(nil), dp.retired...)
	for _, up := range dp.upstream {
		list = append(list, up.Upstream)
	}
	return list
}

// beat lets the upstreams write their entries again and again.
func (dp *Deployment) beat() {
	defer dp.group.Done()
	for {
		dp.announce()
		select {
		case <-time.After(beatTime):
		case <-dp.done:
			return
		}
	}
}

func (dp *Deployment) announce() {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	for id, up := range dp.upstream {
		if up.listed {
			up.sequence++
			dp.Store.Put("servers", id, up.Entry(up.sequence, up.state))
		}
	}
}

// adminPort is where a host serves its metrics: the second of its free ports.
const adminPort = ":7541"

// place says where a host is.
func (dp *Deployment) place(ix int) *Host {
	return &Host{Name: fmt.Sprintf("front-%d", ix), Zone: zones[ix%len(zones)], IP: dp.ip(1 + ix)}
}

func (dp *Deployment) newHost(ix int) (*Host, error) {
	host := dp.place(ix)
	host.Address = host.IP + ":8080"
	host.file = filepath.Join(dp.cf.Dir, host.Name+".yaml")
	text := fmt.Sprintf("node: %s\nzone: %s\nip: %s\nlisten:\n  front: %s:8080\n  ready: %s:8081\nport-range: [7540, 7550]\nbounds:\n  - \"drain-s=2\"\n  - \"grace-s=6\"\nplatform:\n  address: %s\n",
		host.Name, host.Zone, host.IP, host.IP, host.IP, dp.address)
	return host, eris.Wrap(os.WriteFile(host.file, []byte(text), 0o600), "settings file")
}

type noClose struct{ io.Writer }

func (noClose) Close() error { return nil }

// StartHost starts a host's gateway.
func (dp *Deployment) StartHost(host *Host) error {
	st, err := platform.LoadSettings(host.file)
	if err != nil {
		return err
	}
	host.out.Store(false)
	host.log = noClose{dp.cf.Log}
	if dp.cf.Log == nil {
		file, err := os.OpenFile(filepath.Join(dp.cf.Dir, host.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return eris.Wrap(err, "log file")
		}
		host.log = file
	}
	host.journal = eventlog.New(host.log, host.Name)
	gc := gateway.Config{Settings: st, Journal: host.journal, Metrics: gateway.NewMetrics()}
	if dp.operator != nil {
		gc.Trusted = []bundle.TrustedKey{dp.operator.key.Trusted()}
	}
	host.gateway, err = gateway.Start(gc)
	return err
}

// KillHost ends a host's gateway at once; StopHost ends it as planned.
func (dp *Deployment) KillHost(host *Host) {
	if host.gateway != nil {
		host.out.Store(true)
		host.gateway.Close()
		dp.ended(host)
	}
}

// StopHost ends a host's gateway as planned; callers stop coming to it soon.
func (dp *Deployment) StopHost(host *Host) {
	gw := host.gateway
	time.AfterFunc(balancerTime, func() { host.out.Store(true) })
	gw.Stop()
	dp.ended(host)
}

func (dp *Deployment) ended(host *Host) {
	host.gateway = nil
	host.journal.Close()
	_ = host.log.Close()
}

// Ready asks a host whether it takes callers.
func (host *Host) Ready() bool {
	rs, err := http.Get("http://" + host.IP + ":8081" + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = rs.Body.Close() }()
	return rs.StatusCode == http.StatusOK
}

// Close ends everything.
func (dp *Deployment) Close() {
	close(dp.done)
	dp.group.Wait()
	for _, host := range dp.Hosts {
		dp.KillHost(host)
	}
	for _, tg := range dp.targets() {
		tg.Close()
	}
	_ = dp.server.Close()
}
