package capacity

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/stand/fleet"
)

// stageTick is how often the stage tells the core the time, as the node does.
const stageTick = 25 * time.Millisecond

// stage runs the ownership core of one node, alone in its domain, with a table
// and upstreams that answer by the next tick and cost next to nothing.
type stage struct {
	core  *authority.Core
	now   clock.Instant
	table *fleet.Table
	queue []authority.Msg
	// views and orders count what the core told.
	views  int
	orders int
}

// newStage makes a node that holds every pool of a bundle with one host.
func newStage(bn *bundle.Bundle) *stage {
	sg := &stage{
		core:  authority.New(bn.Hosts[0].Name, bn.Hosts[0].Domain),
		table: fleet.NewTable(),
	}
	sg.take(authority.BundleMsg{Bundle: bn})
	return sg
}

// run lets virtual time pass.
func (sg *stage) run(dr time.Duration) {
	for end := sg.now.Add(dr); sg.now < end; {
		sg.now = sg.now.Add(stageTick)
		answers := sg.queue
		sg.queue = nil
		for _, msg := range answers {
			sg.take(msg)
		}
		sg.take(authority.TickMsg{})
	}
}

func (sg *stage) take(msg authority.Msg) {
	for _, cmd := range sg.core.Update(sg.now, msg) {
		sg.do(cmd)
	}
}

func (sg *stage) do(cmd authority.Cmd) {
	switch cm := cmd.(type) {
	case exchange.TableCmd:
		rs := sg.table.Do(cm)
		sg.queue = append(sg.queue, authority.TableMsg{TableMsg: exchange.TableMsg{Tag: cm.Tag, Number: cm.Number, Result: rs}})
	case exchange.OrderCmd:
		sg.orders++
		sg.queue = append(sg.queue, authority.UpstreamMsg{UpstreamMsg: exchange.UpstreamMsg{
			Upstream: cm.Upstream, Number: cm.Number, Order: cm.Order, Reply: sg.accept(cm.Order),
		}})
	case authority.PoolCmd:
		sg.views++
	}
}

// accept is the answer of an upstream that takes every order.
func (sg *stage) accept(od grant.Order) grant.Reply {
	return grant.Reply{
		Accepted: true, Reading: sg.now, Incarnation: "1", Highest: od.Token,
		Slices: od.Slices, Until: od.Until,
	}
}

// soloBundle is a fleet of one host with pools of eight upstreams.
func soloBundle(upstreams int, slices uint32) *bundle.Bundle {
	bn := stock(shape{domains: 1, hosts: 1, upstreams: upstreams, slices: slices})
	bn.Services[0].PoolUpstreams = int(Assumed().PoolUpstreams)
	return bn
}

// soloHost is the only host of a solo bundle.
const soloHost ident.Host = "entry-0000"
