package bundle

import (
	"fmt"

	"chervilwalk/internal/base/ident"
)

// neededShare is the part of a service's slots, and of the fleet's entry
// hosts, that an operator may not fall below without force: 1/neededShare.
const neededShare = 2

// Loss is a capacity that a change takes below what is needed.
type Loss struct {
	// What names a service, or is "entry hosts".
	What string
	// Total counts all slots (or hosts) of the bundle; Before and After count
	// those in service.
	Total  int
	Before int
	After  int
}

// Needed is what must stay in service.
func (ls Loss) Needed() int {
	return (ls.Total + neededShare - 1) / neededShare
}

// String is one line for the operator.
func (ls Loss) String() string {
	unit := "slots"
	if ls.What == entryHosts {
		unit = "hosts"
	}
	return fmt.Sprintf("%s would keep %d of %d %s (now %d, needed %d)", ls.What, ls.After, ls.Total, unit, ls.Before, ls.Needed())
}

// entryHosts is the What of a loss of entry hosts.
const entryHosts = "entry hosts"

// Losses lists what a change from one bundle to the next takes below half of
// its total. Half of a fleet may go without force; a service's slots in a
// domain without an entry host in service count as lost.
func Losses(before, after *Bundle) []Loss {
	old, now := capacities(Effective(before)), capacities(Effective(after))
	var losses []Loss
	for _, what := range now.order {
		ls := Loss{What: what, Total: now.total[what], Before: old.inService[what], After: now.inService[what]}
		if ls.After < ls.Needed() && ls.After < ls.Before {
			losses = append(losses, ls)
		}
	}
	return losses
}

// capacity counts what is in service of each service and of the entry hosts.
type capacity struct {
	order     []string
	total     map[string]int
	inService map[string]int
}

func capacities(bn *Bundle) capacity {
	cp := capacity{order: []string{entryHosts}, total: map[string]int{}, inService: map[string]int{}}
	reachable := map[ident.Domain]bool{}
	for _, ho := range bn.Hosts {
		cp.add(entryHosts, 1, !ho.Out)
		reachable[ho.Domain] = reachable[ho.Domain] || !ho.Out
	}
	for ix := range bn.Services {
		sv := &bn.Services[ix]
		what := "service " + string(sv.Name)
		cp.order = append(cp.order, what)
		for _, up := range sv.Upstreams {
			cp.add(what, up.Slots, !up.Out && reachable[up.Domain])
		}
	}
	return cp
}

func (cp *capacity) add(what string, amount int, inService bool) {
	cp.total[what] += amount
	if inService {
		cp.inService[what] += amount
	}
}
