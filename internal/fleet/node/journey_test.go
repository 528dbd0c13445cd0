package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/fleet/route"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/dispatch"
	"chervilwalk/internal/serving/verdict"
)

// stop is one holder that a call comes to, with what it finds there.
type stop struct {
	holder ident.Host
	err    error
}

// A journey goes on where it is proved that nothing was run, repeats only what
// is idempotent, and never says "not run" after a hop broke.
func TestJourney(t *testing.T) {
	misdirected := verdict.Misdirect("not here")
	full := verdict.Refuse(http.StatusServiceUnavailable, "the wait would pass the deadline", time.Second)
	late := verdict.Refuse(http.StatusGatewayTimeout, "the deadline passed", 0)
	doubt := verdict.Doubt(http.StatusBadGateway, "the upstream broke off")
	cases := map[string]struct {
		keyed      bool
		idempotent bool
		stops      []stop
		verdict    verdict.Verdict
		status     int
	}{
		"served":                     {stops: []stop{{"h1", nil}}, verdict: verdict.Ran},
		"keyed, moved":               {keyed: true, stops: []stop{{"h1", misdirected}, {"h1", misdirected}, {"h1", nil}}, verdict: verdict.Ran},
		"unkeyed, away":              {stops: []stop{{"h1", misdirected}, {"h2", nil}}, verdict: verdict.Ran},
		"unkeyed, full":              {stops: []stop{{"h1", full}, {"h2", nil}}, verdict: verdict.Ran},
		"unkeyed, all full":          {stops: []stop{{"h1", full}, {"h2", full}}, verdict: verdict.NotRun, status: 503},
		"keyed, full":                {keyed: true, stops: []stop{{"h1", full}}, verdict: verdict.NotRun, status: 503},
		"late":                       {stops: []stop{{"h1", late}}, verdict: verdict.NotRun, status: 504},
		"in doubt":                   {idempotent: true, stops: []stop{{"h1", doubt}}, verdict: verdict.MayHaveRun, status: 502},
		"broken hop of an order":     {stops: []stop{{"h1", inner.ErrHopBroken}}, verdict: verdict.MayHaveRun, status: 502},
		"broken hop of a lookup":     {idempotent: true, stops: []stop{{"h1", inner.ErrHopBroken}, {"h2", nil}}, verdict: verdict.Ran},
		"broken hop, then a refusal": {idempotent: true, stops: []stop{{"h1", inner.ErrHopBroken}, {"h2", late}}, verdict: verdict.MayHaveRun, status: 504},
		"broken hop twice":           {idempotent: true, stops: []stop{{"h1", inner.ErrHopBroken}, {"h2", inner.ErrHopBroken}}, verdict: verdict.MayHaveRun, status: 502},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			var came []stop
			send := func(_ context.Context, holder ident.Host, _ *inner.Call) (*dispatch.Answer, error) {
				gm.Expect(len(came)).To(BeNumerically("<", len(cs.stops)), "no more stops than expected")
				st := stop{holder, cs.stops[len(came)].err}
				came = append(came, st)
				if st.err != nil {
					return nil, st.err
				}
				return &dispatch.Answer{Status: http.StatusOK}, nil
			}
			ca := &inner.Call{ID: "r1", Idempotent: cs.idempotent, Deadline: time.Now().Add(5 * time.Second)}
			jn := newJourney(twoPools, send, &bundle.Service{Name: "s", Keyed: cs.keyed}, ca)
			_, err := jn.run(t.Context())
			gm.Expect(came).To(Equal(cs.stops))
			if cs.verdict == verdict.Ran {
				gm.Expect(err).NotTo(HaveOccurred())
				return
			}
			er := verdict.From(jn.final(err))
			gm.Expect(er.Verdict).To(Equal(cs.verdict))
			gm.Expect(er.Status).To(Equal(cs.status))
		})
	}
}

// twoPools are routes to a pool at h1 and the next nearest at h2.
func twoPools() *route.Table {
	return &route.Table{
		Slices:  map[ident.Service][]ident.Pool{"s": {"s@a#0"}},
		Nearest: map[ident.Service][]ident.Pool{"s": {"s@a#0", "s@b#0"}},
		Holders: map[ident.Pool]ident.Host{"s@a#0": "h1", "s@b#0": "h2"},
	}
}

// A call whose pool has no holder is refused once its waiting is over, as not
// run and with a time to come back.
func TestJourneyWithoutAHolder(t *testing.T) {
	gm := NewWithT(t)
	ca := &inner.Call{ID: "r1", Deadline: time.Now().Add(50 * time.Millisecond)}
	jn := newJourney(func() *route.Table { return &route.Table{} }, nil, &bundle.Service{Name: "s"}, ca)
	_, err := jn.run(t.Context())
	er := verdict.From(jn.final(err))
	gm.Expect(er.Verdict).To(Equal(verdict.NotRun))
	gm.Expect(er.Status).To(Equal(http.StatusServiceUnavailable))
	gm.Expect(er.RetryAfter).To(BeNumerically(">", 0))
}
