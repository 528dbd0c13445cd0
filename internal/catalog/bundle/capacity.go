package bundle

import (
	"fmt"

	"chervilwalk/internal/base/ident"
)

// neededDivisor sets the capacity that must stay in service unless the operator
// forces a change: 1/neededDivisor of the slots of each service and of the
// entry hosts, rounded up.
const neededDivisor = 2

// Loss describes a service, or the entry hosts, that a change leaves with too
// little capacity in service.
type Loss struct {
	// Subject is "service NAME" or "entry hosts".
	Subject string
	// Total counts all slots (or hosts) of the changed bundle.
	Total int
	// Before and After count the slots (or hosts) in service.
	Before int
	After  int
}

// Needed returns the number of slots (or hosts) that must stay in service.
func (ls Loss) Needed() int {
	return (ls.Total + neededDivisor - 1) / neededDivisor
}

// String describes the loss in one line for the operator.
func (ls Loss) String() string {
	unit := "slots"
	if ls.Subject == entryHosts {
		unit = "hosts"
	}
	return fmt.Sprintf("%s would keep %d of %d %s (now %d, needed %d)", ls.Subject, ls.After, ls.Total, unit, ls.Before, ls.Needed())
}

// entryHosts is the Subject of a loss of entry hosts.
const entryHosts = "entry hosts"

// Losses returns the services, and the entry hosts, that a change reduces to
// less than half of their total. Capacity that the change doesn't reduce is not
// reported. A service's slots in a domain without an entry host in service count
// as out of service.
func Losses(before, after *Bundle) []Loss {
	old, now := countCapacity(Effective(before)), countCapacity(Effective(after))
	var losses []Loss
	for _, subject := range now.subjects {
		ls := Loss{Subject: subject, Total: now.total[subject], Before: old.inService[subject], After: now.inService[subject]}
		if ls.After < ls.Needed() && ls.After < ls.Before {
			losses = append(losses, ls)
		}
	}
	return losses
}

// capacity counts, for each service and for the entry hosts, all slots (or
// hosts) and those in service.
type capacity struct {
	// subjects are the keys of the maps, in the order of the bundle.
	subjects  []string
	total     map[string]int
	inService map[string]int
}

// countCapacity counts the capacity of a bundle. Hosts and upstreams of domains
// that are out must be marked as out, as Effective does.
func countCapacity(bn *Bundle) capacity {
	cp := capacity{subjects: []string{entryHosts}, total: map[string]int{}, inService: map[string]int{}}
	hasHost := map[ident.Domain]bool{}
	for _, ho := range bn.Hosts {
		cp.add(entryHosts, 1, !ho.Out)
		hasHost[ho.Domain] = hasHost[ho.Domain] || !ho.Out
	}
	for ix := range bn.Services {
		sv := &bn.Services[ix]
		subject := "service " + string(sv.Name)
		cp.subjects = append(cp.subjects, subject)
		for _, up := range sv.Upstreams {
			cp.add(subject, up.Slots, !up.Out && hasHost[up.Domain])
		}
	}
	return cp
}

// add counts slots or hosts of a subject.
func (cp *capacity) add(subject string, amount int, inService bool) {
	cp.total[subject] += amount
	if inService {
		cp.inService[subject] += amount
	}
}
