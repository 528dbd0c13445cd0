// Package ident defines the ids of services, hosts, upstreams and requests, and
// rendezvous hashing over them.
//
// Every id has its own type, so that the compiler rejects a host's id in place of
// an upstream's:
//
//	up := ident.Upstream("i-7f3a91c2")
//	pool := ident.PoolOf(ident.Hash(up), 4)
package ident

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Service is the name of a service, a group of upstreams.
type Service string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a region.
type Region string

// Host is the name of a host, which runs one router process.
type Host string

// Upstream is the name of an upstream, unique in the deployment.
type Upstream string

// Request is the id of a request, unique across all hosts.
type Request string

// Fingerprint identifies what a request asks for, whoever serves it: repeats of a request have
// the same one. 0 means that it is not known.
type Fingerprint uint64

// String returns the fingerprint as in logs.
func (fp Fingerprint) String() string { return strconv.FormatUint(uint64(fp), 16) }

// Hash returns an upstream's hash, which PoolOf maps to a pool of its service.
func Hash(up Upstream) uint64 { return xxhash.Sum64String(string(up)) }

// PoolOf returns the pool of its service, from 0 to pools-1, that an upstream with
// this hash belongs to. It spreads the upstreams evenly over the pools.
func PoolOf(hash uint64, pools int) int {
	if pools < 2 {
		return 0
	}
	return int(hash % uint64(pools))
}

// Score returns the score of a candidate for an item in weighted rendezvous
// hashing. The candidate with the highest score is chosen. Over many items, each
// candidate is chosen in proportion to its weight.
func Score(item, candidate string, weight float64) float64 {
	uniform := (float64(Weight(item, candidate)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// Weight returns the weight of a candidate for an item in rendezvous hashing. The
// candidate with the highest weight is chosen. When a candidate joins or leaves,
// only the items that choose it change their choice.
func Weight(item, candidate string) uint64 {
	dg := xxhash.New()
	_, _ = dg.WriteString(item)
	_, _ = dg.Write([]byte{0})
	_, _ = dg.WriteString(candidate)
	return dg.Sum64()
}
