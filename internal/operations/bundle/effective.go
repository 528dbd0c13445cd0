package bundle

import (
	"slices"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/census"
)

// Effective is the bundle with every reason to be out written into the Out of
// hosts and upstreams: their own, their domain's, and a census that calls them
// leaving. An operator's "out: false" overrules the census, and nothing else.
//
// The bundle itself is not changed; the same one is returned when nothing
// differs.
func Effective(bn *Bundle, entries []census.Entry) *Bundle {
	leaving := map[ident.Host]bool{}
	for _, en := range entries {
		leaving[en.Host] = en.State == census.Leaving
	}
	outDomains := map[ident.Domain]bool{}
	for _, dm := range bn.Domains {
		outDomains[dm.Name] = dm.Out
	}
	ef := *bn
	ef.Hosts = slices.Clone(bn.Hosts)
	ef.Services = slices.Clone(bn.Services)
	changed := false
	for ix := range ef.Hosts {
		ho := &ef.Hosts[ix]
		out := ho.Out || outDomains[ho.Domain] || leaving[ho.Name] && !ho.HeldIn
		changed = changed || out != ho.Out
		ho.Out = out
	}
	for sx := range ef.Services {
		sv := &ef.Services[sx]
		sv.Upstreams = slices.Clone(sv.Upstreams)
		for ux := range sv.Upstreams {
			up := &sv.Upstreams[ux]
			out := up.Out || outDomains[up.Domain] || leaving[ident.Host(up.Name)] && !up.HeldIn
			changed = changed || out != up.Out
			up.Out = out
		}
	}
	if !changed {
		return bn
	}
	return &ef
}
