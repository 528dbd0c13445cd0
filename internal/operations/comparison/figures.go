package comparison

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilwalk/internal/fleet/clock"
)

// figures sums the calls up.
func (fl *fleet) figures() Figures {
	hg := hdrhistogram.New(1, (2 * patience).Microseconds(), 3)
	var fg Figures
	for _, cl := range fl.calls {
		fg.add(cl)
		_ = hg.RecordValue(cl.latency().Microseconds())
	}
	for _, tg := range fl.targets {
		fg.SlotViolations += tg.violations
		fg.EarlySheds += tg.early
	}
	count := float64(len(fl.calls))
	fg.P50Ms = millis(hg, 50)
	fg.P99Ms = millis(hg, 99)
	fg.P999Ms = millis(hg, 99.9)
	fg.Goodput = fl.goodput()
	fg.ExtraLoad /= count
	fg.Refused /= count
	fg.Failed /= count
	return fg
}

// add counts one call.
func (fg *Figures) add(cl *call) {
	fg.ExtraLoad += float64(max(0, cl.runs-1))
	if cl.runs > 1 && !cl.idempotent {
		fg.DoubleRuns++
	}
	switch {
	case cl.inTime():
	case cl.notRun:
		fg.Refused++
		if cl.runs > 0 {
			fg.FalseNotRun++
		}
	default:
		fg.Failed++
	}
}

func (cl *call) inTime() bool {
	return cl.answered && cl.took <= patience
}

// latency is the time to the answer; without one it is the deadline.
func (cl *call) latency() time.Duration {
	if cl.inTime() {
		return cl.took
	}
	return patience
}

// goodput is the rate of answers in time over the capacity, from the time when
// the queues are full in an overload to the last arrival.
func (fl *fleet) goodput() float64 {
	last := fl.calls[len(fl.calls)-1].at
	first := min(clock.Instant(2*patience), last/2)
	count := 0
	for _, cl := range fl.calls {
		got := cl.at.Add(cl.took)
		if cl.inTime() && first <= got && got < last {
			count++
		}
	}
	return float64(count) / last.Sub(first).Seconds() / capacity(fl.config, fl.service)
}

func millis(hg *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(hg.ValueAtQuantile(quantile)) / 1000
}
