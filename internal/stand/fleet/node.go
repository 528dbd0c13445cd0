package fleet

import (
	"errors"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/table"
)

// errNoAnswer stands for an upstream that did not answer in time.
var errNoAnswer = errors.New("no answer")

// incarnationStep is the time between two starts of a host's processes at
// least, in nanoseconds.
const incarnationStep = 1_000_000_000

// Node is one node: its core, its clock and what it shows to serving.
type Node struct {
	fleet   *Fleet
	host    ident.Host
	domain  ident.Domain
	clock   *Clock
	core    *authority.Core
	process int
	up      bool
	paused  bool
	waiting []authority.Msg
	views   map[ident.Pool]authority.View
	routes  *route.Table
	// leaving says that a planned stop was asked for.
	leaving bool
	stopped bool
}

func (nd *Node) start() {
	nd.process++
	process := nd.process
	opts := append([]authority.Option{authority.WithIncarnation(exchange.Incarnation(process) * incarnationStep)}, nd.fleet.options...)
	nd.core = authority.New(nd.host, nd.domain, opts...)
	nd.up, nd.paused, nd.waiting = true, false, nil
	nd.leaving, nd.stopped = false, false
	nd.views, nd.routes = map[ident.Pool]authority.View{}, nil
	nd.fleet.Line.After(startTime, func() { nd.reply(process, authority.BundleMsg{Bundle: nd.fleet.Bundle}) })
	phase := time.Duration(nd.fleet.rand.Int64N(int64(tick)))
	nd.fleet.Line.After(startTime+phase, func() { nd.tick(process) })
}

func (nd *Node) tick(process int) {
	if !nd.up || nd.process != process {
		return
	}
	if !nd.paused {
		nd.take(authority.TickMsg{})
	}
	nd.fleet.Line.After(tick, func() { nd.tick(process) })
}

// reply takes a message that only the process that asked can get.
func (nd *Node) reply(process int, msg authority.Msg) {
	if nd.process == process {
		nd.take(msg)
	}
}

// take gives a message to the core; a paused process finds it when it wakes.
func (nd *Node) take(msg authority.Msg) {
	switch {
	case !nd.up:
	case nd.paused:
		nd.waiting = append(nd.waiting, msg)
	default:
		nd.fleet.noteCopy(nd, msg)
		for _, cmd := range nd.core.Update(nd.clock.Now(), msg) {
			nd.do(cmd)
		}
	}
}

func (nd *Node) do(cmd authority.Cmd) {
	switch cm := cmd.(type) {
	case exchange.SendCmd:
		nd.send(cm)
	case exchange.OrderCmd:
		nd.order(cm)
	case exchange.TableCmd:
		nd.operate(cm)
	case authority.PoolCmd:
		nd.views[cm.View.Pool] = cm.View
		nd.fleet.checkHolder(nd, cm.View)
	case authority.DropCmd:
		delete(nd.views, cm.Pool)
	case authority.RouteCmd:
		nd.routes = cm.Routes
	case authority.StoppedCmd:
		nd.stopped = true
	}
}

func (nd *Node) send(cm exchange.SendCmd) {
	fl := nd.fleet
	if fl.Meter != nil {
		fl.Meter(nd.host, cm.To, cm.Notice)
	}
	to := fl.Nodes[cm.To]
	fl.carry(string(nd.host), string(cm.To), to.domain != nd.domain, func() {
		to.take(authority.PeerMsg{From: nd.host, Notice: cm.Notice})
	})
}

func (nd *Node) order(cm exchange.OrderCmd) {
	fl, process, answered := nd.fleet, nd.process, false
	fl.checkRecorded(nd, cm.Order)
	answer := func(rp grant.Reply, err error) {
		if !answered {
			answered = true
			nd.reply(process, authority.UpstreamMsg{UpstreamMsg: exchange.UpstreamMsg{
				Upstream: cm.Upstream, Number: cm.Number, Order: cm.Order, Reply: rp, Err: err,
			}})
		}
	}
	us := fl.Upstreams[cm.Upstream]
	fl.carry(string(nd.host), string(us.name), false, func() {
		us.take(fl, cm.Order, func(rp grant.Reply) {
			if fl.OrderMeter != nil {
				fl.OrderMeter(nd.host, cm.Order, rp)
			}
			fl.carry(string(us.name), string(nd.host), false, func() { answer(rp, nil) })
		})
	})
	fl.Line.After(answerTime, func() { answer(grant.Reply{}, errNoAnswer) })
}

