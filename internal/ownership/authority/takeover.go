package authority

import (
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/domain"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/ownership/slice"
	"chervilwalk/internal/ownership/term"
	"chervilwalk/internal/platform/table"
)

// domainTag marks the table operations of the leader among the domains.
const domainTag = "domain"

// readDomain reads a domain's term and then its charter.
func (co *Core) readDomain(now lease.Moment, dm ident.Domain) Cmd {
	mg := domain.RowsMsg{Domain: dm}
	return co.request(now, exchange.TableCmd{Key: domain.TermRow(dm)}, func(at lease.Moment, rs table.Result) []Cmd {
		if !oneRow(rs) {
			return nil
		}
		mg.Term = rs.Rows[0].Version
		if rw, err := term.DecodeRow(rs.Rows[0].Value); err == nil && mg.Term > 0 {
			mg.Attempt = rw.FencedBy()
		}
		return []Cmd{co.readCharter(at, mg)}
	})
}

func (co *Core) readCharter(now lease.Moment, mg domain.RowsMsg) Cmd {
	return co.request(now, exchange.TableCmd{Key: domain.CharterRow(mg.Domain)}, func(at lease.Moment, rs table.Result) []Cmd {
		if !oneRow(rs) {
			return nil
		}
		mg.CharterVersion = rs.Rows[0].Version
		if mg.CharterVersion > 0 {
			ch, err := domain.DecodeCharter(rs.Rows[0].Value)
			if err != nil {
				return nil
			}
			mg.Charter = ch
		}
		return co.fromDomains(at, co.domains.core.Update(at, mg))
	})
}

func oneRow(rs table.Result) bool {
	return rs.Outcome == table.Done && len(rs.Rows) == 1
}

func (co *Core) writeCharter(now lease.Moment, cm domain.CharterCmd) Cmd {
	value := domain.EncodeCharter(cm.Charter)
	writes := []table.Write{{Key: domain.CharterRow(co.domain), Base: cm.Base, Value: value}}
	return co.request(now, exchange.TableCmd{Writes: writes}, func(at lease.Moment, rs table.Result) []Cmd {
		return co.fromDomains(at, co.domains.core.Update(at, domain.CharterMsg{Cmd: cm, Outcome: rs.Outcome}))
	})
}

// takeOver fences a lost domain and gives its slices of some services to the
// pools that are left, in one transaction.
func (co *Core) takeOver(now lease.Moment, cm domain.TakeCmd) []Cmd {
	writes, places := co.takenPlaces(now, cm)
	if len(places) == 0 {
		return co.took(now, cm, table.Done, cm.Term)
	}
	read := exchange.TableCmd{Key: domain.TermRow(cm.Domain)}
	return []Cmd{co.request(now, read, func(at lease.Moment, rs table.Result) []Cmd {
		if !oneRow(rs) || rs.Rows[0].Version != cm.Term {
			return co.took(at, cm, table.Conflict, 0)
		}
		old, err := term.DecodeRow(rs.Rows[0].Value)
		if err != nil {
			return co.took(at, cm, table.Failed, 0)
		}
		fence := table.Write{Key: domain.TermRow(cm.Domain), Base: cm.Term, Value: term.EncodeRow(term.Fence(old, cm.Attempt))}
		return []Cmd{co.request(at, exchange.TableCmd{Writes: append(writes, fence)}, func(then lease.Moment, rs table.Result) []Cmd {
			return co.takenOver(then, cm, places, rs.Outcome)
		})}
	})}
}

// takenPlaces are the rows with the lost domain's slices given to others, and
// the charters that the proof rests on.
func (co *Core) takenPlaces(now lease.Moment, cm domain.TakeCmd) ([]table.Write, []exchange.Place) {
	var writes []table.Write
	var places []exchange.Place
	for _, name := range cm.Services {
		sv, ok := co.bundle.Service(name)
		pc := co.places.rows[name]
		if !ok || pc.version == 0 {
			continue
		}
		targets := co.targets(sv, pc.row, func(pl bundle.Pool) bool {
			return pl.Domain == co.domain || (pl.Domain != cm.Domain && co.domains.core.Heard(now, pl.Domain, unheardTime))
		})
		row, moved := vacate(name, pc.row, cm.Domain, targets)
		if !moved {
			continue
		}
		value := pool.EncodePlace(row)
		writes = append(writes, table.Write{Key: pool.PlaceKey(name), Base: pc.version, Value: value})
		places = append(places, exchange.Place{Service: name, Version: pc.version + 1, Value: value})
	}
	for _, ck := range cm.Checks {
		value := domain.EncodeCharter(ck.Charter)
		writes = append(writes, table.Write{Key: domain.CharterRow(ck.Domain), Base: ck.Version, Value: value})
	}
	return writes, places
}

// vacate gives a domain's slices their homes among the targets.
func vacate(sv ident.Service, row pool.PlaceRow, lost ident.Domain, targets []slice.Target[ident.Pool]) (pool.PlaceRow, bool) {
	next := pool.PlaceRow{Pools: append([]ident.Pool(nil), row.Pools...)}
	moved := false
	for sl, name := range row.Pools {
		if name.Domain() != lost {
			continue
		}
		if home, ok := slice.Home(string(sv), slice.Item{Slice: ident.Slice(sl)}.String(), targets); ok {
			next.Pools[sl], moved = home, true
		}
	}
	return next, moved
}

// takenOver tells the outcome to the domain core and the new rows to everyone.
func (co *Core) takenOver(now lease.Moment, cm domain.TakeCmd, places []exchange.Place, oc table.Outcome) []Cmd {
	var cmds []Cmd
	for _, pc := range places {
		if oc == table.Done {
			cmds = append(cmds, co.learnPlace(now, pc)...)
			cmds = append(cmds, co.spreadPlace(pc)...)
			continue
		}
		cmds = append(cmds, co.readPlace(now, pc.Service))
	}
	return append(cmds, co.took(now, cm, oc, cm.Term+1)...)
}

func (co *Core) took(now lease.Moment, cm domain.TakeCmd, oc table.Outcome, version table.Version) []Cmd {
	return co.fromDomains(now, co.domains.core.Update(now, domain.TakenMsg{Cmd: cm, Outcome: oc, Term: version}))
}

// request runs a table operation whose result goes to a function.
func (co *Core) request(now lease.Moment, cm exchange.TableCmd, reply func(lease.Moment, table.Result) []Cmd) Cmd {
	cm.Tag = domainTag
	return co.start(now, &operation{command: cm, reply: reply})
}
