package domain_test

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/domain"
	"chervilwalk/internal/platform/table"
)

func (ld *leader) local(at clock.Instant) clock.Instant {
	return clock.Instant(float64(at)*ld.rate) + clock.Instant(ld.offset)
}

func (wo *world) elect(name ident.Domain) {
	key := domain.TermRow(name)
	if ld := wo.now[name]; (ld != nil && ld.term > 0) || wo.noTable[name] || wo.down {
		return
	}
	wt, rw, at := wo.watched[name], wo.row(key), wo.line.Now()
	if wt == nil || wt.version != rw.version {
		wo.watched[name] = &watch{version: rw.version, since: at}
		return
	}
	wait := line.Term + line.Term/16
	if rw.attempt != "" || rw.version == 0 {
		wait = 0
	}
	if at.Before(wt.since.Add(wait)) || at.Before(wo.lastInner[name]) {
		return
	}
	ld := wo.now[name]
	if ld == nil || ld.gone || ld.paused {
		ld = &leader{name: name, core: domain.New(name), leases: map[part]clock.Instant{}}
		ld.rate = 0.99 + float64(wo.rand(21))/1000
		ld.offset = time.Duration(wo.rand(1000)) * time.Second
		wo.change(ld.core)
		wo.all = append(wo.all, ld)
		wo.now[name] = ld
		wo.tell(ld, domain.BundleMsg{Bundle: wo.bundle})
	}
	rw.version, rw.term, rw.attempt = rw.version+1, rw.term+1, ""
	ld.term = rw.term
	local := ld.local(at)
	ld.lead = domain.Lead{Term: ld.term, Inner: local.Add(line.Term), Table: local.Add(line.Term), Row: rw.version}
	wo.tell(ld, domain.LeadMsg{Lead: ld.lead})
}

func (wo *world) tick(ld *leader) {
	if ld.gone || ld.paused {
		return
	}
	at := ld.local(wo.line.Now())
	if ld.term > 0 {
		wo.renew(ld, at)
	}
	wo.tell(ld, domain.TickMsg{})
	if ld.recovered != ld.core.Recovered() {
		ld.recovered, ld.rows, ld.nextRead = ld.core.Recovered(), nil, at
	}
	if ld.term > 0 && !at.Before(ld.nextRead) {
		ld.nextRead = at.Add(250 * time.Millisecond)
		wo.readSlices(ld)
	}
	for sv, owners := range ld.rows {
		until := ld.core.Until(sv)
		for nr, owner := range owners {
			if owner == ld.name && at.Before(until) {
				ld.leases[part{sv, nr}] = until.Add(line.Tail)
			}
		}
	}
}

func (wo *world) renew(ld *leader, at clock.Instant) {
	if at.Before(ld.lead.Inner) && wo.now[ld.name] == ld && !at.Before(ld.nextInner) {
		ld.nextInner = at.Add(100 * time.Millisecond)
		ld.lead.Inner = at.Add(domain.SupportTime)
		wo.tell(ld, domain.LeadMsg{Lead: ld.lead})
	}
	if at.Before(ld.nextRenew) {
		return
	}
	ld.nextRenew = at.Add(200 * time.Millisecond)
	base, term, version := ld.lead.Row, ld.term, table.Version(0)
	wo.ask(ld, func() (func(), table.Outcome) {
		rw := wo.row(domain.TermRow(ld.name))
		version = rw.version
		if rw.term != term || rw.attempt != "" {
			return nil, table.Conflict
		}
		if rw.version != base {
			return nil, table.Failed
		}
		rw.version++
		version = rw.version
		return nil, table.Done
	}, func(oc table.Outcome) {
		wo.post(ld, func() {
			if ld.term != term {
				return
			}
			switch oc {
			case table.Done:
				ld.lead.Row, ld.lead.Table = version, max(ld.lead.Table, at.Add(line.Term))
				ld.lead.Inner = max(ld.lead.Inner, ld.lead.Table)
			case table.Failed:
				ld.lead.Row = max(ld.lead.Row, version)
			case table.Conflict:
				ld.term, ld.lead = 0, domain.Lead{}
			case table.Unknown:
				return
			}
			wo.tell(ld, domain.LeadMsg{Lead: ld.lead})
		})
	})
}

func (wo *world) readSlices(ld *leader) {
	since := ld.recovered
	wo.ask(ld, func() (func(), table.Outcome) {
		rows := map[ident.Service]map[int]ident.Domain{}
		for _, sv := range services {
			owners := map[int]ident.Domain{}
			for nr, owner := range wo.row("slices/" + string(sv)).owners {
				owners[nr] = owner
			}
			rows[sv] = owners
		}
		return func() {
			wo.post(ld, func() {
				if ld.recovered == since {
					ld.rows = rows
				}
			})
		}, table.Done
	}, func(table.Outcome) {})
}
