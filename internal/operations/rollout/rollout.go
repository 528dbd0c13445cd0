// Package rollout decides for one node which bundle is in force, and whom to
// ask and to tell, so that an accepted bundle is in force on every node within
// seconds and none ever goes back to a lower version.
//
// A few nodes of each domain poll the platform's row; all others learn of a
// version from notices between nodes and fetch the body from whoever told
// them. The core is pure: it is given what happened and the time, and returns
// what to do:
//
//	co := rollout.New(rollout.Settings{Host: "n1", Domain: "north", Keys: keys})
//	for _, cmd := range co.Update(now, rollout.TickMsg{}) {
//		run(cmd)
//	}
package rollout

import (
	"math/rand/v2"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
)

const (
	// PollEvery is the time between two reads of the row by a poller.
	PollEvery = 500 * time.Millisecond
	// SlowPollEvery is the time between two reads of the row by any other node.
	SlowPollEvery = 10 * time.Second
	// ExchangeEvery is the time between two exchanges of versions with a peer.
	ExchangeEvery = time.Second
	// CensusEvery is the time between two reads of the census by a poller.
	CensusEvery = 2 * time.Second
	// StartGrace is how long a node that has found a first bundle waits for a
	// higher one before it puts it in force.
	StartGrace = 400 * time.Millisecond
	// StartRetry is the time between the first two rounds of asking while no
	// bundle is known; it doubles up to maxStartRetry, so that a whole fleet
	// without a bundle spares the table.
	StartRetry    = 300 * time.Millisecond
	maxStartRetry = 2 * time.Second
	// Backoff is how long a source whose bundle was refused is left alone.
	Backoff = 2 * time.Second
	// RestoreEvery is the time between two tries to restore the row.
	RestoreEvery = time.Second

	// pollers is how many hosts of a domain poll the row.
	pollers = 3
	// fanOut is how many hosts of its own domain a node tells of a change.
	fanOut = 4
	// startPeers is how many peers are asked for a bundle at a start.
	startPeers = 5
	// maxFetches bounds the bodies that are fetched at a time; more would mostly
	// fetch the same body again.
	maxFetches = 1
	// maxPending bounds the peers that are remembered to have a higher version.
	maxPending = 8
	// jitterPart spreads every period by up to 1/jitterPart to both sides.
	jitterPart = 4
	// awayPart makes one exchange in awayPart leave the node's own domain.
	awayPart = 4
)

// Settings are what a node knows before its first bundle.
type Settings struct {
	Host   ident.Host
	Domain ident.Domain
	// Peers are inner addresses to ask at a start.
	Peers []string
	// Keys are trusted before the first bundle.
	Keys []bundle.TrustedKey
	// Seed fixes the choice of peers and the jitter.
	Seed uint64
}

// State is the bundle in force. It is never changed.
type State struct {
	Bundle *bundle.Bundle
	Seal   bundle.Seal
	// Effective is the bundle with the census weighed in; see bundle.WithCensus.
	Effective *bundle.Bundle
}

// Core is one node's decisions on bundles.
type Core struct {
	settings Settings
	random   *rand.Rand
	state    *State
	poller   bool
	start    starting
	census   leavingList

	fetches int
	pending []offer
	// resting holds sources that are not to be asked until an instant; those
	// with a fetch under way until it ends.
	resting map[string]clock.Instant

	nextPoll     clock.Instant
	nextExchange clock.Instant
	nextCensus   clock.Instant
	nextRestore  clock.Instant
}

// New makes the core of a node that knows no bundle.
func New(st Settings) *Core {
	return &Core{
		settings: st,
		random:   rand.New(rand.NewPCG(st.Seed, ident.Weight("rollout", string(st.Host)))),
		start:    starting{waiting: map[string]bool{}},
		resting:  map[string]clock.Instant{},
	}
}

// Update takes one message and returns what to do.
func (co *Core) Update(now clock.Instant, msg Msg) []Cmd {
	switch mg := msg.(type) {
	case TickMsg:
		return co.tick(now)
	case RowMsg:
		return co.row(now, mg)
	case SealMsg:
		return co.sealed(now, mg)
	case NoticeMsg:
		return co.notice(now, mg)
	case CensusMsg:
		return co.counted(now, mg)
	}
	return nil
}

// State returns the bundle in force; nil before the first.
func (co *Core) State() *State {
	return co.state
}

func (co *Core) version() bundle.Version {
	if co.state == nil {
		return 0
	}
	return co.state.Bundle.Version
}

func (co *Core) trust() bundle.Trust {
	if co.state == nil {
		return bundle.Trust{Keys: co.settings.Keys}
	}
	return bundle.TrustOf(co.state.Bundle)
}

// tick asks whatever is due.
func (co *Core) tick(now clock.Instant) []Cmd {
	for source, until := range co.resting {
		if !now.Before(until) {
			delete(co.resting, source)
		}
	}
	if co.state == nil {
		return co.tickStart(now)
	}
	var cmds []Cmd
	if !now.Before(co.nextPoll) {
		every := SlowPollEvery
		if co.poller {
			every = PollEvery
		}
		co.nextPoll = now.Add(co.jitter(every))
		cmds = append(cmds, ReadRowCmd{})
	}
	if !now.Before(co.nextExchange) {
		co.nextExchange = now.Add(co.jitter(ExchangeEvery))
		cmds = append(cmds, co.exchange(now)...)
	}
	if co.poller && !now.Before(co.nextCensus) {
		co.nextCensus = now.Add(co.jitter(CensusEvery))
		cmds = append(cmds, ReadCensusCmd{})
	}
	return cmds
}

