package permit

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
)

const (
	// Bins of a latencyShape, by the logarithm of the ratio to the mean.
	binsPerOctave = 6
	octavesBelow  = 4
	octavesAbove  = 6
	binCount      = binsPerOctave * (octavesBelow + octavesAbove)
	// priorWeight is how many answers the initial shape counts as, priorSpread its
	// standard deviation on a logarithmic scale.
	priorWeight = 20
	priorSpread = 0.4
	// maxShapeWeight is how many answers a shape remembers.
	maxShapeWeight = 2000.0
	// disturbanceTTL is how long an upstream's report of its present speed says
	// anything; it counts less and less until then.
	disturbanceTTL = 400 * time.Millisecond
	// maxDisturbance is the factor by which a report may differ from the usual ones.
	maxDisturbance = 10
)

// kind is a kind of request, as far as asks tell them apart.
type kind struct {
	priority          int
	repeatable, large bool
}

func (ak *ask) kind() kind { return kind{ak.Priority, ak.Repeatable, ak.Large} }

// work describes what the requests of a service, or one kind of them, take to answer.
type work struct {
	// latency is the moving average, shape the distribution around what was expected.
	latency time.Duration
	shape   latencyShape
	answers int
}

// observe adds an answer that took a time of which expected was the mean.
func (wk *work) observe(took, expected time.Duration) {
	wk.answers++
	wk.latency += time.Duration(max(serviceLatencyWeight, 1/float64(wk.answers)) * float64(took-wk.latency))
	wk.shape.observe(ratio(took, expected))
}

// ratio returns a time as a multiple of a mean.
func ratio(took, mean time.Duration) float64 {
	return float64(took) / float64(max(mean, time.Millisecond))
}

// latencyShape is the distribution of times to answer, as ratios to their mean.
type latencyShape struct {
	weights [binCount]float64
	total   float64
}

// newLatencyShape returns a shape for services that have not answered yet.
func newLatencyShape() latencyShape {
	var ls latencyShape
	for bin := range ls.weights {
		deviation := math.Log(binCentre(bin)) / priorSpread
		ls.weights[bin] = math.Exp(-deviation * deviation / 2)
		ls.total += ls.weights[bin]
	}
	ls.scale(priorWeight / ls.total)
	return ls
}

func (ls *latencyShape) scale(factor float64) {
	for bin := range ls.weights {
		ls.weights[bin] *= factor
	}
	ls.total *= factor
}

// binOf returns the position of a ratio on the scale of bins; its integer part is the bin.
func binOf(ratio float64) float64 {
	position := (math.Log2(max(ratio, math.SmallestNonzeroFloat64)) + octavesBelow) * binsPerOctave
	return min(max(position, 0), binCount-1)
}

// binCentre returns the ratio at the centre of a bin.
func binCentre(bin int) float64 { return math.Exp2((float64(bin)+0.5)/binsPerOctave - octavesBelow) }

func (ls *latencyShape) observe(ratio float64) {
	ls.weights[int(binOf(ratio))]++
	ls.total++
	if ls.total > maxShapeWeight {
		ls.scale(0.5)
	}
}

// within returns the probability that an answer takes at most a ratio of the mean.
func (ls *latencyShape) within(ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	position := binOf(ratio)
	last := int(position)
	sum := ls.weights[last] * (position - float64(last))
	for _, weight := range ls.weights[:last] {
		sum += weight
	}
	return sum / ls.total
}

// survives returns the probability that an answer that has not come after a ratio of the mean does
// not come within a further one.
func (ls *latencyShape) survives(elapsed, further float64) float64 {
	remaining := 1 - ls.within(elapsed)
	if remaining < 1/maxShapeWeight {
		return elapsed / (elapsed + further)
	}
	return (1 - ls.within(elapsed+further)) / remaining
}

// left returns how much longer an answer will probably take that has not come after a ratio
// of the mean. One that takes longer than any other is expected to take half as long again.
func (ls *latencyShape) left(elapsed float64) float64 {
	sum, weights := 0.0, 0.0
	for bin := int(binOf(elapsed)); bin < binCount; bin++ {
		if left := binCentre(bin) - elapsed; left > 0 {
			sum += ls.weights[bin] * left
			weights += ls.weights[bin]
		}
	}
	if weights < ls.total/maxShapeWeight {
		return elapsed / 2
	}
	return sum / weights
}

// medianLeft returns how much longer one that has not come after a ratio of the mean takes with
// a probability of one half. One that takes longer than any other takes as long again.
func (ls *latencyShape) medianLeft(elapsed float64) float64 {
	remaining := ls.total * (1 - ls.within(elapsed))
	if remaining < ls.total/maxShapeWeight {
		return elapsed
	}
	first, sum := binOf(elapsed), 0.0
	for bin := int(first); bin < binCount; bin++ {
		weight := ls.weights[bin] * min(float64(bin+1)-first, 1)
		if sum += weight; sum >= remaining/2 && bin < binCount-1 {
			return max(binCentre(bin)-elapsed, 0)
		}
	}
	// The last bin has no upper bound.
	return max(binCentre(binCount-1)-elapsed, elapsed)
}

// disturbance is how much longer an upstream takes at present than without whatever else
// runs on its machine, by its own reports.
type disturbance struct {
	// usual is the moving average of the reports, last the newest, as factors. It moves
	// as fast as the upstream's latency: both begin with what is usual for the service.
	usual, last float64
	reportedAt  clock.Instant
}

// report records a statement in percent of the undisturbed time.
func (db *disturbance) report(now clock.Instant, percent int) {
	if db.usual == 0 {
		db.usual = 1
	}
	factor := min(max(float64(percent)/100, db.usual/maxDisturbance), db.usual*maxDisturbance)
	db.usual += upstreamLatencyWeight * (factor - db.usual)
	db.last, db.reportedAt = factor, now
}

// factor returns by how much the present time to answer differs from the usual one.
func (db *disturbance) factor(now clock.Instant) float64 {
	fresh := 1 - float64(now.Sub(db.reportedAt))/float64(disturbanceTTL)
	if db.usual == 0 || fresh <= 0 {
		return 1
	}
	return 1 + fresh*(db.last/db.usual-1)
}
