package deployment_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/platform"
)

// TestEntriesOfAnotherWriter guards against rows of another writer that keep hosts from
// the upstreams: hundreds that cannot be right, and one under a real upstream's id.
func TestEntriesOfAnotherWriter(t *testing.T) {
	const (
		oddRows = 200
		hosts   = 3
		// takenUpWithin is roster's time until an upstream's own entries count again, and
		// three reads of the store.
		takenUpWithin = 12 * time.Second
	)
	// refusing is an address that refuses connections.
	refusing := func(entry []byte, address string) []byte {
		return bytes.Replace(entry, []byte(address), []byte("127.0.0.1:1"), 1)
	}
	cases := map[string]struct {
		subnet int
		// write writes the rows, given an upstream and an entry of its own; settle is how
		// long hosts may follow them.
		write  func(dp *deployment.Deployment, id string, entry []byte)
		settle time.Duration
		lines  int
	}{
		"hundreds that cannot be right": {190, func(dp *deployment.Deployment, _ string, entry []byte) {
			for ix := range oddRows {
				replaced := [][2]string{
					{`"slots":2`, `"slots":2147483648`},
					{`"slots":2`, `"slots":4611686018427387904`},
					{`"cold-left-s":`, `"cold-left-s":1e308,"was":`},
					{`"version":"v1"`, `"version":` + strings.Repeat("[", 60_000)},
					{`127.0.0.1:1"`, `127.0.0.1:70000"`},
					{`127.0.0.1:1"`, `0.0.0.0:80"`},
					{`"service":"`, `"service":"` + strings.Repeat("s", 50_000)},
				}[ix%7]
				dp.Store.Put(platform.UpstreamTable, fmt.Sprintf("i-odd-%d", ix), bytes.Replace(entry, []byte(replaced[0]), []byte(replaced[1]), 1))
			}
		}, 0, 60},
		"a later start under a real id": {191, func(dp *deployment.Deployment, id string, entry []byte) {
			at := bytes.Index(entry, []byte(`"born":`))
			dp.Store.Put(platform.UpstreamTable, id, append(entry[:at:at], `"born":4102444800000}`...))
		}, takenUpWithin, 0},
		"a higher sequence under a real id": {192, func(dp *deployment.Deployment, id string, entry []byte) {
			dp.Store.Put(platform.UpstreamTable, id, bytes.Replace(entry, []byte(`"sequence":1,`), []byte(`"sequence":9007199254740992,`), 1))
		}, takenUpWithin, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, tc.subnet, 8)
			st := watchNetwork(t)
			const id = "i-lookup-0"
			up := dp.Upstream(id)
			// The upstream writes its own entry every 300 ms: hosts must read the other one.
			for range 20 {
				tc.write(dp, id, refusing(up.Entry(1, "ready"), up.Config().Address))
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(tc.settle)
			counts := loadWithoutStalls(t, dp, lg, st)
			gm.Expect(counts.Answered).To(Equal(counts.Requests), "%+v\n%s", counts, lg.String())
			if tc.settle > 0 {
				taken := strings.Count(lg.String(), "now=joined upstream="+id+" ")
				gm.Expect(taken).To(Equal(2*hosts), "each host takes the upstream up again\n%s", lg.String())
			}
			gm.Expect(lg.String()).NotTo(MatchRegexp("event=upstream .*upstream=i-odd-"), "an odd row names no upstream")
			lines := strings.Count(lg.String(), "event=entryMalformed")
			gm.Expect(lines).To(BeNumerically("<=", tc.lines))
			gm.Expect(lines > 0).To(Equal(tc.lines > 0))
		})
	}
}
