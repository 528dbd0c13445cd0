package gateway

import (
	"slices"
	"sync"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
	"chervilwalk/internal/serving/proxy"
)

const (
	// limitReportTTL is how long the leader is told with each status of what an upstream
	// has said to this host: two datagrams in a row may be lost.
	limitReportTTL = 1300 * time.Millisecond
	// limitBroadcastInterval is the time between two broadcasts of the limits by the leader,
	// minLimitBroadcastInterval the least one after a change.
	limitBroadcastInterval    = time.Second
	minLimitBroadcastInterval = 200 * time.Millisecond
	// liftedTTL is how long members are told that a limit was lifted.
	liftedTTL = 5 * time.Second
	// plannedLimitTTL is how long keys are kept away from an upstream by what it last said:
	// one that owns no keys says nothing more.
	plannedLimitTTL = 10 * time.Second
	// maxLimitsPerDatagram keeps a message about limits below maxDatagramBytes.
	maxLimitsPerDatagram = 150
)

// limitEvent reports how many requests an upstream takes from all hosts together, by its
// answer to a request that was sent at sentAt.
type limitEvent struct {
	upstream ident.Upstream
	holder   ident.Host
	sentAt   time.Time
	limit    rate.Limit
	err      error
}

// upstreamLimits holds what this host tells others of the limits of upstreams. The roster
// holds the limits themselves.
type upstreamLimits struct {
	// named holds the upstreams with a limit. Goroutines that send requests read it, only
	// the event loop changes it.
	named *sync.Map
	// saidAt is when upstreams last spoke of their limits to this host itself.
	saidAt map[ident.Upstream]clock.Instant
	// broadcastAt is when this host, as the leader, last told the members; changed reports
	// whether there is more to tell.
	broadcastAt clock.Instant
	changed     bool
}

func newUpstreamLimits() upstreamLimits {
	return upstreamLimits{named: &sync.Map{}, saidAt: map[ident.Upstream]clock.Instant{}}
}

// onLimit is called by the goroutines that send requests, for each answer.
func (gw *Gateway) onLimit(pm proxy.Permit, sentAt time.Time, limit rate.Limit, err error) {
	if _, named := gw.upstreamLimits.named.Load(pm.Upstream); !named && !limit.Named && err == nil {
		return
	}
	gw.send(limitEvent{upstream: pm.Upstream, holder: pm.Holder, sentAt: sentAt, limit: limit, err: err})
}

// handleLimit records what an upstream says of its limit and tells the holder. The leader
// hears of it too, so that all hosts know it if the holder changes.
func (gw *Gateway) handleLimit(ev limitEvent) {
	if ev.err != nil {
		// The last limit that was a number stays.
		gw.config.Log.ErrorEvent("upstreamLimitMalformed", ev.err, eventlog.Fields{"upstream": ev.upstream, "holder": ev.holder})
		return
	}
	up, known := gw.roster.Get(ev.upstream)
	if !known {
		return
	}
	now := gw.clock.Now()
	age := time.Duration(0)
	if !ev.limit.Named {
		// An answer without a limit may have been overtaken by one with a limit, so it
		// speaks for the time at which its request was sent.
		age = time.Since(ev.sentAt)
	}
	ul := protocol.UpstreamLimit{Upstream: ev.upstream, Incarnation: up.Incarnation, Limit: ev.limit, Age: age}
	gw.upstreamLimits.saidAt[ev.upstream] = now
	changed := gw.applyLimit(now, ul, "answer")
	if mb, known := gw.table.Load().Member(ev.holder); known && ev.holder != gw.self.Host {
		gw.sendMessage(mb.Address, protocol.Limits{Limits: []protocol.UpstreamLimit{ul}})
	}
	if changed {
		gw.reportLimits()
	}
}

// handlePeerLimits handles what another host says of limits.
func (gw *Gateway) handlePeerLimits(ms protocol.Limits, from string) {
	now := gw.clock.Now()
	for _, ul := range ms.Limits {
		gw.applyLimit(now, ul, from)
	}
}

// applyLimit records a limit unless a newer one is known, and reports whether it changes
// the limit in force. from is the address of the host that said so, or "answer".
func (gw *Gateway) applyLimit(now clock.Instant, ul protocol.UpstreamLimit, from string) bool {
	changed := gw.roster.NameLimit(ul.Upstream, ul.Incarnation, now.Add(-ul.Age), ul.Limit)
	up, known := gw.roster.Get(ul.Upstream)
	if !known || !up.Limit.Named {
		gw.upstreamLimits.named.Delete(ul.Upstream)
	} else {
		gw.upstreamLimits.named.Store(ul.Upstream, struct{}{})
	}
	if !changed {
		return false
	}
	gw.upstreamLimits.changed = true
	gw.updatePermits(permit.LimitMsg{Upstream: ul.Upstream, Limit: up.Limit})
	state := "lifted"
	if ul.Limit.Named {
		state = "named"
	}
	gw.config.Log.Event("upstreamLimit", eventlog.Fields{"upstream": ul.Upstream, "now": state, "perS": ul.Limit.PerSecond, "ageMs": ul.Age.Milliseconds(), "from": from})
	return true
}

// reportLimits tells the leader what upstreams have said to this host.
func (gw *Gateway) reportLimits() {
	now, leader := gw.clock.Now(), gw.agent.Leader()
	var report []protocol.UpstreamLimit
	for id, at := range gw.upstreamLimits.saidAt {
		up, known := gw.roster.Get(id)
		if !known || now.Sub(at) > limitReportTTL {
			delete(gw.upstreamLimits.saidAt, id)
			continue
		}
		report = append(report, statedLimit(now, up))
	}
	if leader != "" && !gw.agent.Leading() {
		gw.sendLimits(leader, report)
	}
}

// statedLimit returns what an upstream has last said of its limit.
func statedLimit(now clock.Instant, up *roster.Upstream) protocol.UpstreamLimit {
	return protocol.UpstreamLimit{Upstream: up.ID, Incarnation: up.Incarnation, Limit: up.Limit, Age: now.Sub(up.LimitAt)}
}

func (gw *Gateway) sendLimits(address string, report []protocol.UpstreamLimit) {
	for part := range slices.Chunk(report, maxLimitsPerDatagram) {
		gw.sendMessage(address, protocol.Limits{Limits: part})
	}
}

// broadcastLimits tells all members the limits of upstreams, if this host leads: at once
// when they change, and again and again for those that missed it or have just started.
func (gw *Gateway) broadcastLimits(now clock.Instant) {
	ul := &gw.upstreamLimits
	interval := limitBroadcastInterval
	if ul.changed {
		interval = minLimitBroadcastInterval
	}
	if !gw.agent.Leading() || now.Sub(ul.broadcastAt) < interval {
		return
	}
	ul.broadcastAt, ul.changed = now, false
	var report []protocol.UpstreamLimit
	gw.roster.All(func(up *roster.Upstream) {
		if up.Limit.Named || up.LimitAt > 0 && now.Sub(up.LimitAt) < liftedTTL {
			report = append(report, statedLimit(now, up))
		}
	})
	if len(report) == 0 {
		return
	}
	for _, mb := range gw.table.Load().Members {
		if mb.Alive && mb.Host != gw.self.Host {
			gw.sendLimits(mb.Address, report)
		}
	}
	// The plan of moves follows what upstreams have said lately.
	gw.publishUpstreams()
}
