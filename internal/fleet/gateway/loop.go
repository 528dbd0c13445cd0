package gateway

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/roster"
	"chervilwalk/internal/fleet/talk"
	"chervilwalk/internal/operations/journal"
	"chervilwalk/internal/ownership/assignment"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/platform"
)

const (
	// statusEvery is the time between two statuses to the leader.
	statusEvery = 450 * time.Millisecond
	// electionTick is how often the election is looked at.
	electionTick = 150 * time.Millisecond
	// keyedLeave is how long a leaving upstream still gets requests for its
	// keys, which need a moment to move; the platform allows two seconds from
	// the entry's change, of which a read of the entries may take one.
	keyedLeave = 700 * time.Millisecond
	// keyedEvacuate is the same for a domain that is evacuated, for which the
	// platform allows five seconds.
	keyedEvacuate = 2500 * time.Millisecond
	// coldAgainTime is how long the upstreams of a domain that was taken back
	// count as cold, until their entries say how they are.
	coldAgainTime = 2 * time.Second
)

// stopEvent begins a planned stop.
type stopEvent struct{}

// settingsEvent brings changed settings.
type settingsEvent struct{ settings platform.Settings }

// send passes an event to the loop.
func (gw *Gateway) send(ev any) {
	select {
	case gw.events <- ev:
	case <-gw.done:
	}
}

// run is the loop: it takes one event at a time and wakes by itself when a
// core is due.
func (gw *Gateway) run() {
	tm := time.NewTimer(0)
	defer tm.Stop()
	for {
		select {
		case ev := <-gw.events:
			gw.handle(ev)
		case <-tm.C:
			gw.tick()
		case <-gw.done:
			return
		}
		tm.Reset(max(gw.next().Sub(gw.clock.Now()), time.Millisecond))
	}
}

func (gw *Gateway) handle(ev any) {
	switch ev := ev.(type) {
	case wishesEvent:
		gw.wished(ev)
	case rosterEvent:
		gw.listed(ev)
	case rowsEvent:
		gw.rows(ev)
	case writtenEvent:
		gw.written(ev)
	case datagramEvent:
		gw.hear(ev)
	case askEvent:
		gw.asks.begin(ev)
	case withdrawEvent:
		gw.asks.withdraw(ev)
	case releaseEvent:
		gw.asks.release(ev)
	case renewedEvent:
		gw.renew(renewal.ResultMsg(ev))
	case stepEvent:
		gw.lead(leader.StepMsg(ev))
	case stopEvent:
		gw.elect(election.ResignMsg{})
		gw.statusAt = 0
		gw.tick()
	case settingsEvent:
		gw.cf.Settings.Bounds = ev.settings.Bounds
	}
}

// tick lets every core see that time has passed.
func (gw *Gateway) tick() {
	now := gw.clock.Now()
	gw.elect(election.TickMsg{})
	if now.Sub(gw.statusAt) >= statusEvery {
		gw.sendStatus(now)
	}
	gw.lead(leader.TickMsg{})
	gw.renew(renewal.TickMsg{})
	gw.permit(permit.TickMsg{})
	gw.asks.tick(now)
}

// next is when the loop has to wake if nothing happens.
func (gw *Gateway) next() clock.Instant {
	now := gw.clock.Now()
	next := min(gw.statusAt.Add(statusEvery), now.Add(electionTick), gw.renewal.Next(now), gw.permits.Next(now), gw.asks.next())
	if gw.leader != nil {
		next = min(next, gw.leader.Next(now))
	}
	return next
}

// wished takes what the operators want.
func (gw *Gateway) wished(ev wishesEvent) {
	if ev.err != nil {
		gw.cf.Journal.Problem("desiredStateMalformed", ev.err, journal.Fields{"kept": gw.version()})
	}
	now := gw.clock.Now()
	for dm := range gw.wishes.Evacuated {
		if !ev.wishes.Evacuated[dm] {
			gw.coldAgain[dm] = now.Add(coldAgainTime)
			delete(gw.evacuated, dm)
			gw.cf.Journal.Event("domainTakenBack", journal.Fields{"domain": dm})
		}
	}
	for dm := range ev.wishes.Evacuated {
		if !gw.wishes.Evacuated[dm] {
			gw.evacuated[dm] = now
			gw.cf.Journal.Event("domainEvacuated", journal.Fields{"domain": dm})
		}
	}
	gw.wishes.Evacuated = ev.wishes.Evacuated
	if st := ev.wishes.Desired; st != nil && (gw.state.Load() == nil || st.Version > gw.state.Load().Version) {
		gw.state.Store(st)
		gw.cf.Journal.Event("desiredState", journal.Fields{"version": st.Version, "routes": st.Routes(), "services": len(st.Services)})
		gw.cf.Metrics.version(st.Version)
	}
	gw.fleetChanged()
}

