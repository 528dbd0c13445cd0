package gateway

import (
	"net/netip"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/quarantine"
	"chervilwalk/platform"
)

const (
	// keyedDrainTimeout is how long a leaving upstream still gets requests for its
	// keys while they move. The platform allows two seconds from the change of the
	// entry, of which reading the entries may take one.
	keyedDrainTimeout = 500 * time.Millisecond
	// keyedEvacuationTimeout is the same for an evacuated domain, for which the
	// platform allows five seconds.
	keyedEvacuationTimeout = 2500 * time.Millisecond
	// restoredColdTTL is how long the upstreams of a restored domain count as
	// cold, until their entries report their state.
	restoredColdTTL = 2 * time.Second
)

// settingsEvent carries reloaded settings.
type settingsEvent struct{ settings platform.Settings }

// stopEvent says when this process ends its requests.
type stopEvent struct{ endsAt clock.Instant }

// send queues an event for the loop; it drops the event once the process has
// been closed.
func (gw *Gateway) send(ev any) {
	select {
	case gw.events <- ev:
	case <-gw.done:
	}
}

// run is the event loop: it handles one event at a time and wakes up when a core
// has something due.
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
		tm.Reset(max(gw.nextWake().Sub(gw.clock.Now()), time.Millisecond))
	}
}

// handle dispatches one event.
func (gw *Gateway) handle(ev any) {
	switch ev := ev.(type) {
	case operatorStateEvent:
		gw.applyOperatorState(ev)
	case evacuationsDueEvent:
		last := gw.evacuations.last
		// It was logged when the rows were read.
		last.err = nil
		gw.applyOperatorState(last)
	case rosterEvent:
		gw.applyRosterRead(ev)
	case rosterTickEvent:
		gw.updateRoster(false)
	case datagramEvent:
		gw.handleDatagram(ev)
	case acquireEvent:
		gw.permitClient.start(ev)
	case withdrawEvent:
		gw.permitClient.withdraw(ev)
	case releaseEvent:
		gw.permitClient.release(ev)
	case leavingEvent:
		gw.handleLeaving(ev.upstream)
	case pauseEvent:
		gw.handlePause(ev)
	case limitEvent:
		gw.handleLimit(ev)
	case crashEvent:
		gw.handleCrash(ev)
	case abandonedEvent:
		gw.handleAbandoned(ev)
	case answerEvent:
		gw.handleAnswer(ev)
	case suspectsUnstoredEvent:
		gw.suspects.stored = notStored
	case suspectsEvent:
		gw.handleStoredSuspects(ev)
	case dumpEvent:
		ev.reply <- gw.dump()
	case stopEvent:
		gw.permitClient.endsAt = ev.endsAt
	case settingsEvent:
		gw.bounds.Store(&ev.settings.Bounds)
	default:
		gw.updateAgent(ev)
	}
}

// tick makes each core handle what has become due, such as timeouts.
func (gw *Gateway) tick() {
	now := gw.clock.Now()
	gw.updateAgent(agent.TickMsg{})
	gw.checkSilentLeader()
	gw.updatePermits(permit.TickMsg{})
	gw.permitClient.tick(now)
	if gw.upstreamLimits.relay.broadcast(now) {
		// The plan of moves follows what upstreams have said lately.
		gw.publishUpstreams()
	}
	gw.suspects.relay.broadcast(now)
	gw.expireSuspects(now)
	gw.storeSuspects(now)
	if fields, due := gw.callCounts.takeFields(now); due {
		gw.config.Log.Event("storeCalls", fields)
	}
}

// nextWake returns when the loop must wake up if no event arrives.
func (gw *Gateway) nextWake() clock.Instant {
	now := gw.clock.Now()
	return min(gw.agent.Next(now), gw.permits.Next(now), gw.permitClient.nextWake())
}

