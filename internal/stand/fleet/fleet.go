// Package fleet runs the ownership cores of many nodes against fake upstreams
// and a fake table in virtual time, with faults that can be set, and keeps an
// oracle's record of every promise that was broken.
//
//	fl := fleet.New(1, fleet.Plan{Domains: 1, Hosts: 3, Upstreams: 3, Slices: 8})
//	fl.Run(2 * time.Second)
//	fl.Kill("d1-h1")
package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/stand/timeline"
)

const (
	// tick is how often a node's core is told the time.
	tick = 25 * time.Millisecond
	// answerTime is how long a node's shell waits for an upstream or the table.
	answerTime = 150 * time.Millisecond
	// startTime is how long a process takes to start.
	startTime = 50 * time.Millisecond
	// hop is the shortest time of a message within a domain; it may double.
	hop = 500 * time.Microsecond
	// farHop is the same between domains.
	farHop = 1500 * time.Microsecond
)

// TableEnd is the table's end of a connection, for Cut.
const TableEnd = "table"

// Plan is the size of a fleet.
type Plan struct {
	Domains   int
	Hosts     int
	Upstreams int
	Slices    uint32
	// Unkeyed adds a service without keys, with as many upstreams.
	Unkeyed bool
}

// Net is how the network treats messages, as shares of all.
type Net struct {
	Loss   float64
	Repeat float64
	// Late messages take up to LateBy more.
	Late   float64
	LateBy time.Duration
}

// Fleet is the whole world. It serves one goroutine.
type Fleet struct {
	Line      *timeline.Line
	Bundle    *bundle.Bundle
	Table     *Table
	Nodes     map[ident.Host]*Node
	Upstreams map[ident.Upstream]*Upstream
	Net       Net
	// Meter, when set, sees every notice that is sent.
	Meter func(from, to ident.Host, notice exchange.Notice)
	// OrderMeter, when set, sees every order that an upstream answers.
	OrderMeter func(from ident.Host, od grant.Order, rp grant.Reply)

	rand       *rand.Rand
	options    []authority.Option
	lastLate   clock.Instant
	cuts       map[[2]string]bool
	held       map[string][]func()
	violations []string
	states     map[state]map[ident.Host]bool
	granted    map[ident.Slice]grantedTo
}

// New makes a fleet whose nodes have just started.
func New(seed uint64, pn Plan, opts ...authority.Option) *Fleet {
	fl := &Fleet{
		Line:      timeline.New(),
		Bundle:    pn.bundle(),
		Table:     NewTable(),
		Nodes:     map[ident.Host]*Node{},
		Upstreams: map[ident.Upstream]*Upstream{},
		rand:      rand.New(rand.NewPCG(seed, 1)),
		options:   opts,
		cuts:      map[[2]string]bool{},
		held:      map[string][]func(){},
		states:    map[state]map[ident.Host]bool{},
		granted:   map[ident.Slice]grantedTo{},
	}
	for _, sv := range fl.Bundle.Services {
		for _, up := range sv.Upstreams {
			fl.Upstreams[up.Name] = &Upstream{name: up.Name, clock: fl.newClock(), holdings: map[ident.Pool]*holding{}}
		}
	}
	for _, ho := range fl.Bundle.Hosts {
		fl.Nodes[ho.Name] = &Node{fleet: fl, host: ho.Name, domain: ho.Domain, clock: fl.newClock()}
		fl.Nodes[ho.Name].start()
	}
	return fl
}

func (pn Plan) bundle() *bundle.Bundle {
	bn := &bundle.Bundle{Version: 1}
	lookup := bundle.Service{Name: "lookup", Keyed: true, Key: bundle.KeyInPath, Slices: pn.Slices, WhenCutOff: bundle.Yield}
	orders := bundle.Service{Name: "orders"}
	for dx := range pn.Domains {
		dm := ident.Domain(fmt.Sprintf("d%d", dx+1))
		bn.Domains = append(bn.Domains, bundle.Domain{Name: dm, Region: "r1"})
		for hx := range pn.Hosts {
			bn.Hosts = append(bn.Hosts, bundle.Host{Name: ident.Host(fmt.Sprintf("%s-h%d", dm, hx+1)), Domain: dm})
		}
		for ux := range pn.Upstreams {
			name := ident.Upstream(fmt.Sprintf("%s-u%d", dm, ux+1))
			lookup.Upstreams = append(lookup.Upstreams, bundle.Upstream{Name: name, Domain: dm, Slots: 2, ChecksTokens: true})
			orders.Upstreams = append(orders.Upstreams, bundle.Upstream{Name: "o-" + name, Domain: dm, Slots: 2, ChecksTokens: true})
		}
	}
	bn.Services = []bundle.Service{lookup}
	if pn.Unkeyed {
		bn.Services = append(bn.Services, orders)
	}
	return bn
}

// Run lets virtual time pass.
func (fl *Fleet) Run(dr time.Duration) {
	fl.Line.RunUntil(fl.Line.Now().Add(dr))
}

// RunUntil runs in small steps until a condition holds; false when the time
// was up first. It returns how long it took.
func (fl *Fleet) RunUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	const step = 5 * time.Millisecond
	for took := time.Duration(0); took < limit; took += step {
		if holds() {
			return took, true
		}
		fl.Run(step)
	}
	return limit, holds()
}

