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

// address reads an IP number and port that no other entry has.
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
		rd.add(mp.at(field), "write an IP number and a port, such as 10.0.0.7:7300", "%s %q in %s is no IP:PORT", field, text, mp.what)
		return ""
	}
	rd.claim(mp.at(field), "address", ap.String())
	return text
}

var serviceFields = []string{
	"name", "keyed", "key", "idempotentMethods", "defaultTimeout", "objective", "maxTimeout",
	"maxBodyBytes", "upstreams",
}

func (rd *reader) service(nd *yaml.Node, bn *Bundle) Service {
	mp := rd.mapping(nd, "a service", serviceFields...)
	sv := Service{
		Name:              ident.Service(mp.name("name")),
		IdempotentMethods: rd.methods(mp),
		DefaultTimeout:    mp.duration("defaultTimeout"),
		Objective:         mp.optionalDuration("objective"),
		MaxTimeout:        mp.duration("maxTimeout"),
		MaxBodyBytes:      int(mp.count("maxBodyBytes", maxRequestBytes)),
	}
	rd.claim(mp.at("name"), "service name", string(sv.Name))
	sv.Keyed = mp.flag("keyed")
	if sv.MaxTimeout < sv.DefaultTimeout && sv.MaxTimeout > 0 {
		rd.add(mp.at("maxTimeout"), "raise maxTimeout or lower defaultTimeout",
			"maxTimeout %s is below defaultTimeout %s", sv.MaxTimeout, sv.DefaultTimeout)
	}
	if sv.Objective > sv.DefaultTimeout && sv.DefaultTimeout > 0 {
		rd.add(mp.at("objective"), "lower objective or raise defaultTimeout",
			"objective %s is above defaultTimeout %s", sv.Objective, sv.DefaultTimeout)
	}
	rd.keyed(mp, &sv)
	children := mp.list("upstreams")
	for _, child := range children {
		sv.Upstreams = append(sv.Upstreams, rd.upstream(child, bn))
	}
	if len(children) == 0 {
		rd.add(mp.at("upstreams"), "add at least one under upstreams", "service %q has no upstreams", sv.Name)
	}
	return sv
}

// keyed reads what only keyed services have.
func (rd *reader) keyed(mp *mapping, sv *Service) {
	if !sv.Keyed {
		mp.forbid("remove it, or add keyed: true", "key")
		return
	}
	sv.Key = desired.KeySource(mp.choice("key", string(desired.KeyInPath), string(desired.KeyInQuery), string(desired.KeyInHeader)))
}

// methods reads the idempotent methods: upper-case HTTP methods, none twice.
func (rd *reader) methods(mp *mapping) []string {
	var methods []string
	for _, child := range mp.list("idempotentMethods") {
		text := child.Value
		if child.Kind != yaml.ScalarNode || text == "" || strings.Trim(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			rd.add(child, "write HTTP methods in capitals, such as GET", "%q is no method", text)
			continue
		}
		methods = append(methods, text)
	}
	return methods
}

func (rd *reader) upstream(nd *yaml.Node, bn *Bundle) Upstream {
	mp := rd.mapping(nd, "an upstream", "name", "domain", "address", "slots", "connections", "coldPerSecond", "out")
	up := Upstream{
		Name:          ident.Upstream(mp.name("name")),
		Domain:        rd.domainOf(mp, bn),
		Address:       rd.address(mp, "address"),
		Slots:         int(mp.count("slots", maxSlots)),
		Connections:   int(mp.count("connections", maxSlots)),
		ColdPerSecond: int(mp.count("coldPerSecond", maxSlots)),
		Out:           mp.flag("out"),
	}
	rd.claim(mp.at("name"), "host or upstream name", string(up.Name))
	if up.Connections < up.Slots && up.Connections > 0 {
		rd.add(mp.at("connections"), "write at least the slots", "connections %d is below the %d slots", up.Connections, up.Slots)
	}
	return up
}

func (rd *reader) trustedKey(nd *yaml.Node) TrustedKey {
	mp := rd.mapping(nd, "a trusted key", "name", "public")
	tk := TrustedKey{Name: mp.name("name")}
	rd.claim(mp.at("name"), "key name", tk.Name)
	if !mp.require("public", "add the line that bundle keygen printed") {
		return tk
	}
	text, _ := mp.scalar("public", "the line that bundle keygen printed")
	public, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(public) != ed25519.PublicKeySize {
		rd.add(mp.at("public"), "copy the line that bundle keygen printed", "public of key %q is no Ed25519 key in base64", tk.Name)
		return tk
	}
	rd.claim(mp.at("public"), "public key", text)
	tk.Public = public
	return tk
}
