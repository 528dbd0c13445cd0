package balance

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/keyspace"
)

const (
	// recentTimeConstant is the time constant of the rate that follows sudden
	// changes.
	recentTimeConstant = 1500 * time.Millisecond
	// steadyTimeConstant is the time constant of the rate that smooths out random
	// variation.
	steadyTimeConstant = 12 * time.Second
	// minKeySamples is how many requests a key needs to be estimated by itself: fewer may be
	// random variation.
	minKeySamples = 4
	// changeRatio is the ratio of the recent and the steady rate of a key from which it has
	// become busy or idle.
	changeRatio = 2
	// smoothingSamples is the number of requests that a half of a range counts for beyond its
	// own. Ranges with few requests are taken for as busy as their neighbours.
	smoothingSamples = 4
	// totalSamples is the number of requests that the steady rate counts for in the total.
	totalSamples = 48
	// priorRate is added to the measured rate, in requests per second over all
	// keys, so that ranges without requests are split by their width.
	priorRate = 0.5
	// maxWeight is the weight of a new sample above which all weights are scaled
	// down, to stay within the range of float32.
	maxWeight = 1e6
)

// movingRate is an exponentially weighted moving sum of requests per key. The
// weight of new samples grows with time, so that old ones need no decay step.
type movingRate struct {
	timeConstant time.Duration
	origin       clock.Instant
	weights      [keyspace.Count]float32
}

// weight returns the weight of a sample taken now.
func (mr *movingRate) weight(now clock.Instant) float64 {
	return math.Exp(now.Sub(mr.origin).Seconds() / mr.timeConstant.Seconds())
}

// add counts requests for a key, after scaling down the weights if necessary.
func (mr *movingRate) add(now clock.Instant, ky keyspace.Key, count int) {
	weight := mr.weight(now)
	if weight > maxWeight {
		for ix := range mr.weights {
			mr.weights[ix] = float32(float64(mr.weights[ix]) / weight)
		}
		mr.origin, weight = now, 1
	}
	mr.weights[ky] += float32(weight * float64(count))
}

// Load estimates the request rate of each key of a service, in requests per second.
//
// Which keys are busy changes slowly, how busy all are together within a second. So the
// steady rate tells how the requests are spread over the keys, smoothed where they are few,
// and the recent one how many there are. A key with many requests is estimated by these alone.
type Load struct {
	recent, steady movingRate
	sums           [keyspace.Count + 1]float64
	// samples holds the sums of the steady requests for keys that are not estimated by
	// themselves, as of the last Refresh.
	samples   [keyspace.Count + 1]float64
	startedAt clock.Instant
	// span is the effective measuring time of the steady rate, in seconds.
	span float64
}

// NewLoad returns an estimate without samples.
func NewLoad(now clock.Instant) *Load {
	ld := &Load{startedAt: now}
	ld.recent.timeConstant, ld.recent.origin = recentTimeConstant, now
	ld.steady.timeConstant, ld.steady.origin = steadyTimeConstant, now
	return ld
}

// Add counts requests for a key. They show in Rate and Total after the next
// Refresh.
func (ld *Load) Add(now clock.Instant, ky keyspace.Key, count int) {
	ld.recent.add(now, ky, count)
	ld.steady.add(now, ky, count)
}

// Refresh recomputes the prefix sums that Rate and Total read.
func (ld *Load) Refresh(now clock.Instant) {
	age := max(now.Sub(ld.startedAt).Seconds(), 0.5)
	recentSpan, steadySpan := ld.recent.span(age), ld.steady.span(age)
	ld.span = steadySpan
	recentWeight, steadyWeight := ld.recent.weight(now), ld.steady.weight(now)
	recentCount := 0.0
	for ix := range keyspace.Count {
		own, samples := 0.0, float64(ld.steady.weights[ix])/steadyWeight
		if samples > 0 {
			recent := float64(ld.recent.weights[ix]) / recentWeight
			expected := samples * recentSpan / steadySpan
			switch {
			case recent >= minKeySamples && recent > changeRatio*expected, expected >= 2*minKeySamples && recent*changeRatio < expected:
				own, samples = recent/recentSpan, 0
			case samples >= minKeySamples:
				own, samples = samples/steadySpan, 0
			default:
				recentCount += recent
			}
		}
		// The rates of single keys, until spread replaces them with sums.
		ld.sums[ix+1] = own
		ld.samples[ix+1] = ld.samples[ix] + samples
	}
	total := 0.0
	if count := ld.samples[keyspace.Count]; count > 0 {
		steady := count / steadySpan
		total = (recentCount + totalSamples) / (recentSpan + totalSamples/steady)
	}
	ld.spread(keyspace.Range{To: keyspace.Last}, total+priorRate)
	for ix := range keyspace.Count {
		ld.sums[ix+1] += ld.sums[ix]
	}
}

// spread adds a rate to the keys of a range in proportion to their samples. Each half of a
// range gets at least what smoothingSamples requests stand for.
func (ld *Load) spread(rg keyspace.Range, rate float64) {
	first, end := int(rg.From), int(rg.To)+1
	count := ld.samples[end] - ld.samples[first]
	if end-first == 1 || count < 1 {
		each := rate / float64(end-first)
		for ix := first; ix < end; ix++ {
			ld.sums[ix+1] += each
		}
		return
	}
	middle := (first + end) / 2
	part := (ld.samples[middle] - ld.samples[first] + smoothingSamples) / (count + 2*smoothingSamples)
	ld.spread(keyspace.Range{From: rg.From, To: keyspace.Key(middle - 1)}, rate*part)
	ld.spread(keyspace.Range{From: keyspace.Key(middle), To: rg.To}, rate*(1-part))
}

// span returns the effective measuring time in seconds after age seconds of
// sampling; it approaches the time constant.
func (mr *movingRate) span(age float64) float64 {
	timeConstant := mr.timeConstant.Seconds()
	return timeConstant * (1 - math.Exp(-age/timeConstant))
}

// Rate returns the requests per second for a range, as of the last Refresh.
func (ld *Load) Rate(rg keyspace.Range) float64 {
	return ld.sums[int(rg.To)+1] - ld.sums[rg.From]
}

// Deviation returns the standard deviation of a measured rate, in requests per second. It is
// that of the samples, less what smoothing takes off.
func (ld *Load) Deviation(rate float64) float64 {
	span := max(ld.span, 0.5)
	samples := rate * span
	return math.Sqrt(samples) / span * samples / (samples + 2*smoothingSamples)
}

// Total returns the requests per second for all keys, as of the last Refresh.
func (ld *Load) Total() float64 { return ld.sums[keyspace.Count] }

// hottest returns the key of a range with the highest rate, and its rate.
func (ld *Load) hottest(rg keyspace.Range) (ky keyspace.Key, rate float64) {
	for ix := int(rg.From); ix <= int(rg.To); ix++ {
		if own := ld.sums[ix+1] - ld.sums[ix]; own > rate {
			ky, rate = keyspace.Key(ix), own
		}
	}
	return ky, rate
}

// prefix returns the longest prefix of a range with at most the given rate, and
// false if even the first key exceeds it.
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

// suffix returns the longest suffix of a range with at most the given rate, and
// false if even the last key exceeds it.
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
