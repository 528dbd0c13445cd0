package domain_test

import (
	"fmt"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/domain"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
	"chervilwalk/internal/stand/timeline"
)

const (
	tickEvery = 25 * time.Millisecond
	keepFor   = 1500 * time.Millisecond
	// parts is how many slices each service has.
	parts = 4
)

var line = lease.Default()

var services = []ident.Service{"yielding", "keeping"}

// part is one slice of a service.
type part struct {
	service ident.Service
	number  int
}

// row is one row of the fake table.
type row struct {
	version table.Version
	term    uint64
	attempt string
	charter domain.Charter
	owners  map[int]ident.Domain
}

// leader is one process that leads or led a domain.
type leader struct {
	name   ident.Domain
	core   *domain.Core
	rate   float64
	offset time.Duration
	watch  lease.Watch
	term   uint64
	lead   domain.Lead
	paused bool
	gone   bool
	held   []func()
	// rows are the slices that it knows, as of the core's recovery count.
	rows      map[ident.Service]map[int]ident.Domain
	recovered uint64
	leases    map[part]clock.Instant
	nextRenew clock.Instant
	nextRead  clock.Instant
	nextInner clock.Instant
}

// world is a few domains with one leader each, a table, and faults.
type world struct {
	line    *timeline.Line
	rand    func(limit int) int
	names   []ident.Domain
	now     map[ident.Domain]*leader
	all     []*leader
	table   map[string]*row
	bundle  *bundle.Bundle
	down    bool
	lose    bool
	noTable map[ident.Domain]bool
	cut     map[[2]ident.Domain]bool
	change  func(*domain.Core)
	problem string
	writes  int
	// lastInner is when the last leader of a domain surely leads no more.
	lastInner map[ident.Domain]clock.Instant
	watched   map[ident.Domain]*watch
}

type watch struct {
	version table.Version
	since   clock.Instant
}

func newWorld(domains int, rand func(int) int, change func(*domain.Core)) *world {
	wo := &world{
		line: timeline.New(), rand: rand, now: map[ident.Domain]*leader{}, table: map[string]*row{},
		bundle: &bundle.Bundle{Version: 1}, noTable: map[ident.Domain]bool{}, cut: map[[2]ident.Domain]bool{},
		change: change, lastInner: map[ident.Domain]clock.Instant{}, watched: map[ident.Domain]*watch{},
	}
	for nr := range domains {
		name := ident.Domain(fmt.Sprintf("d%d", nr))
		wo.names = append(wo.names, name)
		wo.bundle.Domains = append(wo.bundle.Domains, bundle.Domain{Name: name})
	}
	wo.bundle.Services = []bundle.Service{
		{Name: services[0], Keyed: true, Slices: parts, WhenCutOff: bundle.Yield},
		{Name: services[1], Keyed: true, Slices: parts, WhenCutOff: bundle.Keep, KeepFor: keepFor},
	}
	for _, sv := range services {
		owners := map[int]ident.Domain{}
		for nr := range parts {
			owners[nr] = wo.names[nr%domains]
		}
		wo.table["slices/"+string(sv)] = &row{version: 1, owners: owners}
	}
	wo.loop()
	return wo
}

func (wo *world) loop() {
	for _, name := range wo.names {
		wo.elect(name)
	}
	for _, ld := range wo.all {
		wo.tick(ld)
	}
	wo.check()
	wo.line.After(tickEvery, wo.loop)
}

func (wo *world) run(dr time.Duration) { wo.line.RunUntil(wo.line.Now().Add(dr)) }

func (wo *world) row(key string) *row {
	rw := wo.table[key]
	if rw == nil {
		rw = &row{}
		wo.table[key] = rw
	}
	return rw
}

// elect makes a new leader where there is none, once the term's row was
// unchanged for a lease and the last leader's hosts have released it.
// post runs something in a leader's process, after its pause if it is paused.
func (wo *world) post(ld *leader, run func()) {
	switch {
	case ld.gone:
	case ld.paused:
		ld.held = append(ld.held, run)
	default:
		run()
	}
}

func (wo *world) tell(ld *leader, msg domain.Msg) {
	wo.post(ld, func() {
		for _, cmd := range ld.core.Update(ld.watch.At(ld.local(wo.line.Now())), msg) {
			wo.do(ld, cmd)
		}
	})
}

func (wo *world) delay() time.Duration {
	if wo.rand(20) == 0 {
		return time.Duration(wo.rand(900)) * time.Millisecond
	}
	return time.Duration(1+wo.rand(4)) * time.Millisecond
}

func pair(left, right ident.Domain) [2]ident.Domain {
	return [2]ident.Domain{min(left, right), max(left, right)}
}

