package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/trial"
)

// relayCommand measures entry and holder on loopback against a direct call.
type relayCommand struct {
	Requests int `long:"requests" default:"4000" description:"requests of each round"`
	Rounds   int `long:"rounds" default:"5" description:"rounds of direct and routed calls in turn"`
	Workers  int `long:"workers" default:"16" description:"callers at a time"`
}

// relayBundle has two hosts, of which one holds the pool and the other is the
// entry, and one upstream with room for all callers.
const relayBundle = `version: 1
domains: [{name: a, region: r}]
hosts:
  - {name: n1, domain: a, inner: "127.0.0.1:7300"}
  - {name: n2, domain: a, inner: "127.0.0.1:7301"}
services:
  - name: echo
    idempotentMethods: [GET]
    defaultTimeout: 5s
    maxTimeout: 10s
    maxBodyBytes: 65536
    upstreams:
      - {name: e1, domain: a, address: "127.0.0.1:7400", slots: 256, connections: 300, coldLimit: 256}
`

// relayFigures are ratios of routed to direct calls of one run.
type relayFigures struct {
	Throughput float64 `json:"throughputRatio"`
	P50        float64 `json:"p50Ratio"`
	P99        float64 `json:"p99Ratio"`
	CPU        float64 `json:"cpuRatio"`
	AddedP50Ms float64 `json:"addedP50Ms"`
	AddedCPU   float64 `json:"addedCpuMicros"`
	Failed     int64   `json:"failed"`
}

// legFigures are the sums of one way of calling.
type legFigures struct {
	latencies *hdrhistogram.Histogram
	wall      time.Duration
	cpu       time.Duration
	count     int
	failed    int64
}

// Execute prints one line of JSON.
func (rc *relayCommand) Execute([]string) error {
	log.SetLevel(log.ErrorLevel)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	fl, err := trial.StartFleet("relay", []byte(relayBundle))
	if err != nil {
		return err
	}
	defer fl.Close()
	if err := fl.AwaitServing(ctx); err != nil {
		return err
	}
	hosts := []ident.Host{"n1", "n2"}
	legs := map[ident.Host]*legFigures{}
	for _, host := range hosts {
		legs[host] = newLeg()
		if err := awaitRoute(ctx, "http://"+fl.Entry(host)+relayPath); err != nil {
			return err
		}
	}
	direct := newLeg()
	for range rc.Rounds {
		rc.round(ctx, direct, "http://"+fl.Bundle.Services[0].Upstreams[0].Address+relayPath)
		for _, host := range hosts {
			rc.round(ctx, legs[host], "http://"+fl.Entry(host)+relayPath)
		}
	}
	return json.NewEncoder(os.Stdout).Encode(compareAll(legs["n1"], legs["n2"], direct))
}

// relayPath is what the callers ask for.
const relayPath = "/echo/x"

// relayReport tells the two entries apart: one holds the pool itself, the other
// reaches it over a hop, which costs more.
type relayReport struct {
	Holder relayFigures `json:"entryIsHolder"`
	Hop    relayFigures `json:"entryAndHolder"`
}

func compareAll(left, right, direct *legFigures) relayReport {
	if left.cpu > right.cpu {
		left, right = right, left
	}
	return relayReport{Holder: compareLegs(left, direct), Hop: compareLegs(right, direct)}
}

// awaitRoute waits until an entry reaches the upstream.
func awaitRoute(ctx context.Context, target string) error {
	for ctx.Err() == nil {
		if ask(ctx, http.DefaultClient, target) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return eris.Errorf("%s did not reach the upstream", target)
}

func newLeg() *legFigures {
	return &legFigures{latencies: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// round sends one round's requests and adds them to a leg.
func (rc *relayCommand) round(ctx context.Context, lg *legFigures, target string) {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: rc.Workers}}
	defer hc.CloseIdleConnections()
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	start, cpu := time.Now(), cpuTime()
	for range rc.Workers {
		wg.Go(func() {
			for next.Add(1) <= int64(rc.Requests) {
				asked := time.Now()
				ok := ask(ctx, hc, target)
				took := time.Since(asked)
				mu.Lock()
				_ = lg.latencies.RecordValue(took.Microseconds())
				if !ok {
					lg.failed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	lg.wall += time.Since(start)
	lg.cpu += cpuTime() - cpu
	lg.count += rc.Requests
}

func ask(ctx context.Context, hc *http.Client, target string) bool {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	rs, err := hc.Do(rq)
	if err != nil {
		return false
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, rs.Body)
	return err == nil && rs.StatusCode == http.StatusOK
}

// cpuTime is what the process has used, callers and stand-ins included.
func cpuTime() time.Duration {
	var ru unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &ru); err != nil {
		panic(fmt.Sprintf("getrusage: %v", err))
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func compareLegs(routed, direct *legFigures) relayFigures {
	rate := func(lg *legFigures) float64 { return float64(lg.count) / lg.wall.Seconds() }
	cpu := func(lg *legFigures) float64 { return float64(lg.cpu.Microseconds()) / float64(lg.count) }
	at := func(lg *legFigures, quantile float64) float64 {
		return float64(lg.latencies.ValueAtQuantile(quantile)) / 1000
	}
	return relayFigures{
		Throughput: rate(routed) / rate(direct),
		P50:        at(routed, 50) / at(direct, 50),
		P99:        at(routed, 99) / at(direct, 99),
		CPU:        cpu(routed) / cpu(direct),
		AddedP50Ms: at(routed, 50) - at(direct, 50),
		AddedCPU:   cpu(routed) - cpu(direct),
		Failed:     routed.failed + direct.failed,
	}
}
