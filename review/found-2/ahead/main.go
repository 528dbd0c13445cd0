// Command ahead lets callers send requests ahead without reading the answers, and checks that the
// hosts stay within the memory of their machines.
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
	// memoryMB is the figure memory-mb of the settings.
	memoryMB = 206
	// hosts and attacked are how many hosts there are and how many the crowd comes to.
	hosts    = 3
	attacked = 2
	// endsPerHost and endedHosts are the bounds of the rule: a tenth of the machines, two at
	// least, whose processes end three times.
	endsPerHost = 3
	endedHosts  = 2
	// crowd is how many callers come to a host, ahead how many requests each sends ahead.
	crowd       = 160
	ahead       = 80
	answerBytes = 150_000
	// receiveBytes is the size of a caller's receive buffer.
	receiveBytes = 4096
	// duration is how long the crowd comes, stay how long each caller stays.
	duration    = 90 * time.Second
	stay        = 15 * time.Second
	callerLimit = 6 * time.Second
	contactTime = 3 * time.Second
)

// desired is the operators' desired state.
const desired = `{"version":"r7","services":[{"name":"certshelf","health-path":"/health","max-conns":295,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":20}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},` +
	`"virtual-hosts":[{"host":"glue.example","path-rules":[{"name":"r-cert","prefix":"/cert/","kind":"download","timeout-s":6,"slo-latency-s":1.5,"priority":1,"service":"certshelf","max-attempts":2}]}]}`

func main() {
	status, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "ahead:", err)
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
	var upstreams []drive.UpstreamConfig
	for number := range 20 {
		upstreams = append(upstreams, drive.UpstreamConfig{ID: "i-cert-" + strconv.Itoa(number), Service: "certshelf", Zone: "arusha-a", Slots: 4, Work: 20 * time.Millisecond, AnswerBytes: answerBytes})
	}
	dp, err := drive.Start(drive.Config{Hosts: hosts, Record: record, Desired: desired, GraceSeconds: 6, MemoryMB: memoryMB, Upstreams: upstreams})
	if err != nil {
		return drive.Failed, err
	}
	defer dp.Close()
	time.Sleep(contactTime)
	limit := drive.LimitMemory(dp, memoryMB)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, ho := range dp.Hosts {
		group.Go(func() { pull(record, ho, stop) })
	}
	if trouble {
		for _, ho := range dp.Hosts[:attacked] {
			group.Go(func() { press(record, ho, stop) })
		}
	}
	for end := time.Now().Add(duration); time.Now().Before(end) && !ended(dp.Hosts[:attacked]); {
		time.Sleep(100 * time.Millisecond)
		if !trouble && time.Until(end) < duration-10*time.Second {
			break
		}
	}
	close(stop)
	group.Wait()
	ended, peak := limit.Close(endsPerHost)
	record.Printf("%d hosts ended %d times or more for their memory, the most was %.0f MB", ended, endsPerHost, peak)
	if ended >= endedHosts {
		return drive.Broken, nil
	}
	return drive.Held, nil
}

// ended reports whether all of the hosts have been started once more than the rule allows them to
// end.
func ended(list []*drive.Host) bool {
	for _, ho := range list {
		if ho.Starts() <= endsPerHost {
			return false
		}
	}
	return true
}

// pull sends an ordinary request now and then and records what came of it.
func pull(record *drive.Record, ho *drive.Host, stop <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := fmt.Sprintf("cert-%s-%d", ho.Name, number)
		cl, err := drive.Dial(ho.Callers)
		if err != nil {
			record.Printf("%s: not connected: %v", id, err)
			continue
		}
		_, err = cl.Write([]byte(drive.Head("GET", "/cert/"+id, "glue.example", id, callerLimit, "")))
		var an *drive.Answer
		if err == nil {
			an, err = cl.Receive("GET", time.Now().Add(callerLimit))
		}
		_ = cl.Close()
		switch {
		case err != nil:
			record.Printf("%s: no answer: %v", id, err)
		case an.Status != http.StatusOK:
			record.Printf("%s: status %d", id, an.Status)
		}
	}
}

// press keeps a crowd of callers at a host. Each sends requests ahead and reads none of the answers.
func press(record *drive.Record, ho *drive.Host, stop <-chan struct{}) {
	for round := 0; ; round++ {
		for !ho.IsReady() {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		record.Printf("a crowd of %d callers comes to %s", crowd, ho.Name)
		var group sync.WaitGroup
		starts := ho.Starts()
		leave := make(chan struct{})
		for caller := range crowd {
			group.Go(func() {
				cl, err := drive.DialSlow(ho.Callers, receiveBytes)
				if err != nil {
					return
				}
				defer func() { _ = cl.Close() }()
				var heads strings.Builder
				for number := range ahead {
					id := fmt.Sprintf("ahead-%s-%d-%d-%d", ho.Name, round, caller, number)
					heads.WriteString(drive.Head("GET", "/cert/"+id, "glue.example", id, callerLimit, ""))
				}
				if _, err := cl.Write([]byte(heads.String())); err != nil {
					return
				}
				<-leave
			})
		}
		for end := time.Now().Add(stay); time.Now().Before(end) && ho.Starts() == starts; time.Sleep(50 * time.Millisecond) {
			select {
			case <-stop:
				end = time.Now()
			default:
			}
		}
		close(leave)
		group.Wait()
		record.Printf("the crowd leaves %s", ho.Name)
		select {
		case <-stop:
			return
		default:
		}
	}
}
