// Package permit decides which request may be sent to which upstream and when.
// The upstreams of a service are divided into pools. The holder of a pool, one of
// the hosts, issues its permits, never more than an upstream has slots. Requests
// that have to wait share one queue, so the holder can estimate at each arrival
// whether an answer is possible in time.
//
// The core does no I/O: it takes messages and returns commands.
//
//	co := permit.New()
//	cmds := co.Update(now, permit.AskMsg{Ask: ask})
package permit

import (
	"strconv"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/base/slots"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/hotkey"
	"chervilwalk/internal/serving/locality"
)

// Outcome is the result of a permit: what happened to the request.
type Outcome uint8

const (
	// Answered means that the upstream ran the request and answered.
	Answered Outcome = iota
	// Failed means that the answer was a server error or was not signed.
	Failed
	// Refused means that the upstream did not run the request.
	Refused
	// Disowned means that the upstream does not own the request's key.
	Disowned
	// Unreached means that no connection to the upstream could be opened.
	Unreached
	// Broken means that the connection broke or the answer was malformed.
	Broken
	// TimedOut means that no answer arrived in time.
	TimedOut
	// Withdrawn means that the request was not sent or its caller left.
	Withdrawn
)

// String returns the outcome's name in logs.
func (oc Outcome) String() string {
	names := [...]string{"answered", "failed", "refused", "disowned", "unreached", "broken", "timedOut", "withdrawn"}
	if int(oc) >= len(names) {
		return "outcome " + strconv.Itoa(int(oc))
	}
	return names[oc]
}

// AskMsg is a request for a permit.
type AskMsg struct{ Ask protocol.Ask }

// DoneMsg releases a permit or withdraws an ask.
type DoneMsg struct{ Done protocol.Done }

// PauseMsg reports that an upstream wants no request from a host until a time.
type PauseMsg struct {
	Host     ident.Host
	Upstream ident.Upstream
	Until    clock.Instant
}

// UpstreamsMsg replaces the upstreams that may get requests, the services and the
// owners of keys.
type UpstreamsMsg struct {
	Upstreams []Upstream
	Services  map[ident.Service]desired.Service
	Table     *assignment.Table
}

// TableMsg replaces the owners of keys.
type TableMsg struct{ Table *assignment.Table }

// LimitMsg reports how many requests an upstream takes from all hosts together from now on.
type LimitMsg struct {
	Upstream ident.Upstream
	Limit    rate.Limit
}

// CrashedMsg reports that an incarnation of an upstream has crashed.
type CrashedMsg struct {
	Upstream    ident.Upstream
	Incarnation roster.Incarnation
}

// ConfirmedMsg reports until when no other host can have become the holder of the pools that
// this one holds, and when the entries of upstreams were last read.
type ConfirmedMsg struct{ Until, EntriesReadAt clock.Instant }

// RestoredMsg reports that this host, in a domain, was cut off and hears others again.
type RestoredMsg struct{ Domain ident.Domain }

// TickMsg reports that time has passed. It expires permits and dispatches
// waiting asks.
type TickMsg struct{}

// Upstream describes one upstream to the core.
type Upstream struct {
	ID          ident.Upstream
	Service     ident.Service
	Domain      ident.Domain
	Slots       int
	Incarnation roster.Incarnation
	// ColdUntil is the end of the upstream's cold phase.
	ColdUntil clock.Instant
	// Limit is how many requests the upstream takes from all hosts together.
	Limit rate.Limit
}

// IssueCmd issues a permit to a host.
type IssueCmd struct {
	Host   ident.Host
	Permit protocol.Permit
	// Waited is how long the ask was queued; zero in the reply to a repeated ask.
	Waited time.Duration
	Ask    protocol.Ask
}

// RefuseCmd refuses a permit to a host.
type RefuseCmd struct {
	Host     ident.Host
	Refusal  protocol.Refusal
	Ask      protocol.Ask
	Waited   time.Duration
	Estimate Estimate
}

// Estimate is the expected wait and latency, with the load, on which an ask was
// admitted or refused.
type Estimate struct {
	// Upstream is the owner of the key; empty for services without keys.
	Upstream ident.Upstream
	// Wait is the expected wait for a slot, Latency the expected time to answer.
	Wait, Latency time.Duration
	// Busy counts the slots in use, Ahead the waiting asks that are served first.
	Busy, Ahead int
	Cold        bool
	// Late asks will probably be answered after their objective.
	Late bool
	// Disturbance is how much longer than usual the owner takes at present, as a factor.
	Disturbance float64
	// Limit is how many requests per second this holder lets the owner have.
	Limit rate.Limit
}

// QueuedCmd confirms to a host that its ask is queued.
type QueuedCmd struct {
	Host   ident.Host
	Queued protocol.Queued
}

// LinkCmd reports that hosts of a domain do not reach the upstreams of another any more, or do
// again.
type LinkCmd struct {
	locality.Link
	Down bool
	// Isolated means that they reach those of no other domain.
	Isolated bool
}

// HotKeyCmd reports that a key has become hot or calm.
type HotKeyCmd struct{ Change hotkey.Change }

