package gateway

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/platform"
)

const (
	// keyedLeave is how long a leaving upstream still gets requests for its
	// keys, which need a moment to move; the platform allows two seconds from
	// the entry's change, of which a read of the entries may take one.
	keyedLeave = 500 * time.Millisecond
	// keyedEvacuate is the same for a domain that is evacuated, for which the
	// platform allows five seconds.
	keyedEvacuate = 2500 * time.Millisecond
	// coldAgainTime is how long the upstreams of a domain that was taken back
	// count as cold, until their entries say how they are.
	coldAgainTime = 2 * time.Second
)

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
	case operatorEvent:
		gw.operatorsChanged(ev)
	case rosterEvent:
		gw.read(ev)
	case againEvent:
		gw.listed(false)
	case datagramEvent:
		gw.hear(ev)
	case askEvent:
		gw.asks.begin(ev)
	case withdrawEvent:
		gw.asks.withdraw(ev)
	case releaseEvent:
		gw.asks.release(ev)
	case dumpEvent:
		ev.reply <- gw.dump()
	case settingsEvent:
		gw.cf.Settings.Bounds = ev.settings.Bounds
	default:
		gw.own(ev)
	}
}

// tick lets every core see that time has passed.
func (gw *Gateway) tick() {
	now := gw.clock.Now()
	gw.own(agent.TickMsg{})
	if gw.longWatch.Load() && !gw.led() {
		gw.longWatch.Store(false)
		gw.rereadOperators("leaderSilent")
	}
	gw.permit(permit.TickMsg{})
	gw.asks.tick(now)
	if fields, worth := gw.calls.line(now); worth {
		gw.cf.Journal.Event("storeCalls", fields)
	}
}

// next is when the loop has to wake if nothing happens.
func (gw *Gateway) next() clock.Instant {
	now := gw.clock.Now()
	return min(gw.duty.Next(now), gw.permits.Next(now), gw.asks.next())
}

// operatorsChanged takes what the operators want.
func (gw *Gateway) operatorsChanged(ev operatorEvent) {
	if ev.err != nil {
		gw.cf.Journal.Problem("desiredStateMalformed", ev.err, eventlog.Fields{"kept": gw.version()})
	}
	now := gw.clock.Now()
	for dm := range gw.operators.Evacuated {
		if !ev.state.Evacuated[dm] {
			gw.coldAgain[dm] = now.Add(coldAgainTime)
			delete(gw.evacuated, dm)
			gw.cf.Journal.Event("domainTakenBack", eventlog.Fields{"domain": dm})
		}
	}
	for dm := range ev.state.Evacuated {
		if !gw.operators.Evacuated[dm] {
			gw.evacuated[dm] = now
			gw.cf.Journal.Event("domainEvacuated", eventlog.Fields{"domain": dm})
		}
	}
	gw.operators.Evacuated = ev.state.Evacuated
	gw.news.operatorAt = max(gw.news.operatorAt, ev.changedAt)
	if st := ev.state.Desired; st != nil && (gw.state.Load() == nil || st.Version > gw.state.Load().Version) {
		gw.state.Store(st)
		gw.cf.Journal.Event("desiredState", eventlog.Fields{"version": st.Version, "routes": st.Routes(), "services": len(st.Services)})
		gw.cf.Metrics.version(st.Version)
		gw.noteOut(now, st.Upstreams)
		gw.checkHost(st.Hosts)
	}
	gw.fleetChanged()
}

// noteOut keeps since when upstreams are out of service.
func (gw *Gateway) noteOut(now clock.Instant, inService map[ident.Upstream]bool) {
	since := map[ident.Upstream]clock.Instant{}
	for id, in := range inService {
		if in {
			continue
		}
		since[id] = now
		if before, known := gw.outSince[id]; known {
			since[id] = before
		}
	}
	gw.outSince = since
}

func (gw *Gateway) version() any {
	if st := gw.state.Load(); st != nil {
		return st.Version
	}
	return "none"
}

// read takes the upstreams' entries as this host read them.
func (gw *Gateway) read(ev rosterEvent) {
	now := gw.clock.Now()
	for _, pb := range ev.problems {
		gw.cf.Journal.Problem("entryMalformed", pb.Err, eventlog.Fields{"key": pb.Key, "version": pb.Version})
	}
	if ev.away {
		gw.book.StoreRecovered(now)
	}
	if uint64(ev.version) < gw.news.rosterAt {
		return
	}
	before := gw.news.digest
	digest := roster.Digest(ev.entries)
	if digest != before {
		gw.news.remember()
	}
	gw.news.entries, gw.news.rosterAt, gw.news.readAt = ev.entries, uint64(ev.version), now
	if digest != before || ev.away {
		gw.news.digest, gw.news.changedAt = digest, uint64(ev.version)
		gw.spreadRoster(now, before)
	}
	gw.listed(digest != before)
}

