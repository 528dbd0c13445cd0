package roster

import (
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// The bounds of an entry's fields. An entry beyond them cannot be right, whether a row of
// the store or another host has it.
const (
	// MaxEncodedBytes is the largest row of an entry; decoding one costs time at each
	// change of the list. An entry with its fields at their bounds has about 1 KB.
	MaxEncodedBytes = 16 << 10
	// MaxTextBytes is the largest length of an id, a service and a domain: the
	// platform's own texts have at most 200 bytes.
	MaxTextBytes = 200
	// MaxAddressBytes is the length of the longest IPv6 address in brackets with a port.
	MaxAddressBytes = 53
	// MaxSlots is the largest number of requests at the same time, the same as in signed
	// bundles. Sums and products of slots stay far below an integer's range.
	MaxSlots = 1 << 16
	// MaxColdLeft is the longest time until an upstream is warm: a start takes seconds.
	MaxColdLeft = time.Hour
	// MaxSequence is the largest sequence: JSON numbers beyond it are not exact.
	MaxSequence = 1 << 53
	// MaxIncarnation is the start of the year 2100 in Unix milliseconds: a start time in
	// microseconds is beyond it.
	MaxIncarnation Incarnation = 4_102_444_800_000
)

// Check returns an error that names the first field that cannot be right. The error's
// text is short whatever the entry holds.
func (en *Entry) Check() error {
	if !isText(string(en.ID)) || en.ID == "" {
		return eris.Errorf("id is %.40q of %d bytes, want 1 to %d without control characters", en.ID, len(en.ID), MaxTextBytes)
	}
	if !isText(string(en.Service)) || en.Service == "" {
		return eris.Errorf("service is %.40q of %d bytes, want 1 to %d without control characters", en.Service, len(en.Service), MaxTextBytes)
	}
	if !isText(string(en.Domain)) {
		return eris.Errorf("zone is %.40q of %d bytes, want at most %d without control characters", en.Domain, len(en.Domain), MaxTextBytes)
	}
	if !isMachine(en.Address) {
		return eris.Errorf("address is %.60q, want the IP of one machine and a port", en.Address)
	}
	if en.Slots < 1 || en.Slots > MaxSlots {
		return eris.Errorf("%d slots, want 1 to %d", en.Slots, MaxSlots)
	}
	if en.ColdLeft < 0 || en.ColdLeft > MaxColdLeft {
		return eris.Errorf("%v of cold start left, want 0 to %v", en.ColdLeft, MaxColdLeft)
	}
	if en.Sequence > MaxSequence {
		return eris.Errorf("sequence is %d, want at most %d", en.Sequence, uint64(MaxSequence))
	}
	if en.Incarnation < 0 || en.Incarnation > MaxIncarnation {
		return eris.Errorf("born is %d, want Unix milliseconds up to %d", en.Incarnation, MaxIncarnation)
	}
	return nil
}

// isText reports whether a text may be an id or a name. Control characters are excluded
// as digests separate the texts of an entry by one.
func isText(text string) bool {
	if len(text) > MaxTextBytes || !utf8.ValidString(text) {
		return false
	}
	for _, letter := range text {
		if letter < ' ' || letter == '\x7f' {
			return false
		}
	}
	return true
}

// isMachine reports whether an address has the IP of a single machine and a port.
func isMachine(address string) bool {
	if len(address) > MaxAddressBytes {
		return false
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		return false
	}
	ip := ap.Addr().Unmap()
	return ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
