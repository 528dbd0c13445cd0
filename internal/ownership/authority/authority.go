// Package authority decides for one node which pools it holds, which upstream
// owns which slice, and where requests go.
//
// The core is pure: it is given what happened and the time, and returns what
// to do. The same core runs in the node, in the fuzzing and in the benchmarks:
//
//	co := authority.New("n1", "north")
//	for _, cmd := range co.Update(now, authority.BundleMsg{Bundle: bn}) {
//		run(cmd)
//	}
package authority

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/grant"
)

const (
	// RenewEvery is the time between two renewals of a grant.
	RenewEvery = 250 * time.Millisecond
	// GrantTime is how long a grant lasts from the upstream's reading.
	GrantTime = 900 * time.Millisecond
)

// Msg is something that happened.
type Msg interface{ isMsg() }

// TickMsg says that time has passed.
type TickMsg struct{}

// BundleMsg says that a bundle is in force.
type BundleMsg struct{ Bundle *bundle.Bundle }

// UpstreamMsg is an upstream's answer to an order, or its absence.
type UpstreamMsg struct {
	Upstream ident.Upstream
	Order    grant.Order
	Reply    grant.Reply
	Err      error
}

func (TickMsg) isMsg()     {}
func (BundleMsg) isMsg()   {}
func (UpstreamMsg) isMsg() {}

// Cmd is something to do.
type Cmd interface{ isCmd() }

// OrderCmd sends an order to an upstream; its answer is an UpstreamMsg.
type OrderCmd struct {
	Upstream ident.Upstream
	Order    grant.Order
}

// PoolCmd tells serving what the node may dispatch for a pool it holds.
type PoolCmd struct{ View View }

// DropCmd tells serving that the node no longer holds a pool.
type DropCmd struct{ Pool ident.Pool }

// RouteCmd replaces the node's routes.
type RouteCmd struct{ Routes *route.Table }

func (OrderCmd) isCmd() {}
func (PoolCmd) isCmd()  {}
func (DropCmd) isCmd()  {}
func (RouteCmd) isCmd() {}

// View is what a holder may dispatch for one pool. It is never changed.
type View struct {
	Pool ident.Pool
	// Until is the end of the holder's lease, on the node's clock.
	Until clock.Instant
	// Owners gives the upstream of each slice that the pool serves.
	Owners map[ident.Slice]ident.Upstream
	// Grants gives what each upstream was granted; one without is not served.
	Grants map[ident.Upstream]Grant
}

// Grant is what an upstream was granted and confirmed.
type Grant struct {
	Token grant.Token
	// Until is the earliest end of the grant, on the node's clock.
	Until       clock.Instant
	Incarnation string
}

// Core is one node's decisions on ownership.
type Core struct {
	host   ident.Host
	domain ident.Domain
	bundle *bundle.Bundle
	pools  map[ident.Pool]*held
}

// held is a pool that this node holds.
type held struct {
	pool      bundle.Pool
	seq       uint64
	owners    map[ident.Slice]ident.Upstream
	grants    map[ident.Upstream]Grant
	readings  map[ident.Upstream]clock.Instant
	nextRenew clock.Instant
}

// New makes the core of a node.
func New(host ident.Host, domain ident.Domain) *Core {
	return &Core{host: host, domain: domain, pools: map[ident.Pool]*held{}}
}

// Update takes one message and returns what to do.
func (co *Core) Update(now clock.Instant, msg Msg) []Cmd {
	switch mg := msg.(type) {
	case BundleMsg:
		return co.adopt(mg.Bundle)
	case TickMsg:
		return co.renew(now)
	case UpstreamMsg:
		return co.confirm(now, mg)
	}
	return nil
}

// adopt puts a bundle in force: pools whose holder this node is are taken.
func (co *Core) adopt(bn *bundle.Bundle) []Cmd {
	co.bundle = bn
	rt := &route.Table{
		Slices:  map[ident.Service][]ident.Pool{},
		Nearest: map[ident.Service][]ident.Pool{},
		Holders: map[ident.Pool]ident.Host{},
	}
	for ix := range bn.Services {
		co.adoptService(&bn.Services[ix], rt)
	}
	return []Cmd{RouteCmd{Routes: rt}}
}

func (co *Core) adoptService(sv *bundle.Service, rt *route.Table) {
	pools := sv.Pools()
	sliceOwners := map[ident.Pool]map[ident.Slice]ident.Upstream{}
	for _, pl := range pools {
		sliceOwners[pl.Name] = map[ident.Slice]ident.Upstream{}
	}
	if sv.Keyed {
		rt.Slices[sv.Name] = make([]ident.Pool, sv.Slices)
		for sl := range ident.Slice(sv.Slices) {
			pl, up := place(sv.Name, sl, pools)
			rt.Slices[sv.Name][sl] = pl
			sliceOwners[pl][sl] = up
		}
	} else {
		rt.Nearest[sv.Name] = nearest(pools, co.domain)
	}
	for _, pl := range pools {
		holder := holderOf(co.bundle, pl)
		rt.Holders[pl.Name] = holder
		if holder == co.host {
			co.pools[pl.Name] = &held{
				pool:     pl,
				owners:   sliceOwners[pl.Name],
				grants:   map[ident.Upstream]Grant{},
				readings: map[ident.Upstream]clock.Instant{},
			}
		}
	}
}

// renew sends every held pool's grants when they are due.
func (co *Core) renew(now clock.Instant) []Cmd {
	var cmds []Cmd
	for _, hd := range co.pools {
		if now.Before(hd.nextRenew) {
			continue
		}
		hd.nextRenew = now.Add(RenewEvery)
		for _, up := range hd.pool.Upstreams {
			cmds = append(cmds, OrderCmd{Upstream: up.Name, Order: hd.order(up.Name)})
		}
	}
	return cmds
}

// order builds the next order for an upstream: the first one only asks for its
// clock, all others grant from the reading of the one before.
func (hd *held) order(up ident.Upstream) grant.Order {
	hd.seq++
	od := grant.Order{Pool: hd.pool.Name, Token: grant.Token{Term: 1, Epoch: 1, Seq: hd.seq}}
	reading, known := hd.readings[up]
	if !known {
		od.Keep = true
		return od
	}
	od.Until = reading.Add(GrantTime)
	for sl, owner := range hd.owners {
		if owner == up {
			od.Slices = append(od.Slices, sl)
		}
	}
	return od
}

func (co *Core) confirm(now clock.Instant, mg UpstreamMsg) []Cmd {
	hd := co.pools[mg.Order.Pool]
	if hd == nil || mg.Err != nil || !mg.Reply.Accepted {
		return nil
	}
	_, known := hd.readings[mg.Upstream]
	hd.readings[mg.Upstream] = mg.Reply.Reading
	if mg.Order.Until == 0 {
		if !known {
			return []Cmd{OrderCmd{Upstream: mg.Upstream, Order: hd.order(mg.Upstream)}}
		}
		return nil
	}
	left := mg.Order.Until.Sub(mg.Reply.Reading)
	hd.grants[mg.Upstream] = Grant{Token: mg.Order.Token, Until: now.Add(left), Incarnation: mg.Reply.Incarnation}
	return []Cmd{PoolCmd{View: hd.view()}}
}

func (hd *held) view() View {
	vw := View{
		Pool:   hd.pool.Name,
		Until:  clock.Never,
		Owners: hd.owners,
		Grants: make(map[ident.Upstream]Grant, len(hd.grants)),
	}
	for up, gr := range hd.grants {
		vw.Grants[up] = gr
	}
	return vw
}
