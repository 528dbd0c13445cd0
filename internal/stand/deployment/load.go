package deployment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chervilwalk/internal/stand/fakeupstream"
)

// Counts are what callers saw, and what the upstreams' records say of it.
type Counts struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refused requests were promised not to have run.
	Refused int `json:"refused"`
	// Doubtful ones ended with 502, 504 or a closed connection.
	Doubtful int `json:"doubtful"`
	// Rejected ones ended with another failure.
	Rejected int `json:"rejected"`
	// WrongAnswers bear no seal, another request's, or not the whole body.
	WrongAnswers int `json:"wrongAnswers"`
	DoubleRuns   int `json:"doubleRuns"`
	FalseNotRun  int `json:"falseNotRun"`
	// DoubleOwners are pairs of holdings of one key at one time.
	DoubleOwners int `json:"doubleOwners"`
	UnheldRuns   int `json:"unheldRuns"`
	// ColdViolations are upstreams that got more than their limit while cold.
	ColdViolations int     `json:"coldViolations"`
	P50Ms          float64 `json:"p50Ms"`
	P99Ms          float64 `json:"p99Ms"`
}

// Broken tells whether a promise was broken.
func (ct *Counts) Broken() bool {
	return ct.WrongAnswers+ct.DoubleRuns+ct.FalseNotRun+ct.DoubleOwners+ct.UnheldRuns+ct.ColdViolations+ct.Rejected > 0
}

// attempt is one request of a caller with its end.
type attempt struct {
	id      string
	order   bool
	refused bool
}

// Load sends requests at a rate for a time, spread over the hosts that are up,
// and judges them afterwards.
func (dp *Deployment) Load(ctx context.Context, perSecond int, span time.Duration) Counts {
	var counts Counts
	var mu sync.Mutex
	var attempts []attempt
	var times []time.Duration
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewSource(dp.cf.Seed))
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	end := time.Now().Add(span)
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		<-tick.C
		host := dp.pick(random)
		if host == nil {
			continue
		}
		kind, key, id := random.Intn(10), random.Intn(1<<16), fmt.Sprintf("r-%d-%d", dp.cf.Seed, number)
		group.Add(1)
		go func() {
			defer group.Done()
			began := time.Now()
			at := attempt{id: id, order: kind >= 6 && kind < 9}
			outcome := dp.send(ctx, client, host, kind, key, id)
			mu.Lock()
			defer mu.Unlock()
			counts.Requests++
			switch outcome {
			case answered:
				counts.Answered++
				times = append(times, time.Since(began))
			case refused:
				counts.Refused++
				at.refused = true
			case doubtful:
				counts.Doubtful++
			case rejected:
				counts.Rejected++
			case wrong:
				counts.WrongAnswers++
			}
			attempts = append(attempts, at)
		}()
	}
	group.Wait()
	dp.judge(&counts, attempts)
	counts.P50Ms, counts.P99Ms = percentile(times, 0.5), percentile(times, 0.99)
	return counts
}

// pick chooses a host that is up and ready.
func (dp *Deployment) pick(random *rand.Rand) *Host {
	for range 3 * len(dp.Hosts) {
		host := dp.Hosts[random.Intn(len(dp.Hosts))]
		if !host.out.Load() {
			return host
		}
	}
	return nil
}

type outcome int

const (
	answered outcome = iota
	refused
	doubtful
	rejected
	wrong
)

// send sends one request and looks at its answer.
func (dp *Deployment) send(ctx context.Context, client *http.Client, host *Host, kind, key int, id string) outcome {
	method, path, body := http.MethodGet, "/lookup/", ""
	switch {
	case kind >= 9:
		path = "/files/"
	case kind >= 6:
		method, path, body = http.MethodPost, "/orders/", "two tins for "+id
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+host.Address+path+strconv.Itoa(key), bytes.NewBufferString(body))
	if err != nil {
		return rejected
	}
	rq.Header.Set(fakeupstream.CallerRequestHeader, id)
	if dp.cf.Bundles {
		rq.Header.Set("Chervilwalk-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	} else {
		rq.Host = hostName
		rq.Header.Set("Request-Id", id)
		rq.Header.Set("Request-Deadline", strconv.FormatInt(timeout.Milliseconds(), 10))
		rq.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	rs, err := client.Do(rq)
	if err != nil {
		return doubtful
	}
	defer func() { _ = rs.Body.Close() }()
	answer, err := io.ReadAll(rs.Body)
	switch {
	case err != nil:
		return doubtful
	case rs.StatusCode == http.StatusOK:
		if dp.cf.Bundles {
			id = rs.Header.Get("Chervilwalk-Request")
		}
		if rs.Header.Get("Response-Seal") != fakeupstream.Seal(id, answer) {
			return wrong
		}
		return answered
	case rs.StatusCode == http.StatusServiceUnavailable, rs.StatusCode == http.StatusTooManyRequests:
		return refused
	case rs.StatusCode >= http.StatusInternalServerError:
		return doubtful
	default:
		return rejected
	}
}

// judge compares what callers were told with what the upstreams did.
func (dp *Deployment) judge(counts *Counts, attempts []attempt) {
	runs := map[string]int{}
	targets := dp.targets()
	for _, tg := range targets {
		for _, run := range tg.Runs() {
			runs[run.Caller]++
			if !run.Held {
				counts.UnheldRuns++
			}
		}
	}
	for _, at := range attempts {
		if at.order && runs[at.id] > 1 {
			counts.DoubleRuns++
		}
		if at.order && at.refused && runs[at.id] > 0 {
			counts.FalseNotRun++
		}
	}
	counts.DoubleOwners = doubleOwners(targets)
	for _, tg := range targets {
		if tg.MaxColdRate() > coldMost {
			counts.ColdViolations++
		}
	}
}

// span is a time in which an upstream held a key.
type span struct {
	from, to time.Time
	owner    int
}

// ownerStep is how many keys lie between two that are looked at.
const ownerStep = 97

// doubleOwners counts the keys that two upstreams held at one time.
func doubleOwners(targets []*fakeupstream.Upstream) int {
	count := 0
	holdings := make([][]fakeupstream.GrantChange, len(targets))
	for owner, tg := range targets {
		holdings[owner] = tg.GrantChanges()
	}
	for key := 0; key < 1<<16; key += ownerStep {
		var spans []span
		for owner, list := range holdings {
			spans = append(spans, spansOf(list, key, owner)...)
		}
		count += overlaps(spans)
	}
	return count
}

// spansOf lists when one upstream held a key.
func spansOf(list []fakeupstream.GrantChange, key, owner int) []span {
	var spans []span
	for _, ho := range list {
		if key < ho.From || key > ho.To {
			continue
		}
		if last := len(spans) - 1; last >= 0 && spans[last].to.After(ho.At) {
			// A renewal or release ends the span before it.
			spans[last].to = ho.At
		}
		if !ho.Released && ho.Until.After(ho.At) {
			spans = append(spans, span{ho.At, ho.Until, owner})
		}
	}
	return spans
}

func overlaps(spans []span) int {
	count := 0
	for ix, one := range spans {
		for _, other := range spans[ix+1:] {
			if one.owner != other.owner && one.from.Before(other.to) && other.from.Before(one.to) {
				count++
			}
		}
	}
	return count
}

func percentile(times []time.Duration, part float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return float64(sorted[int(part*float64(len(sorted)-1))].Microseconds()) / 1000
}
