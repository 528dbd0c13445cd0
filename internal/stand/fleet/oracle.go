package fleet

import (
	"fmt"
	"maps"
	"slices"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/ownership/pool"
)

// copies is how many peers must keep a state that the table does not have.
const copies = 2

// state names one recorded state of a holder.
type state struct {
	pool  ident.Pool
	term  uint64
	epoch uint64
	slice ident.Slice
	owner ident.Upstream
}

// grantedTo is the latest owner that was granted a slice.
type grantedTo struct {
	upstream ident.Upstream
	token    grant.Token
}

// Violations lists the promises that were broken so far.
func (fl *Fleet) Violations() []string { return fl.violations }

func (fl *Fleet) violate(format string, args ...any) {
	at := fmt.Sprintf("at %v: ", timeOf(int64(fl.Line.Now())))
	fl.violations = append(fl.violations, at+fmt.Sprintf(format, args...))
}

// checkOwners runs whenever an upstream took an order, since only then can the
// set of slices that it serves grow.
func (fl *Fleet) checkOwners(us *Upstream, pl ident.Pool) {
	ho := us.holdings[pl]
	if !us.clock.Now().Before(ho.until) {
		return
	}
	for _, other := range fl.Upstreams {
		if other == us {
			continue
		}
		for sl := range ho.slices {
			if other.serves(pl.Service(), sl) {
				fl.violate("slice %d of %s is served by %s and %s", sl, pl.Service(), us.name, other.name)
			}
		}
	}
}

// checkHolder runs whenever a node shows a view: no other node may dispatch
// for the pool by a view that is still in force on its clock.
func (fl *Fleet) checkHolder(nd *Node, vw authority.View) {
	if !nd.clock.Now().Before(vw.Until) || len(vw.Grants) == 0 {
		return
	}
	for _, other := range fl.Nodes {
		seen, ok := other.views[vw.Pool]
		if other == nd || !ok || !other.up || !other.clock.Now().Before(seen.Until) || len(seen.Grants) == 0 {
			continue
		}
		fl.violate("pool %s is held by %s and %s", vw.Pool, nd.host, other.host)
	}
}

// noteCopy records that a node takes a copy of a state.
func (fl *Fleet) noteCopy(nd *Node, msg authority.Msg) {
	pm, _ := msg.(authority.PeerMsg)
	cp, ok := pm.Notice.(exchange.Copy)
	if !ok {
		return
	}
	rw, err := pool.DecodeRow(cp.Value)
	if err != nil {
		return
	}
	for sl, up := range rw.Owners {
		st := state{pool: fl.poolOf(up), term: rw.Term, epoch: rw.Epoch, slice: sl, owner: up}
		if fl.states[st] == nil {
			fl.states[st] = map[ident.Host]bool{}
		}
		fl.states[st][nd.host] = true
	}
}

func (fl *Fleet) poolOf(up ident.Upstream) ident.Pool {
	for _, pl := range fl.Bundle.Pools() {
		if slices.ContainsFunc(pl.Upstreams, func(one bundle.Upstream) bool { return one.Name == up }) {
			return pl.Name
		}
	}
	return ""
}

// checkRecorded runs whenever a holder sends a grant: every slice in it must be
// recorded by this holder, in the table or with enough peers.
func (fl *Fleet) checkRecorded(nd *Node, od grant.Order) {
	if len(od.Slices) == 0 {
		return
	}
	row := fl.Table.Row(pool.RowKey(od.Pool))
	written, _ := pool.DecodeRow(row.Value)
	fits := written.Term == od.Token.Term && written.Epoch == od.Token.Epoch
	others := len(fl.Bundle.HostsOf(nd.domain)) - 1
	for _, sl := range od.Slices {
		if _, ok := written.Owners[sl]; fits && ok {
			continue
		}
		if fl.copiesOf(od, sl) < min(copies, others) {
			fl.violate("slice %d of %s is granted by %s without a record", sl, od.Pool, nd.host)
		}
	}
}

func (fl *Fleet) copiesOf(od grant.Order, sl ident.Slice) int {
	count := 0
	for st, hosts := range fl.states {
		if st.pool == od.Pool && st.term == od.Token.Term && st.epoch == od.Token.Epoch && st.slice == sl {
			count = max(count, len(hosts))
		}
	}
	return count
}

// Owners returns which upstream serves each slice of the keyed service now, by
// a holder that would dispatch to it.
func (fl *Fleet) Owners() map[ident.Slice]ident.Upstream {
	owners := map[ident.Slice]ident.Upstream{}
	for _, name := range fl.Hosts() {
		nd := fl.Nodes[name]
		if !nd.up || nd.paused {
			continue
		}
		for pl, vw := range nd.views {
			for sl, up := range vw.Owners {
				us := fl.Upstreams[up]
				if nd.dispatches(vw, up) && !us.frozen && us.serves(pl.Service(), sl) && fl.Reaches(string(name), string(up)) {
					owners[sl] = up
				}
			}
		}
	}
	return owners
}

func (nd *Node) dispatches(vw authority.View, up ident.Upstream) bool {
	now := nd.clock.Now()
	return now.Before(vw.Until) && now.Before(vw.Grants[up].Until)
}

// Missing lists the slices of the keyed service that nobody serves now.
func (fl *Fleet) Missing() []ident.Slice {
	owners := fl.Owners()
	var list []ident.Slice
	for sl := range ident.Slice(fl.Bundle.Services[0].Slices) {
		if _, ok := owners[sl]; !ok {
			list = append(list, sl)
		}
	}
	return list
}

// AllServed tells whether every slice is served.
func (fl *Fleet) AllServed() bool { return len(fl.Missing()) == 0 }

// Recorded returns the owners that the table has for a pool.
func (fl *Fleet) Recorded(pl ident.Pool) map[ident.Slice]ident.Upstream {
	rw, err := pool.DecodeRow(fl.Table.Row(pool.RowKey(pl)).Value)
	if err != nil {
		return nil
	}
	return maps.Clone(rw.Owners)
}

// Unrouted lists the pools whose holder a host does not know, or takes to be
// another than the one that holds them.
func (fl *Fleet) Unrouted(ho ident.Host) []ident.Pool {
	var list []ident.Pool
	for _, pl := range fl.Bundle.Pools() {
		holder, held := fl.HolderOf(pl.Name)
		if !held {
			continue
		}
		if rt := fl.Nodes[ho].routes; rt == nil || rt.Holders[pl.Name] != holder {
			list = append(list, pl.Name)
		}
	}
	return list
}

// Unreached lists the slices of the keyed service for which a host knows no
// pool whose holder would dispatch them.
func (fl *Fleet) Unreached(ho ident.Host) []ident.Slice {
	sv := &fl.Bundle.Services[0]
	rt := fl.Nodes[ho].routes
	var list []ident.Slice
	for sl := range ident.Slice(sv.Slices) {
		if rt == nil || !fl.reaches(rt, sv.Name, sl) {
			list = append(list, sl)
		}
	}
	return list
}

func (fl *Fleet) reaches(rt *route.Table, sv ident.Service, sl ident.Slice) bool {
	pl, ok := rt.PoolOf(sv, sl)
	if !ok {
		return false
	}
	nd := fl.Nodes[rt.Holders[pl]]
	if nd == nil || !nd.up {
		return false
	}
	vw := nd.views[pl]
	return nd.dispatches(vw, vw.Owners[sl])
}
