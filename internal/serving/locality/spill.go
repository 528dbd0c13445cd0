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
	// guestReserve is the fraction of a domain's slots that is kept for its own callers,
	// busyGuestReserve that of a domain which lately had to send requests away. The difference
	// keeps two domains from sending each other their load.
	guestReserve     = 1.0 / 16
	busyGuestReserve = 1.0 / 8
	// recent is how long a domain counts as one that sends requests away, or whose callers ask.
	recent = time.Second
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

// placeState says when a place was last short of room, and when its domain's callers last asked.
type placeState struct{ sentAwayAt, askedAt clock.Instant }

// Spill decides how much load a domain takes from others. It is not safe for concurrent use.
type Spill struct{ places map[Place]placeState }

// NewSpill returns a Spill that has seen no requests.
func NewSpill() *Spill { return &Spill{places: map[Place]placeState{}} }

// Asked reports a request of a caller in the place's own domain.
func (sp *Spill) Asked(now clock.Instant, pl Place) {
	st := sp.places[pl]
	st.askedAt = now
	sp.set(pl, st)
}

// SentAway reports that a request of the place's own domain left it, since it had no room.
func (sp *Spill) SentAway(now clock.Instant, pl Place) {
	st := sp.places[pl]
	st.sentAwayAt = now
	sp.set(pl, st)
}

func (sp *Spill) set(pl Place, st placeState) {
	if len(sp.places) >= maxPlaces {
		clear(sp.places)
	}
	sp.places[pl] = st
}

// GuestRoom returns how many more requests of other domains a place takes. What it keeps for its
// own callers is kept only while there are some.
func (sp *Spill) GuestRoom(now clock.Instant, pl Place, rm Room) int {
	st := sp.places[pl]
	reserve := 0.0
	switch {
	case st.askedAt == 0 || now.Sub(st.askedAt) >= recent:
	case st.sentAwayAt > 0 && now.Sub(st.sentAwayAt) < recent:
		reserve = busyGuestReserve
	default:
		reserve = guestReserve
	}
	return max(rm.Free-int(reserve*float64(rm.Slots)), 0)
}
