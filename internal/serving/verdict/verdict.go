// Package verdict says of a failed request whether an upstream may have run it.
//
//	hd.Set("Chervilwalk-Verdict", verdict.NotRun.String())
package verdict

// Verdict tells what is known of a request's execution.
type Verdict int

const (
	// MayHaveRun means that nothing proves the request was not run.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not run and never will be.
	NotRun
	// Ran means that an upstream answered the request.
	Ran
)

// String is the form used in header fields and logs.
func (vd Verdict) String() string {
	return [...]string{"may-have-run", "not-run", "ran"}[vd]
}
