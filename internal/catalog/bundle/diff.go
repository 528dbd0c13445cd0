package bundle

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// Diff returns the differences between two bundles, one line each: "- ENTRY" for
// a removed entry, "+ ENTRY" for an added one and "~ ENTRY: FIELD OLD -> NEW" for
// a changed field.
func Diff(from, to *Bundle) []string {
	before, after := flatten(from), flatten(to)
	var lines []string
	for _, name := range before.names {
		if _, ok := after.entries[name]; !ok {
			lines = append(lines, "- "+name)
		}
	}
	for _, name := range after.names {
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

// flatBundle lists a bundle's entries by kind and name, such as "host n1". All
// entries of a kind have the same fields in the same order.
type flatBundle struct {
	// names are the keys of entries, in the order of the bundle.
	names   []string
	entries map[string][]flatField
}

// flatField is a field of an entry, as text.
type flatField struct{ name, value string }

// add appends an entry. The pairs alternate field names and values.
func (fl *flatBundle) add(name string, pairs ...any) {
	var fields []flatField
	for ix := 0; ix+1 < len(pairs); ix += 2 {
		fields = append(fields, flatField{name: fmt.Sprint(pairs[ix]), value: fmt.Sprint(pairs[ix+1])})
	}
	fl.names = append(fl.names, name)
	fl.entries[name] = fields
}

// flatten lists the entries of a bundle.
func flatten(bn *Bundle) *flatBundle {
	fl := &flatBundle{entries: map[string][]flatField{}}
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
