package capacity

import (
	"fmt"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
)

// leaderStand drives the leases of one domain's pools by heartbeats.
type leaderStand struct {
	leader *pool.Leader
	hosts  []ident.Host
	watch  lease.Watch
	now    clock.Instant
	line   lease.Line
	beats  map[ident.Host]exchange.Beat
}

func newLeaderStand(hosts, pools int) *leaderStand {
	st := &leaderStand{line: lease.Default(), beats: map[ident.Host]exchange.Beat{}}
	st.leader = pool.NewLeader(st.line, lease.Sound, 1, st.line.Tail, st.watch.At(0))
	for hx := range hosts {
		ho := ident.Host(fmt.Sprintf("entry-%04d", hx))
		st.hosts = append(st.hosts, ho)
		st.beats[ho] = exchange.Beat{Incarnation: 1, Term: 1}
	}
	var names []ident.Pool
	for px := range pools {
		names = append(names, ident.NewPool("lookup", "domain-1", px))
	}
	st.leader.SetPools(st.watch.At(0), names)
	for range 10 {
		st.round()
	}
	return st
}

// round hears one heartbeat of every host, and answers.
func (st *leaderStand) round() {
	st.now = st.now.Add(st.line.Beat)
	right := st.now.Add(st.line.Term)
	for _, ho := range st.hosts {
		now := st.watch.At(st.now)
		bt := st.beats[ho]
		bt.Reading = st.now
		answer, _ := st.leader.Beat(now, ho, bt, exchange.Lease{Term: 1}, right)
		bt.Assignment, bt.Routes = answer.Assignment, answer.RouteNumber
		st.beats[ho] = bt
	}
	for range st.line.Beat / (25 * time.Millisecond) {
		st.leader.Tick(st.watch.At(st.now))
	}
}
