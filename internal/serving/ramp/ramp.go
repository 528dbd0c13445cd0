// Package ramp bounds how many requests an upstream that turned cold serves at
// a time, and raises the bound as it proves to serve.
//
//	rm := ramp.New(1, 2) // one at a time at first, two when warm
//	rm.Served()
//	limit := rm.Limit()
package ramp

// servedPerStep is how many requests must be served well at a limit, for each
// request of it, before it rises by one.
const servedPerStep = 4

// Ramp is the bound of one upstream.
type Ramp struct {
	cold   int
	slots  int
	limit  int
	served int
}

// New makes the ramp of an upstream that has just started.
func New(cold, slots int) Ramp {
	rm := Ramp{}
	rm.Resize(cold, slots)
	rm.Cool()
	return rm
}

// Resize takes new bounds; a limit above them falls at once.
func (rm *Ramp) Resize(cold, slots int) {
	rm.slots = slots
	rm.cold = max(1, min(cold, slots))
	rm.limit = min(rm.limit, slots)
}

// Limit returns how many requests may be in service at a time.
func (rm *Ramp) Limit() int {
	return rm.limit
}

// Warm tells whether the upstream bears all its slots.
func (rm *Ramp) Warm() bool {
	return rm.limit >= rm.slots
}

// Cool starts again from the cold limit.
func (rm *Ramp) Cool() {
	rm.limit = rm.cold
	rm.served = 0
}

// Served counts a request that was served in a usual time.
func (rm *Ramp) Served() {
	if rm.Warm() {
		return
	}
	rm.served++
	if rm.served >= servedPerStep*rm.limit {
		rm.limit++
		rm.served = 0
	}
}
