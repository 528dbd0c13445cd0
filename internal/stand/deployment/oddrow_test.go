package deployment_test

import (
	"bytes"
	"compress/flate"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestOddLeaderRow guards against a leader's row of another writer after which no host leads
// again: moves stop, and with them every key whose upstream has gone.
func TestOddLeaderRow(t *testing.T) {
	subnet := 1730
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

// deflate returns a text in the form of the assignment's row.
func deflate(t *testing.T, text string) []byte {
	var body bytes.Buffer
	fw, err := flate.NewWriter(&body, flate.BestSpeed)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = fw.Write([]byte(text))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(fw.Close()).To(Succeed())
	return body.Bytes()
}

// TestOddAssignmentRow guards against an assignment of another writer that hosts take for
// their own, or after which keys do not move again.
func TestOddAssignmentRow(t *testing.T) {
	subnet := 1740
	for name, row := range map[string][]byte{
		"no text":          []byte("\x00\xff"),
		"empty":            {},
		"deep list":        deflate(t, string(bytes.Repeat([]byte("["), 60_000))),
		"highest revision": deflate(t, `{"revision":18446744073709551615,"nextEpoch":1}`),
		"highest epoch":    deflate(t, `{"revision":4000000,"nextEpoch":18446744073709551615}`),
		"later era":        deflate(t, `{"revision":4294967297,"nextEpoch":4294967297}`),
	} {
		subnet++
		number := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, number, 4)
			time.Sleep(time.Second)
			dp.Store.Put("chervilwalk", "assignment", row)
			time.Sleep(4 * time.Second)
			dp.DrainUpstream("i-lookup-0")
			time.Sleep(2 * time.Second)
			counts := dp.Load(t.Context(), 40, 2*time.Second)
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v\n%s", counts, lg.String())
			gm.Expect(counts.Answered).To(Equal(counts.Requests), "%+v\n%s", counts, lg.String())
		})
	}
}

// TestOddAssignmentRowWithoutLeader guards against hosts of which none leads again after an
// odd assignment and the end of the leader, or of all hosts.
func TestOddAssignmentRowWithoutLeader(t *testing.T) {
	subnet := 1760
	for name, restarted := range map[string]int{"one host at a time": 1, "all hosts": 3} {
		subnet++
		number := subnet
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			dp, lg := startDeployment(t, number, 4)
			time.Sleep(time.Second)
			for first := 0; first < len(dp.Hosts); first += restarted {
				dp.Store.Put("chervilwalk", "assignment", []byte("odd"))
				for _, host := range dp.Hosts[first : first+restarted] {
					dp.KillHost(host)
				}
				time.Sleep(time.Second)
				for _, host := range dp.Hosts[first : first+restarted] {
					gm.Expect(dp.StartHost(host)).To(Succeed())
				}
			}
			during := dp.Load(t.Context(), 40, 16*time.Second)
			gm.Expect(during.Broken()).To(BeFalse(), "a key has two owners: %+v\n%s", during, lg.String())
			dp.DrainUpstream("i-lookup-0")
			time.Sleep(2 * time.Second)
			counts := dp.Load(t.Context(), 40, 2*time.Second)
			gm.Expect(counts.Broken()).To(BeFalse(), "%+v\n%s", counts, lg.String())
			gm.Expect(counts.Answered).To(Equal(counts.Requests), "%+v\n%s", counts, lg.String())
		})
	}
}
