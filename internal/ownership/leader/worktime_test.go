package leader

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/peer/protocol"
)

// TestExpectedWorkTime guards against a slow upstream that gets as many keys as the others
// until it has answered late many times, against one that loses keys for a short disturbance,
// and against one that lies and keeps what it can't answer.
func TestExpectedWorkTime(t *testing.T) {
	const usual, interval = 300 * time.Millisecond, 400 * time.Millisecond
	type report struct {
		percent int
		took    time.Duration
	}
	repeat := func(rp report, count int) []report {
		var reports []report
		for range count {
			reports = append(reports, rp)
		}
		return reports
	}
	slowed := append(repeat(report{100, usual}, 20), repeat(report{500, 5 * usual}, 8)...)
	for name, tc := range map[string]struct {
		reports []report
		// want is the expected time in usual ones.
		want float64
	}{
		"slow, first answer":     {repeat(report{140, 14 * usual / 10}, 1), 1.4},
		"fast, first answer":     {repeat(report{60, 6 * usual / 10}, 1), 0.6},
		"tells nothing":          {repeat(report{0, 2 * usual}, 30), 2},
		"disturbed for a moment": {append(repeat(report{100, usual}, 20), report{300, usual}), 1},
		"slow from now on":       {slowed, 5},
		"slow no longer":         {append(slowed, repeat(report{100, usual}, 20)...), 1},
		"claims to be fast":      {repeat(report{20, usual}, 60), 1},
	} {
		t.Run(name, func(t *testing.T) {
			now := clock.Instant(time.Hour)
			wt := workTime{service: newWorkTimes()}
			wt.service.usual, wt.service.answers = usual, 5000
			for _, rp := range tc.reports {
				now = now.Add(interval)
				wt.update(now, protocol.UpstreamLoad{Answers: 1, WorkTime: rp.took, LatencyPercent: rp.percent})
			}
			NewWithT(t).Expect(wt.median().Seconds() / usual.Seconds()).To(BeNumerically("~", tc.want, 0.25*tc.want))
		})
	}
}