func (wo *world) do(ld *leader, cmd domain.Cmd) {
	switch cm := cmd.(type) {
	case domain.SendCmd:
		for copies := 1 + wo.rand(15)/14; copies > 0; copies-- {
			wo.line.After(wo.delay(), func() {
				if to := wo.now[cm.To]; to != nil && !wo.cut[pair(ld.name, cm.To)] {
					wo.tell(to, cm.Msg)
				}
			})
		}
	case domain.ReadCmd:
		wo.ask(ld, func() (func(), table.Outcome) {
			term, charter := *wo.row(domain.TermRow(cm.Domain)), *wo.row(domain.CharterRow(cm.Domain))
			msg := domain.RowsMsg{
				Domain: cm.Domain, Term: term.version, Attempt: term.attempt,
				CharterVersion: charter.version, Charter: charter.charter,
			}
			return func() { wo.tell(ld, msg) }, table.Done
		}, func(table.Outcome) {})
	case domain.CharterCmd:
		wo.ask(ld, func() (func(), table.Outcome) {
			rw := wo.row(domain.CharterRow(ld.name))
			if rw.version != cm.Base {
				return nil, table.Conflict
			}
			rw.version, rw.charter = rw.version+1, cm.Charter
			return nil, table.Done
		}, func(oc table.Outcome) { wo.tell(ld, domain.CharterMsg{Cmd: cm, Outcome: oc}) })
	case domain.TakeCmd:
		var version table.Version
		wo.ask(ld, func() (func(), table.Outcome) {
			var oc table.Outcome
			version, oc = wo.take(cm)
			return nil, oc
		}, func(oc table.Outcome) { wo.tell(ld, domain.TakenMsg{Cmd: cm, Outcome: oc, Term: version}) })
	}
}

// ask runs an operation at the table, if it gets there, and answers with its
// outcome; an answer may be lost or the operation late.
func (wo *world) ask(ld *leader, effect func() (func(), table.Outcome), answer func(table.Outcome)) {
	lost := wo.lose && wo.rand(2) == 0
	wo.line.After(wo.delay(), func() {
		if wo.down || wo.noTable[ld.name] {
			answer(table.Unknown)
			return
		}
		reply, oc := effect()
		wo.line.After(wo.delay(), func() {
			if lost {
				answer(table.Unknown)
				return
			}
			if reply != nil {
				reply()
			}
			answer(oc)
		})
	})
}

// take carries out a takeover: all versions are compared, then the fence and
// the moved slices are written.
func (wo *world) take(cm domain.TakeCmd) (table.Version, table.Outcome) {
	term := wo.row(domain.TermRow(cm.Domain))
	if term.version != cm.Term {
		return 0, table.Conflict
	}
	for _, ck := range cm.Checks {
		if wo.row(domain.CharterRow(ck.Domain)).version != ck.Version {
			return 0, table.Conflict
		}
	}
	if !wo.owns(cm.Domain, cm.Services) {
		return term.version, table.Done
	}
	term.version, term.attempt = term.version+1, cm.Attempt
	for _, sv := range cm.Services {
		rw := wo.row("slices/" + string(sv))
		for nr := range parts {
			if rw.owners[nr] == cm.Domain {
				rw.owners[nr] = ident.Domain(cm.Attempt[:2])
				rw.version++
			}
		}
	}
	return term.version, table.Done
}

func (wo *world) owns(name ident.Domain, services []ident.Service) bool {
	for _, sv := range services {
		for _, owner := range wo.row("slices/" + string(sv)).owners {
			if owner == name {
				return true
			}
		}
	}
	return false
}

// tick runs a leader's own duties: renewals, promises of its hosts, reading of
// slices, and the leases that it hands to its pools.
// serving lists the domains in which a slice may be served now.
func (wo *world) serving(pt part) []ident.Domain {
	var found []ident.Domain
	seen := map[ident.Domain]bool{}
	for _, ld := range wo.all {
		if ld.local(wo.line.Now()).Before(ld.leases[pt]) && !seen[ld.name] {
			seen[ld.name] = true
			found = append(found, ld.name)
		}
	}
	return found
}

// check is the oracle: no slice has owners in two domains.
func (wo *world) check() {
	for _, sv := range services {
		for nr := range parts {
			if found := wo.serving(part{sv, nr}); len(found) > 1 && wo.problem == "" {
				wo.problem = fmt.Sprintf("at %v %s/%d is served in %v", time.Duration(wo.line.Now()), sv, nr, found)
			}
		}
	}
}

// stop removes a domain's leader: it is gone, or paused until resume.
func (wo *world) stop(name ident.Domain, pause bool) {
	ld := wo.now[name]
	if ld == nil || ld.term == 0 {
		return
	}
	ld.paused, ld.gone = pause, !pause
	wo.lastInner[name] = wo.line.Now().Add(domain.SupportTime + domain.SupportTime/16)
	delete(wo.now, name)
}

func (wo *world) resume() {
	for _, ld := range wo.all {
		if !ld.paused {
			continue
		}
		ld.paused = false
		if wo.now[ld.name] == nil {
			wo.now[ld.name] = ld
		}
		held := ld.held
		ld.held = nil
		for _, run := range held {
			run()
		}
	}
}

// accept puts a changed bundle in force at the leaders that the platform or a
// peer reaches.
func (wo *world) accept(change func(bn *bundle.Bundle)) {
	next := *wo.bundle
	next.Version++
	next.Domains = append([]bundle.Domain(nil), next.Domains...)
	next.Services = append([]bundle.Service(nil), next.Services...)
	change(&next)
	wo.bundle = &next
	for name, ld := range wo.now {
		if !wo.noTable[name] {
			wo.tell(ld, domain.BundleMsg{Bundle: &next})
		}
	}
}

func (wo *world) heal() {
	wo.down, wo.lose = false, false
	clear(wo.noTable)
	clear(wo.cut)
	wo.resume()
	for _, ld := range wo.now {
		wo.tell(ld, domain.BundleMsg{Bundle: wo.bundle})
	}
}

// unserved lists the slices that no domain serves.
func (wo *world) unserved() []part {
	var found []part
	for _, sv := range services {
		for nr := range parts {
			if len(wo.serving(part{sv, nr})) == 0 {
				found = append(found, part{sv, nr})
			}
		}
	}
	return found
}
