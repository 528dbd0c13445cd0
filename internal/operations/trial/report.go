package trial

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/verdict"
)

// Counts are the figures of a trial. Runs, owners and violations come from what
// the upstreams recorded, all else from what the callers got.
type Counts struct {
	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refusedNotRun"`
	// MayHaveRun counts all requests in doubt, VisibleCuts those among them
	// whose caller saw its answer break off.
	MayHaveRun       int     `json:"mayHaveRun"`
	VisibleCuts      int     `json:"visibleCuts"`
	DoubleRuns       int     `json:"doubleRuns"`
	FalseNotRun      int     `json:"falseNotRun"`
	FalseRan         int     `json:"falseRan"`
	WrongAnswers     int     `json:"wrongAnswers"`
	TruncatedAnswers int     `json:"truncatedAnswers"`
	DoubleOwners     int     `json:"doubleOwners"`
	NewWorkAfterOut  int     `json:"newWorkAfterOut"`
	ColdViolations   int     `json:"coldViolations"`
	SlotViolations   int     `json:"slotViolations"`
	RecordsDropped   int     `json:"recordsDropped"`
	UnservedMsMax    int64   `json:"unservedMsMax"`
	P50Ms            float64 `json:"p50Ms"`
	P99Ms            float64 `json:"p99Ms"`
}

// add counts one caller's outcome; runs is how often its request ran.
func (ct *Counts) add(oc outcome, runs int) {
	ct.Requests++
	switch oc.verdict {
	case verdict.Ran:
		ct.Answered++
		if runs == 0 {
			ct.FalseRan++
		}
	case verdict.NotRun:
		ct.RefusedNotRun++
		if runs > 0 {
			ct.FalseNotRun++
		}
	default:
		ct.MayHaveRun++
	}
	ct.VisibleCuts += countOf(oc.cut)
	ct.WrongAnswers += countOf(oc.wrong)
	ct.TruncatedAnswers += countOf(oc.truncated)
}

func countOf(is bool) int {
	if is {
		return 1
	}
	return 0
}

// Broken tells whether a promise was broken, or could not be judged because
// the upstreams' records are not whole.
func (ct *Counts) Broken() bool {
	return ct.DoubleRuns+ct.FalseNotRun+ct.FalseRan+ct.WrongAnswers+ct.TruncatedAnswers+
		ct.DoubleOwners+ct.NewWorkAfterOut+ct.ColdViolations+ct.RecordsDropped > 0
}

// Sum adds the counts of several fleets; a time is the worst of them.
func Sum(fleets []Counts) Counts {
	var sum Counts
	for _, ct := range fleets {
		sum.Requests += ct.Requests
		sum.Answered += ct.Answered
		sum.RefusedNotRun += ct.RefusedNotRun
		sum.MayHaveRun += ct.MayHaveRun
		sum.VisibleCuts += ct.VisibleCuts
		sum.DoubleRuns += ct.DoubleRuns
		sum.FalseNotRun += ct.FalseNotRun
		sum.FalseRan += ct.FalseRan
		sum.WrongAnswers += ct.WrongAnswers
		sum.TruncatedAnswers += ct.TruncatedAnswers
		sum.DoubleOwners += ct.DoubleOwners
		sum.NewWorkAfterOut += ct.NewWorkAfterOut
		sum.ColdViolations += ct.ColdViolations
		sum.SlotViolations += ct.SlotViolations
		sum.RecordsDropped += ct.RecordsDropped
		sum.UnservedMsMax = max(sum.UnservedMsMax, ct.UnservedMsMax)
		sum.P50Ms = max(sum.P50Ms, ct.P50Ms)
		sum.P99Ms = max(sum.P99Ms, ct.P99Ms)
	}
	return sum
}

// Lines are the rows of a readable table, name and value split by a tab.
func (ct *Counts) Lines() []string {
	return []string{
		fmt.Sprintf("requests\t%d", ct.Requests),
		fmt.Sprintf("answered\t%d", ct.Answered),
		fmt.Sprintf("refused, not run\t%d", ct.RefusedNotRun),
		fmt.Sprintf("may have run\t%d", ct.MayHaveRun),
		fmt.Sprintf("  of these cut before the caller's eyes\t%d", ct.VisibleCuts),
		fmt.Sprintf("double runs\t%d", ct.DoubleRuns),
		fmt.Sprintf("false \"not run\"\t%d", ct.FalseNotRun),
		fmt.Sprintf("false \"ran\"\t%d", ct.FalseRan),
		fmt.Sprintf("wrong answers\t%d", ct.WrongAnswers),
		fmt.Sprintf("truncated answers that looked whole\t%d", ct.TruncatedAnswers),
		fmt.Sprintf("double owners\t%d", ct.DoubleOwners),
		fmt.Sprintf("new work after out\t%d", ct.NewWorkAfterOut),
		fmt.Sprintf("beyond a cold limit\t%d", ct.ColdViolations),
		fmt.Sprintf("beyond an upstream's slots, shed\t%d", ct.SlotViolations),
		fmt.Sprintf("longest time without answer for a key, ms\t%d", ct.UnservedMsMax),
		fmt.Sprintf("p50 ms\t%.1f", ct.P50Ms),
		fmt.Sprintf("p99 ms\t%.1f", ct.P99Ms),
	}
}

// Failure is a reason for which requests were not answered.
type Failure struct {
	Reason  string
	Service ident.Service
	Count   int
	// First and Last are when the first and the last of them ended, counted
	// from the load's start.
	First time.Duration
	Last  time.Duration
}

// String is the line of a report.
func (fa Failure) String() string {
	return fmt.Sprintf("%d × %s: %s (%.1f s to %.1f s)", fa.Count, fa.Service, fa.Reason, fa.First.Seconds(), fa.Last.Seconds())
}

// Failures lists why requests were not answered, in the order of the first.
func (ld *Load) Failures() []Failure {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	var list []Failure
	for _, oc := range slices.Concat(ld.outcomes, ld.probes) {
		if oc.reason != "" {
			list = addFailure(list, oc, oc.ended.Sub(ld.begun))
		}
	}
	slices.SortFunc(list, func(left, right Failure) int { return cmp.Compare(left.First, right.First) })
	return list
}

func addFailure(list []Failure, oc outcome, at time.Duration) []Failure {
	reason := oc.verdict.String() + ": " + oc.reason
	ix := slices.IndexFunc(list, func(fa Failure) bool { return fa.Reason == reason && fa.Service == oc.service })
	if ix < 0 {
		return append(list, Failure{Reason: reason, Service: oc.service, Count: 1, First: at, Last: at})
	}
	list[ix].Count++
	list[ix].First = min(list[ix].First, at)
	list[ix].Last = max(list[ix].Last, at)
	return list
}
