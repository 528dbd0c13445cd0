// Package domain decides, for the leader of one failure domain, whether the
// domain may go on while it cannot reach the table, and when it may take over
// the slices of a domain that is lost.
//
// Domains are voters. A leader that cannot renew its term's row goes on while
// at least half of the other domains promise to support it:
//
//	co := domain.New("north")
//	co.Update(now, domain.LeadMsg{Lead: domain.Lead{Term: 3, Inner: inner, Table: table, Row: 9}})
//	until := co.Until("lookup") // the leader hands out no lease beyond it
//
// A challenger needs the table, an unchanged term row for a full lease, and so
// many releases at one instant that the promises left cannot carry the domain.
package domain

import (
	"cmp"
	"slices"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
)

// Lead is what the domain's own election says of this node.
type Lead struct {
	// Term is 0 while the node does not lead.
	Term uint64
	// Inner is the end of the lead by the domain's own hosts or the table.
	Inner clock.Instant
	// Table is the end of the lead by the table alone.
	Table clock.Instant
	// Row is the version of the term's row that the lead rests on.
	Row table.Version
}

// Msg is something that happened.
type Msg interface{ isMsg() }

// TickMsg says that time has passed.
type TickMsg struct{}

// BundleMsg says that a bundle is in force.
type BundleMsg struct{ Bundle *bundle.Bundle }

// LeadMsg says that the node's lead has changed.
type LeadMsg struct{ Lead Lead }

// HeartbeatMsg comes from another domain's leader and asks for support.
type HeartbeatMsg struct {
	From ident.Domain
	// Term is the sender's; it tells its clock from that of another leader.
	Term uint64
	// Reading is the sender's clock.
	Reading clock.Instant
	// Row is the version of the sender's term row.
	Row table.Version
	// Covered says that the sender's domain goes on.
	Covered bool
	// Echo is the receiver's latest word to this sender.
	Echo Echo
}

// Echo is a reading of a leader's clock that another leader has heard.
type Echo struct {
	Term    uint64
	Reading clock.Instant
}

// SupportMsg promises a domain support until a deadline on its own clock.
type SupportMsg struct {
	From ident.Domain
	// Term is that of the heartbeat; the deadline counts for this leader alone.
	Term  uint64
	Until clock.Instant
	// Word is the sender's term and clock.
	Word Echo
	// Vouched says that the sender released the domain to no challenger since
	// the domain was last covered.
	Vouched bool
}

// AskReleaseMsg asks for a proof that a domain is not supported.
type AskReleaseMsg struct {
	From    ident.Domain
	Term    uint64
	About   ident.Domain
	Reading clock.Instant
}

// ReleaseMsg states that the sender supports a domain neither now nor before a
// deadline on the receiver's clock.
type ReleaseMsg struct {
	From  ident.Domain
	Term  uint64
	About ident.Domain
	Until clock.Instant
}

// AliveMsg comes from a host of another domain that does not lead it. The domain
// is not lost then, and is about to elect a leader.
type AliveMsg struct{ From ident.Domain }

// RowsMsg is what was read of a domain's rows.
type RowsMsg struct {
	Domain ident.Domain
	Term   table.Version
	// Attempt is the fence's attempt id; empty when no fence is in force.
	Attempt string
	// Charter has version 0 when there is none.
	CharterVersion table.Version
	Charter        Charter
}

// TakenMsg is the outcome of a TakeCmd.
type TakenMsg struct {
	Cmd     TakeCmd
	Outcome table.Outcome
	// Term is the version of the fence's row once it is Done.
	Term table.Version
}

// CharterMsg is the outcome of a CharterCmd.
type CharterMsg struct {
	Cmd     CharterCmd
	Outcome table.Outcome
}

// EmptiedMsg says whether the own domain still owns slices; a domain that was
// taken out retires once it owns none.
type EmptiedMsg struct{ Empty bool }

