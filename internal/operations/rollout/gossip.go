package rollout

import (
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/platform/census"
)

// notice fetches from a peer that has a higher version, and takes its census
// when that is newer.
func (co *Core) notice(now clock.Instant, mg NoticeMsg) []Cmd {
	if co.state == nil {
		return nil
	}
	cmds := co.learnLeaving(now, mg.Leaving, narrow)
	if mg.Version <= co.version() {
		return cmds
	}
	peer := mg.Peer
	if ho, ok := co.state.Bundle.Host(mg.From); ok {
		peer = ho.Inner
	}
	if peer == "" {
		return cmds
	}
	return append(cmds, co.fetchPeer(offer{peer: peer, version: mg.Version})...)
}

// neighbours lists a bundle's other hosts in random order: those of the node's
// own domain, and the rest.
func (co *Core) neighbours(bn *bundle.Bundle) (near, far []bundle.Host) {
	for _, ho := range bn.Hosts {
		switch {
		case ho.Name == co.settings.Host:
		case ho.Domain == co.settings.Domain:
			near = append(near, ho)
		default:
			far = append(far, ho)
		}
	}
	co.shuffle(near)
	co.shuffle(far)
	return near, far
}

func (co *Core) shuffle(list []bundle.Host) {
	co.random.Shuffle(len(list), func(left, right int) { list[left], list[right] = list[right], list[left] })
}

// reach says how far a node spreads what it has learned.
type reach int

const (
	// narrow tells a few hosts of the own domain and one of another.
	narrow reach = iota
	// wide tells one host of every other domain; those do so who have learned
	// from the platform, since a domain may not reach it.
	wide
)

// spread tells a few hosts of the own domain and some of others.
func (co *Core) spread(now clock.Instant, rc reach) []Cmd {
	near, far := co.neighbours(co.state.Bundle)
	targets := near[:min(len(near), fanOut)]
	told := map[ident.Domain]bool{}
	for _, ho := range far {
		if told[ho.Domain] || rc == narrow && len(told) > 0 {
			continue
		}
		told[ho.Domain] = true
		targets = append(targets, ho)
	}
	var cmds []Cmd
	for _, ho := range targets {
		cmds = append(cmds, co.tell(now, ho.Inner))
	}
	return cmds
}

// exchange tells one host, whose answer shows its own version; a lost notice
// is made good this way.
func (co *Core) exchange(now clock.Instant) []Cmd {
	near, far := co.neighbours(co.state.Bundle)
	if len(near) == 0 || len(far) > 0 && co.random.IntN(awayPart) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return []Cmd{co.tell(now, near[0].Inner)}
}

func (co *Core) tell(now clock.Instant, peer string) Cmd {
	return NoticeCmd{Peer: peer, Version: co.version(), Leaving: co.census.share(now)}
}

// Leaving returns what this node knows of the census, for its answers.
func (co *Core) Leaving(now clock.Instant) Leaving {
	return co.census.share(now)
}

// leavingList is the newest known reading of the census.
type leavingList struct {
	known bool
	hosts []ident.Host
	// readAt is when the platform was read, on this node's clock.
	readAt clock.Instant
}

// censusStep is how much newer a peer's reading must be to replace one.
const censusStep = 200 * time.Millisecond

func (ll *leavingList) entries() []census.Entry {
	var list []census.Entry
	for _, ho := range ll.hosts {
		list = append(list, census.Entry{Host: ho, State: census.Leaving})
	}
	return list
}

func (ll *leavingList) share(now clock.Instant) Leaving {
	return Leaving{Known: ll.known, Hosts: ll.hosts, Age: now.Sub(ll.readAt)}
}

// counted takes a reading of the census.
func (co *Core) counted(now clock.Instant, mg CensusMsg) []Cmd {
	if mg.Err != nil || co.state == nil {
		return nil
	}
	var hosts []ident.Host
	for _, en := range mg.Entries {
		if en.State == census.Leaving {
			hosts = append(hosts, en.Host)
		}
	}
	slices.Sort(hosts)
	return co.learnLeaving(now, Leaving{Known: true, Hosts: hosts}, wide)
}

// learnLeaving takes a newer reading; a different list goes in force at once
// and is spread.
func (co *Core) learnLeaving(now clock.Instant, lv Leaving, rc reach) []Cmd {
	readAt := now.Add(-lv.Age)
	if !lv.Known || co.census.known && readAt.Sub(co.census.readAt) < censusStep {
		return nil
	}
	changed := !slices.Equal(lv.Hosts, co.census.hosts)
	co.census = leavingList{known: true, hosts: lv.Hosts, readAt: readAt}
	if !changed {
		return nil
	}
	return co.enforce(now, co.state.Bundle, co.state.Seal, rc)
}
