package drive

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// UpstreamConfig configures a stand-in for an upstream.
type UpstreamConfig struct {
	ID, Service, Zone string
	Slots             int
	// Work is how long a request takes, LongWork one with the header field "Work: long".
	Work, LongWork time.Duration
	// AnswerBytes is the size of an answer.
	AnswerBytes int
	// TruncateEvery breaks off each such answer in its second half; with 0 none.
	TruncateEvery int
	// Keyed makes the upstream run only requests whose keys were granted to it.
	Keyed bool
	// Early makes the upstream begin to work as soon as the header of a request has arrived.
	Early bool
}

// Run is a request that an upstream began to work on.
type Run struct {
	Upstream, Request  string
	StartedAt, EndedAt time.Time
	// Truncated reports whether its answer was broken off by the upstream, Dropped whether its
	// connection or body ended before.
	Truncated, Dropped bool
}

// queuePerSlot is how many requests wait for each slot.
const queuePerSlot = 4

// Upstream is a stand-in for an upstream.
type Upstream struct {
	cf      UpstreamConfig
	record  *Record
	address string
	slots   chan struct{}
	queue   chan struct{}
	keys    keyTable
	// work is held for reading by each request that runs: a release is answered when those that
	// were running have ended.
	work sync.RWMutex

	mu sync.Mutex
	// server is nil once the upstream has ended.
	server    *http.Server
	startedAt time.Time
	// cut reports whether it is cut off from the store.
	cut bool

	runs    []*Run
	answers int
}

func startUpstream(dp *Deployment, address string, cf UpstreamConfig) (*Upstream, error) {
	up := &Upstream{
		cf: cf, record: dp.Record, address: net.JoinHostPort(address, "0"), slots: make(chan struct{}, cf.Slots), queue: make(chan struct{}, cf.Slots*(1+queuePerSlot)),
	}
	return up, up.start(dp)
}

// start begins a life of the upstream, after the first one at the same address.
func (up *Upstream) start(dp *Deployment) error {
	ln, err := net.Listen("tcp", up.address)
	if err != nil {
		return err
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	up.address, up.startedAt = ln.Addr().String(), time.Now()
	server := &http.Server{Handler: up, ReadHeaderTimeout: 5 * time.Second}
	up.server = server
	dp.group.Go(func() {
		// It ends when the server is closed.
		_ = server.Serve(ln)
	})
	return nil
}

// close ends the upstream's life at once.
func (up *Upstream) close() {
	up.mu.Lock()
	server := up.server
	up.server = nil
	up.mu.Unlock()
	if server != nil {
		_ = server.Close()
		up.keys.endLife()
	}
}

// Config returns the upstream's configuration.
func (up *Upstream) Config() UpstreamConfig { return up.cf }

// isCut reports whether the upstream is cut off from the store.
func (up *Upstream) isCut() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.cut
}

func (up *Upstream) setCut(cut bool) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.cut = cut
}

func (up *Upstream) entry(sequence int) string {
	up.mu.Lock()
	defer up.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-left-s":0,"sequence":%d,"born":%d}`,
		up.cf.Service, up.address, up.cf.Zone, up.cf.Slots, sequence, up.startedAt.UnixMilli())
}

// Runs returns the requests that ran so far.
func (up *Upstream) Runs() []Run {
	up.mu.Lock()
	defer up.mu.Unlock()
	runs := make([]Run, 0, len(up.runs))
	for _, run := range up.runs {
		runs = append(runs, *run)
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (up *Upstream) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if rq.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", up.cf.ID)
		return
	}
	if expected := rq.Header.Get("Expected-Instance"); expected != "" && expected != up.cf.ID {
		rw.Header().Set("Not-Executed", "1")
		rw.Header().Set("Instance-Id", up.cf.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case rq.URL.Path == "/api/grant":
		up.grant(rw, rq)
		return
	case rq.URL.Path == "/api/release":
		up.release(rw, rq)
		return
	case up.cf.Keyed && !up.holdsKey(rq):
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !up.cf.Early {
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
	}
	select {
	case up.queue <- struct{}{}:
		defer func() { <-up.queue }()
	default:
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case up.slots <- struct{}{}:
		defer func() { <-up.slots }()
	case <-rq.Context().Done():
		return
	}
	// The key may have been given up while the request waited.
	up.work.RLock()
	defer up.work.RUnlock()
	if up.cf.Keyed && !up.holdsKey(rq) {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := up.begin(id)
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		up.end(run, false, true)
		return
	}
	work, status := up.cf.Work, http.StatusOK
	if rq.Header.Get("Work") == "long" {
		work = up.cf.LongWork
	}
	if limit, err := strconv.Atoi(rq.Header.Get("Request-Deadline")); err == nil && time.Duration(limit)*time.Millisecond < work {
		work, status = time.Duration(limit)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-rq.Context().Done():
		up.end(run, false, true)
		return
	}
	up.answer(rw, run, status)
}

// begin records that a request begins to run.
func (up *Upstream) begin(id string) *Run {
	up.mu.Lock()
	defer up.mu.Unlock()
	run := &Run{Upstream: up.cf.ID, Request: id, StartedAt: time.Now()}
	up.runs = append(up.runs, run)
	up.record.Printf("%s runs %s", up.cf.ID, id)
	return run
}

func (up *Upstream) end(run *Run, truncated, dropped bool) {
	up.mu.Lock()
	defer up.mu.Unlock()
	run.EndedAt, run.Truncated, run.Dropped = time.Now(), truncated, dropped
	how := "answered"
	switch {
	case truncated:
		how = "broke the answer off"
	case dropped:
		how = "dropped it, as its connection ended"
	}
	up.record.Printf("%s ended %s: %s", up.cf.ID, run.Request, how)
}

// answer answers a request that has run.
func (up *Upstream) answer(rw http.ResponseWriter, run *Run, status int) {
	body := Body(run.Request, up.cf.AnswerBytes)
	up.mu.Lock()
	up.answers++
	truncates := up.cf.TruncateEvery > 0 && up.answers%up.cf.TruncateEvery == 0
	running := len(up.slots)
	up.mu.Unlock()
	rw.Header().Set("Response-Seal", Seal(run.Request, body))
	rw.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", running, max(len(up.queue)-running, 0), up.cf.Slots))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	if truncates {
		_, _ = rw.Write(body[:len(body)*3/4])
		up.end(run, true, false)
		// The connection is closed, as the length was not reached.
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(body)
	up.end(run, false, false)
}

// Body returns the body of the answer to a request.
func Body(request string, size int) []byte {
	body := make([]byte, size)
	for ix := range body {
		body[ix] = request[ix%len(request)]
	}
	return body
}

// Seal returns the seal of an answer.
func Seal(request string, body []byte) string {
	return fmt.Sprintf("%08x.%x.%08x", crc32.ChecksumIEEE([]byte(request)), len(body), crc32.ChecksumIEEE(body))
}
