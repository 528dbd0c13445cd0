package trial

import "fmt"

// Sum adds the counts of several fleets; a latency is the worst of them.
func Sum(fleets []Counts) Counts {
	var sum Counts
	for _, ct := range fleets {
		sum.Requests += ct.Requests
		sum.Answered += ct.Answered
		sum.RefusedNotRun += ct.RefusedNotRun
		sum.MayHaveRun += ct.MayHaveRun
		sum.DoubleRuns += ct.DoubleRuns
		sum.FalseNotRun += ct.FalseNotRun
		sum.WrongAnswers += ct.WrongAnswers
		sum.TruncatedAnswers += ct.TruncatedAnswers
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
		fmt.Sprintf("double runs\t%d", ct.DoubleRuns),
		fmt.Sprintf("false \"not run\"\t%d", ct.FalseNotRun),
		fmt.Sprintf("wrong answers\t%d", ct.WrongAnswers),
		fmt.Sprintf("truncated answers\t%d", ct.TruncatedAnswers),
		fmt.Sprintf("p50 ms\t%.1f", ct.P50Ms),
		fmt.Sprintf("p99 ms\t%.1f", ct.P99Ms),
	}
}
