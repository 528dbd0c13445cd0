// Package upstream is a stand-in for a back end that owns keys: it accepts
// fenced grants, serves requests in a few slots, and records what it ran.
//
//	us := upstream.New("lookup-1", upstream.WithSlots(2))
//	http.ListenAndServe("127.0.0.1:7101", us.Handler())
package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/control"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 16 << 20

// bodyChunkBytes is the size of the pieces in which large answers are sent.
const bodyChunkBytes = 16 << 10

// Faults are the ways in which the stand-in misbehaves.
type Faults struct {
	// SlowFactor multiplies the service time; 0 and 1 leave it.
	SlowFactor float64 `json:"slowFactor"`
	// Shed refuses every request as not run.
	Shed bool `json:"shed"`
	// Frozen holds every answer until it is cleared.
	Frozen bool `json:"frozen"`
}

// Run is one request that the stand-in ran.
type Run struct {
	Request  ident.Request
	Pool     ident.Pool
	Slice    string
	Method   string
	Started  time.Time
	Ended    time.Time
	Upstream ident.Upstream
}

// holding is what a pool granted.
type holding struct {
	token  grant.Token
	slices map[ident.Slice]bool
	until  clock.Instant
}

// Upstream is the stand-in. Its methods may be called from many goroutines.
type Upstream struct {
	name         ident.Upstream
	slots        int
	serviceTime  time.Duration
	checksTokens bool
	clock        clock.Clock

	mu          sync.Mutex
	incarnation int
	faults      Faults
	thawed      chan struct{}
	holdings    map[ident.Pool]*holding
	busy        int
	peak        int
	runs        []Run
	cancelled   map[ident.Request]bool
}

// Option changes a stand-in at its making.
type Option func(*Upstream)

// WithSlots sets how many requests are served at a time.
func WithSlots(slots int) Option {
	return func(us *Upstream) { us.slots = slots }
}

// WithServiceTime sets how long one request takes.
func WithServiceTime(dr time.Duration) Option {
	return func(us *Upstream) { us.serviceTime = dr }
}

// WithTokenCheck makes the stand-in refuse stale tokens.
func WithTokenCheck(checks bool) Option {
	return func(us *Upstream) { us.checksTokens = checks }
}

// New makes a stand-in with 2 slots and a service time of 2 ms.
func New(name ident.Upstream, opts ...Option) *Upstream {
	us := &Upstream{
		name:        name,
		slots:       2,
		serviceTime: 2 * time.Millisecond,
		clock:       clock.Boot{},
		thawed:      make(chan struct{}),
		holdings:    map[ident.Pool]*holding{},
		cancelled:   map[ident.Request]bool{},
	}
	for _, opt := range opts {
		opt(us)
	}
	return us
}

// SetFaults replaces the faults.
func (us *Upstream) SetFaults(fa Faults) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if us.faults.Frozen && !fa.Frozen {
		close(us.thawed)
		us.thawed = make(chan struct{})
	}
	us.faults = fa
}

// Restart forgets all grants, as a new process under the same address would.
func (us *Upstream) Restart() {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.incarnation++
	us.holdings = map[ident.Pool]*holding{}
}

// Runs returns what was run so far.
func (us *Upstream) Runs() []Run {
	us.mu.Lock()
	defer us.mu.Unlock()
	return slices.Clone(us.runs)
}

// Peak returns the highest number of requests that were served at a time.
func (us *Upstream) Peak() int {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.peak
}

// Serves tells whether the stand-in would serve the slice now.
func (us *Upstream) Serves(pl ident.Pool, sl ident.Slice) bool {
	us.mu.Lock()
	defer us.mu.Unlock()
	ho := us.holdings[pl]
	return ho != nil && ho.slices[sl] && us.clock.Now().Before(ho.until)
}

// Handler serves requests, the control endpoint, and /_stand/fault and
// /_stand/restart for tests.
func (us *Upstream) Handler() http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("POST /_stand/fault", us.serveFault)
	mx.HandleFunc("POST /_stand/restart", func(http.ResponseWriter, *http.Request) { us.Restart() })
	mx.HandleFunc("POST "+control.GrantPath, us.serveGrant)
	mx.HandleFunc("POST "+control.CancelPath, us.serveCancel)
	mx.HandleFunc("GET "+control.ReportPath, us.serveReport)
	mx.HandleFunc("/", us.serveRequest)
	return mx
}

func (us *Upstream) serveFault(rw http.ResponseWriter, rq *http.Request) {
	var fa Faults
	if err := json.NewDecoder(io.LimitReader(rq.Body, maxBodyBytes)).Decode(&fa); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	us.SetFaults(fa)
}

