package deployment_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/catalog/bundle"
	"chervilwalk/internal/stand/deployment"
)

// TestBundles runs a load on a deployment with signed bundles while a bundle takes
// an upstream or a domain out of service. No guarantee may be violated, and what
// was taken out must get no more requests after the time that the platform allows.
func TestBundles(t *testing.T) {
	const after = 1500 * time.Millisecond
	cases := map[string]struct {
		edit bundle.Edit
		// removed are the upstreams that must get no more requests when the time
		// within has passed.
		removed []string
		within  time.Duration
	}{
		"nothing changes": {},
		"an upstream is taken out": {
			bundle.Edit{Name: "i-orders-0", Out: true}, []string{"i-orders-0"}, 2 * time.Second,
		},
		"a domain is taken out": {
			bundle.Edit{Kind: bundle.DomainEntry, Name: "zone-b", Out: true},
			[]string{"i-lookup-1", "i-orders-1", "i-files-1"},
			5 * time.Second,
		},
	}
	lastSubnet := 60
	for name, tc := range cases {
		lastSubnet++
		subnet := lastSubnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, subnet, 7, func(cf *deployment.Config) { cf.Bundles = true })
			accepted := make(chan time.Time, 1)
			time.AfterFunc(after, func() {
				if tc.edit.Name != "" && dp.Edit(tc.edit) != nil {
					return
				}
				accepted <- time.Now()
			})
			counts := dp.Load(t.Context(), 60, after+tc.within+2*time.Second)
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
			gm.Expect(float64(counts.Answered)).To(BeNumerically(">=", 0.97*float64(counts.Requests)), "%+v\n%s", counts, lg.String())
			var at time.Time
			gm.Expect(accepted).To(Receive(&at))
			for _, id := range tc.removed {
				for _, run := range dp.Upstream(id).Runs() {
					gm.Expect(run.At).To(BeTemporally("<", at.Add(tc.within)), "%s\n%s", id, lg.String())
				}
			}
		})
	}
}

// TestHostTakenOutOfService checks that a host is not ready while a bundle takes
// it out of service, and is ready again afterwards.
func TestHostTakenOutOfService(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, _ := startDeployment(t, 70, 8, func(cf *deployment.Config) { cf.Bundles = true })
	gm.Eventually(dp.Hosts[1].Ready, 2*time.Second).Should(BeTrue())
	gm.Expect(dp.Edit(bundle.Edit{Name: "front-1", Out: true})).To(Succeed())
	gm.Eventually(dp.Hosts[1].Ready, 2*time.Second).Should(BeFalse())
	gm.Expect(dp.Hosts[0].Ready()).To(BeTrue())
	gm.Expect(dp.Edit(bundle.Edit{Name: "front-1"})).To(Succeed())
	gm.Eventually(dp.Hosts[1].Ready, 2*time.Second).Should(BeTrue())
}

// TestForgedBundleIsIgnored checks that a bundle that no trusted key signed
// changes nothing, even if the row in the store points at it.
func TestForgedBundleIsIgnored(t *testing.T) {
	t.Parallel()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, 71, 9, func(cf *deployment.Config) { cf.Bundles = true })
	gm.Expect(dp.ForgeBundle()).To(Succeed())
	gm.Eventually(lg.String, 2*time.Second).Should(ContainSubstring("not from a trusted key"))
	gm.Expect(strings.Count(lg.String(), "event=bundleOpened")).To(Equal(len(dp.Hosts)))
	counts := dp.Load(t.Context(), 40, time.Second)
	gm.Expect(counts.Answered).To(Equal(counts.Requests), "%+v", counts)
}
