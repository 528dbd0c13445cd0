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

// bid is one attempt to lead.
type bid struct {
	round uint64
	term  uint64
	// table says that the row has lapsed and can be written.
	table bool
	base  table.Version
	// sent is when the votes were asked for; they count for one promise.
	sent  clock.Instant
	votes map[ident.Host]bool
	write *write
	// tail is how long leases of the former leader may last.
	tail time.Duration
}

// challenge watches the row while the leader does not answer, and bids for the
// term once the leader can have no right left.
func (co *Core) challenge(now lease.Moment) []exchange.Cmd {
	if co.resigned || !co.doubts(now) {
		return nil
	}
	if co.bid != nil && co.bid.write != nil && now.Now.Before(co.bid.write.sent.Add(4*co.line.Answer)) {
		return nil
	}
	if now.Now.Before(co.row.nextRead) {
		return co.askAgain(now)
	}
	co.row.nextRead = now.Now.Add(readEvery)
	cmds := co.seek()
	if co.row.silent {
		cmds = append(cmds, co.bidWithoutTable(now)...)
	}
	if co.row.reading != 0 && now.Now.Before(co.row.asked.Add(3*co.line.Answer)) {
		return cmds
	}
	co.row.reading, co.row.asked = co.number(), now.Now
	return append(cmds, exchange.TableCmd{Tag: Tag, Number: co.row.reading, Key: RowKey(co.domain)})
}

// askAgain repeats a bid between two reads, since promises end at any time.
func (co *Core) askAgain(now lease.Moment) []exchange.Cmd {
	if bd := co.bid; bd != nil && bd.write == nil {
		return co.ask(now, bd.table, bd.base)
	}
	return nil
}

// doubts tells whether the leader is unknown or has left a heartbeat unanswered.
func (co *Core) doubts(now lease.Moment) bool {
	fo := &co.follow
	if fo.leader == "" {
		return true
	}
	return !fo.answered && !now.Now.Before(fo.sent.Add(doubtAfter))
}

// seek asks a few peers in turn for the leader, when neither a leader nor the
// table is known to answer.
func (co *Core) seek() []exchange.Cmd {
	others := co.others()
	if len(others) == 0 || !co.row.silent {
		return nil
	}
	var cmds []exchange.Cmd
	for range min(seekPeers, len(others)) {
		co.seekers++
		cmds = append(cmds, exchange.SendCmd{To: others[co.seekers%len(others)], Notice: exchange.Seek{}})
	}
	return cmds
}

func (co *Core) watchAnswer(now lease.Moment, rs table.Result) []exchange.Cmd {
	rw, version, ok := oneRow(rs)
	co.row.silent = !ok
	if !ok || co.lead != nil || co.resigned {
		return nil
	}
	next := max(rw.Term, co.follow.term, co.vote.term) + 1
	if version == 0 {
		return co.claim(now, next, version, 0)
	}
	if rw.Resigned {
		return co.claim(now, next, version, co.line.Pool)
	}
	co.row.note(now, rw.Term, rw.Counter)
	if rw.Term > co.follow.term || (rw.Term == co.follow.term && co.follow.leader == "") {
		if rw.Host != co.host && rw.Host != "" {
			co.adopt(rw.Host, rw.Term)
			return co.beat(now, true)
		}
	}
	if now.Steady.Before(co.row.since.Add(lease.Longest(co.line.Term) + co.rank())) {
		if co.bid != nil && co.bid.write == nil {
			co.bid = nil
		}
		return nil
	}
	return co.ask(now, true, version)
}

// rank is how long this host holds back, so that challengers rarely meet.
func (co *Core) rank() time.Duration {
	before := 0
	for _, ho := range co.hosts {
		if ho != co.follow.leader && co.weight(ho) > co.weight(co.host) {
			before++
		}
	}
	return min(time.Duration(before)*rankDelay, maxRankDelay)
}

// bidWithoutTable asks a majority for its votes once the leader, known to go
// by its followers alone, has been silent for more than a promise.
func (co *Core) bidWithoutTable(now lease.Moment) []exchange.Cmd {
	if !co.vote.witnessed || co.vote.tableVoted {
		return nil
	}
	if now.Steady.Before(co.follow.heard.Add(lease.Longest(co.line.Promise) + co.rank())) {
		return nil
	}
	return co.ask(now, false, 0)
}

// ask starts a round of votes, with this host's own.
func (co *Core) ask(now lease.Moment, withTable bool, base table.Version) []exchange.Cmd {
	if !co.mayPromise(now, co.host) || (co.bid == nil && now.Steady.Before(co.vote.heldBack)) || (co.bid != nil && now.Now.Before(co.bid.sent.Add(readEvery/2))) {
		return nil
	}
	bd := &bid{round: co.number(), table: withTable, base: base, sent: now.Now, votes: map[ident.Host]bool{}}
	bd.term = max(co.follow.term, co.row.term, co.vote.term) + 1
	co.bid = bd
	question := exchange.Ask{Round: bd.round, Term: bd.term, Table: withTable}
	var cmds []exchange.Cmd
	for _, ho := range co.others() {
		cmds = append(cmds, exchange.SendCmd{To: ho, Notice: question})
	}
	own := co.answerAsk(now, co.host, question)
	return append(cmds, co.hearVote(now, co.host, own)...)
}

