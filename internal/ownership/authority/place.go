package authority

import (
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
)

// nearest lists pools with those of the node's own domain first.
func nearest(pools []bundle.Pool, own ident.Domain) []ident.Pool {
	var near, far []ident.Pool
	for _, pl := range pools {
		if pl.Domain == own {
			near = append(near, pl.Name)
		} else {
			far = append(far, pl.Name)
		}
	}
	return append(near, far...)
}

// poolsInService lists the pools of a service in the domains that are in
// service; a domain that is out gets no new work.
func (co *Core) poolsInService(sv *bundle.Service) []bundle.Pool {
	var list []bundle.Pool
	for _, pl := range sv.Pools() {
		if co.inService(pl.Domain) {
			list = append(list, pl)
		}
	}
	return list
}
