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

// Counts is the result of a load: what callers saw and what the upstreams
// recorded.
type Counts struct {
	// Requests is the number of requests sent. Each is counted in exactly one of
	// Answered, Refused, Doubtful, Rejected and WrongAnswers.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refused requests got 503 or 429, which promises that they did not run.
	Refused int `json:"refused"`
	// Doubtful requests ended with another 5xx status or a closed connection, and
	// may have run.
	Doubtful int `json:"doubtful"`
	// Rejected requests ended with another status.
	Rejected int `json:"rejected"`
	// WrongAnswers are 200 answers without a signature or with one that doesn't match
	// the request and the whole body.
	WrongAnswers int `json:"wrongAnswers"`
	// DoubleRuns are orders that ran more than once.
	DoubleRuns int `json:"doubleRuns"`
	// FalseNotRun are orders that ran although they were refused.
	FalseNotRun int `json:"falseNotRun"`
	// DoubleOwners are pairs of overlapping periods in which different upstreams held
	// the same key. Only a sample of the keys is checked.
	DoubleOwners int `json:"doubleOwners"`
	// UnheldRuns are requests that ran on an upstream that did not hold their key.
	UnheldRuns int `json:"unheldRuns"`
	// ColdViolations are upstreams that got more than their limit while cold.
	ColdViolations int `json:"coldViolations"`
	// LimitViolations are upstreams that got more than the limits that they named.
	LimitViolations int `json:"limitViolations"`
	// DeadlyViolations are deadly requests that reached upstreams too often.
	DeadlyViolations int `json:"deadlyViolations"`
	// P50Ms and P99Ms are percentiles of the latency of answered requests, in
	// milliseconds.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// Broken reports whether a guarantee was violated.
func (ct *Counts) Broken() bool {
	return ct.WrongAnswers+ct.DoubleRuns+ct.FalseNotRun+ct.DoubleOwners+ct.UnheldRuns+ct.ColdViolations+ct.LimitViolations+ct.DeadlyViolations+ct.Rejected > 0
}

// sentRequest is a caller's request that has ended.
type sentRequest struct {
	id string
	// order requests are not idempotent.
	order   bool
	refused bool
}

// Load sends requests at a constant rate to random hosts that are up, for a time
// or until ctx ends. Then it counts the results and violations.
func (dp *Deployment) Load(ctx context.Context, perSecond int, span time.Duration) Counts {
	var counts Counts
	var mu sync.Mutex
	var requests []sentRequest
	var latencies []time.Duration
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewSource(dp.cf.Seed))
	load := dp.loads.Add(1)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	end := time.Now().Add(span)
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		<-tick.C
		host := dp.pickHost(random)
		if host == nil {
			continue
		}
		// Kinds 0 to 5 are lookups, 6 to 8 orders and 9 is a file.
		kind, key, id := random.Intn(10), random.Intn(1<<16), fmt.Sprintf("r-%d-%d-%d", dp.cf.Seed, load, number)
		group.Add(1)
		go func() {
			defer group.Done()
			began := time.Now()
			sr := sentRequest{id: id, order: kind >= 6 && kind < 9}
			outcome := dp.sendRequest(ctx, client, host, kind, key, id)
			mu.Lock()
			defer mu.Unlock()
			counts.Requests++
			switch outcome {
			case answered:
				counts.Answered++
				latencies = append(latencies, time.Since(began))
			case refused:
				counts.Refused++
				sr.refused = true
			case doubtful:
				counts.Doubtful++
			case rejected:
				counts.Rejected++
			case wrongAnswer:
				counts.WrongAnswers++
			}
			requests = append(requests, sr)
		}()
	}
	group.Wait()
	dp.countViolations(&counts, requests)
	counts.P50Ms, counts.P99Ms = percentileMs(latencies, 0.5), percentileMs(latencies, 0.99)
	return counts
}

// pickHost returns a random host that is in rotation, or nil if it finds none.
func (dp *Deployment) pickHost(random *rand.Rand) *Host {
	for range 3 * len(dp.Hosts) {
		host := dp.Hosts[random.Intn(len(dp.Hosts))]
		if !host.outOfRotation.Load() {
			return host
		}
	}
	return nil
}

