package propagation

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
)

const (
	// fullNodes, fullDomains and fullUpstreams are the size to design for.
	fullNodes     = 420
	fullDomains   = 8
	fullUpstreams = 3100
	// changesPerDay is how many changes of configuration a day has.
	changesPerDay = 990
)

// Size holds the bytes of a bundle of full size.
type Size struct {
	Nodes     int `json:"nodes"`
	Upstreams int `json:"upstreams"`
	BodyBytes int `json:"bodyBytes"`
	// GzipBytes is what crosses between two nodes.
	GzipBytes int `json:"gzipBytes"`
	// NodeBytesPerSecond is what a node receives on average for all changes of
	// a day.
	NodeBytesPerSecond float64 `json:"nodeBytesPerSecond"`
	// OpenMs is the time to check and parse it once.
	OpenMs float64 `json:"openMs"`
}

// FullSize builds a bundle of full size and measures it.
func FullSize() (Size, error) {
	bn := &bundle.Bundle{Version: 1}
	for ix := range fullDomains {
		bn.Domains = append(bn.Domains, bundle.Domain{Name: ident.Domain(fmt.Sprintf("domain-%d", ix)), Region: "region"})
	}
	for ix := range fullNodes {
		dm := bn.Domains[ix%fullDomains].Name
		bn.Hosts = append(bn.Hosts, bundle.Host{
			Name: ident.Host(fmt.Sprintf("%s-entry-%d", dm, ix)), Domain: dm, Inner: fmt.Sprintf("10.1.%d.%d:7300", ix/250, ix%250+1),
		})
	}
	sv := bundle.Service{
		Name: "lookup", Keyed: true, Key: bundle.KeyInPath, Slices: bundle.MaxSlices, WhenCutOff: bundle.Yield,
		DefaultTimeout: time.Second, MaxTimeout: time.Second, MaxBodyBytes: 1 << 16,
	}
	for ix := range fullUpstreams {
		sv.Upstreams = append(sv.Upstreams, bundle.Upstream{
			Name: ident.Upstream(fmt.Sprintf("lookup-%d", ix)), Domain: bn.Domains[ix%fullDomains].Name,
			Address: fmt.Sprintf("10.2.%d.%d:8080", ix/250, ix%250+1), Slots: 2, Connections: 300, ColdLimit: 1, ChecksTokens: true,
		})
	}
	bn.Services = []bundle.Service{sv}
	return sizeOf(bn)
}

func sizeOf(bn *bundle.Bundle) (Size, error) {
	body, err := bundle.Format(bn)
	if err != nil {
		return Size{}, err
	}
	var packed bytes.Buffer
	zw := gzip.NewWriter(&packed)
	if _, err := zw.Write(body); err != nil {
		return Size{}, err
	}
	if err := zw.Close(); err != nil {
		return Size{}, err
	}
	begun := time.Now()
	if _, err := bundle.Parse("full", body); err != nil {
		return Size{}, err
	}
	return Size{
		Nodes: len(bn.Hosts), Upstreams: len(bn.Services[0].Upstreams), BodyBytes: len(body), GzipBytes: packed.Len(),
		NodeBytesPerSecond: float64(packed.Len()) * changesPerDay / (24 * time.Hour).Seconds(),
		OpenMs:             millis(time.Since(begun)),
	}, nil
}
