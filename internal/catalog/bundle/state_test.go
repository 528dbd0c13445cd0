package bundle_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/catalog/desired"
)

func TestStateFromBundle(t *testing.T) {
	gm := NewWithT(t)
	bn, err := bundle.Parse("b", []byte(strings.Replace(sample, "south, region: hills", "south, region: hills, out: true", 1)))
	gm.Expect(err).NotTo(HaveOccurred())
	st, err := bundle.State(bn)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(st.Version).To(Equal(desired.Version(3)))
	gm.Expect(st.Services).To(Equal(map[ident.Service]desired.Service{
		"lookup": {Name: "lookup", Connections: 300, ColdRate: 5, Keyed: true, Key: desired.KeyInPath},
	}))
	gm.Expect(st.Upstreams).To(Equal(map[ident.Upstream]bool{"l1": true, "l2": true}))
	gm.Expect(st.InService("n1")).To(BeTrue())
	gm.Expect(st.InService("s1")).To(BeFalse())
	gm.Expect(bundle.Evacuated(bn)).To(Equal(map[ident.Domain]bool{"south": true}))

	rt, found := st.Lookup("any.example", "/lookup/4711?bytes=3")
	gm.Expect(found).To(BeTrue())
	gm.Expect(rt.Timeout).To(Equal(10 * time.Second))
	gm.Expect(rt.DefaultTimeout).To(Equal(2 * time.Second))
	gm.Expect(rt.Objective).To(Equal(2 * time.Second))
	gm.Expect(rt.BodyBytes).To(Equal(int64(65536)))
	gm.Expect(rt.Repeatable("GET")).To(BeTrue())
	gm.Expect(rt.Repeatable("POST")).To(BeFalse())
	_, found = st.Lookup("any.example", "/lookups/4711")
	gm.Expect(found).To(BeFalse())
}
