package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/platform/table"
)

const (
	// ownerTick is how often the ownership core is told the time.
	ownerTick = 25 * time.Millisecond
	// orderTimeout bounds the wait for an upstream's answer to an order.
	orderTimeout = 150 * time.Millisecond
	// tableTimeout bounds one table operation.
	tableTimeout = 150 * time.Millisecond
	// ownerInbox is how many messages wait for the core at most.
	ownerInbox = 1024
	// maxReplyBytes bounds an upstream's answer to an order.
	maxReplyBytes = 1 << 20
)

// ownerTask drives the ownership core and carries out what it decides.
type ownerTask struct {
	node     *Node
	core     *authority.Core
	inbox    chan authority.Msg
	http     *http.Client
	upstream map[ident.Upstream]string
	reports  chan chan<- authority.Report
	// stopped is closed when the core has handed everything over.
	stopped chan struct{}
}

func newOwnerTask(nd *Node, co *authority.Core) *ownerTask {
	return &ownerTask{
		node:     nd,
		core:     co,
		inbox:    make(chan authority.Msg, ownerInbox),
		http:     &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: time.Minute}},
		upstream: map[ident.Upstream]string{},
		reports:  make(chan chan<- authority.Report),
		stopped:  make(chan struct{}),
	}
}

// tell hands a message to the core, unless the task has ended.
func (ot *ownerTask) tell(ctx context.Context, msg authority.Msg) {
	select {
	case ot.inbox <- msg:
	case <-ctx.Done():
	}
}

// hear takes a peer's notice; one that finds the inbox full is lost, as any
// notice may be.
func (ot *ownerTask) hear(from ident.Host, notice exchange.Notice) {
	select {
	case ot.inbox <- authority.PeerMsg{From: from, Notice: notice}:
	default:
	}
}

// handOver gives what this node holds to others and waits for it.
func (ot *ownerTask) handOver(ctx context.Context) {
	ot.tell(ctx, authority.StopMsg{})
	select {
	case <-ot.stopped:
	case <-ctx.Done():
	}
}

func (ot *ownerTask) run(ctx context.Context) error {
	defer ot.http.CloseIdleConnections()
	tick := time.NewTicker(ownerTick)
	defer tick.Stop()
	for {
		var msg authority.Msg
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			msg = authority.TickMsg{}
		case reply := <-ot.reports:
			reply <- ot.core.Report(ot.node.clock.Now())
			continue
		case msg = <-ot.inbox:
		}
		if bm, ok := msg.(authority.BundleMsg); ok {
			ot.learn(bm.Bundle)
		}
		for _, cmd := range ot.core.Update(ot.node.clock.Now(), msg) {
			ot.do(ctx, cmd)
		}
	}
}

func (ot *ownerTask) learn(bn *bundle.Bundle) {
	for ix := range bn.Services {
		for _, up := range bn.Services[ix].Upstreams {
			ot.upstream[up.Name] = up.Address
		}
	}
}

func (ot *ownerTask) do(ctx context.Context, cmd authority.Cmd) {
	switch cm := cmd.(type) {
	case exchange.OrderCmd:
		address := ot.upstream[cm.Upstream]
		go ot.order(ctx, cm, address)
	case exchange.SendCmd:
		ot.send(cm)
	case exchange.TableCmd:
		go ot.operate(ctx, cm)
	case authority.PoolCmd:
		ot.node.showPool(ctx, cm.View)
	case authority.DropCmd:
		ot.node.dropPool(cm.Pool)
	case authority.RouteCmd:
		ot.node.routes.Store(cm.Routes)
	case authority.StoppedCmd:
		close(ot.stopped)
	}
}

func (ot *ownerTask) send(cm exchange.SendCmd) {
	pe, ok := ot.node.peer(cm.To)
	if !ok {
		return
	}
	if err := pe.Tell(ot.node.config.Host, cm.Notice); err != nil {
		ot.node.log.WithError(err).WithField("to", string(cm.To)).Debug("notice dropped")
	}
}

func (ot *ownerTask) operate(ctx context.Context, cm exchange.TableCmd) {
	limited, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var rs table.Result
	if len(cm.Writes) > 0 {
		rs = ot.node.platform.Transact(limited, cm.Writes...)
	} else {
		rs = ot.node.platform.Read(limited, cm.Key)
	}
	ot.tell(ctx, authority.TableMsg{TableMsg: exchange.TableMsg{Tag: cm.Tag, Number: cm.Number, Result: rs}})
}

func (ot *ownerTask) order(ctx context.Context, cm exchange.OrderCmd, address string) {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	rp, err := ot.post(limited, cm.Order, address)
	ot.tell(ctx, authority.UpstreamMsg{UpstreamMsg: exchange.UpstreamMsg{
		Upstream: cm.Upstream, Number: cm.Number, Order: cm.Order, Reply: rp, Err: err,
	}})
}

func (ot *ownerTask) post(ctx context.Context, od grant.Order, address string) (grant.Reply, error) {
	body, err := control.EncodeOrder(od)
	if err != nil {
		return grant.Reply{}, err
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+control.GrantPath, bytes.NewReader(body))
	if err != nil {
		return grant.Reply{}, err
	}
	rs, err := ot.http.Do(rq)
	if err != nil {
		return grant.Reply{}, err
	}
	defer func() { _ = rs.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(rs.Body, maxReplyBytes))
	if err != nil {
		return grant.Reply{}, err
	}
	if rs.StatusCode != http.StatusOK {
		return grant.Reply{}, eris.Errorf("upstream answered an order with status %d", rs.StatusCode)
	}
	return control.DecodeReply(answer)
}

// showPool hands a view to the pool's task, which it starts when there is none.
func (nd *Node) showPool(ctx context.Context, vw authority.View) {
	nd.mu.Lock()
	pt := nd.pools[vw.Pool]
	if pt == nil {
		pl, ok := poolOf(nd.Bundle(), vw.Pool)
		if !ok {
			nd.mu.Unlock()
			return
		}
		pt = newPoolTask(nd, pl)
		nd.pools[vw.Pool] = pt
		nd.group.Go(func() error { return pt.run(ctx) })
	}
	nd.mu.Unlock()
	pt.show(vw)
}

func (nd *Node) dropPool(name ident.Pool) {
	nd.mu.Lock()
	pt := nd.pools[name]
	delete(nd.pools, name)
	nd.mu.Unlock()
	if pt != nil {
		pt.close()
	}
}

func poolOf(bn *bundle.Bundle, name ident.Pool) (bundle.Pool, bool) {
	if bn == nil {
		return bundle.Pool{}, false
	}
	for _, pl := range bn.Pools() {
		if pl.Name == name {
			return pl, true
		}
	}
	return bundle.Pool{}, false
}