func (co *Core) jitter(every time.Duration) time.Duration {
	spread := int64(every) / jitterPart
	return every - time.Duration(spread) + time.Duration(co.random.Int64N(2*spread))
}

// isPoller tells whether this host is among those of its domain that poll the
// platform: the first few of the hosts in service, by rendezvous weight.
func (co *Core) isPoller() bool {
	own := ident.Weight("poller", string(co.settings.Host))
	higher := 0
	for _, ho := range co.state.Effective.HostsOf(co.settings.Domain) {
		if !ho.Out && ident.Weight("poller", string(ho.Name)) > own {
			higher++
		}
	}
	return higher < pollers
}

// row compares the platform's row with the bundle in force.
func (co *Core) row(now clock.Instant, mg RowMsg) []Cmd {
	if co.state == nil {
		return co.rowAtStart(now, mg)
	}
	switch {
	case mg.Err != nil:
		return nil
	case mg.Pointer.Version < co.version():
		return co.restore(now, mg)
	case mg.Pointer.Version == co.version():
		return nil
	}
	return co.fetchObject(mg.Pointer)
}

// restore writes the bundle in force back to a row that shows an older one, as
// a platform that lost its last writes does.
func (co *Core) restore(now clock.Instant, mg RowMsg) []Cmd {
	if now.Before(co.nextRestore) {
		return nil
	}
	co.nextRestore = now.Add(RestoreEvery)
	return []Cmd{
		RefuseCmd{Source: platformSource, Version: mg.Pointer.Version, Reason: Older},
		RestoreCmd{Base: mg.Base, Seal: co.state.Seal},
	}
}

func (co *Core) fetchObject(pt bundle.Pointer) []Cmd {
	source := objectSource(pt.Digest)
	if _, rests := co.resting[source]; rests || co.fetches >= maxFetches {
		return nil
	}
	co.fetches++
	co.resting[source] = clock.Never
	return []Cmd{FetchObjectCmd{Pointer: pt}}
}

// offer is a peer that has a higher version than the one in force.
type offer struct {
	peer    string
	version bundle.Version
}

// fetchPeer fetches an offer, or remembers it while another fetch is under way.
func (co *Core) fetchPeer(of offer) []Cmd {
	if _, rests := co.resting[of.peer]; rests {
		return nil
	}
	if co.fetches >= maxFetches {
		if len(co.pending) < maxPending {
			co.pending = append(co.pending, of)
		}
		return nil
	}
	co.fetches++
	co.resting[of.peer] = clock.Never
	return []Cmd{FetchPeerCmd{Peer: of.peer, Known: co.version()}}
}

// sealed takes a fetched seal, or the failure to fetch it.
func (co *Core) sealed(now clock.Instant, mg SealMsg) []Cmd {
	if co.resting[mg.Source] == clock.Never {
		co.fetches--
		delete(co.resting, mg.Source)
	}
	delete(co.start.waiting, mg.Source)
	cmds := co.judge(now, mg)
	return append(cmds, co.fetchNext()...)
}

// judge checks a seal; what is refused makes its source rest.
func (co *Core) judge(now clock.Instant, mg SealMsg) []Cmd {
	nothing := mg.Err == nil && len(mg.Seal.Body) == 0 && mg.Seal.Version <= co.version()
	if mg.Err != nil || nothing {
		return co.decideStart(now)
	}
	if mg.Seal.Version < co.version() {
		return []Cmd{RefuseCmd{Source: mg.Source, Version: mg.Seal.Version, Reason: Older}}
	}
	if co.isKnown(mg.Seal.Version) {
		return co.decideStart(now)
	}
	bn, err := bundle.Open(mg.Seal, co.trust())
	if err != nil {
		co.resting[mg.Source] = now.Add(Backoff)
		cmds := []Cmd{RefuseCmd{Source: mg.Source, Version: mg.Seal.Version, Reason: reasonOf(err), Key: mg.Seal.Key}}
		return append(cmds, co.decideStart(now)...)
	}
	if co.state == nil {
		return co.candidate(now, bn, mg.Seal)
	}
	rc := narrow
	if isObject(mg.Source) {
		rc = wide
	}
	return co.enforce(now, bn, mg.Seal, rc)
}

// isKnown tells whether a version is in force or about to be.
func (co *Core) isKnown(vs bundle.Version) bool {
	if co.state == nil {
		return co.start.best != nil && vs <= co.start.best.Bundle.Version
	}
	return vs == co.version()
}

// fetchNext turns to a remembered offer once a fetch has ended; those that are
// no longer higher are forgotten.
func (co *Core) fetchNext() []Cmd {
	for len(co.pending) > 0 && co.fetches < maxFetches {
		of := co.pending[0]
		co.pending = co.pending[1:]
		if of.version <= co.version() {
			continue
		}
		if cmds := co.fetchPeer(of); len(cmds) > 0 {
			return cmds
		}
	}
	return nil
}

// enforce puts a bundle in force and tells others; it is a higher one, or the
// same under another census.
func (co *Core) enforce(now clock.Instant, bn *bundle.Bundle, sl bundle.Seal, rc reach) []Cmd {
	co.state = &State{Bundle: bn, Seal: sl, Effective: bundle.WithCensus(bn, co.census.entries())}
	co.poller = co.isPoller()
	return append([]Cmd{InForceCmd{State: co.state}}, co.spread(now, rc)...)
}
