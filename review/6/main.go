// Command 6 lets the store come back from an older copy while all hosts are killed, and checks that
// no key has two owners afterwards.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"chervilwalk/review/6/drive"
)

const (
	hosts = 3
	// upstreams is how many upstreams there are, cutOff how many of them are cut off: 0.22.
	upstreams = 9
	cutOff    = 2
	// dealTime is how long the keys take to be dealt.
	dealTime = 5 * time.Second
	// cutTime is how long the upstreams are cut off.
	cutTime = 10 * time.Second
	// moveTime bounds how long their keys take to move.
	moveTime = 8 * time.Second
	// away is how long the store is away.
	away = 300 * time.Millisecond
	// calm is the time from the end of one drill to the next, in which frozen keys may move again.
	calm   = 14 * time.Second
	rounds = 3
	// maxOverlap is how long two upstreams may hold a key.
	maxOverlap  = 500 * time.Millisecond
	callerLimit = 2500 * time.Millisecond
	// keyStep is the distance of the keys that are checked.
	keyStep = 64
)

// loopback is the address that hosts, store and upstreams listen on.
const loopback = "127.0.0.1"

// desired is the operators' desired state.
const desired = `{"version":"r7","services":[{"name":"tinlook","health-path":"/health","max-conns":295,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":2.6,"sharded":true,"warm-s":3.0,"grants":"call"}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},` +
	`"virtual-hosts":[{"host":"glue.example","path-rules":[{"name":"r-check","prefix":"/check/","kind":"idempotent","timeout-s":1.2,"slo-latency-s":0.6,"priority":2,"service":"tinlook","max-attempts":2}]}]}`

func main() {
	status, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case 6:", err)
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
	zones := []string{"arusha-a", "arusha-b", "arusha-c"}
	var configs []drive.UpstreamConfig
	for number := range upstreams {
		configs = append(configs, drive.UpstreamConfig{
			ID: "i-tin-" + strconv.Itoa(number), Service: "tinlook", Zone: zones[number%len(zones)], Slots: 2, Work: 20 * time.Millisecond, AnswerBytes: 500, Keyed: true,
		})
	}
	dp, err := drive.Start(drive.Config{Address: loopback, Hosts: hosts, Record: record, Desired: desired, GraceSeconds: 6, MemoryMB: 206, Upstreams: configs})
	if err != nil {
		return drive.Failed, err
	}
	defer dp.Close()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, ho := range dp.Hosts {
		group.Go(func() { check(record, ho, stop) })
	}
	time.Sleep(dealTime)
	for round := range rounds {
		if trouble {
			if err := drill(dp, round); err != nil {
				return drive.Failed, err
			}
		}
		time.Sleep(calm)
	}
	close(stop)
	group.Wait()
	return judge(dp)
}

