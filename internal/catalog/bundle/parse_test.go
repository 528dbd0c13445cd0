package bundle_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/examples"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/bundle"
)

// sample is a valid bundle. Tests replace parts of its text.
const sample = `version: 3
domains:
  - {name: north, region: hills}
  - {name: south, region: hills}
hosts:
  - {name: n1, domain: north, admin: 10.0.0.1:7300}
  - {name: s1, domain: south, admin: 10.0.0.2:7300}
services:
  - name: lookup
    keyed: true
    key: path
    idempotentMethods: [GET, HEAD]
    defaultTimeout: 2s
    maxTimeout: 10s
    maxBodyBytes: 65536
    upstreams:
      - {name: l1, domain: north, address: 10.0.1.1:80, slots: 2, connections: 300, coldPerSecond: 5}
      - {name: l2, domain: south, address: 10.0.1.2:80, slots: 2, connections: 300, coldPerSecond: 5}
trustedKeys:
  - {name: alice, public: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=}
`

func TestParseReportsPositionAndHint(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"unknown field":         {"key: path", "kye: path", `:11:5: unknown field "kye" in a service: remove it or use one of name, keyed, key`},
		"duplicate field":       {"key: path", "key: path\n    key: path", `:12:5: duplicate field "key" in a service`},
		"duplicate domain":      {"name: south, region", "name: north, region", `:4:12: duplicate domain name "north", first used at line 3`},
		"duplicate host":        {"{name: s1", "{name: n1", `:7:12: duplicate host or upstream name "n1", first used at line 6`},
		"host name as upstream": {"{name: l2", "{name: n1", `:18:16: duplicate host or upstream name "n1"`},
		"duplicate address":     {"10.0.1.2:80", "10.0.0.1:7300", `:18:44: duplicate address "10.0.0.1:7300", first used at line 6`},
		"domain without hosts":  {"domain: south, admin", "domain: north, admin", `:4:5: domain "south" has no hosts: add a host`},
		"unknown domain":        {"domain: south, address", "domain: west, address", `:18:28: an upstream is in the unknown domain "west"`},
		"zero slots":            {"10.0.1.2:80, slots: 2", "10.0.1.2:80, slots: 0", `:18:64: slots in an upstream has the invalid value "0": write an integer from 1`},
		"zero cold rate":        {"coldPerSecond: 5}\ntrusted", "coldPerSecond: 0}\ntrusted", `:18:100: coldPerSecond in an upstream has the invalid value "0": write an integer from 1`},
		"objective too long":    {"defaultTimeout: 2s", "defaultTimeout: 2s\n    objective: 3s", `:14:16: objective 3s is above defaultTimeout 2s`},
		"flag is yes":           {"coldPerSecond: 5}\ntrusted", "coldPerSecond: 5, out: yes}\ntrusted", `:18:108: out in an upstream has the invalid value "yes"`},
		"removed field":         {"    key: path", "    slices: 64\n    key: path", `:11:5: unknown field "slices" in a service`},
		"max below default":     {"maxTimeout: 10s", "maxTimeout: 1s", `:14:17: maxTimeout 1s is below defaultTimeout 2s`},
		"keyed without key":     {"    key: path\n", "", `:9:5: a service has no key: add key: one of path, query, header`},
		"bad key source":        {"key: path", "key: body", `:11:10: key in a service has the invalid value "body"`},
		"key but not keyed":     {"    keyed: true\n", "", `:10:10: key is not allowed in a service: remove it, or add keyed: true`},
		"host name for IP":      {"10.0.1.2:80", "backend:80", `:18:44: address "backend:80" in an upstream is not an IP:PORT`},
		"port zero":             {"10.0.1.2:80", "10.0.1.2:0", `is not an IP:PORT: write an IP address and a port`},
		"unspecified address":   {"10.0.0.2:7300", "0.0.0.0:7300", `:7:38: admin "0.0.0.0:7300" in a host is not an IP:PORT`},
		"short key":             {"AAAAAAAA", "AAAA", `:20:27: public of key "alice" is not an Ed25519 public key in base64`},
		"bad name":              {"{name: s1", "{name: s@1", `:7:12: name "s@1" in a host is not a valid name`},
		"version zero":          {"version: 3", "version: 0", `:1:10: version in the bundle has the invalid value "0"`},
		"no time unit":          {"defaultTimeout: 2s", "defaultTimeout: 2", `:13:21: defaultTimeout in a service has the invalid value "2"`},
		"method in lower case":  {"[GET, HEAD]", "[GET, head]", `:12:30: "head" is not an HTTP method`},
		"anchor":                {"{name: south, region: hills}", "&x {name: south, region: hills}", `:4:5: anchors and aliases are not allowed`},
		"second document":       {"trustedKeys:", "---\ntrustedKeys:", `more than one YAML document`},
		"invalid YAML":          {"    key: path", "  key: path", `:8:1: did not find expected '-' indicator`},
		"scalar for a list":     {"[GET, HEAD]", "GET", `:12:24: idempotentMethods in a service is not a list`},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			gm.Expect(strings.Count(sample, tc.old)).To(BeNumerically(">=", 1))
			_, err := bundle.Parse("b.yaml", []byte(strings.Replace(sample, tc.old, tc.new, 1)))
			gm.Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}
}

