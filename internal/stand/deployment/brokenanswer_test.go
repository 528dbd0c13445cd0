package deployment_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/deployment"
	"chervilwalk/internal/stand/rawupstream"
	"chervilwalk/platform"
)

// signed is what a sound upstream states in each answer.
const signed = "Request-Id: {id}\r\nResponse-Seal: s\r\n"

// startRawUpstreams starts a deployment whose orders go to upstreams that send given answers.
func startRawUpstreams(t *testing.T, subnet, count int) (*deployment.Deployment, []*rawupstream.Upstream) {
	t.Helper()
	gm := NewWithT(t)
	dp, lg := startDeployment(t, subnet, 41, func(cf *deployment.Config) { cf.Orders = 0 })
	var ups []*rawupstream.Upstream
	for ix := range count {
		up, err := rawupstream.Start("127.0.0.1:0")
		gm.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(up.Close)
		ups = append(ups, up)
		dp.Store.Put(platform.UpstreamTable, fmt.Sprintf("i-raw-%d", ix), fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":4,"state":"ready","cold-left-s":0,"sequence":1,"born":1}`, deployment.OrderService, up.Address()))
	}
	gm.Eventually(func() int {
		return strings.Count(lg.String(), "now=joined upstream=i-raw-")
	}, 5*time.Second, 20*time.Millisecond).Should(Equal(count*len(dp.Hosts)), lg.String)
	return dp, ups
}

// received is what a caller gets: a status and a body, and the error with which the answer broke off.
type received struct {
	status int
	body   string
	err    error
}

// order sends an order with a body of some bytes on a connection of its own.
func order(address, id string, bodyBytes int) received {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	go func() {
		// The answer may come before the whole body was written. Each order has a path of its own, as
		// hosts refuse a request under which upstreams have crashed.
		_, _ = fmt.Fprintf(conn, "POST /orders/%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nRequest-Deadline: 2500\r\nContent-Length: %d\r\n\r\n%s",
			id, id, bodyBytes, strings.Repeat("u", bodyBytes))
	}()
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return received{err: err}
	}
	body, err := io.ReadAll(rs.Body)
	return received{rs.StatusCode, string(body), err}
}

