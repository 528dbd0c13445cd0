// Package upstream is a stand-in for a back end that owns keys: it accepts
// fenced grants, serves requests in a few slots, misbehaves on request, and
// records what it ran and what it owned.
//
//	us := upstream.New("lookup-1", upstream.WithSlots(2))
//	http.ListenAndServe("127.0.0.1:7101", us.Handler())
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/control"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 16 << 20

// Upstream is the stand-in. Its methods may be called from many goroutines.
type Upstream struct {
	name         ident.Upstream
	slots        int
	serviceTime  time.Duration
	checksTokens bool
	coldLimit    int
	coldFor      time.Duration
	clock        clock.Clock

	mu          sync.Mutex
	incarnation int
	coldUntil   clock.Instant
	faults      Faults
	thawed      chan struct{}
	holdings    map[ident.Pool]*holding
	running     map[*running]struct{}
	cancelled   cancelledSet
	loads       []load
	record      record
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

// WithColdStart makes the stand-in bear only the limit, in requests at a time,
// for a while after each start.
func WithColdStart(limit int, dr time.Duration) Option {
	return func(us *Upstream) {
		us.coldLimit = limit
		us.coldFor = dr
	}
}

// New makes a stand-in with 2 slots and a service time of 2 ms that is warm.
func New(name ident.Upstream, opts ...Option) *Upstream {
	us := &Upstream{
		name:        name,
		slots:       2,
		serviceTime: 2 * time.Millisecond,
		coldLimit:   1,
		clock:       clock.Boot{},
		thawed:      make(chan struct{}),
		holdings:    map[ident.Pool]*holding{},
		running:     map[*running]struct{}{},
	}
	for _, opt := range opts {
		opt(us)
	}
	us.coldUntil = us.clock.Now().Add(us.coldFor)
	return us
}

// Restart forgets all grants and what is running, as a new process under the
// same address would; what was running gets no answer.
func (us *Upstream) Restart() {
	us.mu.Lock()
	defer us.mu.Unlock()
	us.restart(us.clock.Now())
}

// restart is Restart for a caller that holds the lock.
func (us *Upstream) restart(now clock.Instant) {
	us.incarnation++
	us.coldUntil = now.Add(us.coldFor)
	for _, ho := range us.holdings {
		us.record.keep(ho.end(us.name, now))
	}
	us.holdings = map[ident.Pool]*holding{}
	for rg := range us.running {
		rg.stop(endLost)
	}
	us.running = map[*running]struct{}{}
}

// incarnationName changes with every start; the caller holds the lock.
func (us *Upstream) incarnationName() string {
	return fmt.Sprintf("%s-%d", us.name, us.incarnation)
}

// cold tells whether only the cold limit is borne; the caller holds the lock.
func (us *Upstream) cold(now clock.Instant) bool {
	return now.Before(us.coldUntil)
}

// Handler serves requests, the control endpoint, and for tests
//
//	POST /_stand/fault    replaces the Faults by the JSON of its body
//	POST /_stand/restart  starts a new incarnation
//	GET  /_stand/record   the Totals of what was recorded
func (us *Upstream) Handler() http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("POST /_stand/fault", us.serveFault)
	mx.HandleFunc("POST /_stand/restart", func(http.ResponseWriter, *http.Request) { us.Restart() })
	mx.HandleFunc("GET /_stand/record", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, us.Totals()) })
	mx.HandleFunc("POST "+control.GrantPath, us.serveGrant)
	mx.HandleFunc("POST "+control.CancelPath, us.serveCancel)
	mx.HandleFunc("GET "+control.ReportPath, us.serveReport)
	mx.HandleFunc("/", us.serveRequest)
	return mx
}

func (us *Upstream) serveFault(rw http.ResponseWriter, rq *http.Request) {
	var fa Faults
	dc := json.NewDecoder(io.LimitReader(rq.Body, maxBodyBytes))
	dc.DisallowUnknownFields()
	if err := dc.Decode(&fa); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	us.SetFaults(fa)
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}
