package deployment_test

import (
	"regexp"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
)

// limited are the upstreams with a limit in TestUpstreamLimit: those that own keys and those
// of a service without keys.
var limited = []string{"i-lookup-0", "i-lookup-1", "i-lookup-2", "i-lookup-3", "i-orders-0", "i-orders-1", "i-orders-2"}

// limitAction changes a deployment while upstreams name limits.
type limitAction func(gm *WithT, dp *deployment.Deployment, lg *logBuffer)

// nameLimit returns an action that makes the upstreams name another limit.
func nameLimit(limit string) limitAction {
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
		// one means that only one upstream of each service has the limit.
		one bool
		// used is how many requests a second the upstreams of a service must get in the end.
		// The limits of four or three admit that many times the last one.
		used float64
		// room means that in the end there is room for all requests.
		room bool
	}{
		"stays":                   {limit: "2", used: 4},
		"falls":                   {limit: "8", change: nameLimit("1"), used: 2},
		"rises":                   {limit: "1", change: nameLimit("5"), used: 10},
		"is lifted":               {limit: "2", change: nameLimit(""), room: true},
		"is a fraction":           {limit: "0.4", used: 0.6},
		"is zero":                 {limit: "0"},
		"is no number any more":   {limit: "2", change: nameLimit("many"), used: 4},
		"is named by one":         {limit: "2", one: true, room: true},
		"the leader is killed":    {limit: "2", change: onHost(leaderLine, kill), used: 3},
		"the holder is killed":    {limit: "2", change: onHost(holderLine, kill), used: 3},
		"the leader is cut off":   {limit: "2", change: onHost(leaderLine, cutOff), used: 2},
		"the holder is cut off":   {limit: "2", change: onHost(holderLine, cutOff), used: 2},
		"a host is started later": {limit: "2", before: first(kill), change: first(start), used: 3},
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
			if tc.one {
				for _, id := range []string{"i-lookup-0", "i-orders-0"} {
					dp.Upstream(id).SetFaults(fakeupstream.Faults{Limit: tc.limit})
				}
			} else {
				nameLimit(tc.limit)(gm, dp, lg)
			}
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
			used := map[string]float64{}
			for _, id := range limited {
				up := dp.Upstream(id)
				gm.Expect(up.LimitExcess()).To(BeZero(), "%s\n%s", id, lg.String())
				used[up.Config().Service] += float64(up.Arrivals(late)) / 2.5
			}
			for service, perSecond := range used {
				gm.Expect(perSecond).To(BeNumerically(">=", tc.used), "%s\n%s", service, lg.String())
			}
			if tc.room {
				gm.Expect(refusedSince(gm, lg, late)).To(BeNumerically("<", 0.05), lg.String())
			}
			gm.Expect(refusedLate(gm, lg)).To(BeNumerically("<", 0.1), lg.String())
		})
	}
}

// refusedSince returns the share of requests that were refused, of those that ended after a
// time.
func refusedSince(gm *WithT, lg *logBuffer, since time.Time) float64 {
	refused, all := 0, 0
	for _, found := range regexp.MustCompile(`(?m)^(\S+) .*event=request .*status=(\d+)`).FindAllStringSubmatch(lg.String(), -1) {
		at, err := time.Parse(time.RFC3339, found[1])
		gm.Expect(err).NotTo(HaveOccurred())
		if at.After(since) {
			all++
			if found[2] == "503" {
				refused++
			}
		}
	}
	gm.Expect(all).To(BeNumerically(">", 0))
	return float64(refused) / float64(all)
}

// refusedLate returns the share of refused requests that were not refused at once. All
// refusals must say when to come back.
func refusedLate(gm *WithT, lg *logBuffer) float64 {
	const atOnce = 150
	late, all := 0, 0
	for _, line := range regexp.MustCompile(`event=request .*status=503 .*`).FindAllString(lg.String(), -1) {
		gm.Expect(line).To(MatchRegexp(`retryAfterMs=[1-9]`))
		took, err := strconv.Atoi(regexp.MustCompile(`tookMs=(\d+)`).FindStringSubmatch(line)[1])
		gm.Expect(err).NotTo(HaveOccurred())
		all++
		if took > atOnce {
			late++
		}
	}
	return float64(late) / float64(max(all, 1))
}
