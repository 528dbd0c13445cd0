package gateway

import (
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
	// limitBroadcastInterval is the time between two broadcasts of the limits by the leader.
	limitBroadcastInterval = time.Second
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

// upstreamLimits passes on the limits of upstreams. The roster holds the limits themselves.
type upstreamLimits struct {
	relay relay[ident.Upstream, protocol.UpstreamLimit]
	// named holds the upstreams with a limit. Goroutines that send requests read it, only
	// the event loop changes it.
	named *sync.Map
}

func newUpstreamLimits(gw *Gateway) upstreamLimits {
	return upstreamLimits{named: &sync.Map{}, relay: relay[ident.Upstream, protocol.UpstreamLimit]{
		gw: gw, statement: gw.statedLimit, shared: gw.sharedLimits, perDatagram: maxLimitsPerDatagram,
		isShared:  func(protocol.UpstreamLimit) bool { return true },
		message:   func(limits []protocol.UpstreamLimit) protocol.Msg { return protocol.Limits{Limits: limits} },
		reportTTL: limitReportTTL, broadcastInterval: limitBroadcastInterval, learnedAt: map[ident.Upstream]clock.Instant{},
	}}
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
	changed := gw.applyLimit(now, ul, "answer")
	gw.upstreamLimits.relay.learned(now, ev.upstream, ev.holder, changed)
}

// handlePeerLimits handles what another host says of limits.
func (gw *Gateway) handlePeerLimits(ms protocol.Limits, from string) {
	now := gw.clock.Now()
	gw.upstreamLimits.relay.heard(from)
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
	gw.upstreamLimits.relay.changedBy(now, from)
	gw.updatePermits(permit.LimitMsg{Upstream: ul.Upstream, Limit: up.Limit})
	state := "lifted"
	if ul.Limit.Named {
		state = "named"
	}
	gw.config.Log.Event("upstreamLimit", eventlog.Fields{"upstream": ul.Upstream, "now": state, "perS": ul.Limit.PerSecond, "ageMs": ul.Age.Milliseconds(), "from": from})
	return true
}

// statedLimit returns what an upstream has last said of its limit.
func (gw *Gateway) statedLimit(now clock.Instant, id ident.Upstream) (protocol.UpstreamLimit, bool) {
	up, known := gw.roster.Get(id)
	if !known {
		return protocol.UpstreamLimit{}, false
	}
	return protocol.UpstreamLimit{Upstream: up.ID, Incarnation: up.Incarnation, Limit: up.Limit, Age: now.Sub(up.LimitAt)}, true
}

// sharedLimits returns the limits in force and those that were lifted lately, whenever they were
// named.
func (gw *Gateway) sharedLimits(now, _ clock.Instant) []protocol.UpstreamLimit {
	var limits []protocol.UpstreamLimit
	gw.roster.All(func(up *roster.Upstream) {
		if up.Limit.Named || up.LimitAt > 0 && now.Sub(up.LimitAt) < liftedTTL {
			ul, _ := gw.statedLimit(now, up.ID)
			limits = append(limits, ul)
		}
	})
	return limits
}
