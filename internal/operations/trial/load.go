package trial

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/entry"
	"chervilwalk/internal/serving/verdict"
)

const (
	// largeBodyBytes is the size of a certificate bundle or a pattern sheet.
	largeBodyBytes = 1 << 20
	// maxLatency bounds what the histogram keeps.
	maxLatency = time.Minute
	// keySpace is how many keys the load uses for each service.
	keySpace = 2000
)

// Outcome is what one caller got.
type outcome struct {
	id      ident.Request
	verdict string
	status  int
	wrong   bool
	cut     bool
	took    time.Duration
}

// Counts are the figures of a trial. All but the latencies and the callers'
// outcomes come from what the upstreams recorded.
type Counts struct {
	Requests         int     `json:"requests"`
	Answered         int     `json:"answered"`
	RefusedNotRun    int     `json:"refusedNotRun"`
	MayHaveRun       int     `json:"mayHaveRun"`
	DoubleRuns       int     `json:"doubleRuns"`
	FalseNotRun      int     `json:"falseNotRun"`
	WrongAnswers     int     `json:"wrongAnswers"`
	TruncatedAnswers int     `json:"truncatedAnswers"`
	P50Ms            float64 `json:"p50Ms"`
	P99Ms            float64 `json:"p99Ms"`
}

// Load is a mixed load on one fleet.
type Load struct {
	fleet  *Fleet
	client *http.Client

	mu       sync.Mutex
	outcomes []outcome
}

// NewLoad makes a load for a fleet.
func NewLoad(fl *Fleet) *Load {
	return &Load{fleet: fl, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Run sends requests from a few workers; the seed fixes what is asked.
func (ld *Load) Run(ctx context.Context, seed uint64, requests, workers int) {
	var wg sync.WaitGroup
	for wk := range workers {
		share := requests / workers
		if wk < requests%workers {
			share++
		}
		wg.Go(func() {
			rn := rand.New(rand.NewPCG(seed, uint64(wk)))
			for range share {
				if ctx.Err() != nil {
					return
				}
				ld.one(ctx, rn)
			}
		})
	}
	wg.Wait()
	ld.client.CloseIdleConnections()
}

func (ld *Load) one(ctx context.Context, rn *rand.Rand) {
	rq, body := ld.request(ctx, rn)
	start := time.Now()
	oc := ld.ask(rq, body)
	oc.took = time.Since(start)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.outcomes = append(ld.outcomes, oc)
}

// request builds a lookup, an order or a large body, at a random entry.
func (ld *Load) request(ctx context.Context, rn *rand.Rand) (*http.Request, string) {
	hosts := ld.fleet.Bundle.Hosts
	address := ld.fleet.Entries[hosts[rn.IntN(len(hosts))].Name]
	sv := &ld.fleet.Bundle.Services[pickService(rn)]
	method, path, body := http.MethodGet, fmt.Sprintf("/%s/item-%d", sv.Name, rn.IntN(keySpace)), ""
	switch {
	case sv.Keyed:
	case strings.HasPrefix(string(sv.Name), "orders"):
		method, body = http.MethodPost, fmt.Sprintf("order %d", rn.Uint64())
	default:
		path += fmt.Sprintf("?bytes=%d", 1+rn.IntN(largeBodyBytes))
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic("trial: a request that it built itself is malformed: " + err.Error())
	}
	return rq, body
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

func (ld *Load) ask(rq *http.Request, body string) outcome {
	rs, err := ld.client.Do(rq)
	if err != nil {
		return outcome{verdict: verdict.MayHaveRun.String()}
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	oc := outcome{
		id:      ident.Request(rs.Header.Get(entry.RequestHeader)),
		verdict: rs.Header.Get(entry.VerdictHeader),
		status:  rs.StatusCode,
	}
	if err != nil {
		oc.verdict = verdict.MayHaveRun.String()
		oc.cut = !errors.Is(err, io.ErrUnexpectedEOF) && rs.ContentLength < 0
		return oc
	}
	if oc.verdict == verdict.Ran.String() {
		oc.wrong = !strings.HasPrefix(string(text), ownHead(rq, oc.id)) || !strings.Contains(string(text), bodySum(body))
		oc.cut = int64(len(text)) != wantBytes(rq, int64(len(text)))
	}
	return oc
}

func ownHead(rq *http.Request, id ident.Request) string {
	return fmt.Sprintf("%s %s %s by ", id, rq.Method, rq.URL.Path)
}

func bodySum(body string) string {
	sum := sha256.Sum256([]byte(body))
	return "body " + hex.EncodeToString(sum[:8])
}

// wantBytes is the size that a request asked for; got when it asked for none
// or for less than the head of an answer.
func wantBytes(rq *http.Request, got int64) int64 {
	var want int64
	if _, err := fmt.Sscanf(rq.URL.Query().Get("bytes"), "%d", &want); err != nil || want < smallAnswerBytes {
		return got
	}
	return want
}

// smallAnswerBytes is above the size of any answer's head.
const smallAnswerBytes = 512

// Count compares what the callers got with what the upstreams recorded.
func (ld *Load) Count() Counts {
	runs := map[ident.Request]int{}
	double := 0
	for _, us := range ld.fleet.Upstreams {
		for _, rn := range us.Runs() {
			runs[rn.Request]++
			if runs[rn.Request] > 1 && !ld.idempotent(rn.Pool, rn.Method) {
				double++
			}
		}
	}
	ct := Counts{DoubleRuns: double}
	hg := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, oc := range ld.outcomes {
		ct.add(oc, runs[oc.id])
		if oc.verdict == verdict.Ran.String() {
			_ = hg.RecordValue(oc.took.Microseconds())
		}
	}
	ct.P50Ms = float64(hg.ValueAtQuantile(50)) / 1000
	ct.P99Ms = float64(hg.ValueAtQuantile(99)) / 1000
	return ct
}

func (ld *Load) idempotent(pl ident.Pool, method string) bool {
	sv, ok := ld.fleet.Bundle.Service(pl.Service())
	return ok && (*bundle.Service).Idempotent(sv, method)
}

func (ct *Counts) add(oc outcome, runs int) {
	ct.Requests++
	switch oc.verdict {
	case verdict.Ran.String():
		ct.Answered++
	case verdict.NotRun.String():
		ct.RefusedNotRun++
		if runs > 0 {
			ct.FalseNotRun++
		}
	default:
		ct.MayHaveRun++
	}
	if oc.wrong {
		ct.WrongAnswers++
	}
	if oc.cut {
		ct.TruncatedAnswers++
	}
}

// Broken tells whether a promise was broken.
func (ct *Counts) Broken() bool {
	return ct.DoubleRuns+ct.FalseNotRun+ct.WrongAnswers+ct.TruncatedAnswers > 0
}
