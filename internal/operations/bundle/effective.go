package bundle

import (
	"slices"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/census"
)

// WithCensus is the bundle with a census that calls hosts and upstreams leaving
// written into their Out. An operator's "out: false" overrules the census.
//
// A domain that is out leaves the Out of its hosts and upstreams as it is: they
// go on until its leader has handed everything over. The bundle itself is not
// changed; the same one is returned when nothing differs.
func WithCensus(bn *Bundle, entries []census.Entry) *Bundle {
	leaving := map[ident.Host]bool{}
	for _, en := range entries {
		leaving[en.Host] = en.State == census.Leaving
	}
	return withOut(bn, func(name ident.Host, _ ident.Domain, out, heldIn bool) bool {
		return out || leaving[name] && !heldIn
	})
}

// Effective is the bundle with every reason to be out in the end written into
// the Out of hosts and upstreams: their own, a census that calls them leaving,
// and their domain's, which nothing overrules.
func Effective(bn *Bundle, entries []census.Entry) *Bundle {
	outDomains := map[ident.Domain]bool{}
	for _, dm := range bn.Domains {
		outDomains[dm.Name] = dm.Out
	}
	return withOut(WithCensus(bn, entries), func(_ ident.Host, dm ident.Domain, out, _ bool) bool {
		return out || outDomains[dm]
	})
}

// withOut decides anew who is out; an upstream's name stands for its host's.
func withOut(bn *Bundle, decide func(name ident.Host, dm ident.Domain, out, heldIn bool) bool) *Bundle {
	ef := *bn
	ef.Hosts = slices.Clone(bn.Hosts)
	ef.Services = slices.Clone(bn.Services)
	changed := false
	for ix := range ef.Hosts {
		ho := &ef.Hosts[ix]
		out := decide(ho.Name, ho.Domain, ho.Out, ho.HeldIn)
		changed = changed || out != ho.Out
		ho.Out = out
	}
	for sx := range ef.Services {
		sv := &ef.Services[sx]
		sv.Upstreams = slices.Clone(sv.Upstreams)
		for ux := range sv.Upstreams {
			up := &sv.Upstreams[ux]
			out := decide(ident.Host(up.Name), up.Domain, up.Out, up.HeldIn)
			changed = changed || out != up.Out
			up.Out = out
		}
	}
	if !changed {
		return bn
	}
	return &ef
}
