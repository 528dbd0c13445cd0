package agent_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/internal/ownership/leader"
	"chervilwalk/internal/ownership/renewal"
	"chervilwalk/internal/peer/protocol"
)

// The world runs the cores of several hosts against a model of the store, the
// network and the upstreams on a virtual clock. Its oracle knows only what the
// upstreams saw: grants and releases as they took effect.

const (
	sampleStep = 1024 // one key in this many is watched
	samples    = keyspace.Count / sampleStep
	service    = ident.Service("lookup")
	pollTime   = 800 * time.Millisecond
	lapseTime  = 2600 * time.Millisecond
	thawTime   = 300 * time.Millisecond
)

type event struct {
	at  clock.Instant
	seq int
	run func()
}

type queue []event

func (qu queue) Len() int { return len(qu) }
func (qu queue) Less(left, right int) bool {
	return qu[left].at < qu[right].at || qu[left].at == qu[right].at && qu[left].seq < qu[right].seq
}
func (qu queue) Swap(left, right int) { qu[left], qu[right] = qu[right], qu[left] }
func (qu *queue) Push(ev any)         { *qu = append(*qu, ev.(event)) }
func (qu *queue) Pop() any {
	last := (*qu)[len(*qu)-1]
	*qu = (*qu)[:len(*qu)-1]
	return last
}

type host struct {
	member    assignment.Member
	core      *agent.Core
	up        bool
	frozen    clock.Instant
	thawedAt  clock.Instant
	wake      clock.Instant
	storeCut  bool
	storeDown bool
}

type upstream struct {
	id     ident.Upstream
	domain ident.Domain
	life   roster.Life
	up     bool
	gone   bool
	downAt clock.Instant
	seen   [samples]keyspace.Epoch
	until  [samples]clock.Instant
}

type world struct {
	now       clock.Instant
	queue     queue
	seq       int
	rng       *rand.Rand
	hosts     []*host
	upstreams []*upstream
	// The store.
	version     election.Version
	row         election.Row
	rowAt       election.Version
	table       *assignment.Table
	tableAt     election.Version
	storeDown   bool
	lostShare   float64
	lateShare   float64
	lateGrants  float64
	slowRelease time.Duration
	// slowShare is the part of the datagrams that take up to four seconds.
	slowShare  float64
	cutDomain  ident.Domain
	healedAt   clock.Instant
	violations []string
	// highest is the highest epoch with which any upstream had a key.
	highest [samples]keyspace.Epoch
	holder  [samples]*upstream
	log     []string
	// hot is the sampled key that gets most of the load.
	hot int
}

func newWorld(seed int64, hosts, upstreams int) *world {
	wd := &world{now: clock.Instant(time.Hour), rng: rand.New(rand.NewSource(seed)), table: &assignment.Table{}}
	domains := []ident.Domain{"a", "b", "c"}
	for ix := range hosts {
		wd.hosts = append(wd.hosts, &host{member: assignment.Member{
			Host: ident.Host(fmt.Sprintf("h%d", ix)), Domain: domains[ix%3], Address: fmt.Sprintf("10.0.0.%d:1", ix+1), Alive: true,
		}})
	}
	for ix := range upstreams {
		wd.upstreams = append(wd.upstreams, &upstream{id: ident.Upstream(fmt.Sprintf("u%d", ix)), domain: domains[ix%3], life: 1, up: true})
	}
	for _, ho := range wd.hosts {
		wd.start(ho)
	}
	return wd
}

func (wd *world) after(wait time.Duration, run func()) {
	wd.seq++
	heap.Push(&wd.queue, event{wd.now.Add(wait), wd.seq, run})
}

func (wd *world) run(span time.Duration) {
	end := wd.now.Add(span)
	for len(wd.queue) > 0 && wd.queue[0].at <= end {
		ev := heap.Pop(&wd.queue).(event)
		wd.now = ev.at
		ev.run()
	}
	wd.now = end
}

func (wd *world) note(format string, args ...any) {
	wd.log = append(wd.log, fmt.Sprintf("%8.3f ", time.Duration(wd.now-clock.Instant(time.Hour)).Seconds())+fmt.Sprintf(format, args...))
}

func (wd *world) start(ho *host) {
	ho.member.Incarnation = uint64(wd.now)
	ho.core, ho.up, ho.frozen = agent.New(ho.member, 0.2), true, 0
	core := ho.core
	wd.after(time.Duration(wd.rng.Intn(200))*time.Millisecond, func() { wd.poll(ho, core) })
	wd.tick(ho, core)
}

