package authority

import (
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/lease"
)

// Report is what an operator sees of a node's ownership.
type Report struct {
	// Leader is the domain's leader as this node knows it, with its term.
	Leader ident.Host
	Term   uint64
	// Leads is set when this node leads, until LeadsUntil.
	Leads      bool
	LeadsUntil clock.Instant
	Pools      []PoolReport
}

// PoolReport is one pool held here.
type PoolReport struct {
	Term  uint64
	Epoch uint64
	View  View
}

// Report describes the node at an instant and changes nothing.
func (co *Core) Report(now clock.Instant) Report {
	rp := Report{}
	rp.Leader, rp.Term = co.term.Leader()
	rp.LeadsUntil, rp.Leads = co.term.Leads(lease.Moment{Now: now})
	for _, name := range sortedKeys(co.holders) {
		ho := co.holders[name]
		rp.Pools = append(rp.Pools, PoolReport{Term: ho.Claim().Term, Epoch: ho.Claim().Epoch, View: ho.View()})
	}
	return rp
}
