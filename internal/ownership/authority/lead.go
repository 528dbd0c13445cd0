package authority

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/ownership/term"
)

const (
	// handOverTime bounds the wait for others to take this node's pools.
	handOverTime = 2 * time.Second
	// resignTime is the wait for a resignation to reach the table.
	resignTime = 300 * time.Millisecond
	// offerEvery is the time between two offers of routes to other domains.
	offerEvery = 400 * time.Millisecond
)

// leader is this node's part as the leader of its domain.
type leader struct {
	term  uint64
	pools *pool.Leader
	// offered is the route number last offered; turn rotates over hosts.
	offered   uint64
	nextOffer clock.Instant
	turn      int
}

// lead starts, goes on with or ends the leader's part, as the term demands.
func (co *Core) lead(now lease.Moment) []Cmd {
	cmds := co.inform(now)
	right, leads := co.term.Leads(now)
	if !leads {
		co.leader = nil
		return cmds
	}
	_, number := co.term.Leader()
	if co.leader != nil && co.leader.term != number {
		co.leader.term = number
		co.leader.pools.Continue(number)
	}
	if co.leader == nil {
		co.leader = &leader{term: number, pools: pool.NewLeader(co.line, co.defect, number, co.term.Tail(), now)}
		// A new leader has the routes of no other domain, whatever it was told
		// when it led before.
		clear(co.routes.told)
	}
	right, settled := co.limit(now, right)
	if !settled {
		return cmds
	}
	for _, to := range co.leader.pools.Tick(now) {
		answer := co.leader.pools.Push(now, to, co.term.Header(now), right)
		cmds = append(cmds, co.send(exchange.SendCmd{To: to, Notice: answer})...)
	}
	return append(cmds, co.offer(now)...)
}

// hearBeat answers a heartbeat, when this node leads.
func (co *Core) hearBeat(now lease.Moment, from ident.Host, bt exchange.Beat) []Cmd {
	cmds := co.fromTerm(now, co.term.Update(now, term.NoticeMsg{From: from, Notice: bt}))
	right, leads := co.term.Leads(now)
	if !leads || co.leader == nil || bt.Term > co.leader.term {
		return cmds
	}
	right, settled := co.limit(now, right)
	if !settled {
		return cmds
	}
	answer, ok := co.leader.pools.Beat(now, from, bt, co.term.Header(now), right)
	if ok {
		cmds = append(cmds, co.send(exchange.SendCmd{To: from, Notice: answer})...)
	}
	return cmds
}

// offer tells one host of each other domain which routes this leader has.
func (co *Core) offer(now lease.Moment) []Cmd {
	ld := co.leader
	if ld.offered == ld.pools.Number() && now.Now.Before(ld.nextOffer) {
		return nil
	}
	ld.offered, ld.nextOffer = ld.pools.Number(), now.Now.Add(offerEvery)
	ld.turn++
	var cmds []Cmd
	for _, dm := range co.bundle.Domains {
		hosts := co.bundle.HostsOf(dm.Name)
		if dm.Name == co.domain || len(hosts) == 0 {
			continue
		}
		to := hosts[ld.turn%len(hosts)].Name
		cmds = append(cmds, exchange.SendCmd{To: to, Notice: co.ownOffer()})
	}
	return cmds
}

func (co *Core) ownOffer() exchange.Offer {
	return exchange.Offer{Domain: co.domain, Leader: co.host, Term: co.leader.term, Number: co.leader.pools.Number()}
}

// stop begins a planned stop.
func (co *Core) stop(now lease.Moment) []Cmd {
	if !co.stopping.asked {
		co.stopping = stopping{asked: true, until: now.Now.Add(handOverTime)}
		co.term.Hasten()
	}
	if co.bundle == nil {
		return nil
	}
	return co.fromTerm(now, co.term.Update(now, term.TickMsg{}))
}

// finish ends a planned stop: once no pool is held the term is resigned, and
// the resignation gets a moment to reach the table.
func (co *Core) finish(now lease.Moment) []Cmd {
	st := &co.stopping
	if !st.asked || st.done {
		return nil
	}
	if st.resigned == 0 && (len(co.holders) == 0 || !now.Now.Before(st.until)) {
		st.resigned = now.Now
		_, leads := co.term.Leads(now)
		cmds := co.fromTerm(now, co.term.Update(now, term.ResignMsg{}))
		if leads {
			return cmds
		}
		st.done = true
		return append(cmds, StoppedCmd{})
	}
	if st.resigned != 0 && (co.term.Resigned() || !now.Now.Before(st.resigned.Add(resignTime))) {
		st.done = true
		return []Cmd{StoppedCmd{}}
	}
	return nil
}
