package balance

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/keyspace"
)

const (
	// recentTime is the time constant of the load that follows a sudden change.
	recentTime = 1500 * time.Millisecond
	// steadyTime is the time constant of the load that smooths out chance.
	steadyTime = 12 * time.Second
	// hotSamples is how many requests for one key must have come within the
	// recent time before they count at once: fewer may be chance.
	hotSamples = 4
	// priorRate is the requests a second that all keys together are taken to
	// have beside those seen, so that ranges without any are cut by their width.
	priorRate = 2.0
	// rescaleAt keeps the growing weights of new samples within range.
	rescaleAt = 1e6
)

// average is an exponential moving rate for each key. In place of letting all
// keys decay, new samples weigh more and more.
type average struct {
	constant time.Duration
	origin   clock.Instant
	weights  [keyspace.Count]float32
}

func (av *average) weight(now clock.Instant) float64 {
	return math.Exp(now.Sub(av.origin).Seconds() / av.constant.Seconds())
}

func (av *average) add(now clock.Instant, ky keyspace.Key, count int) {
	weight := av.weight(now)
	if weight > rescaleAt {
		for ix := range av.weights {
			av.weights[ix] = float32(float64(av.weights[ix]) / weight)
		}
		av.origin, weight = now, 1
	}
	av.weights[ky] += float32(weight * float64(count))
}

// Load estimates how many requests a second come for each key of a service.
type Load struct {
	recent, steady average
	sums           [keyspace.Count + 1]float64
	began          clock.Instant
	// span is the time over which the steady load was seen, in seconds.
	span float64
}

// NewLoad makes an estimate that knows nothing yet.
func NewLoad(now clock.Instant) *Load {
	ld := &Load{began: now}
	ld.recent.constant, ld.recent.origin = recentTime, now
	ld.steady.constant, ld.steady.origin = steadyTime, now
	return ld
}

// Add notes requests for a key.
func (ld *Load) Add(now clock.Instant, ky keyspace.Key, count int) {
	ld.recent.add(now, ky, count)
	ld.steady.add(now, ky, count)
}

// Refresh brings the sums that Rate uses up to now.
func (ld *Load) Refresh(now clock.Instant) {
	age := max(now.Sub(ld.began).Seconds(), 0.5)
	recentSpan, steadySpan := ld.recent.span(age), ld.steady.span(age)
	ld.span = steadySpan
	recentWeight, steadyWeight := ld.recent.weight(now), ld.steady.weight(now)
	for ix := range keyspace.Count {
		rate := priorRate / float64(keyspace.Count)
		if weight := float64(ld.steady.weights[ix]); weight > 0 {
			rate += weight / (steadyWeight * steadySpan)
			if samples := float64(ld.recent.weights[ix]) / recentWeight; samples >= hotSamples {
				rate = max(rate, samples/recentSpan)
			}
		}
		ld.sums[ix+1] = ld.sums[ix] + rate
	}
}

// span is the time that the weights of all samples add up to.
func (av *average) span(age float64) float64 {
	constant := av.constant.Seconds()
	return constant * (1 - math.Exp(-age/constant))
}

// Rate is the requests a second for a range, as of the last Refresh.
func (ld *Load) Rate(rg keyspace.Range) float64 {
	return ld.sums[int(rg.To)+1] - ld.sums[rg.From]
}

// Deviation is by how much a rate that was seen may differ from the true one.
func (ld *Load) Deviation(rate float64) float64 { return math.Sqrt(rate / max(ld.span, 0.5)) }

// Total is the requests a second for all keys.
func (ld *Load) Total() float64 { return ld.sums[keyspace.Count] }

// prefix finds the longest prefix of a range whose rate is at most the given
// one; ok is false where not even the first key fits.
func (ld *Load) prefix(rg keyspace.Range, rate float64) (keyspace.Range, bool) {
	low, high := int(rg.From), int(rg.To)+1
	base := ld.sums[low]
	for low < high {
		middle := (low + high + 1) / 2
		if ld.sums[middle]-base <= rate {
			low = middle
		} else {
			high = middle - 1
		}
	}
	if low == int(rg.From) {
		return keyspace.Range{}, false
	}
	return keyspace.Range{From: rg.From, To: keyspace.Key(low - 1)}, true
}

// suffix is prefix from the other end.
func (ld *Load) suffix(rg keyspace.Range, rate float64) (keyspace.Range, bool) {
	low, high := int(rg.From), int(rg.To)+1
	end := ld.sums[high]
	for low < high {
		middle := (low + high) / 2
		if end-ld.sums[middle] <= rate {
			high = middle
		} else {
			low = middle + 1
		}
	}
	if high > int(rg.To) {
		return keyspace.Range{}, false
	}
	return keyspace.Range{From: keyspace.Key(high), To: rg.To}, true
}