func (TickMsg) isMsg()       {}
func (BundleMsg) isMsg()     {}
func (LeadMsg) isMsg()       {}
func (HeartbeatMsg) isMsg()  {}
func (SupportMsg) isMsg()    {}
func (AskReleaseMsg) isMsg() {}
func (ReleaseMsg) isMsg()    {}
func (AliveMsg) isMsg()      {}
func (RowsMsg) isMsg()       {}
func (TakenMsg) isMsg()      {}
func (CharterMsg) isMsg()    {}
func (EmptiedMsg) isMsg()    {}

// Cmd is something to do.
type Cmd interface{ isCmd() }

// SendCmd sends a message to the leader of another domain.
type SendCmd struct {
	To  ident.Domain
	Msg Msg
}

// ReadCmd reads a domain's term and charter; its answer is a RowsMsg.
type ReadCmd struct{ Domain ident.Domain }

// Check is a charter whose version a transaction compares and whose content it
// leaves as it is.
type Check struct {
	Domain  ident.Domain
	Version table.Version
	// Charter is what the row holds at that version.
	Charter Charter
}

// TakeCmd fences a lost domain and moves its slices of some services to other
// domains, in one transaction. Where the domain owns no slice of the services,
// nothing is written and the outcome is Done. Its answer is a TakenMsg.
type TakeCmd struct {
	Attempt  string
	Domain   ident.Domain
	Term     table.Version
	Checks   []Check
	Services []ident.Service
}

// CharterCmd writes the own charter; its answer is a CharterMsg.
type CharterCmd struct {
	Base    table.Version
	Charter Charter
}

func (SendCmd) isCmd()    {}
func (ReadCmd) isCmd()    {}
func (TakeCmd) isCmd()    {}
func (CharterCmd) isCmd() {}

// peer is what the core knows of another domain.
type peer struct {
	// heard is when its leader was last heard, alive when another host was.
	heard clock.Instant
	alive clock.Instant
	// row is the newest version known of its term row, and since when.
	row      table.Version
	rowSince clock.Instant
	// supports is the end of its promise to this domain.
	supports clock.Instant
	vouches  bool
	word     Echo
	// bound is when the last promise to it has surely ended everywhere, and
	// barred when a promise to it is possible again after a release.
	bound  clock.Instant
	barred clock.Instant
	// released is the reading of the last release; vouched tells that the domain
	// was covered after it.
	released  clock.Instant
	vouched   bool
	dark      bool
	darkSince clock.Instant
	// charter is what was read of its charter's row.
	charter        Charter
	charterVersion table.Version
	challenge      *challenge
}

// Core is the decisions of one node on its domain's part among the domains.
type Core struct {
	own       ident.Domain
	rules     rules
	bundle    *bundle.Bundle
	lead      Lead
	since     lease.Moment
	book      book
	peers     map[ident.Domain]*peer
	cover     clock.Instant
	lapsed    bool
	recovered uint64
	empty     bool
	attempts  uint64
	nextBeat  clock.Instant
	nextBook  clock.Instant
}

// New makes the core of a node in a domain.
func New(own ident.Domain, opts ...Option) *Core {
	co := &Core{own: own, rules: soundRules(lease.Default()), peers: map[ident.Domain]*peer{}, lapsed: true}
	for _, opt := range opts {
		opt(co)
	}
	return co
}

// Option changes a core at its making.
type Option func(*Core)

// WithLine sets the time line of terms and pool leases.
func WithLine(ln lease.Line) Option {
	return func(co *Core) { co.rules = soundRules(ln) }
}

