package proxy

import (
	"sync"

	"chervilwalk/internal/serving/locality"
	"chervilwalk/internal/serving/transport"
)

// answerSizeWeight is the weight of the newest answer in a route's mean size.
const answerSizeWeight = 0.1

// answerSizes remembers the mean size of the answers on each route, of which holders are told
// before there is one.
type answerSizes struct {
	mu     *sync.Mutex
	routes map[string]float64
}

func newAnswerSizes() answerSizes {
	return answerSizes{mu: &sync.Mutex{}, routes: map[string]float64{}}
}

// note adds an answer on a route.
func (as *answerSizes) note(route string, size int64) {
	as.mu.Lock()
	defer as.mu.Unlock()
	mean, known := as.routes[route]
	if !known {
		if len(as.routes) >= maxRoutes {
			clear(as.routes)
		}
		mean = float64(size)
	}
	as.routes[route] = mean + answerSizeWeight*(float64(size)-mean)
}

// mean returns the mean size of a route's answers, 0 before the first.
func (as *answerSizes) mean(route string) int64 {
	as.mu.Lock()
	defer as.mu.Unlock()
	return int64(as.routes[route])
}

// requestBytes returns the size of the request's body, as far as it is known.
func (ex *exchange) requestBytes() int64 { return max(ex.rq.Length, int64(len(ex.rq.Body))) }

// sizeClass returns the class of what the request and its answer take on their way.
func (ex *exchange) sizeClass() uint8 {
	return uint8(locality.ClassOf(ex.requestBytes() + ex.px.sizes.mean(ex.route.Name)))
}

// noteSize notes the size of an answer that is passed on.
func (ex *exchange) noteSize(an *transport.Answer) {
	ex.end.RequestBytes, ex.end.AnswerBytes = ex.requestBytes(), max(an.Length, int64(len(an.Body)))
	ex.px.sizes.note(ex.route.Name, ex.end.AnswerBytes)
}
