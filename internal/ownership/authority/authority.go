// Package authority decides for one node which pools it holds, which upstream
// owns which slice, and where requests go.
//
// It composes the election of the domain's leader, the leases of its pools and
// the grants of the pools held here. The core is pure: it is given what
// happened and the time, and returns what to do. The same core runs in the
// node, in the fuzzing and in the benchmarks:
//
//	co := authority.New("n1", "north", authority.WithIncarnation(7))
//	for _, cmd := range co.Update(now, authority.BundleMsg{Bundle: bn}) {
//		run(cmd)
//	}
package authority

import (
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/domain"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/ownership/term"
)

// Msg is something that happened.
type Msg interface{ isMsg() }

// TickMsg says that time has passed.
type TickMsg struct{}

// BundleMsg says that a bundle is in force.
type BundleMsg struct{ Bundle *bundle.Bundle }

// UpstreamMsg is an upstream's answer to an order, or its absence.
type UpstreamMsg struct{ exchange.UpstreamMsg }

// TableMsg is the result of a table operation.
type TableMsg struct{ exchange.TableMsg }

// PeerMsg is a peer's word.
type PeerMsg struct {
	From   ident.Host
	Notice exchange.Notice
}

// StopMsg says that the node is about to stop: it hands over what it has and
// answers with a StoppedCmd.
type StopMsg struct{}

func (TickMsg) isMsg()     {}
func (BundleMsg) isMsg()   {}
func (UpstreamMsg) isMsg() {}
func (TableMsg) isMsg()    {}
func (PeerMsg) isMsg()     {}
func (StopMsg) isMsg()     {}

// Cmd is something to do: a command of package exchange, or one of these.
type Cmd = exchange.Cmd

// PoolCmd tells serving what the node may dispatch for a pool it holds.
type PoolCmd struct{ View View }

// DropCmd tells serving that the node no longer holds a pool.
type DropCmd struct{ Pool ident.Pool }

// RouteCmd replaces the node's routes.
type RouteCmd struct{ Routes *route.Table }

// StoppedCmd says that all was handed over, or that the time for it is up.
type StoppedCmd struct{}

// Command marks a command.
func (PoolCmd) Command() {}

// Command marks a command.
func (DropCmd) Command() {}

// Command marks a command.
func (RouteCmd) Command() {}

// Command marks a command.
func (StoppedCmd) Command() {}

// View is what a holder may dispatch for one pool.
type View = pool.View

// Grant is what an upstream was granted and confirmed.
type Grant = pool.Grant

// Option changes a core at its making.
type Option func(*Core)

// WithIncarnation tells this process from earlier ones of its host; a later
// process has a higher number.
func WithIncarnation(inc exchange.Incarnation) Option {
	return func(co *Core) { co.incarnation = inc }
}

// WithLine sets the time line.
func WithLine(ln lease.Line) Option {
	return func(co *Core) { co.line = ln }
}

// WithDefect breaks a rule, to show that a test's oracle notices.
func WithDefect(df lease.Defect) Option {
	return func(co *Core) { co.defect = df }
}

// Core is one node's decisions on ownership.
type Core struct {
	host        ident.Host
	domain      ident.Domain
	incarnation exchange.Incarnation
	line        lease.Line
	defect      lease.Defect
	watch       lease.Watch
	bundle      *bundle.Bundle
	pools       map[ident.Pool]bundle.Pool
	// ownPools are the pools of this domain, in the bundle's order.
	ownPools []ident.Pool

	term    *term.Core
	domains domains
	moving  moving
	// balances are the loads of the pools held here.
	balances map[ident.Pool]*balance
	tables   tables
	places   places
	routes   routes
	copies   map[ident.Pool]pool.Row
	leader   *leader
	holders  map[ident.Pool]*pool.Holder
	// applied is the assignment in force here, of the leader of appliedTerm.
	applied     uint64
	appliedTerm uint64
	stopping    stopping
	// own holds what this node says to itself.
	own []exchange.Notice
}

// New makes the core of a node that has just started.
func New(host ident.Host, dm ident.Domain, opts ...Option) *Core {
	co := &Core{
		host: host, domain: dm, incarnation: 1, line: lease.Default(),
		pools:    map[ident.Pool]bundle.Pool{},
		balances: map[ident.Pool]*balance{},
		moving:   moving{next: map[ident.Pool]clock.Instant{}, batch: map[ident.Pool]int{}},
		tables:   tables{operations: map[uint64]*operation{}},
		places:   places{rows: map[ident.Service]place{}},
		routes:   routes{holders: map[ident.Pool]ident.Host{}},
		copies:   map[ident.Pool]pool.Row{},
		holders:  map[ident.Pool]*pool.Holder{},
	}
	for _, opt := range opts {
		opt(co)
	}
	co.domains = newDomains(dm, co.line)
	co.tables.number = uint64(co.incarnation)
	co.term = term.New(host, dm, co.incarnation, term.WithLine(co.line), term.WithDefect(co.defect))
	return co
}

