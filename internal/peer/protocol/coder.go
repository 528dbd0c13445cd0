package protocol

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// errShort says that a datagram ended within a field.
var errShort = errors.New("protocol: datagram cut short")

// coder walks over a message's fields in one fixed order and either writes or
// reads them, so that both directions share one mapping.
type coder struct {
	buf     []byte
	reading bool
	err     error
}

func field[T ~uint64 | ~uint32 | ~uint16 | ~uint8 | ~int | ~int64](cd *coder, value *T) {
	if !cd.reading {
		cd.buf = protowire.AppendVarint(cd.buf, uint64(*value))
		return
	}
	number, size := protowire.ConsumeVarint(cd.buf)
	if size < 0 {
		cd.err, cd.buf = errShort, nil
		return
	}
	*value, cd.buf = T(number), cd.buf[size:]
}

func text[T ~string](cd *coder, value *T) {
	if !cd.reading {
		cd.buf = protowire.AppendString(cd.buf, string(*value))
		return
	}
	content, size := protowire.ConsumeString(cd.buf)
	if size < 0 {
		cd.err, cd.buf = errShort, nil
		return
	}
	*value, cd.buf = T(content), cd.buf[size:]
}

func flag(cd *coder, value *bool) {
	number := uint8(0)
	if *value {
		number = 1
	}
	field(cd, &number)
	*value = number != 0
}

// span carries a time span in microseconds; clocks of two hosts are never compared.
func span(cd *coder, value *time.Duration) {
	micros := max(value.Microseconds(), 0)
	field(cd, &micros)
	*value = time.Duration(micros) * time.Microsecond
}

func list[T any](cd *coder, values *[]T, each func(*T)) {
	count := len(*values)
	field(cd, &count)
	if cd.reading {
		// Each element takes a byte or more.
		if count < 0 || count > len(cd.buf) {
			cd.err, cd.buf = errShort, nil
			return
		}
		*values = make([]T, count)
	}
	for ix := range *values {
		each(&(*values)[ix])
	}
}
