package authority

import (
	"strconv"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
)

// place chooses the pool and the upstream of a slice by rendezvous hashing, so
// that few slices move when an upstream joins or leaves.
func place(sv ident.Service, sl ident.Slice, pools []bundle.Pool) (ident.Pool, ident.Upstream) {
	item := string(sv) + "/" + strconv.FormatUint(uint64(sl), 10)
	var best uint64
	var pool ident.Pool
	var upstream ident.Upstream
	for _, pl := range pools {
		for _, up := range pl.Upstreams {
			if wt := ident.Weight(item, string(up.Name)); upstream == "" || wt > best {
				best, pool, upstream = wt, pl.Name, up.Name
			}
		}
	}
	return pool, upstream
}

// holderOf chooses the host that holds a pool among those of its domain.
func holderOf(bn *bundle.Bundle, pl bundle.Pool) ident.Host {
	var best uint64
	var holder ident.Host
	for _, ho := range bn.HostsOf(pl.Domain) {
		if wt := ident.Weight(string(pl.Name), string(ho.Name)); holder == "" || wt > best {
			best, holder = wt, ho.Name
		}
	}
	return holder
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
