// Package term elects the leader of a failure domain.
//
// The leader renews a lease row in the table. When the table is silent it goes
// on while more than half of the domain's hosts promise to support nobody
// else. A successor needs the lapsed row and the release of at least half of
// the hosts, or, when the leader is known to go by its followers alone, the
// votes of more than half:
//
//	co := term.New("n1", "north", incarnation)
//	cmds := co.Update(now, term.TickMsg{})
//	if until, ok := co.Leads(now); ok { /* lease pools */ }
package term

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
)

const (
	// doubtAfter is how long a heartbeat may be unanswered before the row is read.
	doubtAfter = 60 * time.Millisecond
	// readEvery is the time between two reads of the row while in doubt.
	readEvery = 100 * time.Millisecond
	// rankDelay keeps challengers apart, by their rank.
	rankDelay = 30 * time.Millisecond
	// maxRankDelay bounds rankDelay over all ranks.
	maxRankDelay = 300 * time.Millisecond
	// holdBack is how long a host leaves the bidding to another that asked for
	// its vote, even if it could not give it yet; bidders ask every readEvery.
	holdBack = 250 * time.Millisecond
	// seekPeers is how many peers are asked for the leader at a time.
	seekPeers = 3
)

// Msg is something that happened.
type Msg interface{ isMsg() }

// TickMsg says that time has passed.
type TickMsg struct{}

// HostsMsg names the hosts of the domain.
type HostsMsg struct{ Hosts []ident.Host }

// NoticeMsg is a peer's word.
type NoticeMsg struct {
	From   ident.Host
	Notice exchange.Notice
}

// TableMsg is the result of a table operation.
type TableMsg struct{ exchange.TableMsg }

// ResignMsg asks a leader to give up its term, and anyone never to lead again.
type ResignMsg struct{}

func (TickMsg) isMsg()   {}
func (HostsMsg) isMsg()  {}
func (NoticeMsg) isMsg() {}
func (TableMsg) isMsg()  {}
func (ResignMsg) isMsg() {}

// Option changes a core at its making.
type Option func(*Core)

// WithLine sets the time line.
func WithLine(ln lease.Line) Option {
	return func(co *Core) { co.line = ln }
}

// WithDefect breaks a rule, to show that a test's oracle notices.
func WithDefect(df lease.Defect) Option {
	return func(co *Core) { co.defect = df }
}

// Core is one node's part in the elections of its domain.
type Core struct {
	host        ident.Host
	domain      ident.Domain
	incarnation exchange.Incarnation
	line        lease.Line
	defect      lease.Defect
	hosts       []ident.Host
	resigned    bool
	numbers     uint64

	follow following
	vote   voting
	row    watching
	bid    *bid
	lead   *leading
	// resigning is the write that records a resignation.
	resigning *write
	seekers   int
}

// following is what a node knows of the leader it follows.
type following struct {
	leader ident.Host
	term   uint64
	// reading is the leader's clock in its latest answer to this process.
	reading clock.Instant
	// heard is when that answer came.
	heard clock.Instant
	// sent is the reading of the latest heartbeat, answered whether it was.
	sent     clock.Instant
	answered bool
	nextBeat clock.Instant
}

// voting is what a node has promised.
type voting struct {
	to ident.Host
	// until is the promise's end on the steady clock.
	until clock.Instant
	// term is the highest that was voted for.
	term uint64
	// witnessed says that the leader of the followed term goes by followers
	// alone, as far as this process knows.
	witnessed bool
	// tableTerm is the highest term at which a vote was given to a challenger
	// with the table; only a leader of a later term can be witnessed again.
	tableTerm  uint64
	tableVoted bool
	// heldBack is how long this host leaves the bidding to one that asked.
	heldBack clock.Instant
}

// New makes the core of a node that has just started. It abstains for one
// promise, because an earlier process of its host may have promised.
func New(host ident.Host, domain ident.Domain, incarnation exchange.Incarnation, opts ...Option) *Core {
	co := &Core{host: host, domain: domain, incarnation: incarnation, line: lease.Default(), numbers: uint64(incarnation)}
	for _, opt := range opts {
		opt(co)
	}
	co.vote.until = clock.Instant(0).Add(lease.Longest(co.line.Promise))
	return co
}

// Update takes one message and returns what to do. A right that has lapsed is
// given up before the message is looked at.
func (co *Core) Update(now lease.Moment, msg Msg) []exchange.Cmd {
	co.stepDownIfLapsed(now)
	switch mg := msg.(type) {
	case TickMsg:
		return co.tick(now)
	case HostsMsg:
		co.hosts = mg.Hosts
	case NoticeMsg:
		return co.hear(now, mg)
	case TableMsg:
		return co.tableAnswer(now, mg.TableMsg)
	case ResignMsg:
		return co.resign(now)
	}
	return nil
}

// Leader returns the leader that this node follows, and its term.
func (co *Core) Leader() (ident.Host, uint64) {
	return co.follow.leader, co.follow.term
}

