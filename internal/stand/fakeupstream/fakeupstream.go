// Package fakeupstream is a stand-in for an upstream: it runs requests in a few
// slots, queues a few more, owns keys by grants that it checks, and records
// what it saw, which is what a test judges by.
//
//	up, err := fakeupstream.Start(fakeupstream.Config{ID: "i-1", Slots: 2, Keyed: true})
//	defer up.Close()
package fakeupstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Config says how an upstream is.
type Config struct {
	ID      string
	Address string
	Service string
	Zone    string
	Slots   int
	// Queue is how many requests wait beyond the slots; more are reset.
	Queue int
	Keyed bool
	// Work is how long a request takes.
	Work time.Duration
	// AnswerBytes is the size of an answer's body.
	AnswerBytes int
	// ColdFor is how long it is cold after its start, ColdRate how many
	// requests a second it can take then.
	ColdFor  time.Duration
	ColdRate float64
	Seed     int64
}

// Faults are what is wrong with an upstream.
type Faults struct {
	// Slow multiplies the time of work.
	Slow float64
	// Truncate, Reset, Shed and Stray are shares of requests: answers that
	// break off, answers that are lost, refusals, answers that are followed by
	// one to an earlier request.
	Truncate, Reset, Shed, Stray float64
	// LateGrants is the share of grants that are not answered and take effect
	// later.
	LateGrants float64
	// Unresponsive upstreams accept connections and never answer.
	Unresponsive bool
}

// CallerRequestHeader is the header field with a caller's own name for its request,
// which routers pass on unchanged.
const CallerRequestHeader = "Caller-Request"

// Run is one request that was run.
type Run struct {
	// Caller is the caller's own name for the request.
	Caller  string
	Request string
	At      time.Time
	Key     int
	// Held tells whether the upstream held the request's key when it began.
	Held bool
}

// Upstream is a running stand-in.
type Upstream struct {
	cf       Config
	server   *http.Server
	listener net.Listener
	began    time.Time

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	running int
	queued  int
	runs    []Run
	// cold are the arrivals while cold.
	cold    []time.Time
	epochs  [1 << 16]uint64
	until   [1 << 16]time.Time
	freed   *sync.Cond
	changes []GrantChange
}

// GrantChange is a change of the keys that an upstream holds.
type GrantChange struct {
	At       time.Time
	Until    time.Time
	From, To int
	Epoch    uint64
	Released bool
}

// Start listens and serves.
func Start(cf Config) (*Upstream, error) {
	ln, err := net.Listen("tcp", cf.Address)
	if err != nil {
		return nil, err
	}
	up := &Upstream{cf: cf, listener: ln, began: time.Now(), random: rand.New(rand.NewSource(cf.Seed + 1)), faults: Faults{Slow: 1}}
	up.freed = sync.NewCond(&up.mu)
	up.server = &http.Server{Handler: up, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve ends when the listener is closed.
		_ = up.server.Serve(ln)
	}()
	return up, nil
}

// Config is what the upstream was started with, its address included.
func (up *Upstream) Config() Config {
	cf := up.cf
	cf.Address = up.listener.Addr().String()
	return cf
}

// Close ends the upstream as a crash does.
func (up *Upstream) Close() { _ = up.server.Close() }

// SetFaults sets what is wrong from now on.
func (up *Upstream) SetFaults(fl Faults) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if fl.Slow == 0 {
		fl.Slow = 1
	}
	up.faults = fl
}

// Runs lists what was run.
func (up *Upstream) Runs() []Run {
	up.mu.Lock()
	defer up.mu.Unlock()
	return append([]Run(nil), up.runs...)
}

// GrantChanges lists the changes of the keys held.
func (up *Upstream) GrantChanges() []GrantChange {
	up.mu.Lock()
	defer up.mu.Unlock()
	return append([]GrantChange(nil), up.changes...)
}

