package bundle

import "slices"

// Effective returns a copy of the bundle in which the hosts and upstreams of
// domains that are out are themselves marked as Out.
func Effective(bn *Bundle) *Bundle {
	ef := *bn
	ef.Hosts, ef.Services = slices.Clone(bn.Hosts), slices.Clone(bn.Services)
	for ix := range ef.Hosts {
		ho := &ef.Hosts[ix]
		ho.Out = ho.Out || bn.domainOut(ho.Domain)
	}
	for sx := range ef.Services {
		sv := &ef.Services[sx]
		sv.Upstreams = slices.Clone(sv.Upstreams)
		for ux := range sv.Upstreams {
			up := &sv.Upstreams[ux]
			up.Out = up.Out || bn.domainOut(up.Domain)
		}
	}
	return &ef
}
