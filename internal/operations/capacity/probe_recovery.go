package capacity

import (
	"fmt"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/stand/fleet"
)

const (
	// rackHosts and rackUpstreams are the size of the domain in which hosts and
	// upstreams are lost together.
	rackHosts     = 24
	rackUpstreams = 24
	// balanceTime is how long pools may take to spread over the hosts.
	balanceTime = 20 * time.Second
	// recoveryLimit bounds the wait for all keys to be served again.
	recoveryLimit = 10 * time.Second
)

// recoveryProbes measure in virtual time how long keys are unserved after a
// loss, against how much is lost at once.
func recoveryProbes() []Probe {
	lost := []int{1, 2, 3, 4, 6, 8}
	return []Probe{
		{Name: "recoveryPools", Unit: "ms", Per: "holder lost", Role: "recovery", Sizes: lost, Measure: losePools, Exact: true},
		{Name: "recoveryUpstreams", Unit: "ms", Per: "upstream lost", Role: "recovery", Sizes: lost, Measure: loseUpstreams, Exact: true},
		{Name: "recoveryRack", Unit: "ms", Per: "holder and upstream lost", Role: "recovery", Sizes: lost, Measure: loseRack, Exact: true},
		{Name: "recoverySlices", Unit: "ms", Per: "slice lost", Role: "recovery", Sizes: []int{32, 64, 128, 256, 512}, Measure: loseSlices, Exact: true},
		{Name: "recoveryDomain", Unit: "ms", Per: "host of the lost domain", Role: "recovery", Sizes: []int{2, 4, 8, 16, 26, 52}, Measure: loseDomain, Exact: true},
	}
}

// rack is a domain in which each pool has two upstreams.
func rack(slices uint32) (*fleet.Fleet, error) {
	fl := fleet.New(1, fleet.Plan{Domains: 1, Hosts: rackHosts, Upstreams: rackUpstreams, Slices: slices})
	fl.Bundle.Services[0].PoolUpstreams = 2
	if _, ok := fl.RunUntil(settleTime, fl.AllServed); !ok {
		return nil, errUnsettled
	}
	fl.Run(balanceTime)
	return fl, nil
}

// loseHolders ends the processes of hosts that hold pools.
func loseHolders(fl *fleet.Fleet, count int) error {
	lost := map[ident.Host]bool{}
	for _, pl := range fl.Bundle.Pools() {
		if ho, ok := fl.HolderOf(pl.Name); ok && len(lost) < count && !lost[ho] {
			lost[ho] = true
			fl.Kill(ho)
		}
	}
	if len(lost) < count {
		return fmt.Errorf("capacity: only %d holders to lose", len(lost))
	}
	return nil
}

// freezeUpstreams stops one upstream of each of the first pools.
func freezeUpstreams(fl *fleet.Fleet, count int) {
	for _, pl := range fl.Bundle.Pools()[:count] {
		fl.Freeze(pl.Upstreams[0].Name)
	}
}

// recovered returns the milliseconds until every slice is served again.
func recovered(fl *fleet.Fleet) (float64, error) {
	took, ok := fl.RunUntil(recoveryLimit, fl.AllServed)
	if !ok {
		return 0, errUnsettled
	}
	if broken := fl.Violations(); len(broken) > 0 {
		return 0, fmt.Errorf("capacity: %s", broken[0])
	}
	return float64(took.Milliseconds()), nil
}

func losePools(size int) (float64, error) {
	fl, err := rack(4 * rackUpstreams)
	if err != nil {
		return 0, err
	}
	if err := loseHolders(fl, size); err != nil {
		return 0, err
	}
	return recovered(fl)
}

func loseUpstreams(size int) (float64, error) {
	fl, err := rack(4 * rackUpstreams)
	if err != nil {
		return 0, err
	}
	freezeUpstreams(fl, size)
	return recovered(fl)
}

func loseRack(size int) (float64, error) {
	fl, err := rack(4 * rackUpstreams)
	if err != nil {
		return 0, err
	}
	freezeUpstreams(fl, size)
	if err := loseHolders(fl, size); err != nil {
		return 0, err
	}
	return recovered(fl)
}

// loseSlices loses one of two upstreams that own the slices of one pool.
func loseSlices(size int) (float64, error) {
	fl := fleet.New(1, fleet.Plan{Domains: 1, Hosts: 4, Upstreams: 2, Slices: uint32(2 * size)})
	if _, ok := fl.RunUntil(settleTime, fl.AllServed); !ok {
		return 0, errUnsettled
	}
	fl.Run(2 * time.Second)
	freezeUpstreams(fl, 1)
	return recovered(fl)
}

// loseDomain loses one of three domains, hosts and upstreams together.
func loseDomain(size int) (float64, error) {
	fl := fleet.New(1, fleet.Plan{Domains: 3, Hosts: size, Upstreams: 4, Slices: 96})
	if _, ok := fl.RunUntil(settleTime, fl.AllServed); !ok {
		return 0, errUnsettled
	}
	fl.Run(2 * time.Second)
	lost := fl.Bundle.Domains[0].Name
	for _, ho := range fl.Bundle.HostsOf(lost) {
		fl.Kill(ho.Name)
	}
	for _, up := range fl.Bundle.Services[0].Upstreams {
		if up.Domain == lost {
			fl.Freeze(up.Name)
		}
	}
	return recovered(fl)
}
