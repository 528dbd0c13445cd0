package bundle

import (
	"bytes"
	"encoding/base64"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"

	"chervilwalk/internal/fleet/ident"
)

type fileYAML struct {
	Version     uint64        `yaml:"version"`
	Domains     []domainYAML  `yaml:"domains"`
	Hosts       []hostYAML    `yaml:"hosts"`
	Services    []serviceYAML `yaml:"services"`
	TrustedKeys []keyYAML     `yaml:"trustedKeys"`
}

type domainYAML struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	Out    bool   `yaml:"out,omitempty"`
	Dark   bool   `yaml:"dark,omitempty"`
}

type hostYAML struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	Inner  string `yaml:"inner"`
	Out    bool   `yaml:"out,omitempty"`
}

type serviceYAML struct {
	Name              string         `yaml:"name"`
	Keyed             bool           `yaml:"keyed,omitempty"`
	Key               string         `yaml:"key,omitempty"`
	Slices            uint32         `yaml:"slices,omitempty"`
	IdempotentMethods []string       `yaml:"idempotentMethods,flow"`
	DefaultTimeout    time.Duration  `yaml:"defaultTimeout"`
	MaxTimeout        time.Duration  `yaml:"maxTimeout"`
	MaxBodyBytes      int            `yaml:"maxBodyBytes"`
	WhenCutOff        string         `yaml:"whenCutOff,omitempty"`
	KeepFor           time.Duration  `yaml:"keepFor,omitempty"`
	Upstreams         []upstreamYAML `yaml:"upstreams"`
}

type upstreamYAML struct {
	Name         string `yaml:"name"`
	Domain       string `yaml:"domain"`
	Address      string `yaml:"address"`
	Slots        int    `yaml:"slots"`
	Connections  int    `yaml:"connections"`
	ColdLimit    int    `yaml:"coldLimit"`
	ChecksTokens bool   `yaml:"checksTokens,omitempty"`
	Out          bool   `yaml:"out,omitempty"`
}

type keyYAML struct {
	Name   string `yaml:"name"`
	Public string `yaml:"public"`
}

// Parse reads a bundle's YAML; the name stands in the errors.
func Parse(name string, body []byte) (*Bundle, error) {
	var fy fileYAML
	dc := yaml.NewDecoder(bytes.NewReader(body))
	dc.KnownFields(true)
	if err := dc.Decode(&fy); err != nil && !errors.Is(err, io.EOF) {
		return nil, eris.Wrapf(err, "bundle %s", name)
	}
	bn, err := fy.bundle()
	if err != nil {
		return nil, eris.Wrapf(err, "bundle %s", name)
	}
	return bn, nil
}

func (fy *fileYAML) bundle() (*Bundle, error) {
	bn := &Bundle{Version: Version(fy.Version)}
	for _, dy := range fy.Domains {
		bn.Domains = append(bn.Domains, Domain{
			Name: ident.Domain(dy.Name), Region: ident.Region(dy.Region), Out: dy.Out, Dark: dy.Dark,
		})
	}
	for _, hy := range fy.Hosts {
		bn.Hosts = append(bn.Hosts, Host{
			Name: ident.Host(hy.Name), Domain: ident.Domain(hy.Domain), Inner: hy.Inner, Out: hy.Out,
		})
	}
	for _, sy := range fy.Services {
		bn.Services = append(bn.Services, sy.service())
	}
	for _, ky := range fy.TrustedKeys {
		public, err := base64.StdEncoding.DecodeString(ky.Public)
		if err != nil {
			return nil, eris.Wrapf(err, "trusted key %s", ky.Name)
		}
		bn.TrustedKeys = append(bn.TrustedKeys, TrustedKey{Name: ky.Name, Public: public})
	}
	return bn, nil
}

func (sy *serviceYAML) service() Service {
	sv := Service{
		Name:              ident.Service(sy.Name),
		Keyed:             sy.Keyed,
		Key:               KeySource(sy.Key),
		Slices:            sy.Slices,
		IdempotentMethods: sy.IdempotentMethods,
		DefaultTimeout:    sy.DefaultTimeout,
		MaxTimeout:        sy.MaxTimeout,
		MaxBodyBytes:      sy.MaxBodyBytes,
		WhenCutOff:        CutOff(sy.WhenCutOff),
		KeepFor:           sy.KeepFor,
	}
	for _, uy := range sy.Upstreams {
		sv.Upstreams = append(sv.Upstreams, Upstream{
			Name: ident.Upstream(uy.Name), Domain: ident.Domain(uy.Domain), Address: uy.Address,
			Slots: uy.Slots, Connections: uy.Connections, ColdLimit: uy.ColdLimit,
			ChecksTokens: uy.ChecksTokens, Out: uy.Out,
		})
	}
	return sv
}

// Format writes a bundle as YAML that Parse reads back.
func Format(bn *Bundle) ([]byte, error) {
	fy := fileYAML{Version: uint64(bn.Version)}
	for _, dm := range bn.Domains {
		fy.Domains = append(fy.Domains, domainYAML{Name: string(dm.Name), Region: string(dm.Region), Out: dm.Out, Dark: dm.Dark})
	}
	for _, ho := range bn.Hosts {
		fy.Hosts = append(fy.Hosts, hostYAML{Name: string(ho.Name), Domain: string(ho.Domain), Inner: ho.Inner, Out: ho.Out})
	}
	for ix := range bn.Services {
		fy.Services = append(fy.Services, formatService(&bn.Services[ix]))
	}
	for _, tk := range bn.TrustedKeys {
		fy.TrustedKeys = append(fy.TrustedKeys, keyYAML{Name: tk.Name, Public: base64.StdEncoding.EncodeToString(tk.Public)})
	}
	return yaml.Marshal(fy)
}

func formatService(sv *Service) serviceYAML {
	sy := serviceYAML{
		Name: string(sv.Name), Keyed: sv.Keyed, Key: string(sv.Key), Slices: sv.Slices,
		IdempotentMethods: sv.IdempotentMethods, DefaultTimeout: sv.DefaultTimeout, MaxTimeout: sv.MaxTimeout,
		MaxBodyBytes: sv.MaxBodyBytes, WhenCutOff: string(sv.WhenCutOff), KeepFor: sv.KeepFor,
	}
	for _, up := range sv.Upstreams {
		sy.Upstreams = append(sy.Upstreams, upstreamYAML{
			Name: string(up.Name), Domain: string(up.Domain), Address: up.Address, Slots: up.Slots,
			Connections: up.Connections, ColdLimit: up.ColdLimit, ChecksTokens: up.ChecksTokens, Out: up.Out,
		})
	}
	return sy
}
