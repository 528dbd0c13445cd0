package deployment_test

import (
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
)

// limited are the upstreams with a limit in TestUpstreamLimit, one that owns keys and one
// of a service without keys.
var limited = []string{"i-lookup-0", "i-orders-0"}

// limitAction changes a deployment while upstreams name limits.
type limitAction func(gm *WithT, dp *deployment.Deployment, lg *logBuffer)

// name returns an action that makes the upstreams name another limit.
func name(limit string) limitAction {
	return func(_ *WithT, dp *deployment.Deployment, _ *logBuffer) {
		for _, id := range limited {
			dp.Upstream(id).SetFaults(fakeupstream.Faults{Limit: limit})
		}
	}
}

// onHost returns an action on the host that the last log line with the pattern names.
func onHost(pattern string, action func(dp *deployment.Deployment, host *deployment.Host)) limitAction {
	return func(gm *WithT, dp *deployment.Deployment, lg *logBuffer) {
		found := regexp.MustCompile(pattern).FindAllStringSubmatch(lg.String(), -1)
		gm.Expect(found).NotTo(BeEmpty(), pattern)
		for _, host := range dp.Hosts {
			if host.Name == found[len(found)-1][1] {
				action(dp, host)
			}
		}
	}
}

const (
	leaderLine = `host=(front-\d) event=leading .*now=true`
	holderLine = `event=request .*holder=(front-\d) .*upstream=i-lookup-0`
)

// TestUpstreamLimit guards against more requests from all hosts together than an upstream
// has said that it takes.
func TestUpstreamLimit(t *testing.T) {
	kill := func(dp *deployment.Deployment, host *deployment.Host) { dp.KillHost(host) }
	cutOff := func(dp *deployment.Deployment, host *deployment.Host) { dp.CutOff(host, true) }
	first := func(action func(dp *deployment.Deployment, host *deployment.Host)) limitAction {
		return func(_ *WithT, dp *deployment.Deployment, _ *logBuffer) { action(dp, dp.Hosts[0]) }
	}
	start := func(dp *deployment.Deployment, host *deployment.Host) {
		if err := dp.StartHost(host); err != nil {
			panic(err)
		}
	}
	cases := map[string]struct {
		limit string
		// before happens before the limit is named, change 4.5 seconds later.
		before, change limitAction
		// served is how many requests a second the upstreams must get in the end.
		served float64
	}{
		"stays":                   {limit: "2", served: 1},
		"falls":                   {limit: "8", change: name("1"), served: 0.4},
		"rises":                   {limit: "1", change: name("5"), served: 2},
		"is lifted":               {limit: "2", change: name(""), served: 5},
		"is a fraction":           {limit: "0.4"},
		"is zero":                 {limit: "0"},
		"is no number any more":   {limit: "2", change: name("many"), served: 1},
		"the leader is killed":    {limit: "2", change: onHost(leaderLine, kill), served: 1},
		"the holder is killed":    {limit: "2", change: onHost(holderLine, kill), served: 1},
		"the leader is cut off":   {limit: "2", change: onHost(leaderLine, cutOff), served: 1},
		"the holder is cut off":   {limit: "2", change: onHost(holderLine, cutOff), served: 1},
		"a host is started later": {limit: "2", before: first(kill), change: first(start), served: 1},
	}
	subnet := 80
	for title, tc := range cases {
		subnet++
		// Each case needs addresses of its own.
		number := subnet
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, number, 11, func(cf *deployment.Config) { cf.Proxies = true })
			if tc.before != nil {
				tc.before(gm, dp, lg)
				time.Sleep(2 * time.Second)
			}
			name(tc.limit)(gm, dp, lg)
			result := make(chan deployment.Counts)
			go func() { result <- dp.Load(t.Context(), 100, 10*time.Second) }()
			time.Sleep(4500 * time.Millisecond)
			if tc.change != nil {
				tc.change(gm, dp, lg)
			}
			time.Sleep(3 * time.Second)
			late := time.Now()
			counts := <-result
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v", counts)
			for _, id := range limited {
				up := dp.Upstream(id)
				gm.Expect(up.LimitExcess()).To(BeZero(), "%s\n%s", id, lg.String())
				gm.Expect(float64(up.Arrivals(late))/2.5).To(BeNumerically(">=", tc.served), "%s\n%s", id, lg.String())
			}
		})
	}
}
