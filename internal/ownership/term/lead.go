package term

import (
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
)

// mode says what a leader's right rests on.
type mode int

const (
	// byTable rests on the row's lease or on a majority's promises.
	byTable mode = iota
	// witnessed rests on a majority's promises alone, and the followers know.
	witnessed
	// returning is witnessed until a majority knows that it no longer is.
	returning
)

// leading is the state of a leader.
type leading struct {
	term    uint64
	counter uint64
	mode    mode
	// returned is the reading from which answers say "not witnessed".
	returned   clock.Instant
	tableUntil clock.Instant
	// promises are the ends of the followers' promises, echoes their latest
	// echoes, both on this node's raw clock.
	promises map[ident.Host]clock.Instant
	echoes   map[ident.Host]clock.Instant
	version  table.Version
	known    bool
	// tail is how long leases of the former leader may last.
	tail time.Duration
	// outbid is the highest term that a host follows. It can be higher
	// than the leader's own where all who voted for it have restarted; the leader
	// then begins a term above it.
	outbid    uint64
	write     *write
	nextRenew clock.Instant
}

// Leads returns the end of this node's right to lead, if it has one.
func (co *Core) Leads(now lease.Moment) (clock.Instant, bool) {
	if co.lead == nil {
		return 0, false
	}
	until := co.rightUntil()
	return until, now.Now.Before(until)
}

// Tail is how long, from the start of this node's term, leases of the former
// leader may last.
func (co *Core) Tail() time.Duration { return co.lead.tail }

// Header fills the part of an answer that concerns the election.
func (co *Core) Header(now lease.Moment) exchange.Lease {
	return exchange.Lease{
		Term:      co.lead.term,
		Counter:   co.lead.counter,
		Witnessed: co.lead.mode == witnessed,
		Reading:   now.Now,
	}
}

func (co *Core) rightUntil() clock.Instant {
	until := co.majority(co.lead.promises)
	if co.lead.mode == byTable {
		until = max(until, co.lead.tableUntil)
	}
	return until
}

// majority returns the latest instant that more than half of the hosts reach.
func (co *Core) majority(of map[ident.Host]clock.Instant) clock.Instant {
	ends := make([]clock.Instant, 0, len(co.hosts))
	for _, ho := range co.hosts {
		ends = append(ends, of[ho])
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-1-len(ends)/2]
}

// stepDownIfLapsed gives up for good: a leader without a right must win anew.
func (co *Core) stepDownIfLapsed(now lease.Moment) {
	if co.lead == nil || now.Now.Before(co.rightUntil()) {
		return
	}
	co.stepDown()
}

func (co *Core) stepDown() {
	co.lead = nil
	co.follow.leader = ""
	co.row.nextRead = 0
}

func (co *Core) leadByTable(now lease.Moment, wr *write, version table.Version, tail time.Duration) []exchange.Cmd {
	co.lead = &leading{
		term: wr.row.Term, counter: wr.row.Counter, version: version, known: true, tail: tail,
		tableUntil: wr.sent.Add(co.line.Term),
		promises:   map[ident.Host]clock.Instant{},
		echoes:     map[ident.Host]clock.Instant{},
		nextRenew:  wr.sent.Add(co.line.Renew),
	}
	return co.announce(now)
}

// leadByVotes starts a term without the table: the votes are promises.
func (co *Core) leadByVotes(now lease.Moment, bd *bid) []exchange.Cmd {
	ld := &leading{
		term: bd.term, counter: co.row.counter, mode: witnessed, tail: co.line.Tail,
		promises: map[ident.Host]clock.Instant{},
		echoes:   map[ident.Host]clock.Instant{},
	}
	for ho := range bd.votes {
		ld.promises[ho] = bd.sent.Add(co.line.Promise)
	}
	co.bid, co.lead = nil, ld
	return co.announce(now)
}

// announce tells all hosts of the new term; they answer with heartbeats.
func (co *Core) announce(now lease.Moment) []exchange.Cmd {
	co.follow = following{leader: co.host, term: co.lead.term}
	co.vote.witnessed, co.vote.tableVoted = false, false
	var cmds []exchange.Cmd
	for _, ho := range co.others() {
		cmds = append(cmds, exchange.SendCmd{To: ho, Notice: co.Header(now)})
	}
	return append(cmds, co.beat(now, true)...)
}

// hearBeat counts a follower's promise from the echo of this leader's clock.
func (co *Core) hearBeat(now lease.Moment, from ident.Host, bt exchange.Beat) []exchange.Cmd {
	ld := co.lead
	if ld != nil && bt.Term > ld.term {
		ld.outbid = max(ld.outbid, bt.Term)
	}
	if ld == nil || bt.Term > ld.term {
		if co.follow.leader != "" && co.follow.leader != co.host {
			return []exchange.Cmd{exchange.SendCmd{To: from, Notice: exchange.Lead{Leader: co.follow.leader, Term: co.follow.term}}}
		}
		return nil
	}
	if bt.Term != ld.term || bt.Echo > now.Now {
		return nil
	}
	if bt.Promise {
		ld.promises[from] = max(ld.promises[from], bt.Echo.Add(co.line.Promise))
	}
	ld.echoes[from] = max(ld.echoes[from], bt.Echo)
	if ld.mode == returning && co.majority(ld.echoes) >= ld.returned {
		ld.mode = byTable
	}
	return nil
}

