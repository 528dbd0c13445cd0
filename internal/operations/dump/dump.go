// Package dump is one node's state on request, for operators: what it holds,
// until when, what waits, and why an upstream is limited.
//
// Each area of the node fills its part; the codec and the readable form are
// here:
//
//	sn := dump.Snapshot{Host: "n1", Clock: clk.Now()}
//	for _, pv := range providers {
//		pv.Report(&sn)
//	}
//	fmt.Print(dump.Text(&sn))
package dump

import (
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/grant"
)

// Provider fills its part of a snapshot.
type Provider interface {
	Report(sn *Snapshot)
}

// Snapshot is a node's state at one instant. All instants are on its clock.
type Snapshot struct {
	Host   ident.Host
	Domain ident.Domain
	// State is what /healthz says.
	State string
	// Clock is the reading that the snapshot was taken at.
	Clock    clock.Instant
	Started  clock.Instant
	Bundle   Bundle
	Term     Term
	Pools    []Pool
	Routes   []Route
	Verdicts []Verdicts
	Peers    []Peer
}

// Bundle is the bundle in force.
type Bundle struct {
	Version bundle.Version
	Key     string
	// OutHosts, OutUpstreams and OutDomains are those that are not in service,
	// by the operators' word or the census.
	OutHosts     []ident.Host
	OutUpstreams []ident.Upstream
	OutDomains   []ident.Domain
	// Leaving is what the census calls leaving.
	Leaving []ident.Host
	// Contradictions list where the node's settings differ from the bundle.
	Contradictions []string
}

// Term is what the node knows of its domain's leader.
type Term struct {
	Leader ident.Host
	Number uint64
	// Leads is set when this node is the leader, until Until.
	Leads bool
	Until clock.Instant
}

// Pool is a pool that the node holds.
type Pool struct {
	Name ident.Pool
	// Term and Epoch are those of the lease, which ends at Until.
	Term  uint64
	Epoch uint64
	Until clock.Instant
	// Queued counts the requests that wait, Ownerless those of them whose slice
	// has no owner.
	Queued    int
	Ownerless int
	Upstreams []Upstream
}

// Upstream is one upstream of a held pool.
type Upstream struct {
	Name  ident.Upstream
	Slots int
	// Limit is how many requests it may have now, InFlight how many it has.
	Limit    int
	InFlight int
	// Queued counts the requests that wait for this upstream alone.
	Queued int
	// Slices counts the slices that it owns.
	Slices int
	Token  grant.Token
	// Until is the end of its grant; 0 without one.
	Until clock.Instant
	// Why says what keeps it below its slots; empty when nothing does.
	Why string
}

// Route names the holder of a pool.
type Route struct {
	Pool   ident.Pool
	Holder ident.Host
}

// Verdicts counts the requests of a service that ended with a verdict.
type Verdicts struct {
	Service ident.Service
	Verdict string
	Count   uint64
}

// Peer is another node that answered a notice.
type Peer struct {
	Address string
	Version bundle.Version
	// Answered is when it last did.
	Answered clock.Instant
}
