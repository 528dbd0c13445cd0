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
	rs, err := http.ReadResponse(newReader(raw), nil)
	if err != nil {
		return 0, eris.Wrap(err, "head")
	}
	if err := CheckParsed(rs, raw); err != nil {
		return 0, err
	}
	return rs.StatusCode, nil
}

// CheckParsed is Check for a head that http.ReadResponse has parsed from raw.
func CheckParsed(rs *http.Response, raw []byte) error {
	switch {
	case rs.ProtoMajor != 1:
		return eris.Errorf("version %.20q, want HTTP/1", rs.Proto)
	case rs.StatusCode < minStatus || rs.StatusCode > maxStatus:
		return eris.Errorf("status %.40q, want %d to %d", rs.Status, minStatus, maxStatus)
	case rs.StatusCode == http.StatusSwitchingProtocols:
		return eris.New("the peer switches to a protocol that was not asked for")
	case !httpguts.ValidHeaderFieldValue(rs.Status):
		return eris.Errorf("status %.40q", rs.Status)
	}
	if err := CheckFields(rs.Header); err != nil {
		return err
	}
	return checkFraming(rs, raw)
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

// checkFraming returns an error if the header says in two ways where the body ends (RFC 9112, section
// 6). That lengths are numbers and do not differ is checked by http.ReadResponse.
func checkFraming(rs *http.Response, raw []byte) error {
	bodiless := rs.StatusCode < http.StatusOK || rs.StatusCode == http.StatusNoContent
	http10 := !rs.ProtoAtLeast(1, 1)
	if !bodiless && !http10 && len(rs.TransferEncoding) == 0 {
		return nil
	}
	// http.ReadResponse drops the fields that it does not follow.
	rd := newReader(raw)
	if _, _, err := rd.ReadLine(); err != nil {
		return eris.Wrap(err, "status line")
	}
	hd, err := textproto.NewReader(rd).ReadMIMEHeader()
	if err != nil {
		return eris.Wrap(err, "header")
	}
	_, encoded := hd["Transfer-Encoding"]
	lengths, stated := hd["Content-Length"]
	switch {
	case encoded && stated:
		return eris.New("Transfer-Encoding beside Content-Length")
	case encoded && http10:
		return eris.New("Transfer-Encoding in HTTP/1.0")
	case bodiless && (encoded || stated && lengths[0] != "0"):
		return eris.Errorf("body of an answer with status %d", rs.StatusCode)
	default:
		return nil
	}
}

func newReader(raw []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(raw), len(raw))
}
