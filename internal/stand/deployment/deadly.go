package deployment

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// deadlyInterval is the time between two repeats of a deadly request.
	deadlyInterval = 80 * time.Millisecond
	// CrashesAllowed is how many upstreams a request may crash, and how often it may reach
	// upstreams later than ContactTime after that.
	CrashesAllowed = 3
	// ContactTime is the time in which all hosts that nothing disturbs hear of a change.
	ContactTime = 3 * time.Second
)

// Deadly returns a request that crashes the upstreams of a service that run it.
func Deadly(name, service string) Repeated {
	rp := Repeated{Name: name, Method: http.MethodGet, Path: "/" + service + "/" + name + DeadlySuffix, Interval: deadlyInterval}
	if service == OrderService {
		rp.Method = http.MethodPost
	}
	return rp
}

// DeadlyRuns holds what upstreams ran of the repeats of one deadly request.
type DeadlyRuns struct {
	// Crashes counts the upstreams that it crashed, Late the repeats that reached upstreams later
	// than ContactTime after the last of the first CrashesAllowed crashes.
	Crashes, Late int
}

// Broken reports whether the request reached upstreams too often.
func (dr DeadlyRuns) Broken() bool { return dr.Late > CrashesAllowed }

// DeadlyRuns returns what upstreams ran of each request that crashed one, by its name.
func (dp *Deployment) DeadlyRuns() map[string]DeadlyRuns {
	crashes, runs := map[string][]time.Time{}, map[string][]time.Time{}
	for _, up := range dp.allUpstreams() {
		for _, run := range up.Runs() {
			name := run.CallerRequest[:max(strings.LastIndex(run.CallerRequest, "-"), 0)]
			runs[name] = append(runs[name], run.At)
			if run.Crashed {
				crashes[name] = append(crashes[name], run.At)
			}
		}
	}
	all := map[string]DeadlyRuns{}
	for name, times := range crashes {
		dr := DeadlyRuns{Crashes: len(times)}
		slices.SortFunc(times, time.Time.Compare)
		for _, at := range runs[name] {
			if len(times) >= CrashesAllowed && at.After(times[CrashesAllowed-1].Add(ContactTime)) {
				dr.Late++
			}
		}
		all[name] = dr
	}
	return all
}

// countDeadlyViolations counts the deadly requests that reached upstreams too often.
func (dp *Deployment) countDeadlyViolations() int {
	count := 0
	for _, dr := range dp.DeadlyRuns() {
		if dr.Broken() {
			count++
		}
	}
	return count
}
