package httpserver

import "slices"

// unsettledResponse is a response that may still break off. It does not hold its request: a
// connection keeps it until the next request comes.
type unsettledResponse struct {
	// host and uri are those of the request.
	host, uri string
	// settled is closed once the response can no longer break off.
	settled <-chan struct{}
}

// MayBreakOff makes requests wait that follow, on their connection, one of which test says that
// its response may break off: until the whole response was read by the server or written. A
// response that breaks off ends the connection, and none of those behind it has been handled then.
// test gets the host and the URI of a request. It may be called at any time.
func MayBreakOff(test func(host, uri string) bool) Option {
	return func(sv *Server) { sv.mayBreakOff = test }
}

// follow makes a request wait for the last one before it whose response may still break off. That
// one waits for those before it. Only the goroutine that reads requests calls it.
func (cn *connection) follow(pr *pendingRequest) {
	if cn.server.mayBreakOff == nil {
		return
	}
	cn.unsettled = slices.DeleteFunc(cn.unsettled, unsettledResponse.isSettled)
	for _, earlier := range slices.Backward(cn.unsettled) {
		if cn.server.mayBreakOff(earlier.host, earlier.uri) {
			pr.turn = earlier.settled
			break
		}
	}
	cn.unsettled = append(cn.unsettled, unsettledResponse{pr.request.Host, pr.request.URI, pr.settled})
}

func (ur unsettledResponse) isSettled() bool {
	select {
	case <-ur.settled:
		return true
	default:
		return false
	}
}

// awaitSettled waits until a request may be handled. It returns false if the connection ends first.
// If the server ends first, the request is late.
func (cn *connection) awaitSettled(pr *pendingRequest) bool {
	if pr.turn == nil {
		return true
	}
	select {
	case <-pr.turn:
		return true
	case <-cn.requests.Done():
		pr.request.Late = IsEnding(cn.requests)
		return pr.request.Late
	}
}