// Cmd is an IssueCmd, RefuseCmd, QueuedCmd, LinkCmd or HotKeyCmd.
type Cmd any

// askID identifies an ask across all hosts.
type askID struct {
	host        ident.Host
	incarnation uint64
	ticket      protocol.Ticket
}

// ask is a waiting request for a permit, or one that holds its permit.
type ask struct {
	protocol.Ask
	id        askID
	arrivedAt clock.Instant
	// objective is when an answer stops being in time. A late one is still of use
	// until the deadline.
	objective clock.Instant
	deadline  clock.Instant
	// refuseAt is when the ask is refused if it still waits.
	refuseAt clock.Instant
	// late asks can no longer meet their objective; they get only slots that
	// no other ask needs.
	late bool
	// byKey asks are for a hot key and were admitted by its own rules; returning ones came back when
	// they were told to.
	byKey, returning bool
	// yieldUntil is until when a byKey ask waits behind those for other keys; yields is unset then.
	yieldUntil clock.Instant
	yields     bool
	// upstream is nil until the ask gets a permit.
	upstream    *upstream
	permit      protocol.Permit
	permittedAt clock.Instant
	// work describes the ask's kind of request.
	work *work
	// expected is how long the answer was expected to take after permittedAt, of which
	// usual is a multiple of the upstream's latency.
	expected time.Duration
	usual    float64
}

// Core queues asks and issues permits. It is not safe for concurrent use.
type Core struct {
	services  map[ident.Service]desired.Service
	upstreams map[ident.Upstream]*upstream
	// upstreamsOf holds the upstreams of each service.
	upstreamsOf map[ident.Service][]*upstream
	// freeBuf is the reused buffer of availableUpstreams.
	freeBuf []*upstream
	table   *assignment.Table
	// movingSince is when each move in the table was first seen, by the next owner's
	// epoch.
	movingSince map[keyspace.Epoch]clock.Instant
	// moves is the distribution of how long moves take.
	moves latencyShape
	asks  map[askID]*ask
	// incarnations holds that of the newest process of each host that has asked.
	incarnations map[ident.Host]uint64
	// waiting holds the asks without a permit, by service, in order of arrival.
	waiting map[ident.Service][]*ask
	// disownedUntil is until when asks for a disowned share are held back, by the
	// epoch that its owner did not know.
	disownedUntil map[keyspace.Epoch]clock.Instant
	// confirmedUntil is until when no other host can hold the same pools.
	confirmedUntil clock.Instant
	// latencies is the moving average of each service's time to answer.
	latencies map[ident.Service]time.Duration
	// kinds holds what each kind of request takes.
	kinds map[ident.Service]map[kind]*work
	// initialShape is the distribution of kinds that have not been answered yet.
	initialShape latencyShape
	// demands holds the on-time demand of each pool.
	demands map[poolID]*demand
	// reviewAt is when each service's waiting asks are next checked for those that wait
	// in vain.
	reviewAt map[ident.Service]clock.Instant
	// links holds which domains are reached from which.
	links *locality.Links
	// unconfirmed reports that some upstream has an unconfirmedFrom.
	unconfirmed bool
	spill       *locality.Spill
	// poolRooms holds the room of pools that the message which is handled has asked for.
	poolRooms map[poolID]rooms
	// linkCmds holds the commands about links that the next dispatch returns.
	linkCmds []Cmd
	// hotKeys decides on asks for keys that ask for more than their owner can run.
	hotKeys *hotkey.Core
}

// New returns a core without upstreams; UpstreamsMsg sets them.
func New() *Core {
	return &Core{
		upstreams: map[ident.Upstream]*upstream{}, table: &assignment.Table{}, asks: map[askID]*ask{}, incarnations: map[ident.Host]uint64{},
		waiting: map[ident.Service][]*ask{}, disownedUntil: map[keyspace.Epoch]clock.Instant{}, latencies: map[ident.Service]time.Duration{},
		kinds: map[ident.Service]map[kind]*work{}, initialShape: newLatencyShape(), moves: newMoveShape(), demands: map[poolID]*demand{}, reviewAt: map[ident.Service]clock.Instant{},
		links: locality.NewLinks(), spill: locality.NewSpill(), poolRooms: map[poolID]rooms{},
		hotKeys: hotkey.New(),
	}
}

// Update handles one message and returns the resulting commands.
func (co *Core) Update(now clock.Instant, msg any) []Cmd {
	var cmds []Cmd
	clear(co.poolRooms)
	switch ms := msg.(type) {
	case AskMsg:
		return co.reportHotKeys(co.admit(now, ms.Ask))
	case DoneMsg:
		return co.dispatch(now, co.finish(now, ms.Done))
	case PauseMsg:
		if us, known := co.upstreams[ms.Upstream]; known {
			us.pausedUntil[ms.Host] = max(us.pausedUntil[ms.Host], ms.Until)
		}
	case UpstreamsMsg:
		co.setUpstreams(now, ms)
	case TableMsg:
		co.setTable(now, ms.Table)
	case LimitMsg:
		if us, known := co.upstreams[ms.Upstream]; known {
			us.Limit = ms.Limit
		}
	case CrashedMsg:
		if us, known := co.upstreams[ms.Upstream]; known && us.Incarnation == ms.Incarnation {
			us.returning = true
		}
		return nil
	case RestoredMsg:
		co.links.Restored(now, ms.Domain)
	case ConfirmedMsg:
		co.confirmedUntil = ms.Until
		co.confirmUpstreams(ms.EntriesReadAt)
		return nil
	}
	co.expire(now)
	for sv := range co.waiting {
		cmds = append(cmds, co.dispatch(now, sv)...)
	}
	return co.reportHotKeys(cmds)
}

