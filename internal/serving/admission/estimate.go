package admission

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/serving/straggler"
)

// refreshEvery is how old the pool's estimates may be.
const refreshEvery = time.Millisecond

// figures are the pool's estimates.
type figures struct {
	until clock.Instant
	// median is the middle of the upstreams' times to the first byte; zero
	// when nothing has been served.
	median time.Duration
	// turnover is the middle of the times that a request holds a slot.
	turnover time.Duration
	// rate is what all open upstreams serve, quick what those serve that are
	// not slow; in requests a second.
	rate  float64
	quick float64
}

// refresh estimates anew what the upstreams do.
func (co *Core[P]) refresh(now clock.Instant) {
	if now.Before(co.figures.until) {
		return
	}
	last := co.figures
	co.figures = figures{until: now.Add(refreshEvery)}
	times := make([]time.Duration, 0, len(co.order))
	turns := make([]time.Duration, 0, len(co.order))
	for _, up := range co.order {
		co.estimate(now, up, last)
		times = append(times, up.expected)
		turns = append(turns, up.turnover)
	}
	co.figures.median = straggler.Median(times)
	co.figures.turnover = straggler.Median(turns)
	for _, up := range co.order {
		co.judge(now, up)
	}
}

func (co *Core[P]) estimate(now clock.Instant, up *upstream, last figures) {
	silent, all := up.ages(now)
	up.expected = up.service.Expected(silent, last.median)
	up.turnover = up.occupied.Expected(all, last.turnover)
	if co.options.known != nil {
		up.expected = co.options.known(up.spec.Name)
		up.turnover = up.expected
	}
}

// judge adds an upstream to the pool's rates. A jump in its time may mean that
// it turned cold, so that its ramp starts anew, once, when it is convicted.
func (co *Core[P]) judge(now clock.Instant, up *upstream) {
	slow := straggler.Slow(up.expected, co.figures.median)
	if co.options.known == nil && !co.options.plain {
		up.judge(slow, straggler.Convicted(up.expected, co.figures.median))
	}
	if up.open(now) && up.turnover > 0 {
		rate := float64(up.places()) * float64(time.Second) / float64(up.turnover)
		co.figures.rate += rate
		if !slow {
			co.figures.quick += rate
		}
	}
}

// observe takes the time to an answer's first byte. What a process answered
// before its restart says nothing of the one after.
func (co *Core[P]) observe(at *attempt, firstByte clock.Instant) {
	at.headed = true
	up := at.upstream
	if at.incarnation != up.grant.Incarnation {
		return
	}
	took := firstByte.Sub(at.started)
	up.service.Observe(took)
	if up.sample == 0 {
		up.sample = took
	}
	up.downPause = 0
	if !straggler.Convicted(took, max(up.expected, co.figures.median)) {
		up.ramp.Served()
	}
}

// drainTime is how long a rate takes for a number of requests; zero when no
// rate is known.
func drainTime(count int, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(count) / rate * float64(time.Second))
}

// rateOf is what serves a queue, in requests a second; zero when unknown.
func (co *Core[P]) rateOf(qu *queue) float64 {
	if qu == &co.common {
		return co.figures.rate
	}
	for _, up := range co.order {
		if qu == &up.queue && up.turnover > 0 {
			return float64(up.places()) * float64(time.Second) / float64(up.turnover)
		}
	}
	return 0
}

// report hears an upstream's own word.
func (co *Core[P]) report(now clock.Instant, mg ReportMsg) {
	if up := co.upstream[mg.Upstream]; up != nil {
		up.reported, up.reportedAt = mg.Busy, now
	}
}
