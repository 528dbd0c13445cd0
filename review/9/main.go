// Command 9 lets callers leave while their uploads wait for an upstream, and checks that few of
// them reach one later than half a second after that.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"chervilwalk/review/6/drive"
)

const (
	// contactTime is the bound contact-s.
	contactTime = 3 * time.Second
	// lateAfter is how long after its caller has left a request may reach an upstream, maxLate how
	// many may do so later.
	lateAfter   = 500 * time.Millisecond
	maxLate     = 5
	callerLimit = 5 * time.Second
	// callers is how many callers there are, each with one upload at a time; bodyBytes is the size
	// of a body.
	callers   = 14
	bodyBytes = 160_000
	work      = 500 * time.Millisecond
	// One upload in leaveEvery is left after stay, in windows that last leaving, as long as a
	// give_up of the site file, with pause between them.
	leaveEvery = 4
	stay       = 300 * time.Millisecond
	leaving    = 5500 * time.Millisecond
	pause      = 4 * time.Second
	windows    = 3
)

// loopback is the address that hosts, store and upstreams listen on.
const loopback = "127.0.0.1"

// desired is the operators' desired state.
const desired = `{"version":"r7","services":[{"name":"files","health-path":"/health","max-conns":590,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":20}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},` +
	`"virtual-hosts":[{"host":"desk.example","path-rules":[{"name":"r-upload","prefix":"/upload/","kind":"upload","timeout-s":5,"slo-latency-s":4.5,"priority":1,"service":"files","max-attempts":2}]}]}`

func main() {
	status, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case 9:", err)
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
		Address: loopback, Hosts: 1, Record: record, Desired: desired, GraceSeconds: 6, MemoryMB: 206,
		Upstreams: []drive.UpstreamConfig{{ID: "i-files-1", Service: "files", Zone: "arusha-a", Slots: 4, Work: work, AnswerBytes: 1500}},
	})
	if err != nil {
		return drive.Failed, err
	}
	defer dp.Close()
	began := time.Now().Add(contactTime)
	left := map[string]time.Time{}
	sent := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for number := 0; time.Since(began) < windows*(leaving+pause); number++ {
				phase := time.Since(began)
				inWindow := phase >= 0 && phase%(leaving+pause) < leaving
				leaves := trouble && inWindow && (caller+number)%leaveEvery == 0
				id := fmt.Sprintf("upload-%d-%d", caller, number)
				at := upload(record, dp.Hosts[0].Callers, id, leaves)
				mu.Lock()
				sent++
				if !at.IsZero() && leaves {
					left[id] = at
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(callerLimit)
	record.Printf("%d uploads sent, %d of them left", sent, len(left))
	late := 0
	for _, run := range dp.Upstreams[0].Runs() {
		if at, gone := left[run.Request]; gone && run.StartedAt.Sub(at) > lateAfter {
			record.Printf("%s: GONE, it reached %s %v after its caller had left", run.Request, run.Upstream, run.StartedAt.Sub(at).Round(time.Millisecond))
			late++
		}
	}
	record.Printf("%d requests reached an upstream late, %d allowed", late, maxLate)
	if late > maxLate {
		return drive.Broken, nil
	}
	return drive.Held, nil
}

// upload sends an upload and returns when its caller left, or zero if it waited.
func upload(record *drive.Record, address, id string, leaves bool) time.Time {
	cl, err := drive.Dial(address)
	if err != nil {
		record.Printf("%s: not connected: %v", id, err)
		return time.Time{}
	}
	defer func() { _ = cl.Close() }()
	head := drive.Head("POST", "/upload/"+id, "desk.example", id, callerLimit, "Content-Length: "+strconv.Itoa(bodyBytes)+"\r\n")
	if _, err := cl.Write(append([]byte(head), make([]byte, bodyBytes)...)); err != nil {
		record.Printf("%s: not sent: %v", id, err)
		return time.Time{}
	}
	record.Printf("sent %s", id)
	wait := callerLimit
	if leaves {
		wait = stay
	}
	an, err := cl.Receive("POST", time.Now().Add(wait))
	if err == nil {
		record.Printf("%s got status %d", id, an.Status)
		return time.Time{}
	}
	_ = cl.Close()
	record.Printf("the caller of %s left: %v", id, err)
	return time.Now()
}
