// Package protocol is what the hosts of chervilwalk say to each other: datagrams
// with one message each.
//
//	datagram := protocol.Encode(protocol.Ask{Ticket: 7, Service: "lookup", Key: 4711, Keyed: true})
//	msg, err := protocol.Decode(datagram)
package protocol

import (
	"fmt"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
)

// version begins each datagram; hosts that speak another one are not heard.
const version = 1

// Term numbers the leaders.
type Term uint64

// Ticket names one ask for a permit; it is unique per host and incarnation.
type Ticket uint64

// Msg is a message between hosts.
type Msg interface{ number() uint8 }

// KeyLoad is how many requests came for a key.
type KeyLoad struct {
	Service ident.Service
	Key     keyspace.Key
	Count   int
}

// UpstreamLoad is what a host saw of an upstream since its last status.
type UpstreamLoad struct {
	Upstream ident.Upstream
	Answers  int
	// Work is the time of all answers together.
	Work     time.Duration
	Failures int
	// Unreached is how long the renewals of its grants have been failing.
	Unreached time.Duration
	// Superseded tells that it saw a higher epoch than the one that was renewed.
	Superseded bool
}

// Status tells the leader that a member is there and what it saw.
type Status struct {
	Member   assignment.Member
	Term     Term
	Revision assignment.Revision
	// Stopping members hand out no permits and renew no grants.
	Stopping bool
	// SentAt is when it was sent, by the member's own clock.
	SentAt clock.Instant
	// RosterAt is the store's version of the entries that it knows, and
	// RosterDigest sums them up.
	RosterAt, RosterDigest uint64

	Keys      []KeyLoad
	Upstreams []UpstreamLoad
}

// Beat answers a status.
type Beat struct {
	Term     Term
	Leader   ident.Host
	Revision assignment.Revision
	// StoreAge is how long ago the store last confirmed the leader.
	StoreAge time.Duration
	// RowAt is the store's version of the leader's row.
	RowAt uint64
	// Echo is the SentAt of the receiver's last status that the leader had when
	// it wrote this; zero where it had none. What the heartbeat says held at that
	// time or later, however long it was on its way.
	Echo clock.Instant
	News
}

// News tells how new the leader's knowledge of the platform is, so that others
// need not ask the store as long as theirs is as new.
type News struct {
	// RosterAt is the store's version at which the upstreams' entries changed
	// last, RosterAge how long ago they were read.
	RosterAt  uint64
	RosterAge time.Duration
	// OperatorAt is the store's version at which the operators' rows changed last.
	OperatorAt uint64
}

// Roster carries a part of the upstreams' entries as the leader read them.
type Roster struct {
	Term        Term
	At          uint64
	GraceLeft   time.Duration
	Part, Parts int
	Entries     []roster.Entry
}

// RosterDelta carries what changed of the upstreams' entries.
type RosterDelta struct {
	Term      Term
	At        uint64
	GraceLeft time.Duration
	roster.Delta
}

// ViewDelta carries what changed of the assignment.
type ViewDelta struct {
	Beat
	Delta assignment.Delta
}

// View carries a part of the encoded assignment.
type View struct {
	Beat
	Part, Parts int
	Body        string
}

// Ask asks the holder of a pool for a permit to send one request.
type Ask struct {
	Host        ident.Host
	Incarnation uint64
	Ticket      Ticket
	Request     ident.Request
	Service     ident.Service
	Domain      ident.Domain
	Key         keyspace.Key
	Keyed       bool
	// Part of Parts of the service's upstreams is what the holder hands out.
	Part, Parts int
	// Fallback tells that the holder which hands this part out was passed over.
	// Several hosts may then do so at a time, and together they would send a
	// cold upstream more than its limit.
	Fallback bool
	// Large answers should not cross domains.
	Large bool
	// Repeatable requests may run more than once.
	Repeatable bool
	Priority   int
	// ObjectiveLeft is the time left for an answer of full use.
	ObjectiveLeft time.Duration
	// TimeLeft is the time after which an answer is of no use.
	TimeLeft time.Duration
	// Avoid names the upstream that this request was sent to before.
	Avoid ident.Upstream
}

// Permit lets a host send one request to an upstream.
type Permit struct {
	Ticket   Ticket
	Upstream ident.Upstream
	Epoch    keyspace.Epoch
}

// Refusal says that a request will get no permit.
type Refusal struct {
	Ticket Ticket
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	Reason     string
}

// Queued says that an ask was received and waits.
type Queued struct{ Ticket Ticket }

