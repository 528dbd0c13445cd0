package protocol

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// errMalformed means that a datagram is truncated or has another version.
var errMalformed = errors.New("protocol: datagram is truncated or has another version")

// codec encodes or decodes a message's fields in one fixed order, so that both
// directions share one mapping. Encoding leaves the fields alone: other goroutines may
// read them. After an error the remaining fields stay zero.
type codec struct {
	// buf is the datagram so far when writing, the unread rest when reading.
	buf     []byte
	reading bool
	err     error
}

// varint codes an integer as a protobuf varint.
func varint[T ~uint64 | ~uint32 | ~uint16 | ~uint8 | ~int | ~int64](cd *codec, value *T) {
	if !cd.reading {
		cd.buf = protowire.AppendVarint(cd.buf, uint64(*value))
		return
	}
	number, size := protowire.ConsumeVarint(cd.buf)
	if size < 0 {
		cd.err, cd.buf = errMalformed, nil
		return
	}
	*value, cd.buf = T(number), cd.buf[size:]
}

// addedVarint is varint for the last field of a message that earlier builds end without. They
// ignore it, and it stays zero in what they send.
func addedVarint[T ~uint64](cd *codec, value *T) {
	if cd.reading && len(cd.buf) == 0 {
		return
	}
	varint(cd, value)
}

// addedBoolean is the same for a boolean.
func addedBoolean(cd *codec, value *bool) {
	if cd.reading && len(cd.buf) == 0 {
		return
	}
	boolean(cd, value)
}

// text codes a string with its length as a prefix.
func text[T ~string](cd *codec, value *T) {
	if !cd.reading {
		cd.buf = protowire.AppendString(cd.buf, string(*value))
		return
	}
	content, size := protowire.ConsumeString(cd.buf)
	if size < 0 {
		cd.err, cd.buf = errMalformed, nil
		return
	}
	*value, cd.buf = T(content), cd.buf[size:]
}

// boolean codes a boolean as 0 or 1.
func boolean(cd *codec, value *bool) {
	number := uint8(0)
	if *value {
		number = 1
	}
	varint(cd, &number)
	if cd.reading {
		*value = number != 0
	}
}

// maxMicros is the longest duration that is read, 100 years: longer ones would overflow
// in nanoseconds or in a sum with a present time.
const maxMicros = 100 * 365 * 24 * uint64(time.Hour/time.Microsecond)

// duration codes a duration in microseconds, a negative one as 0. Hosts send
// durations instead of times because their clocks are never compared.
func duration(cd *codec, value *time.Duration) {
	micros := uint64(max(value.Microseconds(), 0))
	varint(cd, &micros)
	if cd.reading {
		*value = time.Duration(min(micros, maxMicros)) * time.Microsecond
	}
}

// list codes the number of values, then each value with element.
func list[T any](cd *codec, values *[]T, element func(*T)) {
	count := len(*values)
	varint(cd, &count)
	if cd.reading {
		// Each value takes at least one byte, which limits what is allocated.
		if count < 0 || count > len(cd.buf) {
			cd.err, cd.buf = errMalformed, nil
			return
		}
		*values = make([]T, count)
	}
	for ix := range *values {
		element(&(*values)[ix])
	}
}
