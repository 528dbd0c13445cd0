package node

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/dump"
	"chervilwalk/internal/operations/rollout"
	"chervilwalk/internal/operations/setting"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/platform/object"
	"chervilwalk/internal/platform/table"
)

const (
	// bundleTick is how often the rollout core is told the time.
	bundleTick = 20 * time.Millisecond
	// bundleTimeout bounds one call for a version or a bundle.
	bundleTimeout = 500 * time.Millisecond
)

// bundleTask drives the rollout core and carries out what it decides.
type bundleTask struct {
	node  *Node
	core  *rollout.Core
	inbox chan rollout.Msg
	state atomic.Pointer[rollout.State]
	// heard is what the core knew of the census at an instant.
	heard atomic.Pointer[heardCensus]
	// contradictions lists where the settings differ from the bundle.
	contradictions atomic.Pointer[[]string]

	// takesPart is set once ownership knows a bundle; it belongs to run.
	takesPart bool

	mu sync.Mutex
	// answered holds the latest answer of each peer, for the dump.
	answered map[string]dump.Peer
}

type heardCensus struct {
	at      clock.Instant
	leaving rollout.Leaving
}

func newBundleTask(nd *Node) *bundleTask {
	return &bundleTask{
		node: nd,
		core: rollout.New(rollout.Settings{
			Host: nd.config.Host, Domain: nd.config.Domain, Peers: nd.config.Peers,
			Keys: nd.config.TrustedKeys, Seed: uint64(nd.clock.Now()),
		}),
		inbox:    make(chan rollout.Msg, 64),
		answered: map[string]dump.Peer{},
	}
}

// current returns the effective bundle in force; nil before the first.
func (bt *bundleTask) current() *bundle.Bundle {
	if st := bt.state.Load(); st != nil {
		return st.Effective
	}
	return nil
}

func (bt *bundleTask) seal() (bundle.Seal, bool) {
	if st := bt.state.Load(); st != nil {
		return st.Seal, true
	}
	return bundle.Seal{}, false
}

// contradiction joins what the settings and the bundle disagree on; empty when
// nothing.
func (bt *bundleTask) contradiction() string {
	if list := bt.contradictions.Load(); list != nil {
		return strings.Join(*list, "; ")
	}
	return ""
}

// notice takes what a peer has and returns what this node has.
func (bt *bundleTask) notice(from ident.Host, nt inner.Notice) inner.Notice {
	bt.node.metrics.Notice("received")
	select {
	case bt.inbox <- rollout.NoticeMsg{From: from, Version: nt.Version, Leaving: nt.Leaving}:
	default: // The next exchange makes good what is dropped here.
	}
	var own inner.Notice
	if st := bt.state.Load(); st != nil {
		own.Version = st.Bundle.Version
	}
	if hc := bt.heard.Load(); hc != nil {
		own.Leaving = hc.leaving
		own.Leaving.Age += bt.node.clock.Now().Sub(hc.at)
	}
	return own
}

func (bt *bundleTask) run(ctx context.Context) error {
	tick := time.NewTicker(bundleTick)
	defer tick.Stop()
	for {
		var msg rollout.Msg
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			msg = rollout.TickMsg{}
		case msg = <-bt.inbox:
		}
		now := bt.node.clock.Now()
		for _, cmd := range bt.core.Update(now, msg) {
			bt.do(ctx, cmd)
		}
		bt.heard.Store(&heardCensus{at: now, leaving: bt.core.Leaving(now)})
	}
}

func (bt *bundleTask) do(ctx context.Context, cmd rollout.Cmd) {
	switch cm := cmd.(type) {
	case rollout.InForceCmd:
		bt.enforce(ctx, cm.State)
	case rollout.RefuseCmd:
		bt.node.metrics.Refusal(string(cm.Reason))
		bt.node.log.WithFields(log.Fields{
			"version": cm.Version, "source": cm.Source, "reason": cm.Reason, "key": cm.Key,
		}).Warn("bundle refused")
	case rollout.RestoreCmd:
		go bt.call(ctx, func(ctx context.Context) rollout.Msg { return bt.restore(ctx, cm) })
	case rollout.ReadRowCmd:
		go bt.call(ctx, bt.readRow)
	case rollout.ReadCensusCmd:
		go bt.call(ctx, bt.readCensus)
	case rollout.FetchObjectCmd:
		go bt.call(ctx, func(ctx context.Context) rollout.Msg { return bt.fetchObject(ctx, cm) })
	case rollout.FetchPeerCmd:
		go bt.call(ctx, func(ctx context.Context) rollout.Msg { return bt.fetchPeer(ctx, cm) })
	case rollout.NoticeCmd:
		go bt.call(ctx, func(ctx context.Context) rollout.Msg { return bt.tell(ctx, cm) })
	}
}

// call runs a bounded call and hands its message, if any, to the core.
func (bt *bundleTask) call(ctx context.Context, ask func(context.Context) rollout.Msg) {
	limited, cancel := context.WithTimeout(ctx, bundleTimeout)
	defer cancel()
	msg := ask(limited)
	if msg == nil {
		return
	}
	select {
	case bt.inbox <- msg:
	case <-ctx.Done():
	}
}

