package deployment_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/stand/deployment"
)

// TestBundles serves by signed bundles while the operators take things out of
// service, and judges by what upstreams and callers saw.
func TestBundles(t *testing.T) {
	const after = 1500 * time.Millisecond
	cases := map[string]struct {
		edit bundle.Edit
		// left get nothing within the time that the platform allows.
		left  []string
		allow time.Duration
	}{
		"nothing changes": {},
		"an upstream goes out": {
			bundle.Edit{Name: "i-orders-0", Out: true}, []string{"i-orders-0"}, 2 * time.Second,
		},
		"a domain goes out": {
			bundle.Edit{Target: bundle.DomainTarget, Name: "zone-b", Out: true},
			[]string{"i-lookup-1", "i-orders-1", "i-files-1"},
			5 * time.Second,
		},
	}
	net := 60
	for name, tc := range cases {
		net++
		subnet := net
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := start(t, subnet, 7, func(cf *deployment.Config) { cf.Bundles = true })
			accepted := make(chan time.Time, 1)
			time.AfterFunc(after, func() {
				if tc.edit.Name != "" && dp.Edit(tc.edit) != nil {
					return
				}
				accepted <- time.Now()
			})
			counts := dp.Load(t.Context(), 60, after+tc.allow+2*time.Second)
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
			gm.Expect(float64(counts.Answered)).To(BeNumerically(">=", 0.97*float64(counts.Requests)), "%+v\n%s", counts, lg.String())
			var at time.Time
			gm.Expect(accepted).To(Receive(&at))
			for _, id := range tc.left {
				for _, run := range dp.Upstream(id).Runs() {
					gm.Expect(run.At).To(BeTemporally("<", at.Add(tc.allow)), "%s\n%s", id, lg.String())
				}
			}
		})
	}
}

// TestHostGoesOut asks that a host which a bundle takes out is not ready any
// more, and is again once it is taken back in.
func TestHostGoesOut(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, _ := start(t, 70, 8, func(cf *deployment.Config) { cf.Bundles = true })
	gm.Eventually(dp.Hosts[1].Ready, 2*time.Second).Should(BeTrue())
	gm.Expect(dp.Edit(bundle.Edit{Name: "front-1", Out: true})).To(Succeed())
	gm.Eventually(dp.Hosts[1].Ready, 2*time.Second).Should(BeFalse())
	gm.Expect(dp.Hosts[0].Ready()).To(BeTrue())
	gm.Expect(dp.Edit(bundle.Edit{Name: "front-1"})).To(Succeed())
	gm.Eventually(dp.Hosts[1].Ready, 2*time.Second).Should(BeTrue())
}

// TestStrangersBundle asks that a bundle which no trusted key signed changes
// nothing, also when its row is in the store.
func TestStrangersBundle(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := start(t, 71, 9, func(cf *deployment.Config) { cf.Bundles = true })
	gm.Expect(dp.Forge()).To(Succeed())
	gm.Eventually(lg.String, 2*time.Second).Should(ContainSubstring("not from a trusted key"))
	gm.Expect(strings.Count(lg.String(), "event=bundleOpened")).To(Equal(len(dp.Hosts)))
	counts := dp.Load(t.Context(), 40, time.Second)
	gm.Expect(counts.Answered).To(Equal(counts.Requests), "%+v", counts)
}
