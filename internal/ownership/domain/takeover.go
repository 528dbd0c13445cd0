package domain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
)

// challenge is an attempt to take over the slices of a lost domain.
type challenge struct {
	next clock.Instant
	// read tells that the domain's rows were read during this challenge.
	read     bool
	fenced   bool
	releases map[ident.Domain]clock.Instant
	// proven is since when the domain surely goes on no more.
	proven  clock.Instant
	isProof bool
	// sent holds the attempts whose fate is not known, and pending the last.
	sent    map[string][]ident.Service
	pending string
	taken   map[ident.Service]bool
}

func newChallenge() *challenge {
	return &challenge{
		releases: map[ident.Domain]clock.Instant{},
		sent:     map[string][]ident.Service{},
		taken:    map[ident.Service]bool{},
	}
}

// pursue carries on the challenge of one domain.
func (co *Core) pursue(now lease.Moment, dm ident.Domain, pe *peer) []Cmd {
	if !co.due(now, dm, pe) {
		return nil
	}
	if pe.challenge == nil {
		pe.challenge = newChallenge()
	}
	ch := pe.challenge
	co.prove(now, pe)
	if now.Steady.Before(ch.next) || ch.pending != "" {
		return nil
	}
	if !ch.isProof {
		ch.next = now.Steady.Add(retryEvery)
		return co.ask(now, dm)
	}
	return co.take(now, dm, pe)
}

// due tells whether the own domain should challenge another one: it has the
// table, is in service, and hears nothing; the domains go one after the other. A
// domain whose hosts are up gets the time for an election of its own.
func (co *Core) due(now lease.Moment, dm ident.Domain, pe *peer) bool {
	if !now.Now.Before(co.lead.Table) || co.lapsed || !co.votes() || !co.listed(dm) {
		return false
	}
	if own, ok := co.bundle.Domain(co.own); !ok || own.Out {
		return false
	}
	wait := suspectAfter + time.Duration(co.rank(now, dm))*rankDelay
	if now.Steady.Before(pe.alive.Add(aliveTime)) {
		wait = max(wait, electionTime)
	}
	return pe.dark || !now.Steady.Before(pe.heard.Add(wait))
}

func (co *Core) listed(dm ident.Domain) bool {
	_, ok := co.bundle.Domain(dm)
	return ok
}

// rank is the own place, by weight for the lost domain, among the domains in
// service that are heard.
func (co *Core) rank(now lease.Moment, lost ident.Domain) int {
	rank := 0
	own := ident.Weight(string(lost), string(co.own))
	for _, dm := range co.bundle.Domains {
		pe := co.peers[dm.Name]
		if pe == nil || dm.Name == lost || dm.Out || dm.Dark || !now.Steady.Before(pe.heard.Add(suspectAfter)) {
			continue
		}
		if ident.Weight(string(lost), string(dm.Name)) > own {
			rank++
		}
	}
	return rank
}

// ask reads the rows that a takeover rests on, and asks for releases.
func (co *Core) ask(now lease.Moment, lost ident.Domain) []Cmd {
	cmds := []Cmd{ReadCmd{Domain: lost}}
	for _, dm := range co.names() {
		if dm == lost {
			continue
		}
		if out, ok := co.bundle.Domain(dm); ok && out.Out {
			cmds = append(cmds, ReadCmd{Domain: dm})
		}
		cmds = append(cmds, SendCmd{To: dm, Msg: AskReleaseMsg{From: co.own, Term: co.lead.Term, About: lost, Reading: now.Now}})
	}
	return cmds
}

// learn takes what was read of a domain's rows.
func (co *Core) learn(now lease.Moment, mg RowsMsg) {
	if mg.Domain == co.own {
		co.learnOwn(mg)
		return
	}
	pe := co.peers[mg.Domain]
	if pe == nil || mg.Term < pe.row {
		return
	}
	newer, next := mg.Term > pe.row, mg.Term == pe.row+1
	ch := pe.challenge
	proven := ch != nil && ch.isProof
	pe.see(now, mg.Term)
	co.file(pe, mg)
	if ch == nil {
		return
	}
	ch.read, ch.fenced = true, mg.Attempt != ""
	if !newer {
		return
	}
	// A fence right after the version of the proof leaves the proof as it is: the
	// domain renewed nothing in between.
	ch.isProof = proven && next && ch.fenced
	services, own := ch.sent[mg.Attempt]
	if !own {
		clear(ch.taken)
	}
	ch.mark(services)
}

// file keeps what was read of a charter. A change of it ends the proofs that are
// not yet sealed by a fence, since any of them may rest on it.
func (co *Core) file(pe *peer, mg RowsMsg) {
	if mg.CharterVersion <= pe.charterVersion {
		return
	}
	pe.charter, pe.charterVersion = mg.Charter, mg.CharterVersion
	for _, other := range co.peers {
		if ch := other.challenge; ch != nil && !ch.fenced {
			ch.isProof = false
		}
	}
}