// enforce shows a state to the rest of the node.
func (bt *bundleTask) enforce(ctx context.Context, st *rollout.State) {
	before := bt.state.Swap(st)
	if before != nil && before.Bundle.Version == st.Bundle.Version {
		bt.node.log.WithField("version", st.Bundle.Version).Info("census changed")
	} else {
		bt.compare(st)
	}
	bt.own(ctx, st)
}

// compare notes a new version and where the settings differ from it.
func (bt *bundleTask) compare(st *rollout.State) {
	bt.node.metrics.InForce(uint64(st.Bundle.Version))
	bt.node.log.WithFields(log.Fields{"version": st.Bundle.Version, "key": st.Seal.Key}).Info("bundle in force")
	cf := &bt.node.config
	problems := setting.Contradictions(st.Bundle, cf.Host, cf.Domain, cf.Inner.Addr().String())
	bt.contradictions.Store(&problems)
	bt.forget(st.Bundle)
	for _, text := range problems {
		bt.node.log.Error("settings contradict the bundle: " + text)
	}
}

// own tells ownership of a bundle. A node that starts with settings that
// contradict it takes part in nothing until that is mended: it would vote in a
// domain that is not its own. One that took part already goes on, so that it
// can hand over.
func (bt *bundleTask) own(ctx context.Context, st *rollout.State) {
	if bt.contradiction() != "" && !bt.takesPart {
		return
	}
	bt.takesPart = true
	bt.node.owner.tell(ctx, authority.BundleMsg{Bundle: st.Effective})
}

// forget drops the answers of peers that a bundle no longer has.
func (bt *bundleTask) forget(bn *bundle.Bundle) {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	kept := map[string]dump.Peer{}
	for _, ho := range bn.Hosts {
		if pe, ok := bt.answered[ho.Inner]; ok {
			kept[ho.Inner] = pe
		}
	}
	bt.answered = kept
}

func (bt *bundleTask) readRow(ctx context.Context) rollout.Msg {
	msg, err := bt.row(ctx)
	bt.node.metrics.PlatformCall("bundle-row", err)
	if err != nil {
		bt.node.log.WithError(err).Debug("bundle row")
	}
	msg.Err = err
	return msg
}

func (bt *bundleTask) row(ctx context.Context) (rollout.RowMsg, error) {
	res := bt.node.platform.Read(ctx, bundle.RowKey)
	if res.Outcome != table.Done || len(res.Rows) != 1 {
		return rollout.RowMsg{}, eris.New("the bundle's row cannot be read")
	}
	row := res.Rows[0]
	if row.Version == 0 {
		return rollout.RowMsg{}, nil
	}
	pt, err := bundle.DecodePointer(row.Value)
	return rollout.RowMsg{Base: row.Version, Pointer: pt}, err
}

func (bt *bundleTask) readCensus(ctx context.Context) rollout.Msg {
	entries, err := bt.node.platform.List(ctx)
	bt.node.metrics.PlatformCall("census", err)
	return rollout.CensusMsg{Entries: entries, Err: err}
}

func (bt *bundleTask) fetchObject(ctx context.Context, cm rollout.FetchObjectCmd) rollout.Msg {
	body, err := bt.node.platform.Get(ctx, cm.Pointer.Digest)
	bt.node.metrics.PlatformCall("bundle-body", err)
	if err != nil {
		bt.node.log.WithError(err).WithField("version", cm.Pointer.Version).Warn("bundle body cannot be read")
	}
	return rollout.SealMsg{Source: cm.Source(), Seal: cm.Pointer.Seal(body), Err: err}
}

func (bt *bundleTask) fetchPeer(ctx context.Context, cm rollout.FetchPeerCmd) rollout.Msg {
	sl, err := bt.node.peerAt(cm.Peer).FetchBundle(ctx, cm.Known)
	return rollout.SealMsg{Source: cm.Peer, Seal: sl, Err: err}
}

// tell exchanges versions with a peer; one that does not answer is left to the
// next exchange.
func (bt *bundleTask) tell(ctx context.Context, cm rollout.NoticeCmd) rollout.Msg {
	bt.node.metrics.Notice("sent")
	answer, err := bt.node.peerAt(cm.Peer).Notice(ctx, bt.node.config.Host, inner.Notice{Version: cm.Version, Leaving: cm.Leaving})
	if err != nil {
		return nil
	}
	bt.mu.Lock()
	bt.answered[cm.Peer] = dump.Peer{Address: cm.Peer, Version: answer.Version, Answered: bt.node.clock.Now()}
	bt.mu.Unlock()
	return rollout.NoticeMsg{Peer: cm.Peer, Version: answer.Version, Leaving: answer.Leaving}
}

// restore writes the bundle in force back to a platform that lost it.
func (bt *bundleTask) restore(ctx context.Context, cm rollout.RestoreCmd) rollout.Msg {
	value, err := bundle.EncodePointer(bundle.PointerOf(cm.Seal))
	if err != nil {
		return nil
	}
	if err := bt.node.platform.Put(ctx, object.DigestOf(cm.Seal.Body), cm.Seal.Body); err != nil {
		return nil
	}
	res := bt.node.platform.Transact(ctx, table.Write{Key: bundle.RowKey, Base: cm.Base, Value: value})
	bt.node.log.WithFields(log.Fields{"version": cm.Seal.Version, "outcome": res.Outcome.String()}).Warn("platform showed an older bundle; row restored")
	bt.node.metrics.Restore()
	return nil
}
