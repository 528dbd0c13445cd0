package capacity

import (
	"fmt"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
)

// shape is the size of a made-up fleet.
type shape struct {
	domains   int
	hosts     int
	upstreams int
	slices    uint32
}

// stock builds the bundle of a made-up fleet with one keyed service.
func stock(sh shape) *bundle.Bundle {
	bn := &bundle.Bundle{Version: 1}
	for dx := range sh.domains {
		bn.Domains = append(bn.Domains, bundle.Domain{Name: domainName(dx), Region: "region-1"})
	}
	for hx := range sh.hosts {
		bn.Hosts = append(bn.Hosts, bundle.Host{
			Name:   ident.Host(fmt.Sprintf("entry-%04d", hx)),
			Domain: domainName(hx % sh.domains),
			Inner:  fmt.Sprintf("127.1.%d.%d:7300", hx/250, hx%250+1),
		})
	}
	bn.Services = []bundle.Service{{
		Name:              "lookup",
		Keyed:             true,
		Key:               bundle.KeyInPath,
		Slices:            sh.slices,
		IdempotentMethods: []string{"GET"},
		DefaultTimeout:    time.Second,
		MaxTimeout:        time.Second,
		MaxBodyBytes:      1 << 16,
		WhenCutOff:        bundle.Yield,
		Upstreams:         stockUpstreams(sh),
	}}
	return bn
}

func stockUpstreams(sh shape) []bundle.Upstream {
	var list []bundle.Upstream
	for ux := range sh.upstreams {
		list = append(list, bundle.Upstream{
			Name:         ident.Upstream(fmt.Sprintf("lookup-%05d", ux)),
			Domain:       domainName(ux % sh.domains),
			Address:      fmt.Sprintf("127.2.%d.%d:7100", ux/250, ux%250+1),
			Slots:        2,
			Connections:  300,
			ColdLimit:    1,
			ChecksTokens: true,
		})
	}
	return list
}

func domainName(dx int) ident.Domain {
	return ident.Domain(fmt.Sprintf("domain-%d", dx+1))
}
