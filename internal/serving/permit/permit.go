// Package permit decides which request may be sent to which upstream and when.
// The holder of a pool hands out permits, never more than an upstream has
// slots, and keeps the requests that have to wait in one queue, so that it is
// known at each arrival whether an answer can come in time.
//
// The core is pure: it is told what happened and returns what to do.
//
//	co := permit.New()
//	cmds := co.Update(now, permit.AskMsg{Ask: ask})
package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/peer/protocol"
)

// Outcome is how the use of a permit ended.
type Outcome uint8

const (
	// Answered means that the upstream ran the request and answered.
	Answered Outcome = iota
	// Failed means that the upstream answered with a failure of its own.
	Failed
	// Refused means that the upstream did not run the request.
	Refused
	// Disowned means that the upstream does not own the request's key.
	Disowned
	// Unreached means that no connection to the upstream could be opened.
	Unreached
	// Broken means that the connection or the answer broke.
	Broken
	// TimedOut means that no answer came in time.
	TimedOut
	// Withdrawn means that the request was not sent, or its caller left.
	Withdrawn
)

// String is the outcome's name in logs.
func (oc Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "disowned", "unreached", "broken", "timedOut", "withdrawn"}[oc]
}

// AskMsg is a request for a permit.
type AskMsg struct{ Ask protocol.Ask }

// DoneMsg gives a permit back or withdraws an ask.
type DoneMsg struct{ Done protocol.Done }

// FleetMsg tells the upstreams that may get work and who owns which keys.
type FleetMsg struct {
	Upstreams []Upstream
	Services  map[ident.Service]desired.Service
	Table     *assignment.Table
}

// TableMsg tells who owns which keys.
type TableMsg struct{ Table *assignment.Table }

// TickMsg says that time has passed.
type TickMsg struct{}

// Upstream is what the core needs to know of an upstream.
type Upstream struct {
	ID        ident.Upstream
	Service   ident.Service
	Domain    ident.Domain
	Slots     int
	Life      roster.Life
	ColdUntil clock.Instant
}

// SendCmd tells a host to send its request.
type SendCmd struct {
	Host   ident.Host
	Permit protocol.Permit
	// Waited is how long the ask was queued.
	Waited time.Duration
	Ask    protocol.Ask
}

// RefuseCmd tells a host that its request gets no permit.
type RefuseCmd struct {
	Host    ident.Host
	Refusal protocol.Refusal
	Ask     protocol.Ask
	Waited  time.Duration
	Outlook Outlook
}

// Outlook is what an ask was expected to meet when it was decided about.
type Outlook struct {
	// Upstream is the owner of the key; empty for services without keys.
	Upstream ident.Upstream
	// Wait is the expected wait for a slot, Work the time for the answer.
	Wait, Work time.Duration
	// Busy and Ahead count the slots in use and the asks that go first.
	Busy, Ahead int
	Cold        bool
}

// QueuedCmd tells a host that its ask waits.
type QueuedCmd struct {
	Host   ident.Host
	Queued protocol.Queued
}

// Cmd is one of the commands.
type Cmd any

// holderID names an ask over all hosts.
type holderID struct {
	host        ident.Host
	incarnation uint64
	ticket      protocol.Ticket
}

// ask is a request for a permit from its arrival to its end.
type ask struct {
	protocol.Ask
	id      holderID
	arrived clock.Instant
	// objective is when an answer stops being of full use.
	objective clock.Instant
	deadline  clock.Instant
	// giveUp is when a late ask is refused if it still waits.
	giveUp clock.Instant
	// late asks can no longer meet their objective; they take what is left.
	late bool
	// upstream is set while the ask has a permit.
	upstream  *upstream
	permit    protocol.Permit
	permitted clock.Instant
}

// Core hands out permits. It is not safe for concurrent use.
type Core struct {
	services  map[ident.Service]desired.Service
	upstreams map[ident.Upstream]*upstream
	// pools are the upstreams by service.
	pools map[ident.Service][]*upstream
	// free is reused by each dispatch.
	free  []*upstream
	table *assignment.Table
	asks  map[holderID]*ask
	// waiting are the asks without a permit, by service.
	waiting map[ident.Service][]*ask
	// disowned are the epochs of shares that their owner did not know, until
	// when they are left alone.
	disowned map[keyspace.Epoch]clock.Instant
	// typical is each service's usual time for an answer.
	typical map[ident.Service]time.Duration
}

