package rollout

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/operations/bundle"
)

// starting is what a node without a bundle has asked and found. It takes the
// highest of all answers, since the platform may show an older row than the
// peers have in force.
type starting struct {
	waiting   map[string]bool
	nextRound clock.Instant
	// pause is the time to the round after the next, doubled with each.
	pause    time.Duration
	best     *State
	decideAt clock.Instant
}

// tickStart asks the platform and the peers until a bundle is found.
func (co *Core) tickStart(now clock.Instant) []Cmd {
	if co.start.best != nil {
		return co.decideStart(now)
	}
	if now.Before(co.start.nextRound) {
		return nil
	}
	co.start.pause = min(max(2*co.start.pause, StartRetry), maxStartRetry)
	co.start.nextRound = now.Add(co.jitter(co.start.pause))
	var cmds []Cmd
	if !co.start.waiting[platformSource] {
		co.start.waiting[platformSource] = true
		cmds = append(cmds, ReadRowCmd{})
	}
	for _, peer := range co.settings.Peers {
		cmds = append(cmds, co.askAtStart(peer)...)
	}
	return cmds
}

// askAtStart asks a peer that is not being asked.
func (co *Core) askAtStart(peer string) []Cmd {
	if co.start.waiting[peer] || len(co.start.waiting) > startPeers {
		return nil
	}
	if _, rests := co.resting[peer]; rests {
		return nil
	}
	co.start.waiting[peer] = true
	return []Cmd{FetchPeerCmd{Peer: peer}}
}

func (co *Core) rowAtStart(now clock.Instant, mg RowMsg) []Cmd {
	delete(co.start.waiting, platformSource)
	if mg.Err != nil || mg.Pointer.Version == 0 {
		return co.decideStart(now)
	}
	cmds := co.fetchObject(mg.Pointer)
	if len(cmds) > 0 {
		co.start.waiting[objectSource(mg.Pointer.Digest)] = true
	}
	return cmds
}

// candidate keeps the highest bundle found, and asks some of its hosts when it
// is the first.
func (co *Core) candidate(now clock.Instant, bn *bundle.Bundle, sl bundle.Seal) []Cmd {
	first := co.start.best == nil
	if first || bn.Version > co.start.best.Bundle.Version {
		co.start.best = &State{Bundle: bn, Seal: sl}
	}
	var cmds []Cmd
	if first {
		co.start.decideAt = now.Add(StartGrace)
		near, far := co.neighbours(bn)
		for _, ho := range append(near, far...) {
			cmds = append(cmds, co.askAtStart(ho.Inner)...)
		}
	}
	return append(cmds, co.decideStart(now)...)
}

// decideStart puts the best bundle in force once all have answered or the time
// for it is over.
func (co *Core) decideStart(now clock.Instant) []Cmd {
	best := co.start.best
	if co.state != nil || best == nil {
		return nil
	}
	if len(co.start.waiting) > 0 && now.Before(co.start.decideAt) {
		return nil
	}
	co.start.best = nil
	return co.enforce(now, best.Bundle, best.Seal, narrow)
}