// listed follows the entries that are known. The cores are told only when
// something changed or an upstream's time to refuse has come: most looks at the
// entries of hundreds of upstreams find nothing.
func (gw *Gateway) listed(changed bool) {
	now := gw.clock.Now()
	changes := gw.book.Update(now, gw.news.entries)
	if len(changes) == 0 && !changed && now < gw.refuseNext {
		return
	}
	for _, ch := range changes {
		gw.cf.Journal.Event("upstream", eventlog.Fields{"upstream": ch.Upstream, "now": ch.Kind, "missingMs": ch.MissingFor.Milliseconds(), "version": gw.news.rosterAt})
	}
	gw.links.Retain(func(id ident.Upstream) bool {
		up, known := gw.book.Get(id)
		return known && !up.Gone
	})
	gw.owners.retain(gw.book)
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
	domains := make(map[ident.Upstream]ident.Domain, gw.book.Len())
	gw.upstreams = map[ident.Service]int{}
	gw.refuseNext = clock.Never
	hand := permit.FleetMsg{Services: st.Services, Table: gw.table.Load()}
	for name, sv := range st.Services {
		if sv.Keyed {
			lead.Keyed[name] = true
		}
	}
	gw.book.All(func(up *roster.Upstream) {
		sv, known := st.Services[up.Service]
		inService, listed := st.Upstreams[up.ID]
		if !known || st.Upstreams != nil && !listed {
			return
		}
		out := listed && !inService
		evacuated := gw.operators.Evacuated[up.Domain]
		coldUntil := max(up.ColdUntil, gw.coldAgain[up.Domain])
		refuseAt := gw.refuseAt(up, sv.Keyed, evacuated, out)
		domains[up.ID] = up.Domain
		gw.upstreams[up.Service]++
		places[up.ID] = place{address: up.Address, refuseAt: refuseAt}
		if now < refuseAt {
			gw.refuseNext = min(gw.refuseNext, refuseAt)
			hand.Upstreams = append(hand.Upstreams, permit.Upstream{
				ID: up.ID, Service: up.Service, Domain: up.Domain, Slots: up.Slots, Life: up.Life, ColdUntil: coldUntil,
			})
		}
		if sv.Keyed {
			lead.Upstreams = append(lead.Upstreams, leader.Upstream{
				ID: up.ID, Service: up.Service, Domain: up.Domain, Slots: up.Slots, Life: up.Life,
				Usable: !up.Leaving() && !evacuated && !out, ColdUntil: coldUntil, ColdRate: sv.ColdRate,
			})
		}
	})
	gw.places.Store(&places)
	gw.own(agent.FleetMsg{Fleet: lead, Domains: domains})
	gw.permit(hand)
	gw.isReady.Store(!gw.stopping.Load() && st.InService(gw.self.Host))
}

// refuseAt is from when an upstream gets nothing new.
func (gw *Gateway) refuseAt(up *roster.Upstream, keyed, evacuated, out bool) clock.Instant {
	refuseAt := up.LeavingAt
	if out {
		refuseAt = min(refuseAt, gw.outSince[up.ID])
	}
	if keyed && refuseAt != clock.Never {
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

// own runs the core of ownership and does what it says.
func (gw *Gateway) own(msg any) {
	cmds := gw.duty.Update(gw.clock.Now(), msg)
	gw.ledAt.Store(int64(gw.duty.Led()))
	gw.confirmedAt.Store(int64(gw.duty.Confirmed()))
	gw.leading.Store(gw.duty.Leading())
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case agent.ReadCmd:
			go gw.readOwn()
		case agent.WriteCmd:
			go gw.writeOwn(cmd)
		case agent.CallCmd:
			gw.call(leader.CallCmd(cmd))
		case agent.RenewCmd:
			gw.renewUpstream(renewal.RenewCmd(cmd))
		case agent.EventCmd:
			gw.cf.Journal.Event(cmd.What, cmd.Fields)
		case agent.StatusCmd:
			gw.sendStatus(cmd)
		case agent.BeatCmd:
			gw.sendBeat(cmd)
		case agent.ViewCmd:
			gw.sendView(cmd)
		case agent.TableCmd:
			gw.table.Store(cmd.Table)
			gw.permit(permit.TableMsg{Table: cmd.Table})
		}
	}
}

// sendStatus sends this host's status with what it counted since the last.
func (gw *Gateway) sendStatus(cmd agent.StatusCmd) {
	st := cmd.Status
	st.RosterAt, st.RosterDigest = gw.news.rosterAt, gw.news.digest
	keys, loads := gw.tally.take()
	st.Keys = keys
	st.Upstreams = append(st.Upstreams, loads...)
	if cmd.To == "" {
		gw.own(agent.StatusMsg{Status: st})
		return
	}
	gw.transmit(cmd.To, st)
}

// permit runs the permits' core and sends what it says.
func (gw *Gateway) permit(msg any) {
	for _, cmd := range gw.permits.Update(gw.clock.Now(), msg) {
		switch cmd := cmd.(type) {
		case permit.SendCmd:
			gw.reply(cmd.Host, cmd.Permit)
		case permit.RefuseCmd:
			gw.reply(cmd.Host, cmd.Refusal)
			gw.cf.Journal.Event("refused", eventlog.Fields{
				"request": cmd.Ask.Request, "service": cmd.Ask.Service, "key": cmd.Ask.Key, "reason": cmd.Refusal.Reason,
				"retryAfterMs": cmd.Refusal.RetryAfter.Milliseconds(), "waitedMs": cmd.Waited.Milliseconds(),
				"objectiveLeftMs": cmd.Ask.ObjectiveLeft.Milliseconds(), "timeLeftMs": cmd.Ask.TimeLeft.Milliseconds(),
				"upstream": cmd.Outlook.Upstream, "expectedWaitMs": cmd.Outlook.Wait.Milliseconds(), "expectedWorkMs": cmd.Outlook.Work.Milliseconds(),
				"busy": cmd.Outlook.Busy, "ahead": cmd.Outlook.Ahead, "cold": cmd.Outlook.Cold,
				"entriesAgeMs": gw.clock.Now().Sub(gw.news.readAt).Milliseconds(), "revision": gw.table.Load().Revision,
			})
		case permit.QueuedCmd:
			gw.reply(cmd.Host, cmd.Queued)
		}
	}
}
