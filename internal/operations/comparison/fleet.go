package comparison

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/stand/timeline"
)

// core is an admission core under any policy.
type core interface {
	Update(now clock.Instant, msg admission.Msg) []admission.Cmd
}

// fleet is one run: targets, the cores that admit to them, and the callers.
type fleet struct {
	config  Config
	service Service
	policy  Policy
	line    *timeline.Line
	targets []*target
	byName  map[ident.Upstream]*target
	holders []*holder
	calls   []*call
	end     clock.Instant
}

// holder is one core with its connections.
type holder struct {
	fleet *fleet
	core  core
	pool  bundle.Pool
	// domain is where it runs.
	domain int
	idle   map[ident.Upstream]int
	// told is the incarnation of each target that the core was shown, by a
	// view, a broken connection or a shed.
	told   map[ident.Upstream]int
	calls  map[ident.Request]*call
	visits map[visitKey]*visit
}

type visitKey struct {
	id       ident.Request
	upstream ident.Upstream
}

// call is one request in one run.
type call struct {
	arrival
	// back is the way from its core to its caller.
	back time.Duration
	// tried counts the pools that sent it away; best is the one with the
	// shortest wait.
	tried    int
	best     *holder
	bestWait time.Duration
	runs     int
	ended    bool
	answered bool
	notRun   bool
	took     time.Duration
}

func newFleet(cf Config, sv Service, py Policy, requests []arrival) *fleet {
	fl := &fleet{config: cf, service: sv, policy: py, line: timeline.New(), byName: map[ident.Upstream]*target{}}
	for ix := range sv.Targets {
		tg := &target{
			fleet: fl, name: ident.Upstream(fmt.Sprintf("t%02d", ix)), domain: ix % domains,
			factor: 1, incarnation: 1, running: map[*visit]bool{},
		}
		fl.targets = append(fl.targets, tg)
		fl.byName[tg.name] = tg
	}
	for _, ar := range requests {
		fl.calls = append(fl.calls, &call{arrival: ar})
	}
	fl.end = requests[len(requests)-1].at
	fl.addHolders()
	return fl
}

// addHolders makes a core on each entry node for a blind policy, one in each
// domain for a policy by domain, else one for all.
func (fl *fleet) addHolders() {
	count := 1
	switch {
	case fl.policy.blind:
		count = entryNodes
	case fl.policy.byDomain:
		count = domains
	}
	for ix := range count {
		hd := &holder{
			fleet: fl, domain: ix % domains, pool: fl.pool(ix), idle: map[ident.Upstream]int{}, told: map[ident.Upstream]int{},
			calls: map[ident.Request]*call{}, visits: map[visitKey]*visit{},
		}
		hd.core = fl.policy.core(fl, hd.pool, rand.New(rand.NewPCG(fl.config.Seed, uint64(ix))))
		fl.holders = append(fl.holders, hd)
	}
}

// pool lists all targets, or those of a domain. A blind node knows no slots: it
// may use its part of the target's connections.
func (fl *fleet) pool(domain int) bundle.Pool {
	pl := bundle.Pool{Name: "s@d#0", Service: &bundle.Service{Name: "s", Keyed: fl.service.Keyed}}
	for _, tg := range fl.targets {
		if fl.policy.byDomain && tg.domain != domain {
			continue
		}
		up := bundle.Upstream{Name: tg.name, Slots: slots, ColdLimit: coldLimit}
		if fl.policy.blind {
			up.Slots = connections / entryNodes
			up.ColdLimit = up.Slots
		}
		pl.Upstreams = append(pl.Upstreams, up)
	}
	return pl
}

// setOut takes the first domain's targets out of the bundle, or back in.
func (fl *fleet) setOut(out bool) {
	for _, hd := range fl.holders {
		hd.pool.Upstreams = slices.Clone(hd.pool.Upstreams)
		for ix := range hd.pool.Upstreams {
			if fl.byName[hd.pool.Upstreams[ix].Name].domain == 0 {
				hd.pool.Upstreams[ix].Out = out
			}
		}
		hd.tell(admission.PoolMsg{Pool: hd.pool})
	}
	fl.renew()
}

// renew shows every core the incarnations of now. A slice of a target that is
// out belongs to another.
func (fl *fleet) renew() {
	for _, hd := range fl.holders {
		vw := authority.View{Pool: hd.pool.Name, Until: clock.Never, Grants: map[ident.Upstream]authority.Grant{}}
		var open []ident.Upstream
		for _, up := range hd.pool.Upstreams {
			incarnation := fl.byName[up.Name].incarnation
			hd.told[up.Name] = incarnation
			vw.Grants[up.Name] = authority.Grant{Until: clock.Never, Incarnation: fmt.Sprint(incarnation)}
			if !up.Out {
				open = append(open, up.Name)
			}
		}
		vw.Owners = map[ident.Slice]ident.Upstream{}
		for sl := range ident.Slice(sliceCount) {
			if len(open) > 0 {
				vw.Owners[sl] = hd.ownerOf(sl, open)
			}
		}
		hd.tell(admission.ViewMsg{View: vw})
	}
}

