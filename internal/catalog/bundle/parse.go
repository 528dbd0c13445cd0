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
	// MaxBytes is the largest size of a bundle's YAML.
	MaxBytes = 8 << 20
	// maxNameBytes is the largest length of a name.
	maxNameBytes = 63
	// maxUpstreamLimit is the largest value of slots, connections and
	// coldPerSecond of an upstream.
	maxUpstreamLimit = 1 << 16
	// maxRequestBodyBytes is the largest value of maxBodyBytes of a service.
	maxRequestBodyBytes = 8 << 20
)

// Parse reads and validates a bundle's YAML. Unknown and duplicate fields,
// aliases and further documents are errors. The error is a *Problems with every
// problem found; name is the file name in it.
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

// document returns the root node of a text with exactly one YAML document. It
// reports a problem and returns nil for any other text.
func (rd *reader) document(body []byte) *yaml.Node {
	start := &yaml.Node{Line: 1, Column: 1}
	if len(body) > MaxBytes {
		rd.add(start, "split the deployment into several bundles", "the bundle is larger than %d bytes", MaxBytes)
		return nil
	}
	dc := yaml.NewDecoder(bytes.NewReader(body))
	var dt yaml.Node
	if err := dc.Decode(&dt); err != nil {
		rd.addSyntaxError(err)
		return nil
	}
	var second yaml.Node
	switch err := dc.Decode(&second); {
	case errors.Is(err, io.EOF):
	case err != nil:
		rd.addSyntaxError(err)
		return nil
	default:
		rd.add(&second, "keep one document in the file", "more than one YAML document")
		return nil
	}
	if al := findAlias(&dt); al != nil {
		rd.add(al, "repeat the value instead", "anchors and aliases are not allowed")
		return nil
	}
	return dt.Content[0]
}

// addSyntaxError reports an error of the YAML library, at the line that its text
// names, else at line 1.
func (rd *reader) addSyntaxError(err error) {
	start := &yaml.Node{Line: 1, Column: 1}
	if errors.Is(err, io.EOF) {
		rd.add(start, "write version, domains, hosts and services", "the bundle is empty")
		return
	}
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if _, serr := fmt.Sscanf(text, "line %d:", &start.Line); serr == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	rd.add(start, "fix the YAML at this line or just above it", "%s", text)
}

// findAlias returns the first node with an alias or an anchor, or nil.
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

// bundle reads the root mapping. Domains come before hosts and services, which
// refer to them.
func (rd *reader) bundle(nd *yaml.Node) *Bundle {
	mp := rd.newMapping(nd, "the bundle", "version", "domains", "hosts", "services", "trustedKeys")
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
			rd.add(mp.position(field), "add at least one", "the bundle has no %s", field)
		}
	}
	for ix, child := range mp.list("domains") {
		if dm := bn.Domains[ix]; dm.Name != "" && len(bn.HostsOf(dm.Name)) == 0 {
			rd.add(child, "add a host with domain: "+string(dm.Name)+", or remove the domain", "domain %q has no hosts", dm.Name)
		}
	}
	return bn
}

// domain reads an entry of the list domains.
func (rd *reader) domain(nd *yaml.Node) Domain {
	mp := rd.newMapping(nd, "a domain", "name", "region", "out")
	dm := Domain{Name: ident.Domain(mp.name("name")), Region: ident.Region(mp.name("region"))}
	dm.Out = mp.flag("out")
	rd.requireUnique(mp.position("name"), "domain name", string(dm.Name))
	return dm
}

// host reads an entry of the list hosts.
func (rd *reader) host(nd *yaml.Node, bn *Bundle) Host {
	mp := rd.newMapping(nd, "a host", "name", "domain", "admin", "out")
	ho := Host{
		Name:   ident.Host(mp.name("name")),
		Domain: rd.domainName(mp, bn),
		Admin:  rd.address(mp, "admin"),
	}
	ho.Out = mp.flag("out")
	rd.requireUnique(mp.position("name"), "host or upstream name", string(ho.Name))
	return ho
}

// domainName reads a required field domain, which must name a domain of the bundle.
func (rd *reader) domainName(mp *mapping, bn *Bundle) ident.Domain {
	name := ident.Domain(mp.name("domain"))
	if _, ok := bn.Domain(name); name != "" && !ok {
		rd.add(mp.position("domain"), "use a name from the list domains, or add it there", "%s is in the unknown domain %q", mp.label, name)
	}
	return name
}
