package capacity

import (
	"errors"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/ownership/exchange"
)

// beatProbes measure what a heartbeat and its answer cost between two nodes.
func beatProbes() []Probe {
	counts := []int{200, 500, 1000, 2000}
	return []Probe{
		{Name: "beatBytes", Unit: "bytes", Per: "heartbeat and answer", Role: "leader and follower", Sizes: counts, Measure: beatBytes},
		{Name: "beatCpu", Unit: "ns", Per: "heartbeat and answer", Role: "leader and follower", Sizes: counts, Measure: beatCPU},
	}
}

// errUnheard says that a notice was lost on loopback.
var errUnheard = errors.New("capacity: a notice was not heard")

// ears are the two ends of the exchange of heartbeats: each hears what the
// other sends.
type ears struct {
	inner.Service
	heard chan struct{}
}

// Hear implements inner.Service.
func (ea ears) Hear(ident.Host, exchange.Notice) {
	ea.heard <- struct{}{}
}

// steadyBeat is a heartbeat of a host whose assignment is settled.
func steadyBeat(ix int) exchange.Beat {
	return exchange.Beat{
		Incarnation: 1796352000000000000, Reading: clock.Instant(5*time.Hour) + clock.Instant(ix),
		Echo: clock.Instant(7*time.Hour) + clock.Instant(ix), Term: 812, Promise: true, Assignment: 9, Routes: 4011,
	}
}

// steadyLease is the leader's answer to it.
func steadyLease(ix int) exchange.Lease {
	return exchange.Lease{
		Term: 812, Counter: uint64(90000 + ix), Incarnation: 1796352000000000000,
		Reading: clock.Instant(7*time.Hour) + clock.Instant(ix), Heard: clock.Instant(5*time.Hour) + clock.Instant(ix),
		Until: clock.Instant(5*time.Hour) + clock.Instant(ix) + clock.Instant(time.Second), Assignment: 9, RouteNumber: 4011,
	}
}

func beatBytes(size int) (float64, error) {
	leader, follower, err := listenPair()
	if err != nil {
		return 0, err
	}
	err = beat(leader, follower, size)
	return leader.total() + follower.total(), err
}

func beatCPU(size int) (float64, error) {
	leader, follower, err := listenPair()
	if err != nil {
		return 0, err
	}
	return cpuNanos(func() error { return beat(leader, follower, size) })
}

func listenPair() (left, right *wire, err error) {
	if left, err = listenWire(); err != nil {
		return nil, nil, err
	}
	right, err = listenWire()
	return left, right, err
}

// beat exchanges heartbeats and answers, one after the other.
func beat(leader, follower *wire, size int) error {
	ear := ears{heard: make(chan struct{}, 1)}
	defer leader.serve(inner.NewServer(ear))()
	defer follower.serve(inner.NewServer(ear))()
	toLeader, toFollower := inner.NewPeer(leader.Addr().String()), inner.NewPeer(follower.Addr().String())
	defer toLeader.Close()
	defer toFollower.Close()
	for ix := range size {
		if err := tell(toLeader, ear, steadyBeat(ix)); err != nil {
			return err
		}
		if err := tell(toFollower, ear, steadyLease(ix)); err != nil {
			return err
		}
	}
	return nil
}

func tell(pe *inner.Peer, ear ears, notice exchange.Notice) error {
	if err := pe.Tell("domain-1-entry-17", notice); err != nil {
		return err
	}
	select {
	case <-ear.heard:
		return nil
	case <-time.After(time.Second):
		return errUnheard
	}
}