// mark notes services as taken over.
func (ch *challenge) mark(services []ident.Service) {
	for _, sv := range services {
		ch.taken[sv] = true
	}
}

func (co *Core) collect(mg ReleaseMsg) {
	if pe := co.peers[mg.About]; pe != nil && pe.challenge != nil && mg.Term == co.lead.Term {
		pe.challenge.releases[mg.From] = mg.Until
	}
}

// prove notes the instant from which the lost domain surely goes on no more:
// its renewal has ended, and too few voters are left to carry it.
func (co *Core) prove(now lease.Moment, pe *peer) {
	ch := pe.challenge
	if ch.isProof || !ch.read {
		return
	}
	if pe.dark || ch.fenced {
		ch.isProof, ch.proven = true, now.Steady
		return
	}
	if now.Steady.Before(pe.rowSince.Add(co.rules.termLease)) || pe.charterVersion == 0 {
		return
	}
	need := co.rules.quorum(len(pe.charter.Voters)).Releases
	if co.released(now, pe) >= need {
		ch.isProof, ch.proven = true, now.Steady
	}
}

// released counts the voters of a lost domain that do not support it now.
func (co *Core) released(now lease.Moment, lost *peer) int {
	count := 0
	for _, dm := range lost.charter.Voters {
		if co.isReleased(now, dm, lost) {
			count++
		}
	}
	return count
}

func (co *Core) isReleased(now lease.Moment, voter ident.Domain, lost *peer) bool {
	if voter == co.own {
		if now.Steady.Before(lost.bound) {
			return false
		}
		lost.free(now, co.rules)
		return true
	}
	pe := co.peers[voter]
	if pe == nil {
		return false
	}
	if pe.charter.Retired || (pe.dark && !now.Steady.Before(pe.darkSince.Add(co.rules.bound))) {
		return true
	}
	return now.Now.Before(lost.challenge.releases[voter])
}

// take moves the services whose time has come: yielded ones once the pools'
// leases have ended, kept ones after their keep as well.
func (co *Core) take(now lease.Moment, dm ident.Domain, pe *peer) []Cmd {
	ch := pe.challenge
	var ready []ident.Service
	for ix := range co.bundle.Services {
		sv := &co.bundle.Services[ix]
		if sv.Keyed && !ch.taken[sv.Name] && !now.Steady.Before(ch.proven.Add(co.waitFor(pe, sv))) {
			ready = append(ready, sv.Name)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	co.attempts++
	cmd := TakeCmd{
		Attempt:  fmt.Sprintf("%s/%d/%d", co.own, co.lead.Term, co.attempts),
		Domain:   dm,
		Term:     pe.row,
		Checks:   co.checks(dm, pe),
		Services: ready,
	}
	ch.pending = cmd.Attempt
	ch.sent[cmd.Attempt] = ready
	return []Cmd{cmd}
}

// waitFor is the time from the proof to the takeover of a service.
func (co *Core) waitFor(pe *peer, sv *bundle.Service) time.Duration {
	if pe.dark {
		return co.rules.termLease + co.rules.leaseTail
	}
	return co.rules.leaseTail + lease.Longest(pe.charter.Keeps[sv.Name])
}

// checks are the charters that the proof rests on; a fence needs none, since it
// shows by itself that the domain stopped.
func (co *Core) checks(lost ident.Domain, pe *peer) []Check {
	if pe.challenge.fenced {
		return nil
	}
	list := []Check{{Domain: lost, Version: pe.charterVersion, Charter: pe.charter}}
	for _, dm := range pe.charter.Voters {
		if voter := co.peers[dm]; voter != nil && voter.charter.Retired {
			list = append(list, Check{Domain: dm, Version: voter.charterVersion, Charter: voter.charter})
		}
	}
	slices.SortFunc(list, func(left, right Check) int { return cmp.Compare(left.Domain, right.Domain) })
	return list
}

// taken takes the outcome of a takeover. All but Done is settled by reading the
// rows anew; trying again meanwhile is safe, since both tries rest on the same
// version of the term's row.
func (co *Core) taken(now lease.Moment, mg TakenMsg) []Cmd {
	pe := co.peers[mg.Cmd.Domain]
	if pe == nil || pe.challenge == nil || pe.challenge.pending != mg.Cmd.Attempt {
		return nil
	}
	ch := pe.challenge
	ch.pending = ""
	ch.next = now.Steady.Add(retryEvery)
	if mg.Outcome != table.Done {
		return co.ask(now, mg.Cmd.Domain)
	}
	ch.mark(mg.Cmd.Services)
	pe.row, pe.rowSince = max(pe.row, mg.Term), now.Steady
	ch.fenced = true
	return nil
}
