package locality

import (
	"math/bits"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
)

const (
	// minLeaveCost is what leaving a domain costs at least: between two equal upstreams, the one
	// in the caller's own domain is chosen.
	minLeaveCost = 10 * time.Millisecond
	// latencyMargin is the factor on the expected latency that a request keeps for itself. What
	// is left until its objective is its slack.
	latencyMargin = 1.5
	// maxStay is how long a request waits at most for a slot in its own domain.
	maxStay = 120 * time.Millisecond
	// downloadLeaveCost is that of an answer of any length.
	downloadLeaveCost = 400 * time.Millisecond
	// maxSizeClass is the class of a gigabyte.
	maxSizeClass SizeClass = 20
	// wholeShareClass is the class, of 4 KB and more, from which on a request uses maxSlackShare of
	// its slack to stay. Each class below uses one part less.
	wholeShareClass SizeClass = 3
	maxSlackShare             = 0.5
	// slotsPerReserved is for how many slots a domain that had to send requests away keeps one
	// for its own callers, until reserveTTL after the last. What is freed while it has no more
	// than it keeps goes to them, so that two full domains do not send each other their load.
	slotsPerReserved = 16
	reserveTTL       = time.Second
	// maxPlaces bounds the state, whatever services and pools asks name.
	maxPlaces = 4096
)

// SizeClass is the size of a request and its answer in powers of two: 0 is below 1 KB, 1 below
// 2 KB. Hosts of builds that do not know it send 0.
type SizeClass uint8

// ClassOf returns the class of a number of bytes.
func ClassOf(count int64) SizeClass {
	return min(SizeClass(bits.Len64(uint64(max(count, 0))>>10)), maxSizeClass)
}

// Request is what the choice between domains depends on.
type Request struct {
	Size SizeClass
	// Download means that the answer may be of any length.
	Download  bool
	ArrivedAt clock.Instant
	Objective clock.Instant
	// Latency is how long an answer is expected to take.
	Latency time.Duration
}

// slack returns how much later than expected an answer may be and still meet its objective.
func (rq Request) slack(now clock.Instant) time.Duration {
	return max(rq.Objective.Sub(now)-time.Duration(latencyMargin*float64(rq.Latency)), 0)
}

// slackShare returns the share of its slack that a request may use to stay: the more bytes would
// cross, the more.
func (rq Request) slackShare() float64 {
	return maxSlackShare * float64(min(rq.Size, wholeShareClass)+1) / float64(wholeShareClass+1)
}

// LeaveCost returns by how much faster an upstream in another domain must be expected to answer.
// It shrinks while the request waits: a request in danger goes wherever it is served.
func (rq Request) LeaveCost(now clock.Instant) time.Duration {
	cost := minLeaveCost + time.Duration(rq.slackShare()*float64(rq.slack(now)))
	if rq.Download {
		return max(cost, downloadLeaveCost)
	}
	return cost
}

// StayUntil returns until when a request waits for a slot in its own domain if others have some.
func (rq Request) StayUntil() clock.Instant {
	if rq.Download {
		return rq.ArrivedAt.Add(maxStay)
	}
	return rq.ArrivedAt.Add(min(time.Duration(rq.slackShare()*float64(rq.slack(rq.ArrivedAt)))/2, maxStay))
}

// Room is that of the upstreams of one pool in one domain: those that take requests.
type Room struct{ Free, Slots int }

// Place is a pool's part in a domain.
type Place struct {
	Service     ident.Service
	Pool, Pools int
	Domain      ident.Domain
}

// Spill decides how much load a domain takes from others. It is not safe for concurrent use.
type Spill struct {
	// sentAwayAt is when a request of a place's own domain last left it for lack of room.
	sentAwayAt map[Place]clock.Instant
}

// NewSpill returns a Spill that has seen no requests.
func NewSpill() *Spill { return &Spill{sentAwayAt: map[Place]clock.Instant{}} }

// SentAway reports that a request of the place's own domain left it, since it had no room.
func (sp *Spill) SentAway(now clock.Instant, pl Place) {
	if len(sp.sentAwayAt) >= maxPlaces {
		clear(sp.sentAwayAt)
	}
	sp.sentAwayAt[pl] = now
}

// GuestRoom returns how many more requests of other domains a place takes.
func (sp *Spill) GuestRoom(now clock.Instant, pl Place, rm Room) int {
	at, known := sp.sentAwayAt[pl]
	if !known || now.Sub(at) >= reserveTTL {
		return rm.Free
	}
	return max(rm.Free-(rm.Slots+slotsPerReserved-1)/slotsPerReserved, 0)
}