// Update takes one message and returns what to do. A process that was frozen
// finds its cover lapsed before it looks at the message.
func (co *Core) Update(now lease.Moment, msg Msg) []Cmd {
	co.lapse(now)
	switch mg := msg.(type) {
	case BundleMsg:
		co.adopt(now, mg.Bundle)
	case LeadMsg:
		return co.follow(now, mg.Lead)
	case TickMsg:
		return co.tick(now)
	case HeartbeatMsg:
		return co.hear(now, mg)
	case SupportMsg:
		co.support(now, mg)
	case AskReleaseMsg:
		return co.release(now, mg)
	case ReleaseMsg:
		co.collect(mg)
	case AliveMsg:
		co.peer(now, mg.From).alive = now.Steady
	case RowsMsg:
		co.learn(now, mg)
	case TakenMsg:
		return co.taken(now, mg)
	case CharterMsg:
		return co.recorded(mg)
	case EmptiedMsg:
		co.empty = mg.Empty
	}
	return nil
}

// adopt puts a bundle in force; domains that left it are forgotten, but not
// before the promises to them have ended.
func (co *Core) adopt(now lease.Moment, bn *bundle.Bundle) {
	co.bundle = bn
	for _, dm := range bn.Domains {
		if dm.Name == co.own {
			continue
		}
		pe := co.peer(now, dm.Name)
		if dm.Dark && !pe.dark {
			pe.darkSince = now.Steady
		}
		pe.dark = dm.Dark
	}
}

func (co *Core) peer(now lease.Moment, dm ident.Domain) *peer {
	pe := co.peers[dm]
	if pe == nil {
		pe = &peer{
			heard: now.Steady, rowSince: now.Steady, released: co.since.Now,
			bound: co.since.Steady.Add(co.rules.bound), barred: co.since.Steady.Add(co.rules.barred),
		}
		co.peers[dm] = pe
	}
	return pe
}

// names lists the other domains in a fixed order.
func (co *Core) names() []ident.Domain {
	names := make([]ident.Domain, 0, len(co.peers))
	for dm := range co.peers {
		names = append(names, dm)
	}
	slices.SortFunc(names, cmp.Compare[ident.Domain])
	return names
}

// follow takes a change of the lead. A node that begins a term knows nothing
// of the promises and releases of the leader before it, and waits both out.
func (co *Core) follow(now lease.Moment, ld Lead) []Cmd {
	if ld.Term != co.lead.Term {
		co.begin(now)
	}
	renewed := ld.Row != co.lead.Row
	co.lead = ld
	if ld.Term == 0 {
		return nil
	}
	if co.lapsed && now.Now.Before(ld.Table) {
		co.lapsed = false
		co.recovered++
	}
	co.extend()
	co.restore(now)
	if renewed && co.bundle != nil && co.leads(now) {
		co.nextBeat = now.Now.Add(HeartbeatEvery)
		return co.beat(now)
	}
	return nil
}

func (co *Core) begin(now lease.Moment) {
	co.since = now
	co.lapsed = true
	co.cover = 0
	co.book = book{}
	co.nextBook = now.Now
	for _, pe := range co.peers {
		pe.heard, pe.rowSince, pe.row = now.Steady, now.Steady, 0
		pe.supports, pe.vouches, pe.word, pe.challenge = 0, false, Echo{}, nil
		pe.bound = now.Steady.Add(co.rules.bound)
		pe.barred = now.Steady.Add(co.rules.barred)
		pe.released, pe.vouched = now.Now, false
	}
}

// leads tells whether the node may speak for its domain.
func (co *Core) leads(now lease.Moment) bool {
	return co.lead.Term > 0 && now.Now.Before(co.lead.Inner)
}

func (co *Core) tick(now lease.Moment) []Cmd {
	if co.bundle == nil || !co.leads(now) {
		return nil
	}
	var cmds []Cmd
	if !now.Now.Before(co.nextBeat) {
		co.nextBeat = now.Now.Add(HeartbeatEvery)
		cmds = co.beat(now)
	}
	cmds = append(cmds, co.write(now)...)
	for _, dm := range co.names() {
		cmds = append(cmds, co.pursue(now, dm, co.peers[dm])...)
	}
	return cmds
}