// Done gives a permit back, or takes back an ask.
type Done struct {
	Host        ident.Host
	Incarnation uint64
	Ticket      Ticket
	Service     ident.Service
	Upstream    ident.Upstream
	Outcome     uint8
	Took        time.Duration
	// Running, Waiting and Pace are the upstream's own report; Reported is
	// false where it gave none.
	Reported               bool
	Running, Waiting, Pace int
}

// DoneSeen confirms a Done.
type DoneSeen struct{ Ticket Ticket }

const (
	statusNumber = iota + 1
	beatNumber
	viewNumber
	askNumber
	permitNumber
	refusalNumber
	queuedNumber
	doneNumber
	doneSeenNumber
	rosterNumber
	rosterDeltaNumber
	viewDeltaNumber
)

func (Status) number() uint8    { return statusNumber }
func (Beat) number() uint8      { return beatNumber }
func (View) number() uint8      { return viewNumber }
func (Ask) number() uint8       { return askNumber }
func (Permit) number() uint8    { return permitNumber }
func (Refusal) number() uint8   { return refusalNumber }
func (Queued) number() uint8    { return queuedNumber }
func (Done) number() uint8      { return doneNumber }
func (Roster) number() uint8    { return rosterNumber }
func (DoneSeen) number() uint8  { return doneSeenNumber }
func (ViewDelta) number() uint8 { return viewDeltaNumber }

func (RosterDelta) number() uint8 { return rosterDeltaNumber }

func codeMember(cd *coder, mb *assignment.Member) {
	text(cd, &mb.Host)
	text(cd, &mb.Domain)
	text(cd, &mb.Address)
	field(cd, &mb.Incarnation)
	field(cd, &mb.Fitness)
	flag(cd, &mb.Alive)
}

func (ms *Status) code(cd *coder) {
	codeMember(cd, &ms.Member)
	field(cd, &ms.Term)
	field(cd, &ms.Revision)
	flag(cd, &ms.Stopping)
	field(cd, &ms.RosterAt)
	field(cd, &ms.RosterDigest)
	field(cd, &ms.SentAt)
	list(cd, &ms.Keys, func(kl *KeyLoad) {
		text(cd, &kl.Service)
		field(cd, &kl.Key)
		field(cd, &kl.Count)
	})
	list(cd, &ms.Upstreams, func(ul *UpstreamLoad) {
		text(cd, &ul.Upstream)
		field(cd, &ul.Answers)
		span(cd, &ul.Work)
		field(cd, &ul.Failures)
		span(cd, &ul.Unreached)
		flag(cd, &ul.Superseded)
	})
}

func (ms *Beat) code(cd *coder) {
	field(cd, &ms.Term)
	text(cd, &ms.Leader)
	field(cd, &ms.Revision)
	span(cd, &ms.StoreAge)
	field(cd, &ms.RowAt)
	field(cd, &ms.Echo)
	field(cd, &ms.RosterAt)
	span(cd, &ms.RosterAge)
	field(cd, &ms.OperatorAt)
}

func (ms *View) code(cd *coder) {
	ms.Beat.code(cd)
	field(cd, &ms.Part)
	field(cd, &ms.Parts)
	text(cd, &ms.Body)
}

func (ms *Roster) code(cd *coder) {
	field(cd, &ms.Term)
	field(cd, &ms.At)
	span(cd, &ms.GraceLeft)
	field(cd, &ms.Part)
	field(cd, &ms.Parts)
	list(cd, &ms.Entries, func(en *roster.Entry) { codeEntry(cd, en) })
}

func codeEntry(cd *coder, en *roster.Entry) {
	text(cd, &en.ID)
	text(cd, &en.Service)
	text(cd, &en.Address)
	text(cd, &en.Domain)
	field(cd, &en.Slots)
	flag(cd, &en.Draining)
	span(cd, &en.ColdLeft)
	field(cd, &en.Sequence)
	field(cd, &en.Life)
}

func (ms *RosterDelta) code(cd *coder) {
	field(cd, &ms.Term)
	field(cd, &ms.At)
	span(cd, &ms.GraceLeft)
	field(cd, &ms.Base)
	list(cd, &ms.Gone, func(id *ident.Upstream) { text(cd, id) })
	list(cd, &ms.Entries, func(en *roster.Entry) { codeEntry(cd, en) })
}

func (ms *ViewDelta) code(cd *coder) {
	ms.Beat.code(cd)
	dl := &ms.Delta
	field(cd, &dl.Base)
	field(cd, &dl.Revision)
	field(cd, &dl.NextEpoch)
	list(cd, &dl.Members, func(mb *assignment.Member) { codeMember(cd, mb) })
	list(cd, &dl.Dropped, func(pl *assignment.ShareStart) {
		text(cd, &pl.Service)
		field(cd, &pl.From)
	})
	list(cd, &dl.Added, func(sh *assignment.Share) {
		text(cd, &sh.Service)
		field(cd, &sh.From)
		field(cd, &sh.To)
		codeClaim(cd, &sh.Owner)
		codeClaim(cd, &sh.Next)
		field(cd, &sh.Fence)
	})
}

