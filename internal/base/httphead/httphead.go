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

// Check returns the status of a response, or an error if its head is malformed. raw begins with the
// status line and ends with the empty line.
func Check(raw []byte) (status int, err error) {
	rd := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)))
	line, err := rd.ReadLine()
	if err != nil {
		return 0, eris.Wrap(err, "status line")
	}
	if status, err = checkStatusLine(line); err != nil {
		return 0, err
	}
	hd, err := rd.ReadMIMEHeader()
	if err != nil {
		return 0, eris.Wrap(err, "header")
	}
	if err := CheckFields(hd); err != nil {
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

// checkStatusLine returns the status of a status line.
func checkStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	if major, _, ok := http.ParseHTTPVersion(version); !ok || major != 1 {
		return 0, eris.Errorf("version %.20q, want HTTP/1", version)
	}
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || status < minStatus || status > maxStatus {
		return 0, eris.Errorf("status %.20q, want %d to %d", code, minStatus, maxStatus)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return 0, eris.Errorf("reason %.40q", reason)
	}
	return int(status), nil
}
