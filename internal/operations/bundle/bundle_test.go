package bundle_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
)

func TestPoolsKeepDomainsApartAndTheirSize(t *testing.T) {
	cases := map[string]struct {
		size int
		want map[ident.Pool]int
	}{
		"default": {want: map[ident.Pool]int{"s@a#0": 32, "s@a#1": 8, "s@b#0": 5}},
		"stated":  {size: 20, want: map[ident.Pool]int{"s@a#0": 20, "s@a#1": 20, "s@b#0": 5}},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			sv := bundle.Service{Name: "s", PoolUpstreams: cs.size}
			for ix := range 45 {
				dm := ident.Domain("a")
				if ix >= 40 {
					dm = "b"
				}
				sv.Upstreams = append(sv.Upstreams, bundle.Upstream{Name: ident.Upstream(fmt.Sprint("u", ix)), Domain: dm})
			}
			got := map[ident.Pool]int{}
			for _, pl := range sv.Pools() {
				got[pl.Name] = len(pl.Upstreams)
			}
			gm.Expect(got).To(Equal(cs.want))
		})
	}
}
