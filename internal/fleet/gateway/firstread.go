package gateway

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
)

const (
	// firstReadDelay is how long a host that has just started leaves it to others to tell it
	// what the store holds: it has read the leader's row by then, and a new leader has claimed it.
	firstReadDelay = 800 * time.Millisecond
	// firstReadSpread is by how much the least fit host waits longer.
	firstReadSpread = 700 * time.Millisecond
	// answeredReadDelay is firstReadDelay for a host that hears a leader, which sends lists to
	// all others too.
	answeredReadDelay = 3 * time.Second
	// rankedReadDelay is how long the fittest hosts of a failure domain wait that know the last
	// assignment and hear no leader: after a loss of all hosts they read for their domain.
	rankedReadDelay = 200 * time.Millisecond
	// firstReaders is how many they are. The fittest one may be lost, as it often led.
	firstReaders = 2
)

// firstRead says when a host that has just started reads by itself what nobody has told it.
type firstRead struct {
	startedAt clock.Instant
	// spread is this host's part of firstReadSpread, from 0 to 1.
	spread float64
}

// newFirstRead returns the first read of a host. The fitness, from 0 to 1, is how well it can
// read for others.
func newFirstRead(now clock.Instant, host ident.Host, fitness float64) firstRead {
	part := float64(ident.Weight("first read", string(host))) / math.MaxUint64
	return firstRead{startedAt: now, spread: (1 - min(fitness, 1) + part) / 2}
}

// dueAt returns when this host reads. answered reports whether it hears a leader that sends
// what is missing, rank is its rank in its failure domain, or -1.
func (fr firstRead) dueAt(answered bool, rank int) clock.Instant {
	delay := firstReadDelay
	switch {
	case answered:
		delay = answeredReadDelay
	case rank >= 0 && rank < firstReaders:
		return fr.startedAt.Add(rankedReadDelay)
	}
	return fr.startedAt.Add(delay + time.Duration(fr.spread*float64(firstReadSpread)))
}
