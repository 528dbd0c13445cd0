package authority

import (
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/pool"
)

// heaviest chooses the pool of a slice by rendezvous hashing over upstreams, so
// that pools get slices by their size and few move when an upstream joins.
func heaviest(sv ident.Service, sl ident.Slice, pools []bundle.Pool) ident.Pool {
	item := pool.Item(sv, sl)
	var best uint64
	var chosen ident.Pool
	for _, pl := range pools {
		for _, up := range pl.Upstreams {
			if wt := ident.Weight(item, string(up.Name)); !up.Out && (chosen == "" || wt > best) {
				best, chosen = wt, pl.Name
			}
		}
	}
	return chosen
}

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
