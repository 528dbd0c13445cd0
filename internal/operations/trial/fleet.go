// Package trial runs a whole fleet with its stand-ins in one process on
// loopback, sends it a mixed load and counts what the upstreams recorded.
//
//	fl, err := trial.StartFleet("mushi", examples.Mushi)
//	defer fl.Close(ctx)
package trial

import (
	"context"
	"crypto/ed25519"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/node"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/platform/client"
	"chervilwalk/internal/platform/object"
	"chervilwalk/internal/platform/table"
	standplatform "chervilwalk/internal/stand/platform"
	standupstream "chervilwalk/internal/stand/upstream"
)

const (
	// keyName is the name of the key that signs the fleet's bundles.
	keyName = "trial"
	// anyPort is a free port of loopback.
	anyPort = "127.0.0.1:0"
	// coldTime is how long an upstream is cold after its start.
	coldTime = 500 * time.Millisecond
)

// Fleet is one deployment: platform, upstreams and nodes.
type Fleet struct {
	Name string
	// Bundle is the bundle that was accepted last. Hosts, services and their
	// order stay the same in all of a trial's bundles.
	Bundle    *bundle.Bundle
	Platform  *standplatform.Platform
	Upstreams map[ident.Upstream]*standupstream.Upstream

	private         ed25519.PrivateKey
	platformAddress string
	servers         map[string]*http.Server

	mu    sync.Mutex
	nodes map[ident.Host]*node.Node
	// entries are the callers' addresses of the nodes.
	entries map[ident.Host]string
}

// StartFleet runs the fleet of an example bundle on free ports of loopback.
func StartFleet(name string, example []byte) (*Fleet, error) {
	bn, err := bundle.Parse(name, example)
	if err != nil {
		return nil, err
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, eris.Wrap(err, "trial: key")
	}
	bn.TrustedKeys = []bundle.TrustedKey{{Name: keyName, Public: public}}
	fl := &Fleet{
		Name:      name,
		Bundle:    bn,
		Platform:  standplatform.New(),
		Upstreams: map[ident.Upstream]*standupstream.Upstream{},
		private:   private,
		servers:   map[string]*http.Server{},
		nodes:     map[ident.Host]*node.Node{},
		entries:   map[ident.Host]string{},
	}
	if err := fl.start(); err != nil {
		return nil, eris.Wrap(err, "trial: start")
	}
	return fl, nil
}

func (fl *Fleet) start() error {
	address, err := fl.serve(anyPort, fl.Platform.Handler())
	if err != nil {
		return err
	}
	fl.platformAddress = address
	if err := fl.startUpstreams(); err != nil {
		return err
	}
	inners, err := fl.listenInner()
	if err != nil {
		return err
	}
	if err := fl.Accept(context.Background()); err != nil {
		return err
	}
	for ix := range fl.Bundle.Hosts {
		if err := fl.startNode(&fl.Bundle.Hosts[ix], inners[ix]); err != nil {
			return err
		}
	}
	return nil
}

func (fl *Fleet) startUpstreams() error {
	for sx := range fl.Bundle.Services {
		sv := &fl.Bundle.Services[sx]
		for ux := range sv.Upstreams {
			up := &sv.Upstreams[ux]
			us := standupstream.New(up.Name,
				standupstream.WithSlots(up.Slots),
				standupstream.WithColdStart(up.ColdLimit, coldTime),
				standupstream.WithTokenCheck(up.ChecksTokens))
			address, err := fl.serve(anyPort, us.Handler())
			if err != nil {
				return err
			}
			up.Address = address
			fl.Upstreams[up.Name] = us
		}
	}
	return nil
}

func (fl *Fleet) listenInner() ([]net.Listener, error) {
	var inners []net.Listener
	for ix := range fl.Bundle.Hosts {
		ls, err := net.Listen("tcp", anyPort)
		if err != nil {
			return nil, err
		}
		fl.Bundle.Hosts[ix].Inner = ls.Addr().String()
		inners = append(inners, ls)
	}
	return inners, nil
}

func (fl *Fleet) startNode(ho *bundle.Host, innerListener net.Listener) error {
	callers, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	nd, err := node.Start(node.Config{
		Host: ho.Name, Domain: ho.Domain, Platform: fl.platformAddress,
		Callers: callers, Inner: innerListener, TrustedKeys: fl.Bundle.TrustedKeys,
	})
	if err != nil {
		return err
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.nodes[ho.Name] = nd
	fl.entries[ho.Name] = callers.Addr().String()
	return nil
}

// serve runs a stand-in on an address until KillServer or Close.
func (fl *Fleet) serve(address string, hn http.Handler) (string, error) {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: hn, ReadHeaderTimeout: 5 * time.Second}
	fl.servers[ls.Addr().String()] = server
	go func() { _ = server.Serve(ls) }()
	return ls.Addr().String(), nil
}

