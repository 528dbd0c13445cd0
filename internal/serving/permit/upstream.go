package permit

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/peer/protocol"
)

const (
	// defaultWork is the expected time for an answer before any was seen.
	defaultWork = 200 * time.Millisecond
	// workWeight is the weight of the newest answer in an upstream's mean.
	workWeight = 0.08
	// typicalWeight is the weight of the newest answer in a service's mean.
	typicalWeight = 0.02
	// othersTime is how long a report of work that others sent is believed.
	othersTime = 300 * time.Millisecond
	// firstBlock is how long an upstream gets nothing after a failure; each
	// further one doubles it up to lastBlock.
	firstBlock = 150 * time.Millisecond
	lastBlock  = 2 * time.Second
	// rampTime is how long an upstream that was unreachable counts as cold: it
	// may have started anew without its entry saying so yet.
	rampTime = 1500 * time.Millisecond
	// rampStrikes is after how many failures in a row that applies.
	rampStrikes = 2
)

// upstream is what the holder knows of an upstream.
type upstream struct {
	Upstream
	// hash decides which part of its service the upstream belongs to.
	hash uint64
	// usable upstreams may get new work.
	usable  bool
	running map[holderID]*ask
	// work is how long an answer takes here, as learnt.
	work time.Duration
	// others is work that other hosts sent, by the upstream's own report.
	others       int
	othersUntil  clock.Instant
	strikes      int
	blockedUntil clock.Instant
	rampUntil    clock.Instant
	// coldTokens allow requests while the upstream is cold.
	coldTokens float64
	coldAt     clock.Instant
}

func newUpstream(now clock.Instant, up Upstream, work time.Duration) *upstream {
	return &upstream{Upstream: up, running: map[holderID]*ask{}, work: work, coldTokens: 1, coldAt: now}
}

func (us *upstream) cold(now clock.Instant) bool {
	return now.Before(us.ColdUntil) || now.Before(us.rampUntil)
}

// busy counts the slots in use.
func (us *upstream) busy(now clock.Instant) int {
	if now.Before(us.othersUntil) {
		return len(us.running) + us.others
	}
	return len(us.running)
}

// free tells whether the upstream can take one more request now.
func (us *upstream) free(now clock.Instant, coldRate float64) bool {
	if !us.usable || now.Before(us.blockedUntil) || us.busy(now) >= us.Slots {
		return false
	}
	if !us.cold(now) {
		return true
	}
	us.refill(now, coldRate)
	return us.coldTokens >= 1
}

func (us *upstream) refill(now clock.Instant, coldRate float64) {
	us.coldTokens = min(1, us.coldTokens+coldRate*now.Sub(us.coldAt).Seconds())
	us.coldAt = now
}

// wait estimates how long a request waits here behind others.
func (us *upstream) wait(now clock.Instant, ahead int, coldRate float64) time.Duration {
	wait := max(us.blockedUntil.Sub(now), 0)
	if us.cold(now) && coldRate > 0 {
		us.refill(now, coldRate)
		return wait + time.Duration(max(float64(ahead+1)-us.coldTokens, 0)/coldRate*float64(time.Second))
	}
	over := us.busy(now) + ahead + 1 - us.Slots
	if over <= 0 {
		return wait
	}
	return wait + us.firstFree(now) + time.Duration(over-1)*us.work/time.Duration(us.Slots)
}

// firstFree estimates when the first slot becomes free. Times of answers
// spread widely: what has run for long will probably run on for long.
func (us *upstream) firstFree(now clock.Instant) time.Duration {
	first := us.work / 2
	if len(us.running) < us.Slots {
		return first
	}
	first = time.Duration(clock.Never)
	for _, ak := range us.running {
		first = min(first, max(us.work, now.Sub(ak.permitted))/2)
	}
	return first
}

// learn takes what one request showed of the upstream.
func (us *upstream) learn(now clock.Instant, dn protocol.Done) {
	if dn.Reported {
		// The report still counts the request that it came with.
		us.others = max(dn.Running+dn.Waiting-1-len(us.running), 0)
		us.othersUntil = now.Add(othersTime)
	}
	switch Outcome(dn.Outcome) {
	case Answered:
		us.strikes = 0
		us.work += time.Duration(workWeight * float64(dn.Took-us.work))
	case Failed, Disowned, Withdrawn:
	case TimedOut:
		us.work += time.Duration(2 * workWeight * float64(dn.Took-us.work))
		us.strike(now)
	case Refused:
		us.strike(now)
	case Unreached, Broken:
		us.strike(now)
		if us.strikes >= rampStrikes {
			us.rampUntil = now.Add(rampTime)
		}
	}
}

func (us *upstream) strike(now clock.Instant) {
	block := min(firstBlock<<min(us.strikes, 5), lastBlock)
	us.strikes++
	us.blockedUntil = max(us.blockedUntil, now.Add(block))
}
