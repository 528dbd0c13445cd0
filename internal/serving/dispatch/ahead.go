package dispatch

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// pieceBytes is the size of the pieces in which a body is read ahead.
	pieceBytes = 32 << 10
	// aheadBytes bounds what one answer keeps ahead of its reader.
	aheadBytes = 1 << 20
	// budgetBytes bounds what all answers of a process keep ahead together;
	// beyond it each answer still moves on piece by piece.
	budgetBytes = 64 << 20
)

// Buffers reads answers ahead of slow readers, so that an upstream's slot and
// connection are free as soon as the upstream has sent what fits.
//
//	bf.Ahead(an) // an.Body now comes out of memory
type Buffers struct {
	used atomic.Int64
}

// Used returns the bytes that all answers keep now.
func (bf *Buffers) Used() int64 {
	return bf.used.Load()
}

// Ahead replaces the answer's body by one that is read ahead. The source is
// closed when it ends, not when its reader has come to the end.
func (bf *Buffers) Ahead(an *Answer) {
	if an.Length >= 0 && an.Length <= wholeBytes {
		an.Body = readWhole(an.Body)
		return
	}
	ah := &ahead{buffers: bf, source: an.Body}
	ah.changed.L = &ah.mu
	go ah.fill()
	an.Body = ah
}

// readWhole reads a short body at once and closes its source.
func readWhole(source io.ReadCloser) io.ReadCloser {
	whole, err := io.ReadAll(source)
	_ = source.Close()
	if err != nil {
		return io.NopCloser(io.MultiReader(bytes.NewReader(whole), failing{err: err}))
	}
	return io.NopCloser(bytes.NewReader(whole))
}

// failing is a reader that gives an error only.
type failing struct{ err error }

// Read gives the error.
func (fl failing) Read([]byte) (int, error) {
	return 0, fl.err
}

// ahead is a body with the pieces that its reader has not taken yet.
type ahead struct {
	buffers *Buffers
	source  io.ReadCloser

	mu      sync.Mutex
	changed sync.Cond
	pieces  [][]byte
	kept    int
	err     error
	closed  bool
}

// fill reads the source to its end, an error or the reader's Close.
func (ah *ahead) fill() {
	buffer := make([]byte, pieceBytes)
	for ah.awaitRoom() {
		count, err := ah.source.Read(buffer)
		if err != nil {
			// The slot is free before the reader sees the end.
			_ = ah.source.Close()
		}
		ah.add(buffer[:count], err)
		if err != nil {
			return
		}
	}
	_ = ah.source.Close()
}

// awaitRoom waits until a further piece may be kept; false after Close.
func (ah *ahead) awaitRoom() bool {
	ah.mu.Lock()
	defer ah.mu.Unlock()
	for !ah.closed && ah.kept > 0 && (ah.kept >= aheadBytes || ah.buffers.Used() >= budgetBytes) {
		ah.changed.Wait()
	}
	return !ah.closed
}

func (ah *ahead) add(data []byte, err error) {
	ah.mu.Lock()
	defer ah.mu.Unlock()
	if ah.closed {
		return
	}
	ah.keep(len(data))
	for len(data) > 0 {
		data = ah.fillTail(data)
	}
	ah.err = err
	ah.changed.Broadcast()
}

// fillTail puts data behind what the last piece holds and returns the rest, so
// that many small reads take no more memory than few large ones.
func (ah *ahead) fillTail(data []byte) []byte {
	last := len(ah.pieces) - 1
	if last < 0 || len(ah.pieces[last]) == cap(ah.pieces[last]) {
		ah.pieces = append(ah.pieces, make([]byte, 0, pieceBytes))
		last++
	}
	tail := ah.pieces[last]
	count := min(len(data), cap(tail)-len(tail))
	ah.pieces[last] = append(tail, data[:count]...)
	return data[count:]
}

// keep counts bytes in or out; the caller holds the lock.
func (ah *ahead) keep(count int) {
	ah.kept += count
	ah.buffers.used.Add(int64(count))
}

// Read takes what was read ahead, and waits when there is nothing.
func (ah *ahead) Read(buffer []byte) (int, error) {
	ah.mu.Lock()
	defer ah.mu.Unlock()
	for len(ah.pieces) == 0 {
		if ah.closed {
			return 0, errors.New("the body was closed")
		}
		if ah.err != nil {
			return 0, ah.err
		}
		ah.changed.Wait()
	}
	count := copy(buffer, ah.pieces[0])
	ah.pieces[0] = ah.pieces[0][count:]
	if len(ah.pieces[0]) == 0 {
		ah.pieces = ah.pieces[1:]
	}
	ah.keep(-count)
	ah.changed.Broadcast()
	return count, nil
}

// Close drops what is kept; a source that has not ended is broken off.
func (ah *ahead) Close() error {
	ah.mu.Lock()
	first := !ah.closed
	ah.closed = true
	ah.pieces = nil
	ah.keep(-ah.kept)
	unfinished := ah.err == nil
	ah.changed.Broadcast()
	ah.mu.Unlock()
	if first && unfinished {
		return ah.source.Close()
	}
	return nil
}
