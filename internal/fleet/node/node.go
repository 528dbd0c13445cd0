// Package node is one running router process: the tasks that own its sockets
// and drive its decision cores.
//
//	nd, err := node.Start(ctx, node.Config{Host: "n1", Domain: "north", …})
//	defer nd.Close(ctx)
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/metric"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/platform/client"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/entry"
)

// Config is what a node must be told.
type Config struct {
	Host     ident.Host
	Domain   ident.Domain
	Platform string
	// Callers and Inner are listeners that the node takes over.
	Callers net.Listener
	Inner   net.Listener
	// Admin is the listener for operators; nil offers them nothing.
	Admin net.Listener
	// LogRequests logs each step of each request.
	LogRequests bool
	// TrustedKeys are the keys trusted before the first bundle.
	TrustedKeys []bundle.TrustedKey
	// Peers are inner addresses to ask for a bundle before one is known.
	Peers []string
}

// Node is a running node.
type Node struct {
	config   Config
	clock    clock.Clock
	log      log.Interface
	platform *client.Client
	entry    *entry.Entry
	inner    *http.Server
	owner    *ownerTask
	bundles  *bundleTask
	metrics  *metric.Metrics
	admin    *http.Server
	started  clock.Instant
	routes   atomic.Pointer[route.Table]
	buffers  dispatch.Buffers
	draining atomic.Bool
	stop     context.CancelFunc
	group    *errgroup.Group

	mu    sync.Mutex
	pools map[ident.Pool]*poolTask
	peers map[string]*inner.Peer
}

// Start makes a node and runs its tasks until Close.
func Start(cf Config) (*Node, error) {
	if cf.Host == "" || cf.Domain == "" || cf.Callers == nil || cf.Inner == nil {
		return nil, eris.New("node: host, domain and both listeners must be set")
	}
	nd := &Node{
		config:   cf,
		clock:    clock.Boot{},
		log:      log.WithField("host", string(cf.Host)),
		platform: client.New(cf.Platform, client.WithDomain(cf.Domain)),
		metrics:  metric.New(),
		pools:    map[ident.Pool]*poolTask{},
		peers:    map[string]*inner.Peer{},
	}
	ctx, stop := context.WithCancel(context.Background())
	nd.stop = stop
	nd.group, ctx = errgroup.WithContext(ctx)
	nd.entry = entry.New(nd)
	nd.inner = inner.NewServer(nd)
	started := exchange.Incarnation(time.Now().UnixNano())
	nd.owner = newOwnerTask(nd, authority.New(cf.Host, cf.Domain, authority.WithIncarnation(started)))
	nd.bundles = newBundleTask(nd)
	nd.started = nd.clock.Now()
	nd.admin = newAdmin(nd)
	nd.group.Go(func() error { return nd.owner.run(ctx) })
	nd.group.Go(func() error { return nd.bundles.run(ctx) })
	nd.group.Go(func() error { return ignoreClosed(nd.inner.Serve(cf.Inner)) })
	nd.group.Go(func() error { return ignoreClosed(nd.entry.Serve(cf.Callers)) })
	if cf.Admin != nil {
		nd.group.Go(func() error { return ignoreClosed(nd.admin.Serve(cf.Admin)) })
	}
	return nd, nil
}

func ignoreClosed(err error) error {
	if eris.Is(err, http.ErrServerClosed) || eris.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil && !eris.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}

func (nd *Node) closePools() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	for _, pt := range nd.pools {
		pt.close()
	}
}

// Bundle returns the bundle in force; nil before the first.
func (nd *Node) Bundle() *bundle.Bundle {
	return nd.bundles.current()
}

// Health tells the balancer whether to send callers here.
func (nd *Node) Health() (healthy bool, state string) {
	switch {
	case nd.draining.Load():
		return false, "draining"
	case nd.bundles.contradiction() != "":
		return false, "misconfigured: " + nd.bundles.contradiction()
	case nd.routes.Load() == nil:
		return false, "starting"
	default:
		return true, "serving"
	}
}

// Bar forbids the dispatch of a queued call.
func (nd *Node) Bar(ctx context.Context, pl ident.Pool, id ident.Request) bool {
	pt := nd.pool(pl)
	return pt != nil && pt.bar(ctx, id)
}

// Notice takes what a peer has and returns what this node has.
func (nd *Node) Notice(from ident.Host, nt inner.Notice) inner.Notice {
	return nd.bundles.notice(from, nt)
}

// Hear takes a peer's notice on ownership.
func (nd *Node) Hear(from ident.Host, notice exchange.Notice) {
	nd.owner.hear(from, notice)
}

// Seal returns the signed bundle in force.
func (nd *Node) Seal() (bundle.Seal, bool) {
	return nd.bundles.seal()
}

func (nd *Node) pool(pl ident.Pool) *poolTask {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.pools[pl]
}

// peer returns the way to a host of the bundle.
func (nd *Node) peer(ho ident.Host) (*inner.Peer, bool) {
	bn := nd.Bundle()
	if bn == nil {
		return nil, false
	}
	host, ok := bn.Host(ho)
	if !ok {
		return nil, false
	}
	return nd.peerAt(host.Inner), true
}

func (nd *Node) peerAt(address string) *inner.Peer {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	pe := nd.peers[address]
	if pe == nil {
		pe = inner.NewPeer(address)
		nd.peers[address] = pe
	}
	return pe
}
