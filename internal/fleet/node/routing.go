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
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

const (
	// barTimeout bounds the asking whether a call was kept from its dispatch.
	barTimeout = 300 * time.Millisecond
	// routeWait bounds how long a request waits for a pool that changes hands.
	// A pool that is without a holder for longer is down, and its callers are
	// told so at once.
	routeWait = 2500 * time.Millisecond
	// routeLook is the time between two looks for new routes.
	routeLook = 10 * time.Millisecond
	// hopSlack is how long an entry waits beyond the deadline for the holder's
	// word, which knows whether the request was run.
	hopSlack = 100 * time.Millisecond
)

// journey is one request's way through the fleet.
type journey struct {
	node    *Node
	service *bundle.Service
	call    *inner.Call
	// until is when the waiting for new routes ends.
	until time.Time
	// full lists the pools that refused the request for load.
	full map[ident.Pool]bool
	// away lists the pools that cannot be reached at their holders now.
	away map[ident.Pool]bool
	// repeated says that the request was sent again after a broken hop, so that
	// it may have run whatever comes of it now.
	repeated bool
}

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
	until := time.Now().Add(routeWait)
	if ca.Deadline.Before(until) {
		until = ca.Deadline
	}
	jn := &journey{node: nd, service: sv, call: ca, until: until, full: map[ident.Pool]bool{}, away: map[ident.Pool]bool{}}
	ctx, cancel := context.WithCancel(ctx)
	answer, err := jn.run(ctx)
	if err != nil {
		cancel()
		return nil, jn.final(err)
	}
	answer.Body = &closing{ReadCloser: answer.Body, then: cancel}
	return answer, nil
}

// final is the error as its caller gets it. What the last holder proves says
// nothing of a holder whose hop broke before.
func (jn *journey) final(err error) error {
	er := *verdict.From(err)
	if jn.repeated {
		er.Verdict = verdict.MayHaveRun
	}
	if er.Status == http.StatusMisdirectedRequest {
		er.Status = http.StatusServiceUnavailable
	}
	return &er
}

func (jn *journey) run(ctx context.Context) (*dispatch.Answer, error) {
	for {
		rt := jn.node.routes.Load()
		answer, err := jn.try(ctx, rt)
		switch {
		case err == nil:
			return answer, nil
		case verdict.Misdirected(err):
			jn.away[jn.call.Pool] = true
			if !jn.elsewhere(rt) && !jn.awaitRoutes(ctx, rt) {
				return nil, err
			}
		case jn.overflows(err):
			jn.full[jn.call.Pool] = true
			if !jn.elsewhere(rt) {
				return nil, err
			}
		case jn.repeats(ctx, err):
			jn.repeated = true
			jn.away[jn.call.Pool] = true
		default:
			return nil, err
		}
	}
}

// try sends the call along the routes as they are now.
func (jn *journey) try(ctx context.Context, rt *route.Table) (*dispatch.Answer, error) {
	if rt == nil {
		return nil, verdict.Misdirect("this node has no routes yet")
	}
	pool, ok := jn.pool(rt)
	if !ok {
		return nil, verdict.Misdirect("no pool serves this request now")
	}
	jn.call.Pool = pool
	holder, ok := rt.Holder(pool)
	if !ok || holder == "" {
		return nil, verdict.Misdirect("the pool has no holder now")
	}
	jn.node.logStep("request routed", jn.call, log.Fields{"holder": holder})
	if holder == jn.node.config.Host {
		return jn.node.Serve(ctx, jn.call)
	}
	pe, ok := jn.node.peer(holder)
	if !ok {
		return nil, verdict.Misdirect("the pool's holder is not known here")
	}
	return jn.node.forward(ctx, pe, jn.call)
}

// pool is the pool of a keyed call's slice, or the nearest that is held and has
// not refused the call for load.
func (jn *journey) pool(rt *route.Table) (ident.Pool, bool) {
	if jn.service.Keyed {
		return rt.PoolOf(jn.service.Name, jn.call.Slice)
	}
	for _, pl := range rt.Nearest[jn.service.Name] {
		if ho, ok := rt.Holder(pl); ok && ho != "" && !jn.full[pl] && !jn.away[pl] {
			return pl, true
		}
	}
	return "", false
}

// elsewhere tells whether another pool may serve the call now.
func (jn *journey) elsewhere(rt *route.Table) bool {
	if rt == nil || jn.service.Keyed {
		return false
	}
	_, ok := jn.pool(rt)
	return ok
}

// overflows tells whether another pool may take what this one refused for load.
func (jn *journey) overflows(err error) bool {
	er := verdict.From(err)
	return !jn.service.Keyed && er.Verdict == verdict.NotRun && er.Status == http.StatusServiceUnavailable
}

// repeats tells whether a call whose hop broke is sent once more.
func (jn *journey) repeats(ctx context.Context, err error) bool {
	broken := verdict.Of(err) == verdict.MayHaveRun && inner.HopBroken(err)
	return broken && jn.call.Idempotent && !jn.repeated && ctx.Err() == nil
}

// awaitRoutes waits for routes other than the given ones, or a moment for a
// holder that has not begun yet; false when the waiting is over.
func (jn *journey) awaitRoutes(ctx context.Context, old *route.Table) bool {
	clear(jn.away)
	ticker := time.NewTicker(routeLook)
	defer ticker.Stop()
	for range 3 {
		select {
		case <-ctx.Done():
			return false
		case now := <-ticker.C:
			if !now.Before(jn.until) {
				return false
			}
		}
		if jn.node.routes.Load() != old {
			return true
		}
	}
	return true
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
	limited, cancel := context.WithDeadline(ctx, ca.Deadline)
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