// renew writes the row when it is due. A leader whose row is about to lapse
// tells its followers that it goes by them alone.
func (co *Core) renew(now lease.Moment) []exchange.Cmd {
	ld := co.lead
	if ld.mode != witnessed && ld.tableUntil.Sub(now.Now) < co.line.Term/2 && co.majority(ld.promises) > ld.tableUntil {
		ld.mode = witnessed
	}
	if ld.write != nil && now.Now.Before(ld.write.sent.Add(4*co.line.Answer)) {
		return nil
	}
	if now.Now.Before(ld.nextRenew) {
		return nil
	}
	ld.nextRenew = now.Now.Add(co.line.Renew)
	if !ld.known {
		ld.write = &write{sent: now.Now}
		return []exchange.Cmd{co.check(ld.write)}
	}
	row := Row{Term: ld.term, Host: co.host, Counter: ld.counter + 1}
	if ld.mode == byTable && ld.outbid >= ld.term {
		row.Term = ld.outbid + 1
	}
	wr, cmd := co.put(now, ld.version, row)
	ld.write = wr
	return []exchange.Cmd{cmd}
}

// renewAnswer settles a renewal: a conflict or a lost answer is read back.
func (co *Core) renewAnswer(now lease.Moment, mg exchange.TableMsg) []exchange.Cmd {
	ld := co.lead
	wr := ld.write
	if mg.Number == wr.check {
		return co.renewChecked(now, wr, mg.Result)
	}
	if mg.Result.Outcome != table.Done {
		return []exchange.Cmd{co.check(wr)}
	}
	return co.renewed(now, wr, wr.base+1)
}

func (co *Core) renewChecked(now lease.Moment, wr *write, rs table.Result) []exchange.Cmd {
	ld := co.lead
	ld.write = nil
	rw, version, ok := oneRow(rs)
	switch {
	case !ok:
	case rw.Attempt == wr.row.Attempt && wr.number != 0:
		return co.renewed(now, wr, version)
	case rw.Attempt.Host == co.host && rw.Attempt.Incarnation == co.incarnation && rw.Term == ld.term:
		ld.version, ld.counter, ld.known = version, max(ld.counter, rw.Counter), true
		ld.nextRenew = now.Now
	case rw.Term >= ld.term && rw.Host != co.host:
		co.stepDown()
	case ld.mode == byTable && version != wr.base && ld.known:
		co.stepDown()
	default:
		ld.version, ld.known = version, true
		ld.nextRenew = now.Now
	}
	return nil
}

// renewed counts the row's lease from before the write was sent.
func (co *Core) renewed(now lease.Moment, wr *write, version table.Version) []exchange.Cmd {
	ld := co.lead
	if wr.row.Term > ld.term {
		return co.leadByTable(now, wr, version, co.line.Pool)
	}
	ld.write = nil
	ld.version, ld.known = version, true
	ld.counter = max(ld.counter, wr.row.Counter)
	ld.tableUntil = max(ld.tableUntil, wr.sent.Add(co.line.Term))
	if ld.mode == witnessed {
		ld.mode, ld.returned = returning, now.Now
	}
	return nil
}

// resign gives the term up. The row says so only when it alone carried the
// right: without the table a successor may already have been voted for.
func (co *Core) resign(now lease.Moment) []exchange.Cmd {
	co.resigned, co.bid = true, nil
	ld := co.lead
	if ld == nil {
		return nil
	}
	co.stepDown()
	var cmds []exchange.Cmd
	if ld.mode == byTable && ld.known {
		cmds = append(cmds, co.putResigned(now, ld.term, ld.counter+1, ld.version))
	}
	for _, ho := range co.others() {
		cmds = append(cmds, exchange.SendCmd{To: ho, Notice: exchange.Lead{Term: ld.term}})
	}
	return cmds
}

func (co *Core) putResigned(now lease.Moment, term, counter uint64, base table.Version) exchange.Cmd {
	wr, cmd := co.put(now, base, Row{Term: term, Host: co.host, Counter: counter, Resigned: true})
	co.resigning = wr
	return cmd
}

// Resigned tells whether a resignation was recorded, or needs no record.
func (co *Core) Resigned() bool { return co.resigned && co.resigning == nil }

// resignAnswer settles a resignation. A renewal that was under way may have
// been written before it; then the resignation is written over that.
func (co *Core) resignAnswer(now lease.Moment, mg exchange.TableMsg) []exchange.Cmd {
	wr := co.resigning
	if mg.Number == wr.number && mg.Result.Outcome != table.Done {
		return []exchange.Cmd{co.check(wr)}
	}
	co.resigning = nil
	if mg.Number == wr.number {
		return nil
	}
	rw, version, ok := oneRow(mg.Result)
	own := rw.Attempt.Host == co.host && rw.Attempt.Incarnation == co.incarnation
	if !ok || !own || rw.Term != wr.row.Term || rw.Resigned {
		return nil
	}
	return []exchange.Cmd{co.putResigned(now, rw.Term, rw.Counter+1, version)}
}
