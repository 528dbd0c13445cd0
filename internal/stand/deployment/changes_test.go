package deployment_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/fakeupstream"
)

// TestChangesLeaveNoRequestUnanswered guards against whole requests that end with neither an answer
// nor a refusal beside a change of the desired state, while requests crash their upstreams.
func TestChangesLeaveNoRequestUnanswered(t *testing.T) {
	replace := func(pairs ...string) func(string) string { return strings.NewReplacer(pairs...).Replace }
	cases := map[string]func(string) string{
		"nothing changes":                      nil,
		"connections may be idle for less":     replace(`"idle-timeout-s":10`, `"idle-timeout-s":0.2`),
		"heads must end sooner":                replace(`"header-timeout-s":3`, `"header-timeout-s":0.05`),
		"heads and bodies must be shorter":     replace(`"max-header-bytes":8192,"max-body-bytes":1048576`, `"max-header-bytes":600,"max-body-bytes":600`),
		"requests may take less time":          replace(`"timeout-s":1.5`, `"timeout-s":0.9`),
		"routes are renamed":                   replace(`"name":"lookup","prefix"`, `"name":"find","prefix"`, `"name":"orders","prefix"`, `"name":"buy","prefix"`),
		"routes go":                            replace(`"prefix":"/lookup/"`, `"prefix":"/other/"`, `"prefix":"/orders/"`, `"prefix":"/others/"`),
		"a route goes to another service":      replace(`"priority":2,"service":"files"`, `"priority":2,"service":"orders"`),
		"a route is split":                     replace(`"priority":2,"service":"files"`, `"priority":2,"traffic-split":[{"service":"files","weight":1},{"service":"orders","weight":1}]`),
		"a service is no longer divided":       replace(`,"sharded":true`, ``),
		"a service is gone with its routes":    replace(`{"name":"files","health-path":"/health","max-conns":100,"cold-start-s":2,"cold-per-s":5}`, `{"name":"others","health-path":"/health","max-conns":100}`),
		"a request may be sent only once more": replace(`"max-attempts":2`, `"max-attempts":1`),
	}
	subnet := 170
	for title, change := range cases {
		subnet++
		number := subnet
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, number, 31)
			for _, id := range dp.UpstreamIDs() {
				// Requests then take longer than any of the shorter timeouts of connections.
				dp.Upstream(id).SetFaults(fakeupstream.Faults{Slow: 20})
			}
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			for _, rp := range []deployment.Repeated{
				{Name: "deadlyLookup", Method: http.MethodGet, Path: "/lookup" + deployment.DeadlySuffix, Interval: 150 * time.Millisecond},
				{Name: "deadlyOrder", Method: http.MethodPost, Path: "/orders" + deployment.DeadlySuffix, Interval: 150 * time.Millisecond},
				{Name: "deadlyFile", Method: http.MethodGet, Path: "/files" + deployment.DeadlySuffix, Interval: 150 * time.Millisecond},
			} {
				group.Add(1)
				go func() {
					defer group.Done()
					dp.Repeat(ctx, rp)
				}()
			}
			for _, at := range []time.Duration{1200 * time.Millisecond, 1800 * time.Millisecond} {
				time.AfterFunc(at, func() { dp.Configure(change) })
			}
			counts := dp.Load(t.Context(), 60, 4*time.Second)
			cancel()
			group.Wait()
			gm.Expect(counts.DoubleRuns+counts.FalseNotRun+counts.WrongAnswers+counts.DoubleOwners).To(BeZero(), "%+v", counts)
			gm.Expect(lg.String()).To(ContainSubstring("event=desiredState "))
			gm.Expect(unanswered(lg)).To(BeEmpty(), "%+v", counts)
		})
	}
}

// unanswered returns the lines of requests that got no whole response.
func unanswered(lg *logBuffer) []string {
	var lines []string
	for line := range strings.SplitSeq(lg.String(), "\n") {
		if strings.Contains(line, "event=requestUnanswered ") {
			lines = append(lines, line)
		}
	}
	return lines
}
