package capacity

import (
	"fmt"
	"runtime"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
)

// bundleProbes measure what the bundle and the routes cost.
func bundleProbes() []Probe {
	upstreams := []int{200, 500, 1000, 2000, 4000}
	return []Probe{
		{Name: "bundleBytes", Unit: "bytes", Per: "upstream", Role: "bundle distribution", Sizes: upstreams, Measure: bundleBytes, Exact: true},
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
