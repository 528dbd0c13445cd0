package measurement

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/stand/fleet"
)

const (
	// startTime bounds the wait for a fleet to serve everything.
	startTime = 20 * time.Second
	// watchTime is how long a fleet is watched after a loss.
	watchTime = 5 * time.Second
	// silentTime is how long the table is down before a loss without it.
	silentTime = 2 * time.Second
	// phases is the number of places within a heartbeat at which a loss falls.
	phases = 250
	// quietTime is the time without faults over which the costs are counted.
	quietTime = 20 * time.Second
	// victim is the domain in which the losses fall, keyedPool its pool of the
	// keyed service.
	victim    = ident.Domain("d1")
	keyedPool = ident.Pool("lookup@d1#0")
)

// Size is the fleet on which losses are measured, and over how many seeds.
type Size struct {
	Seed  uint64
	Runs  int
	Fleet fleet.Plan
}

// MushiSize is the larger fleet: 8 hosts and 7 upstreams in each of 3 domains.
func MushiSize(seed uint64, runs int) Size {
	return Size{Seed: seed, Runs: runs, Fleet: fleet.Plan{Domains: 3, Hosts: 8, Upstreams: 7, Slices: 256, Unkeyed: true}}
}

// lossKinds are the losses by name, in the order of the report.
var lossKinds = []struct {
	name string
	hit  func(fl *fleet.Fleet)
}{
	{"upstream", func(fl *fleet.Fleet) { loseUpstream(fl) }},
	{"poolHolder", func(fl *fleet.Fleet) { loseHolder(fl) }},
	{"leader", func(fl *fleet.Fleet) { loseLeader(fl) }},
	{"holderAndUpstream", func(fl *fleet.Fleet) { loseHolder(fl); loseUpstream(fl) }},
	{"leaderAndHolder", func(fl *fleet.Fleet) { loseLeader(fl); loseHolder(fl) }},
	{"upstreamWithTableDown", func(fl *fleet.Fleet) { silence(fl); loseUpstream(fl) }},
	{"leaderAndHolderWithTableDown", func(fl *fleet.Fleet) { silence(fl); loseLeader(fl); loseHolder(fl) }},
	{"domain", func(fl *fleet.Fleet) { loseDomain(fl) }},
}

func loseUpstream(fl *fleet.Fleet) { fl.Isolate(string(fl.Bundle.Services[0].Upstreams[0].Name)) }

func loseHolder(fl *fleet.Fleet) {
	if ho, ok := fl.HolderOf(keyedPool); ok {
		fl.Kill(ho)
	}
}

func loseLeader(fl *fleet.Fleet) {
	if ho, ok := fl.LeaderOf(victim); ok {
		fl.Kill(ho)
	}
}

func silence(fl *fleet.Fleet) {
	fl.Table.Down = true
	fl.Run(silentTime)
}

func loseDomain(fl *fleet.Fleet) {
	for _, ho := range fl.Bundle.HostsOf(victim) {
		fl.Kill(ho.Name)
	}
	for _, up := range fl.Bundle.Services[0].Upstreams {
		if up.Domain == victim {
			fl.Isolate(string(up.Name))
		}
	}
}

// Loss is what one kind of loss cost over all runs.
type Loss struct {
	Name string
	// Unserved holds, run by run, the longest that any slice went unserved.
	Unserved []time.Duration
	// Moved counts the slices that changed their upstream, Forced those whose
	// upstream was lost.
	Moved  int
	Forced int
	// Open counts the runs at whose end some slice was still unserved.
	Open int
	// Doubles counts the breaches of sole ownership that the oracle saw.
	Doubles int
}

// Median returns the median time unserved.
func (lo *Loss) Median() time.Duration {
	if len(lo.Unserved) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(lo.Unserved))
	return sorted[len(sorted)/2]
}

// Max returns the longest time unserved.
func (lo *Loss) Max() time.Duration {
	if len(lo.Unserved) == 0 {
		return 0
	}
	return slices.Max(lo.Unserved)
}

// ChurnRatio is the slices moved for each that had to move; 0 when none moved.
func (lo *Loss) ChurnRatio() float64 {
	if lo.Moved == 0 {
		return 0
	}
	return float64(lo.Moved) / float64(max(lo.Forced, 1))
}

// MeasureLosses brings about every kind of loss over many seeds.
func MeasureLosses(sz Size) []Loss {
	list := make([]Loss, len(lossKinds))
	for ix, kind := range lossKinds {
		list[ix].Name = kind.name
		for run := range sz.Runs {
			list[ix].run(sz, sz.Seed+uint64(run), kind.hit)
		}
	}
	return list
}

// started runs a fleet until it serves everything.
func (sz Size) started(seed uint64) *fleet.Fleet {
	fl := fleet.New(seed, sz.Fleet)
	fl.RunUntil(startTime, fl.AllServed)
	fl.Run(silentTime)
	return fl
}

// run brings about one loss, at a phase that the seed chooses.
func (lo *Loss) run(sz Size, seed uint64, hit func(fl *fleet.Fleet)) {
	fl := sz.started(seed)
	fl.Run(time.Duration(seed*37%phases) * time.Millisecond)
	before := fl.Owners()
	hit(fl)
	lo.Unserved = append(lo.Unserved, fl.Unserved(watchTime))
	after := fl.Owners()
	for sl, up := range before {
		if after[sl] != up {
			lo.Moved++
		}
		if !fl.Reaches(string(up), string(fl.Hosts()[0])) {
			lo.Forced++
		}
	}
	if !fl.AllServed() {
		lo.Open++
	}
	lo.Doubles += len(fl.Violations())
}

// Cost is what ownership costs a fleet without faults, per second.
type Cost struct {
	TableReads  float64
	TableWrites float64
	// NodeBytes is the mean of the encoded control messages that a node sends and
	// receives, orders to upstreams included; BusiestBytes is the highest.
	NodeBytes    float64
	BusiestBytes float64
}

// MeasureCost counts over a quiet time.
func MeasureCost(sz Size) Cost {
	fl := sz.started(sz.Seed)
	bytes := map[ident.Host]int{}
	fl.Meter = func(from, to ident.Host, notice exchange.Notice) {
		size := proto.Size(inner.EncodeNotice(from, notice))
		bytes[from] += size
		bytes[to] += size
	}
	fl.OrderMeter = func(from ident.Host, od grant.Order, rp grant.Reply) {
		order, _ := control.EncodeOrder(od)
		reply, _ := control.EncodeReply(rp)
		bytes[from] += len(order) + len(reply)
	}
	reads, writes := fl.Table.Reads, fl.Table.Writes
	fl.Run(quietTime)
	seconds := quietTime.Seconds()
	ct := Cost{
		TableReads:  float64(fl.Table.Reads-reads) / seconds,
		TableWrites: float64(fl.Table.Writes-writes) / seconds,
	}
	for _, count := range bytes {
		ct.NodeBytes += float64(count) / seconds / float64(len(fl.Nodes))
		ct.BusiestBytes = max(ct.BusiestBytes, float64(count)/seconds)
	}
	return ct
}