// applyOperatorState applies a new desired state and changed evacuations.
func (gw *Gateway) applyOperatorState(ev operatorStateEvent) {
	if ev.err != nil {
		gw.config.Log.ErrorEvent("desiredStateMalformed", ev.err, eventlog.Fields{"kept": gw.desiredVersion()})
	}
	now := gw.clock.Now()
	ev.state.Evacuated = gw.evacuations.resolve(now, ev)
	if left := gw.evacuations.unsureUntil.Sub(now); left > 0 {
		// Then the store's word counts.
		time.AfterFunc(left, func() { gw.send(evacuationsDueEvent{}) })
	}
	for dm := range gw.operatorState.Evacuated {
		if !ev.state.Evacuated[dm] {
			gw.restoredColdUntil[dm] = now.Add(restoredColdTTL)
			delete(gw.evacuatedAt, dm)
			gw.config.Log.Event("domainTakenBack", eventlog.Fields{"domain": dm})
		}
	}
	for dm := range ev.state.Evacuated {
		if !gw.operatorState.Evacuated[dm] {
			gw.evacuatedAt[dm] = now
			gw.config.Log.Event("domainEvacuated", eventlog.Fields{"domain": dm})
		}
	}
	gw.operatorState.Evacuated = ev.state.Evacuated
	gw.noteOperatorRows(now, ev)
	if st := ev.state.Desired; st != nil && (gw.desiredState.Load() == nil || st.Version > gw.desiredState.Load().Version) {
		gw.desiredState.Store(st)
		gw.config.Log.Event("desiredState", eventlog.Fields{
			"version": st.Version, "routes": st.Routes(), "services": len(st.Services),
			"idleTimeoutMs": st.Limits.IdleTimeout.Milliseconds(), "headerTimeoutMs": st.Limits.HeaderTimeout.Milliseconds(),
		})
		gw.config.Metrics.setDesiredVersion(st.Version)
		gw.updateOutSince(now, st.Upstreams)
		gw.checkHostListed(st.Hosts)
	}
	gw.publishUpstreams()
}

