// Package fakeupstream is a stand-in for an upstream: it runs requests in a few
// slots, queues a few more, owns keys by grants that it checks, and records
// what it saw, which is what a test judges by.
//
//	tg, err := fakeupstream.Start(fakeupstream.Config{ID: "i-1", Slots: 2, Keyed: true})
//	defer tg.Close()
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
	// Deaf upstreams accept connections and never answer.
	Deaf bool
}

// CallerField is the header field with a caller's own name for its request,
// which routers pass on unchanged.
const CallerField = "Caller-Request"

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

// Target is a running stand-in.
type Target struct {
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
	changes []Holding
}

// Holding is a change of the keys that an upstream holds.
type Holding struct {
	At       time.Time
	Until    time.Time
	From, To int
	Epoch    uint64
	Released bool
}

// Start listens and serves.
func Start(cf Config) (*Target, error) {
	ln, err := net.Listen("tcp", cf.Address)
	if err != nil {
		return nil, err
	}
	tg := &Target{cf: cf, listener: ln, began: time.Now(), random: rand.New(rand.NewSource(cf.Seed + 1)), faults: Faults{Slow: 1}}
	tg.freed = sync.NewCond(&tg.mu)
	tg.server = &http.Server{Handler: tg, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		// Serve ends when the listener is closed.
		_ = tg.server.Serve(ln)
	}()
	return tg, nil
}

// Config is what the upstream was started with, its address included.
func (tg *Target) Config() Config {
	cf := tg.cf
	cf.Address = tg.listener.Addr().String()
	return cf
}

// Close ends the upstream as a crash does.
func (tg *Target) Close() { _ = tg.server.Close() }

// Break sets what is wrong from now on.
func (tg *Target) Break(fl Faults) {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if fl.Slow == 0 {
		fl.Slow = 1
	}
	tg.faults = fl
}

// Runs lists what was run.
func (tg *Target) Runs() []Run {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return append([]Run(nil), tg.runs...)
}

// Holdings lists the changes of the keys held.
func (tg *Target) Holdings() []Holding {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return append([]Holding(nil), tg.changes...)
}

