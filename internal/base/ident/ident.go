// Package ident names the things a fleet consists of.
//
// Every id is a type of its own, so that a host can never be passed where an
// upstream is meant:
//
//	pl := ident.NewPool("lookup", "north", 0) // "lookup@north#0"
package ident

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Service is the name of a service in the bundle.
type Service string

// Domain is the name of a failure domain in the bundle.
type Domain string

// Region is the name of a region in the bundle.
type Region string

// Host is the name of an entry host; one node runs on it.
type Host string

// Upstream is the name of a back end, unique in the bundle.
type Upstream string

// Request is the id of one request, unique over all nodes.
type Request string

// Key is the key of a request for a keyed service.
type Key string

// Slice numbers a part of a service's key space, from 0.
type Slice uint32

// Pool names up to MaxPoolUpstreams upstreams of one service in one domain.
type Pool string

// NewPool builds the name of the pool with the given number, from 0.
func NewPool(sv Service, dm Domain, number int) Pool {
	return Pool(fmt.Sprintf("%s@%s#%d", sv, dm, number))
}

// Service returns the service part of the pool's name.
func (pl Pool) Service() Service {
	name, _, _ := strings.Cut(string(pl), "@")
	return Service(name)
}

// Domain returns the failure domain part of the pool's name.
func (pl Pool) Domain() Domain {
	_, rest, _ := strings.Cut(string(pl), "@")
	name, _, _ := strings.Cut(rest, "#")
	return Domain(name)
}

// SliceOf maps a key to one of count slices; count must not be zero.
func SliceOf(ky Key, count uint32) Slice {
	return Slice(xxhash.Sum64String(string(ky)) % uint64(count))
}

// PartOf maps an upstream to one of a number of parts of its service.
func PartOf(up Upstream, parts int) int {
	if parts < 2 {
		return 0
	}
	return int(xxhash.Sum64String(string(up)) % uint64(parts))
}

// Weight is the rendezvous weight of a pair of names: the candidate with the
// highest weight for an item is its choice, and few choices change when a
// candidate joins or leaves.
func Weight(item, candidate string) uint64 {
	dg := xxhash.New()
	_, _ = dg.WriteString(item)
	_, _ = dg.Write([]byte{0})
	_, _ = dg.WriteString(candidate)
	return dg.Sum64()
}
