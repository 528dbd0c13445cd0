package httpserver

import (
	"errors"
	"net"
)

// EndCause says why a connection ended before its requests were answered.
type EndCause string

// The causes. A request behind one whose response could not be written has the same cause.
const (
	// CallerLeft means that the caller's side ended the connection.
	CallerLeft EndCause = "callerLeft"
	// IdleTimedOut means that no request came for too long; none should be in flight then.
	IdleTimedOut EndCause = "idleTimedOut"
	// NoResponse means that the handler returned none, ResponseBrokeOff that a response's Rest
	// ended with an error, WriteFailed that the caller did not take a response.
	NoResponse       EndCause = "noResponse"
	ResponseBrokeOff EndCause = "responseBrokeOff"
	WriteFailed      EndCause = "writeFailed"
	// ServerClosed means that the server was closed.
	ServerClosed EndCause = "serverClosed"
)

// Unanswered describes a request that was read whole and whose response the caller did not get
// whole.
type Unanswered struct {
	Request *Request
	// Begun reports whether a part of the response was written.
	Begun bool
	// Handled reports whether the handler was called. The others waited for a response before them.
	Handled bool
	Cause   EndCause
	// Err may be nil.
	Err error
}

// OnUnanswered makes the server call report for each request that it leaves without a whole
// response.
func OnUnanswered(report func(Unanswered)) Option {
	return func(sv *Server) { sv.onUnanswered = report }
}

// noteEnd records why the connection ends, unless that is known.
func (cn *connection) noteEnd(cause EndCause, err error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.noteEndLocked(cause, err)
}

// noteEndLocked is noteEnd with the mutex held.
func (cn *connection) noteEndLocked(cause EndCause, err error) {
	if cn.end == "" {
		cn.end, cn.endErr = cause, err
	}
}

// noteReadEnd records that reading has ended with an error.
func (cn *connection) noteReadEnd(err error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.noteReadEndLocked(err)
}

// noteReadEndLocked is noteReadEnd with the mutex held.
func (cn *connection) noteReadEndLocked(err error) {
	switch {
	case errors.Is(err, net.ErrClosed):
		cn.noteEndLocked(ServerClosed, err)
	case isTimeout(err):
		cn.noteEndLocked(IdleTimedOut, err)
	default:
		cn.noteEndLocked(CallerLeft, err)
	}
}

// reportUnanswered reports a request that gets no whole response.
func (cn *connection) reportUnanswered(pr *pendingRequest) {
	if cn.server.onUnanswered == nil || pr.request == nil {
		return
	}
	cn.mu.Lock()
	un := Unanswered{Request: pr.request, Begun: pr.begun, Handled: pr.handled.Load(), Cause: cn.end, Err: cn.endErr}
	cn.mu.Unlock()
	cn.server.onUnanswered(un)
}