// New makes a core that knows no upstreams yet.
func New() *Core {
	return &Core{
		upstreams: map[ident.Upstream]*upstream{}, table: &assignment.Table{}, asks: map[holderID]*ask{},
		waiting: map[ident.Service][]*ask{}, disowned: map[keyspace.Epoch]clock.Instant{}, typical: map[ident.Service]time.Duration{},
	}
}

// Update takes one message and returns what to do.
func (co *Core) Update(now clock.Instant, msg any) []Cmd {
	var cmds []Cmd
	switch ms := msg.(type) {
	case AskMsg:
		return co.arrive(now, ms.Ask)
	case DoneMsg:
		co.done(now, ms.Done)
		return co.dispatch(now, ms.Done.Service)
	case FleetMsg:
		co.fleet(now, ms)
	case TableMsg:
		co.table = ms.Table
	}
	co.expire(now)
	for sv := range co.waiting {
		cmds = append(cmds, co.dispatch(now, sv)...)
	}
	return cmds
}

// Next returns when the core has to be woken if nothing else happens.
func (co *Core) Next(now clock.Instant) clock.Instant {
	next := clock.Never
	for _, list := range co.waiting {
		for _, ak := range list {
			next = min(next, ak.giveUp, ak.deadline)
		}
		if len(list) > 0 {
			// Blocked and cold upstreams become free without a message.
			next = min(next, now.Add(pollTime))
		}
	}
	for _, ak := range co.asks {
		if ak.upstream != nil {
			next = min(next, ak.deadline.Add(permitSlack))
		}
	}
	return max(next, now)
}

// fleet takes the upstreams and owners that now hold.
func (co *Core) fleet(now clock.Instant, ms FleetMsg) {
	co.services, co.table = ms.Services, ms.Table
	listed := make(map[ident.Upstream]bool, len(ms.Upstreams))
	for _, up := range ms.Upstreams {
		listed[up.ID] = true
		us, known := co.upstreams[up.ID]
		if !known || us.Life != up.Life {
			us = newUpstream(now, up, co.expected(up.Service))
			co.upstreams[up.ID] = us
		}
		us.Upstream, us.usable, us.hash = up, true, ident.Hash(up.ID)
	}
	for id, us := range co.upstreams {
		if listed[id] {
			continue
		}
		us.usable = false
		if len(us.running) == 0 {
			delete(co.upstreams, id)
		}
	}
	co.pools = make(map[ident.Service][]*upstream, len(co.services))
	for _, us := range co.upstreams {
		co.pools[us.Service] = append(co.pools[us.Service], us)
	}
}

// expected is how long an answer of the service usually takes.
func (co *Core) expected(sv ident.Service) time.Duration {
	if typical, known := co.typical[sv]; known {
		return typical
	}
	return defaultWork
}

// done takes a permit back.
func (co *Core) done(now clock.Instant, dn protocol.Done) {
	id := holderID{dn.Host, dn.Incarnation, dn.Ticket}
	ak, known := co.asks[id]
	if !known {
		return
	}
	delete(co.asks, id)
	if ak.upstream == nil {
		co.unqueue(ak)
		return
	}
	us := ak.upstream
	delete(us.running, id)
	us.learn(now, dn)
	if Outcome(dn.Outcome) == Disowned {
		co.disowned[ak.permit.Epoch] = now.Add(disownedTime)
	}
	if Outcome(dn.Outcome) == Answered {
		typical := co.expected(ak.Service)
		co.typical[ak.Service] = typical + time.Duration(typicalWeight*float64(dn.Took-typical))
	}
}

func (co *Core) unqueue(ak *ask) {
	list := co.waiting[ak.Service]
	for ix, other := range list {
		if other == ak {
			co.waiting[ak.Service] = append(list[:ix], list[ix+1:]...)
			return
		}
	}
}

// expire drops permits whose host never gave them back.
func (co *Core) expire(now clock.Instant) {
	for epoch, until := range co.disowned {
		if until.Before(now) {
			delete(co.disowned, epoch)
		}
	}
	for id, ak := range co.asks {
		if ak.upstream != nil && ak.deadline.Add(permitSlack).Before(now) {
			delete(ak.upstream.running, id)
			delete(co.asks, id)
		}
	}
}
