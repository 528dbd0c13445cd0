package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/internal/serving/quarantine"
)

const (
	// suspectReportTTL is how long the leader is told with each status of what this host has
	// learned: longer than a change of the leader takes.
	suspectReportTTL = 6 * time.Second
	// suspectBroadcastInterval is the time between two broadcasts of the suspects without a
	// change.
	suspectBroadcastInterval = 2 * time.Second
	// maxSuspectsPerDatagram keeps a message about suspects below maxDatagramBytes.
	maxSuspectsPerDatagram = 40
	// expiryInterval is the time between two looks for what is too old to count.
	expiryInterval = time.Second
	// answeredTTL is how long a request that was answered here raises no suspicion.
	answeredTTL = 10 * time.Second
	// watchTime is how long after an upstream may have crashed a holder watches its runs to their
	// ends.
	watchTime = 10 * time.Second
	// maxAnswered limits how many answered requests are remembered.
	maxAnswered = 8192
)

// crashEvent reports that the connection to an upstream ended while it ran a request.
type crashEvent struct {
	fingerprint ident.Fingerprint
	upstream    ident.Upstream
	run         protocol.Run
	holder      ident.Host
}

// answerEvent reports that an upstream has answered a suspect request.
type answerEvent struct {
	fingerprint ident.Fingerprint
	holder      ident.Host
}

// suspects decides on requests that crash upstreams and passes on what this host learns of them.
type suspects struct {
	core  *quarantine.Core
	relay relay[ident.Fingerprint, protocol.Suspect]
	// known holds the suspect requests. Goroutines that send requests read it, only the event
	// loop changes it.
	known *sync.Map
	// answered holds the requests that were answered here lately. Those do not crash upstreams,
	// they run beside one that does.
	answered *recentSet[ident.Fingerprint]
	// stored is the content of the row as this host, leading, has last written it at storedAt.
	stored   string
	storedAt clock.Instant
	// watchUntil is until when permits of this host are watched.
	watchUntil clock.Instant
	abandoned  abandonedRuns
	// expiredAt is when what is too old was looked for last.
	expiredAt clock.Instant
}

func newSuspects(gw *Gateway) suspects {
	co := quarantine.New()
	return suspects{core: co, known: &sync.Map{}, answered: newRecentSet[ident.Fingerprint](maxAnswered, answeredTTL), relay: relay[ident.Fingerprint, protocol.Suspect]{
		gw: gw, statement: co.Known, shared: co.Shared, perDatagram: maxSuspectsPerDatagram,
		isShared:  quarantine.IsShared,
		message:   func(list []protocol.Suspect) protocol.Msg { return protocol.Suspects{Suspects: list} },
		reportTTL: suspectReportTTL, broadcastInterval: suspectBroadcastInterval, learnedAt: map[ident.Fingerprint]clock.Instant{},
	}}
}

// suspect reports whether a request is known as suspect. It is called by the goroutines that send
// requests.
func (su *suspects) suspect(fp ident.Fingerprint) bool {
	_, known := su.known.Load(fp)
	return known
}

// onCrash, onAbandoned and onAnswer are called by the goroutines that send requests.
func (gw *Gateway) onCrash(pm proxy.Permit, fp ident.Fingerprint) {
	gw.config.Metrics.upstreamCrashed()
	if !gw.suspects.answered.has(time.Now(), fp) {
		gw.send(crashEvent{fingerprint: fp, upstream: pm.Upstream, run: gw.runOf(pm), holder: pm.Holder})
	}
}

func (gw *Gateway) onAbandoned(pm proxy.Permit, fp ident.Fingerprint) {
	if !gw.suspects.answered.has(time.Now(), fp) {
		gw.send(abandonedEvent{fingerprint: fp, upstream: pm.Upstream, run: gw.runOf(pm), holder: pm.Holder})
	}
}

