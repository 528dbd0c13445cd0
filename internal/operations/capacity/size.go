package capacity

import "math"

// Size is what the design is for, from the users' plan for two years.
type Size struct {
	Nodes          float64
	Domains        float64
	Regions        float64
	Keys           float64
	RequestsPerSec float64
	HotKeys        float64
	ChangesPerDay  float64
	RestartsPerDay float64
	LossesPerDay   float64
	ControlCore    float64 // share of one core
	ControlHeap    float64 // bytes
	ControlWire    float64 // bytes per second
	TableWrites    float64 // per second
	TableReads     float64 // per second
	Connections    float64 // per upstream
	ServedAgain    float64 // seconds
	ChangeInForce  float64 // seconds
	LatencyP99     float64 // seconds
	NodeCores      float64 // cores of one entry host, for the path of requests
}

// FullSize is the size that decides the design.
func FullSize() Size {
	return Size{
		Nodes: 420, Domains: 8, Regions: 3, Keys: 430e6, RequestsPerSec: 1.1e6, HotKeys: 33,
		ChangesPerDay: 990, RestartsPerDay: 130, LossesPerDay: 2,
		ControlCore: 0.022, ControlHeap: 128 << 20, ControlWire: 4 << 10,
		TableWrites: 300, TableReads: 2000, Connections: 250,
		ServedAgain: 2, ChangeInForce: 4, LatencyP99: 0.016,
		NodeCores: 4,
	}
}

// Assumptions are what the users' plan leaves open.
type Assumptions struct {
	// ServiceSeconds is the mean time of a request at its upstream.
	ServiceSeconds float64
	// Load is the share of the upstreams' slots that is busy.
	Load float64
	// Slots is how many requests an upstream serves at a time.
	Slots float64
	// PoolUpstreams is how many upstreams one pool holds.
	PoolUpstreams float64
	// SlicesPerUpstream is how finely the key space is cut.
	SlicesPerUpstream float64
	// Services is how many services share the upstreams.
	Services float64
	// KeyedShare is the share of requests for keyed services.
	KeyedShare float64
}

// Assumed is what the page counts with.
func Assumed() Assumptions {
	return Assumptions{
		ServiceSeconds: 0.004, Load: 0.7, Slots: 2, PoolUpstreams: 8, SlicesPerUpstream: 64,
		Services: 6, KeyedShare: 0.6,
	}
}

// Derived is what follows from size and assumptions alone.
type Derived struct {
	Upstreams        float64
	Pools            float64
	PoolsPerNode     float64
	UpstreamsPerNode float64
	Slices           float64
	KeysPerSlice     float64
	NodesPerDomain   float64
	RequestsPerNode  float64
}

// Derive works out the counts.
func Derive(sz Size, as Assumptions) Derived {
	up := math.Ceil(sz.RequestsPerSec * as.ServiceSeconds / (as.Slots * as.Load))
	pools := math.Ceil(up / as.PoolUpstreams)
	return Derived{
		Upstreams:        up,
		Pools:            pools,
		PoolsPerNode:     pools / sz.Nodes,
		UpstreamsPerNode: up / sz.Nodes,
		Slices:           up * as.SlicesPerUpstream * as.KeyedShare,
		KeysPerSlice:     sz.Keys / (up * as.SlicesPerUpstream * as.KeyedShare),
		NodesPerDomain:   math.Ceil(sz.Nodes / sz.Domains),
		RequestsPerNode:  sz.RequestsPerSec / sz.Nodes,
	}
}
