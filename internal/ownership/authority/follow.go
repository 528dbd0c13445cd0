package authority

import (
	"cmp"
	"maps"
	"slices"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/ownership/term"
)

// sortedKeys lists a map's keys in order, so that the same messages always
// lead to the same commands.
func sortedKeys[K cmp.Ordered, V any](of map[K]V) []K {
	return slices.Sorted(maps.Keys(of))
}

// hear takes a peer's word, or this node's own to itself. Before the first
// bundle a node knows neither its domain's hosts nor its pools, and is silent.
func (co *Core) hear(now lease.Moment, from ident.Host, notice exchange.Notice) []Cmd {
	if co.bundle == nil {
		return nil
	}
	switch nt := notice.(type) {
	case exchange.Beat:
		return co.hearBeat(now, from, nt)
	case exchange.Lease:
		return co.hearLease(now, from, nt)
	case exchange.Carry:
		return co.carryFor(from, nt)
	case exchange.Carried:
		return co.hearCarried(now, nt)
	case exchange.Copy, exchange.Copied, exchange.Recall, exchange.Recalled:
		return co.hearCopy(now, from, nt)
	case exchange.Offer, exchange.Want, exchange.Told:
		return co.hearRoutes(from, nt)
	case exchange.Neighbour:
		return co.hearDomain(now, from, nt)
	case exchange.Place, exchange.WantPlace:
		return co.hearPlace(now, from, nt)
	default:
		return co.fromTerm(now, co.term.Update(now, term.NoticeMsg{From: from, Notice: nt}))
	}
}

// fromTerm completes the election's commands: a heartbeat says what this node
// holds, and table operations get their numbers.
func (co *Core) fromTerm(now lease.Moment, cmds []Cmd) []Cmd {
	var out []Cmd
	for _, cmd := range cmds {
		switch cm := cmd.(type) {
		case exchange.SendCmd:
			if bt, ok := cm.Notice.(exchange.Beat); ok {
				cm.Notice = co.fill(now, bt)
			}
			out = append(out, co.send(cm)...)
		case exchange.TableCmd:
			out = append(out, co.operate(now, cm, nil))
		}
	}
	return out
}

// fromHolder numbers a holder's table operations.
func (co *Core) fromHolder(ho *pool.Holder, cmds []Cmd) []Cmd {
	var out []Cmd
	for _, cmd := range cmds {
		switch cm := cmd.(type) {
		case exchange.TableCmd:
			out = append(out, co.operate(lease.Moment{Now: co.watch.Last()}, cm, ho))
		case exchange.SendCmd:
			out = append(out, co.send(cm)...)
		default:
			out = append(out, cmd)
		}
	}
	return out
}

// send keeps back what this node says to itself.
func (co *Core) send(cm exchange.SendCmd) []Cmd {
	if cm.To == co.host {
		co.own = append(co.own, cm.Notice)
		return nil
	}
	return []Cmd{cm}
}

// fill adds to a heartbeat what the leader must know of this node.
func (co *Core) fill(now lease.Moment, bt exchange.Beat) exchange.Beat {
	bt.Leaving = co.stopping.asked
	if co.appliedTerm == bt.Term {
		bt.Assignment, bt.Routes = co.applied, co.routes.number
	}
	for _, name := range sortedKeys(co.holders) {
		ho := co.holders[name]
		if co.appliedTerm != bt.Term && ho.Live(now) {
			bt.Held = append(bt.Held, ho.Claim())
		}
		if cl, ok := ho.Refused(); ok {
			bt.Refused = append(bt.Refused, cl)
		}
	}
	return bt
}

// hearLease takes the leader's answer: the pools assigned, their lease and the
// routes.
func (co *Core) hearLease(now lease.Moment, from ident.Host, ls exchange.Lease) []Cmd {
	if !co.term.Accepts(from, ls) {
		return nil
	}
	cmds := co.fromTerm(now, co.term.Update(now, term.NoticeMsg{From: from, Notice: ls}))
	if ls.Incarnation == 0 {
		return cmds
	}
	same := co.appliedTerm == ls.Term
	if (same && ls.Assignment < co.applied) || (!ls.Changed && (!same || ls.Assignment != co.applied)) {
		return cmds
	}
	if ls.Changed {
		cmds = append(cmds, co.assign(now, ls)...)
	}
	for _, name := range sortedKeys(co.holders) {
		co.holders[name].Extend(now, ls.Until)
		cmds = append(cmds, co.fromHolder(co.holders[name], co.holders[name].Tick(now))...)
	}
	co.learnRoutes(ls, same)
	return append(cmds, co.showRoutes(now)...)
}

// assign puts an assignment in force and has it confirmed at once, unless this
// node's bundle does not have one of the pools yet; then it is sent again.
func (co *Core) assign(now lease.Moment, ls exchange.Lease) []Cmd {
	var cmds []Cmd
	given := map[ident.Pool]exchange.Assigned{}
	for _, as := range ls.Pools {
		given[as.Pool] = as
	}
	for _, name := range sortedKeys(co.holders) {
		as, kept := given[name]
		cl := co.holders[name].Claim()
		if kept && as.Term == cl.Term && as.Epoch == cl.Epoch {
			continue
		}
		delete(co.holders, name)
		if !kept {
			cmds = append(cmds, DropCmd{Pool: name})
		}
	}
	known := true
	for _, as := range ls.Pools {
		pl, ok := co.pools[as.Pool]
		known = known && ok
		if ok && co.holders[as.Pool] == nil {
			ho := pool.NewHolder(co.host, co.line, co.defect, pl, as, now)
			ho.SetPeers(co.peers())
			if co.tables.silent {
				ho.SetSilent()
			}
			co.holders[as.Pool] = ho
		}
	}
	if known && (ls.Assignment != co.applied || ls.Term != co.appliedTerm) {
		co.term.Hasten()
	}
	co.applied, co.appliedTerm = ls.Assignment, ls.Term
	if !known {
		co.applied = 0
	}
	return cmds
}

// hearCopy keeps, returns and confirms copies of pools' rows.
func (co *Core) hearCopy(now lease.Moment, from ident.Host, notice exchange.Notice) []Cmd {
	switch nt := notice.(type) {
	case exchange.Copy:
		rw, err := pool.DecodeRow(nt.Value)
		if err != nil {
			return nil
		}
		if rw.Compare(co.copies[nt.Pool]) > 0 {
			co.copies[nt.Pool] = rw
		}
		return co.send(exchange.SendCmd{To: from, Notice: exchange.Copied{Pool: nt.Pool, Number: nt.Number}})
	case exchange.Copied:
		if ho := co.holders[nt.Pool]; ho != nil {
			return co.fromHolder(ho, ho.HearCopied(now, from, nt.Number))
		}
	case exchange.Recall:
		answer := exchange.Recalled{Pool: nt.Pool}
		if rw, ok := co.copies[nt.Pool]; ok {
			answer.Value = pool.EncodeRow(rw)
		}
		return co.send(exchange.SendCmd{To: from, Notice: answer})
	case exchange.Recalled:
		if ho := co.holders[nt.Pool]; ho != nil {
			return co.fromHolder(ho, ho.HearRecalled(now, from, nt.Value))
		}
	}
	return nil
}

// stopping is the state of a planned stop.
type stopping struct {
	asked    bool
	until    clock.Instant
	resigned clock.Instant
	done     bool
}
