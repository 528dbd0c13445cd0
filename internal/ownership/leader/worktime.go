package leader

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/peer/protocol"
)

const (
	// defaultWorkTime is the expected time per answer before any was measured.
	defaultWorkTime = 200 * time.Millisecond
	// workWeight is the least weight of one answer in what is measured of an upstream,
	// serviceWeight in what is measured of all upstreams of a service together.
	workWeight    = 0.03
	serviceWeight = 0.002
	// expectedAnswers is the number of answers that an expectation counts for at first.
	expectedAnswers = 4
	// maxWorkStep limits how far the logarithm of one status can be from the mean's.
	maxWorkStep = 1.5
	// meanOverMedian is the ratio of the mean time per answer to the median before it was
	// measured, maxMeanOverMedian the highest one. A few answers take very long, and the
	// average of logarithms is close to the median.
	meanOverMedian    = 1.6
	maxMeanOverMedian = 2.5
	// disturbedRatio is how many times as long work takes in a disturbance, of which nothing
	// is learned, as before it.
	disturbedRatio = 2
	// latencyWindow is how long an upstream must be slow for it to count: a short disturbance
	// is over before its keys could have moved.
	latencyWindow = 2 * time.Second
)

// workTimes is what is known of the answers of a service.
type workTimes struct {
	// usual is the average time per answer at a processing time of 100 percent, computed
	// from logarithms.
	usual          time.Duration
	meanOverMedian float64
	answers        int
	// success is the part of requests that were answered.
	success float64
}

func newWorkTimes() *workTimes {
	return &workTimes{usual: defaultWorkTime, meanOverMedian: meanOverMedian, success: 1}
}

// workTime is what is known of an upstream's time per answer. What it tells of its current
// processing time shows a slow upstream with its first answer, and one that turns slow within
// two windows. What was measured corrects one that tells it wrongly.
type workTime struct {
	service *workTimes
	// relative is its usual time per answer in that of the service, as a logarithm.
	relative float64
	answers  int
	latency  latencyFloor
}

// median returns the median time per answer that is expected.
func (wt *workTime) median() time.Duration {
	expected := time.Duration(float64(wt.service.usual) * math.Exp(wt.relative) * float64(wt.latency.percent()) / 100)
	return max(expected, time.Microsecond)
}

// mean returns the mean time per answer that is expected.
func (wt *workTime) mean() time.Duration {
	return time.Duration(float64(wt.median()) * wt.service.meanOverMedian)
}

// update adds a status. Single answers differ far more than upstreams do, so it averages
// logarithms.
func (wt *workTime) update(now clock.Instant, ul protocol.UpstreamLoad) {
	wt.latency.add(now, ul.LatencyPercent)
	ratio := ul.WorkTime.Seconds() / float64(ul.Answers) / wt.median().Seconds()
	step := max(min(math.Log(ratio), maxWorkStep), -maxWorkStep)
	sv := wt.service
	sv.meanOverMedian += answerWeight(ul.Answers, math.MaxInt16, serviceWeight) * (min(ratio, maxMeanOverMedian) - sv.meanOverMedian)
	sv.meanOverMedian = max(sv.meanOverMedian, 1)
	if ul.LatencyPercent > disturbedRatio*wt.latency.percent() {
		return
	}
	sv.answers = min(sv.answers+ul.Answers, math.MaxInt16)
	weight := answerWeight(ul.Answers, sv.answers, serviceWeight)
	sv.usual = time.Duration(float64(sv.usual) * math.Exp(weight*step))
	wt.answers = min(wt.answers+ul.Answers, math.MaxInt16)
	wt.relative += answerWeight(ul.Answers, wt.answers, workWeight) * (step - weight*step)
}

// answerWeight returns the weight of some answers, the newest of all that came.
func answerWeight(answers, all int, least float64) float64 {
	return max(1-math.Pow(1-least, float64(answers)), float64(answers)/float64(all+expectedAnswers))
}

// latencyFloor is the lowest processing time that an upstream has told of late, in percent
// of the usual one. It is kept for two windows in turn.
type latencyFloor struct {
	lowest, previous int
	windowEndsAt     clock.Instant
}

// add notes what a status tells, zero if nothing.
func (lf *latencyFloor) add(now clock.Instant, percent int) {
	if percent == 0 {
		return
	}
	if now >= lf.windowEndsAt {
		lf.previous, lf.lowest, lf.windowEndsAt = lf.lowest, 0, now.Add(latencyWindow)
	}
	if lf.lowest == 0 || percent < lf.lowest {
		lf.lowest = percent
	}
}

// percent returns the processing time that counts, 100 if the upstream tells none.
func (lf *latencyFloor) percent() int {
	switch {
	case lf.lowest == 0:
		return 100
	case lf.previous == 0:
		return lf.lowest
	}
	return min(lf.lowest, lf.previous)
}
