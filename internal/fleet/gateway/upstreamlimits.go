package gateway

import (
	"sync"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/serving/proxy"
)

// limitEvent reports how many requests an upstream takes from all hosts together, by its
// answer to a request that was sent at sentAt.
type limitEvent struct {
	upstream ident.Upstream
	holder   ident.Host
	sentAt   time.Time
	limit    rate.PerSecond
	err      error
}

// upstreamLimits holds the limits that upstreams have named in answers to this host.
type upstreamLimits struct {
	// named holds the upstreams with a limit. Goroutines that send requests read it, only
	// the event loop changes it.
	named *sync.Map
}

func newUpstreamLimits() upstreamLimits { return upstreamLimits{named: &sync.Map{}} }

// onLimit is called by the goroutines that send requests, for each answer.
func (gw *Gateway) onLimit(pm proxy.Permit, sentAt time.Time, limit rate.PerSecond, err error) {
	if _, named := gw.upstreamLimits.named.Load(pm.Upstream); !named && limit == rate.Unlimited && err == nil {
		return
	}
	gw.send(limitEvent{upstream: pm.Upstream, holder: pm.Holder, sentAt: sentAt, limit: limit, err: err})
}

// handleLimit records the limit that an upstream names and logs changes.
func (gw *Gateway) handleLimit(ev limitEvent) {
	if ev.err != nil {
		gw.config.Log.ErrorEvent("upstreamLimitMalformed", ev.err, eventlog.Fields{"upstream": ev.upstream, "holder": ev.holder})
		return
	}
	before, named := gw.upstreamLimits.named.Load(ev.upstream)
	switch {
	case ev.limit == rate.Unlimited:
		if named {
			gw.config.Log.Event("upstreamLimit", eventlog.Fields{"upstream": ev.upstream, "holder": ev.holder, "now": "lifted", "before": before})
		}
		gw.upstreamLimits.named.Delete(ev.upstream)
		return
	case before != ev.limit:
		gw.config.Log.Event("upstreamLimit", eventlog.Fields{"upstream": ev.upstream, "holder": ev.holder, "now": "named", "perS": ev.limit, "before": before})
	}
	gw.upstreamLimits.named.Store(ev.upstream, ev.limit)
}
