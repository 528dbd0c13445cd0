// Package httphead checks the head of an HTTP/1 response as it came from the peer. Parsers repair or
// drop a part of what is wrong with one, which then looks like a sound answer.
//
//	status, err := httphead.Check(raw)
package httphead

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// Statuses outside of these are no HTTP (RFC 9110, section 15).
const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// Check returns the status of a response to a request that asks for no other protocol, or an error if
// its head is malformed. raw begins with the status line and ends with the empty line.
func Check(raw []byte) (status int, err error) {
	rd := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)))
	line, err := rd.ReadLine()
	if err != nil {
		return 0, eris.Wrap(err, "status line")
	}
	status, minor, err := checkStatusLine(line)
	if err != nil {
		return 0, err
	}
	hd, err := rd.ReadMIMEHeader()
	if err != nil {
		return 0, eris.Wrap(err, "header")
	}
	if err := CheckFields(hd); err != nil {
		return 0, err
	}
	if err := checkFraming(status, minor, hd); err != nil {
		return 0, err
	}
	return status, nil
}

// CheckFields returns an error if the name or a value of a field in a header or trailer is malformed.
func CheckFields(fields map[string][]string) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Errorf("field name %.40q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return eris.Errorf("value of field %.40q: %.40q", name, value)
			}
		}
	}
	return nil
}

// checkStatusLine returns the status of a status line and the minor version of HTTP/1.
func checkStatusLine(line string) (status, minor int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return 0, 0, eris.Errorf("version %.20q, want HTTP/1", version)
	}
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	number, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || number < minStatus || number > maxStatus {
		return 0, 0, eris.Errorf("status %.20q, want %d to %d", code, minStatus, maxStatus)
	}
	if number == http.StatusSwitchingProtocols {
		return 0, 0, eris.New("the peer switches to a protocol that was not asked for")
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return 0, 0, eris.Errorf("reason %.40q", reason)
	}
	return int(number), minor, nil
}

// checkFraming returns an error if the header says in two ways where the body ends (RFC 9112, section
// 6). That lengths are numbers and do not differ is checked by parsers.
func checkFraming(status, minor int, hd textproto.MIMEHeader) error {
	_, encoded := hd["Transfer-Encoding"]
	lengths, stated := hd["Content-Length"]
	bodiless := status < http.StatusOK || status == http.StatusNoContent
	switch {
	case encoded && stated:
		return eris.New("Transfer-Encoding beside Content-Length")
	case encoded && minor == 0:
		return eris.New("Transfer-Encoding in HTTP/1.0")
	case bodiless && (encoded || stated && lengths[0] != "0"):
		return eris.Errorf("body of an answer with status %d", status)
	default:
		return nil
	}
}
