// Package verdict says of a failed request whether an upstream may have run it.
//
//	if verdict.Of(err) == verdict.NotRun { /* safe to send again */ }
package verdict

import (
	"errors"
	"net/http"
	"time"
)

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

// String is the form used in headers, logs and dumps.
func (vd Verdict) String() string {
	switch vd {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Refusal is how an upstream proved that it did not run a request.
type Refusal int

const (
	// NoRefusal means that the upstream was not asked.
	NoRefusal Refusal = iota
	// Shed means that the upstream had no room.
	Shed
	// StaleToken means that the upstream saw a newer grant.
	StaleToken
	// Cancelled means that the request's cancellation came before it.
	Cancelled
	// Unreachable means that the connection was refused.
	Unreachable
)

// Error is a request's failure with its verdict.
type Error struct {
	Verdict Verdict
	// Status is the HTTP status for the caller.
	Status int
	// Reason is one line for the caller; it holds no internals.
	Reason string
	// RetryAfter tells the caller when to ask again; zero when it should not.
	RetryAfter time.Duration
	// Wait is the estimated wait for which a full pool sent away a request that
	// another pool may take; zero for all other errors.
	Wait time.Duration
	// Refusal tells how the verdict NotRun was proved, if by an upstream.
	Refusal Refusal
}

// Error gives the reason with the verdict.
func (er *Error) Error() string {
	return er.Reason + " (" + er.Verdict.String() + ")"
}

// Refuse builds the error of a request that was not run.
func Refuse(status int, reason string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Status: status, Reason: reason, RetryAfter: retryAfter}
}

// Misdirect builds the error of a request that was not run because whoever got
// it does not serve its pool. It may be sent again to the one who does.
func Misdirect(reason string) *Error {
	return Refuse(http.StatusMisdirectedRequest, reason, misdirectedAgain)
}

// misdirectedAgain is when a caller may ask again while a pool changes hands.
const misdirectedAgain = time.Second

// Misdirected tells whether an error proves that a request was not run and only
// came to the wrong place.
func Misdirected(err error) bool {
	var er *Error
	return errors.As(err, &er) && er.Verdict == NotRun && er.Status == http.StatusMisdirectedRequest
}

// Doubt builds the error of a request that may have run.
func Doubt(status int, reason string) *Error {
	return &Error{Verdict: MayHaveRun, Status: status, Reason: reason}
}

// Of returns the verdict that an error carries; an error without one proves
// nothing and so may have run.
func Of(err error) Verdict {
	var er *Error
	if errors.As(err, &er) {
		return er.Verdict
	}
	return MayHaveRun
}

// From returns the verdict error in err's chain; an error without one becomes
// one that says "may have run".
func From(err error) *Error {
	var er *Error
	if errors.As(err, &er) {
		return er
	}
	return Doubt(http.StatusBadGateway, "the request failed inside the router")
}
