package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRenewalsOnNewConnections guards against a grant to an upstream that has restarted under its id, on the
// word of a leader that does not know whether the store has lost a newer assignment.
func TestRenewalsOnNewConnections(t *testing.T) {
	cases := map[string]struct {
		// certainAfter is how long after the connection was opened the assignment was last certain,
		// confirmedAfter when it was last confirmed at all.
		certainAfter, confirmedAfter time.Duration
		want                         bool
	}{
		"certain since":                    {certainAfter: 100 * time.Millisecond, confirmedAfter: 100 * time.Millisecond, want: true},
		"confirmed since, but not certain": {certainAfter: -100 * time.Millisecond, confirmedAfter: 100 * time.Millisecond},
		"neither":                          {certainAfter: -100 * time.Millisecond, confirmedAfter: -50 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gw := &Gateway{}
			const age = time.Second
			openedAt, opened := time.Now().Add(-age), gw.clock.Now().Add(-age)
			gw.tableCertainAt.Store(int64(opened.Add(tc.certainAfter)))
			gw.tableConfirmedAt.Store(int64(opened.Add(tc.confirmedAfter)))
			NewWithT(t).Expect(gw.mayRenewOn(openedAt)).To(Equal(tc.want))
		})
	}
}
