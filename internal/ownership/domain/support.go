package domain

import (
	"cmp"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
)

// lapse notes that the cover has ended. Only two things restore it, because only
// they show that no other domain has taken over: a renewal of the term's row,
// and a quorum of voters that released the domain to nobody since it was
// covered.
func (co *Core) lapse(now lease.Moment) {
	if !now.Now.Before(co.cover) {
		co.lapsed = true
	}
}

// restore ends a lapse by the voters' word. No takeover can have succeeded
// meanwhile, for it needs a release of at least one of them.
func (co *Core) restore(now lease.Moment) {
	if !co.lapsed || !co.leads(now) {
		return
	}
	until := co.carried(co.rules.restores)
	if now.Now.Before(until) {
		co.lapsed, co.cover = false, until
	}
}

// extend sets the end of the cover from the table and the promises.
func (co *Core) extend() {
	if co.lapsed {
		return
	}
	co.cover = max(co.cover, co.lead.Table, co.carried(func(*peer) bool { return true }))
}

// carried is when the promises that count fall below the quorum, by every
// charter that may be in force. A leader that was elected without the table has
// not confirmed its charter; one more promise than the quorum makes good that
// the charter in the table may name one voter more or less.
func (co *Core) carried(counts func(*peer) bool) clock.Instant {
	if !co.book.confirmed {
		if co.bundle == nil {
			return 0
		}
		voters := charterOf(co.bundle, co.own).Voters
		return co.carriedBy(voters, co.rules.quorum(len(voters)).Support+1, counts)
	}
	until := co.carriedByCharter(co.book.inForce, counts)
	if co.book.pending != nil {
		until = min(until, co.carriedByCharter(*co.book.pending, counts))
	}
	return until
}

func (co *Core) carriedByCharter(ch Charter, counts func(*peer) bool) clock.Instant {
	return co.carriedBy(ch.Voters, co.rules.quorum(len(ch.Voters)).Support, counts)
}

// carriedBy is when fewer than the needed promises are left.
func (co *Core) carriedBy(voters []ident.Domain, need int, counts func(*peer) bool) clock.Instant {
	if need == 0 || len(voters) == 0 {
		return clock.Never
	}
	ends := make([]clock.Instant, 0, len(voters))
	for _, dm := range voters {
		if pe := co.peers[dm]; pe != nil && counts(pe) {
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
func (co *Core) CutOff(now lease.Moment) bool {
	return co.lapsed || !now.Now.Before(co.cover)
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

// Heard tells whether another domain's leader was heard within the time.
func (co *Core) Heard(now lease.Moment, dm ident.Domain, within time.Duration) bool {
	pe := co.peers[dm]
	return pe != nil && now.Steady.Before(pe.heard.Add(within))
}

func (co *Core) declaredDark() bool {
	if co.bundle == nil {
		return false
	}
	dm, ok := co.bundle.Domain(co.own)
	return ok && dm.Dark
}

func (co *Core) beat(now lease.Moment) []Cmd {
	var cmds []Cmd
	for _, dm := range co.names() {
		cmds = append(cmds, SendCmd{To: dm, Msg: HeartbeatMsg{
			From: co.own, Term: co.lead.Term, Reading: now.Now, Row: co.lead.Row,
			Covered: !co.CutOff(now), Echo: co.peers[dm].word,
		}})
	}
	return cmds
}

// hear takes a heartbeat and promises support, unless the domain was released
// or this one has retired.
func (co *Core) hear(now lease.Moment, mg HeartbeatMsg) []Cmd {
	pe := co.peer(now, mg.From)
	pe.heard = now.Steady
	pe.see(now, mg.Row)
	if mg.Covered && mg.Echo.Term == co.lead.Term && pe.released.Before(mg.Echo.Reading) {
		pe.vouched = true
	}
	if pe.challenge != nil && !pe.dark {
		pe.challenge = nil
	}
	if !co.leads(now) || !co.votes() || now.Steady.Before(pe.barred) {
		return nil
	}
	pe.bound = max(pe.bound, now.Steady.Add(co.rules.bound))
	return []Cmd{SendCmd{To: mg.From, Msg: SupportMsg{
		From: co.own, Term: mg.Term, Until: mg.Reading.Add(SupportTime),
		Word: Echo{Term: co.lead.Term, Reading: now.Now}, Vouched: pe.vouched,
	}}}
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
func (pe *peer) see(now lease.Moment, row table.Version) {
	if row > pe.row {
		pe.row, pe.rowSince = row, now.Steady
		if pe.challenge != nil {
			pe.challenge.read, pe.challenge.isProof, pe.challenge.fenced = false, false, false
		}
	}
}

// support counts a promise that was made to this leader.
func (co *Core) support(now lease.Moment, mg SupportMsg) {
	pe := co.peers[mg.From]
	if pe == nil || mg.Term != co.lead.Term || mg.Until < pe.supports {
		return
	}
	pe.supports, pe.vouches, pe.word = mg.Until, mg.Vouched, mg.Word
	co.extend()
	co.restore(now)
}

// release answers a challenger once the last promise has surely ended.
func (co *Core) release(now lease.Moment, mg AskReleaseMsg) []Cmd {
	pe := co.peers[mg.About]
	if pe == nil || !co.leads(now) || now.Steady.Before(pe.bound) {
		return nil
	}
	pe.free(now, co.rules)
	return []Cmd{SendCmd{To: mg.From, Msg: ReleaseMsg{From: co.own, Term: mg.Term, About: mg.About, Until: mg.Reading.Add(ReleaseTime)}}}
}

// free notes a release: no promise for its time, and no word for the domain
// until it was covered after this.
func (pe *peer) free(now lease.Moment, ru rules) {
	pe.barred = max(pe.barred, now.Steady.Add(ru.barred))
	pe.released, pe.vouched = now.Now, false
}

// write brings the own charter in line with the bundle. A term begins by
// writing it, which ends whatever an earlier leader may still have under way.
func (co *Core) write(now lease.Moment) []Cmd {
	if now.Now.Before(co.nextBook) || !now.Now.Before(co.lead.Table) {
		return nil
	}
	co.nextBook = now.Now.Add(bookEvery)
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
func (co *Core) wanted(now lease.Moment) (Charter, bool) {
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
func (co *Core) unbound(now lease.Moment) bool {
	for _, pe := range co.peers {
		if now.Steady.Before(pe.bound) {
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
