package protocol

import (
	"errors"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"chervilwalk/internal/base/era"
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
	if uint64(T(number)) != number {
		// Cut off, it would be another key or another count.
		cd.err, cd.buf = errMalformed, nil
		return
	}
	*value, cd.buf = T(number), cd.buf[size:]
}

// count codes a number that is never negative and of which a host can hold this many.
func count(cd *codec, value *int) {
	varint(cd, value)
	if cd.reading && (*value < 0 || *value > maxCount) {
		*value, cd.err, cd.buf = 0, errMalformed, nil
	}
}

// maxCount bounds counts and ranks in messages. Sums and products of several stay in range.
const maxCount = 1 << 24

// clampCount returns the closest number in the range of count.
func clampCount(number int) int { return min(max(number, 0), maxCount) }

// numbered codes a term, a revision or an epoch. One without room for later ones is malformed:
// the next would start from 0, below everything that hosts and upstreams know.
func numbered[T ~uint64](cd *codec, value *T) {
	varint(cd, value)
	if cd.reading && !era.InRange(*value) {
		*value, cd.err, cd.buf = 0, errMalformed, nil
	}
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

// maxDuration bounds durations in messages, so that their sums with times are in range.
const maxDuration = 365 * 24 * time.Hour

// duration codes a duration in microseconds, a negative one as 0, a longer one than
// maxDuration as that. Hosts send durations instead of times because their clocks are
// never compared.
func duration(cd *codec, value *time.Duration) {
	micros := uint64(max(value.Microseconds(), 0))
	varint(cd, &micros)
	if cd.reading {
		*value = time.Duration(min(micros, uint64(maxDuration/time.Microsecond))) * time.Microsecond
	}
}

// maxRetryAfter bounds how long callers are told to wait. No build tells them more than an hour.
const maxRetryAfter = 24 * time.Hour

// retryAfter is duration, but a longer one than maxRetryAfter is malformed.
func retryAfter(cd *codec, value *time.Duration) {
	duration(cd, value)
	if cd.reading && *value > maxRetryAfter {
		*value, cd.err, cd.buf = 0, errMalformed, nil
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
