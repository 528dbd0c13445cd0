package domain

import (
	"cmp"
	"slices"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/platform/table"
)

// lapse notes that the cover has ended. Promises alone never restore it: only
// a renewal of the term's row shows that no other domain has taken over.
func (co *Core) lapse(now clock.Instant) {
	if !now.Before(co.cover) {
		co.lapsed = true
	}
}

// extend sets the end of the cover from the table and the promises.
func (co *Core) extend() {
	if co.lapsed {
		return
	}
	co.cover = max(co.cover, co.lead.Table, co.carried())
}

// carried is when the promises that count fall below the quorum, by every
// charter that may be in force; 0 before the charter is confirmed.
func (co *Core) carried() clock.Instant {
	if !co.book.confirmed {
		return 0
	}
	until := co.carriedBy(co.book.inForce)
	if co.book.pending != nil {
		until = min(until, co.carriedBy(*co.book.pending))
	}
	return until
}

func (co *Core) carriedBy(ch Charter) clock.Instant {
	need := co.rules.quorum(len(ch.Voters)).Support
	if need == 0 {
		return clock.Never
	}
	ends := make([]clock.Instant, 0, len(ch.Voters))
	for _, dm := range ch.Voters {
		if pe := co.peers[dm]; pe != nil {
			ends = append(ends, pe.supports)
		}
	}
	if len(ends) < need {
		return 0
	}
	slices.SortFunc(ends, func(left, right clock.Instant) int { return cmp.Compare(right, left) })
	return ends[need-1]
}

// CutOff tells whether the domain has neither the table nor enough promises.
func (co *Core) CutOff(now clock.Instant) bool {
	return co.lapsed || !now.Before(co.cover)
}

// Until is when the leader's right to a service's slices ends; leases handed
// out end at most LeaseTail later. It is 0 for a node that does not lead.
func (co *Core) Until(sv ident.Service) clock.Instant {
	if co.lead.Term == 0 || co.declaredDark() {
		return 0
	}
	keep := co.book.keep(sv)
	if keep == 0 {
		return min(co.lead.Inner, co.cover)
	}
	if co.cover > clock.Never-clock.Instant(keep) {
		return co.lead.Inner
	}
	return min(co.lead.Inner, co.cover.Add(keep))
}

// Recovered counts how often the cover was restored by the table. Rows read
// before the last time may be stale: another domain may have taken slices over.
func (co *Core) Recovered() uint64 {
	return co.recovered
}

func (co *Core) declaredDark() bool {
	if co.bundle == nil {
		return false
	}
	dm, ok := co.bundle.Domain(co.own)
	return ok && dm.Dark
}

func (co *Core) beat(now clock.Instant) []Cmd {
	var cmds []Cmd
	for _, dm := range co.names() {
		cmds = append(cmds, SendCmd{To: dm, Msg: HeartbeatMsg{From: co.own, Term: co.lead.Term, Reading: now, Row: co.lead.Row}})
	}
	return cmds
}

// hear takes a heartbeat and promises support, unless the domain was released
// or this one has retired.
func (co *Core) hear(now clock.Instant, mg HeartbeatMsg) []Cmd {
	pe := co.peer(now, mg.From)
	pe.heard = now
	pe.see(now, mg.Row)
	if pe.challenge != nil && !pe.dark {
		pe.challenge = nil
	}
	if !co.leads(now) || !co.votes() || now.Before(pe.barred) {
		return nil
	}
	pe.bound = max(pe.bound, now.Add(co.rules.bound))
	return []Cmd{SendCmd{To: mg.From, Msg: SupportMsg{From: co.own, Term: mg.Term, Until: mg.Reading.Add(SupportTime)}}}
}

// votes tells whether the domain may give promises: its charter says so, and
// it is neither dark nor about to retire.
func (co *Core) votes() bool {
	if !co.book.confirmed || co.book.inForce.Retired || co.retiring() {
		return false
	}
	return co.book.pending == nil || !co.book.pending.Retired
}

