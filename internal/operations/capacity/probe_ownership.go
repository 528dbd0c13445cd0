package capacity

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/stand/fleet"
)

// errUnsettled says that a fleet without faults did not serve.
var errUnsettled = errors.New("capacity: the fleet did not settle")

const (
	// settleTime is how long a fleet may take until it serves.
	settleTime = 20 * time.Second
	// observed is the virtual time over which steady costs are counted.
	observed = 10 * time.Second
)

// ownershipProbes measure what the control of ownership costs.
func ownershipProbes() []Probe {
	hosts := []int{4, 8, 16, 32, 52}
	slices := []int{512, 1024, 2048, 4096}
	upstreams := []int{8, 16, 32, 64, 128}
	return []Probe{
		{Name: "leaderMessages", Unit: "messages/s", Per: "host of the domain", Role: "domain leader", Sizes: hosts, Measure: leaderMessages, Exact: true},
		{Name: "leaderPayload", Unit: "bytes/s", Per: "host of the domain", Role: "domain leader", Sizes: hosts, Measure: leaderPayload, Exact: true},
		{Name: "followerMessages", Unit: "messages/s", Per: "host of the domain", Role: "follower", Sizes: hosts, Measure: followerMessages, Exact: true},
		{Name: "crossMessages", Unit: "messages/s", Per: "domain", Role: "domain leader", Sizes: []int{2, 4, 6, 8, 12, 20}, Measure: crossMessages, Exact: true},
		{Name: "tableWrites", Unit: "writes/s", Per: "domain", Role: "table", Sizes: []int{1, 2, 4, 8, 12}, Measure: tableWrites, Exact: true},
		{Name: "tableReads", Unit: "reads/s", Per: "host", Role: "table", Sizes: []int{8, 16, 32, 52, 80}, Measure: tableReads, Exact: true},
		{Name: "leaderCpu", Unit: "ns", Per: "heartbeat and pool", Role: "domain leader", Sizes: []int{16, 32, 64, 128, 256}, Measure: leaderCPU},
		{Name: "holderCpu", Unit: "ns/s", Per: "slice", Role: "pool holder", Sizes: slices, Measure: holderCPU},
		{Name: "holderUpstreamCpu", Unit: "ns/s", Per: "upstream", Role: "pool holder", Sizes: upstreams, Measure: holderUpstreamCPU},
		{Name: "holderBytes", Unit: "bytes", Per: "slice", Role: "pool holder", Sizes: slices, Measure: holderBytes},
		{Name: "poolRowBytes", Unit: "bytes", Per: "slice", Role: "table", Sizes: slices, Measure: poolRowBytes, Exact: true},
		{Name: "placeRowBytes", Unit: "bytes", Per: "slice", Role: "table", Sizes: []int{4096, 8192, 16384, 32768, 65536}, Measure: placeRowBytes, Exact: true},
	}
}

// meter counts the notices of a settled fleet.
type meter struct {
	messages map[ident.Host]int
	payload  map[ident.Host]int
}

// watch counts what every host sends and hears for a while.
func watch(fl *fleet.Fleet) (meter, error) {
	if _, ok := fl.RunUntil(settleTime, fl.AllServed); !ok {
		return meter{}, errUnsettled
	}
	fl.Run(2 * time.Second)
	mt := meter{messages: map[ident.Host]int{}, payload: map[ident.Host]int{}}
	fl.Meter = func(from, to ident.Host, notice exchange.Notice) {
		bytes := proto.Size(inner.EncodeNotice(from, notice))
		for _, ho := range []ident.Host{from, to} {
			mt.messages[ho]++
			mt.payload[ho] += bytes
		}
	}
	fl.Run(observed)
	fl.Meter = nil
	return mt, nil
}

// domainFleet is one domain with a pool for each host.
func domainFleet(hosts int) *fleet.Fleet {
	fl := fleet.New(1, fleet.Plan{Domains: 1, Hosts: hosts, Upstreams: hosts, Slices: uint32(hosts)})
	fl.Bundle.Services[0].PoolUpstreams = 1
	return fl
}

func perSecond(count int) float64 {
	return float64(count) / observed.Seconds()
}

// atLeader observes a domain and gives its leader's counts.
func atLeader(hosts int, read func(mt meter, leader ident.Host) int) (float64, error) {
	fl := domainFleet(hosts)
	mt, err := watch(fl)
	if err != nil {
		return 0, err
	}
	leader, ok := fl.LeaderOf("d1")
	if !ok {
		return 0, errUnsettled
	}
	return perSecond(read(mt, leader)), nil
}

