package deployment_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestOddLeaderRow guards against a leader's row of another writer after which no host leads
// again: moves stop, and with them every key whose upstream has gone.
func TestOddLeaderRow(t *testing.T) {
	subnet := 190
	for name, row := range map[string]string{
		"no text":           "\x00\xff",
		"empty":             "",
		"null":              "null",
		"highest term":      `{"term":18446744073709551615,"host":"other","address":"10.9.9.9:1"}`,
		"term of later era": `{"term":4294967297,"host":"other","address":"10.9.9.9:1"}`,
		"longest freeze":    `{"term":1,"host":"","frozenMs":9000000000000}`,
	} {
		subnet++
		number := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, number, 4)
			time.Sleep(time.Second)
			dp.Store.Put("chervilwalk", "leader", []byte(row))
			// The takeover and the longest freeze.
			time.Sleep(16 * time.Second)
			dp.DrainUpstream("i-lookup-0")
			time.Sleep(2 * time.Second)
			counts := dp.Load(t.Context(), 40, 2*time.Second)
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v\n%s", counts, lg.String())
			gm.Expect(counts.Answered).To(Equal(counts.Requests), "%+v\n%s", counts, lg.String())
		})
	}
}
