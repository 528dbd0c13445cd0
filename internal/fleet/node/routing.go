package node

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

const (
	// barTimeout bounds the asking whether a call was kept from its dispatch.
	barTimeout = 300 * time.Millisecond
	// coreSlack is how long the admission core has after the deadline to end the
	// request itself, with its own reason, before its context ends.
	coreSlack = 50 * time.Millisecond
	// hopSlack is how long an entry waits beyond the deadline for the holder's
	// word, which knows whether the request was run.
	hopSlack = 100 * time.Millisecond
)

// Route runs a call at the holder of its pool, here or over one hop. A call
// that is proved not run goes on to another holder or pool while its deadline
// allows; one that may have run is repeated once, if it is idempotent. The end
// is counted and logged.
func (nd *Node) Route(ctx context.Context, sv *bundle.Service, ca *inner.Call) (*dispatch.Answer, error) {
	start := time.Now()
	answer, err := nd.route(ctx, sv, ca)
	vd := verdict.Ran
	if err != nil {
		vd = verdict.Of(err)
	}
	nd.metrics.Request(sv.Name, vd, time.Since(start))
	nd.logEnd(ca, vd, err)
	return answer, err
}

func (nd *Node) route(ctx context.Context, sv *bundle.Service, ca *inner.Call) (*dispatch.Answer, error) {
	jn := newJourney(nd.routes.Load, nd.send, sv, ca)
	ctx, cancel := context.WithCancel(ctx)
	answer, err := jn.run(ctx)
	if err != nil {
		cancel()
		return nil, jn.final(err)
	}
	answer.Body = &closing{ReadCloser: answer.Body, then: cancel}
	return answer, nil
}

// send runs a call at a holder, here or over one hop.
func (nd *Node) send(ctx context.Context, holder ident.Host, ca *inner.Call) (*dispatch.Answer, error) {
	nd.logStep("request routed", ca, log.Fields{"holder": holder})
	if holder == nd.config.Host {
		return nd.Serve(ctx, ca)
	}
	pe, ok := nd.peer(holder)
	if !ok {
		return nil, verdict.Misdirect("the pool's holder is not known here")
	}
	return nd.forward(ctx, pe, ca)
}

// forward runs a call over the hop; a broken hop is followed by a bar, which
// may prove that the call was not run.
func (nd *Node) forward(ctx context.Context, pe *inner.Peer, ca *inner.Call) (*dispatch.Answer, error) {
	limited, cancel := context.WithDeadline(ctx, ca.Deadline.Add(hopSlack))
	answer, err := pe.Forward(limited, ca)
	if err == nil {
		answer.Body = &closing{ReadCloser: answer.Body, then: cancel}
		nd.buffers.Ahead(answer)
		return answer, nil
	}
	cancel()
	if verdict.Of(err) != verdict.MayHaveRun || !inner.HopBroken(err) {
		return nil, err
	}
	br, stop := context.WithTimeout(context.Background(), barTimeout)
	defer stop()
	if barred, berr := pe.Bar(br, ca.Pool, ca.ID); berr == nil && barred {
		return nil, withdrawn(ca)
	}
	return nil, err
}

// withdrawn is the error of a call that was barred before its dispatch. While
// its deadline allows, another holder may have it.
func withdrawn(ca *inner.Call) error {
	if time.Now().Before(ca.Deadline) {
		return verdict.Misdirect("the request was withdrawn before its dispatch")
	}
	return verdict.Refuse(http.StatusGatewayTimeout, "the deadline passed before the request's dispatch", 0)
}

// Serve runs a call on a pool that this node holds.
func (nd *Node) Serve(ctx context.Context, ca *inner.Call) (*dispatch.Answer, error) {
	pt := nd.pool(ca.Pool)
	if pt == nil {
		return nil, verdict.Misdirect("this node does not hold the pool")
	}
	limited, cancel := context.WithDeadline(ctx, ca.Deadline.Add(coreSlack))
	answer, err := pt.serve(limited, ca)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &closing{ReadCloser: answer.Body, then: cancel}
	nd.buffers.Ahead(answer)
	return answer, nil
}

// closing is a body that does one thing more when it is closed.
type closing struct {
	io.ReadCloser
	once sync.Once
	then func()
}

// Close closes the body, then does the rest once.
func (cl *closing) Close() error {
	err := cl.ReadCloser.Close()
	cl.once.Do(cl.then)
	return err
}
