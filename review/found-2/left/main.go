// Command left lets the store come back from an older copy after an upstream has left, and checks that
// no request reaches that upstream again.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"chervilwalk/review/drive"
)

const (
	hosts       = 3
	upstreams   = 6
	contactTime = 3 * time.Second
	// drainTime is the bound drain-s.
	drainTime = 2 * time.Second
	// leftBefore is how long before the store's return the upstream has left, away how long the
	// store is away, copyAge the age of its copy.
	leftBefore = 7 * time.Second
	away       = 300 * time.Millisecond
	copyAge    = 8 * time.Second
	// observed is how long the upstream serves on after the return.
	observed    = 5 * time.Second
	callerLimit = 3 * time.Second
)

// desired is the operators' desired state.
const desired = `{"version":"r7","services":[{"name":"gluebook","health-path":"/health","max-conns":295,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":2.6}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},` +
	`"virtual-hosts":[{"host":"glue.example","path-rules":[{"name":"r-order","prefix":"/order/","kind":"non_idempotent","timeout-s":1.5,"slo-latency-s":0.8,"priority":1,"service":"gluebook","max-attempts":2}]}]}`

func main() {
	status, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "left:", err)
		status = drive.Failed
	}
	os.Exit(status)
}

// journal is what the callers have sent and what the hosts have passed on.
type journal struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
	host   map[string]string
	// warnedAt is when each host has first passed on an answer of the upstream that leaves.
	warnedAt map[string]time.Time
}

func run(folder string, trouble bool) (int, error) {
	record, err := drive.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return drive.Failed, err
	}
	defer func() { _ = record.Close() }()
	zones := []string{"arusha-a", "arusha-b", "arusha-c"}
	var configs []drive.UpstreamConfig
	for number := range upstreams {
		configs = append(configs, drive.UpstreamConfig{ID: "i-book-" + strconv.Itoa(number), Service: "gluebook", Zone: zones[number%len(zones)], Slots: 2, Work: 100 * time.Millisecond, AnswerBytes: 500})
	}
	dp, err := drive.Start(drive.Config{Hosts: hosts, Record: record, Desired: desired, GraceSeconds: 6, MemoryMB: 206, Upstreams: configs})
	if err != nil {
		return drive.Failed, err
	}
	defer dp.Close()
	jo := &journal{sentAt: map[string]time.Time{}, host: map[string]string{}, warnedAt: map[string]time.Time{}}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, ho := range dp.Hosts {
		for caller := range 4 {
			group.Go(func() { jo.order(dp, ho, caller, stop) })
		}
	}
	time.Sleep(contactTime + time.Second)
	left := dp.Upstreams[0]
	if err := dp.Leave(left); err != nil {
		return drive.Failed, err
	}
	time.Sleep(leftBefore)
	if trouble {
		if err := dp.Control(http.MethodPut, "faults", `{"down":true}`); err != nil {
			return drive.Failed, err
		}
		time.Sleep(away)
		if err := dp.Return(copyAge); err != nil {
			return drive.Failed, err
		}
		if err := dp.Control(http.MethodPut, "faults", `{}`); err != nil {
			return drive.Failed, err
		}
	}
	time.Sleep(observed)
	close(stop)
	group.Wait()
	return jo.judge(dp, left)
}

// order sends orders to a host.
func (jo *journal) order(dp *drive.Deployment, ho *drive.Host, caller int, stop <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("order-%s-%d-%d", ho.Name, caller, number)
		cl, err := drive.Dial(ho.Callers)
		if err != nil {
			continue
		}
		jo.mu.Lock()
		jo.sentAt[id], jo.host[id] = time.Now(), ho.Name
		jo.mu.Unlock()
		_, err = cl.Write([]byte(drive.Head("POST", "/order/"+id, "glue.example", id, callerLimit, "Content-Length: 4\r\n") + "tins"))
		if err == nil {
			var an *drive.Answer
			an, err = cl.Receive("POST", time.Now().Add(callerLimit))
			if err == nil && an.Header.Get("Server-Leaving") != "" {
				jo.mu.Lock()
				if _, known := jo.warnedAt[ho.Name]; !known {
					jo.warnedAt[ho.Name] = time.Now()
					dp.Record.Printf("%s has passed on that the upstream leaves", ho.Name)
				}
				jo.mu.Unlock()
			}
		}
		if err != nil {
			dp.Record.Printf("%s: no answer: %v", id, err)
		}
		_ = cl.Close()
	}
}

// judge applies the rule DRAIN for an upstream that says that it leaves.
func (jo *journal) judge(dp *drive.Deployment, left *drive.Upstream) (int, error) {
	late := 0
	for _, run := range left.Runs() {
		if !strings.HasPrefix(run.Request, "order-") {
			continue
		}
		warnedAt, warned := jo.warnedAt[jo.host[run.Request]]
		if !warned || jo.sentAt[run.Request].Sub(warnedAt) <= drainTime {
			continue
		}
		late++
		if late <= 20 {
			dp.Record.Printf("%s: DRAIN, sent %v after %s had passed on that %s leaves, it reached it", run.Request, jo.sentAt[run.Request].Sub(warnedAt).Round(time.Millisecond), jo.host[run.Request], run.Upstream)
		}
	}
	dp.Record.Printf("%d requests reached an upstream that had left, by %d hosts that knew", late, len(jo.warnedAt))
	if late > 0 {
		return drive.Broken, nil
	}
	return drive.Held, nil
}
