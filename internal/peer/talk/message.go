// Package talk is what the hosts of chervilwalk say to each other: datagrams
// with one message each.
//
//	datagram := talk.Encode(talk.Ask{Ticket: 7, Service: "lookup", Key: 4711, Keyed: true})
//	msg, err := talk.Decode(datagram)
package talk

import (
	"fmt"
	"time"

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
	// RosterAt is the store's version of the entries that it knows.
	RosterAt  uint64
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
	Age         time.Duration
	GraceLeft   time.Duration
	Part, Parts int
	Entries     []roster.Entry
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
)

func (Status) number() uint8   { return statusNumber }
func (Beat) number() uint8     { return beatNumber }
func (View) number() uint8     { return viewNumber }
func (Ask) number() uint8      { return askNumber }
func (Permit) number() uint8   { return permitNumber }
func (Refusal) number() uint8  { return refusalNumber }
func (Queued) number() uint8   { return queuedNumber }
func (Done) number() uint8     { return doneNumber }
func (Roster) number() uint8   { return rosterNumber }
func (DoneSeen) number() uint8 { return doneSeenNumber }

func (ms *Status) code(cd *coder) {
	text(cd, &ms.Member.Host)
	text(cd, &ms.Member.Domain)
	text(cd, &ms.Member.Address)
	field(cd, &ms.Member.Incarnation)
	flag(cd, &ms.Member.Alive)
	field(cd, &ms.Term)
	field(cd, &ms.Revision)
	flag(cd, &ms.Stopping)
	field(cd, &ms.RosterAt)
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
	span(cd, &ms.Age)
	span(cd, &ms.GraceLeft)
	field(cd, &ms.Part)
	field(cd, &ms.Parts)
	list(cd, &ms.Entries, func(en *roster.Entry) {
		text(cd, &en.ID)
		text(cd, &en.Service)
		text(cd, &en.Address)
		text(cd, &en.Domain)
		field(cd, &en.Slots)
		flag(cd, &en.Draining)
		span(cd, &en.ColdLeft)
		field(cd, &en.Sequence)
		field(cd, &en.Life)
	})
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
	default:
		return nil, fmt.Errorf("talk: unknown message %d", datagram[1])
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