func codeClaim(cd *coder, cl *assignment.Claim) {
	text(cd, &cl.Upstream)
	field(cd, &cl.Life)
	field(cd, &cl.Epoch)
}

func (ms *Ask) code(cd *coder) {
	text(cd, &ms.Host)
	field(cd, &ms.Incarnation)
	field(cd, &ms.Ticket)
	text(cd, &ms.Request)
	text(cd, &ms.Service)
	text(cd, &ms.Domain)
	field(cd, &ms.Key)
	flag(cd, &ms.Keyed)
	field(cd, &ms.Part)
	field(cd, &ms.Parts)
	flag(cd, &ms.Fallback)
	flag(cd, &ms.Large)
	flag(cd, &ms.Repeatable)
	field(cd, &ms.Priority)
	span(cd, &ms.ObjectiveLeft)
	span(cd, &ms.TimeLeft)
	text(cd, &ms.Avoid)
}

func (ms *Permit) code(cd *coder) {
	field(cd, &ms.Ticket)
	text(cd, &ms.Upstream)
	field(cd, &ms.Epoch)
}

func (ms *Refusal) code(cd *coder) {
	field(cd, &ms.Ticket)
	span(cd, &ms.RetryAfter)
	text(cd, &ms.Reason)
}

func (ms *Done) code(cd *coder) {
	text(cd, &ms.Host)
	field(cd, &ms.Incarnation)
	field(cd, &ms.Ticket)
	text(cd, &ms.Service)
	text(cd, &ms.Upstream)
	field(cd, &ms.Outcome)
	span(cd, &ms.Took)
	flag(cd, &ms.Reported)
	field(cd, &ms.Running)
	field(cd, &ms.Waiting)
	field(cd, &ms.Pace)
}

// Encode writes a message as a datagram.
func Encode(msg Msg) []byte {
	cd := &coder{buf: []byte{version, msg.number()}}
	switch ms := msg.(type) {
	case Status:
		ms.code(cd)
	case Beat:
		ms.code(cd)
	case View:
		ms.code(cd)
	case Ask:
		ms.code(cd)
	case Permit:
		ms.code(cd)
	case Refusal:
		ms.code(cd)
	case Queued:
		field(cd, &ms.Ticket)
	case Done:
		ms.code(cd)
	case DoneSeen:
		field(cd, &ms.Ticket)
	case Roster:
		ms.code(cd)
	case RosterDelta:
		ms.code(cd)
	case ViewDelta:
		ms.code(cd)
	}
	return cd.buf
}

// Decode reads a datagram.
func Decode(datagram []byte) (Msg, error) {
	if len(datagram) < 2 || datagram[0] != version {
		return nil, errShort
	}
	cd := &coder{buf: datagram[2:], reading: true}
	var msg Msg
	switch datagram[1] {
	case statusNumber:
		msg = decode(cd, func(ms *Status) { ms.code(cd) })
	case beatNumber:
		msg = decode(cd, func(ms *Beat) { ms.code(cd) })
	case viewNumber:
		msg = decode(cd, func(ms *View) { ms.code(cd) })
	case askNumber:
		msg = decode(cd, func(ms *Ask) { ms.code(cd) })
	case permitNumber:
		msg = decode(cd, func(ms *Permit) { ms.code(cd) })
	case refusalNumber:
		msg = decode(cd, func(ms *Refusal) { ms.code(cd) })
	case queuedNumber:
		msg = decode(cd, func(ms *Queued) { field(cd, &ms.Ticket) })
	case doneNumber:
		msg = decode(cd, func(ms *Done) { ms.code(cd) })
	case doneSeenNumber:
		msg = decode(cd, func(ms *DoneSeen) { field(cd, &ms.Ticket) })
	case rosterNumber:
		msg = decode(cd, func(ms *Roster) { ms.code(cd) })
	case rosterDeltaNumber:
		msg = decode(cd, func(ms *RosterDelta) { ms.code(cd) })
	case viewDeltaNumber:
		msg = decode(cd, func(ms *ViewDelta) { ms.code(cd) })
	default:
		return nil, fmt.Errorf("protocol: unknown message %d", datagram[1])
	}
	return msg, cd.err
}

func decode[T Msg](cd *coder, read func(*T)) T {
	var msg T
	if cd.err == nil {
		read(&msg)
	}
	return msg
}