// MaxCold is the most requests that came in any one second while cold.
func (tg *Target) MaxCold() int {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	most, first := 0, 0
	for last, at := range tg.cold {
		for at.Sub(tg.cold[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Entry is what the upstream writes of itself to the store.
func (tg *Target) Entry(sequence int, state string) []byte {
	left := max(tg.cf.ColdFor-time.Since(tg.began), 0).Seconds()
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-s":%.3f,"sequence":%d,"born":%d}`,
		tg.cf.Service, tg.listener.Addr(), tg.cf.Zone, tg.cf.Slots, state, left, sequence, tg.began.UnixMilli())
}

// Seal is the signature of an answer.
func Seal(request string, body []byte) string {
	sum := sha256.Sum256(append([]byte(request+"\x00"), body...))
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP implements http.Handler.
func (tg *Target) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	if want := rq.Header.Get("Expected-Instance"); want != "" && want != tg.cf.ID {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch rq.URL.Path {
	case "/api/grant":
		tg.grant(rw, rq)
	case "/api/release":
		tg.release(rw, rq)
	case faultsPath:
		tg.setFaults(rw, rq)
	case runsPath:
		tg.listRuns(rw)
	default:
		tg.serve(rw, rq)
	}
}

type claim struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold-s"`
}

func (tg *Target) grant(rw http.ResponseWriter, rq *http.Request) {
	var cl claim
	if err := json.NewDecoder(rq.Body).Decode(&cl); err != nil || cl.From < 0 || cl.To >= 1<<16 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	tg.mu.Lock()
	late := tg.random.Float64() < tg.faults.LateGrants
	deaf := tg.faults.Deaf
	tg.mu.Unlock()
	if deaf {
		<-rq.Context().Done()
		return
	}
	if late {
		time.AfterFunc(2*time.Second, func() { tg.take(cl, arrived) })
		<-rq.Context().Done()
		return
	}
	rw.WriteHeader(tg.take(cl, arrived))
}

func (tg *Target) take(cl claim, arrived time.Time) int {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	for key := cl.From; key <= cl.To; key++ {
		if tg.epochs[key] > cl.Fence {
			return http.StatusConflict
		}
	}
	until := arrived.Add(time.Duration(cl.Hold * float64(time.Second)))
	for key := cl.From; key <= cl.To; key++ {
		tg.epochs[key], tg.until[key] = cl.Fence, until
	}
	tg.changes = append(tg.changes, Holding{At: time.Now(), Until: until, From: cl.From, To: cl.To, Epoch: cl.Fence})
	return http.StatusOK
}

func (tg *Target) release(rw http.ResponseWriter, rq *http.Request) {
	var cl claim
	if err := json.NewDecoder(rq.Body).Decode(&cl); err != nil || cl.From < 0 || cl.To >= 1<<16 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	tg.mu.Lock()
	for key := cl.From; key <= cl.To; key++ {
		tg.until[key] = time.Time{}
	}
	tg.changes = append(tg.changes, Holding{At: time.Now(), From: cl.From, To: cl.To, Epoch: cl.Fence, Released: true})
	for tg.running > 0 {
		tg.freed.Wait()
	}
	tg.mu.Unlock()
	rw.Header().Set("Handover", "warm")
	rw.WriteHeader(http.StatusOK)
}

// serve runs a request or says that it did not.
func (tg *Target) serve(rw http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("Request-Id")
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Request-Id", id)
	key, keyErr := strconv.Atoi(rq.Header.Get("Shard-Key"))
	if !tg.admit(rw, rq, key, keyErr == nil) {
		return
	}
	tg.mu.Lock()
	fl := tg.faults
	wait := time.Duration(float64(tg.cf.Work) * fl.Slow)
	draw := tg.random.Float64()
	tg.runs = append(tg.runs, Run{Caller: rq.Header.Get(CallerField), Request: id, At: time.Now(), Key: key, Held: !tg.cf.Keyed || time.Now().Before(tg.until[key])})
	tg.mu.Unlock()
	limit, err := strconv.Atoi(rq.Header.Get("Request-Deadline"))
	status := http.StatusOK
	if err == nil && wait > time.Duration(limit)*time.Millisecond {
		wait, status = time.Duration(limit)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(wait):
	case <-rq.Context().Done():
	}
	tg.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", tg.running, tg.queued, tg.cf.Slots)
	tg.running--
	tg.freed.Broadcast()
	tg.mu.Unlock()
	tg.answer(rw, id, status, load, body, fl, draw)
}

// admit waits for a slot; false means that the request was answered.
func (tg *Target) admit(rw http.ResponseWriter, rq *http.Request, key int, keyed bool) bool {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.faults.Deaf {
		tg.mu.Unlock()
		<-rq.Context().Done()
		tg.mu.Lock()
		return false
	}
	if time.Since(tg.began) < tg.cf.ColdFor {
		tg.cold = append(tg.cold, time.Now())
	}
	if tg.cf.Keyed && (!keyed || !time.Now().Before(tg.until[key])) {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if tg.random.Float64() < tg.faults.Shed {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if tg.running >= tg.cf.Slots && tg.queued >= tg.cf.Queue {
		hijackAndReset(rw)
		return false
	}
	tg.queued++
	for tg.running >= tg.cf.Slots {
		tg.freed.Wait()
	}
	tg.queued--
	tg.running++
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
func (tg *Target) answer(rw http.ResponseWriter, id string, status int, load string, body []byte, fl Faults, draw float64) {
	reply := make([]byte, max(tg.cf.AnswerBytes, 1))
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
		tg.stray(rw, id, status, load, reply)
	default:
		rw.WriteHeader(status)
		// A caller that left needs no answer.
		_, _ = rw.Write(reply)
	}
}

// stray writes an answer to another request before the one that is due.
func (tg *Target) stray(rw http.ResponseWriter, id string, status int, load string, reply []byte) {
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
