package socket

import (
	"errors"
	"io"
	"math"
)

// Unlimited is a value of LimitedReader.Remaining that no peer reaches.
const Unlimited = math.MaxInt64

// ErrTooLong is returned by LimitedReader when Remaining has been used up.
var ErrTooLong = errors.New("peer sent more bytes than allowed")

// LimitedReader bounds the bytes that are read from a connection, such as those of
// a header, and fails when the peer sends more.
type LimitedReader struct {
	Conn      io.Reader
	Remaining int64
	// Err is the error of the last read, which parsers above may replace by one of their own.
	Err error
}

// Read implements io.Reader.
func (lr *LimitedReader) Read(buf []byte) (int, error) {
	if lr.Remaining <= 0 {
		lr.Err = ErrTooLong
		return 0, lr.Err
	}
	count, err := lr.Conn.Read(buf[:min(int64(len(buf)), lr.Remaining)])
	lr.Remaining -= int64(count)
	lr.Err = err
	return count, err
}
