package upstream

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/control"
)

// holding is what a pool granted.
type holding struct {
	pool  ident.Pool
	token grant.Token
	// since gives for each owned slice the start of its tenure.
	since map[ident.Slice]clock.Instant
	until clock.Instant
}

// Serves tells whether the stand-in would serve the slice now.
func (us *Upstream) Serves(pl ident.Pool, sl ident.Slice) bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	ho := us.holdings[pl]
	return ho != nil && ho.owns(sl, us.clock.Now())
}

func (us *Upstream) serveGrant(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	if err != nil {
		return
	}
	od, err := control.DecodeOrder(body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if !us.waitThaw(rq.Context()) {
		return
	}
	rp, leaving := us.apply(od)
	if !awaitEnd(rq.Context(), leaving) {
		return
	}
	answer, err := control.EncodeReply(rp)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = rw.Write(answer)
}

// awaitEnd waits until the requests have left their slots, so that a revocation
// is acknowledged only once nothing runs under it.
func awaitEnd(ctx context.Context, leaving []*running) bool {
	for _, rg := range leaving {
		select {
		case <-rg.left:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// apply takes an order unless a higher token was seen for its pool. It returns
// the reply and what still runs for slices that the order took away.
func (us *Upstream) apply(od grant.Order) (grant.Reply, []*running) {
	us.mu.Lock()
	defer us.mu.Unlock()
	now := us.clock.Now()
	ho := us.holdings[od.Pool]
	if ho == nil {
		ho = &holding{pool: od.Pool, since: map[ident.Slice]clock.Instant{}}
		us.holdings[od.Pool] = ho
	}
	accepted := !od.Token.Less(ho.token)
	var leaving []*running
	if accepted {
		us.record.keep(ho.take(us.name, od, now))
		leaving = us.revoked(ho)
	}
	return grant.Reply{
		Accepted:    accepted,
		Reading:     now,
		Incarnation: us.incarnationName(),
		Highest:     ho.token,
		Slices:      ho.list(),
		Until:       ho.until,
	}, leaving
}

// revoked lists what runs for slices that the pool no longer grants.
func (us *Upstream) revoked(ho *holding) []*running {
	var list []*running
	for rg := range us.running {
		if rg.pool != ho.pool || rg.slice == "" {
			continue
		}
		if _, ok := ho.since[rg.number]; !ok {
			list = append(list, rg)
		}
	}
	return list
}

// take follows an order and returns the tenures that it ended.
func (ho *holding) take(us ident.Upstream, od grant.Order, now clock.Instant) []Tenure {
	var ended []Tenure
	if !now.Before(ho.until) {
		ended = ho.lapse(us)
	}
	ho.token = od.Token
	if !od.Keep {
		ended = append(ended, ho.replace(us, od.Slices, now)...)
	}
	if od.Until != 0 {
		ho.until = od.Until
	}
	return ended
}

// lapse ends the tenures of a grant whose deadline has passed. The slices stay
// listed: a grant that is renewed in time for nobody else goes on.
func (ho *holding) lapse(us ident.Upstream) []Tenure {
	ended := ho.end(us, ho.until)
	for sl := range ho.since {
		ho.since[sl] = clock.Never
	}
	return ended
}

func (ho *holding) replace(us ident.Upstream, granted []ident.Slice, now clock.Instant) []Tenure {
	fresh := make(map[ident.Slice]clock.Instant, len(granted))
	for _, sl := range granted {
		from, ok := ho.since[sl]
		if !ok || from == clock.Never {
			from = now
		}
		fresh[sl] = from
	}
	var ended []Tenure
	for sl, from := range ho.since {
		if _, ok := fresh[sl]; !ok && from.Before(now) {
			ended = append(ended, Tenure{Upstream: us, Pool: ho.pool, Slice: sl, From: from, To: clock.Min(now, ho.until)})
		}
	}
	ho.since = fresh
	return ended
}

// end returns the tenures that last, as ended at an instant.
func (ho *holding) end(us ident.Upstream, at clock.Instant) []Tenure {
	var ended []Tenure
	for sl, from := range ho.since {
		if to := clock.Min(at, ho.until); from.Before(to) {
			ended = append(ended, Tenure{Upstream: us, Pool: ho.pool, Slice: sl, From: from, To: to})
		}
	}
	return ended
}

func (ho *holding) owns(sl ident.Slice, now clock.Instant) bool {
	_, ok := ho.since[sl]
	return ok && now.Before(ho.until)
}

func (ho *holding) list() []ident.Slice {
	list := make([]ident.Slice, 0, len(ho.since))
	for sl := range ho.since {
		list = append(list, sl)
	}
	slices.Sort(list)
	return list
}

// covered tells whether a current grant covers the request's slice and token;
// the caller holds the lock.
func (us *Upstream) covered(rq *http.Request, now clock.Instant) bool {
	ho := us.holdings[ident.Pool(rq.Header.Get(control.PoolHeader))]
	if ho == nil || !now.Before(ho.until) {
		return false
	}
	tk, err := control.ParseToken(rq.Header.Get(control.TokenHeader))
	if err != nil || tk.Term != ho.token.Term || tk.Epoch != ho.token.Epoch {
		return false
	}
	text := rq.Header.Get(control.SliceHeader)
	if text == "" {
		return true
	}
	number, err := strconv.ParseUint(text, 10, 32)
	return err == nil && ho.owns(ident.Slice(number), now)
}