func (gw *Gateway) onAnswer(pm proxy.Permit, fp ident.Fingerprint) {
	gw.suspects.answered.add(time.Now(), fp)
	if gw.suspects.suspect(fp) {
		gw.send(answerEvent{fingerprint: fp, holder: pm.Holder})
	}
}

// runOf returns the run that a permit is for. Its ticket is unique among those of this incarnation of
// this host.
func (gw *Gateway) runOf(pm proxy.Permit) protocol.Run {
	return protocol.Run(xxhash.Sum64String(fmt.Sprint(gw.self.Host, gw.self.Incarnation, pm.Ticket)))
}

// handleCrash records that an upstream may have crashed under a request.
func (gw *Gateway) handleCrash(ev crashEvent) {
	now := gw.clock.Now()
	msg := quarantine.CrashMsg{Fingerprint: ev.fingerprint, Upstream: ev.upstream, Run: ev.run}
	if up, known := gw.roster.Get(ev.upstream); known {
		msg.Incarnation = up.Incarnation
	}
	gw.recordCrash(now, ev.holder, msg, "attempt")
}

// recordCrash tells the core and other hosts of a crash under a run that a holder let begin.
func (gw *Gateway) recordCrash(now clock.Instant, holder ident.Host, msg quarantine.CrashMsg, from string) {
	cmds := gw.updateSuspects(now, msg, from)
	gw.suspects.relay.learned(now, msg.Fingerprint, holder, len(cmds) > 0)
}

// handleAnswer ends the suspicion of a request that was answered.
func (gw *Gateway) handleAnswer(ev answerEvent) {
	now := gw.clock.Now()
	if cmds := gw.updateSuspects(now, quarantine.AnswerMsg{Fingerprint: ev.fingerprint}, "answer"); len(cmds) > 0 {
		gw.suspects.relay.learned(now, ev.fingerprint, ev.holder, true)
	}
}

// handlePeerSuspects handles what another host knows of suspects.
func (gw *Gateway) handlePeerSuspects(ms protocol.Suspects, from string) {
	gw.suspects.relay.heard(from)
	gw.updateSuspects(gw.clock.Now(), quarantine.SuspectsMsg{Suspects: ms.Suspects}, from)
}

// updateSuspects passes a message to the core. from says in the log where it came from: an
// attempt or an answer of this host, a trial that it let run, time, the store or the address of
// another host.
func (gw *Gateway) updateSuspects(now clock.Instant, msg any, from string) []quarantine.ChangedCmd {
	cmds := gw.suspects.core.Update(now, msg)
	for _, cmd := range cmds {
		if cmd.Runs > 0 {
			gw.suspects.watchUntil = now.Add(watchTime)
		}
		if cmd.Crashes > 0 {
			gw.suspects.known.Store(cmd.Fingerprint, struct{}{})
		} else {
			gw.suspects.known.Delete(cmd.Fingerprint)
		}
		if !cmd.Shared() {
			continue
		}
		gw.suspects.relay.changedBy(now, from)
		if cmd.Crashes == cmd.Before {
			// One more run has ended with an upstream whose crash is known.
			continue
		}
		fields := eventlog.Fields{"fingerprint": cmd.Fingerprint, "crashes": cmd.Crashes, "upstream": cmd.Upstream, "from": from}
		name := "requestSuspected"
		switch {
		case cmd.Quarantined():
			gw.noteCrashes(now, cmd.Fingerprint)
			name = "requestQuarantined"
			fields["nextTrialMs"] = retryMs(now, cmd.NextTrial)
		case cmd.Crashes < cmd.Before:
			name = "requestCleared"
		}
		gw.config.Log.Event(name, fields)
	}
	if len(cmds) > 0 {
		gw.config.Metrics.setSuspects(gw.suspects.core.Len())
	}
	return cmds
}

