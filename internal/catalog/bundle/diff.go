package bundle

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// Diff lists in plain lines how the second bundle differs from the first.
func Diff(from, to *Bundle) []string {
	before, after := flatten(from), flatten(to)
	var lines []string
	for _, name := range before.order {
		if _, ok := after.entries[name]; !ok {
			lines = append(lines, "- "+name)
		}
	}
	for _, name := range after.order {
		old, ok := before.entries[name]
		if !ok {
			lines = append(lines, "+ "+name)
			continue
		}
		for ix, fd := range after.entries[name] {
			if fd.value != old[ix].value {
				lines = append(lines, fmt.Sprintf("~ %s: %s %s -> %s", name, fd.name, old[ix].value, fd.value))
			}
		}
	}
	return lines
}

// flat is a bundle as named entries; all entries of a kind have the same fields.
type flat struct {
	order   []string
	entries map[string][]flatField
}

type flatField struct{ name, value string }

func (fl *flat) add(name string, pairs ...any) {
	var fields []flatField
	for ix := 0; ix+1 < len(pairs); ix += 2 {
		fields = append(fields, flatField{name: fmt.Sprint(pairs[ix]), value: fmt.Sprint(pairs[ix+1])})
	}
	fl.order = append(fl.order, name)
	fl.entries[name] = fields
}

func flatten(bn *Bundle) *flat {
	fl := &flat{entries: map[string][]flatField{}}
	fl.add("bundle", "version", bn.Version)
	for _, dm := range bn.Domains {
		fl.add("domain "+string(dm.Name), "region", dm.Region, "out", dm.Out)
	}
	for _, ho := range bn.Hosts {
		fl.add("host "+string(ho.Name), "domain", ho.Domain, "admin", ho.Admin, "out", ho.Out)
	}
	for ix := range bn.Services {
		sv := &bn.Services[ix]
		fl.add("service "+string(sv.Name), "keyed", sv.Keyed, "key", sv.Key,
			"idempotentMethods", strings.Join(sv.IdempotentMethods, ","), "defaultTimeout", sv.DefaultTimeout,
			"objective", sv.Objective, "maxTimeout", sv.MaxTimeout, "maxBodyBytes", sv.MaxBodyBytes)
		for _, up := range sv.Upstreams {
			fl.add("upstream "+string(up.Name), "service", sv.Name, "domain", up.Domain, "address", up.Address,
				"slots", up.Slots, "connections", up.Connections, "coldPerSecond", up.ColdPerSecond,
				"out", up.Out)
		}
	}
	for _, tk := range bn.TrustedKeys {
		fl.add("trusted key "+tk.Name, "public", base64.StdEncoding.EncodeToString(tk.Public))
	}
	return fl
}
