package authority

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/ownership/slice"
)

const (
	// balanceEvery is the time between two plans for a pool held here.
	balanceEvery = 5 * time.Second
	// leastLoad is the decayed number of requests below which nothing moves.
	leastLoad = 200
)

// LoadMsg says how many requests arrived for the slices of a pool held here
// since the last such message.
type LoadMsg struct {
	Pool     ident.Pool
	Requests map[ident.Slice]uint64
}

func (LoadMsg) isMsg() {}

// balance is the load of one pool held here and the policy that evens it out.
type balance struct {
	meters map[ident.Slice]*slice.Meter
	policy slice.Policy[slice.Item, ident.Upstream]
	next   clock.Instant
}

// observe counts the requests of a pool held here.
func (co *Core) observe(now lease.Moment, mg LoadMsg) {
	if co.holders[mg.Pool] == nil {
		delete(co.balances, mg.Pool)
		return
	}
	ba := co.balances[mg.Pool]
	if ba == nil {
		ba = &balance{
			meters: map[ident.Slice]*slice.Meter{},
			policy: slice.NewFollowing[slice.Item, ident.Upstream](string(mg.Pool)),
			next:   now.Now.Add(balanceEvery),
		}
		co.balances[mg.Pool] = ba
	}
	for sl, count := range mg.Requests {
		if ba.meters[sl] == nil {
			ba.meters[sl] = &slice.Meter{}
		}
		ba.meters[sl].Add(now.Now, float64(count))
	}
}

// evenOut moves slices between the upstreams of each pool held here, as the
// policy plans; a lost upstream's slices are the holder's own matter.
func (co *Core) evenOut(now lease.Moment) {
	for _, name := range sortedKeys(co.balances) {
		ba, ho := co.balances[name], co.holders[name]
		if ho == nil {
			delete(co.balances, name)
			continue
		}
		if now.Now.Before(ba.next) || !ho.Settled() {
			continue
		}
		ba.next = now.Now.Add(balanceEvery)
		st, total := ba.state(now, ho)
		if total < leastLoad {
			continue
		}
		for _, mv := range ba.policy.Plan(now.Now, st) {
			if mv.Reason == slice.Balance {
				ho.Move(mv.Item.Slice, mv.To)
			}
		}
	}
}

// state is what the policy plans from, with the sum of all load.
func (ba *balance) state(now lease.Moment, ho *pool.Holder) (slice.State[slice.Item, ident.Upstream], float64) {
	st := slice.State[slice.Item, ident.Upstream]{
		Owners: map[slice.Item]ident.Upstream{}, Load: map[slice.Item]float64{},
	}
	for _, up := range ho.Able(now) {
		st.Targets = append(st.Targets, slice.Target[ident.Upstream]{Name: up.Name, Capacity: float64(max(up.Slots, 1)), Ramp: 1})
	}
	owners, total := ho.Owners(), 0.0
	for _, sl := range ho.Slices() {
		it := slice.Item{Slice: sl}
		owner, owned := owners[sl]
		if !owned {
			continue
		}
		st.Items = append(st.Items, it)
		st.Owners[it] = owner
		if me := ba.meters[sl]; me != nil {
			st.Load[it] = me.Value(now.Now)
			total += st.Load[it]
		}
	}
	return st, total
}