func leaderMessages(size int) (float64, error) {
	return atLeader(size, func(mt meter, leader ident.Host) int { return mt.messages[leader] })
}

func leaderPayload(size int) (float64, error) {
	return atLeader(size, func(mt meter, leader ident.Host) int { return mt.payload[leader] })
}

// followerMessages is the busiest follower's count.
func followerMessages(size int) (float64, error) {
	return atLeader(size, func(mt meter, leader ident.Host) int {
		most := 0
		for ho, count := range mt.messages {
			if ho != leader {
				most = max(most, count)
			}
		}
		return most
	})
}

// crossMessages is the count at the busiest host of domains with two hosts.
func crossMessages(size int) (float64, error) {
	mt, err := watch(fleet.New(1, fleet.Plan{Domains: size, Hosts: 2, Upstreams: 1, Slices: uint32(size)}))
	most := 0
	for _, count := range mt.messages {
		most = max(most, count)
	}
	return perSecond(most), err
}

func tableWrites(size int) (float64, error) {
	fl := fleet.New(1, fleet.Plan{Domains: size, Hosts: 2, Upstreams: 1, Slices: uint32(size)})
	return tableRate(fl, func(tb *fleet.Table) int { return tb.Writes })
}

func tableReads(size int) (float64, error) {
	return tableRate(domainFleet(size), func(tb *fleet.Table) int { return tb.Reads })
}

func tableRate(fl *fleet.Fleet, read func(*fleet.Table) int) (float64, error) {
	if _, ok := fl.RunUntil(settleTime, fl.AllServed); !ok {
		return 0, errUnsettled
	}
	fl.Run(2 * time.Second)
	before := read(fl.Table)
	fl.Run(observed)
	return perSecond(read(fl.Table) - before), nil
}

// settledStage is a node that holds and serves everything.
func settledStage(bn *bundle.Bundle) (*stage, error) {
	sg := newStage(bn)
	sg.run(5 * time.Second)
	if sg.views == 0 || sg.orders == 0 {
		return nil, errUnsettled
	}
	return sg, nil
}

// soloCPU is the processor time of one virtual second of a node alone.
func soloCPU(upstreams int, slices uint32) (float64, error) {
	const seconds = 20
	sg, err := settledStage(soloBundle(upstreams, slices))
	if err != nil {
		return 0, err
	}
	cost, err := cpuNanos(func() error {
		sg.run(seconds * time.Second)
		return nil
	})
	return cost / seconds, err
}

func holderCPU(size int) (float64, error) {
	return soloCPU(8, uint32(size))
}

func holderUpstreamCPU(size int) (float64, error) {
	return soloCPU(size, 512)
}

// holderBytes is the live heap of a node's ownership core that holds all.
func holderBytes(size int) (float64, error) {
	bn := soloBundle(8, uint32(size))
	var err error
	cost := heapBytes(func() any {
		var sg *stage
		sg, err = settledStage(bn)
		if sg != nil {
			sg.table, sg.queue = nil, nil
		}
		return sg
	})
	return cost, err
}

func poolRowBytes(size int) (float64, error) {
	rw := pool.Row{Term: 812, Epoch: 9, Number: 40000, Holder: soloHost, Owners: map[ident.Slice]ident.Upstream{}}
	for sl := range ident.Slice(uint32(size)) {
		rw.Owners[sl*7%65536] = ident.Upstream(fmt.Sprintf("lookup-%05d", sl%8))
	}
	return float64(len(pool.EncodeRow(rw))), nil
}

func placeRowBytes(size int) (float64, error) {
	pw := pool.PlaceRow{Pools: make([]ident.Pool, size)}
	for sl := range pw.Pools {
		pw.Pools[sl] = ident.NewPool("lookup", domainName(sl%8), sl/8%8)
	}
	return float64(len(pool.EncodePlace(pw))), nil
}

// leaderCPU is the cost of one heartbeat at a leader with as many pools, 52
// hosts, and nothing to change.
func leaderCPU(size int) (float64, error) {
	const rounds, hosts = 40, 52
	st := newLeaderStand(hosts, size)
	st.round()
	cost, err := cpuNanos(func() error {
		for range rounds {
			st.round()
		}
		return nil
	})
	return cost / (rounds * hosts), err
}
