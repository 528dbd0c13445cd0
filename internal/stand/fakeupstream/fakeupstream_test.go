package fakeupstream_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/fakeupstream"
)

// post sends a request with a key and returns its status, the header Not-Executed and
// any error. A key of "" is left out.
func post(up *fakeupstream.Upstream, path, key, body string) (status int, notExecuted string, err error) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+up.Config().Address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if key != "" {
		rq.Header.Set("Shard-Key", key)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode, rs.Header.Get("Not-Executed"), err
}

// TestKeyLostInQueue guards against an upstream that runs a request whose key it held when the
// request arrived, but no longer when a slot was free.
func TestKeyLostInQueue(t *testing.T) {
	cases := map[string]struct {
		// hold is the grant's time, work that of each request, the first of which holds the slot.
		hold string
		work time.Duration
		// release is sent while the request waits, if it is not empty.
		release    string
		wantStatus int
		wantRuns   int
	}{
		"key held":           {"20", time.Second, "", http.StatusOK, 2},
		"key released":       {"20", 3 * time.Second, `{"from":4,"to":6,"fence":1}`, http.StatusMisdirectedRequest, 1},
		"other key released": {"20", time.Second, `{"from":0,"to":4,"fence":1}`, http.StatusOK, 2},
		"lease runs out":     {"2.5", 3 * time.Second, "", http.StatusMisdirectedRequest, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gm := NewWithT(t)
			began := time.Now()
			up, err := fakeupstream.Start(fakeupstream.Config{ID: "i-1", Address: "127.0.0.1:0", Slots: 1, Queue: 1, Keyed: true, Work: tc.work})
			gm.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(up.Close)
			status, _, err := post(up, "/api/grant", "", `{"from":0,"to":9,"fence":1,"hold-s":`+tc.hold+`}`)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(status).To(Equal(http.StatusOK))

			type result struct {
				status      int
				notExecuted string
				err         error
			}
			send := func() chan result {
				results := make(chan result, 1)
				go func() {
					status, notExecuted, err := post(up, "/", "5", "")
					results <- result{status, notExecuted, err}
				}()
				return results
			}
			first := send()
			gm.Eventually(up.Runs, 5*time.Second).Should(HaveLen(1))
			second := send()
			// It has arrived, and its key was held, once it is counted.
			gm.Eventually(func() int { return up.Arrivals(began) }, 5*time.Second).Should(Equal(2))
			if tc.release != "" {
				status, _, err := post(up, "/api/release", "", tc.release)
				gm.Expect(err).NotTo(HaveOccurred())
				gm.Expect(status).To(Equal(http.StatusOK))
			}
			gm.Expect((<-first).err).NotTo(HaveOccurred())
			rs := <-second
			gm.Expect(rs.err).NotTo(HaveOccurred())
			gm.Expect(rs.status).To(Equal(tc.wantStatus))
			gm.Expect(rs.notExecuted == "1").To(Equal(tc.wantStatus == http.StatusMisdirectedRequest))
			gm.Expect(up.Runs()).To(HaveLen(tc.wantRuns))
			for _, run := range up.Runs() {
				gm.Expect(run.Held).To(BeTrue())
			}
		})
	}
}

// TestHeldBy guards against a check of runs that believes what the upstream says of itself.
func TestHeldBy(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	granted := func(seconds, until float64) fakeupstream.GrantChange {
		return fakeupstream.GrantChange{At: at(seconds), Until: at(until), From: 4, To: 6}
	}
	released := func(seconds float64, from, to int) fakeupstream.GrantChange {
		return fakeupstream.GrantChange{At: at(seconds), From: from, To: to, Released: true}
	}
	cases := map[string]struct {
		changes []fakeupstream.GrantChange
		at      float64
		key     int
		want    bool
	}{
		"no grant":                        {nil, 1, 5, false},
		"before the grant":                {[]fakeupstream.GrantChange{granted(2, 6)}, 1, 5, false},
		"held":                            {[]fakeupstream.GrantChange{granted(0, 4)}, 1, 5, true},
		"first key":                       {[]fakeupstream.GrantChange{granted(0, 4)}, 1, 4, true},
		"last key":                        {[]fakeupstream.GrantChange{granted(0, 4)}, 1, 6, true},
		"another key":                     {[]fakeupstream.GrantChange{granted(0, 4)}, 1, 7, false},
		"lease has run out":               {[]fakeupstream.GrantChange{granted(0, 4)}, 4, 5, false},
		"renewed":                         {[]fakeupstream.GrantChange{granted(0, 4), granted(3, 7)}, 5, 5, true},
		"renewed too late":                {[]fakeupstream.GrantChange{granted(0, 4), granted(6, 10)}, 5, 5, false},
		"an older grant is applied late":  {[]fakeupstream.GrantChange{granted(1, 9), granted(2, 4)}, 5, 5, false},
		"released":                        {[]fakeupstream.GrantChange{granted(0, 4), released(1, 5, 5)}, 2, 5, false},
		"before the release":              {[]fakeupstream.GrantChange{granted(0, 4), released(3, 5, 5)}, 2, 5, true},
		"release of another key":          {[]fakeupstream.GrantChange{granted(0, 4), released(1, 4, 4)}, 2, 5, true},
		"a grant applied after a release": {[]fakeupstream.GrantChange{granted(0, 4), released(1, 4, 6), granted(2, 5)}, 3, 5, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			run := fakeupstream.Run{At: at(tc.at), Key: tc.key}
			NewWithT(t).Expect(run.HeldBy(tc.changes)).To(Equal(tc.want))
		})
	}
}
