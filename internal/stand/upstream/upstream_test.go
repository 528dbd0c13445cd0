package upstream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/stand/upstream"
)

// start serves a stand-in on loopback until the test's end.
func start(t *testing.T, opts ...upstream.Option) (*upstream.Upstream, string) {
	t.Helper()
	us := upstream.New("u1", opts...)
	server := httptest.NewServer(us.Handler())
	t.Cleanup(server.Close)
	return us, server.URL
}

// ask sends a request with an id and returns its status, refusal and body.
func ask(url, id, path string) (status int, refusal string, body []byte, err error) {
	rq, err := http.NewRequest(http.MethodGet, url+path, nil)
	if err != nil {
		return 0, "", nil, err
	}
	rq.Header.Set(control.RequestHeader, id)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err = io.ReadAll(rs.Body)
	return rs.StatusCode, rs.Header.Get(control.RefusalHeader), body, err
}

func TestFaultsChangeTheAnswer(t *testing.T) {
	cases := map[string]struct {
		faults  upstream.Faults
		status  int
		refusal string
		broken  bool
		runs    int
	}{
		"none":             {status: http.StatusOK, runs: 1},
		"shed":             {faults: upstream.Faults{Shed: true}, status: http.StatusServiceUnavailable, refusal: control.RefusalShed},
		"answer lost":      {faults: upstream.Faults{LoseAnswers: true}, broken: true, runs: 1},
		"cut with length":  {faults: upstream.Faults{Cut: true, CutBytes: 700}, broken: true, runs: 1},
		"cut in chunks":    {faults: upstream.Faults{Cut: true, CutBytes: 700, Chunked: true}, broken: true, runs: 1},
		"cut before bytes": {faults: upstream.Faults{Cut: true}, broken: true, runs: 1},
		"whole in chunks":  {faults: upstream.Faults{Chunked: true}, status: http.StatusOK, runs: 1},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			us, url := start(t)
			us.SetFaults(cs.faults)
			status, refusal, body, err := ask(url, "r1", "/x?bytes=40000")
			gm.Expect(us.Totals().Runs).To(Equal(cs.runs))
			if cs.broken {
				gm.Expect(err).To(HaveOccurred())
				return
			}
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(status).To(Equal(cs.status))
			gm.Expect(refusal).To(Equal(cs.refusal))
			if status == http.StatusOK {
				gm.Expect(body).To(HaveLen(40000))
			}
		})
	}
}

// A cold stand-in records and sheds what is more than its cold limit; one that
// crashes loses what runs.
func TestColdStandInBearsOnlyItsLimit(t *testing.T) {
	for name, crash := range map[string]bool{"sheds": false, "crashes": true} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			us, url := start(t, upstream.WithServiceTime(time.Minute), upstream.WithColdStart(1, time.Hour))
			us.SetFaults(upstream.Faults{CrashWhenCold: crash})
			first := make(chan error, 1)
			go func() {
				_, _, _, err := ask(url, "r1", "/x")
				first <- err
			}()
			gm.Eventually(func() int { return us.Totals().Busy }, "5s").Should(Equal(1))
			_, refusal, _, err := ask(url, "r2", "/x")
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(refusal).To(Equal(control.RefusalShed))
			gm.Expect(us.Totals().ColdViolations).To(Equal(1))
			if !crash {
				us.Restart()
			}
			gm.Eventually(first, "5s").Should(Receive(HaveOccurred()))
			gm.Expect(us.Totals().Incarnation).To(Equal("u1-1"))
		})
	}
}

func TestCancelAnswersOnceTheSlotIsFree(t *testing.T) {
	gm := NewWithT(t)
	us, url := start(t, upstream.WithServiceTime(time.Minute))
	first := make(chan int, 1)
	go func() {
		status, _, _, _ := ask(url, "r1", "/x")
		first <- status
	}()
	gm.Eventually(func() int { return us.Totals().Busy }, "5s").Should(Equal(1))
	us.SetFaults(upstream.Faults{IgnoreCancel: true})
	gm.Expect(errors.Is(cancel(url, "r1", 50*time.Millisecond), context.DeadlineExceeded)).To(BeTrue())
	gm.Expect(us.Totals().Busy).To(Equal(1))
	us.SetFaults(upstream.Faults{})
	gm.Expect(cancel(url, "r1", 5*time.Second)).To(Succeed())
	gm.Expect(us.Totals().Busy).To(Equal(0))
	gm.Eventually(first, "5s").Should(Receive(Equal(http.StatusServiceUnavailable)))
	_, refusal, _, err := ask(url, "r1", "/x")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(refusal).To(Equal(control.RefusalCancelled))
}

func cancel(url, id string, timeout time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url+control.CancelPath+"?id="+id, nil)
	if err != nil {
		return err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	return rs.Body.Close()
}

// A slice that is granted, revoked and granted again gives two tenures; a
// stale token changes nothing.
func TestTenuresFollowTheGrants(t *testing.T) {
	gm := NewWithT(t)
	us, url := start(t)
	rp := order(t, url, grant.Order{Pool: "p", Token: grant.Token{Seq: 1}, Keep: true})
	until := rp.Reading.Add(time.Hour)
	order(t, url, grant.Order{Pool: "p", Token: grant.Token{Seq: 2}, Slices: []ident.Slice{3, 4}, Until: until})
	gm.Expect(us.Serves("p", 3)).To(BeTrue())
	order(t, url, grant.Order{Pool: "p", Token: grant.Token{Seq: 4}, Slices: []ident.Slice{4}, Until: until})
	gm.Expect(order(t, url, grant.Order{Pool: "p", Token: grant.Token{Seq: 3}, Slices: []ident.Slice{3}}).Accepted).To(BeFalse())
	order(t, url, grant.Order{Pool: "p", Token: grant.Token{Seq: 5}, Slices: []ident.Slice{3, 4}, Until: until})
	spans := map[ident.Slice]int{}
	last := map[ident.Slice]clock.Instant{}
	for _, tn := range us.Tenures() {
		spans[tn.Slice]++
		gm.Expect(tn.From.Before(last[tn.Slice])).To(BeFalse())
		last[tn.Slice] = tn.To
	}
	gm.Expect(spans).To(Equal(map[ident.Slice]int{3: 2, 4: 1}))
}

func order(t *testing.T, url string, od grant.Order) grant.Reply {
	t.Helper()
	gm := NewWithT(t)
	body, err := control.EncodeOrder(od)
	gm.Expect(err).NotTo(HaveOccurred())
	rs, err := http.Post(url+control.GrantPath, "application/json", strings.NewReader(string(body)))
	gm.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = rs.Body.Close() }()
	answer, err := io.ReadAll(rs.Body)
	gm.Expect(err).NotTo(HaveOccurred())
	rp, err := control.DecodeReply(answer)
	gm.Expect(err).NotTo(HaveOccurred())
	return rp
}