// hearAsk answers a challenger.
func (co *Core) hearAsk(now lease.Moment, from ident.Host, ak exchange.Ask) []exchange.Cmd {
	if ak.Withdrawn {
		co.takeBack(now, from, ak)
		return nil
	}
	own := co.bid
	vote := co.answerAsk(now, from, ak)
	cmds := []exchange.Cmd{exchange.SendCmd{To: from, Notice: vote}}
	if own == nil || co.bid != nil {
		return cmds
	}
	withdrawal := exchange.Ask{Round: own.round, Term: own.term, Table: own.table, Withdrawn: true}
	for _, ho := range co.others() {
		cmds = append(cmds, exchange.SendCmd{To: ho, Notice: withdrawal})
	}
	return cmds
}

// takeBack ends the promise of a vote for a bid that was withdrawn: its bidder
// counts no vote of that term any more, and another may have it.
func (co *Core) takeBack(now lease.Moment, from ident.Host, ak exchange.Ask) {
	if co.vote.to == from && co.vote.term == ak.Term && ak.Term > co.follow.term {
		co.vote.until = min(co.vote.until, now.Steady)
	}
}

// answerAsk promises the challenger unless a promise to another is in force, or
// this host knows a term as high. Without the table it must also know the
// leader to be witnessed. A bid of this host's own that has not won yet is
// withdrawn for a challenger of a higher rank, so that bids do not starve each
// other; only this host has counted its own vote.
func (co *Core) answerAsk(now lease.Moment, from ident.Host, ak exchange.Ask) exchange.Vote {
	known := max(co.follow.term, co.vote.term)
	vote := exchange.Vote{Round: ak.Round, Term: known}
	if from != co.host && ak.Term > co.follow.term {
		co.vote.heldBack = now.Steady.Add(holdBack)
	}
	yields := co.yieldsTo(from)
	again := (yields || co.vote.to == from) && ak.Term == co.vote.term && ak.Term > co.follow.term
	if (ak.Term <= known && !again) || co.lead != nil || (!yields && !co.mayPromise(now, from)) {
		return vote
	}
	if !ak.Table && (!co.vote.witnessed || co.vote.tableVoted) {
		return vote
	}
	if ak.Table {
		co.vote.tableVoted, co.vote.tableTerm = true, co.follow.term
	}
	if yields {
		co.bid = nil
	}
	co.vote.to, co.vote.term = from, ak.Term
	co.vote.until = now.Steady.Add(lease.Longest(co.line.Promise))
	vote.Granted = true
	return vote
}

// yieldsTo tells whether this host has a bid that another one outranks.
func (co *Core) yieldsTo(other ident.Host) bool {
	return co.bid != nil && co.bid.write == nil && co.vote.to == co.host && other != co.host &&
		co.weight(other) > co.weight(co.host)
}

// weight ranks the hosts of the domain.
func (co *Core) weight(ho ident.Host) uint64 {
	return ident.Weight(string(co.domain), string(ho))
}

// hearVote counts a vote; enough of them end the round.
func (co *Core) hearVote(now lease.Moment, from ident.Host, vt exchange.Vote) []exchange.Cmd {
	bd := co.bid
	if bd == nil || bd.write != nil || vt.Round != bd.round || co.lead != nil {
		return nil
	}
	if !vt.Granted {
		co.vote.term = max(co.vote.term, vt.Term)
	} else if slices.Contains(co.hosts, from) {
		bd.votes[from] = true
	}
	if !now.Now.Before(bd.sent.Add(co.line.Promise)) {
		return nil
	}
	count, all := len(bd.votes), len(co.hosts)
	switch {
	case bd.table && (2*count >= all || co.defect == lease.NoRelease):
		return co.claim(now, bd.term, bd.base, co.line.Tail)
	case !bd.table && 2*count > all:
		return co.leadByVotes(now, bd)
	}
	return nil
}

// claim writes the row for a new term. Leases of the former leader last for no
// longer than the tail after its right has ended, for up to a whole pool lease
// after a resignation, and there are none where no row was.
func (co *Core) claim(now lease.Moment, term uint64, base table.Version, tail time.Duration) []exchange.Cmd {
	bd := co.bid
	if bd == nil {
		bd = &bid{}
		co.bid = bd
	}
	wr, cmd := co.put(now, base, Row{Term: term, Host: co.host, Counter: co.row.counter + 1})
	bd.write, bd.tail = wr, tail
	return []exchange.Cmd{cmd}
}

// claimAnswer settles a claim: a conflict or a lost answer is read back.
func (co *Core) claimAnswer(now lease.Moment, mg exchange.TableMsg) []exchange.Cmd {
	wr := co.bid.write
	if mg.Number == wr.number && mg.Result.Outcome != table.Done {
		return []exchange.Cmd{co.check(wr)}
	}
	version := wr.base + 1
	if mg.Number == wr.check {
		rw, found, ok := oneRow(mg.Result)
		if !ok || rw.Attempt != wr.row.Attempt {
			co.bid = nil
			return nil
		}
		version = found
	}
	tail := co.bid.tail
	co.bid = nil
	if !now.Now.Before(wr.sent.Add(co.line.Term)) {
		return nil
	}
	return co.leadByTable(now, wr, version, tail)
}