func (gw *Gateway) version() any {
	if st := gw.state.Load(); st != nil {
		return st.Version
	}
	return "none"
}

// listed takes the upstreams' entries.
func (gw *Gateway) listed(ev rosterEvent) {
	now := gw.clock.Now()
	for _, pb := range ev.problems {
		gw.cf.Journal.Problem("entryMalformed", pb.Err, journal.Fields{"key": pb.Key, "version": pb.Version})
	}
	if ev.away {
		gw.book.StoreReturned(now)
	}
	for _, ch := range gw.book.Update(now, ev.entries) {
		gw.cf.Journal.Event("upstream", journal.Fields{"upstream": ch.Upstream, "now": ch.What, "missingMs": ch.Age.Milliseconds()})
	}
	gw.rosterAt = now
	gw.links.Retain(func(id ident.Upstream) bool {
		up, known := gw.book.Get(id)
		return known && !up.Gone
	})
	gw.owners.retain(gw.book)
	gw.renewals()
	gw.fleetChanged()
}

// fleetChanged tells the cores which upstreams there are.
func (gw *Gateway) fleetChanged() {
	now := gw.clock.Now()
	st := gw.state.Load()
	if st == nil {
		return
	}
	places := make(map[ident.Upstream]place, gw.book.Len())
	lead := leader.FleetMsg{Keyed: map[ident.Service]bool{}}
	hand := permit.FleetMsg{Services: st.Services, Table: gw.table.Load()}
	for name, sv := range st.Services {
		if sv.Keyed {
			lead.Keyed[name] = true
		}
	}
	gw.book.All(func(up *roster.Upstream) {
		sv, known := st.Services[up.Service]
		if !known {
			return
		}
		evacuated := gw.wishes.Evacuated[up.Domain]
		coldUntil := max(up.ColdUntil, gw.coldAgain[up.Domain])
		refuseAt := gw.refuseAt(up, sv.Keyed, evacuated)
		places[up.ID] = place{address: up.Address, refuseAt: refuseAt}
		if now < refuseAt {
			hand.Upstreams = append(hand.Upstreams, permit.Upstream{
				ID: up.ID, Service: up.Service, Domain: up.Domain, Slots: up.Slots, Life: up.Life, ColdUntil: coldUntil,
			})
		}
		if sv.Keyed {
			lead.Upstreams = append(lead.Upstreams, leader.Upstream{
				ID: up.ID, Service: up.Service, Domain: up.Domain, Slots: up.Slots, Life: up.Life,
				Usable: !up.Leaving() && !evacuated, ColdUntil: coldUntil, ColdRate: sv.ColdRate,
			})
		}
	})
	gw.places.Store(&places)
	gw.lead(lead)
	gw.permit(hand)
	gw.isReady.Store(!gw.stopping.Load())
}

// refuseAt is from when an upstream gets nothing new.
func (gw *Gateway) refuseAt(up *roster.Upstream, keyed, evacuated bool) clock.Instant {
	refuseAt := up.LeavingAt
	if keyed && up.Leaving() {
		refuseAt = refuseAt.Add(keyedLeave)
	}
	if evacuated {
		at := gw.evacuated[up.Domain]
		if keyed {
			at = at.Add(keyedEvacuate)
		}
		refuseAt = min(refuseAt, at)
	}
	return refuseAt
}

// follow takes a table into force if it is newer.
func (gw *Gateway) follow(tb *assignment.Table) {
	if tb.Revision <= gw.table.Load().Revision {
		return
	}
	gw.table.Store(tb)
	gw.renewals()
	gw.fleetChanged()
}

// renewals tells the renewals what to renew.
func (gw *Gateway) renewals() {
	domains := map[ident.Upstream]ident.Domain{}
	gw.book.All(func(up *roster.Upstream) { domains[up.ID] = up.Domain })
	gw.renew(renewal.TableMsg{Table: gw.table.Load(), Domains: domains})
}

// confirm notes that the table in force was the newest at a time.
func (gw *Gateway) confirm(at clock.Instant) {
	gw.confirmedAt.Store(max(gw.confirmedAt.Load(), int64(at)))
	gw.renew(renewal.ConfirmMsg{At: at})
}

