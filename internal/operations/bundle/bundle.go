// Package bundle holds the versioned, signed statement of what a fleet is:
// services, upstreams, hosts, failure domains and limits.
//
//	bn, err := bundle.Parse("mushi.yaml", body)
//	sv, ok := bn.Service("lookup")
package bundle

import (
	"slices"
	"time"

	"chervilwalk/internal/fleet/ident"
)

// MaxPoolUpstreams is how many upstreams one pool holds at most, and when the
// bundle says nothing.
const MaxPoolUpstreams = 32

// Version orders bundles; a node only ever moves to a higher one.
type Version uint64

// CutOff says what a domain does with a service's keys once it is cut off.
type CutOff string

const (
	// Yield stops after one lease, so that other domains take over.
	Yield CutOff = "yield"
	// Keep goes on for the domain's own callers until a deadline.
	Keep CutOff = "keep"
)

// KeySource says where a request carries its key.
type KeySource string

const (
	// KeyInPath takes the path segment after the service's name.
	KeyInPath KeySource = "path"
	// KeyInQuery takes the query parameter named "key".
	KeyInQuery KeySource = "query"
	// KeyInHeader takes the header "Chervilwalk-Key".
	KeyInHeader KeySource = "header"
)

// Bundle is one accepted state of the whole fleet. It is never changed.
type Bundle struct {
	Version     Version
	Domains     []Domain
	Hosts       []Host
	Services    []Service
	TrustedKeys []TrustedKey
}

// Domain is a failure domain.
type Domain struct {
	Name   ident.Domain
	Region ident.Region
	Out    bool
	// Dark states that an operator knows the domain to be stopped.
	Dark bool
}

// Host is an entry host.
type Host struct {
	Name   ident.Host
	Domain ident.Domain
	// Inner is the IP and port of the inner protocol.
	Inner string
	Out   bool
	// HeldIn is an operator's word ("out: false") that the census cannot
	// overrule.
	HeldIn bool
}

// Service is a kind of request with the upstreams that answer it.
type Service struct {
	Name  ident.Service
	Keyed bool
	Key   KeySource
	// Slices is the number of parts of the key space; 0 when not keyed.
	Slices uint32
	// IdempotentMethods may be repeated; all others run at most once.
	IdempotentMethods []string
	// DefaultTimeout is a request's time when its caller states none.
	DefaultTimeout time.Duration
	// MaxTimeout bounds what a caller may state.
	MaxTimeout time.Duration
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
	WhenCutOff   CutOff
	// KeepFor bounds WhenCutOff Keep.
	KeepFor time.Duration
	// PoolUpstreams is how many upstreams one pool holds at most; 0 means
	// MaxPoolUpstreams. Smaller pools spread a service over more nodes.
	PoolUpstreams int
	Upstreams     []Upstream
}

// Upstream is one back end.
type Upstream struct {
	Name    ident.Upstream
	Domain  ident.Domain
	Address string
	// Slots is how many requests it serves at a time.
	Slots int
	// Connections bounds the connections it accepts from all nodes together.
	Connections int
	// ColdLimit is how many requests it bears at a time just after a start.
	ColdLimit int
	// ChecksTokens tells whether it refuses stale grants by itself.
	ChecksTokens bool
	Out          bool
	// HeldIn is an operator's word ("out: false") that the census cannot
	// overrule.
	HeldIn bool
}

// TrustedKey is a key whose signature makes a bundle acceptable.
type TrustedKey struct {
	Name string
	// Public is the Ed25519 public key.
	Public []byte
}

// Service finds a service by name.
func (bn *Bundle) Service(name ident.Service) (*Service, bool) {
	ix := slices.IndexFunc(bn.Services, func(sv Service) bool { return sv.Name == name })
	if ix < 0 {
		return nil, false
	}
	return &bn.Services[ix], true
}

// Host finds an entry host by name.
func (bn *Bundle) Host(name ident.Host) (*Host, bool) {
	ix := slices.IndexFunc(bn.Hosts, func(ho Host) bool { return ho.Name == name })
	if ix < 0 {
		return nil, false
	}
	return &bn.Hosts[ix], true
}

// Domain finds a failure domain by name.
func (bn *Bundle) Domain(name ident.Domain) (*Domain, bool) {
	ix := slices.IndexFunc(bn.Domains, func(dm Domain) bool { return dm.Name == name })
	if ix < 0 {
		return nil, false
	}
	return &bn.Domains[ix], true
}

// HostsOf lists a domain's entry hosts, in the bundle's order.
func (bn *Bundle) HostsOf(dm ident.Domain) []Host {
	var found []Host
	for _, ho := range bn.Hosts {
		if ho.Domain == dm {
			found = append(found, ho)
		}
	}
	return found
}

// Idempotent tells whether a request of this method may be repeated.
func (sv *Service) Idempotent(method string) bool {
	return slices.Contains(sv.IdempotentMethods, method)
}

// Pool is up to MaxPoolUpstreams upstreams of one service in one domain.
type Pool struct {
	Name      ident.Pool
	Service   *Service
	Domain    ident.Domain
	Upstreams []Upstream
}

func (sv *Service) poolSize() int {
	if sv.PoolUpstreams == 0 {
		return MaxPoolUpstreams
	}
	return sv.PoolUpstreams
}

// Pools divides the service's upstreams into pools, in the bundle's order.
func (sv *Service) Pools() []Pool {
	byDomain := map[ident.Domain][]Upstream{}
	var order []ident.Domain
	for _, up := range sv.Upstreams {
		if _, ok := byDomain[up.Domain]; !ok {
			order = append(order, up.Domain)
		}
		byDomain[up.Domain] = append(byDomain[up.Domain], up)
	}
	var pools []Pool
	for _, dm := range order {
		number := 0
		for part := range slices.Chunk(byDomain[dm], sv.poolSize()) {
			pools = append(pools, Pool{Name: ident.NewPool(sv.Name, dm, number), Service: sv, Domain: dm, Upstreams: part})
			number++
		}
	}
	return pools
}

// Pools lists the pools of all services.
func (bn *Bundle) Pools() []Pool {
	var pools []Pool
	for ix := range bn.Services {
		pools = append(pools, bn.Services[ix].Pools()...)
	}
	return pools
}