// TestBrokenAnswers guards against answers that are none and that callers get as whole ones, and
// against orders that are sent again behind one.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	const (
		upstreams = 6
		tries     = 6
		// upload is a body that hosts pass on while they read it.
		upload  = 900_000
		open    = "HTTP/1.1 200 OK\r\n" + signed + "\r\n"
		whole   = "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\nwhole"
		chunked = "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
	)
	part := strings.Repeat("p", 100_000)
	replace := func(old, replacement string) string { return strings.Replace(whole, old, replacement, 1) }
	cases := map[string]struct {
		answer    rawupstream.Answer
		bodyBytes int
		// body is that of an answer that is passed on; with an empty one it must not be.
		body string
	}{
		"no length, ends with its connection":                   {rawupstream.Answer{Text: open + part, End: rawupstream.Finish}, 10, part},
		"no length, ends with its connection during the upload": {rawupstream.Answer{Text: open + part, Early: true, End: rawupstream.FinishUnread}, upload, part},
		"no length, reset":                                {rawupstream.Answer{Text: open + part, End: rawupstream.Reset}, 10, ""},
		"no length, reset during the upload":              {rawupstream.Answer{Text: open + part, Early: true, End: rawupstream.Reset}, upload, ""},
		"no length, large, reset during the upload":       {rawupstream.Answer{Text: open + part + part + part, Early: true, End: rawupstream.Reset}, upload, ""},
		"unknown status":                                  {rawupstream.Answer{Text: replace("200", "299")}, 10, "whole"},
		"status 000, whole answer inside":                 {rawupstream.Answer{Text: "HTTP/1.1 000 Odd\r\n" + signed + "Content-Length: 200\r\n\r\n" + whole}, 10, ""},
		"status 000, ordinary body":                       {rawupstream.Answer{Text: replace("200", "000")}, 10, ""},
		"status 099, whole answer inside":                 {rawupstream.Answer{Text: "HTTP/1.1 099 Odd\r\n" + signed + "Content-Length: 200\r\n\r\n" + whole}, 10, ""},
		"status 600":                                      {rawupstream.Answer{Text: replace("200", "600")}, 10, ""},
		"status 999":                                      {rawupstream.Answer{Text: replace("200", "999")}, 10, ""},
		"blank in a field's name":                         {rawupstream.Answer{Text: replace("Request-Id", "Odd Name: x\r\nRequest-Id")}, 10, ""},
		"blank behind a field's name":                     {rawupstream.Answer{Text: replace("Content-Length: 5", "Content-Length : 3"), End: rawupstream.Finish}, 10, ""},
		"control byte in a field's name":                  {rawupstream.Answer{Text: replace("Request-Id", "Odd\x01Name: x\r\nRequest-Id")}, 10, ""},
		"tab behind a field's name":                       {rawupstream.Answer{Text: replace("Content-Length: 5", "Content-Length\t: 3"), End: rawupstream.Finish}, 10, ""},
		"HTTP/1.0":                                        {rawupstream.Answer{Text: replace("HTTP/1.1", "HTTP/1.0"), End: rawupstream.Finish}, 10, "whole"},
		"HTTP/2.0":                                        {rawupstream.Answer{Text: replace("HTTP/1.1", "HTTP/2.0")}, 10, ""},
		"control byte in the reason":                      {rawupstream.Answer{Text: replace("OK", "O\x01K")}, 10, ""},
		"chunks":                                          {rawupstream.Answer{Text: chunked + "0\r\n\r\n"}, 10, "whole"},
		"chunks without their end":                        {rawupstream.Answer{Text: chunked, End: rawupstream.Finish}, 10, ""},
		"chunks of a malformed size":                      {rawupstream.Answer{Text: chunked + "-1\r\n\r\n"}, 10, ""},
		"chunks and a length":                             {rawupstream.Answer{Text: strings.Replace(chunked, "Transfer", "Content-Length: 3\r\nTransfer", 1) + "0\r\n\r\n"}, 10, ""},
		"chunks in HTTP/1.0":                              {rawupstream.Answer{Text: strings.Replace(chunked, "HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n", End: rawupstream.Finish}, 10, ""},
		"two lengths":                                     {rawupstream.Answer{Text: replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 3")}, 10, ""},
		"204 with a length":                               {rawupstream.Answer{Text: replace("200 OK", "204 No Content")}, 10, ""},
		"interim answer":                                  {rawupstream.Answer{Text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + whole}, 10, "whole"},
		"interim answer with a body, whole answer inside": {rawupstream.Answer{Text: "HTTP/1.1 103 Early Hints\r\nContent-Length: 200\r\n\r\n" + whole}, 10, ""},
		"other protocol, whole answer behind":             {rawupstream.Answer{Text: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\nConnection: upgrade\r\n\r\n" + whole}, 10, ""},
		"chunks and a trailer":                            {rawupstream.Answer{Text: chunked + "0\r\nA: b\r\n\r\n"}, 10, "whole"},
		"blank in a trailer's name":                       {rawupstream.Answer{Text: chunked + "0\r\nOdd Name: x\r\n\r\n"}, 10, ""},
		"blank in a trailer's name, large":                {rawupstream.Answer{Text: chunked + "493e0\r\n" + part + part + part + "\r\n0\r\nOdd Name: x\r\n\r\n"}, 10, ""},
		"length, large, ends before it":                   {rawupstream.Answer{Text: replace("Content-Length: 5", "Content-Length: 300001") + part + part + part[5:], End: rawupstream.Finish}, 10, ""},
		"chunks, large, malformed size":                   {rawupstream.Answer{Text: chunked + "493e0\r\n" + part + part + part + "\r\nodd\r\n\r\n"}, 10, ""},
	}
	dp, ups := startRawUpstreams(t, 199, upstreams)
	orders := 0
	// send sends an order and returns what its caller gets and how often it reached an upstream.
	send := func(bodyBytes int) (rc received, sent int) {
		orders++
		id := fmt.Sprintf("order-%d", orders)
		rc = order(dp.Hosts[orders%len(dp.Hosts)].Address, id, bodyBytes)
		for _, up := range ups {
			sent += up.Count(id)
		}
		return rc, sent
	}
	setAnswer := func(an rawupstream.Answer) {
		for _, up := range ups {
			up.SetAnswer(an)
		}
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			setAnswer(rawupstream.Answer{Text: whole})
			gm.Eventually(func() received {
				rc, _ := send(0)
				return rc
			}, "10s", "50ms").Should(Equal(received{http.StatusOK, "whole", nil}), "sound answers are passed on again")
			setAnswer(tc.answer)
			reached := 0
			for range tries {
				rc, sent := send(tc.bodyBytes)
				gm.Expect(sent).To(BeNumerically("<=", 1), "the order may have run")
				reached += sent
				switch {
				case tc.body != "":
					gm.Expect(rc.err).NotTo(HaveOccurred())
					gm.Expect(rc.status).To(BeNumerically("<", http.StatusMultipleChoices))
					gm.Expect(rc.body == tc.body).To(BeTrue(), "%d bytes", len(rc.body))
				case rc.err == nil && sent > 0:
					gm.Expect(rc.status).To(Equal(http.StatusBadGateway), "%.40q", rc.body)
				case rc.err == nil:
					gm.Expect(rc.status).To(Equal(http.StatusServiceUnavailable))
				}
				time.Sleep(20 * time.Millisecond)
			}
			gm.Expect(reached).To(BeNumerically(">", 0))
		})
	}
}