// drill cuts upstreams off from the store until their keys have other owners, and lets them crash and
// start again behind the cut. Then the store comes back from a copy of before, and all hosts are
// killed.
func drill(dp *drive.Deployment, round int) error {
	down := dp.Upstreams[round*cutOff : (round+1)*cutOff]
	cutAt := time.Now()
	for _, up := range down {
		dp.Cut(up)
	}
	if !moved(dp, down) {
		dp.Record.Printf("round %d: the keys have not moved", round)
	}
	for _, up := range down {
		if err := dp.Reborn(up); err != nil {
			return err
		}
	}
	if err := dp.Control(http.MethodPut, "faults", `{"down":true}`); err != nil {
		return err
	}
	time.Sleep(away)
	for _, ho := range dp.Hosts {
		ho.Signal(syscall.SIGKILL)
	}
	if err := dp.Return(time.Since(cutAt)); err != nil {
		return err
	}
	if err := dp.Control(http.MethodPut, "faults", `{}`); err != nil {
		return err
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	for _, up := range down {
		if err := dp.Heal(up); err != nil {
			return err
		}
	}
	return nil
}

// moved waits until other upstreams hold all keys.
func moved(dp *drive.Deployment, down []*drive.Upstream) bool {
	for end := time.Now().Add(moveTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		var held [drive.KeyCount]bool
		for _, up := range dp.Upstreams {
			if contains(down, up) {
				continue
			}
			for _, ho := range up.Holds() {
				if !ho.Expires.After(now) {
					continue
				}
				for key := ho.From; key <= ho.To; key++ {
					held[key] = true
				}
			}
		}
		all := true
		for _, is := range held {
			all = all && is
		}
		if all {
			return true
		}
	}
	return false
}

func contains(list []*drive.Upstream, up *drive.Upstream) bool {
	for _, other := range list {
		if other == up {
			return true
		}
	}
	return false
}

// check sends lookups of keys to a host.
func check(record *drive.Record, ho *drive.Host, stop <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprintf("check-%s-%d", ho.Name, number)
		cl, err := drive.Dial(ho.Callers)
		if err != nil {
			continue
		}
		key := (number * 7919) % drive.KeyCount
		_, err = cl.Write([]byte(drive.Head("GET", "/check/"+id, "glue.example", id, callerLimit, "Shard-Key: "+strconv.Itoa(key)+"\r\n")))
		if err == nil {
			var an *drive.Answer
			if an, err = cl.Receive("GET", time.Now().Add(callerLimit)); err == nil && an.Status != http.StatusOK {
				record.Printf("%s, key %d: status %d", id, key, an.Status)
			}
		}
		_ = cl.Close()
	}
}

// owners are two upstreams, in one of their lives each, that held keys together.
type owners struct {
	first, second         string
	firstLife, secondLife int
}

// judge applies the rule OWNER to every keyStep-th key.
func judge(dp *drive.Deployment) (int, error) {
	broken := 0
	var longest time.Duration
	seen := map[owners]int{}
	for key := 0; key < drive.KeyCount; key += keyStep {
		var holds []drive.Hold
		for _, up := range dp.Upstreams {
			for _, ho := range up.Holds() {
				if ho.From <= key && key <= ho.To {
					holds = append(holds, ho)
				}
			}
		}
		overlap, first, second := overlapOf(holds)
		longest = max(longest, overlap)
		if overlap <= maxOverlap {
			continue
		}
		broken++
		ow := owners{first.Upstream, second.Upstream, first.Life, second.Life}
		if seen[ow]++; seen[ow] == 1 {
			dp.Record.Printf("key %d: OWNER, %s life %d (epoch %d) and %s life %d (epoch %d) held it together for %v", key,
				first.Upstream, first.Life, first.Fence, second.Upstream, second.Life, second.Fence, overlap.Round(time.Millisecond))
		}
	}
	dp.Record.Printf("%d of %d keys checked had two owners for over %v, the longest for %v", broken, drive.KeyCount/keyStep, maxOverlap, longest.Round(time.Millisecond))
	if broken > 0 {
		return drive.Broken, nil
	}
	return drive.Held, nil
}

// overlapOf returns how long two upstreams held a key together without a break, and their holds at the
// beginning. Renewals follow each other.
func overlapOf(holds []drive.Hold) (longest time.Duration, first, second drive.Hold) {
	type pair struct{ left, right string }
	type span struct{ from, to time.Time }
	spans := map[pair]span{}
	for _, left := range holds {
		for _, right := range holds {
			if left.Upstream >= right.Upstream {
				continue
			}
			from, to := left.At, left.Expires
			if right.At.After(from) {
				from = right.At
			}
			if right.Expires.Before(to) {
				to = right.Expires
			}
			if !to.After(from) {
				continue
			}
			pr := pair{left.Upstream + strconv.Itoa(left.Life), right.Upstream + strconv.Itoa(right.Life)}
			sp, known := spans[pr]
			if !known || from.After(sp.to.Add(10*time.Millisecond)) || to.Before(sp.from.Add(-10*time.Millisecond)) {
				sp = span{from, to}
			}
			if from.Before(sp.from) {
				sp.from = from
			}
			if to.After(sp.to) {
				sp.to = to
			}
			spans[pr] = sp
			if length := sp.to.Sub(sp.from); length > longest {
				longest, first, second = length, left, right
			}
		}
	}
	return longest, first, second
}