// noteCrashes tells the permit core which upstreams have crashed under a request in quarantine:
// before that only the host that held their pool has seen it. Under other suspects their
// connections alone may have been lost.
func (gw *Gateway) noteCrashes(now clock.Instant, fp ident.Fingerprint) {
	su, _ := gw.suspects.core.Known(now, fp)
	for _, cr := range su.Crashes {
		gw.updatePermits(permit.CrashedMsg{Upstream: cr.Upstream, Incarnation: cr.Incarnation})
	}
}

// retryMs returns the milliseconds until a time, or "never".
func retryMs(now, at clock.Instant) any {
	if at == clock.Never {
		return "never"
	}
	return max(at.Sub(now), 0).Milliseconds()
}

// expireSuspects forgets what is too old to count.
func (gw *Gateway) expireSuspects(now clock.Instant) {
	if gw.suspects.core.Len() > 0 && now.Sub(gw.suspects.expiredAt) >= expiryInterval {
		gw.suspects.expiredAt = now
		gw.updateSuspects(now, quarantine.TickMsg{}, "time")
	}
}

// handleAsk decides on an ask as the holder of its pool.
func (gw *Gateway) handleAsk(ask protocol.Ask) {
	now := gw.clock.Now()
	if gw.suspects.core.Suspect(ask.Fingerprint) {
		gw.suspects.relay.held(now, ask.Fingerprint)
	}
	if rf, refused := gw.suspects.core.Admit(now, ask); refused {
		gw.sendToHost(ask.Host, rf)
		gw.config.Log.Event("refused", eventlog.Fields{
			"request": ask.Request, "service": ask.Service, "key": ask.Key, "reason": rf.Reason, "retryAfterMs": rf.RetryAfter.Milliseconds(),
			"fingerprint": ask.Fingerprint, "crashes": gw.suspects.core.Crashes(ask.Fingerprint), "fallback": ask.Fallback,
		})
		return
	}
	gw.updatePermits(permit.AskMsg{Ask: ask})
}

// handleDone takes a permit back.
func (gw *Gateway) handleDone(dn protocol.Done) {
	if outcome := permit.Outcome(dn.Outcome); outcome == permit.Broken || outcome == permit.Unreached {
		gw.suspects.watchUntil = gw.clock.Now().Add(watchTime)
	}
	gw.endTrial(quarantine.DoneMsg{Trial: quarantine.Trial{Host: dn.Host, Incarnation: dn.Incarnation, Ticket: dn.Ticket}, End: trialEnd(dn)})
	gw.updatePermits(permit.DoneMsg{Done: dn})
}

// trialEnd returns what a release says of the request itself.
func trialEnd(dn protocol.Done) quarantine.TrialEnd {
	switch permit.Outcome(dn.Outcome) {
	case permit.Answered:
		return quarantine.Answered
	case permit.Broken:
		return quarantine.Broken
	case permit.TimedOut, permit.Failed:
		return quarantine.Unanswered
	case permit.Refused, permit.Disowned:
		return quarantine.NotRun
	case permit.Withdrawn:
		if dn.Took > 0 {
			// Its caller left while it ran.
			return quarantine.Unanswered
		}
	}
	return quarantine.NotSent
}

// endTrial tells the core how an ask has ended, and others of requests that it cleared.
func (gw *Gateway) endTrial(msg quarantine.DoneMsg) {
	now := gw.clock.Now()
	for _, cmd := range gw.updateSuspects(now, msg, "trial") {
		gw.suspects.relay.learned(now, cmd.Fingerprint, gw.self.Host, true)
	}
}

// noteMembers makes the leader tell members that are new in an assignment of the suspects.
func (su *suspects) noteMembers(before, after *assignment.Table) {
	for _, mb := range after.Members {
		if known, listed := before.Member(mb.Host); mb.Alive && (!listed || !known.Alive || known.Incarnation != mb.Incarnation) {
			// It must know all of them.
			su.relay.changed, su.relay.repeatedAt = true, 0
		}
	}
}
