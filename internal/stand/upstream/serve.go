package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/control"
)

// PieceBytes is the size of the pieces in which large answers are sent.
const PieceBytes = 16 << 10

// ending tells how a run came to its end.
type ending int

const (
	// endDone means that the service time has passed.
	endDone ending = iota
	// endCancelled means that a cancellation was obeyed.
	endCancelled
	// endLost means that the process was lost with the run.
	endLost
)

// running is a request in a slot.
type running struct {
	id     ident.Request
	pool   ident.Pool
	slice  string
	number ident.Slice
	place  int
	frozen bool
	// ended gets at most one ending before the service time has passed.
	ended chan ending
	// left is closed when the slot is free.
	left chan struct{}
}

// stop ends a run early; the first word counts.
func (rg *running) stop(en ending) {
	select {
	case rg.ended <- en:
	default:
	}
}

// refusal is a request that was not run.
type refusal struct{ reason string }

func (us *Upstream) serveRequest(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if !us.waitThaw(rq.Context()) {
		return
	}
	rg, took, rf := us.begin(rq)
	if rf != nil {
		rw.Header().Set(control.RefusalHeader, rf.reason)
		http.Error(rw, rf.reason, http.StatusServiceUnavailable)
		return
	}
	defer us.finish(rg)
	switch us.serve(rg, took) {
	case endCancelled:
		us.finish(rg)
		http.Error(rw, "cancelled", http.StatusServiceUnavailable)
	case endLost:
		panic(http.ErrAbortHandler)
	case endDone:
		if us.Faults().LoseAnswers {
			us.finish(rg)
			panic(http.ErrAbortHandler)
		}
		us.answer(rw, rq, body, func() { us.finish(rg) })
	}
}

// serve passes the service time. A freeze adds to it, since a frozen process
// does not see that its caller has gone.
func (us *Upstream) serve(rg *running, took time.Duration) ending {
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case en := <-rg.ended:
		return en
	case <-timer.C:
		us.waitThaw(context.Background())
		return endDone
	}
}

// begin takes a slot and records the run, or names the refusal.
func (us *Upstream) begin(rq *http.Request) (*running, time.Duration, *refusal) {
	us.mu.Lock()
	defer us.mu.Unlock()
	now := us.clock.Now()
	if reason := us.refuses(rq, now); reason != "" {
		us.record.refused++
		return nil, 0, &refusal{reason: reason}
	}
	id := ident.Request(rq.Header.Get(control.RequestHeader))
	slice := rq.Header.Get(control.SliceHeader)
	number, _ := strconv.ParseUint(slice, 10, 32)
	rg := &running{
		id:     id,
		pool:   ident.Pool(rq.Header.Get(control.PoolHeader)),
		slice:  slice,
		number: ident.Slice(number),
		ended:  make(chan ending, 1),
		left:   make(chan struct{}),
	}
	us.running[rg] = struct{}{}
	rg.place = us.record.begin(Run{
		Upstream: us.name, Request: id, Pool: rg.pool, Slice: slice, Method: rq.Method,
		Token: rq.Header.Get(control.TokenHeader), Started: now,
	}, len(us.running))
	us.sampleLoad(now)
	return rg, us.serviceTimeNow(), nil
}

// refuses names the reason not to run a request; the caller holds the lock.
func (us *Upstream) refuses(rq *http.Request, now clock.Instant) string {
	if us.faults.Shed {
		return control.RefusalShed
	}
	if us.cancelled.has(ident.Request(rq.Header.Get(control.RequestHeader))) {
		return control.RefusalCancelled
	}
	if us.checksTokens && !us.covered(rq, now) {
		return control.RefusalStale
	}
	if len(us.running) >= us.slots {
		us.record.slotViolations++
		return control.RefusalShed
	}
	if us.cold(now) && len(us.running) >= us.coldLimit {
		us.record.coldViolations++
		if us.faults.CrashWhenCold {
			us.restart(now)
		}
		return control.RefusalShed
	}
	return ""
}

func (us *Upstream) serviceTimeNow() time.Duration {
	if us.faults.SlowFactor > 1 {
		return time.Duration(float64(us.serviceTime) * us.faults.SlowFactor)
	}
	return us.serviceTime
}

// finish frees the slot once.
func (us *Upstream) finish(rg *running) {
	us.mu.Lock()
	defer us.mu.Unlock()
	select {
	case <-rg.left:
		return
	default:
	}
	close(rg.left)
	now := us.clock.Now()
	us.record.end(rg.place, now, rg.frozen)
	delete(us.running, rg)
	us.sampleLoad(now)
}

// answer echoes what was asked, so that a caller can tell its own answer, and
// pads it to the size that the query's "bytes" states. The slot is free before
// the last piece is sent, so that whoever has the whole answer has the slot.
func (us *Upstream) answer(rw http.ResponseWriter, rq *http.Request, body []byte, free func()) {
	fa := us.Faults()
	id := rq.Header.Get(control.RequestHeader)
	sum := sha256.Sum256(body)
	head := fmt.Sprintf("%s %s %s by %s body %s\n", id, rq.Method, rq.URL.Path, us.name, hex.EncodeToString(sum[:8]))
	size, _ := strconv.Atoi(rq.URL.Query().Get("bytes"))
	size = max(size, len(head))
	rw.Header().Set("Chervilstand-Upstream", string(us.name))
	if !fa.Chunked {
		rw.Header().Set("Content-Length", strconv.Itoa(size))
	}
	limit := size
	if fa.Cut {
		limit = min(size, fa.CutBytes)
	}
	writePieces(rw, head, id+"\n", size, limit, free)
	if fa.Cut && limit < size || fa.Cut && fa.Chunked {
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
}

// writePieces sends the head, then the filler up to size bytes, but no more
// than limit bytes together.
func writePieces(rw io.Writer, head, filler string, size, limit int, free func()) {
	fill := strings.Repeat(filler, PieceBytes/len(filler)+1)
	sent := 0
	for sent < limit {
		piece := head
		if sent > 0 {
			piece = fill[:min(size-sent, PieceBytes)]
		}
		piece = piece[:min(len(piece), limit-sent)]
		sent += len(piece)
		if sent >= limit {
			free()
		}
		if _, err := io.WriteString(rw, piece); err != nil {
			return
		}
	}
}