// MaxColdRate is the most requests that came in any one second while cold.
func (up *Upstream) MaxColdRate() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	most, first := 0, 0
	for last, at := range up.cold {
		for at.Sub(up.cold[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Entry is what the upstream writes of itself to the store.
func (up *Upstream) Entry(sequence int, state string) []byte {
	left := max(up.cf.ColdFor-time.Since(up.began), 0).Seconds()
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-s":%.3f,"sequence":%d,"born":%d}`,
		up.cf.Service, up.listener.Addr(), up.cf.Zone, up.cf.Slots, state, left, sequence, up.began.UnixMilli())
}

// Seal is the signature of an answer.
func Seal(request string, body []byte) string {
	sum := sha256.Sum256(append([]byte(request+"\x00"), body...))
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP implements http.Handler.
func (up *Upstream) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	if want := rq.Header.Get("Expected-Instance"); want != "" && want != up.cf.ID {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch rq.URL.Path {
	case "/api/grant":
		up.grant(rw, rq)
	case "/api/release":
		up.release(rw, rq)
	case faultsPath:
		up.setFaults(rw, rq)
	case runsPath:
		up.listRuns(rw)
	default:
		up.serve(rw, rq)
	}
}

type claim struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold-s"`
}

func (up *Upstream) grant(rw http.ResponseWriter, rq *http.Request) {
	var cl claim
	if err := json.NewDecoder(rq.Body).Decode(&cl); err != nil || cl.From < 0 || cl.To >= 1<<16 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	up.mu.Lock()
	late := up.random.Float64() < up.faults.LateGrants
	deaf := up.faults.Unresponsive
	up.mu.Unlock()
	if deaf {
		<-rq.Context().Done()
		return
	}
	if late {
		time.AfterFunc(2*time.Second, func() { up.take(cl, arrived) })
		<-rq.Context().Done()
		return
	}
	rw.WriteHeader(up.take(cl, arrived))
}

func (up *Upstream) take(cl claim, arrived time.Time) int {
	up.mu.Lock()
	defer up.mu.Unlock()
	for key := cl.From; key <= cl.To; key++ {
		if up.epochs[key] > cl.Fence {
			return http.StatusConflict
		}
	}
	until := arrived.Add(time.Duration(cl.Hold * float64(time.Second)))
	for key := cl.From; key <= cl.To; key++ {
		up.epochs[key], up.until[key] = cl.Fence, until
	}
	up.changes = append(up.changes, GrantChange{At: time.Now(), Until: until, From: cl.From, To: cl.To, Epoch: cl.Fence})
	return http.StatusOK
}

func (up *Upstream) release(rw http.ResponseWriter, rq *http.Request) {
	var cl claim
	if err := json.NewDecoder(rq.Body).Decode(&cl); err != nil || cl.From < 0 || cl.To >= 1<<16 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	up.mu.Lock()
	for key := cl.From; key <= cl.To; key++ {
		up.until[key] = time.Time{}
	}
	up.changes = append(up.changes, GrantChange{At: time.Now(), From: cl.From, To: cl.To, Epoch: cl.Fence, Released: true})
	for up.running > 0 {
		up.freed.Wait()
	}
	up.mu.Unlock()
	rw.Header().Set("Handover", "warm")
	rw.WriteHeader(http.StatusOK)
}

// serve runs a request or says that it did not.
func (up *Upstream) serve(rw http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("Request-Id")
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Request-Id", id)
	key, keyErr := strconv.Atoi(rq.Header.Get("Shard-Key"))
	if !up.admit(rw, rq, key, keyErr == nil) {
		return
	}
	up.mu.Lock()
	fl := up.faults
	wait := time.Duration(float64(up.cf.Work) * fl.Slow)
	draw := up.random.Float64()
	up.runs = append(up.runs, Run{Caller: rq.Header.Get(CallerRequestHeader), Request: id, At: time.Now(), Key: key, Held: !up.cf.Keyed || time.Now().Before(up.until[key])})
	up.mu.Unlock()
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
	up.freed.Broadcast()
	up.mu.Unlock()
	up.answer(rw, id, status, load, body, fl, draw)
}

// admit waits for a slot; false means that the request was answered.
func (up *Upstream) admit(rw http.ResponseWriter, rq *http.Request, key int, keyed bool) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.faults.Unresponsive {
		up.mu.Unlock()
		<-rq.Context().Done()
		up.mu.Lock()
		return false
	}
	if time.Since(up.began) < up.cf.ColdFor {
		up.cold = append(up.cold, time.Now())
	}
	if up.cf.Keyed && (!keyed || !time.Now().Before(up.until[key])) {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if up.random.Float64() < up.faults.Shed {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if up.running >= up.cf.Slots && up.queued >= up.cf.Queue {
		hijackAndReset(rw)
		return false
	}
	up.queued++
	for up.running >= up.cf.Slots {
		up.freed.Wait()
	}
	up.queued--
	up.running++
	return true
}

func hijackAndReset(rw http.ResponseWriter) {
	hj, ok := rw.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hj.Hijack()
	if err != nil {
		return
	}
	if tc, ok := conn.(*net.TCPConn); ok {
		// A reset is the point; a close that fails has nothing to add.
		_ = tc.SetLinger(0)
	}
	_ = conn.Close()
}

// answer writes an answer, or breaks it as the faults say.
func (up *Upstream) answer(rw http.ResponseWriter, id string, status int, load string, body []byte, fl Faults, draw float64) {
	reply := make([]byte, max(up.cf.AnswerBytes, 1))
	for ix := range reply {
		reply[ix] = 'a' + byte(ix%26)
	}
	reply = append(reply, body...)
	rw.Header().Set("Server-Load", load)
	rw.Header().Set("Response-Seal", Seal(id, reply))
	switch {
	case draw < fl.Reset:
		hijackAndReset(rw)
	case draw < fl.Reset+fl.Truncate:
		rw.Header().Set("Content-Length", strconv.Itoa(len(reply)+10))
		rw.WriteHeader(status)
		_, _ = rw.Write(reply)
		panic(http.ErrAbortHandler)
	case draw < fl.Reset+fl.Truncate+fl.Stray:
		up.stray(rw, id, status, load, reply)
	default:
		rw.WriteHeader(status)
		// A caller that left needs no answer.
		_, _ = rw.Write(reply)
	}
}

// stray writes an answer to another request before the one that is due.
func (up *Upstream) stray(rw http.ResponseWriter, id string, status int, load string, reply []byte) {
	hj, ok := rw.(http.Hijacker)
	if !ok {
		return
	}
	conn, out, err := hj.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, request := range []string{"stray-" + id, id} {
		fmt.Fprintf(out, "HTTP/1.1 %d OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, request, Seal(request, reply), load, len(reply), reply)
	}
	_ = out.Flush()
}
