package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/entry"
	"chervilwalk/internal/serving/verdict"
)

const (
	// largeBodyBytes is the size of a certificate bundle or a pattern sheet.
	largeBodyBytes = 1 << 20
	// keySpace is how many keys the load uses for each service.
	keySpace = 2000
	// workers is how many callers ask at a time.
	workers = 32
	// probedKeys is how many keys are asked for again and again.
	probedKeys = 32
	// probeEvery is the time between two requests for a probed key.
	probeEvery = 200 * time.Millisecond
	// callerTimeout is above the longest deadline of the examples' services.
	callerTimeout = 90 * time.Second
	// maxEntries is how many entries one request tries to connect to.
	maxEntries = 4
)

// outcome is what one caller got.
type outcome struct {
	id      ident.Request
	service ident.Service
	key     string
	verdict verdict.Verdict
	status  int
	reason  string
	// wrong is an answer that is whole but not the request's own.
	wrong bool
	// truncated is an answer that looked whole to its caller and was not.
	truncated bool
	// cut is an answer whose end the caller saw to be missing.
	cut   bool
	took  time.Duration
	ended time.Time
}

// Load is a mixed load on one fleet.
type Load struct {
	fleet    *Fleet
	services []bundle.Service
	balancer *balancer
	client   *http.Client
	done     atomic.Int64
	begun    time.Time

	mu       sync.Mutex
	outcomes []outcome
	probes   []outcome
}

// NewLoad makes a load for a fleet.
func NewLoad(fl *Fleet) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * workers, DisableCompression: true}
	return &Load{
		fleet:    fl,
		services: fl.Bundle.Services,
		balancer: newBalancer(fl),
		client:   &http.Client{Transport: transport, Timeout: callerTimeout},
	}
}

// Done returns how many requests have their outcome.
func (ld *Load) Done() int {
	return int(ld.done.Load())
}

// Run sends requests at an even pace over the given time; the seed fixes what
// is asked. A few keys are asked for again and again meanwhile.
func (ld *Load) Run(ctx context.Context, seed uint64, requests int, over time.Duration) {
	ld.begun = time.Now()
	balancing, stop := context.WithCancel(ctx)
	var wg, background sync.WaitGroup
	background.Go(func() { ld.balancer.run(balancing) })
	background.Go(func() { ld.probe(balancing, seed) })
	start := ld.begun
	var next atomic.Int64
	for range workers {
		wg.Go(func() {
			for {
				number := next.Add(1) - 1
				due := start.Add(over * time.Duration(number) / time.Duration(max(requests, 1)))
				if number >= int64(requests) || !sleepUntil(ctx, due) {
					return
				}
				// A request that was begun gets its outcome.
				ld.one(context.WithoutCancel(ctx), rand.New(rand.NewPCG(seed, uint64(number))))
			}
		})
	}
	wg.Wait()
	stop()
	background.Wait()
	ld.client.CloseIdleConnections()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (ld *Load) one(ctx context.Context, rn *rand.Rand) {
	sv := &ld.services[pickService(rn)]
	key := fmt.Sprintf("item-%d", rn.IntN(keySpace))
	oc := ld.ask(ctx, request(sv, key, rn), rn)
	ld.done.Add(1)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.outcomes = append(ld.outcomes, oc)
}

// probe asks for a few keys of the keyed service at a steady pace.
func (ld *Load) probe(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for number := range probedKeys {
		wg.Go(func() {
			rn := rand.New(rand.NewPCG(seed, uint64(number)))
			sleepUntil(ctx, time.Now().Add(probeEvery*time.Duration(number)/probedKeys))
			for ctx.Err() == nil {
				due := time.Now().Add(probeEvery)
				sv := &ld.services[0]
				oc := ld.ask(context.WithoutCancel(ctx), request(sv, fmt.Sprintf("probe-%d", number), rn), rn)
				ld.mu.Lock()
				ld.probes = append(ld.probes, oc)
				ld.mu.Unlock()
				sleepUntil(ctx, due)
			}
		})
	}
	wg.Wait()
}

// asked is a request before its entry is chosen.
type asked struct {
	service ident.Service
	key     string
	method  string
	path    string
	body    string
	bytes   int
}

// request builds a lookup, an order or a large body.
func request(sv *bundle.Service, key string, rn *rand.Rand) asked {
	as := asked{service: sv.Name, key: key, method: http.MethodGet, path: fmt.Sprintf("/%s/%s", sv.Name, key)}
	switch {
	case sv.Keyed:
	case strings.HasPrefix(string(sv.Name), "orders"):
		as.method, as.body = http.MethodPost, fmt.Sprintf("order %d", rn.Uint64())
	default:
		as.bytes = 1 + rn.IntN(largeBodyBytes)
	}
	return as
}

// pickService draws mostly lookups, some orders and a few large bodies.
func pickService(rn *rand.Rand) int {
	switch draw := rn.IntN(10); {
	case draw < 6:
		return 0
	case draw < 9:
		return 1
	default:
		return 2
	}
}

// ask sends a request to an entry that the balancer chooses. An entry that
// refuses the connection got nothing of it, so the next one is tried.
func (ld *Load) ask(ctx context.Context, as asked, rn *rand.Rand) outcome {
	start := time.Now()
	var oc outcome
	for range maxEntries {
		address := ld.balancer.pick(rn)
		var sent bool
		oc, sent = ld.exchange(ctx, as, address)
		if sent {
			break
		}
		ld.balancer.avoid(address)
	}
	oc.service, oc.key = as.service, as.key
	oc.ended = time.Now()
	oc.took = oc.ended.Sub(start)
	return oc
}

func (ld *Load) exchange(ctx context.Context, as asked, address string) (oc outcome, sent bool) {
	target := "http://" + address + as.path
	if as.bytes > 0 {
		target += fmt.Sprintf("?bytes=%d", as.bytes)
	}
	rq, err := http.NewRequestWithContext(ctx, as.method, target, strings.NewReader(as.body))
	if err != nil {
		return outcome{reason: err.Error()}, true
	}
	rs, err := ld.client.Do(rq)
	if err != nil {
		var oe *net.OpError
		refused := errors.As(err, &oe) && oe.Op == "dial"
		return outcome{verdict: verdictOf(refused), reason: err.Error()}, !refused
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	return as.judge(rs, text, err), true
}

// verdictOf is the caller's own word on an exchange without an answer.
func verdictOf(refused bool) verdict.Verdict {
	if refused {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// judge tells an answer of one's own from all else.
func (as asked) judge(rs *http.Response, text []byte, err error) outcome {
	oc := outcome{
		id:      ident.Request(rs.Header.Get(entry.RequestHeader)),
		status:  rs.StatusCode,
		verdict: parseVerdict(rs.Header.Get(entry.VerdictHeader)),
	}
	switch {
	case err != nil:
		oc.verdict, oc.cut, oc.reason = verdict.MayHaveRun, true, err.Error()
	case oc.verdict != verdict.Ran:
		oc.reason = strings.TrimSpace(string(text))
	case rs.StatusCode != http.StatusOK:
		oc.wrong, oc.reason = true, fmt.Sprintf("ran with status %d", rs.StatusCode)
	default:
		oc.truncated, oc.wrong = as.compare(oc.id, text)
	}
	return oc
}

func parseVerdict(text string) verdict.Verdict {
	for _, vd := range []verdict.Verdict{verdict.Ran, verdict.NotRun} {
		if vd.String() == text {
			return vd
		}
	}
	return verdict.MayHaveRun
}