func TestParseReportsAllProblemsInOrder(t *testing.T) {
	gm := NewWithT(t)
	text := strings.NewReplacer("slots: 2", "slots: 0", "maxTimeout: 10s", "maxTimeout: 1s", "{name: s1", "{name: n1").Replace(sample)
	_, err := bundle.Parse("b.yaml", []byte(text))
	var ps *bundle.Problems
	gm.Expect(errors.As(err, &ps)).To(BeTrue())
	var lines []int
	for _, pr := range ps.List {
		lines = append(lines, pr.Line)
		gm.Expect(pr.Hint).NotTo(BeEmpty())
	}
	gm.Expect(lines).To(Equal([]int{7, 14, 17, 18}))
}

func TestExamplesAreValid(t *testing.T) {
	for name, body := range map[string][]byte{"mushi": examples.Mushi, "abrigo": examples.Abrigo, "by hand": examples.ByHand, "sample": []byte(sample)} {
		t.Run(name, func(t *testing.T) {
			_, err := bundle.Parse(name, body)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
		})
	}
}

func TestFormatParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gm := NewWithT(rt)
		bn := drawBundle(rt)
		body, err := bundle.Format(bn)
		gm.Expect(err).NotTo(HaveOccurred())
		back, err := bundle.Parse("drawn", body)
		gm.Expect(err).NotTo(HaveOccurred())
		gm.Expect(back).To(Equal(bn))
		gm.Expect(bundle.Diff(bn, back)).To(BeEmpty())
	})
}

// drawBundle returns the sample with random values in some fields.
func drawBundle(rt *rapid.T) *bundle.Bundle {
	bn, err := bundle.Parse("sample", []byte(sample))
	if err != nil {
		rt.Fatal(err)
	}
	bn.Version = bundle.Version(rapid.Uint64Range(1, 1<<62).Draw(rt, "version"))
	bn.Domains[1].Out = rapid.Bool().Draw(rt, "out")
	bn.Hosts[0].Out = rapid.Bool().Draw(rt, "host out")
	sv := &bn.Services[0]
	sv.DefaultTimeout = time.Duration(rapid.Int64Range(1, int64(10*time.Second)).Draw(rt, "timeout"))
	sv.IdempotentMethods = rapid.SliceOfN(rapid.SampledFrom([]string{"GET", "PUT", "DELETE"}), 1, 3).Draw(rt, "methods")
	sv.Upstreams[1].Name = ident.Upstream(rapid.StringMatching(`l2[a-zA-Z0-9._-]{0,60}`).Draw(rt, "name"))
	sv.Upstreams[1].Slots = rapid.IntRange(1, 300).Draw(rt, "slots")
	sv.Upstreams[1].Out = rapid.Bool().Draw(rt, "upstream out")
	sv.Objective = time.Duration(rapid.Int64Range(0, int64(sv.DefaultTimeout)).Draw(rt, "objective"))
	return bn
}

// FuzzParse checks that for any text Parse returns either a bundle that survives
// Format and Parse unchanged, or problems with positions.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add(examples.Mushi)
	f.Add([]byte("version: 1\nhosts: {a: b}\n"))
	f.Add([]byte("a: &a [*a, *a]"))
	f.Add([]byte("\xff\xfe: ["))
	f.Fuzz(func(t *testing.T, body []byte) {
		bn, err := bundle.Parse("fuzz", body)
		if err != nil {
			var ps *bundle.Problems
			if !errors.As(err, &ps) || len(ps.List) == 0 || ps.List[0].Line < 1 {
				t.Fatalf("error without a position: %v", err)
			}
			return
		}
		text, err := bundle.Format(bn)
		if err != nil {
			t.Fatal(err)
		}
		back, err := bundle.Parse("again", text)
		if err != nil {
			t.Fatalf("Parse rejects the formatted bundle: %v\n%s", err, text)
		}
		if lines := bundle.Diff(bn, back); len(lines) > 0 {
			t.Fatalf("the formatted bundle differs: %v", lines)
		}
	})
}