// updateOutSince records since when upstreams have been out of service and keeps
// the times of those that already were.
func (gw *Gateway) updateOutSince(now clock.Instant, inService map[ident.Upstream]bool) {
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

// desiredVersion returns the version of the desired state in force, for logs.
func (gw *Gateway) desiredVersion() any {
	if st := gw.desiredState.Load(); st != nil {
		return st.Version
	}
	return "none"
}

// applyRosterRead applies the upstream entries that this host has just read.
func (gw *Gateway) applyRosterRead(ev rosterEvent) {
	now := gw.clock.Now()
	gw.logMalformedRows(now, ev.malformed)
	if known := platform.Version(gw.cache.version); known != 0 && known.Era() != ev.version.Era() {
		gw.config.Log.Event("storeEra", eventlog.Fields{"era": ev.version.Era(), "before": known.Era(), "entries": len(ev.entries)})
		ev.away = true
		gw.suspects.stored = notStored
	}
	if ev.away {
		gw.roster.StoreRecovered(now)
	}
	if uint64(ev.version) < gw.cache.version {
		return
	}
	gw.roster.MarkLeaving(ev.entries)
	before, first := gw.cache.digest, gw.cache.version == 0
	digest := roster.Digest(ev.entries)
	if digest != before {
		gw.cache.pushHistory()
	}
	gw.cache.entries, gw.cache.version, gw.cache.readAt = ev.entries, uint64(ev.version), now
	if digest != before || ev.away {
		gw.cache.digest, gw.cache.changedVersion = digest, uint64(ev.version)
		gw.broadcastRoster(now, before)
	}
	if first {
		gw.tellDomain(func(to netip.AddrPort) { gw.sendPackedRoster(now, to) })
	}
	gw.updateRoster(digest != before)
}

// updateRoster updates the roster from the known entries. It updates the cores
// only when something changed or an upstream has reached its refusal time: most
// checks of the entries of hundreds of upstreams find nothing.
func (gw *Gateway) updateRoster(changed bool) {
	now := gw.clock.Now()
	changes := gw.roster.Update(now, gw.cache.entries)
	if len(changes) == 0 && !changed && now < gw.nextRefusal {
		return
	}
	for _, ch := range changes {
		gw.config.Log.Event("upstream", eventlog.Fields{"upstream": ch.Upstream, "now": ch.Kind, "missingMs": ch.MissingFor.Milliseconds(), "version": gw.cache.version})
		if ch.Unannounced {
			gw.countAbandoned(now, ch.Upstream)
		}
	}
	gw.connPool.Retain(func(id ident.Upstream) bool {
		up, known := gw.roster.Get(id)
		return known && !up.Gone
	})
	gw.grantClients.retain(gw.roster)
	gw.publishUpstreams()
}

// publishUpstreams passes the current upstreams to the cores and updates the
// endpoints and the readiness.
func (gw *Gateway) publishUpstreams() {
	now := gw.clock.Now()
	st := gw.desiredState.Load()
	if st == nil {
		return
	}
	endpoints := make(map[ident.Upstream]endpoint, gw.roster.Len())
	forLeader := leader.UpstreamsMsg{Keyed: map[ident.Service]bool{}}
	domains := make(map[ident.Upstream]ident.Domain, gw.roster.Len())
	gw.upstreamCount = map[ident.Service]int{}
	gw.nextRefusal = clock.Never
	forPermits := permit.UpstreamsMsg{Services: st.Services, Table: gw.table.Load()}
	for name, sv := range st.Services {
		if sv.Keyed {
			forLeader.Keyed[name] = true
		}
	}
	gw.roster.All(func(up *roster.Upstream) {
		sv, known := st.Services[up.Service]
		inService, listed := st.Upstreams[up.ID]
		// A desired state that lists upstreams excludes all others.
		if !known || st.Upstreams != nil && !listed {
			return
		}
		out := listed && !inService
		evacuated := gw.operatorState.Evacuated[up.Domain]
		coldUntil := max(up.ColdUntil, gw.restoredColdUntil[up.Domain])
		refuseAt := gw.refuseAt(up, sv.Keyed, evacuated, out)
		domains[up.ID] = up.Domain
		gw.upstreamCount[up.Service]++
		endpoints[up.ID] = endpoint{service: up.Service, domain: up.Domain, address: up.Address, refuseAt: refuseAt}
		// An upstream that refuses new requests gets no permits, but the leader still
		// has to move its keys.
		if now < refuseAt {
			gw.nextRefusal = min(gw.nextRefusal, refuseAt)
			forPermits.Upstreams = append(forPermits.Upstreams, permit.Upstream{
				ID: up.ID, Service: up.Service, Domain: up.Domain, Slots: up.Slots, Incarnation: up.Incarnation, ColdUntil: coldUntil, Limit: up.Limit,
			})
		}
		if sv.Keyed {
			forLeader.Upstreams = append(forLeader.Upstreams, leader.Upstream{
				ID: up.ID, Service: up.Service, Domain: up.Domain, Slots: up.Slots, Incarnation: up.Incarnation,
				Usable: !up.Leaving() && !evacuated && !out, ColdUntil: coldUntil, ColdRate: sv.ColdRate,
				Limit: up.Limit, LimitUntil: up.LimitAt.Add(plannedLimitTTL),
			})
		}
	})
	gw.endpoints.Store(&endpoints)
	gw.updateAgent(agent.UpstreamsMsg{ForLeader: forLeader, Domains: domains})
	gw.updatePermits(forPermits)
	gw.isReady.Store(!gw.stopping.Load() && st.InService(gw.self.Host))
}

// refuseAt returns the time from which an upstream gets no new requests.
func (gw *Gateway) refuseAt(up *roster.Upstream, keyed, evacuated, out bool) clock.Instant {
	refuseAt := up.LeavingAt
	if out {
		refuseAt = min(refuseAt, gw.outSince[up.ID])
	}
	if keyed && refuseAt != clock.Never {
		refuseAt = refuseAt.Add(keyedDrainTimeout)
	}
	if evacuated {
		at := gw.evacuatedAt[up.Domain]
		if keyed {
			at = at.Add(keyedEvacuationTimeout)
		}
		refuseAt = min(refuseAt, at)
	}
	return refuseAt
}

// updateAgent passes a message to the ownership agent and executes the commands
// that it returns.
func (gw *Gateway) updateAgent(msg any) {
	cmds := gw.agent.Update(gw.clock.Now(), msg)
	gw.leadershipConfirmedAt.Store(int64(gw.agent.LeadershipConfirmed()))
	gw.tableConfirmedAt.Store(int64(gw.agent.TableConfirmed()))
	gw.tableCertainAt.Store(int64(gw.agent.TableCertain()))
	if leads := gw.agent.Leading(); gw.leading.Swap(leads) != leads {
		wake(gw.rowsWake)
		wake(gw.entriesWake)
	}
	gw.confirmHolder()
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case agent.ReadCmd:
			go gw.readOwnRows()
		case agent.WriteCmd:
			go gw.writeOwnRow(cmd)
		case agent.CallCmd:
			gw.runMoveStep(leader.CallCmd(cmd))
		case agent.CheckCmd:
			gw.checkUpstream(leader.CheckCmd(cmd))
		case agent.RenewCmd:
			gw.renewUpstream(renewal.RenewCmd(cmd))
		case agent.EventCmd:
			gw.config.Log.Event(cmd.Name, cmd.Fields)
		case agent.StatusCmd:
			gw.sendStatus(cmd)
		case agent.HeartbeatCmd:
			gw.sendHeartbeat(cmd)
		case agent.AssignmentCmd:
			gw.sendAssignment(cmd)
		case agent.ReportCmd:
			gw.sendReport(cmd)
		case agent.TableCmd:
			gw.suspects.noteMembers(gw.table.Load(), cmd.Table)
			gw.table.Store(cmd.Table)
			if rank := int64(domainRank(cmd.Table, gw.self.Host)); gw.domainRank.Swap(rank) != rank {
				wake(gw.rowsWake)
				wake(gw.entriesWake)
			}
			gw.updatePermits(permit.TableMsg{Table: cmd.Table})
		}
	}
}