func (us *Upstream) serveGrant(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	if err != nil {
		return
	}
	od, err := control.DecodeOrder(body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	us.waitThaw()
	answer, err := control.EncodeReply(us.apply(od))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = rw.Write(answer)
}

// apply takes an order unless a higher token was seen for its pool.
func (us *Upstream) apply(od grant.Order) grant.Reply {
	us.mu.Lock()
	defer us.mu.Unlock()
	ho := us.holdings[od.Pool]
	if ho == nil {
		ho = &holding{slices: map[ident.Slice]bool{}}
		us.holdings[od.Pool] = ho
	}
	accepted := !od.Token.Less(ho.token)
	if accepted {
		ho.take(od)
	}
	return grant.Reply{
		Accepted:    accepted,
		Reading:     us.clock.Now(),
		Incarnation: fmt.Sprintf("%s-%d", us.name, us.incarnation),
		Highest:     ho.token,
		Slices:      ho.list(),
		Until:       ho.until,
	}
}

func (ho *holding) take(od grant.Order) {
	ho.token = od.Token
	if od.Until != 0 {
		ho.until = od.Until
	}
	if od.Keep {
		return
	}
	ho.slices = map[ident.Slice]bool{}
	for _, sl := range od.Slices {
		ho.slices[sl] = true
	}
}

func (ho *holding) list() []ident.Slice {
	list := make([]ident.Slice, 0, len(ho.slices))
	for sl := range ho.slices {
		list = append(list, sl)
	}
	slices.Sort(list)
	return list
}

func (us *Upstream) serveCancel(_ http.ResponseWriter, rq *http.Request) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.cancelled[ident.Request(rq.URL.Query().Get("id"))] = true
}

func (us *Upstream) serveReport(rw http.ResponseWriter, _ *http.Request) {
	us.mu.Lock()
	rp := control.Report{Busy: us.busy, Incarnation: fmt.Sprintf("%s-%d", us.name, us.incarnation)}
	us.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(rp)
}

func (us *Upstream) serveRequest(rw http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	if err != nil {
		return
	}
	us.waitThaw()
	refusal, took := us.begin(rq)
	if refusal != "" {
		rw.Header().Set(control.RefusalHeader, refusal)
		http.Error(rw, refusal, http.StatusServiceUnavailable)
		return
	}
	time.Sleep(took)
	us.waitThaw()
	us.finish(ident.Request(rq.Header.Get(control.RequestHeader)))
	us.answer(rw, rq, body)
}

// begin takes a slot and records the run, or names the refusal.
func (us *Upstream) begin(rq *http.Request) (refusal string, took time.Duration) {
	us.mu.Lock()
	defer us.mu.Unlock()
	if us.faults.Shed || us.busy >= us.slots {
		return control.RefusalShed, 0
	}
	if us.checksTokens && !us.covered(rq) {
		return control.RefusalStale, 0
	}
	us.busy++
	us.peak = max(us.peak, us.busy)
	us.runs = append(us.runs, Run{
		Request:  ident.Request(rq.Header.Get(control.RequestHeader)),
		Pool:     ident.Pool(rq.Header.Get(control.PoolHeader)),
		Slice:    rq.Header.Get(control.SliceHeader),
		Method:   rq.Method,
		Started:  time.Now(),
		Upstream: us.name,
	})
	took = us.serviceTime
	if us.faults.SlowFactor > 1 {
		took = time.Duration(float64(took) * us.faults.SlowFactor)
	}
	return "", took
}

// covered tells whether a current grant covers the request's slice and token.
func (us *Upstream) covered(rq *http.Request) bool {
	ho := us.holdings[ident.Pool(rq.Header.Get(control.PoolHeader))]
	if ho == nil || !us.clock.Now().Before(ho.until) {
		return false
	}
	tk, err := control.ParseToken(rq.Header.Get(control.TokenHeader))
	if err != nil || tk.Term != ho.token.Term || tk.Epoch != ho.token.Epoch {
		return false
	}
	text := rq.Header.Get(control.SliceHeader)
	if text == "" {
		return true
	}
	number, err := strconv.ParseUint(text, 10, 32)
	return err == nil && ho.slices[ident.Slice(number)]
}

func (us *Upstream) finish(id ident.Request) {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.busy--
	for ix := len(us.runs) - 1; ix >= 0; ix-- {
		if us.runs[ix].Request == id {
			us.runs[ix].Ended = time.Now()
			return
		}
	}
}

func (us *Upstream) waitThaw() {
	for {
		us.mu.Lock()
		frozen, thawed := us.faults.Frozen, us.thawed
		us.mu.Unlock()
		if !frozen {
			return
		}
		<-thawed
	}
}

// answer echoes what was asked, so that a caller can tell its own answer, and
// pads it to the size that the query's "bytes" states.
func (us *Upstream) answer(rw http.ResponseWriter, rq *http.Request, body []byte) {
	id := rq.Header.Get(control.RequestHeader)
	sum := sha256.Sum256(body)
	head := fmt.Sprintf("%s %s %s by %s body %s\n", id, rq.Method, rq.URL.Path, us.name, hex.EncodeToString(sum[:8]))
	size, _ := strconv.Atoi(rq.URL.Query().Get("bytes"))
	size = max(size, len(head))
	rw.Header().Set("Chervilstand-Upstream", string(us.name))
	rw.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.WriteString(rw, head)
	fill := strings.Repeat(id+"\n", bodyChunkBytes/(len(id)+1)+1)
	for left := size - len(head); left > 0; left -= bodyChunkBytes {
		_, _ = io.WriteString(rw, fill[:min(left, bodyChunkBytes)])
	}
}
