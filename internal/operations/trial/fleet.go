// Package trial runs a whole fleet with its stand-ins in one process on
// loopback, sends it a mixed load and counts what the upstreams recorded.
//
//	fl, err := trial.StartFleet("mushi", examples.Mushi)
//	defer fl.Close(ctx)
package trial

import (
	"context"
	"crypto/ed25519"
	"net"
	"net/http"
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

// keyName is the name of the key that signs the fleet's bundles.
const keyName = "trial"

// Fleet is one deployment: platform, upstreams and nodes.
type Fleet struct {
	Name      string
	Bundle    *bundle.Bundle
	Platform  *standplatform.Platform
	Upstreams map[ident.Upstream]*standupstream.Upstream
	Nodes     map[ident.Host]*node.Node
	// Entries are the callers' addresses of the nodes.
	Entries map[ident.Host]string

	private         ed25519.PrivateKey
	platformAddress string
	servers         []*http.Server
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
		Nodes:     map[ident.Host]*node.Node{},
		Entries:   map[ident.Host]string{},
		private:   private,
	}
	if err := fl.start(); err != nil {
		return nil, eris.Wrap(err, "trial: start")
	}
	return fl, nil
}

func (fl *Fleet) start() error {
	address, err := fl.serve(fl.Platform.Handler())
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
			us := standupstream.New(up.Name, standupstream.WithSlots(up.Slots), standupstream.WithTokenCheck(up.ChecksTokens))
			address, err := fl.serve(us.Handler())
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
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		fl.Bundle.Hosts[ix].Inner = ls.Addr().String()
		inners = append(inners, ls)
	}
	return inners, nil
}

func (fl *Fleet) startNode(ho *bundle.Host, innerListener net.Listener) error {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
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
	fl.Nodes[ho.Name] = nd
	fl.Entries[ho.Name] = callers.Addr().String()
	return nil
}

func (fl *Fleet) serve(hn http.Handler) (string, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: hn, ReadHeaderTimeout: 5 * time.Second}
	fl.servers = append(fl.servers, server)
	go func() { _ = server.Serve(ls) }()
	return ls.Addr().String(), nil
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
		for _, nd := range fl.Nodes {
			if healthy, _ := nd.Health(); healthy {
				ready++
			}
		}
		if ready == len(fl.Nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("trial: only %d of %d nodes serve", ready, len(fl.Nodes))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Close stops the nodes, then the stand-ins.
func (fl *Fleet) Close(ctx context.Context) error {
	var first error
	for _, nd := range fl.Nodes {
		if err := nd.Close(ctx); err != nil && first == nil {
			first = err
		}
	}
	for _, sv := range fl.servers {
		_ = sv.Close()
	}
	return first
}