func (co *Core) tick(now lease.Moment) []exchange.Cmd {
	if len(co.hosts) == 0 {
		return nil
	}
	cmds := co.beat(now, false)
	if co.lead != nil {
		return append(cmds, co.renew(now)...)
	}
	return append(cmds, co.challenge(now)...)
}

// beat sends a heartbeat when one is due. It promises only while the leader
// answers, so that a lost leader's followers are free one promise later.
func (co *Core) beat(now lease.Moment, atOnce bool) []exchange.Cmd {
	fo := &co.follow
	if fo.leader == "" || (!atOnce && now.Now.Before(fo.nextBeat)) {
		return nil
	}
	fo.nextBeat = now.Now.Add(co.line.Beat)
	promise := fo.answered && fo.reading != 0 && co.mayPromise(now, fo.leader)
	if promise {
		co.vote.to = fo.leader
		co.vote.until = now.Steady.Add(lease.Longest(co.line.Promise))
	}
	fo.sent, fo.answered = now.Now, false
	return []exchange.Cmd{exchange.SendCmd{To: fo.leader, Notice: exchange.Beat{
		Incarnation: co.incarnation,
		Reading:     now.Now,
		Echo:        fo.reading,
		Term:        fo.term,
		Promise:     promise,
	}}}
}

// mayPromise tells whether no promise to anybody else is in force.
func (co *Core) mayPromise(now lease.Moment, to ident.Host) bool {
	return co.vote.to == to || !now.Steady.Before(co.vote.until)
}

func (co *Core) hear(now lease.Moment, mg NoticeMsg) []exchange.Cmd {
	switch nt := mg.Notice.(type) {
	case exchange.Lease:
		return co.hearLease(now, mg.From, nt)
	case exchange.Beat:
		return co.hearBeat(now, mg.From, nt)
	case exchange.Ask:
		return co.hearAsk(now, mg.From, nt)
	case exchange.Vote:
		return co.hearVote(now, mg.From, nt)
	case exchange.Seek:
		if co.follow.leader != "" {
			lead := exchange.Lead{Leader: co.follow.leader, Term: co.follow.term}
			return []exchange.Cmd{exchange.SendCmd{To: mg.From, Notice: lead}}
		}
	case exchange.Lead:
		return co.hearLead(now, nt)
	}
	return nil
}

// Accepts tells whether a leader's answer is meant for this process and newer
// than all before; the caller asks before it hands the answer to Update.
func (co *Core) Accepts(from ident.Host, ls exchange.Lease) bool {
	fo := &co.follow
	if ls.Incarnation != 0 && ls.Incarnation != co.incarnation {
		return false
	}
	if ls.Term != fo.term || fo.leader == "" {
		return ls.Term >= fo.term
	}
	return from == fo.leader && ls.Reading >= fo.reading
}

func (co *Core) hearLease(now lease.Moment, from ident.Host, ls exchange.Lease) []exchange.Cmd {
	if !co.Accepts(from, ls) {
		return nil
	}
	fresh := ls.Term > co.follow.term || co.follow.leader == ""
	if fresh {
		co.adopt(from, ls.Term)
	}
	co.row.note(now, ls.Term, ls.Counter)
	if ls.Incarnation == 0 {
		return co.beat(now, true)
	}
	fo := &co.follow
	fo.reading, fo.heard = ls.Reading, now.Steady
	fo.answered = fo.answered || ls.Heard == fo.sent
	if !co.vote.tableVoted || ls.Term > co.vote.tableTerm {
		co.vote.tableVoted = false
		co.vote.witnessed = ls.Witnessed
	}
	return nil
}

// adopt follows another leader.
func (co *Core) adopt(leader ident.Host, term uint64) {
	if co.lead != nil && term > co.lead.term {
		co.lead = nil
	}
	if leader != co.host {
		co.bid = nil
	}
	co.follow = following{leader: leader, term: term}
	co.vote.witnessed = false
}

func (co *Core) hearLead(now lease.Moment, ld exchange.Lead) []exchange.Cmd {
	if ld.Leader == "" && ld.Term == co.follow.term {
		co.follow.leader = ""
		co.row.nextRead = 0
		return co.challenge(now)
	}
	if ld.Leader == "" || ld.Term < co.follow.term || (ld.Term == co.follow.term && co.follow.leader != "") {
		return nil
	}
	co.adopt(ld.Leader, ld.Term)
	return co.beat(now, true)
}

// Hasten makes the next heartbeat due, to confirm what an answer changed.
func (co *Core) Hasten() { co.follow.nextBeat = 0 }

// number gives the next number for a table operation.
func (co *Core) number() uint64 {
	co.numbers++
	return co.numbers
}

// others lists the hosts of the domain but this one.
func (co *Core) others() []ident.Host {
	var list []ident.Host
	for _, ho := range co.hosts {
		if ho != co.host {
			list = append(list, ho)
		}
	}
	return list
}
