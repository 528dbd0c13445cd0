package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"
	"strings"

	"gopkg.in/yaml.v3"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/desired"
)

// address reads a required IP:PORT that no other entry has.
func (rd *reader) address(mp *mapping, field string) string {
	if !mp.require(field, "add "+field+": IP:PORT") {
		return ""
	}
	text, ok := mp.scalar(field, "IP:PORT")
	if !ok {
		return ""
	}
	ap, err := netip.ParseAddrPort(text)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		rd.add(mp.position(field), "write an IP address and a port, such as 10.0.0.7:7300", "%s %q in %s is not an IP:PORT", field, text, mp.label)
		return ""
	}
	rd.requireUnique(mp.position(field), "address", ap.String())
	return text
}

// serviceFields are the fields that a service may have.
var serviceFields = []string{
	"name", "keyed", "key", "idempotentMethods", "defaultTimeout", "objective", "maxTimeout",
	"maxBodyBytes", "upstreams",
}

// service reads an entry of the list services.
func (rd *reader) service(nd *yaml.Node, bn *Bundle) Service {
	mp := rd.newMapping(nd, "a service", serviceFields...)
	sv := Service{
		Name:              ident.Service(mp.name("name")),
		IdempotentMethods: rd.methods(mp),
		DefaultTimeout:    mp.duration("defaultTimeout"),
		Objective:         mp.optionalDuration("objective"),
		MaxTimeout:        mp.duration("maxTimeout"),
		MaxBodyBytes:      int(mp.count("maxBodyBytes", maxRequestBodyBytes)),
	}
	rd.requireUnique(mp.position("name"), "service name", string(sv.Name))
	sv.Keyed = mp.flag("keyed")
	if sv.MaxTimeout < sv.DefaultTimeout && sv.MaxTimeout > 0 {
		rd.add(mp.position("maxTimeout"), "raise maxTimeout or lower defaultTimeout",
			"maxTimeout %s is below defaultTimeout %s", sv.MaxTimeout, sv.DefaultTimeout)
	}
	if sv.Objective > sv.DefaultTimeout && sv.DefaultTimeout > 0 {
		rd.add(mp.position("objective"), "lower objective or raise defaultTimeout",
			"objective %s is above defaultTimeout %s", sv.Objective, sv.DefaultTimeout)
	}
	rd.keySource(mp, &sv)
	children := mp.list("upstreams")
	for _, child := range children {
		sv.Upstreams = append(sv.Upstreams, rd.upstream(child, bn))
	}
	if len(children) == 0 {
		rd.add(mp.position("upstreams"), "add at least one upstream", "service %q has no upstreams", sv.Name)
	}
	return sv
}

// keySource reads the field key, which keyed services require and others forbid.
func (rd *reader) keySource(mp *mapping, sv *Service) {
	if !sv.Keyed {
		mp.forbid("remove it, or add keyed: true", "key")
		return
	}
	sv.Key = desired.KeySource(mp.choice("key", string(desired.KeyInPath), string(desired.KeyInQuery), string(desired.KeyInHeader)))
}

// methods reads idempotentMethods: HTTP methods in capital letters.
func (rd *reader) methods(mp *mapping) []string {
	var methods []string
	for _, child := range mp.list("idempotentMethods") {
		text := child.Value
		if child.Kind != yaml.ScalarNode || text == "" || strings.Trim(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			rd.add(child, "write HTTP methods in capital letters, such as GET", "%q is not an HTTP method", text)
			continue
		}
		methods = append(methods, text)
	}
	return methods
}

// upstream reads an entry of a service's list upstreams.
func (rd *reader) upstream(nd *yaml.Node, bn *Bundle) Upstream {
	mp := rd.newMapping(nd, "an upstream", "name", "domain", "address", "slots", "connections", "coldPerSecond", "out")
	up := Upstream{
		Name:          ident.Upstream(mp.name("name")),
		Domain:        rd.domainName(mp, bn),
		Address:       rd.address(mp, "address"),
		Slots:         int(mp.count("slots", maxUpstreamLimit)),
		Connections:   int(mp.count("connections", maxUpstreamLimit)),
		ColdPerSecond: int(mp.count("coldPerSecond", maxUpstreamLimit)),
		Out:           mp.flag("out"),
	}
	rd.requireUnique(mp.position("name"), "host or upstream name", string(up.Name))
	if up.Connections < up.Slots && up.Connections > 0 {
		rd.add(mp.position("connections"), "raise connections or lower slots", "connections %d is below slots %d", up.Connections, up.Slots)
	}
	return up
}

// trustedKey reads an entry of the list trustedKeys.
func (rd *reader) trustedKey(nd *yaml.Node) TrustedKey {
	mp := rd.newMapping(nd, "a trusted key", "name", "public")
	tk := TrustedKey{Name: mp.name("name")}
	rd.requireUnique(mp.position("name"), "key name", tk.Name)
	if !mp.require("public", "add the line that bundle keygen printed") {
		return tk
	}
	text, _ := mp.scalar("public", "the line that bundle keygen printed")
	public, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(public) != ed25519.PublicKeySize {
		rd.add(mp.position("public"), "copy the line that bundle keygen printed", "public of key %q is not an Ed25519 public key in base64", tk.Name)
		return tk
	}
	rd.requireUnique(mp.position("public"), "public key", text)
	tk.Public = public
	return tk
}