// rows takes chervilwalk's own rows as they were read.
func (gw *Gateway) rows(ev rowsEvent) {
	if ev.err != nil {
		gw.elect(election.ReadFailedMsg{})
		return
	}
	gw.follow(ev.table)
	if ev.table.Revision == gw.table.Load().Revision {
		gw.confirm(ev.readAt)
	}
	gw.writer.tableAt = ev.tableAt
	gw.elect(ev.row)
	if gw.leader != nil && gw.election.Leading() {
		gw.lead(leader.NotStoredMsg{Table: ev.table})
	}
}

// elect runs the election and does what it says.
func (gw *Gateway) elect(msg any) {
	now := gw.clock.Now()
	before := gw.election.Leading()
	cmd := gw.election.Update(now, msg)
	leading := gw.election.Leading()
	if before != leading {
		gw.cf.Journal.Event("leading", journal.Fields{"now": leading, "term": gw.election.Term(), "revision": gw.table.Load().Revision})
	}
	gw.ledAt.Store(int64(gw.election.Confirmed()))
	switch {
	case leading && gw.leader == nil:
		gw.leader = leader.New(now, gw.table.Load())
		gw.fleetChanged()
		gw.sendStatus(now)
		gw.broadcast()
	case !leading && gw.leader != nil:
		gw.leader, gw.writer.table = nil, nil
		if gw.stopping.Load() {
			gw.resigned()
		}
	}
	switch cmd {
	case election.Read:
		go gw.readOwn()
	case election.Write:
		gw.writer.row = true
	case election.Wait:
	}
	gw.write()
}

// lead runs the leader's core and does what it says.
func (gw *Gateway) lead(msg any) {
	if gw.leader == nil {
		return
	}
	for _, cmd := range gw.leader.Update(gw.clock.Now(), msg) {
		switch cmd := cmd.(type) {
		case leader.CommitCmd:
			gw.writer.table = cmd.Table
		case leader.CallCmd:
			gw.call(cmd)
		case leader.EventCmd:
			gw.cf.Journal.Event(cmd.What, cmd.Fields)
		}
	}
	gw.write()
}

// renew runs the renewals.
func (gw *Gateway) renew(msg any) {
	for _, cmd := range gw.renewal.Update(gw.clock.Now(), msg) {
		gw.renewUpstream(cmd)
	}
}

// permit runs the permits' core and sends what it says.
func (gw *Gateway) permit(msg any) {
	for _, cmd := range gw.permits.Update(gw.clock.Now(), msg) {
		switch cmd := cmd.(type) {
		case permit.PermitCmd:
			gw.reply(cmd.Host, cmd.Permit)
		case permit.RefuseCmd:
			gw.reply(cmd.Host, cmd.Refusal)
			gw.cf.Journal.Event("refused", journal.Fields{
				"request": cmd.Ask.Request, "service": cmd.Ask.Service, "key": cmd.Ask.Key, "reason": cmd.Refusal.Reason,
				"retryAfterMs": cmd.Refusal.RetryAfter.Milliseconds(), "waitedMs": cmd.Waited.Milliseconds(),
				"objectiveLeftMs": cmd.Ask.ObjectiveLeft.Milliseconds(), "timeLeftMs": cmd.Ask.TimeLeft.Milliseconds(),
				"upstream": cmd.Outlook.Upstream, "expectedWaitMs": cmd.Outlook.Wait.Milliseconds(), "expectedWorkMs": cmd.Outlook.Work.Milliseconds(),
				"busy": cmd.Outlook.Busy, "ahead": cmd.Outlook.Ahead, "cold": cmd.Outlook.Cold,
				"entriesAgeMs": gw.clock.Now().Sub(gw.rosterAt).Milliseconds(), "revision": gw.table.Load().Revision,
			})
		case permit.QueuedCmd:
			gw.reply(cmd.Host, cmd.Queued)
		}
	}
}

// status is what this host tells the leader.
func (gw *Gateway) status(now clock.Instant) talk.Status {
	st := talk.Status{
		Member: gw.self, Term: gw.election.Term(), Revision: gw.table.Load().Revision, Stopping: gw.stopping.Load(),
		Upstreams: gw.renewal.Report(now),
	}
	keys, loads := gw.tally.take()
	st.Keys = keys
	st.Upstreams = append(st.Upstreams, loads...)
	return st
}

func (gw *Gateway) sendStatus(now clock.Instant) {
	gw.statusAt = now
	st := gw.status(now)
	if gw.leader != nil {
		gw.confirm(now)
		gw.lead(leader.StatusMsg{Status: st})
		return
	}
	if address := gw.election.Leader().Address; address != "" {
		gw.transmit(address, st)
	}
}