// outcome is the result of a request as its caller sees it. See Counts.
type outcome int

const (
	answered outcome = iota
	refused
	doubtful
	rejected
	wrongAnswer
)

// sendRequest sends one request and checks its answer.
func (dp *Deployment) sendRequest(ctx context.Context, client *http.Client, host *Host, kind, key int, id string) outcome {
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
		rq.Header.Set("Chervilwalk-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	} else {
		rq.Host = virtualHost
		rq.Header.Set("Request-Id", id)
		rq.Header.Set("Request-Deadline", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
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
		if rs.Header.Get("Response-Seal") != fakeupstream.Sign(id, answer) {
			return wrongAnswer
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

// countViolations compares the answers that callers got with the upstreams'
// records.
func (dp *Deployment) countViolations(counts *Counts, requests []sentRequest) {
	runs := map[string]int{}
	upstreams := dp.allUpstreams()
	for _, up := range upstreams {
		// Read after the runs, so that no grant is missing by which one ran.
		list, changes, keyed := up.Runs(), up.GrantChanges(), up.Config().Keyed
		for _, run := range list {
			runs[run.CallerRequest]++
			if !run.Held || keyed && !run.HeldBy(changes) {
				counts.UnheldRuns++
			}
		}
	}
	for _, sr := range requests {
		if sr.order && runs[sr.id] > 1 {
			counts.DoubleRuns++
		}
		if sr.order && sr.refused && runs[sr.id] > 0 {
			counts.FalseNotRun++
		}
	}
	counts.DoubleOwners = countDoubleOwners(upstreams)
	counts.DeadlyViolations = dp.countDeadlyViolations()
	for _, up := range upstreams {
		if up.MaxColdRate() > maxColdRequests {
			counts.ColdViolations++
		}
		if up.LimitExcess() > 0 {
			counts.LimitViolations++
		}
	}
}

// holdInterval is a period in which an upstream held a key.
type holdInterval struct {
	from, to time.Time
	owner    int
}

// keyStride is the distance between the keys that countDoubleOwners checks.
const keyStride = 97

// countDoubleOwners counts, over a sample of the keys, the pairs of overlapping
// periods in which different upstreams held a key.
func countDoubleOwners(upstreams []*fakeupstream.Upstream) int {
	count := 0
	changesByOwner := make([][]fakeupstream.GrantChange, len(upstreams))
	for owner, up := range upstreams {
		changesByOwner[owner] = up.GrantChanges()
		if ended := up.EndedAt(); !ended.IsZero() {
			// A crash ends all that it held.
			changesByOwner[owner] = append(changesByOwner[owner], fakeupstream.GrantChange{At: ended, To: 1<<16 - 1, Released: true})
		}
	}
	for key := 0; key < 1<<16; key += keyStride {
		var intervals []holdInterval
		for owner, changes := range changesByOwner {
			intervals = append(intervals, holdIntervals(changes, key, owner)...)
		}
		count += countOverlaps(intervals)
	}
	return count
}

// holdIntervals returns the periods in which one upstream held a key.
func holdIntervals(changes []fakeupstream.GrantChange, key, owner int) []holdInterval {
	var intervals []holdInterval
	for _, gc := range changes {
		if key < gc.From || key > gc.To {
			continue
		}
		if last := len(intervals) - 1; last >= 0 && intervals[last].to.After(gc.At) {
			// A renewal or release ends the interval before it.
			intervals[last].to = gc.At
		}
		if !gc.Released && gc.Until.After(gc.At) {
			intervals = append(intervals, holdInterval{gc.At, gc.Until, owner})
		}
	}
	return intervals
}

// countOverlaps counts the pairs of intervals of different owners that overlap.
func countOverlaps(intervals []holdInterval) int {
	count := 0
	for ix, one := range intervals {
		for _, other := range intervals[ix+1:] {
			if one.owner != other.owner && one.from.Before(other.to) && other.from.Before(one.to) {
				count++
			}
		}
	}
	return count
}

// percentileMs returns a percentile, given as a fraction, in milliseconds.
func percentileMs(latencies []time.Duration, fraction float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	return float64(sorted[int(fraction*float64(len(sorted)-1))].Microseconds()) / 1000
}
