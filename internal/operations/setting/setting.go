// Package setting checks what a node is told by flags and environment, by
// itself and against the bundle in force.
//
//	problems := st.Check()
//	problems = st.Contradictions(bn)
package setting

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"strings"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
)

// Node are the settings of one node, as they were written.
type Node struct {
	Host   ident.Host
	Domain ident.Domain
	// Callers, Inner, Admin and Platform are IP:PORT.
	Callers  string
	Inner    string
	Admin    string
	Platform string
	// Keys are NAME=BASE64 of the keys trusted before the first bundle.
	Keys []string
	// Peers are inner IP:PORT of other nodes.
	Peers []string
}

// Check lists every fault of the settings, each with the flag and the remedy.
func (nd *Node) Check() []string {
	var problems []string
	if nd.Host == "" {
		problems = append(problems, "--host is empty: set this host's name in the bundle")
	}
	if nd.Domain == "" {
		problems = append(problems, "--domain is empty: set this host's failure domain in the bundle")
	}
	problems = append(problems, nd.checkListening()...)
	if !validAddress(nd.Platform) {
		problems = append(problems, fmt.Sprintf("--platform %q: write an IP number and a port", nd.Platform))
	}
	for _, peer := range nd.Peers {
		if !validAddress(peer) {
			problems = append(problems, fmt.Sprintf("--peer %q: write the inner IP number and port of another node", peer))
		}
	}
	if _, err := ParseKeys(nd.Keys); err != nil {
		problems = append(problems, err.Error())
	}
	if len(nd.Keys) == 0 {
		problems = append(problems, "no --trusted-key: add the line that bundle keygen printed, or no bundle can be trusted")
	}
	return problems
}

// checkListening checks the addresses that the node listens on.
func (nd *Node) checkListening() []string {
	var problems []string
	used := map[string]string{}
	for _, ad := range []struct{ flag, text string }{{"--callers", nd.Callers}, {"--inner", nd.Inner}, {"--admin", nd.Admin}} {
		if !validAddress(ad.text) {
			problems = append(problems, fmt.Sprintf("%s %q: write an IP number and a port, such as 10.0.0.7:7300", ad.flag, ad.text))
			continue
		}
		if other, taken := used[ad.text]; taken {
			problems = append(problems, fmt.Sprintf("%s %s: %s has the same address; give each its own", ad.flag, ad.text, other))
		}
		used[ad.text] = ad.flag
	}
	return problems
}

func validAddress(text string) bool {
	ap, err := netip.ParseAddrPort(text)
	return err == nil && ap.Port() != 0
}

// ParseKeys reads keys written as NAME=BASE64.
func ParseKeys(texts []string) ([]bundle.TrustedKey, error) {
	var keys []bundle.TrustedKey
	for _, text := range texts {
		name, encoded, _ := strings.Cut(text, "=")
		public, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil || name == "" || len(public) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("--trusted-key %q: write NAME=BASE64 as bundle keygen printed it", text)
		}
		keys = append(keys, bundle.TrustedKey{Name: name, Public: public})
	}
	return keys, nil
}

// Contradictions lists where a host's settings differ from a bundle, each with
// what to set. Inner is the address that the node listens on.
func Contradictions(bn *bundle.Bundle, host ident.Host, domain ident.Domain, inner string) []string {
	ho, ok := bn.Host(host)
	if !ok {
		return []string{fmt.Sprintf("host %q is not in bundle %d: set --host to this host's name there, or add the host to the bundle", host, bn.Version)}
	}
	var problems []string
	if ho.Domain != domain {
		problems = append(problems, fmt.Sprintf("bundle %d has host %q in domain %q: set --domain %s, or mend the bundle", bn.Version, host, ho.Domain, ho.Domain))
	}
	if !sameAddress(ho.Inner, inner) {
		problems = append(problems, fmt.Sprintf("bundle %d has host %q at inner address %s but it listens on %s: set --inner %s, or mend the bundle",
			bn.Version, host, ho.Inner, inner, ho.Inner))
	}
	return problems
}

// sameAddress compares addresses; one that listens on every address of its
// host matches by port.
func sameAddress(stated, listening string) bool {
	left, lerr := netip.ParseAddrPort(stated)
	right, rerr := netip.ParseAddrPort(listening)
	if lerr != nil || rerr != nil {
		return false
	}
	return left.Port() == right.Port() && (left.Addr() == right.Addr() || right.Addr().IsUnspecified())
}
