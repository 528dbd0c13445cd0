package authority

import (
	"maps"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
)

// firstRoutes is how long a starting node waits for the routes of all pools
// before it serves with those it has.
const firstRoutes = 1500 * time.Millisecond

// routes are the holders that this node knows of.
type routes struct {
	// number is that of the leader's routes in force here.
	number  uint64
	holders map[ident.Pool]ident.Host
	told    map[ident.Domain]exchange.Offer
	changed bool
	shown   bool
	since   clock.Instant
}

// learnRoutes takes the routes in a leader's answer.
func (co *Core) learnRoutes(ls exchange.Lease, same bool) {
	if same && ls.RouteNumber < co.routes.number {
		return
	}
	co.routes.number = ls.RouteNumber
	co.setHolders(ls.Routes)
}

func (co *Core) setHolders(list []exchange.Holding) {
	for _, hl := range list {
		if co.routes.holders[hl.Pool] != hl.Holder {
			co.routes.holders[hl.Pool] = hl.Holder
			co.routes.changed = true
		}
	}
}

// hearRoutes exchanges routes with the leaders of other domains. Any host
// takes an offer and passes it to its own leader.
func (co *Core) hearRoutes(from ident.Host, notice exchange.Notice) []Cmd {
	switch nt := notice.(type) {
	case exchange.Offer:
		return co.hearOffer(from, nt)
	case exchange.Want:
		if co.leader != nil {
			told := exchange.Told{Offer: co.ownOffer(), Routes: co.leader.pools.Own()}
			return []Cmd{exchange.SendCmd{To: from, Notice: told}}
		}
	case exchange.Told:
		if co.leader == nil || !newer(nt.Offer, co.routes.told[nt.Offer.Domain]) {
			return nil
		}
		if co.routes.told == nil {
			co.routes.told = map[ident.Domain]exchange.Offer{}
		}
		co.routes.told[nt.Offer.Domain] = nt.Offer
		co.leader.pools.Learn(nt.Routes)
	}
	return nil
}

// hearOffer asks for newer routes. A host that does not lead passes the offer
// to its leader, but not one that a host of its own domain has passed: two hosts
// that take each other for the leader would send it back and forth for ever.
func (co *Core) hearOffer(from ident.Host, of exchange.Offer) []Cmd {
	if co.bundle == nil || of.Domain == co.domain {
		return nil
	}
	if co.leader == nil {
		sender, ok := co.bundle.Host(from)
		passed := !ok || sender.Domain == co.domain
		if leader, _ := co.term.Leader(); !passed && leader != "" && leader != co.host {
			return []Cmd{exchange.SendCmd{To: leader, Notice: of}}
		}
		return nil
	}
	if newer(of, co.routes.told[of.Domain]) {
		return []Cmd{exchange.SendCmd{To: of.Leader, Notice: exchange.Want{}}}
	}
	return nil
}

func newer(of, than exchange.Offer) bool {
	return of.Term > than.Term || (of.Term == than.Term && of.Number > than.Number)
}

// showRoutes gives serving the routes when they changed. The first are held
// back until every pool has a holder, or for as long as a start may take.
func (co *Core) showRoutes(now lease.Moment) []Cmd {
	if co.bundle == nil || !co.routes.changed {
		return nil
	}
	if co.routes.since == 0 {
		co.routes.since = now.Now
	}
	if !co.routes.shown && !co.complete() && now.Now.Before(co.routes.since.Add(firstRoutes)) {
		return nil
	}
	co.routes.changed, co.routes.shown = false, true
	return []Cmd{RouteCmd{Routes: co.table()}}
}

// complete tells whether every pool has a holder and every slice a pool.
func (co *Core) complete() bool {
	for name := range co.pools {
		if co.routes.holders[name] == "" {
			return false
		}
	}
	for ix := range co.bundle.Services {
		sv := &co.bundle.Services[ix]
		if sv.Keyed && co.places.rows[sv.Name].version == 0 {
			return false
		}
	}
	return true
}

func (co *Core) table() *route.Table {
	rt := &route.Table{
		Slices:  map[ident.Service][]ident.Pool{},
		Nearest: map[ident.Service][]ident.Pool{},
		Holders: maps.Clone(co.routes.holders),
	}
	maps.DeleteFunc(rt.Holders, func(_ ident.Pool, ho ident.Host) bool { return ho == "" })
	for ix := range co.bundle.Services {
		sv := &co.bundle.Services[ix]
		if sv.Keyed {
			rt.Slices[sv.Name] = co.places.rows[sv.Name].row.Pools
		} else {
			rt.Nearest[sv.Name] = nearest(co.poolsInService(sv), co.domain)
		}
	}
	return rt
}
