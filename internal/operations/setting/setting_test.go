package setting_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/setting"
)

func valid() setting.Node {
	return setting.Node{
		Host: "n1", Domain: "north", Callers: "0.0.0.0:80", Inner: "10.0.0.1:7300", Admin: "127.0.0.1:7301",
		Platform: "10.0.0.9:7000", Keys: []string{"alice=AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}, Peers: []string{"10.0.0.2:7300"},
	}
}

func TestCheckNamesEveryFault(t *testing.T) {
	for name, tc := range map[string]struct {
		alter func(*setting.Node)
		want  []string
	}{
		"valid":         {func(*setting.Node) {}, nil},
		"no host":       {func(nd *setting.Node) { nd.Host = "" }, []string{"--host is empty"}},
		"host name":     {func(nd *setting.Node) { nd.Platform = "platform:7000" }, []string{`--platform "platform:7000"`}},
		"same address":  {func(nd *setting.Node) { nd.Admin = nd.Inner }, []string{"--admin 10.0.0.1:7300: --inner has the same address"}},
		"bad peer":      {func(nd *setting.Node) { nd.Peers = []string{"10.0.0.2"} }, []string{`--peer "10.0.0.2"`}},
		"short key":     {func(nd *setting.Node) { nd.Keys = []string{"alice=AAAA"} }, []string{`--trusted-key "alice=AAAA"`}},
		"no key":        {func(nd *setting.Node) { nd.Keys = nil }, []string{"no --trusted-key"}},
		"two at a time": {func(nd *setting.Node) { nd.Domain, nd.Callers = "", "80" }, []string{"--domain is empty", `--callers "80"`}},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			nd := valid()
			tc.alter(&nd)
			problems := nd.Check()
			gm.Expect(problems).To(HaveLen(len(tc.want)))
			for ix, want := range tc.want {
				gm.Expect(problems[ix]).To(HavePrefix(want))
			}
		})
	}
}

func TestContradictionsSayWhatToSet(t *testing.T) {
	bn := &bundle.Bundle{Version: 7, Hosts: []bundle.Host{{Name: "n1", Domain: "north", Inner: "10.0.0.1:7300"}}}
	for name, tc := range map[string]struct {
		host   ident.Host
		domain ident.Domain
		inner  string
		want   []string
	}{
		"agrees":          {"n1", "north", "10.0.0.1:7300", nil},
		"every address":   {"n1", "north", "0.0.0.0:7300", nil},
		"unknown host":    {"n2", "north", "10.0.0.1:7300", []string{`host "n2" is not in bundle 7: set --host`}},
		"other domain":    {"n1", "south", "10.0.0.1:7300", []string{`bundle 7 has host "n1" in domain "north": set --domain north`}},
		"other address":   {"n1", "north", "10.0.0.1:7399", []string{`bundle 7 has host "n1" at inner address 10.0.0.1:7300 but it listens on 10.0.0.1:7399: set --inner 10.0.0.1:7300`}},
		"both of the two": {"n1", "south", "10.0.0.2:7300", []string{"bundle 7 has host \"n1\" in domain", "bundle 7 has host \"n1\" at inner"}},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			problems := setting.Contradictions(bn, tc.host, tc.domain, tc.inner)
			gm.Expect(problems).To(HaveLen(len(tc.want)))
			for ix, want := range tc.want {
				gm.Expect(problems[ix]).To(HavePrefix(want))
			}
		})
	}
}
