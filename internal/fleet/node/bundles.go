package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/platform/table"
)

const (
	// bundlePoll is the time between two looks at the bundle's row.
	bundlePoll = time.Second
	// bundleTimeout bounds one call for a bundle.
	bundleTimeout = 500 * time.Millisecond
)

// inForce is the bundle in force with the seal it came in.
type inForce struct {
	bundle *bundle.Bundle
	seal   bundle.Seal
}

// bundleTask learns of bundles and puts higher versions in force.
type bundleTask struct {
	node    *Node
	state   atomic.Pointer[inForce]
	notices chan ident.Host
}

func newBundleTask(nd *Node) *bundleTask {
	return &bundleTask{node: nd, notices: make(chan ident.Host, 16)}
}

func (bt *bundleTask) current() *bundle.Bundle {
	if st := bt.state.Load(); st != nil {
		return st.bundle
	}
	return nil
}

func (bt *bundleTask) seal() (bundle.Seal, bool) {
	if st := bt.state.Load(); st != nil {
		return st.seal, true
	}
	return bundle.Seal{}, false
}

// notice remembers that a peer has a higher version.
func (bt *bundleTask) notice(from ident.Host, vs bundle.Version) {
	if bn := bt.current(); bn != nil && vs <= bn.Version {
		return
	}
	select {
	case bt.notices <- from:
	default:
	}
}

func (bt *bundleTask) run(ctx context.Context) error {
	tick := time.NewTicker(bundlePoll)
	defer tick.Stop()
	for {
		bt.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case from := <-bt.notices:
			bt.fromHost(ctx, from)
		}
	}
}

// poll looks at the platform, and at the peers while there is no bundle.
func (bt *bundleTask) poll(ctx context.Context) {
	err := bt.fromPlatform(ctx)
	if err == nil {
		return
	}
	bt.node.log.WithError(err).Debug("bundle: platform")
	if bt.current() != nil {
		return
	}
	for _, address := range bt.node.config.Peers {
		if bt.fromPeer(ctx, bt.node.peerAt(address)) == nil {
			return
		}
	}
}

func (bt *bundleTask) fromPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, bundleTimeout)
	defer cancel()
	res := bt.node.platform.Read(ctx, bundle.RowKey)
	if res.Outcome != table.Done || len(res.Rows) != 1 {
		return eris.New("the bundle's row cannot be read")
	}
	if res.Rows[0].Version == 0 {
		return eris.New("no bundle was accepted yet")
	}
	pt, err := bundle.DecodePointer(res.Rows[0].Value)
	if err != nil {
		return err
	}
	if bn := bt.current(); bn != nil && pt.Version <= bn.Version {
		return nil
	}
	body, err := bt.node.platform.Get(ctx, pt.Digest)
	if err != nil {
		return err
	}
	return bt.apply(ctx, pt.Seal(body))
}

func (bt *bundleTask) fromHost(ctx context.Context, ho ident.Host) {
	if pe, ok := bt.node.peer(ho); ok {
		_ = bt.fromPeer(ctx, pe)
	}
}

func (bt *bundleTask) fromPeer(ctx context.Context, pe *inner.Peer) error {
	limited, cancel := context.WithTimeout(ctx, bundleTimeout)
	defer cancel()
	sl, err := pe.FetchBundle(limited)
	if err != nil {
		return err
	}
	return bt.apply(ctx, sl)
}

// apply puts a sealed bundle in force if it is trusted and of a higher version.
func (bt *bundleTask) apply(ctx context.Context, sl bundle.Seal) error {
	trust := bundle.Trust{Keys: bt.node.config.TrustedKeys}
	current := bt.current()
	if current != nil {
		trust = bundle.TrustOf(current)
	}
	bn, err := bundle.Open(sl, trust)
	if err != nil {
		bt.node.log.WithError(err).WithField("version", sl.Version).Warn("bundle refused")
		return err
	}
	if current != nil && bn.Version <= current.Version {
		return nil
	}
	bt.state.Store(&inForce{bundle: bn, seal: sl})
	bt.node.log.WithField("version", bn.Version).Info("bundle in force")
	bt.node.owner.tell(ctx, authority.BundleMsg{Bundle: bn})
	bt.spread(ctx, bn)
	return nil
}

// spread tells the peers of the version in force.
func (bt *bundleTask) spread(ctx context.Context, bn *bundle.Bundle) {
	for _, ho := range bn.Hosts {
		if ho.Name == bt.node.config.Host {
			continue
		}
		pe := bt.node.peerAt(ho.Inner)
		go func() {
			limited, cancel := context.WithTimeout(ctx, bundleTimeout)
			defer cancel()
			_ = pe.Notice(limited, bt.node.config.Host, bn.Version)
		}()
	}
}