// Unserved runs for a time and returns the longest that any slice went
// unserved meanwhile, looking every few milliseconds.
func (fl *Fleet) Unserved(dr time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	since := map[ident.Slice]clock.Instant{}
	var longest time.Duration
	for end := fl.Line.Now().Add(dr); fl.Line.Now().Before(end); {
		fl.Run(step)
		lost := fl.Missing()
		maps.DeleteFunc(since, func(sl ident.Slice, _ clock.Instant) bool { return !slices.Contains(lost, sl) })
		for _, sl := range lost {
			if _, ok := since[sl]; !ok {
				since[sl] = fl.Line.Now().Add(-step)
			}
			longest = max(longest, fl.Line.Now().Sub(since[sl]))
		}
	}
	return longest
}

// Cut breaks the connection of two ends, named by host, upstream or TableEnd.
func (fl *Fleet) Cut(left, right string) { fl.cuts[pair(left, right)] = true }

// Isolate cuts an end from all others.
func (fl *Fleet) Isolate(end string) {
	for _, other := range fl.ends() {
		if other != end {
			fl.Cut(end, other)
		}
	}
}

// CutTable cuts all hosts of a domain from the table.
func (fl *Fleet) CutTable(dm ident.Domain) {
	for _, ho := range fl.Bundle.HostsOf(dm) {
		fl.Cut(string(ho.Name), TableEnd)
	}
}

// CutDomains cuts the hosts and upstreams of two domains from each other.
func (fl *Fleet) CutDomains(left, right ident.Domain) {
	for _, one := range fl.endsOf(left) {
		for _, other := range fl.endsOf(right) {
			fl.Cut(one, other)
		}
	}
}

// Heal mends all connections.
func (fl *Fleet) Heal() { clear(fl.cuts) }

func (fl *Fleet) ends() []string {
	ends := []string{TableEnd}
	for _, dm := range fl.Bundle.Domains {
		ends = append(ends, fl.endsOf(dm.Name)...)
	}
	return ends
}

func (fl *Fleet) endsOf(dm ident.Domain) []string {
	var ends []string
	for _, ho := range fl.Bundle.HostsOf(dm) {
		ends = append(ends, string(ho.Name))
	}
	for _, sv := range fl.Bundle.Services {
		for _, up := range sv.Upstreams {
			if up.Domain == dm {
				ends = append(ends, string(up.Name))
			}
		}
	}
	return ends
}

// Reaches tells whether two ends are connected.
func (fl *Fleet) Reaches(left, right string) bool { return !fl.cuts[pair(left, right)] }

func pair(left, right string) [2]string {
	return [2]string{min(left, right), max(left, right)}
}

// carry brings a message to the other end, with the network's faults.
func (fl *Fleet) carry(from, to string, far bool, arrive func()) {
	if held, ok := fl.held[from]; ok {
		fl.held[from] = append(held, func() { fl.carry(from, to, far, arrive) })
		return
	}
	if !fl.Reaches(from, to) || fl.rand.Float64() < fl.Net.Loss {
		return
	}
	deliver := func() {
		if fl.Reaches(from, to) {
			arrive()
		}
	}
	fl.Line.After(fl.delay(far), deliver)
	if fl.rand.Float64() < fl.Net.Repeat {
		fl.Line.After(fl.delay(far), deliver)
	}
}

func (fl *Fleet) delay(far bool) time.Duration {
	base := hop
	if far {
		base = farHop
	}
	dr := base + time.Duration(fl.rand.Int64N(int64(base)))
	if fl.Net.LateBy > 0 && fl.rand.Float64() < fl.Net.Late {
		dr += time.Duration(fl.rand.Int64N(int64(fl.Net.LateBy)))
		fl.lastLate = max(fl.lastLate, fl.Line.Now().Add(dr))
	}
	return dr
}

// Hold keeps back all that an end sends, as when a process is frozen between a
// decision and its write.
func (fl *Fleet) Hold(end string) { fl.held[end] = nil }

// Release sends what was held back, as often as stated.
func (fl *Fleet) Release(end string, times int) {
	held := fl.held[end]
	delete(fl.held, end)
	for range times {
		for _, send := range held {
			send()
		}
	}
}

// LastLate is when the last of the late messages arrives.
func (fl *Fleet) LastLate() clock.Instant { return fl.lastLate }

// SetBundle puts a changed bundle in force at all nodes.
func (fl *Fleet) SetBundle(bn *bundle.Bundle) {
	fl.Bundle = bn
	for _, name := range fl.Hosts() {
		fl.Nodes[name].take(authority.BundleMsg{Bundle: bn})
	}
}

// Hosts lists the hosts by name.
func (fl *Fleet) Hosts() []ident.Host { return slices.Sorted(maps.Keys(fl.Nodes)) }

// Clock is one process's clock: it drifts, and may jump forward.
type Clock struct {
	line   *timeline.Line
	offset time.Duration
	rate   float64
}

func (fl *Fleet) newClock() *Clock {
	const maxOffset, maxDrift = 1000 * time.Hour, 0.01
	return &Clock{
		line:   fl.Line,
		offset: time.Hour + time.Duration(fl.rand.Int64N(int64(maxOffset))),
		rate:   1 + maxDrift*(2*fl.rand.Float64()-1),
	}
}

// Now reads the clock.
func (ck *Clock) Now() clock.Instant {
	return clock.Instant(float64(ck.line.Now())*ck.rate) + clock.Instant(ck.offset)
}

// Jump moves the clock forward.
func (ck *Clock) Jump(by time.Duration) { ck.offset += by }
