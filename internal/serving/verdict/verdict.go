// Package verdict states whether an upstream may have run a failed request.
//
//	hd.Set("Chervilwalk-Verdict", verdict.NotRun.String())
package verdict

// Verdict is what is known about a request's execution.
type Verdict int

const (
	// MayHaveRun means that there is no proof that the request was not run.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not run and never will be.
	NotRun
	// Ran means that an upstream answered the request.
	Ran
)

// String returns the form used in header fields and logs.
func (vd Verdict) String() string {
	return [...]string{"may-have-run", "not-run", "ran"}[vd]
}
