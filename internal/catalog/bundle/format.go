package bundle

import (
	"encoding/base64"
	"time"

	"gopkg.in/yaml.v3"
)

// bundleYAML is the YAML form of a bundle.
type bundleYAML struct {
	Version     uint64           `yaml:"version"`
	Domains     []domainYAML     `yaml:"domains"`
	Hosts       []hostYAML       `yaml:"hosts"`
	Services    []serviceYAML    `yaml:"services"`
	TrustedKeys []trustedKeyYAML `yaml:"trustedKeys"`
}

type domainYAML struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	Out    bool   `yaml:"out,omitempty"`
}

type hostYAML struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	Admin  string `yaml:"admin"`
	Out    bool   `yaml:"out,omitempty"`
}

type serviceYAML struct {
	Name              string         `yaml:"name"`
	Keyed             bool           `yaml:"keyed,omitempty"`
	Key               string         `yaml:"key,omitempty"`
	IdempotentMethods []string       `yaml:"idempotentMethods,flow"`
	DefaultTimeout    time.Duration  `yaml:"defaultTimeout"`
	Objective         time.Duration  `yaml:"objective,omitempty"`
	MaxTimeout        time.Duration  `yaml:"maxTimeout"`
	MaxBodyBytes      int            `yaml:"maxBodyBytes"`
	Upstreams         []upstreamYAML `yaml:"upstreams"`
}

type upstreamYAML struct {
	Name          string `yaml:"name"`
	Domain        string `yaml:"domain"`
	Address       string `yaml:"address"`
	Slots         int    `yaml:"slots"`
	Connections   int    `yaml:"connections"`
	ColdPerSecond int    `yaml:"coldPerSecond"`
	Out           bool   `yaml:"out,omitempty"`
}

type trustedKeyYAML struct {
	Name   string `yaml:"name"`
	Public string `yaml:"public"`
}

// Format encodes a bundle as YAML; Parse returns an equal bundle from it.
func Format(bn *Bundle) ([]byte, error) {
	by := bundleYAML{Version: uint64(bn.Version)}
	for _, dm := range bn.Domains {
		by.Domains = append(by.Domains, domainYAML{Name: string(dm.Name), Region: string(dm.Region), Out: dm.Out})
	}
	for _, ho := range bn.Hosts {
		by.Hosts = append(by.Hosts, hostYAML{
			Name: string(ho.Name), Domain: string(ho.Domain), Admin: ho.Admin, Out: ho.Out,
		})
	}
	for ix := range bn.Services {
		by.Services = append(by.Services, formatService(&bn.Services[ix]))
	}
	for _, tk := range bn.TrustedKeys {
		by.TrustedKeys = append(by.TrustedKeys, trustedKeyYAML{Name: tk.Name, Public: base64.StdEncoding.EncodeToString(tk.Public)})
	}
	return yaml.Marshal(by)
}

// formatService converts a service and its upstreams to their YAML form.
func formatService(sv *Service) serviceYAML {
	sy := serviceYAML{
		Name: string(sv.Name), Keyed: sv.Keyed, Key: string(sv.Key),
		IdempotentMethods: sv.IdempotentMethods, DefaultTimeout: sv.DefaultTimeout, Objective: sv.Objective, MaxTimeout: sv.MaxTimeout,
		MaxBodyBytes: sv.MaxBodyBytes,
	}
	for _, up := range sv.Upstreams {
		sy.Upstreams = append(sy.Upstreams, upstreamYAML{
			Name: string(up.Name), Domain: string(up.Domain), Address: up.Address, Slots: up.Slots,
			Connections: up.Connections, ColdPerSecond: up.ColdPerSecond,
			Out: up.Out,
		})
	}
	return sy
}