func (wd *world) kill(ho *host) { ho.up, ho.core = false, nil }

// tick wakes a host's core whenever it is due.
func (wd *world) tick(ho *host, core *agent.Core) {
	if ho.core != core {
		return
	}
	wd.tell(ho, core, agent.TickMsg{})
	wait := max(core.Next(wd.now).Sub(wd.now), 5*time.Millisecond)
	wd.after(wait, func() { wd.tick(ho, core) })
}

// poll lets a host read the upstreams' entries.
func (wd *world) poll(ho *host, core *agent.Core) {
	if ho.core != core {
		return
	}
	if wd.reachesStore(ho) {
		ms := agent.FleetMsg{Fleet: leader.FleetMsg{Keyed: map[ident.Service]bool{service: true}}, Domains: map[ident.Upstream]ident.Domain{}}
		for _, up := range wd.upstreams {
			listed := up.up || wd.now.Sub(up.downAt) < lapseTime
			ms.Domains[up.id] = up.domain
			if listed {
				ms.Fleet.Upstreams = append(ms.Fleet.Upstreams, leader.Upstream{
					ID: up.id, Service: service, Domain: up.domain, Slots: 2, Life: up.life, Usable: !up.gone, ColdRate: 2,
				})
			}
		}
		wd.tell(ho, core, ms)
	}
	wd.after(pollTime, func() { wd.poll(ho, core) })
}

func (wd *world) delay() time.Duration {
	return time.Duration(500+wd.rng.Intn(2500)) * time.Microsecond
}

// tell gives a message to a core once its host is not frozen.
func (wd *world) tell(ho *host, core *agent.Core, msg any) {
	if ho.core != core {
		return
	}
	if wd.now < ho.frozen {
		wd.after(ho.frozen.Sub(wd.now)+time.Millisecond, func() { wd.tell(ho, core, msg) })
		return
	}
	for _, cmd := range core.Update(wd.now, msg) {
		wd.do(ho, core, cmd)
	}
}

func (wd *world) do(ho *host, core *agent.Core, cmd agent.Cmd) {
	switch cmd := cmd.(type) {
	case agent.ReadCmd:
		wd.read(ho, core)
	case agent.WriteCmd:
		wd.write(ho, core, cmd)
	case agent.CallCmd:
		wd.call(ho, core, cmd)
	case agent.RenewCmd:
		wd.renew(ho, core, cmd, 0)
	case agent.StatusCmd:
		cmd.Status.Keys = wd.load()
		if cmd.To == "" {
			wd.tell(ho, core, agent.StatusMsg{Status: cmd.Status})
			return
		}
		wd.datagram(ho, cmd.To, agent.StatusMsg{Status: cmd.Status, From: ho.member.Address})
	case agent.BeatCmd:
		wd.datagram(ho, cmd.To, agent.BeatMsg{Beat: cmd.Beat, From: ho.member.Address})
	case agent.ViewCmd:
		if cmd.Base != nil {
			wd.datagram(ho, cmd.To, agent.DeltaMsg{Beat: cmd.Beat, Delta: assignment.Diff(cmd.Base, cmd.Table), From: ho.member.Address})
			return
		}
		wd.datagram(ho, cmd.To, agent.ViewMsg{Beat: cmd.Beat, Table: cmd.Table, From: ho.member.Address})
	case agent.EventCmd:
		wd.note("%s %s %v", ho.member.Host, cmd.What, cmd.Fields)
	}
}

// load is a few requests for random keys and many for the hot one.
func (wd *world) load() []protocol.KeyLoad {
	var loads []protocol.KeyLoad
	for range 3 {
		loads = append(loads, protocol.KeyLoad{Service: service, Key: keyspace.Key(wd.rng.Intn(samples) * sampleStep), Count: 1})
	}
	return append(loads, protocol.KeyLoad{Service: service, Key: keyspace.Key(wd.hot * sampleStep), Count: 4})
}

func (wd *world) apart(left, right ident.Domain) bool {
	return wd.cutDomain != "" && (left == wd.cutDomain) != (right == wd.cutDomain)
}

