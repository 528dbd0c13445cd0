package capacity

import (
	"context"
	"fmt"
	"runtime"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
)

// bundleProbes measure what the bundle and the routes cost.
func bundleProbes() []Probe {
	upstreams := []int{200, 500, 1000, 2000, 4000}
	return []Probe{
		{Name: "bundleBytes", Unit: "bytes", Per: "upstream", Role: "bundle distribution", Sizes: upstreams, Measure: bundleBytes, Exact: true},
		{Name: "bundleWire", Unit: "bytes", Per: "upstream", Role: "bundle distribution", Sizes: upstreams, Measure: bundleWire},
		{Name: "bundleHostBytes", Unit: "bytes", Per: "host", Role: "bundle distribution", Sizes: []int{50, 100, 200, 400}, Measure: bundleHostBytes, Exact: true},
		{Name: "bundleHeap", Unit: "bytes", Per: "upstream", Role: "bundle distribution", Sizes: upstreams, Measure: bundleHeap},
		{Name: "bundleCpu", Unit: "ns", Per: "upstream", Role: "bundle distribution", Sizes: upstreams, Measure: bundleCPU},
		{Name: "routeBytes", Unit: "bytes", Per: "slice", Role: "entry", Sizes: []int{4096, 16384, 65536, 262144}, Measure: routeBytes},
	}
}

// bundleBytes is the size of a bundle's body as it is stored and sent.
func bundleBytes(size int) (float64, error) {
	body, err := bundle.Format(stock(shape{domains: 8, hosts: 8, upstreams: size, slices: 256}))
	return float64(len(body)), err
}

// sealed is a node that has a bundle to give.
type sealed struct {
	inner.Service
	body []byte
}

// Seal implements inner.Service.
func (se sealed) Seal() (bundle.Seal, bool) {
	return bundle.Seal{Version: 1, Key: "alice", Signature: make([]byte, 64), Body: se.body}, true
}

// bundleWire is what crosses the wire when a node fetches a bundle of 420 hosts
// from a peer.
func bundleWire(size int) (float64, error) {
	body, err := bundle.Format(stock(shape{domains: 8, hosts: 420, upstreams: size, slices: 256}))
	if err != nil {
		return 0, err
	}
	wi, err := listenWire()
	if err != nil {
		return 0, err
	}
	defer wi.serve(inner.NewServer(sealed{body: body}))()
	pe := inner.NewPeer(wi.Addr().String())
	defer pe.Close()
	sl, err := pe.FetchBundle(context.Background(), 0)
	if err == nil && len(sl.Body) != len(body) {
		err = fmt.Errorf("%d of %d bytes came", len(sl.Body), len(body))
	}
	return wi.total(), err
}

func bundleHostBytes(size int) (float64, error) {
	body, err := bundle.Format(stock(shape{domains: 8, hosts: size, upstreams: 8, slices: 256}))
	return float64(len(body)), err
}

// bundleHeap is the live heap of a parsed bundle.
func bundleHeap(size int) (float64, error) {
	body, err := bundle.Format(stock(shape{domains: 8, hosts: 8, upstreams: size, slices: 256}))
	if err != nil {
		return 0, err
	}
	cost := heapBytes(func() any {
		var bn *bundle.Bundle
		bn, err = bundle.Parse("stock", body)
		return bn
	})
	runtime.KeepAlive(body)
	return cost, err
}

// bundleCPU is the cost of checking and parsing a bundle that arrives.
func bundleCPU(size int) (float64, error) {
	const rounds = 5
	body, err := bundle.Format(stock(shape{domains: 8, hosts: 8, upstreams: size, slices: 256}))
	if err != nil {
		return 0, err
	}
	cost, err := cpuNanos(func() error {
		for range rounds {
			if _, err := bundle.Parse("stock", body); err != nil {
				return err
			}
		}
		return nil
	})
	return cost / rounds, err
}

// routeBytes is the live heap of the routes of one keyed service.
func routeBytes(size int) (float64, error) {
	cost := heapBytes(func() any {
		pools := make([]ident.Pool, 64)
		for ix := range pools {
			pools[ix] = ident.Pool(fmt.Sprintf("lookup@domain-%d#%d", ix%8, ix/8))
		}
		table := &route.Table{Slices: map[ident.Service][]ident.Pool{"lookup": make([]ident.Pool, size)}}
		for sl := range size {
			table.Slices["lookup"][sl] = pools[sl%len(pools)]
		}
		return table
	})
	return cost, nil
}
