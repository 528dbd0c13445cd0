package node

import (
	"context"
	"net/http"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

const (
	// routeWait bounds how long a request waits for a pool that changes hands.
	// A pool that is without a holder for longer is down, and its callers are
	// told so at once.
	routeWait = 2500 * time.Millisecond
	// routeLook is the time between two looks for new routes.
	routeLook = 10 * time.Millisecond
)

// journey is one request's way through the fleet.
type journey struct {
	// routes gives the routes as they are now.
	routes func() *route.Table
	// send runs the call at a holder.
	send    func(ctx context.Context, holder ident.Host, ca *inner.Call) (*dispatch.Answer, error)
	service *bundle.Service
	call    *inner.Call
	// until is when the waiting for new routes ends.
	until time.Time
	// waits gives the pools that refused the request for load, with the wait
	// that they estimated; zero for a pool that cannot serve it in time.
	waits map[ident.Pool]time.Duration
	// last says that the pool with the shortest wait was asked to keep it.
	last bool
	// away lists the pools that cannot be reached at their holders now.
	away map[ident.Pool]bool
	// repeated says that the request was sent again after a broken hop, so that
	// it may have run whatever comes of it now.
	repeated bool
}

func newJourney(
	routes func() *route.Table,
	send func(context.Context, ident.Host, *inner.Call) (*dispatch.Answer, error),
	sv *bundle.Service,
	ca *inner.Call,
) *journey {
	until := time.Now().Add(routeWait)
	if ca.Deadline.Before(until) {
		until = ca.Deadline
	}
	return &journey{
		routes: routes, send: send, service: sv, call: ca, until: until,
		waits: map[ident.Pool]time.Duration{}, away: map[ident.Pool]bool{},
	}
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
		rt := jn.routes()
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
			jn.waits[jn.call.Pool] = verdict.From(err).Wait
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
	return jn.send(ctx, holder, jn.call)
}

// pool is where the call goes next. An unkeyed call may be sent on from there
// while there are other pools; the last one has to keep it.
func (jn *journey) pool(rt *route.Table) (ident.Pool, bool) {
	if jn.service.Keyed {
		return rt.PoolOf(jn.service.Name, jn.call.Slice)
	}
	held := jn.held(rt)
	pool, fresh := jn.fresh(held)
	if fresh {
		jn.call.Elsewhere = len(held) > 1
		return pool, true
	}
	jn.call.Elsewhere, jn.last = false, true
	return jn.shortest(held)
}

// held lists the service's pools that can be reached at a holder, nearest first.
func (jn *journey) held(rt *route.Table) []ident.Pool {
	var held []ident.Pool
	for _, pl := range rt.Nearest[jn.service.Name] {
		if ho, ok := rt.Holder(pl); ok && ho != "" && !jn.away[pl] {
			held = append(held, pl)
		}
	}
	return held
}

// fresh is the nearest pool that has not refused the call.
func (jn *journey) fresh(held []ident.Pool) (ident.Pool, bool) {
	for _, pl := range held {
		if _, refused := jn.waits[pl]; !refused {
			return pl, true
		}
	}
	return "", false
}

// shortest is the pool that estimated the shortest wait.
func (jn *journey) shortest(held []ident.Pool) (ident.Pool, bool) {
	best, found := ident.Pool(""), false
	for _, pl := range held {
		if wait := jn.waits[pl]; wait > 0 && (!found || wait < jn.waits[best]) {
			best, found = pl, true
		}
	}
	return best, found
}

// elsewhere tells whether another pool may serve the call now.
func (jn *journey) elsewhere(rt *route.Table) bool {
	if rt == nil || jn.service.Keyed {
		return false
	}
	held := jn.held(rt)
	_, fresh := jn.fresh(held)
	_, waits := jn.shortest(held)
	return fresh || waits
}

// overflows tells whether another pool may take what this one refused for load.
func (jn *journey) overflows(err error) bool {
	er := verdict.From(err)
	return !jn.service.Keyed && !jn.last && er.Verdict == verdict.NotRun && er.Status == http.StatusServiceUnavailable
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
		if jn.routes() != old {
			return true
		}
	}
	return true
}
