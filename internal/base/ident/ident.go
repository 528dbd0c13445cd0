// Package ident names the things a fleet consists of.
//
// Every id is a type of its own, so that a host can never be passed where an
// upstream is meant:
//
//	holder := ident.Score("lookup", "a-1", 0.8)
package ident

import (
	"math"

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

// Hash spreads upstreams evenly over the parts of their service.
func Hash(up Upstream) uint64 { return xxhash.Sum64String(string(up)) }

// PartOf maps an upstream's hash to one of a number of parts of its service.
func PartOf(hash uint64, parts int) int {
	if parts < 2 {
		return 0
	}
	return int(hash % uint64(parts))
}

// Score is the rendezvous score of a pair of names where candidates have
// weights: the candidate with the highest score for an item is its choice, and
// each is chosen in proportion to its weight.
func Score(item, candidate string, weight float64) float64 {
	part := (float64(Weight(item, candidate)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(part)
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