// Update takes one message and returns what to do.
func (co *Core) Update(now clock.Instant, msg Msg) []Cmd {
	at := co.watch.At(now)
	cmds := co.take(at, msg)
	cmds = append(cmds, co.lead(at)...)
	for len(co.own) > 0 {
		notice := co.own[0]
		co.own = co.own[1:]
		cmds = append(cmds, co.hear(at, co.host, notice)...)
		cmds = append(cmds, co.lead(at)...)
	}
	cmds = append(cmds, co.finish(at)...)
	return append(co.views(), cmds...)
}

func (co *Core) take(now lease.Moment, msg Msg) []Cmd {
	switch mg := msg.(type) {
	case TickMsg:
		return co.tick(now)
	case BundleMsg:
		return co.adopt(now, mg.Bundle)
	case UpstreamMsg:
		if ho := co.holders[mg.Order.Pool]; ho != nil {
			return co.fromHolder(ho, ho.Hear(now, mg.UpstreamMsg))
		}
	case TableMsg:
		return co.hearTable(now, mg.TableMsg)
	case PeerMsg:
		return co.hear(now, mg.From, mg.Notice)
	case LoadMsg:
		co.observe(now, mg)
	case StopMsg:
		return co.stop(now)
	}
	return nil
}

func (co *Core) tick(now lease.Moment) []Cmd {
	if co.bundle == nil {
		return nil
	}
	cmds := co.fromTerm(now, co.term.Update(now, term.TickMsg{}))
	cmds = append(cmds, co.expire(now)...)
	cmds = append(cmds, co.learnPlaces(now)...)
	for _, name := range sortedKeys(co.holders) {
		co.place(name, co.holders[name])
		cmds = append(cmds, co.fromHolder(co.holders[name], co.holders[name].Tick(now))...)
	}
	co.evenOut(now)
	cmds = append(cmds, co.runDomains(now)...)
	cmds = append(cmds, co.movePools(now)...)
	return append(cmds, co.showRoutes(now)...)
}

// adopt puts a bundle in force.
func (co *Core) adopt(now lease.Moment, bn *bundle.Bundle) []Cmd {
	co.bundle = bn
	co.learnPools()
	co.domains.core.Update(now, domain.BundleMsg{Bundle: bn})
	cmds := co.fromTerm(now, co.term.Update(now, term.HostsMsg{Hosts: co.peersAndSelf()}))
	for name, ho := range co.holders {
		if pl, ok := co.pools[name]; ok {
			ho.SetPool(pl)
		}
		ho.SetPeers(co.peers())
	}
	co.routes.changed = true
	return append(cmds, co.tick(now)...)
}

// peersAndSelf lists the hosts that take part in the domain's elections.
func (co *Core) peersAndSelf() []ident.Host {
	var list []ident.Host
	for _, ho := range co.bundle.HostsOf(co.domain) {
		if !ho.Out {
			list = append(list, ho.Name)
		}
	}
	return list
}

func (co *Core) peers() []ident.Host {
	var list []ident.Host
	for _, ho := range co.peersAndSelf() {
		if ho != co.host {
			list = append(list, ho)
		}
	}
	return list
}

// learnPools divides the bundle into pools once, since a leader needs them with
// every message.
func (co *Core) learnPools() {
	co.pools, co.ownPools = map[ident.Pool]bundle.Pool{}, nil
	for _, pl := range co.bundle.Pools() {
		co.pools[pl.Name] = pl
		if pl.Domain == co.domain {
			co.ownPools = append(co.ownPools, pl.Name)
		}
	}
}

// Leads tells whether this node has the right to lead its domain now.
func (co *Core) Leads(now clock.Instant) bool {
	_, leads := co.term.Leads(lease.Moment{Now: max(now, co.watch.Last())})
	return leads
}

// views shows serving the pools whose view changed. It goes ahead of all other
// commands, so that nothing is dispatched by a right that an order takes back.
func (co *Core) views() []Cmd {
	var cmds []Cmd
	for _, name := range sortedKeys(co.holders) {
		if co.holders[name].Changed() {
			cmds = append(cmds, PoolCmd{View: co.holders[name].View()})
		}
	}
	return cmds
}
