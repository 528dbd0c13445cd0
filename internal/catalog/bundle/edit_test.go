package bundle_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/catalog/bundle"
)

func TestApplyAllChangesEntryAndVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		edits []bundle.Edit
		want  []string
	}{
		"host out":          {[]bundle.Edit{{Name: "n1", Out: true}}, []string{"~ host n1: out false -> true"}},
		"upstream out":      {[]bundle.Edit{{Name: "l2", Out: true}}, []string{"~ upstream l2: out false -> true"}},
		"host out and in":   {[]bundle.Edit{{Name: "n1", Out: true}, {Name: "n1"}}, nil},
		"domain out":        {[]bundle.Edit{{Kind: bundle.DomainEntry, Name: "south", Out: true}}, []string{"~ domain south: out false -> true"}},
		"domain out and in": {[]bundle.Edit{{Kind: bundle.DomainEntry, Name: "south", Out: true}, {Kind: bundle.DomainEntry, Name: "south"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			body := []byte("# kept\n" + sample)
			var err error
			for _, ed := range tc.edits {
				body, err = bundle.ApplyAll(body, []bundle.Edit{ed})
				gm.Expect(err).NotTo(HaveOccurred())
			}
			gm.Expect(string(body)).To(HavePrefix("# kept\n"))
			before, err := bundle.Parse("before", []byte(sample))
			gm.Expect(err).NotTo(HaveOccurred())
			after, err := bundle.Parse("after", body)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(after.Version).To(Equal(before.Version + bundle.Version(len(tc.edits))))
			gm.Expect(bundle.Diff(before, after)[1:]).To(ConsistOf(tc.want))
		})
	}
}

func TestApplyAllRejectsUnknownNamesAndNoChange(t *testing.T) {
	for name, tc := range map[string]struct {
		edit bundle.Edit
		want error
	}{
		"unknown host":        {bundle.Edit{Name: "x1", Out: true}, bundle.ErrUnknownName},
		"domain name as host": {bundle.Edit{Name: "north", Out: true}, bundle.ErrUnknownName},
		"domain already in":   {bundle.Edit{Kind: bundle.DomainEntry, Name: "north"}, bundle.ErrUnchanged},
		"host already in":     {bundle.Edit{Name: "n1"}, bundle.ErrUnchanged},
		"unknown upstream":    {bundle.Edit{Name: "l9", Out: true}, bundle.ErrUnknownName},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := bundle.ApplyAll([]byte(sample), []bundle.Edit{tc.edit})
			NewWithT(t).Expect(err).To(MatchError(tc.want))
		})
	}
}

func TestEffectiveMarksHostsAndUpstreamsOfOutDomains(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		out      []string
	}{
		"nothing out": {"", "", nil},
		"host out":    {"10.0.0.1:7300}", "10.0.0.1:7300, out: true}", []string{"n1"}},
		"domain out":  {"south, region: hills", "south, region: hills, out: true", []string{"s1", "l2"}},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			bn, err := bundle.Parse("b", []byte(strings.Replace(sample, tc.old, tc.new, 1)))
			gm.Expect(err).NotTo(HaveOccurred())
			before, err := bundle.Format(bn)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(outNames(bundle.Effective(bn))).To(ConsistOf(tc.out))
			after, err := bundle.Format(bn)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(after).To(Equal(before))
		})
	}
}

// outNames returns the names of the hosts and upstreams marked as out.
func outNames(bn *bundle.Bundle) []string {
	var names []string
	for _, ho := range bn.Hosts {
		if ho.Out {
			names = append(names, string(ho.Name))
		}
	}
	for _, sv := range bn.Services {
		for _, up := range sv.Upstreams {
			if up.Out {
				names = append(names, string(up.Name))
			}
		}
	}
	return names
}

func TestLossesBelowHalf(t *testing.T) {
	for name, tc := range map[string]struct {
		edits []bundle.Edit
		want  []string
	}{
		"half of the upstreams":                            {[]bundle.Edit{{Name: "l1", Out: true}}, nil},
		"half in one domain":                               {[]bundle.Edit{{Kind: bundle.DomainEntry, Name: "south", Out: true}}, nil},
		"all hosts":                                        {[]bundle.Edit{{Name: "s1", Out: true}, {Name: "n1", Out: true}}, []string{"entry hosts would keep 0 of 2 hosts (now 1, needed 1)", "service lookup would keep 0 of 4 slots (now 2, needed 2)"}},
		"domain, then the other upstream":                  {[]bundle.Edit{{Kind: bundle.DomainEntry, Name: "south", Out: true}, {Name: "l1", Out: true}}, []string{"service lookup would keep 0 of 4 slots (now 2, needed 2)"}},
		"upstream, then the only host of the other domain": {[]bundle.Edit{{Name: "l1", Out: true}, {Name: "s1", Out: true}}, []string{"service lookup would keep 0 of 4 slots (now 2, needed 2)"}},
		"upstream back in":                                 {[]bundle.Edit{{Name: "l1", Out: true}, {Name: "l1"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			body, previous := []byte(sample), []byte(nil)
			for _, ed := range tc.edits {
				next, err := bundle.ApplyAll(body, []bundle.Edit{ed})
				gm.Expect(err).NotTo(HaveOccurred())
				previous, body = body, next
			}
			before, err := bundle.Parse("before", previous)
			gm.Expect(err).NotTo(HaveOccurred())
			after, err := bundle.Parse("after", body)
			gm.Expect(err).NotTo(HaveOccurred())
			var lines []string
			for _, ls := range bundle.Losses(before, after) {
				lines = append(lines, ls.String())
			}
			gm.Expect(lines).To(Equal(tc.want))
		})
	}
}
