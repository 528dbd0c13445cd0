package admission

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/serving/verdict"
)

// Caller names who sent a request, for the shares of the queue.
type Caller string

// Request is what admission knows of a request.
type Request struct {
	ID         ident.Request
	Caller     Caller
	Keyed      bool
	Slice      ident.Slice
	Idempotent bool
	// Elsewhere means that another pool may take the request: it is refused
	// when the wait here would be longer than the way there is worth. A keyed
	// request has no other pool.
	Elsewhere bool
	Deadline  clock.Instant
}

// Msg is something that happened.
type Msg interface{ isMsg() }

// ArriveMsg brings a new request.
type ArriveMsg struct{ Request Request }

// HeadMsg says that the head of an upstream's answer has come.
type HeadMsg struct {
	ID       ident.Request
	Upstream ident.Upstream
	// At is the time of the first byte; zero means now.
	At clock.Instant
}

// DoneMsg says that a dispatch has ended. Its slot is free if the request was
// answered whole or refused; otherwise a CancelledMsg must confirm it.
type DoneMsg struct {
	ID       ident.Request
	Upstream ident.Upstream
	Verdict  verdict.Verdict
	Refusal  verdict.Refusal
	// FirstByte and End are the times of the answer; zero means now.
	FirstByte clock.Instant
	End       clock.Instant
}

// CancelledMsg is an upstream's word that a cancelled request holds no slot.
type CancelledMsg struct {
	ID       ident.Request
	Upstream ident.Upstream
}

// CancelMsg says that a request's caller has gone.
type CancelMsg struct{ ID ident.Request }

// BarMsg forbids a request's dispatch if it is still queued.
type BarMsg struct{ ID ident.Request }

// ViewMsg brings what may be dispatched.
type ViewMsg struct{ View authority.View }

// PoolMsg replaces the pool's upstreams and limits.
type PoolMsg struct{ Pool bundle.Pool }

// ReportMsg is an upstream's own word on its load; it may be old or wrong.
type ReportMsg struct {
	Upstream ident.Upstream
	Busy     int
}

// ProbedMsg answers a ProbeCmd.
type ProbedMsg struct {
	Upstream ident.Upstream
	Alive    bool
	Took     time.Duration
}

// TickMsg says that time has passed.
type TickMsg struct{}

func (ArriveMsg) isMsg()    {}
func (HeadMsg) isMsg()      {}
func (DoneMsg) isMsg()      {}
func (CancelledMsg) isMsg() {}
func (CancelMsg) isMsg()    {}
func (BarMsg) isMsg()       {}
func (ViewMsg) isMsg()      {}
func (PoolMsg) isMsg()      {}
func (ReportMsg) isMsg()    {}
func (ProbedMsg) isMsg()    {}
func (TickMsg) isMsg()      {}

// Cmd is something to do.
type Cmd interface{ isCmd() }

// DispatchCmd sends a request to an upstream. Its results are an optional
// HeadMsg and one DoneMsg.
type DispatchCmd struct {
	ID       ident.Request
	Upstream ident.Upstream
	// Attempt numbers the request's dispatches from 1.
	Attempt  int
	Token    grant.Token
	Deadline clock.Instant
	// StartBy is the end of the grant: the upstream must not start later.
	StartBy clock.Instant
}

// CancelCmd asks an upstream to give a request up; CancelledMsg answers it. The
// answer also means that the request will not run there if it comes later, so
// the same request is never sent there again.
type CancelCmd struct {
	ID       ident.Request
	Upstream ident.Upstream
}

// AnswerCmd makes one upstream's answer the request's. It is an outcome.
type AnswerCmd struct {
	ID       ident.Request
	Upstream ident.Upstream
}

// RefuseCmd ends a request that was not run. It is an outcome.
type RefuseCmd struct {
	ID  ident.Request
	Err *verdict.Error
}

// FailCmd ends a request that may have run. It is an outcome.
type FailCmd struct {
	ID  ident.Request
	Err *verdict.Error
}

// BarredCmd answers a BarMsg.
type BarredCmd struct {
	ID ident.Request
	// Barred is true when the request was never dispatched and never will be.
	Barred bool
}

// ProbeCmd asks an upstream for a sign of life; it takes one of its slots.
type ProbeCmd struct{ Upstream ident.Upstream }

func (DispatchCmd) isCmd() {}
func (CancelCmd) isCmd()   {}
func (AnswerCmd) isCmd()   {}
func (RefuseCmd) isCmd()   {}
func (FailCmd) isCmd()     {}
func (BarredCmd) isCmd()   {}
func (ProbeCmd) isCmd()    {}