func (wd *world) datagram(from *host, address string, msg any) {
	for _, to := range wd.hosts {
		if to.member.Address != address || !to.up || wd.apart(from.member.Domain, to.member.Domain) || wd.rng.Intn(50) == 0 {
			continue
		}
		core, delay := to.core, wd.delay()
		if wd.rng.Float64() < wd.slowShare {
			delay += time.Duration(wd.rng.Intn(4000)) * time.Millisecond
		}
		wd.after(delay, func() { wd.tell(to, core, msg) })
	}
}

func (wd *world) reachesStore(ho *host) bool { return !wd.storeDown && !ho.storeCut }

func (wd *world) read(ho *host, core *agent.Core) {
	began := wd.now
	if !wd.reachesStore(ho) {
		wd.after(300*time.Millisecond, func() { wd.tell(ho, core, agent.RowsMsg{Began: began, Failed: true}) })
		return
	}
	wd.after(wd.delay(), func() {
		ms := agent.RowsMsg{Began: began, Row: wd.row, RowAt: wd.rowAt, Table: wd.table, TableAt: wd.tableAt}
		wd.after(wd.delay(), func() { wd.tell(ho, core, ms) })
	})
}

func (wd *world) write(ho *host, core *agent.Core, cmd agent.WriteCmd) {
	ms := agent.WrittenMsg{Write: cmd, Began: wd.now}
	if !wd.reachesStore(ho) {
		ms.Outcome = agent.NotDone
		wd.after(300*time.Millisecond, func() { wd.tell(ho, core, ms) })
		return
	}
	lost, late := wd.rng.Float64() < wd.lostShare, wd.rng.Float64() < wd.lateShare
	wait := wd.delay()
	if late {
		wait += time.Duration(500+wd.rng.Intn(4000)) * time.Millisecond
	}
	wd.after(wait, func() {
		ms.Outcome, ms.Version = wd.transact(cmd)
		if !lost && !late {
			wd.after(wd.delay(), func() { wd.tell(ho, core, ms) })
		}
	})
	if lost || late {
		unknown := agent.WrittenMsg{Write: cmd, Began: ms.Began}
		wd.after(1200*time.Millisecond, func() { wd.tell(ho, core, unknown) })
	}
}

func (wd *world) transact(cmd agent.WriteCmd) (agent.Outcome, election.Version) {
	if cmd.RowAt != wd.rowAt || cmd.TableAt != wd.tableAt {
		return agent.Conflict, 0
	}
	wd.version++
	if cmd.Row != nil {
		wd.row, wd.rowAt = *cmd.Row, wd.version
	} else {
		wd.table, wd.tableAt = cmd.Table, wd.version
	}
	return agent.Done, wd.version
}

func (wd *world) find(id ident.Upstream) *upstream {
	for _, up := range wd.upstreams {
		if up.id == id {
			return up
		}
	}
	return nil
}

// call plays a call about a move.
func (wd *world) call(ho *host, core *agent.Core, cmd agent.CallCmd) {
	ms := agent.StepMsg{Move: cmd.Move, Step: cmd.Step}
	if wd.now.Sub(core.Led()) >= election.LeaseTime {
		wd.after(time.Millisecond, func() { wd.tell(ho, core, ms) })
		return
	}
	answer := func(result leader.Result) {
		ms.Result = result
		if result == leader.Taken && cmd.Step == leader.Release {
			ms.Handover = "warm"
		}
		wd.after(wd.delay(), func() { wd.tell(ho, core, ms) })
	}
	if cmd.Step == leader.Release {
		wd.reach(ho, cmd.Upstream, cmd.Timeout, func(up *upstream) {
			life := up.life
			for ix := range samples {
				if cmd.Range.Holds(keyspace.Key(ix * sampleStep)) {
					up.until[ix] = 0
				}
			}
			wd.after(wd.slowRelease+wd.delay(), func() {
				if up.up && up.life == life {
					answer(leader.Taken)
				}
			})
		}, func() { answer(leader.Unknown) })
		return
	}
	wd.grant(ho, cmd.Upstream, cmd.Range, cmd.Epoch, cmd.Hold, answer)
}

// reach runs at the upstream if the host can reach it, else unanswered after
// the time limit.
func (wd *world) reach(ho *host, id ident.Upstream, limit time.Duration, at func(*upstream), unanswered func()) {
	up := wd.find(id)
	if up == nil || !up.up || wd.apart(ho.member.Domain, up.domain) {
		wd.after(limit, unanswered)
		return
	}
	life := up.life
	wd.after(wd.delay(), func() {
		if up.up && up.life == life {
			at(up)
		}
	})
}

