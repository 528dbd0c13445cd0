package admission

import (
	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/straggler"
)

// Report is what an operator sees of a pool's admission.
type Report struct {
	// Queued counts the requests that wait, Ownerless those of them whose slice
	// has no owner.
	Queued    int
	Ownerless int
	Upstreams []UpstreamReport
}

// UpstreamReport is what an operator sees of one upstream.
type UpstreamReport struct {
	Name  ident.Upstream
	Slots int
	// Limit is how many requests it may have now, InFlight how many it has.
	Limit    int
	InFlight int
	Queued   int
	// Why says what keeps it below its slots; empty when nothing does.
	Why string
}

// Report describes the pool at an instant and changes nothing.
func (co *Core[P]) Report(now clock.Instant) Report {
	rp := Report{Queued: co.queued, Ownerless: co.homeless.length()}
	for _, up := range co.order {
		ur := UpstreamReport{
			Name: up.spec.Name, Slots: up.spec.Slots, InFlight: len(up.held), Queued: up.queue.length(), Why: co.why(now, up),
		}
		if up.open(now) {
			ur.Limit = up.places()
		}
		rp.Upstreams = append(rp.Upstreams, ur)
	}
	return rp
}

// why names the first reason that keeps an upstream from its full load.
func (co *Core[P]) why(now clock.Instant, up *upstream) string {
	switch {
	case up.leaving:
		return "out: no new work"
	case !up.granted:
		return "no confirmed grant"
	case !now.Before(up.grant.Until):
		return "grant lapsed"
	case !now.Before(co.view.Until):
		return "the holder's lease lapsed"
	case now.Before(up.staleUntil):
		return "refused a stale token"
	case now.Before(up.pausedUntil) && up.downPause > 0:
		return "refuses connections"
	case now.Before(up.pausedUntil):
		return "shed or restarted just now"
	case !up.ramp.Warm():
		return "cold: its load is raised step by step"
	case straggler.Convicted(up.expected, co.figures.median):
		return "straggler: slower than its pool"
	default:
		return ""
	}
}
