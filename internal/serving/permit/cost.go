package permit

import (
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/serving/locality"
)

// refusalCost is added to the expected latency of an upstream that refuses all requests, because
// each refusal costs an attempt.
const refusalCost = 400 * time.Millisecond

// domainRoom is the room of a pool in one domain. guests is how many more requests of other
// domains it takes.
type domainRoom struct {
	locality.Room
	domain ident.Domain
	guests int
}

// rooms is the room of a pool in each domain that has some of its upstreams.
type rooms []domainRoom

// in returns the room in a domain.
func (rms rooms) in(dm ident.Domain) domainRoom {
	for ix := range rms {
		if rms[ix].domain == dm {
			return rms[ix]
		}
	}
	return domainRoom{}
}

// poolID identifies a pool as asks name it.
type poolID struct {
	service     ident.Service
	pool, pools int
}

func (ak *ask) poolID() poolID { return poolID{ak.Service, ak.Pool, ak.Pools} }

// place returns the part of the ask's pool in a domain.
func (ak *ask) place(dm ident.Domain) locality.Place {
	return locality.Place{Service: ak.Service, Pool: ak.Pool, Pools: ak.Pools, Domain: dm}
}

// route is what the choice of an upstream for an ask depends on beside the upstream.
type route struct {
	ak    *ask
	rooms rooms
	// leave is the cost of leaving the caller's domain.
	leave time.Duration
	// stays means that the ask waits for an upstream in its own domain, of which none is free.
	stays bool
}

// route returns the route of an ask.
func (co *Core) route(now clock.Instant, ak *ask) route {
	rq := locality.Request{
		Size: locality.SizeClass(ak.SizeClass), Download: ak.Large, ArrivedAt: ak.arrivedAt, Objective: ak.objective,
		Latency: co.expectedLatencyFor(now, ak),
	}
	rt := route{ak: ak, rooms: co.roomsOf(now, ak), leave: rq.LeaveCost(now)}
	home := rt.rooms.in(ak.Domain)
	rt.stays = home.Slots > 0 && home.Free == 0 && now < rq.StayUntil()
	return rt
}

// cost returns the expected latency of an upstream plus the cost of refusals and of leaving the
// caller's domain; cold upstreams count double.
func (co *Core) cost(now clock.Instant, rt route, us *upstream) time.Duration {
	// An upstream that refuses requests is not preferred for being near.
	cost := us.latencyAt(now) + time.Duration(us.refusalRatio*float64(refusalCost+rt.leave))
	if us.cold(now) {
		cost += us.latencyAt(now)
	}
	if us.Domain == rt.ak.Domain {
		return cost
	}
	return cost + rt.leave + co.links.Delay(rt.ak.linkTo(us))
}

// excludes reports whether an upstream is in another domain that has no room for the ask.
func (rt *route) excludes(us *upstream) bool {
	return us.Domain != rt.ak.Domain && rt.rooms.in(us.Domain).guests == 0
}

// roomsOf returns the room of the ask's pool. An upstream with a limit counts with one slot, one
// that takes no request now for another reason than load with none.
func (co *Core) roomsOf(now clock.Instant, ak *ask) rooms {
	id := ak.poolID()
	if rms, known := co.poolRooms[id]; known {
		return rms
	}
	var rms rooms
	for _, us := range co.upstreamsOf[ak.Service] {
		if !us.usable || now.Before(us.backoffUntil) || !ak.inPool(us) {
			continue
		}
		ix := slices.IndexFunc(rms, func(rm domainRoom) bool { return rm.domain == us.Domain })
		if ix < 0 {
			ix, rms = len(rms), append(rms, domainRoom{domain: us.Domain})
		}
		if lm := co.limitOf(now, us); !lm.Named {
			rms[ix].Slots += us.slots
			rms[ix].Free += max(us.slots-us.busy(now), 0)
		} else if rms[ix].Slots++; us.available(now, lm) {
			rms[ix].Free++
		}
	}
	for ix := range rms {
		rms[ix].guests = co.spill.GuestRoom(now, ak.place(rms[ix].domain), rms[ix].Room)
	}
	co.poolRooms[id] = rms
	return rms
}

// noteRoute notes where an ask without a key is sent.
func (co *Core) noteRoute(now clock.Instant, ak *ask, us *upstream) {
	if ak.Keyed {
		return
	}
	if home := co.roomsOf(now, ak).in(ak.Domain); us.Domain != ak.Domain && home.Slots > 0 && home.Free == 0 {
		co.spill.SentAway(now, ak.place(ak.Domain))
	}
	clear(co.poolRooms)
}

// confined reports whether no other domain takes a request of the ask's pool from its domain, which
// has upstreams of its own.
func (co *Core) confined(now clock.Instant, ak *ask) bool {
	rms := co.roomsOf(now, ak)
	return rms.in(ak.Domain).Slots > 0 && !slices.ContainsFunc(rms, func(rm domainRoom) bool { return rm.domain != ak.Domain && rm.guests > 0 })
}
