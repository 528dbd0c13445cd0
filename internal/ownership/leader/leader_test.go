package leader_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/peer/protocol"
)

// BenchmarkLeader measures the leader's work for one second of a large site: 142
// hosts, each with a status every 400 ms, and 321 keyed upstreams.
func BenchmarkLeader(b *testing.B) {
	const hosts, upstreams, service, statusInterval = 142, 321, "lookup", 400 * time.Millisecond
	now := clock.Instant(time.Hour)
	rng := rand.New(rand.NewSource(1))
	co := leader.New(now, &assignment.Table{}, election.Row{}, 0)
	ms := leader.UpstreamsMsg{Keyed: map[ident.Service]bool{service: true}}
	for ix := range upstreams {
		ms.Upstreams = append(ms.Upstreams, leader.Upstream{
			ID: ident.Upstream(fmt.Sprint("u", ix)), Service: service, Domain: ident.Domain(fmt.Sprint("d", ix%4)), Slots: 2, Usable: true, ColdRate: 2,
		})
	}
	var send func(msg any)
	send = func(msg any) {
		for _, cmd := range co.Update(now, msg) {
			switch cmd := cmd.(type) {
			case leader.CommitCmd:
				send(leader.CommittedMsg{Table: cmd.Table})
			case leader.CallCmd:
				send(leader.StepMsg{Move: cmd.Move, Step: cmd.Step, Result: leader.Taken})
			case leader.CheckCmd:
				send(leader.CheckedMsg{Upstream: cmd.Upstream, Incarnation: cmd.Incarnation, Reached: true})
			}
		}
	}
	simulateSecond := func() {
		for step := range 1000 / 10 {
			now = now.Add(10 * time.Millisecond)
			send(leader.TickMsg{})
			for host := range hosts {
				if (step+host)%int(statusInterval/(10*time.Millisecond)) != 0 {
					continue
				}
				st := protocol.Status{Member: assignment.Member{Host: ident.Host(fmt.Sprint("h", host)), Incarnation: 1, Alive: true}, Revision: co.Table().Revision}
				for range 5 {
					st.Keys = append(st.Keys, protocol.KeyLoad{Service: service, Key: keyspace.Key(rng.NormFloat64()*3000 + 30000), Count: 1})
					st.Upstreams = append(st.Upstreams, protocol.UpstreamLoad{Upstream: ident.Upstream(fmt.Sprint("u", rng.Intn(upstreams))), Answers: 1, WorkTime: 200 * time.Millisecond})
				}
				send(leader.StatusMsg{Status: st})
			}
		}
	}
	send(ms)
	for range 6 {
		simulateSecond()
	}
	b.ReportAllocs()
	for b.Loop() {
		simulateSecond()
	}
}

// BenchmarkManyMoves measures one message to a leader that has taken over hundreds of
// moves of an earlier one while 144 members, half of them silent, have not answered.
func BenchmarkManyMoves(b *testing.B) {
	const hosts, moves, service = 144, 300, "lookup"
	now := clock.Instant(time.Hour)
	tb := &assignment.Table{Revision: 100, LastEpoch: 5 * moves}
	for ix := range hosts {
		tb.Members = append(tb.Members, assignment.Member{Host: ident.Host(fmt.Sprint("h", ix)), Incarnation: 1, Alive: true})
	}
	for ix := range moves {
		from := keyspace.Key(ix * 200)
		tb.Shares = append(tb.Shares, assignment.Share{
			Service: service, Range: keyspace.Range{From: from, To: from + 199}, Owner: assignment.Claim{Upstream: "u1", Epoch: keyspace.Epoch(ix + 1)},
			Next: assignment.Claim{Upstream: "u2", Epoch: keyspace.Epoch(moves + 4*ix + 4)}, Fence: keyspace.Epoch(moves + 4*ix + 1),
		})
	}
	co := leader.New(now, tb, election.Row{Term: 4, Host: "h0"}, 0)
	for ix := range hosts / 2 {
		for revision := range assignment.Revision(100) {
			co.Update(now, leader.StatusMsg{Status: protocol.Status{Member: tb.Members[2*ix], Revision: revision}})
		}
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		co.Update(now, leader.StepMsg{})
	}
}