// sendStatus sends this host's status with the load counted since the last one.
func (gw *Gateway) sendStatus(cmd agent.StatusCmd) {
	st := cmd.Status
	st.RosterVersion, st.RosterDigest = gw.cache.version, gw.cache.digest
	st.OperatorRows = gw.operatorVersion.Load() + 1
	keys, loads := gw.loads.take()
	st.Keys = keys
	st.Upstreams = append(st.Upstreams, loads...)
	if cmd.To == "" {
		gw.updateAgent(agent.StatusMsg{Status: st})
		return
	}
	now := gw.clock.Now()
	gw.sendMessage(cmd.To, st)
	gw.reportLeaving()
	gw.upstreamLimits.relay.report(now)
	gw.suspects.relay.report(now)
}

// updatePermits passes a message to the permit core and sends the replies that
// it returns.
func (gw *Gateway) updatePermits(msg any) {
	for _, cmd := range gw.permits.Update(gw.clock.Now(), msg) {
		switch cmd := cmd.(type) {
		case permit.IssueCmd:
			cmd.Permit.Watched = gw.clock.Now() < gw.suspects.watchUntil
			gw.sendToHost(cmd.Host, cmd.Permit)
		case permit.RefuseCmd:
			gw.endTrial(quarantine.DoneMsg{Trial: quarantine.Trial{Host: cmd.Host, Incarnation: cmd.Ask.Incarnation, Ticket: cmd.Ask.Ticket}})
			gw.sendToHost(cmd.Host, cmd.Refusal)
			gw.config.Log.Event("refused", eventlog.Fields{
				"request": cmd.Ask.Request, "service": cmd.Ask.Service, "key": cmd.Ask.Key, "reason": cmd.Refusal.Reason,
				"retryAfterMs": cmd.Refusal.RetryAfter.Milliseconds(), "waitedMs": cmd.Waited.Milliseconds(),
				"objectiveLeftMs": cmd.Ask.ObjectiveLeft.Milliseconds(), "timeLeftMs": cmd.Ask.TimeLeft.Milliseconds(),
				"upstream": cmd.Estimate.Upstream, "expectedWaitMs": cmd.Estimate.Wait.Milliseconds(), "expectedWorkMs": cmd.Estimate.Latency.Milliseconds(),
				"busy": cmd.Estimate.Busy, "ahead": cmd.Estimate.Ahead, "cold": cmd.Estimate.Cold, "late": cmd.Estimate.Late, "disturbance": cmd.Estimate.Disturbance, "limitPerS": cmd.Estimate.Limit.PerSecond,
				"entriesAgeMs": gw.clock.Now().Sub(gw.cache.readAt).Milliseconds(), "revision": gw.table.Load().Revision,
			})
		case permit.QueuedCmd:
			gw.sendToHost(cmd.Host, cmd.Queued)
		case permit.LinkCmd:
			gw.config.Log.Event("domainLink", eventlog.Fields{"from": cmd.From, "to": cmd.To, "down": cmd.Down, "isolated": cmd.Isolated})
		case permit.HotKeyCmd:
			gw.noteHotKey(cmd.Change)
		}
	}
}
