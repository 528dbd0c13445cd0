// Command 7 sends requests to a host that is stopped as planned, and checks that none that was
// read ends without an answer while it waits for an upstream.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"chervilwalk/review/6/drive"
)

const (
	// graceSeconds and lossSlack are the bounds grace-s and loss-slack-s.
	graceSeconds = 6
	lossSlack    = 200 * time.Millisecond
	// contactTime is the bound contact-s.
	contactTime = 3 * time.Second
	// callerLimit is the caller's time limit, routeTimeout that of the route.
	callerLimit  = 8 * time.Second
	routeTimeout = 6 * time.Second
	// shortWork and longWork are how long requests take.
	shortWork = 500 * time.Millisecond
	longWork  = 5900 * time.Millisecond
	slots     = 2
)

// loopback is the address that hosts, store and upstreams listen on.
const loopback = "127.0.0.1"

// desired is the operators' desired state.
const desired = `{"version":"r7","services":[{"name":"files","health-path":"/health","max-conns":590,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":20}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},` +
	`"virtual-hosts":[{"host":"desk.example","path-rules":[{"name":"r-view","prefix":"/view/","kind":"idempotent","timeout-s":6,"slo-latency-s":2,"priority":1,"service":"files","max-attempts":2}]}]}`

// request is one request and what its caller saw.
type request struct {
	id             string
	sentAt, endsAt time.Time
	answer         *drive.Answer
	err            error
}

func main() {
	status, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case 7:", err)
		status = drive.Failed
	}
	os.Exit(status)
}

func run(folder string, trouble bool) (int, error) {
	record, err := drive.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return drive.Failed, err
	}
	defer func() { _ = record.Close() }()
	dp, err := drive.Start(drive.Config{
		Address: loopback, Hosts: 2, Record: record, Desired: desired, GraceSeconds: graceSeconds, MemoryMB: 206,
		Upstreams: []drive.UpstreamConfig{{ID: "i-files-1", Service: "files", Zone: "arusha-a", Slots: slots, Work: shortWork, LongWork: longWork, AnswerBytes: 1500}},
	})
	if err != nil {
		return drive.Failed, err
	}
	defer dp.Close()
	host := dp.Hosts[0]
	// Calm traffic for longer than contact-s.
	for end, number := time.Now().Add(contactTime+time.Second), 0; time.Now().Before(end); number++ {
		if calm := send(record, host.Callers, "calm-"+strconv.Itoa(number), ""); calm.err != nil || calm.answer.Status != 200 {
			record.Printf("calm request failed: %+v", calm)
		}
	}
	// Connections that are open and in use when the host is stopped stay with it.
	kept := make([]*drive.Client, 2*slots)
	for number := range kept {
		if kept[number], err = drive.Dial(host.Callers); err != nil {
			return drive.Failed, err
		}
		defer func() { _ = kept[number].Close() }()
		if first := sendOn(record, kept[number], "first-"+strconv.Itoa(number), ""); first.err != nil {
			return drive.Failed, first.err
		}
	}
	stoppedAt := time.Now()
	if trouble {
		host.Signal(syscall.SIGTERM)
	}
	var group sync.WaitGroup
	requests := make([]*request, 2*slots)
	at := func(after time.Duration, number int, id, fields string) {
		group.Go(func() {
			time.Sleep(time.Until(stoppedAt.Add(after)))
			requests[number] = sendOn(record, kept[number], id, fields)
		})
	}
	for number := range slots {
		at(500*time.Millisecond, number, "long-"+strconv.Itoa(number), "Work: long\r\n")
		at(1500*time.Millisecond, slots+number, "short-"+strconv.Itoa(number), "")
	}
	group.Wait()
	return judge(dp, stoppedAt, requests)
}

// send sends a request on a connection of its own and waits for the answer.
func send(record *drive.Record, address, id, fields string) *request {
	cl, err := drive.Dial(address)
	if err != nil {
		return &request{id: id, err: fmt.Errorf("not connected: %w", err)}
	}
	defer func() { _ = cl.Close() }()
	return sendOn(record, cl, id, fields)
}

// sendOn is send on an open connection.
func sendOn(record *drive.Record, cl *drive.Client, id, fields string) *request {
	rq := &request{id: id}
	_, err := cl.Write([]byte(drive.Head("GET", "/view/"+id, "desk.example", id, callerLimit, fields)))
	rq.sentAt = time.Now()
	record.Printf("sent %s", id)
	if err == nil {
		rq.answer, err = cl.Receive("GET", rq.sentAt.Add(callerLimit))
	}
	rq.err, rq.endsAt = err, time.Now()
	if err != nil {
		record.Printf("%s got no answer after %v: %v", id, rq.endsAt.Sub(rq.sentAt).Round(time.Millisecond), err)
	} else {
		record.Printf("%s got status %d after %v", id, rq.answer.Status, rq.endsAt.Sub(rq.sentAt).Round(time.Millisecond))
	}
	return rq
}

// judge applies the rule LOST around a planned stop.
func judge(dp *drive.Deployment, stoppedAt time.Time, requests []*request) (int, error) {
	runs := map[string]drive.Run{}
	for _, run := range dp.Upstreams[0].Runs() {
		runs[run.Request] = run
	}
	lost := 0
	for _, rq := range requests {
		if rq.sentAt.IsZero() {
			return drive.Failed, rq.err
		}
		if rq.err == nil {
			continue
		}
		waited := rq.endsAt.Sub(rq.sentAt)
		run, passedOn := runs[rq.id]
		lastSixth := stoppedAt.Add(graceSeconds * time.Second * 5 / 6)
		switch {
		case waited >= min(callerLimit, routeTimeout):
			dp.Record.Printf("%s: excused, its time was over", rq.id)
		case passedOn && rq.sentAt.Before(stoppedAt.Add(3*time.Second)) && (run.EndedAt.IsZero() || run.EndedAt.After(lastSixth)):
			dp.Record.Printf("%s: excused, its upstream was at work in the last sixth of grace-s", rq.id)
		case passedOn || waited > lossSlack:
			dp.Record.Printf("%s: LOST, the connection ended %v after it was sent, passed on: %v", rq.id, waited.Round(time.Millisecond), passedOn)
			lost++
		}
	}
	dp.Record.Printf("%d requests lost", lost)
	if lost > 0 {
		return drive.Broken, nil
	}
	return drive.Held, nil
}