func (nd *Node) operate(cm exchange.TableCmd) {
	fl, process, answered := nd.fleet, nd.process, false
	answer := func(rs table.Result) {
		if !answered {
			answered = true
			nd.reply(process, authority.TableMsg{TableMsg: exchange.TableMsg{Tag: cm.Tag, Number: cm.Number, Result: rs}})
		}
	}
	tb := fl.Table
	fl.carry(string(nd.host), TableEnd, false, func() {
		if tb.Down {
			return
		}
		fl.Line.After(tb.Slow, func() {
			rs := tb.Do(cm)
			if tb.LoseAnswers > 0 && fl.rand.Float64() < tb.LoseAnswers {
				return
			}
			fl.carry(TableEnd, string(nd.host), false, func() { answer(rs) })
		})
	})
	fl.Line.After(answerTime, func() { answer(table.Result{}) })
}

// Kill ends a host's process.
func (fl *Fleet) Kill(ho ident.Host) {
	nd := fl.Nodes[ho]
	nd.up, nd.waiting = false, nil
	nd.process++
}

// Start starts a host's process anew; one that runs is killed first.
func (fl *Fleet) Start(ho ident.Host) {
	fl.Kill(ho)
	fl.Nodes[ho].start()
}

// Stop begins a planned stop; Stopped tells when the node may end.
func (fl *Fleet) Stop(ho ident.Host) {
	fl.Nodes[ho].leaving = true
	fl.Nodes[ho].take(authority.StopMsg{})
}

// Leaving tells whether a planned stop was asked for.
func (fl *Fleet) Leaving(ho ident.Host) bool { return fl.Nodes[ho].leaving }

// Stopped tells whether a planned stop has handed everything over.
func (fl *Fleet) Stopped(ho ident.Host) bool { return fl.Nodes[ho].stopped }

// Pause freezes a host's process; its clock runs on.
func (fl *Fleet) Pause(ho ident.Host) { fl.Nodes[ho].paused = true }

// Resume wakes a process, which finds all messages that came meanwhile.
func (fl *Fleet) Resume(ho ident.Host) {
	nd := fl.Nodes[ho]
	if !nd.paused {
		return
	}
	nd.paused = false
	waiting := nd.waiting
	nd.waiting = nil
	for _, msg := range waiting {
		nd.take(msg)
	}
}

// JumpHost moves a host's clock forward.
func (fl *Fleet) JumpHost(ho ident.Host, by time.Duration) { fl.Nodes[ho].clock.Jump(by) }

// Up tells whether a host's process runs and is not paused.
func (fl *Fleet) Up(ho ident.Host) bool { return fl.Nodes[ho].up && !fl.Nodes[ho].paused }

// HolderOf returns the host whose view of a pool is in force.
func (fl *Fleet) HolderOf(pl ident.Pool) (ident.Host, bool) {
	for _, name := range fl.Hosts() {
		nd := fl.Nodes[name]
		if vw, ok := nd.views[pl]; ok && nd.up && nd.clock.Now().Before(vw.Until) {
			return name, true
		}
	}
	return "", false
}

// LeaderOf returns the host that leads a domain, as most of its hosts say.
func (fl *Fleet) LeaderOf(dm ident.Domain) (ident.Host, bool) {
	for _, ho := range fl.Bundle.HostsOf(dm) {
		nd := fl.Nodes[ho.Name]
		if nd.up && nd.core.Leads(nd.clock.Now()) {
			return ho.Name, true
		}
	}
	return "", false
}

// Report gives a load report to the node that holds a pool.
func (fl *Fleet) Report(pl ident.Pool, msg authority.LoadMsg) {
	if ho, ok := fl.HolderOf(pl); ok {
		fl.Nodes[ho].take(msg)
	}
}

// Leads tells whether a host's process has the right to lead its domain.
func (fl *Fleet) Leads(ho ident.Host) bool {
	nd := fl.Nodes[ho]
	return nd.up && nd.core.Leads(nd.clock.Now())
}
