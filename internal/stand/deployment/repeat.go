package deployment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"chervilwalk/internal/stand/fakeupstream"
)

// Repeated is a request that comes again and again, at one host after the other. The ids of its
// repeats are its name, a hyphen and a number.
type Repeated struct {
	Name, Method, Path, Body, Cookie string
	// Chunked sends the body in chunks.
	Chunked  bool
	Interval time.Duration
	// Patience is how long its callers wait before they leave, or 0 if they wait for the end.
	Patience time.Duration
}

// Ending is how a repeat ended for its caller.
type Ending struct {
	At time.Time
	// Status is 0 if the connection broke.
	Status     int
	RetryAfter string
}

// Repeat sends a request until ctx ends, and returns how its repeats ended.
func (dp *Deployment) Repeat(ctx context.Context, rp Repeated) []Ending {
	var mu sync.Mutex
	var ends []Ending
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(rp.Interval)
	defer tick.Stop()
	for number := 0; ; number++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			group.Wait()
			return ends
		}
		host := dp.Hosts[number%len(dp.Hosts)]
		if host.outOfRotation.Load() {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			en := rp.send(client, host.Address, fmt.Sprintf("%s-%d", rp.Name, number))
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, en)
		}()
	}
}

// send sends one repeat.
func (rp Repeated) send(client *http.Client, address, id string) Ending {
	body := io.Reader(strings.NewReader(rp.Body))
	if rp.Chunked {
		// The client sends what has no known length in chunks.
		body = io.MultiReader(body)
	}
	rq, err := http.NewRequest(rp.Method, "http://"+address+rp.Path, body)
	if err != nil {
		return Ending{}
	}
	if rp.Patience > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), rp.Patience)
		defer cancel()
		rq = rq.WithContext(ctx)
	}
	rq.Host = virtualHost
	rq.Header.Set("Request-Id", id)
	rq.Header.Set("Request-Deadline", "1500")
	rq.Header.Set("Shard-Key", "4711")
	rq.Header.Set("Cookie", rp.Cookie)
	rq.Header.Set(fakeupstream.CallerRequestHeader, id)
	en := Ending{At: time.Now()}
	rs, err := client.Do(rq)
	if err == nil {
		en.Status, en.RetryAfter = rs.StatusCode, rs.Header.Get("Retry-After")
		if _, err := io.Copy(io.Discard, rs.Body); err != nil {
			en.Status = 0
		}
		_ = rs.Body.Close()
	}
	return en
}
