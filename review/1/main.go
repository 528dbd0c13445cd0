// Command 1 kills and restarts hosts while their requests wait for permits, and checks that each
// request is run by an upstream of its own service only.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilwalk/review/fleet"
)

// The figures are those of the users' deployment at Arusha.
var services = []fleet.Service{
	{Name: "gluebook", Kind: "non_idempotent", Objective: 800 * time.Millisecond, Timeout: 1500 * time.Millisecond, Priority: 1, Upstreams: 4, Work: 290 * time.Millisecond, AnswerBytes: 400},
	{Name: "certshelf", Kind: "download", Objective: 600 * time.Millisecond, Timeout: 1500 * time.Millisecond, Priority: 2, Upstreams: 4, Work: 180 * time.Millisecond, AnswerBytes: 90000},
}

// service returns the service with a name.
func service(name string) fleet.Service {
	if name == services[0].Name {
		return services[0]
	}
	return services[1]
}

const (
	// hosts is the number of hosts, rounds how often one of them is killed, in turn.
	hosts, rounds = 3, 30
	// settleTime is the time before the load begins.
	settleTime = 4 * time.Second
	// loadBefore is how long the load lasts before the first kill.
	loadBefore = 3 * time.Second
	// uptime is how long a killed host runs until it is killed once more.
	uptime = 400 * time.Millisecond
	// pause is the time between two rounds.
	pause = 2 * time.Second
	// restartDelay is the time from a kill to the start of the next process.
	restartDelay = 20 * time.Millisecond
	// timeLimit is how long callers wait.
	timeLimit = 3 * time.Second
)

// intervals holds the time between two requests to one host, by service: a little more than the
// upstreams can do.
var intervals = map[string]time.Duration{"gluebook": 95 * time.Millisecond, "certshelf": 60 * time.Millisecond}

func main() {
	program := flag.String("program", "target/chervilwalk", "path of chervilwalk's binary")
	dir := flag.String("dir", "", "temporary directory")
	record := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "kill the hosts")
	flag.Parse()
	code, err := run(*program, *dir, *record, *trouble)
	if err != nil {
		fmt.Println("could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(program, dir, record string, trouble bool) (int, error) {
	rc, err := fleet.NewRecord(record)
	if err != nil {
		return 2, err
	}
	defer rc.Close()
	fl, err := fleet.Start(fleet.Config{Program: program, Dir: dir, Hosts: hosts, Services: services})
	if fl != nil {
		defer fl.Close()
	}
	if err != nil {
		return 2, err
	}
	time.Sleep(settleTime)
	ts := &test{fleet: fl, record: rc, sent: map[string]*sentRequest{}, done: make(chan struct{})}
	for _, ho := range fl.Hosts {
		for name, interval := range intervals {
			ts.group.Add(1)
			go ts.load(ho, name, interval)
		}
	}
	time.Sleep(loadBefore)
	for round := range rounds {
		ho := fl.Hosts[round%hosts]
		for range 2 {
			if trouble {
				ho.Kill()
				rc.Printf("killed %s", ho.Name)
				time.Sleep(restartDelay)
				if err := fl.StartHost(ho); err != nil {
					return 2, err
				}
				rc.Printf("started %s", ho.Name)
			}
			time.Sleep(uptime)
		}
		time.Sleep(pause)
	}
	close(ts.done)
	ts.group.Wait()
	return ts.check(), nil
}

// sentRequest is a request that a caller has sent.
type sentRequest struct {
	service, path, host string
	answer              string
	status              int
	bytes               int
}

// test sends the load and knows what was sent.
type test struct {
	fleet  *fleet.Fleet
	record *fleet.Record
	done   chan struct{}
	group  sync.WaitGroup
	mu     sync.Mutex
	sent   map[string]*sentRequest
	number int
}

// load sends requests of one service to a host until the test is done.
func (ts *test) load(ho *fleet.Host, name string, interval time.Duration) {
	defer ts.group.Done()
	tk := time.NewTicker(interval)
	defer tk.Stop()
	for {
		select {
		case <-ts.done:
			return
		case <-tk.C:
			ts.group.Add(1)
			go ts.call(ho, service(name))
		}
	}
}

// maxTries is how often a caller tries: the users have their callers retry once.
const maxTries = 2

// call sends one request. Like the users' callers, one whose connection was not opened comes
// back, at another host, and one whose answer broke off only if it may be repeated.
func (ts *test) call(ho *fleet.Host, sv fleet.Service) {
	defer ts.group.Done()
	ts.mu.Lock()
	ts.number++
	number := ts.number
	ts.mu.Unlock()
	deadline := time.Now().Add(timeLimit)
	at := slices.Index(ts.fleet.Hosts, ho)
	for try := range maxTries {
		ho := ts.fleet.Hosts[(at+try)%hosts]
		rq := &fleet.Request{Method: http.MethodGet, Path: fmt.Sprintf("/%s/%d", sv.Name, number), Key: -1, TimeLimit: time.Until(deadline), ID: fleet.NewID()}
		if sv.Kind == "non_idempotent" {
			rq.Method, rq.Body = http.MethodPost, fmt.Sprintf("order %d", number)
		}
		sr := &sentRequest{service: sv.Name, path: rq.Path, host: ho.Name}
		ts.mu.Lock()
		ts.sent[rq.ID] = sr
		ts.mu.Unlock()
		an := fleet.Call(ho.Address(), rq)
		ts.mu.Lock()
		sr.status, sr.bytes = an.Status, len(an.Body)
		sr.answer = fmt.Sprintf("status %d, %d bytes, error %v", an.Status, len(an.Body), an.Err)
		ts.mu.Unlock()
		ts.record.Printf("request %s %s %s at %s: %s", rq.ID, rq.Method, rq.Path, ho.Name, sr.answer)
		if an.Status != 0 || an.Sent && sv.Kind == "non_idempotent" {
			return
		}
	}
}

// check compares what was sent with what the upstreams ran.
func (ts *test) check() int {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	runs, broken, unsent := 0, 0, 0
	var lines []string
	for _, up := range ts.fleet.Upstreams {
		for _, run := range up.Runs() {
			runs++
			sr, known := ts.sent[run.Request]
			if !known {
				unsent++
				lines = append(lines, fmt.Sprintf("BROKEN: %s ran request %s, which nobody sent", up.ID, run.Request))
				continue
			}
			ts.record.Printf("run %s %s at %s of %s", run.Request, sr.path, up.ID, up.Service)
			if sr.service != up.Service {
				broken++
				lines = append(lines, fmt.Sprintf("BROKEN: request %s for %s, route of service %s, sent to %s, was run by %s of service %s; its caller got %s", run.Request, sr.path, sr.service, sr.host, up.ID, up.Service, sr.answer))
			}
		}
	}
	lines = append(lines, fmt.Sprintf("%d requests, %d runs, %d by another service, %d unsent", len(ts.sent), runs, broken, unsent))
	ts.record.Printf("%s", strings.Join(lines, "\n"))
	fmt.Println(strings.Join(lines, "\n"))
	if broken+unsent > 0 {
		return 1
	}
	return 0
}
