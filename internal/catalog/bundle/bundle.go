// Package bundle reads, writes, edits, signs and verifies bundles. A bundle is
// the versioned, signed configuration of a deployment: services, upstreams, hosts,
// failure domains and limits.
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

// Version numbers bundles. A host never goes back to a lower version.
type Version uint64

// Bundle is one version of the configuration of a whole deployment. It is immutable.
type Bundle struct {
	Version     Version
	Domains     []Domain
	Hosts       []Host
	Services    []Service
	TrustedKeys []TrustedKey
}

// Domain is a failure domain: hosts and upstreams that can fail together.
type Domain struct {
	Name   ident.Domain
	Region ident.Region
	// Out takes all hosts and upstreams of the domain out of service.
	Out bool
}

// Host is an entry host: it runs a gateway that accepts requests.
type Host struct {
	Name   ident.Host
	Domain ident.Domain
	// Admin is the IP:PORT that serves the host's metrics and dump.
	Admin string
	// Out takes the host out of service.
	Out bool
}

// Service describes the requests under one path prefix and the upstreams that
// answer them.
type Service struct {
	Name ident.Service
	// Keyed means that each request has a key and runs only at the upstream that
	// owns the key.
	Keyed bool
	// Key says where a request carries its key; empty unless Keyed.
	Key desired.KeySource
	// IdempotentMethods lists the HTTP methods whose requests may run more than
	// once. Requests with any other method run at most once.
	IdempotentMethods []string
	// DefaultTimeout applies to a request whose caller sets no timeout.
	DefaultTimeout time.Duration
	// Objective is the target response time. A later response is still of use until
	// the timeout. Zero means DefaultTimeout.
	Objective time.Duration
	// MaxTimeout is the longest timeout that a caller may set.
	MaxTimeout time.Duration
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int
	Upstreams    []Upstream
}

// Upstream is one back end of a service.
type Upstream struct {
	Name   ident.Upstream
	Domain ident.Domain
	// Address is the upstream's IP:PORT.
	Address string
	// Slots is the number of requests it processes concurrently.
	Slots int
	// Connections limits its open connections from all hosts together.
	Connections int
	// ColdPerSecond is the number of requests per second that it can handle right
	// after a start, while it is cold.
	ColdPerSecond int
	// Out takes the upstream out of service.
	Out bool
}

// TrustedKey is a public key whose holder may sign bundles.
type TrustedKey struct {
	Name string
	// Public is the Ed25519 public key, ed25519.PublicKeySize bytes long.
	Public []byte
}

// Service returns the service with the given name and whether it exists.
func (bn *Bundle) Service(name ident.Service) (*Service, bool) {
	ix := slices.IndexFunc(bn.Services, func(sv Service) bool { return sv.Name == name })
	if ix < 0 {
		return nil, false
	}
	return &bn.Services[ix], true
}

// Host returns the entry host with the given name and whether it exists.
func (bn *Bundle) Host(name ident.Host) (*Host, bool) {
	ix := slices.IndexFunc(bn.Hosts, func(ho Host) bool { return ho.Name == name })
	if ix < 0 {
		return nil, false
	}
	return &bn.Hosts[ix], true
}

// Domain returns the failure domain with the given name and whether it exists.
func (bn *Bundle) Domain(name ident.Domain) (*Domain, bool) {
	ix := slices.IndexFunc(bn.Domains, func(dm Domain) bool { return dm.Name == name })
	if ix < 0 {
		return nil, false
	}
	return &bn.Domains[ix], true
}

// domainOut reports whether the named domain exists and is out of service.
func (bn *Bundle) domainOut(name ident.Domain) bool {
	dm, ok := bn.Domain(name)
	return ok && dm.Out
}

// HostsOf returns the entry hosts of a domain, in the order of the bundle.
func (bn *Bundle) HostsOf(dm ident.Domain) []Host {
	var found []Host
	for _, ho := range bn.Hosts {
		if ho.Domain == dm {
			found = append(found, ho)
		}
	}
	return found
}

// Idempotent reports whether requests with this HTTP method may run more than
// once.
func (sv *Service) Idempotent(method string) bool {
	return slices.Contains(sv.IdempotentMethods, method)
}
