package admission

import (
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/ramp"
	"chervilwalk/internal/serving/straggler"
	"chervilwalk/internal/serving/verdict"
)

const (
	// shedPause is how long an upstream that shed gets nothing.
	shedPause = 10 * time.Millisecond
	// stalePause is how long an upstream that refused a token gets nothing,
	// unless a new grant comes first.
	stalePause = 300 * time.Millisecond
	// minDownPause and maxDownPause bound the time between two attempts at an
	// upstream that refuses connections.
	minDownPause = 50 * time.Millisecond
	maxDownPause = time.Second
	// reportLife is how long an upstream's own report is heard.
	reportLife = 2 * time.Second
)

// upstream is what admission knows of one upstream.
type upstream struct {
	spec    bundle.Upstream
	leaving bool
	grant   authority.Grant
	granted bool
	ramp    ramp.Ramp
	queue   queue
	held    []*attempt
	// service is the time to the first byte, occupied that until the slot is
	// free; they differ for large bodies and slow readers.
	service  straggler.Record
	occupied straggler.Record
	sample   time.Duration
	// expected and turnover are the estimates of the last refresh.
	expected time.Duration
	turnover time.Duration

	// convicted is set until the upstream is no longer slow.
	convicted   bool
	pausedUntil clock.Instant
	staleUntil  clock.Instant
	downPause   time.Duration
	reported    int
	reportedAt  clock.Instant
	probe       prober
}

func newUpstream(sp bundle.Upstream) *upstream {
	up := &upstream{spec: sp}
	up.ramp = ramp.New(coldLimit(sp), sp.Slots)
	return up
}

// coldLimit is the bundle's, or all slots where it states none.
func coldLimit(sp bundle.Upstream) int {
	if sp.ColdLimit == 0 {
		return sp.Slots
	}
	return sp.ColdLimit
}

func (up *upstream) respec(sp bundle.Upstream) {
	up.spec = sp
	up.leaving = sp.Out
	up.ramp.Resize(coldLimit(sp), sp.Slots)
}

// restart forgets what was known of the process before.
func (up *upstream) restart() {
	up.ramp.Cool()
	up.service.Forget()
	up.occupied.Forget()
	up.pausedUntil, up.downPause = 0, 0
	up.probe = prober{}
}

// judge cools the ramp when the upstream becomes a straggler.
func (up *upstream) judge(slow, convicted bool) {
	if convicted && !up.convicted {
		up.ramp.Cool()
	}
	up.convicted = convicted || (up.convicted && slow)
}

// cool starts the ramp anew: the upstream shows signs of a restart.
func (up *upstream) cool(now clock.Instant) {
	up.ramp.Cool()
	up.pausedUntil = max(up.pausedUntil, now.Add(shedPause))
}

// refuse takes a proof of not run. Since the slots are counted exactly, a shed
// means that the upstream bears less than it did: it has turned cold.
func (up *upstream) refuse(now clock.Instant, rf verdict.Refusal) {
	switch rf {
	case verdict.StaleToken:
		up.staleUntil = now.Add(stalePause)
	case verdict.Unreachable:
		up.downPause = min(max(minDownPause, 2*up.downPause), maxDownPause)
		up.ramp.Cool()
		up.pausedUntil = now.Add(up.downPause)
	case verdict.Shed:
		up.cool(now)
	}
}

// open tells whether the upstream may be sent new work now.
func (up *upstream) open(now clock.Instant) bool {
	return up.granted && !up.leaving && now.Before(up.grant.Until) &&
		!now.Before(up.pausedUntil) && !now.Before(up.staleUntil)
}

// places is how many requests the upstream may have now, in all.
func (up *upstream) places() int {
	return min(up.ramp.Limit(), up.spec.Slots)
}

func (up *upstream) room() bool {
	return len(up.held) < up.places()
}

func (up *upstream) free(at *attempt) {
	up.held = slices.DeleteFunc(up.held, func(other *attempt) bool { return other == at })
}

// abandon takes the time of a dispatch that was cancelled.
func (up *upstream) abandon(at *attempt, now clock.Instant) {
	if !at.headed {
		up.service.Abandon(now.Sub(at.started))
	}
	up.occupied.Abandon(now.Sub(at.started))
}

// ages sums the time of the held requests: of those without a first byte, and
// of all.
func (up *upstream) ages(now clock.Instant) (silent, all time.Duration) {
	for _, at := range up.held {
		age := now.Sub(at.started)
		all += age
		if !at.headed {
			silent += age
		}
	}
	return silent, all
}

// load is the upstream's own report while it is fresh.
func (up *upstream) load(now clock.Instant) int {
	if now.Sub(up.reportedAt) > reportLife {
		return 0
	}
	return up.reported
}
