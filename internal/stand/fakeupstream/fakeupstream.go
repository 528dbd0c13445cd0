// Package fakeupstream is a stand-in for an upstream. It runs requests in a few
// slots, queues a few more, owns keys by grants whose epochs it checks, injects
// faults, and records its requests and grants for tests to check.
//
//	up, err := fakeupstream.Start(fakeupstream.Config{ID: "i-1", Slots: 2, Keyed: true})
//	defer up.Close()
package fakeupstream

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config is the configuration of an upstream.
type Config struct {
	// ID is the instance ID; requests that expect another one are refused.
	ID string
	// Address is the IP:PORT to listen on; port 0 picks a free one.
	Address string
	Service string
	Zone    string
	// Slots is how many requests run at a time.
	Slots int
	// Queue is how many requests may wait for a slot. Connections of further
	// requests are reset.
	Queue int
	// Keyed upstreams run only requests whose keys were granted to them.
	Keyed bool
	// Work is how long a request takes.
	Work time.Duration
	// AnswerBytes is the size of an answer's body, without the request's body,
	// which is appended to it.
	AnswerBytes int
	// ColdTime is how long the upstream is cold after its start. ColdRate is how
	// many requests per second it should get during that time; it isn't enforced.
	ColdTime time.Duration
	ColdRate float64
	// Seed is the seed of the random faults.
	Seed int64
	// DeadlySuffix ends the paths of the requests that crash the upstream soon after they
	// have begun to run, unless their body or cookie is Harmless; with an empty one there are
	// none. OnCrash is called after that.
	DeadlySuffix string
	OnCrash      func()
}

// Faults are the faults that an upstream injects.
type Faults struct {
	// Slow multiplies the duration of requests; 0 counts as 1.
	Slow float64
	// Truncate, Reset, Shed and Stray are the shares of requests (0 to 1) whose
	// answer is truncated, whose connection is reset after they ran, that are
	// refused, and whose answer is preceded by one to another request.
	Truncate, Reset, Shed, Stray float64
	// LateGrants is the share of grants (0 to 1) that take effect after two
	// seconds and are never answered.
	LateGrants float64
	// Leaving upstreams say so in all their answers.
	Leaving bool
	// Limit is the limit that all answers name; with an empty one they name none.
	Limit string
	// PauseMs is what refusals by Shed ask of their host, in milliseconds: to send no
	// request for so long.
	PauseMs int
	// Pour is the share of requests (0 to 1) that are answered with bytes without end,
	// in the head or the body, until the client closes the connection.
	Pour float64
	// Unresponsive upstreams accept connections but answer neither requests nor
	// grants.
	Unresponsive bool
}

// CallerRequestHeader is the header field with the caller's own ID of its
// request. Routers pass it on unchanged.
const CallerRequestHeader = "Caller-Request"

// Run records one request that ran.
type Run struct {
	// CallerRequest is the caller's own ID of the request, Request its Request-Id.
	CallerRequest string
	Request       string
	// At is when the request started to run.
	At  time.Time
	Key int
	// Crashed reports whether the upstream has ended under the request, which is deadly. It may
	// have been another one beside it that was first.
	Crashed bool
	// Held reports whether the upstream held the key at that time. It is always
	// true if the upstream isn't keyed.
	Held bool
}

// Upstream is a running stand-in. It is safe for concurrent use.
type Upstream struct {
	cf        Config
	server    *http.Server
	listener  net.Listener
	startedAt time.Time

	mu      sync.Mutex
	endedAt time.Time
	faults  Faults
	random  *rand.Rand
	running int
	queued  int
	runs    []Run
	// coldArrivals are the arrival times of requests while the upstream is cold.
	coldArrivals []time.Time
	// epochs and heldUntil are indexed by key.
	epochs       [1 << 16]uint64
	heldUntil    [1 << 16]time.Time
	slotFreed    *sync.Cond
	grantChanges []GrantChange
	// pauses holds the newest pause of each host, by IP address.
	pauses map[string]*pause
	// pours is the number of answers without end.
	pours int
	// limitChanges and arrivals are what LimitExcess compares.
	limitChanges []limitChange
	arrivals     []time.Time
	// mostInPause is the largest number of requests from one host in a pause.
	mostInPause int
}

// Start starts an upstream, which holds no keys at first. It fails if the address
// cannot be listened on.
func Start(cf Config) (*Upstream, error) {
	ln, err := net.Listen("tcp", cf.Address)
	if err != nil {
		return nil, err
	}
	up := &Upstream{cf: cf, listener: ln, startedAt: time.Now(), random: rand.New(rand.NewSource(cf.Seed + 1)), faults: Faults{Slow: 1}, pauses: map[string]*pause{}}
	up.slotFreed = sync.NewCond(&up.mu)
	up.server = &http.Server{Handler: up, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve returns when the listener is closed.
		_ = up.server.Serve(ln)
	}()
	return up, nil
}

// Config returns the upstream's configuration with the address that it listens on.
func (up *Upstream) Config() Config {
	cf := up.cf
	cf.Address = up.listener.Addr().String()
	return cf
}

// Close stops the upstream at once and closes its connections, like a crash.
func (up *Upstream) Close() {
	_ = up.server.Close()
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.endedAt.IsZero() {
		up.endedAt = time.Now()
	}
}

// Harmless is the body or the cookie of requests that crash no upstream.
const Harmless = "harmless"

func (up *Upstream) deadly(rq *http.Request, body []byte) bool {
	return up.cf.DeadlySuffix != "" && strings.HasSuffix(rq.URL.Path, up.cf.DeadlySuffix) && string(body) != Harmless && rq.Header.Get("Cookie") != Harmless
}

