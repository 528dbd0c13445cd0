package transport

import (
	"bufio"
	"io"
)

// headRecorder keeps the bytes of an answer's head while they are parsed.
type headRecorder struct {
	source    io.Reader
	recording bool
	bytes     []byte
}

// Read implements io.Reader.
func (hr *headRecorder) Read(buf []byte) (int, error) {
	count, err := hr.source.Read(buf)
	if hr.recording {
		hr.bytes = append(hr.bytes, buf[:count]...)
	}
	return count, err
}

// start begins a head, of which the reader above may hold a part already.
func (hr *headRecorder) start(above *bufio.Reader) {
	// Peek returns no error for bytes that are buffered.
	buffered, _ := above.Peek(above.Buffered())
	hr.recording, hr.bytes = true, append(hr.bytes[:0], buffered...)
}

// stop ends the head and returns its bytes, which are valid until the next start.
func (hr *headRecorder) stop(above *bufio.Reader) []byte {
	hr.recording = false
	return hr.bytes[:len(hr.bytes)-above.Buffered()]
}
