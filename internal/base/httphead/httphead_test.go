package httphead_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/net/http/httpguts"

	"chervilwalk/internal/base/httphead"
)

// TestCheck guards against heads that are no HTTP and pass for those of answers.
func TestCheck(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		raw string
		// status is that of a sound head, or 0.
		status int
	}{
		"usual":                               {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200},
		"no reason":                           {"HTTP/1.1 200\r\n\r\n", 200},
		"empty reason":                        {"HTTP/1.1 200 \r\n\r\n", 200},
		"interim":                             {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 103},
		"largest status":                      {"HTTP/1.1 599 Odd\r\n\r\n", 599},
		"unknown status":                      {"HTTP/1.1 299 Odd\r\n\r\n", 299},
		"status 000":                          {"HTTP/1.1 000 OK\r\n\r\n", 0},
		"status 099":                          {"HTTP/1.1 099 OK\r\n\r\n", 0},
		"status 600":                          {"HTTP/1.1 600 OK\r\n\r\n", 0},
		"status 999":                          {"HTTP/1.1 999 OK\r\n\r\n", 0},
		"status with a sign":                  {"HTTP/1.1 +20 OK\r\n\r\n", 0},
		"status of two digits":                {"HTTP/1.1 20 OK\r\n\r\n", 0},
		"status of four digits":               {"HTTP/1.1 0200 OK\r\n\r\n", 0},
		"folded line":                         {ok + "A: b\r\n c\r\n\r\n", 200},
		"line feeds alone":                    {"HTTP/1.1 200 OK\nA: b\n\n", 200},
		"bytes above ASCII":                   {ok + "A: \xe9\r\n\r\n", 200},
		"blank in a name":                     {ok + "Odd Name: x\r\n\r\n", 0},
		"blank behind a name":                 {ok + "Content-Length : 3\r\n\r\n", 0},
		"tab behind a name":                   {ok + "Content-Length\t: 3\r\n\r\n", 0},
		"control byte in a name":              {ok + "Odd\x01Name: x\r\n\r\n", 0},
		"DEL in a name":                       {ok + "Odd\x7fName: x\r\n\r\n", 0},
		"byte above ASCII in a name":          {ok + "N\xe9: x\r\n\r\n", 0},
		"separator in a name":                 {ok + "A(b): x\r\n\r\n", 0},
		"no name":                             {ok + ": x\r\n\r\n", 0},
		"no colon":                            {ok + "x\r\n\r\n", 0},
		"first line is folded":                {ok + " A: b\r\n\r\n", 0},
		"control byte in a value":             {ok + "A: \x01\r\n\r\n", 0},
		"NUL in a value":                      {ok + "A: \x00\r\n\r\n", 0},
		"CR in a value":                       {ok + "A: b\rC: d\r\n\r\n", 0},
		"breaks off":                          {ok + "A: b\r\n", 0},
		"HTTP/1.0":                            {"HTTP/1.0 200 OK\r\n\r\n", 200},
		"HTTP/2.0":                            {"HTTP/2.0 200 OK\r\n\r\n", 0},
		"HTTP/0.9":                            {"HTTP/0.9 200 OK\r\n\r\n", 0},
		"no HTTP":                             {"ICY 200 OK\r\n\r\n", 0},
		"control byte in the reason":          {"HTTP/1.1 200 O\x01K\r\n\r\n", 0},
		"chunks":                              {ok + "Transfer-Encoding: chunked\r\n\r\n", 200},
		"chunks and a length":                 {ok + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 0},
		"a length and chunks":                 {ok + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n", 0},
		"chunks in HTTP/1.0":                  {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0},
		"204":                                 {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204},
		"204 with a length":                   {"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", 0},
		"204 with chunks":                     {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", 0},
		"304 with the length of the resource": {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304},
		"interim with length 0":               {"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", 100},
		"interim with a length":               {"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n", 0},
		"interim with chunks":                 {"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n", 0},
		"other protocol":                      {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\n", 0},
		"no status":                           {"HTTP/1.1\r\n\r\n", 0},
		"two blanks":                          {"HTTP/1.1  200 OK\r\n\r\n", 200},
		"empty":                               {"", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			status, err := httphead.Check([]byte(tc.raw))
			gm.Expect(err != nil).To(Equal(tc.status == 0), "%v", err)
			gm.Expect(status).To(Equal(tc.status))
		})
	}
}

// FuzzCheck guards against heads that end the process, and against a status that parsers of the same
// head do not see.
func FuzzCheck(f *testing.F) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.0 404 \r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nOdd Name: x\r\n\r\n", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		status, err := httphead.Check(raw)
		if err != nil {
			return
		}
		rs, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil {
			return
		}
		gm := NewWithT(t)
		gm.Expect(rs.StatusCode).To(Equal(status))
		gm.Expect(status).To(And(BeNumerically(">=", 100), BeNumerically("<=", 599)))
		for name := range rs.Header {
			gm.Expect(httpguts.ValidHeaderFieldName(name)).To(BeTrue(), "%q", name)
		}
	})
}
