package bundle

import "slices"

// Effective is the bundle with every reason to be out written into the Out of
// hosts and upstreams: their own, and their domain's.
func Effective(bn *Bundle) *Bundle {
	ef := *bn
	ef.Hosts, ef.Services = slices.Clone(bn.Hosts), slices.Clone(bn.Services)
	for ix := range ef.Hosts {
		ho := &ef.Hosts[ix]
		ho.Out = ho.Out || bn.out(ho.Domain)
	}
	for sx := range ef.Services {
		sv := &ef.Services[sx]
		sv.Upstreams = slices.Clone(sv.Upstreams)
		for ux := range sv.Upstreams {
			up := &sv.Upstreams[ux]
			up.Out = up.Out || bn.out(up.Domain)
		}
	}
	return &ef
}
