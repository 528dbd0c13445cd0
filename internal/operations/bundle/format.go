package bundle

import (
	"encoding/base64"
	"time"

	"gopkg.in/yaml.v3"
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
	Out    *bool  `yaml:"out,omitempty"`
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
	PoolUpstreams     int            `yaml:"poolUpstreams,omitempty"`
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
	Out          *bool  `yaml:"out,omitempty"`
}

type keyYAML struct {
	Name   string `yaml:"name"`
	Public string `yaml:"public"`
}

// Format writes a bundle as YAML that Parse reads back.
func Format(bn *Bundle) ([]byte, error) {
	fy := fileYAML{Version: uint64(bn.Version)}
	for _, dm := range bn.Domains {
		fy.Domains = append(fy.Domains, domainYAML{Name: string(dm.Name), Region: string(dm.Region), Out: dm.Out, Dark: dm.Dark})
	}
	for _, ho := range bn.Hosts {
		fy.Hosts = append(fy.Hosts, hostYAML{
			Name: string(ho.Name), Domain: string(ho.Domain), Inner: ho.Inner, Out: formatOut(ho.Out, ho.HeldIn),
		})
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
		PoolUpstreams: sv.PoolUpstreams,
	}
	for _, up := range sv.Upstreams {
		sy.Upstreams = append(sy.Upstreams, upstreamYAML{
			Name: string(up.Name), Domain: string(up.Domain), Address: up.Address, Slots: up.Slots,
			Connections: up.Connections, ColdLimit: up.ColdLimit, ChecksTokens: up.ChecksTokens,
			Out: formatOut(up.Out, up.HeldIn),
		})
	}
	return sy
}

// formatOut writes out only when an operator stated it.
func formatOut(out, heldIn bool) *bool {
	if !out && !heldIn {
		return nil
	}
	return &out
}