// retiring tells whether the domain was taken out and owns no slices any more.
func (co *Core) retiring() bool {
	if co.bundle == nil {
		return false
	}
	dm, ok := co.bundle.Domain(co.own)
	return ok && (dm.Dark || (dm.Out && co.empty))
}

// see notes a newer version of the domain's term row, which ends every proof.
func (pe *peer) see(now clock.Instant, row table.Version) {
	if row > pe.row {
		pe.row, pe.rowSince = row, now
		if pe.challenge != nil {
			pe.challenge.read, pe.challenge.isProof, pe.challenge.fenced = false, false, false
		}
	}
}

// support counts a promise that was made to this leader.
func (co *Core) support(mg SupportMsg) {
	if pe := co.peers[mg.From]; pe != nil && mg.Term == co.lead.Term {
		pe.supports = max(pe.supports, mg.Until)
		co.extend()
	}
}

// release answers a challenger once the last promise has surely ended.
func (co *Core) release(now clock.Instant, mg AskReleaseMsg) []Cmd {
	pe := co.peers[mg.About]
	if pe == nil || !co.leads(now) || now.Before(pe.bound) {
		return nil
	}
	pe.barred = max(pe.barred, now.Add(stretch(ReleaseTime)))
	return []Cmd{SendCmd{To: mg.From, Msg: ReleaseMsg{From: co.own, Term: mg.Term, About: mg.About, Until: mg.Reading.Add(ReleaseTime)}}}
}

// write brings the own charter in line with the bundle. A term begins by
// writing it, which ends whatever an earlier leader may still have under way.
func (co *Core) write(now clock.Instant) []Cmd {
	if now.Before(co.nextBook) || !now.Before(co.lead.Table) {
		return nil
	}
	co.nextBook = now.Add(bookEvery)
	if !co.book.read {
		return []Cmd{ReadCmd{Domain: co.own}}
	}
	if co.book.pending == nil {
		want, ok := co.wanted(now)
		if !ok {
			return nil
		}
		co.book.pending = &want
	}
	return []Cmd{CharterCmd{Base: co.book.version, Charter: *co.book.pending}}
}

// wanted is the charter to write; false when none is due.
func (co *Core) wanted(now clock.Instant) (Charter, bool) {
	want := charterOf(co.bundle, co.own)
	want.Retired = co.retiring() && co.unbound(now)
	if !co.book.confirmed {
		want.Retired = want.Retired || co.book.inForce.Retired
		return want, true
	}
	if co.retiring() && !want.Retired {
		return Charter{}, false
	}
	return want, !want.equal(co.book.inForce)
}

// unbound tells whether no promise of this domain counts anywhere.
func (co *Core) unbound(now clock.Instant) bool {
	for _, pe := range co.peers {
		if now.Before(pe.bound) {
			return false
		}
	}
	return true
}

// recorded takes the outcome of writing the charter. All but Done is settled
// by reading or by writing again; until then both charters bind.
func (co *Core) recorded(mg CharterMsg) []Cmd {
	if co.book.pending == nil || mg.Cmd.Base != co.book.version {
		return nil
	}
	switch mg.Outcome {
	case table.Done:
		co.book.inForce, co.book.version, co.book.pending = *co.book.pending, mg.Cmd.Base+1, nil
		co.book.confirmed = true
		co.extend()
		return nil
	case table.Conflict:
		return []Cmd{ReadCmd{Domain: co.own}}
	default:
		return nil
	}
}

// learnOwn takes what the own charter's row holds. A version that is not newer
// settles nothing: a write that is under way may still take effect.
func (co *Core) learnOwn(mg RowsMsg) {
	if co.book.read && mg.CharterVersion <= co.book.version {
		return
	}
	co.book = book{read: true, version: mg.CharterVersion, inForce: mg.Charter}
	co.extend()
}
