package explain_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/operations/explain"
)

const logs = `
2026-01-01T10:00:00.000Z host=a-1 event=start domain=a
2026-01-01T10:00:01.000Z host=a-1 event=desiredState routes=3 services=3 version=4
2026-01-01T10:00:02.000Z host=a-1 event=desiredState routes=3 services=3 version=7
2026-01-01T10:00:02.500Z host=c-9 event=desiredState routes=3 services=3 version=7
2026-01-01T10:00:03.000Z host=b-1 event=storeLost error="no answer" sinceMs=900
2026-01-01T10:00:04.000Z host=b-2 event=movePlanned epoch=9 from=100 next=i-2 owner=i-1 service=lookup to=199
2026-01-01T10:00:04.000Z host=b-2 event=movePlanned epoch=13 from=200 next=i-2 owner=i-1 service=lookup to=299
a collector's own line
pod-7 2026-01-01T10:00:05.100Z host=b-1 event=refused key=150 reason=noUpstream request=r1 service=lookup upstream=""
5.1 b-1 2026-01-01T10:00:05.105Z host=a-1 event=request cause=noUpstream holder=b-1 key=150 request=r1 service=lookup status=503 tookMs=7
2026-01-01T10:00:06.000Z host=a-1 event=desiredState routes=3 services=3 version=8
2026-01-01T10:00:07.000Z host=a-1 event=request cause=broken error="unexpected EOF" holder=b-1 request=r2 service=orders status=502 tookMs=40 upstream=i-5
2026-01-01T10:00:07.500Z host=a-1 event=request attempts=2 cause=refused holder=b-1 request=r3 service=lookup status=502 tookMs=40 upstream=i-6
2026-01-01T10:00:06.500Z host=a-1 event=upstream now=draining upstream=i-5
`

func TestReports(t *testing.T) {
	cases := map[string]struct {
		id       string
		has, not []string
	}{
		"a key without an owner": {
			"r1",
			[]string{"status 503, cause noUpstream, 7 ms", "its key had no owner", "b-1 event=refused", "from=100", "version=7", "event=storeLost"},
			[]string{"from=200", "version=4", "version=8", "c-9", "r2"},
		},
		"a refusal after an attempt that may have run": {"r3", []string{"status 502, cause refused", "an earlier attempt may have run"}, []string{"it did not run it"}},
		"a broken connection":                          {"r2", []string{"status 502, cause broken", "may have run", "now=draining", "version=8", "unexpected EOF"}, []string{"movePlanned"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			cl := explain.New(tc.id)
			gm.Expect(cl.Read(strings.NewReader(logs))).To(Succeed())
			report, found := cl.Report()
			gm.Expect(found).To(BeTrue())
			var text strings.Builder
			gm.Expect(report.Write(&text)).To(Succeed())
			for _, part := range tc.has {
				gm.Expect(text.String()).To(ContainSubstring(part))
			}
			for _, part := range tc.not {
				gm.Expect(text.String()).NotTo(ContainSubstring(part))
			}
		})
	}
}

func TestUnknownRequestHasNoReport(t *testing.T) {
	cl := explain.New("r9")
	NewWithT(t).Expect(cl.Read(strings.NewReader(logs))).To(Succeed())
	_, found := cl.Report()
	NewWithT(t).Expect(found).To(BeFalse())
}