// crashDelay is how long a deadly request runs before it crashes the upstream.
const crashDelay = 15 * time.Millisecond

// crash ends the upstream under a deadly request, unless it has ended.
func (up *Upstream) crash(request string) {
	up.mu.Lock()
	ended := !up.endedAt.IsZero()
	for ix := range up.runs {
		if up.runs[ix].Request == request {
			up.runs[ix].Crashed = true
		}
	}
	if !ended {
		up.endedAt = time.Now()
	}
	up.mu.Unlock()
	if ended {
		return
	}
	up.Close()
	if up.cf.OnCrash != nil {
		up.cf.OnCrash()
	}
}

// EndedAt returns when the upstream was closed, zero while it runs.
func (up *Upstream) EndedAt() time.Time {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.endedAt
}

// SetFaults replaces the faults that are injected from now on.
func (up *Upstream) SetFaults(fl Faults) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if fl.Slow == 0 {
		fl.Slow = 1
	}
	up.faults = fl
	up.noteLimit(fl.Limit)
}

// Runs returns the requests that ran, in the order of their start.
func (up *Upstream) Runs() []Run {
	up.mu.Lock()
	defer up.mu.Unlock()
	return append([]Run(nil), up.runs...)
}

// MaxColdRate returns the largest number of requests that arrived within one
// second while the upstream was cold.
func (up *Upstream) MaxColdRate() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	most, first := 0, 0
	for last, at := range up.coldArrivals {
		for at.Sub(up.coldArrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Entry returns the upstream's entry in the store, as JSON.
func (up *Upstream) Entry(sequence int, state string) []byte {
	left := max(up.cf.ColdTime-time.Since(up.startedAt), 0).Seconds()
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-s":%.3f,"sequence":%d,"born":%d}`,
		up.cf.Service, up.listener.Addr(), up.cf.Zone, up.cf.Slots, state, left, sequence, up.startedAt.UnixMilli())
}

// ServeHTTP implements http.Handler.
func (up *Upstream) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	if want := rq.Header.Get("Expected-Instance"); want != "" && want != up.cf.ID {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	up.mu.Lock()
	if up.faults.Leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	up.setLimitHeader(rw)
	up.mu.Unlock()
	switch rq.URL.Path {
	case "/api/grant":
		up.handleGrant(rw, rq)
	case "/api/release":
		up.handleRelease(rw, rq)
	case faultsPath:
		up.handleFaults(rw, rq)
	case runsPath:
		up.handleRuns(rw)
	default:
		up.handleRequest(rw, rq)
	}
}

// handleRequest runs a request, or refuses it with Not-Executed.
func (up *Upstream) handleRequest(rw http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("Request-Id")
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Request-Id", id)
	key, keyErr := strconv.Atoi(rq.Header.Get("Shard-Key"))
	if !up.admit(rw, rq, key, keyErr == nil && key >= 0 && key < 1<<16) {
		return
	}
	up.mu.Lock()
	fl := up.faults
	wait := time.Duration(float64(up.cf.Work) * fl.Slow)
	draw := up.random.Float64()
	up.mu.Unlock()
	if up.deadly(rq, body) {
		time.Sleep(crashDelay)
		up.crash(id)
		panic(http.ErrAbortHandler)
	}
	limit, err := strconv.Atoi(rq.Header.Get("Request-Deadline"))
	status := http.StatusOK
	if err == nil && wait > time.Duration(limit)*time.Millisecond {
		wait, status = time.Duration(limit)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(wait):
	case <-rq.Context().Done():
	}
	up.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", up.running, up.queued, up.cf.Slots)
	up.running--
	up.slotFreed.Broadcast()
	up.mu.Unlock()
	up.writeAnswer(rw, id, status, load, body, fl, draw)
}

// admit waits for a slot and records the run. It returns false if the request must not
// run; it has then been refused, reset or abandoned by its client.
func (up *Upstream) admit(rw http.ResponseWriter, rq *http.Request, key int, keyed bool) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.faults.Unresponsive {
		up.mu.Unlock()
		<-rq.Context().Done()
		up.mu.Lock()
		return false
	}
	if time.Since(up.startedAt) < up.cf.ColdTime {
		up.coldArrivals = append(up.coldArrivals, time.Now())
	}
	if up.cf.Keyed && (!keyed || !up.holds(key, time.Now())) {
		refuseKey(rw)
		return false
	}
	up.notePause(rq)
	up.arrivals = append(up.arrivals, time.Now())
	if up.random.Float64() < up.faults.Shed {
		up.shed(rw, rq)
		return false
	}
	if up.running >= up.cf.Slots && up.queued >= up.cf.Queue {
		resetConnection(rw)
		return false
	}
	up.queued++
	for up.running >= up.cf.Slots {
		up.slotFreed.Wait()
	}
	up.queued--
	// The key may have been lost in the queue. The decision and its record have one time and
	// no unlock between them, since a release could come there.
	now := time.Now()
	held := !up.cf.Keyed || up.holds(key, now)
	if !held {
		refuseKey(rw)
		return false
	}
	up.running++
	up.runs = append(up.runs, Run{CallerRequest: rq.Header.Get(CallerRequestHeader), Request: rq.Header.Get("Request-Id"), At: now, Key: key, Held: held})
	return true
}

// holds reports whether the upstream holds a key. up.mu must be held.
func (up *Upstream) holds(key int, now time.Time) bool {
	return now.Before(up.heldUntil[key])
}

// refuseKey refuses a request whose key the upstream does not hold.
func refuseKey(rw http.ResponseWriter) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(http.StatusMisdirectedRequest)
}