// grant plays a grant, which may take effect late and unanswered.
func (wd *world) grant(ho *host, id ident.Upstream, rg keyspace.Range, epoch keyspace.Epoch, hold time.Duration, answer func(leader.Result)) {
	late := wd.rng.Float64() < wd.lateGrants
	wd.reach(ho, id, renewal.CallTimeout, func(up *upstream) {
		arrived, life := wd.now, up.life
		if !late {
			answer(wd.apply(ho, up, rg, epoch, arrived.Add(hold)))
			return
		}
		wd.after(time.Duration(450+wd.rng.Intn(6000))*time.Millisecond, func() {
			if up.up && up.life == life {
				wd.apply(ho, up, rg, epoch, arrived.Add(hold))
			}
		})
		wd.after(renewal.CallTimeout, func() { answer(leader.Unknown) })
	}, func() { answer(leader.Unknown) })
}

// apply lets a grant take effect and asks the oracle.
func (wd *world) apply(ho *host, up *upstream, rg keyspace.Range, epoch keyspace.Epoch, until clock.Instant) leader.Result {
	for ix := range samples {
		if rg.Holds(keyspace.Key(ix*sampleStep)) && up.seen[ix] > epoch {
			return leader.Superseded
		}
	}
	exempt := wd.now.Sub(ho.thawedAt) < thawTime || wd.now.Sub(wd.healedAt) < thawTime
	for ix := range samples {
		if !rg.Holds(keyspace.Key(ix * sampleStep)) {
			continue
		}
		if !exempt && until > wd.now {
			wd.judge(ho, up, ix, epoch)
		}
		up.seen[ix] = epoch
		up.until[ix] = max(up.until[ix], until.Add(time.Duration(0.02*float64(until.Sub(wd.now)))))
		if wd.highest[ix] < epoch {
			wd.highest[ix], wd.holder[ix] = epoch, up
		}
	}
	return leader.Taken
}

func (wd *world) judge(ho *host, up *upstream, ix int, epoch keyspace.Epoch) {
	for _, other := range wd.upstreams {
		if other != up && other.up && other.until[ix] > wd.now {
			wd.violate("%s gave key %d with epoch %d to %s while %s has it with %d", ho.member.Host, ix*sampleStep, epoch, up.id, other.id, other.seen[ix])
		}
	}
	if wd.holder[ix] != nil && wd.holder[ix] != up && wd.highest[ix] >= epoch {
		wd.violate("%s gave key %d with epoch %d to %s after %s had it with %d", ho.member.Host, ix*sampleStep, epoch, up.id, wd.holder[ix].id, wd.highest[ix])
	}
}

func (wd *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	wd.note("VIOLATION %s", text)
	wd.violations = append(wd.violations, text)
}

// renew plays the renewals of an upstream one after the other.
func (wd *world) renew(ho *host, core *agent.Core, cmd agent.RenewCmd, ix int) {
	done := func(reached, superseded bool) {
		wd.tell(ho, core, agent.RenewedMsg{Upstream: cmd.Upstream, Reached: reached, Superseded: superseded})
	}
	if ix == len(cmd.Shares) {
		done(true, false)
		return
	}
	sh := cmd.Shares[ix]
	now, found := core.Table().Owner(sh.Service, sh.From)
	if wd.now.Sub(core.Confirmed()) > renewal.ConfirmTime || !found || now.Moving() || now.Owner != sh.Owner || !now.Holds(sh.To) {
		done(true, false)
		return
	}
	wd.grant(ho, cmd.Upstream, sh.Range, sh.Owner.Epoch, renewal.Hold, func(result leader.Result) {
		switch {
		case ho.core != core:
		case result == leader.Taken:
			wd.renew(ho, core, cmd, ix+1)
		default:
			done(result != leader.Unknown, result == leader.Superseded)
		}
	})
}

// unowned lists the sampled keys that no upstream holds that is up and listed.
func (wd *world) unowned() []int {
	var keys []int
	for ix := range samples {
		owned := false
		for _, up := range wd.upstreams {
			owned = owned || up.up && !up.gone && up.until[ix] > wd.now
		}
		if !owned {
			keys = append(keys, ix*sampleStep)
		}
	}
	return keys
}
