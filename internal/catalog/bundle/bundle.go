// Package bundle holds the versioned, signed statement of what a fleet is:
// services, upstreams, hosts, failure domains and limits.
//
//	bn, err := bundle.Parse("mushi.yaml", body)
//	sv, ok := bn.Service("lookup")
package bundle

import (
	"slices"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/desired"
)

// Version orders bundles; a host only ever moves to a higher one.
type Version uint64

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
}

// Host is an entry host.
type Host struct {
	Name   ident.Host
	Domain ident.Domain
	// Admin is the IP and port of its metrics and its dump.
	Admin string
	Out   bool
}

// Service is a kind of request with the upstreams that answer it.
type Service struct {
	Name  ident.Service
	Keyed bool
	// Key is where requests carry the key of a keyed service.
	Key desired.KeySource
	// IdempotentMethods may be repeated; all others run at most once.
	IdempotentMethods []string
	// DefaultTimeout is a request's time when its caller states none.
	DefaultTimeout time.Duration
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	// MaxTimeout bounds what a caller may state.
	MaxTimeout time.Duration
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
	Upstreams    []Upstream
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
	// ColdPerSecond is how many requests a second it can take just after a start.
	ColdPerSecond int
	Out           bool
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

func (bn *Bundle) out(name ident.Domain) bool {
	dm, ok := bn.Domain(name)
	return ok && dm.Out
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
