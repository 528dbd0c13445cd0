package comparison

import (
	"time"

	"chervilwalk/internal/fleet/clock"
)

// Scenario is what happens to the upstreams during a run.
type Scenario struct {
	Name string
	// load replaces the configured one unless it is zero.
	load float64
	// start plans the events; end is when the last request arrives.
	start func(fl *fleet, end clock.Instant)
}

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", start: func(*fleet, clock.Instant) {}},
		{Name: "slowed", start: slowSome},
		{Name: "coldStart", start: restartHalf},
		{Name: "domainOut", start: takeDomainOut},
		{Name: "overload", load: overload, start: func(*fleet, clock.Instant) {}},
	}
}

// part is an instant at a share of the run.
func part(end clock.Instant, share float64) clock.Instant {
	return clock.Instant(float64(end) * share)
}

// slowSome slows the first targets from a fifth of the run to its end.
func slowSome(fl *fleet, end clock.Instant) {
	fl.line.At(part(end, 0.2), func() {
		for _, tg := range fl.targets[:min(fl.config.Slow, len(fl.targets))] {
			tg.factor = fl.config.Slowdown
		}
	})
}

// restartHalf restarts every second target, unannounced.
func restartHalf(fl *fleet, end clock.Instant) {
	fl.line.At(part(end, 0.2), func() {
		for ix := 0; ix < len(fl.targets); ix += 2 {
			fl.targets[ix].restart()
		}
	})
}

// takeDomainOut takes the first domain out of the bundle, and brings it back
// with cold upstreams.
func takeDomainOut(fl *fleet, end clock.Instant) {
	fl.line.At(part(end, 0.2), func() { fl.setOut(true) })
	fl.line.At(part(end, 0.5), func() {
		for _, tg := range fl.targets {
			if tg.domain == 0 {
				tg.restart()
			}
		}
		fl.renew()
		fl.setOut(false)
	})
}

// every repeats a step until the end of the run.
func (fl *fleet) every(dr time.Duration, step func()) {
	fl.line.After(dr, func() {
		step()
		if fl.line.Now() < fl.end {
			fl.every(dr, step)
		}
	})
}