// ownerOf spreads the slices evenly; those of targets that are out move.
func (hd *holder) ownerOf(sl ident.Slice, open []ident.Upstream) ident.Upstream {
	home := hd.pool.Upstreams[int(sl)%len(hd.pool.Upstreams)]
	if !home.Out {
		return home.Name
	}
	return open[int(sl)%len(open)]
}

// run plays the scenario to its end.
func (fl *fleet) run(sc Scenario) {
	fl.renew()
	sc.start(fl, fl.end)
	for _, cl := range fl.calls {
		fl.line.At(cl.at, func() { fl.enter(cl) })
	}
	fl.every(renewEvery, fl.renew)
	fl.every(reportEvery, func() {
		for _, tg := range fl.targets {
			tg.report(fl.config.ReportLag)
		}
	})
	fl.end = fl.end.Add(2 * patience)
	for _, hd := range fl.holders {
		fl.every(tickEvery, func() { hd.tell(admission.TickMsg{}) })
	}
	fl.line.RunUntil(fl.end)
}

// enter brings a call over its entry node to its core.
func (fl *fleet) enter(cl *call) {
	switch {
	case fl.policy.blind:
		fl.forward(cl, fl.holders[cl.node], nearHop)
	case fl.policy.byDomain:
		fl.forward(cl, fl.holders[cl.node%domains], nearHop+nearHop)
	default:
		fl.forward(cl, fl.holders[0], nearHop+hop(cl.node%domains, fl.holders[0].domain))
	}
}

// forward brings a call to a core; way is the time until it is there.
func (fl *fleet) forward(cl *call, hd *holder, way time.Duration) {
	cl.back = nearHop
	if !fl.policy.blind {
		cl.back += hop(cl.node%domains, hd.domain)
	}
	fl.line.After(way, func() {
		hd.calls[cl.id] = cl
		hd.tell(admission.ArriveMsg{Request: admission.Request{
			ID: cl.id, Keyed: fl.service.Keyed, Slice: cl.slice, Idempotent: cl.idempotent,
			Elsewhere: fl.policy.byDomain && cl.tried < domains,
			Deadline:  cl.at.Add(patience - cl.back),
		}})
	})
}

// tryNext takes a call that a pool sent away to the next domain's, and after all
// of them to the one with the shortest wait.
func (fl *fleet) tryNext(cl *call, from *holder, wait time.Duration) {
	if cl.best == nil || wait < cl.bestWait {
		cl.best, cl.bestWait = from, wait
	}
	cl.tried++
	next := cl.best
	if cl.tried < domains {
		next = fl.holders[(cl.node+cl.tried)%domains]
	}
	entry := cl.node % domains
	fl.forward(cl, next, hop(from.domain, entry)+hop(entry, next.domain))
}

func hop(from, to int) time.Duration {
	if from == to {
		return nearHop
	}
	return farHop
}

// tell gives the core a message and carries out what it decides.
func (hd *holder) tell(msg admission.Msg) {
	for _, cmd := range hd.core.Update(hd.fleet.line.Now(), msg) {
		hd.do(cmd)
	}
}

func (hd *holder) do(cmd admission.Cmd) {
	switch cm := cmd.(type) {
	case admission.DispatchCmd:
		hd.dispatch(cm)
	case admission.CancelCmd:
		vs := hd.visits[visitKey{cm.ID, cm.Upstream}]
		tg := hd.fleet.byName[cm.Upstream]
		hd.fleet.line.After(vs.way, func() { tg.cancel(vs) })
	case admission.ProbeCmd:
		hd.fleet.byName[cm.Upstream].probe(hd)
	case admission.AnswerCmd:
		hd.finish(cm.ID, true, false)
	case admission.RefuseCmd:
		if cm.Err.Wait > 0 {
			hd.fleet.tryNext(hd.calls[cm.ID], hd, cm.Err.Wait)
			return
		}
		hd.finish(cm.ID, false, true)
	case admission.FailCmd:
		hd.finish(cm.ID, false, false)
	}
}

func (hd *holder) dispatch(cm admission.DispatchCmd) {
	tg := hd.fleet.byName[cm.Upstream]
	vs := &visit{call: hd.calls[cm.ID], hold: hd, way: hd.wayTo(tg), told: hd.told[cm.Upstream]}
	hd.visits[visitKey{cm.ID, cm.Upstream}] = vs
	way := vs.way
	if hd.idle[cm.Upstream] > 0 {
		hd.idle[cm.Upstream]--
	} else {
		way += connectTime
	}
	hd.fleet.line.After(way, func() { tg.arrive(vs) })
}

// wayTo is the way to a target: a holder stands in its targets' domain.
func (hd *holder) wayTo(tg *target) time.Duration {
	if !hd.fleet.policy.blind {
		return nearHop
	}
	return hop(hd.domain, tg.domain)
}

func (hd *holder) finish(id ident.Request, answered, notRun bool) {
	cl := hd.calls[id]
	if cl.ended {
		return
	}
	cl.ended, cl.answered, cl.notRun = true, answered, notRun
	cl.took = hd.fleet.line.Now().Add(cl.back).Sub(cl.at)
}

func sortVisits(list []*visit) {
	slices.SortFunc(list, func(left, right *visit) int { return cmp.Compare(left.call.id, right.call.id) })
}