// Node returns a host's running node; nil when it is stopped.
func (fl *Fleet) Node(ho ident.Host) *node.Node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.nodes[ho]
}

// Nodes returns the running nodes.
func (fl *Fleet) Nodes() map[ident.Host]*node.Node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return maps.Clone(fl.nodes)
}

// Entry returns a host's address for callers; empty when its node is stopped.
func (fl *Fleet) Entry(ho ident.Host) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.entries[ho]
}

// StopNode stops a host's node as planned.
func (fl *Fleet) StopNode(ctx context.Context, ho ident.Host) error {
	nd := fl.Node(ho)
	err := nd.Close(ctx)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.nodes, ho)
	delete(fl.entries, ho)
	return err
}

// KillNode loses a host's node: its connections break and nothing is handed over.
func (fl *Fleet) KillNode(ho ident.Host) {
	nd := fl.Node(ho)
	nd.Kill()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.nodes, ho)
	delete(fl.entries, ho)
}

// StartNode starts a host's node again, as a new process.
func (fl *Fleet) StartNode(name ident.Host) error {
	ho, ok := fl.Bundle.Host(name)
	if !ok {
		return eris.Errorf("trial: no host %s", name)
	}
	ls, err := net.Listen("tcp", ho.Inner)
	if err != nil {
		return err
	}
	return fl.startNode(ho, ls)
}

// Restart stops a host's node as planned and starts a new one at the same
// inner address and a new callers' address.
func (fl *Fleet) Restart(ctx context.Context, name ident.Host) error {
	if err := fl.StopNode(ctx, name); err != nil {
		return err
	}
	return fl.StartNode(name)
}

// KillUpstream loses an upstream's process: its port closes, its connections
// break and what it ran and owned is gone.
func (fl *Fleet) KillUpstream(up bundle.Upstream) {
	_ = fl.servers[up.Address].Close()
	fl.Upstreams[up.Name].Restart()
}

// ReviveUpstream starts a lost upstream's process anew, cold.
func (fl *Fleet) ReviveUpstream(up bundle.Upstream) error {
	fl.Upstreams[up.Name].Restart()
	_, err := fl.serve(up.Address, fl.Upstreams[up.Name].Handler())
	return err
}

// Change accepts a new bundle that an edit has made of the last one.
func (fl *Fleet) Change(ctx context.Context, edit func(bn *bundle.Bundle)) error {
	body, err := bundle.Format(fl.Bundle)
	if err != nil {
		return err
	}
	bn, err := bundle.Parse(fl.Name, body)
	if err != nil {
		return err
	}
	bn.Version++
	edit(bn)
	fl.Bundle = bn
	return fl.Accept(ctx)
}

// Accept signs the fleet's bundle and points the platform's row at it.
func (fl *Fleet) Accept(ctx context.Context) error {
	body, err := bundle.Format(fl.Bundle)
	if err != nil {
		return err
	}
	sl := bundle.Sign(fl.Bundle, body, keyName, fl.private)
	cl := client.New(fl.platformAddress)
	defer cl.Close()
	dg := object.DigestOf(body)
	if err := cl.Put(ctx, dg, body); err != nil {
		return err
	}
	row := cl.Read(ctx, bundle.RowKey)
	if row.Outcome != table.Done {
		return eris.New("the bundle's row cannot be read")
	}
	value, err := bundle.EncodePointer(bundle.PointerOf(sl))
	if err != nil {
		return err
	}
	res := cl.Transact(ctx, table.Write{Key: bundle.RowKey, Base: row.Rows[0].Version, Value: value})
	if res.Outcome != table.Done {
		return eris.Errorf("the bundle's row was not written: %s", res.Outcome)
	}
	return nil
}

// AwaitServing waits until every node serves, or the context ends.
func (fl *Fleet) AwaitServing(ctx context.Context) error {
	for {
		ready := 0
		for _, ho := range fl.Bundle.Hosts {
			if nd := fl.Node(ho.Name); nd != nil {
				if healthy, _ := nd.Health(); healthy {
					ready++
				}
			}
		}
		if ready == len(fl.Bundle.Hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("trial: only %d of %d nodes serve", ready, len(fl.Bundle.Hosts))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Close loses all nodes at once, then the stand-ins.
func (fl *Fleet) Close() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var wg sync.WaitGroup
	for _, nd := range fl.nodes {
		wg.Go(nd.Kill)
	}
	wg.Wait()
	for _, sv := range fl.servers {
		_ = sv.Close()
	}
}

// PlatformAddress returns the IP and port of the platform's stand-in.
func (fl *Fleet) PlatformAddress() string {
	return fl.platformAddress
}
