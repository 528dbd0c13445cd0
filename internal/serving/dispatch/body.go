package dispatch

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// body reads an answer and gives its connection back at a clean end. It may be
// closed while another goroutine reads.
type body struct {
	lane   *Lane
	link   *link
	stop   func() bool
	answer *http.Response
	ended  atomic.Bool
	once   sync.Once
}

// Read reads on; a cut body gives io.ErrUnexpectedEOF or the connection's error.
func (bd *body) Read(buffer []byte) (int, error) {
	count, err := bd.answer.Body.Read(buffer)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		bd.ended.Store(true)
	}
	return count, err
}

// Close keeps the connection if the answer was read to its end.
func (bd *body) Close() error {
	bd.once.Do(bd.release)
	return nil
}

func (bd *body) release() {
	kept := bd.stop()
	if bd.ended.Load() && kept && !bd.answer.Close {
		bd.lane.put(bd.link)
	} else {
		_ = bd.link.conn.Close()
	}
	<-bd.lane.permits
}