// Next returns when the core needs a TickMsg if no other message arrives.
func (co *Core) Next(now clock.Instant) clock.Instant {
	next := clock.Never
	for sv, list := range co.waiting {
		if len(list) == 0 {
			continue
		}
		for _, ak := range list {
			next = min(next, ak.refuseAt, ak.deadline)
		}
		// Upstreams in backoff and limited ones become available without a message.
		next = min(next, now.Add(pollInterval))
		for _, us := range co.upstreamsOf[sv] {
			if admits := us.admitsAt(now, co.limitOf(now, us), 1); admits > now {
				next = min(next, admits)
			}
		}
	}
	for _, ak := range co.asks {
		if ak.upstream != nil {
			next = min(next, ak.deadline.Add(permitSlack))
		}
	}
	return max(next, now)
}

// setUpstreams replaces the services, upstreams and owners of keys. A removed
// upstream is kept while permits for it are open.
func (co *Core) setUpstreams(now clock.Instant, ms UpstreamsMsg) {
	co.services = ms.Services
	co.setTable(now, ms.Table)
	listed := make(map[ident.Upstream]bool, len(ms.Upstreams))
	for _, up := range ms.Upstreams {
		listed[up.ID] = true
		us, known := co.upstreams[up.ID]
		if !known || us.Incarnation != up.Incarnation {
			us = newUpstream(now, up, co.expectedLatency(up.Service))
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
	co.upstreamsOf = make(map[ident.Service][]*upstream, len(co.services))
	for _, us := range co.upstreams {
		co.upstreamsOf[us.Service] = append(co.upstreamsOf[us.Service], us)
	}
	for sv := range co.upstreamsOf {
		co.boundSlots(sv)
	}
}

// boundSlots sets how many slots the upstreams of a service count with.
func (co *Core) boundSlots(sv ident.Service) {
	claims := make([]slots.Claim, 0, len(co.upstreamsOf[sv]))
	for _, us := range co.upstreamsOf[sv] {
		claims = append(claims, slots.Claim{Slots: us.Slots, Proven: us.answered})
	}
	most := slots.UnprovenMax(claims)
	for _, us := range co.upstreamsOf[sv] {
		us.slots = us.Slots
		if !us.answered {
			us.slots = min(us.Slots, most)
		}
	}
}

// expectedLatency returns the average time that a service takes to answer.
func (co *Core) expectedLatency(sv ident.Service) time.Duration {
	if latency, known := co.latencies[sv]; known {
		return latency
	}
	return defaultLatency
}

// finish ends an ask: it takes its permit back or removes it from the queue. It returns the
// service of which a slot may be free now, which releases of unused permits do not name.
func (co *Core) finish(now clock.Instant, dn protocol.Done) ident.Service {
	id := askID{dn.Host, dn.Incarnation, dn.Ticket}
	ak, known := co.asks[id]
	if !known {
		return dn.Service
	}
	delete(co.asks, id)
	if ak.upstream == nil {
		co.dequeue(ak)
		return ak.Service
	}
	us := ak.upstream
	delete(us.running, id)
	answered := us.answered
	if co.noteLink(now, ak, us, dn) {
		us.observe(now, dn, ak.usual)
	}
	if us.answered != answered {
		co.boundSlots(us.Service)
	}
	if Outcome(dn.Outcome) == Disowned {
		co.disownedUntil[ak.permit.Epoch] = now.Add(disownedDelay)
	}
	if Outcome(dn.Outcome) == Answered {
		latency := co.expectedLatency(ak.Service)
		co.latencies[ak.Service] = latency + time.Duration(serviceLatencyWeight*float64(dn.Took-latency))
		ak.work.observe(dn.Took, ak.expected)
	}
	return ak.Service
}

// dequeue removes an ask from the waiting asks.
func (co *Core) dequeue(ak *ask) {
	list := co.waiting[ak.Service]
	for ix, other := range list {
		if other == ak {
			co.waiting[ak.Service] = append(list[:ix], list[ix+1:]...)
			return
		}
	}
}

// expire drops permits that their host did not release in time, and disowned
// epochs whose delay is over.
func (co *Core) expire(now clock.Instant) {
	co.hotKeys.Expire(now)
	for epoch, until := range co.disownedUntil {
		if until.Before(now) {
			delete(co.disownedUntil, epoch)
		}
	}
	for id, ak := range co.asks {
		if ak.upstream != nil && ak.deadline.Add(permitSlack).Before(now) {
			delete(ak.upstream.running, id)
			delete(co.asks, id)
		}
	}
}
