// Package route finds the pool and the holder for a request.
//
//	pl, ok := rt.PoolOf(sv, ident.SliceOf(key, sv.Slices))
//	host, ok := rt.Holder(pl)
package route

import (
	"chervilwalk/internal/fleet/ident"
)

// Table is one state of the routes a node knows. It is never changed.
type Table struct {
	// Slices gives the pool of each slice of a keyed service.
	Slices map[ident.Service][]ident.Pool
	// Nearest lists the pools of an unkeyed service, nearest first.
	Nearest map[ident.Service][]ident.Pool
	// Holders gives the host that holds each pool.
	Holders map[ident.Pool]ident.Host
}

// PoolOf returns the pool that a slice belongs to.
func (tb *Table) PoolOf(sv ident.Service, sl ident.Slice) (ident.Pool, bool) {
	pools := tb.Slices[sv]
	if int(sl) >= len(pools) || pools[sl] == "" {
		return "", false
	}
	return pools[sl], true
}

// Holder returns the host that holds a pool.
func (tb *Table) Holder(pl ident.Pool) (ident.Host, bool) {
	ho, ok := tb.Holders[pl]
	return ho, ok
}
