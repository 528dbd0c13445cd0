package rollout_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/rollout"
	"chervilwalk/internal/platform/census"
	"chervilwalk/internal/platform/object"
	"chervilwalk/internal/platform/table"
	"chervilwalk/internal/stand/timeline"
)

var errSilent = errors.New("silent")

const (
	tickEvery = 20 * time.Millisecond
	oneWay    = 2 * time.Millisecond
	fetchTime = 20 * time.Millisecond
	timeout   = 500 * time.Millisecond
)

// fleet runs cores on a virtual clock over a platform of one row.
type fleet struct {
	line    *timeline.Line
	random  *rand.Rand
	private ed25519.PrivateKey
	keys    []bundle.TrustedKey
	base    *bundle.Bundle
	nodes   map[string]*member
	order   []*member

	rowVersion   table.Version
	row          bundle.Pointer
	objects      map[object.Digest][]byte
	census       []census.Entry
	platformDown bool
	cut          map[ident.Domain]bool
	lossPercent  int

	reads, notices, bodies int
}

// member is one node with what it has had in force.
type member struct {
	core     *rollout.Core
	settings rollout.Settings
	state    *rollout.State
	history  []bundle.Version
	since    clock.Instant
	refused  []rollout.RefuseCmd
	down     bool
	// offer replaces what the node gives to peers.
	offer *bundle.Seal
}

func newFleet(domains, hostsEach int) *fleet {
	seed := sha256.Sum256([]byte("alice"))
	fl := &fleet{
		line: timeline.New(), random: rand.New(rand.NewPCG(1, 2)), private: ed25519.NewKeyFromSeed(seed[:]),
		nodes: map[string]*member{}, objects: map[object.Digest][]byte{},
	}
	public, _ := fl.private.Public().(ed25519.PublicKey)
	fl.keys = []bundle.TrustedKey{{Name: "alice", Public: public}}
	fl.base = &bundle.Bundle{TrustedKeys: fl.keys, Services: []bundle.Service{{
		Name: "orders", DefaultTimeout: time.Second, MaxTimeout: time.Second, MaxBodyBytes: 1,
		Upstreams: []bundle.Upstream{{Name: "o1", Domain: "d0", Address: "10.9.9.9:1", Slots: 2, Connections: 2, ColdLimit: 1}},
	}}}
	for dx := range domains {
		dm := ident.Domain(fmt.Sprintf("d%d", dx))
		fl.base.Domains = append(fl.base.Domains, bundle.Domain{Name: dm, Region: "r"})
		for hx := range hostsEach {
			fl.base.Hosts = append(fl.base.Hosts, bundle.Host{
				Name: ident.Host(fmt.Sprintf("%s-%d", dm, hx)), Domain: dm, Inner: fmt.Sprintf("10.%d.%d.%d:1", dx, hx/200, hx%200+1),
			})
		}
	}
	return fl
}

// seal signs the fleet's bundle at a version.
func (fl *fleet) seal(vs bundle.Version) bundle.Seal {
	bn := *fl.base
	bn.Version = vs
	body, err := bundle.Format(&bn)
	if err != nil {
		panic(err)
	}
	return bundle.Sign(&bn, body, "alice", fl.private)
}

// accept points the row at a version; it may go back, as a platform may.
func (fl *fleet) accept(vs bundle.Version) {
	sl := fl.seal(vs)
	fl.row = bundle.PointerOf(sl)
	fl.objects[fl.row.Digest] = sl.Body
	fl.rowVersion++
}

// startAll starts a node on every host.
func (fl *fleet) startAll() {
	for _, ho := range fl.base.Hosts {
		fl.start(ho)
	}
}

func (fl *fleet) start(ho bundle.Host, peers ...string) *member {
	mb := &member{settings: rollout.Settings{Host: ho.Name, Domain: ho.Domain, Keys: fl.keys, Peers: peers, Seed: 7}}
	mb.core = rollout.New(mb.settings)
	fl.nodes[ho.Inner] = mb
	fl.order = append(fl.order, mb)
	var tick func()
	tick = func() {
		if fl.nodes[ho.Inner] != mb {
			return
		}
		fl.send(mb, 0, rollout.TickMsg{})
		fl.line.After(tickEvery, tick)
	}
	fl.line.After(time.Duration(fl.random.Int64N(int64(tickEvery))), tick)
	return mb
}

func (fl *fleet) run(dr time.Duration) {
	fl.line.RunUntil(fl.line.Now().Add(dr))
}

// send delivers a message after a time and carries out what it causes.
func (fl *fleet) send(mb *member, after time.Duration, msg rollout.Msg) {
	fl.line.After(after, func() {
		if mb.down {
			return
		}
		for _, cmd := range mb.core.Update(fl.line.Now(), msg) {
			fl.do(mb, cmd)
		}
	})
}

