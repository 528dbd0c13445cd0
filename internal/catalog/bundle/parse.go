package bundle

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"gopkg.in/yaml.v3"

	"chervilwalk/internal/base/ident"
)

const (
	// MaxBodyBytes bounds a bundle's text.
	MaxBodyBytes = 8 << 20
	// maxNameBytes bounds every name.
	maxNameBytes = 63
	// maxSlots bounds the slots and connections of one upstream.
	maxSlots = 1 << 16
	// maxRequestBytes is the largest body that an entry takes from a caller.
	maxRequestBytes = 8 << 20
)

// Parse reads a bundle's YAML strictly. Its error is a *Problems that lists
// every fault; the name stands in it for the file.
func Parse(name string, body []byte) (*Bundle, error) {
	rd := newReader()
	root := rd.document(body)
	if root == nil {
		return nil, rd.err(name)
	}
	bn := rd.bundle(root)
	if err := rd.err(name); err != nil {
		return nil, err
	}
	return bn, nil
}

// document returns the single YAML document of a text; nil when there is none.
func (rd *reader) document(body []byte) *yaml.Node {
	place := &yaml.Node{Line: 1, Column: 1}
	if len(body) > MaxBodyBytes {
		rd.add(place, "split the fleet", "the bundle is larger than %d bytes", MaxBodyBytes)
		return nil
	}
	dc := yaml.NewDecoder(bytes.NewReader(body))
	var dt yaml.Node
	if err := dc.Decode(&dt); err != nil {
		rd.syntax(err)
		return nil
	}
	var rest yaml.Node
	switch err := dc.Decode(&rest); {
	case errors.Is(err, io.EOF):
	case err != nil:
		rd.syntax(err)
		return nil
	default:
		rd.add(&rest, "keep one document in a file", "more than one YAML document")
		return nil
	}
	if al := findAlias(&dt); al != nil {
		rd.add(al, "write the value out", "aliases are not allowed")
		return nil
	}
	return dt.Content[0]
}

// syntax turns an error of the YAML library into a problem with its line.
func (rd *reader) syntax(err error) {
	place := &yaml.Node{Line: 1, Column: 1}
	if errors.Is(err, io.EOF) {
		rd.add(place, "write version, domains, hosts and services", "the bundle is empty")
		return
	}
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if _, serr := fmt.Sscanf(text, "line %d:", &place.Line); serr == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	rd.add(place, "mend the YAML at or just above this line", "%s", text)
}

func findAlias(nd *yaml.Node) *yaml.Node {
	if nd.Kind == yaml.AliasNode || nd.Anchor != "" {
		return nd
	}
	for _, child := range nd.Content {
		if al := findAlias(child); al != nil {
			return al
		}
	}
	return nil
}

func (rd *reader) bundle(nd *yaml.Node) *Bundle {
	mp := rd.mapping(nd, "the bundle", "version", "domains", "hosts", "services", "trustedKeys")
	bn := &Bundle{Version: Version(mp.count("version", 1<<62))}
	for _, child := range mp.list("domains") {
		bn.Domains = append(bn.Domains, rd.domain(child))
	}
	for _, child := range mp.list("hosts") {
		bn.Hosts = append(bn.Hosts, rd.host(child, bn))
	}
	for _, child := range mp.list("services") {
		bn.Services = append(bn.Services, rd.service(child, bn))
	}
	for _, child := range mp.list("trustedKeys") {
		bn.TrustedKeys = append(bn.TrustedKeys, rd.trustedKey(child))
	}
	for field, size := range map[string]int{"domains": len(bn.Domains), "hosts": len(bn.Hosts), "services": len(bn.Services)} {
		if size == 0 {
			rd.add(mp.at(field), "add at least one", "the bundle has no %s", field)
		}
	}
	for ix, child := range mp.list("domains") {
		if dm := bn.Domains[ix]; dm.Name != "" && len(bn.HostsOf(dm.Name)) == 0 {
			rd.add(child, "add a host with domain: "+string(dm.Name)+", or remove the domain", "domain %q has no hosts", dm.Name)
		}
	}
	return bn
}

func (rd *reader) domain(nd *yaml.Node) Domain {
	mp := rd.mapping(nd, "a domain", "name", "region", "out")
	dm := Domain{Name: ident.Domain(mp.name("name")), Region: ident.Region(mp.name("region"))}
	dm.Out = mp.flag("out")
	rd.claim(mp.at("name"), "domain name", string(dm.Name))
	return dm
}

func (rd *reader) host(nd *yaml.Node, bn *Bundle) Host {
	mp := rd.mapping(nd, "a host", "name", "domain", "admin", "out")
	ho := Host{
		Name:   ident.Host(mp.name("name")),
		Domain: rd.domainOf(mp, bn),
		Admin:  rd.address(mp, "admin"),
	}
	ho.Out = mp.flag("out")
	rd.claim(mp.at("name"), "host or upstream name", string(ho.Name))
	return ho
}

// domainOf reads the name of a domain that the bundle must have.
func (rd *reader) domainOf(mp *mapping, bn *Bundle) ident.Domain {
	name := ident.Domain(mp.name("domain"))
	if _, ok := bn.Domain(name); name != "" && !ok {
		rd.add(mp.at("domain"), "use a name of the list domains, or add it there", "%s is in the unknown domain %q", mp.what, name)
	}
	return name
}
