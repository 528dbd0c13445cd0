// Command 9 sends requests ahead on kept connections while one of two upstreams breaks off some of
// its answers, and checks that those which the other upstream runs are answered.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"chervilwalk/review/drive"
)

const (
	// contactTime is the bound contact-s.
	contactTime = 3 * time.Second
	// maxLost is how many requests the rule allows to be lost.
	maxLost = 3
	// callers and ahead are how many callers there are and how many requests each sends ahead,
	// rounds how often.
	callers     = 8
	ahead       = 4
	rounds      = 120
	callerLimit = 2500 * time.Millisecond
	answerBytes = 300_000
	// truncateEvery makes the faulty upstream break off one answer in 50.
	truncateEvery = 50
)

// desired is the operators' desired state.
const desired = `{"version":"r7","services":[{"name":"tinlook","health-path":"/health","max-conns":295,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":20}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},` +
	`"virtual-hosts":[{"host":"glue.example","path-rules":[{"name":"r-check","prefix":"/check/","kind":"idempotent","timeout-s":2.4,"slo-latency-s":1.5,"priority":2,"service":"tinlook","max-attempts":2}]}]}`

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
	faulty := drive.UpstreamConfig{ID: "i-tin-1", Service: "tinlook", Zone: "arusha-a", Slots: 8, Work: 60 * time.Millisecond, AnswerBytes: answerBytes}
	sound := faulty
	sound.ID = "i-tin-2"
	if trouble {
		faulty.TruncateEvery = truncateEvery
	}
	dp, err := drive.Start(drive.Config{Hosts: 1, Record: record, Desired: desired, GraceSeconds: 6, MemoryMB: 206, Upstreams: []drive.UpstreamConfig{faulty, sound}})
	if err != nil {
		return drive.Failed, err
	}
	defer dp.Close()
	time.Sleep(contactTime)
	unanswered := map[string]bool{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for _, id := range call(record, dp.Hosts[0].Callers, caller) {
				mu.Lock()
				unanswered[id] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return judge(dp, unanswered)
}

// call sends requests ahead on a connection that it keeps for as long as the host does, and
// returns those without a whole answer.
func call(record *drive.Record, address string, caller int) []string {
	var unanswered []string
	var cl *drive.Client
	for round := range rounds {
		if cl == nil {
			var err error
			if cl, err = drive.Dial(address); err != nil {
				record.Printf("caller %d: not connected: %v", caller, err)
				continue
			}
		}
		var ids []string
		var heads strings.Builder
		for number := range ahead {
			id := fmt.Sprintf("check-%d-%d-%d", caller, round, number)
			ids = append(ids, id)
			heads.WriteString(drive.Head("GET", "/check/"+id, "glue.example", id, callerLimit, ""))
		}
		_, err := cl.Write([]byte(heads.String()))
		until := time.Now().Add(callerLimit)
		for _, id := range ids {
			var an *drive.Answer
			if err == nil {
				an, err = cl.Receive("GET", until)
			}
			switch {
			case err != nil:
				record.Printf("%s got no whole answer: %v", id, err)
				unanswered = append(unanswered, id)
			case !an.IsWhole(id):
				record.Printf("%s got status %d", id, an.Status)
			}
		}
		if err != nil {
			_ = cl.Close()
			cl = nil
		}
	}
	if cl != nil {
		_ = cl.Close()
	}
	return unanswered
}

// judge applies the rule LOST: requests that were passed on to the sound upstream, which did not
// break their answers off, and whose connection was closed without an answer.
func judge(dp *drive.Deployment, unanswered map[string]bool) (int, error) {
	broken := map[string]bool{}
	for _, up := range dp.Upstreams {
		for _, run := range up.Runs() {
			broken[run.Request] = broken[run.Request] || run.Truncated
		}
	}
	lost := 0
	for _, run := range dp.Upstreams[1].Runs() {
		if unanswered[run.Request] && !broken[run.Request] {
			dp.Record.Printf("%s: LOST, it was passed on to the sound %s and its connection closed without an answer", run.Request, run.Upstream)
			lost++
		}
	}
	dp.Record.Printf("%d requests lost, %d allowed", lost, maxLost)
	if lost > maxLost {
		return drive.Broken, nil
	}
	return drive.Held, nil
}