func (fl *fleet) do(mb *member, cmd rollout.Cmd) {
	switch cm := cmd.(type) {
	case rollout.ReadRowCmd:
		fl.readRow(mb)
	case rollout.FetchObjectCmd:
		fl.fetchObject(mb, cm)
	case rollout.FetchPeerCmd:
		fl.fetchPeer(mb, cm)
	case rollout.NoticeCmd:
		fl.notify(mb, cm)
	case rollout.ReadCensusCmd:
		if fl.silent(mb) {
			fl.send(mb, timeout, rollout.CensusMsg{Err: errSilent})
			return
		}
		fl.reads++
		fl.send(mb, 2*oneWay, rollout.CensusMsg{Entries: fl.census})
	case rollout.InForceCmd:
		mb.state = cm.State
		mb.history = append(mb.history, cm.State.Bundle.Version)
		mb.since = fl.line.Now()
	case rollout.RestoreCmd:
		if !fl.silent(mb) && cm.Base == fl.rowVersion {
			fl.row = bundle.PointerOf(cm.Seal)
			fl.objects[fl.row.Digest] = cm.Seal.Body
			fl.rowVersion++
		}
	case rollout.RefuseCmd:
		mb.refused = append(mb.refused, cm)
	}
}

// silent tells whether a node gets no answer from the platform.
func (fl *fleet) silent(mb *member) bool {
	return fl.platformDown || fl.cut[mb.settings.Domain]
}

func (fl *fleet) readRow(mb *member) {
	if fl.silent(mb) {
		fl.send(mb, timeout, rollout.RowMsg{Err: errSilent})
		return
	}
	fl.reads++
	fl.send(mb, 2*oneWay, rollout.RowMsg{Base: fl.rowVersion, Pointer: fl.row})
}

func (fl *fleet) fetchObject(mb *member, cm rollout.FetchObjectCmd) {
	body, ok := fl.objects[cm.Pointer.Digest]
	if fl.silent(mb) || !ok {
		fl.send(mb, timeout, rollout.SealMsg{Source: cm.Source(), Err: errSilent})
		return
	}
	fl.reads++
	fl.bodies++
	fl.send(mb, fetchTime, rollout.SealMsg{Source: cm.Source(), Seal: cm.Pointer.Seal(body)})
}

func (fl *fleet) fetchPeer(mb *member, cm rollout.FetchPeerCmd) {
	peer := fl.nodes[cm.Peer]
	if peer == nil || peer.down || peer.state == nil && peer.offer == nil {
		fl.send(mb, 2*oneWay, rollout.SealMsg{Source: cm.Peer, Err: errSilent})
		return
	}
	sl := bundle.Seal{}
	if peer.offer != nil {
		sl = *peer.offer
	} else {
		sl = peer.state.Seal
	}
	if sl.Version <= cm.Known {
		sl = bundle.Seal{Version: sl.Version}
	} else {
		fl.bodies++
	}
	fl.send(mb, fetchTime, rollout.SealMsg{Source: cm.Peer, Seal: sl})
}

// notify delivers a notice and its answer, unless the network loses it.
func (fl *fleet) notify(mb *member, cm rollout.NoticeCmd) {
	fl.notices++
	peer := fl.nodes[cm.Peer]
	if peer == nil || peer.down || fl.random.IntN(100) < fl.lossPercent {
		return
	}
	fl.send(peer, oneWay, rollout.NoticeMsg{From: mb.settings.Host, Version: cm.Version, Leaving: cm.Leaving})
	vs := bundle.Version(0)
	if peer.state != nil {
		vs = peer.state.Bundle.Version
	}
	answer := rollout.NoticeMsg{Peer: cm.Peer, Version: vs, Leaving: peer.core.Leaving(fl.line.Now())}
	fl.send(mb, 2*oneWay, answer)
}

// slowest returns how long after an instant the last node that is up had a
// version in force; false when one has not.
func (fl *fleet) slowest(from clock.Instant, vs bundle.Version) (time.Duration, bool) {
	last := time.Duration(0)
	for _, mb := range fl.nodes {
		if mb.down {
			continue
		}
		if mb.state == nil || mb.state.Bundle.Version != vs {
			return 0, false
		}
		last = max(last, mb.since.Sub(from))
	}
	return last, true
}

// reverted names a node whose version ever fell.
func (fl *fleet) reverted() string {
	for _, mb := range fl.order {
		for ix := 1; ix < len(mb.history); ix++ {
			if mb.history[ix] < mb.history[ix-1] {
				return string(mb.settings.Host)
			}
		}
	}
	return ""
}
