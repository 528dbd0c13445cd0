package gateway

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
)

// leavingEvent reports that an upstream has said in an answer that it is leaving.
type leavingEvent struct{ upstream ident.Upstream }

// pauseEvent reports that an upstream has said in an answer that it wants no request
// from this host until a time.
type pauseEvent struct {
	upstream ident.Upstream
	holder   ident.Host
	until    clock.Instant
}

// announcements holds what upstreams have said in their answers to this host.
type announcements struct {
	// leaving holds the upstreams of which the leader is told with each status, until
	// their entries say so too.
	leaving map[ident.Upstream]roster.Incarnation
	// pausedUntil is until when upstreams want no request from this host.
	pausedUntil map[ident.Upstream]clock.Instant
}

func newAnnouncements() announcements {
	return announcements{leaving: map[ident.Upstream]roster.Incarnation{}, pausedUntil: map[ident.Upstream]clock.Instant{}}
}

// pauseLeft returns how long an upstream still wants no request from this host.
func (an *announcements) pauseLeft(now clock.Instant, id ident.Upstream) time.Duration {
	return max(an.pausedUntil[id].Sub(now), 0)
}

// onLeaving and onPause are called by the goroutines that send requests.
func (gw *Gateway) onLeaving(id ident.Upstream) { gw.send(leavingEvent{id}) }

func (gw *Gateway) onPause(pm proxy.Permit, pause time.Duration) {
	gw.send(pauseEvent{upstream: pm.Upstream, holder: pm.Holder, until: gw.clock.Now().Add(pause)})
}

// handleLeaving stops sending requests to an upstream that has said that it is leaving.
func (gw *Gateway) handleLeaving(id ident.Upstream) {
	now := gw.clock.Now()
	ch, changed := gw.roster.Announce(now, id)
	up, known := gw.roster.Get(id)
	if known && !up.Draining {
		gw.announcements.leaving[id] = up.Incarnation
	}
	if !changed {
		return
	}
	gw.config.Log.Event("upstream", eventlog.Fields{"upstream": ch.Upstream, "now": ch.Kind, "incarnation": up.Incarnation, "version": gw.cache.version})
	gw.publishUpstreams()
	gw.reportLeaving()
}

// reportLeaving tells the leader which upstreams have said that they are leaving.
func (gw *Gateway) reportLeaving() {
	leader := gw.agent.Leader()
	for id, incarnation := range gw.announcements.leaving {
		up, known := gw.roster.Get(id)
		if !known || up.Draining || up.Gone || up.Incarnation != incarnation {
			delete(gw.announcements.leaving, id)
			continue
		}
		if leader != "" && !gw.agent.Leading() {
			gw.sendMessage(leader, protocol.Leaving{Upstream: id, Incarnation: incarnation})
		}
	}
}

// handlePeerLeaving handles a member's report, unless it is about an earlier process
// of the upstream.
func (gw *Gateway) handlePeerLeaving(ms protocol.Leaving) {
	if up, known := gw.roster.Get(ms.Upstream); known && up.Incarnation == ms.Incarnation {
		gw.handleLeaving(ms.Upstream)
	}
}

// handlePause records a pause and tells the holder, which then gives this host no
// permit for the upstream.
func (gw *Gateway) handlePause(ev pauseEvent) {
	now := gw.clock.Now()
	for id, until := range gw.announcements.pausedUntil {
		if until < now {
			delete(gw.announcements.pausedUntil, id)
		}
	}
	gw.announcements.pausedUntil[ev.upstream] = max(gw.announcements.pausedUntil[ev.upstream], ev.until)
	left := ev.until.Sub(now)
	gw.config.Log.Event("upstreamPaused", eventlog.Fields{"upstream": ev.upstream, "holder": ev.holder, "forMs": left.Milliseconds()})
	if ev.holder == gw.self.Host {
		gw.updatePermits(permit.PauseMsg{Host: gw.self.Host, Upstream: ev.upstream, Until: ev.until})
		return
	}
	if mb, known := gw.table.Load().Member(ev.holder); known {
		gw.sendMessage(mb.Address, protocol.Pause{Host: gw.self.Host, Upstream: ev.upstream, Left: left})
	}
}
