package admission_test

import (
	"fmt"
	"maps"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/verdict"
	"chervilwalk/internal/stand/timeline"
)

const (
	worldTick = 5 * time.Millisecond
	// outcomeSlack is how long after its deadline a request may still have no
	// outcome: one tick.
	outcomeSlack = worldTick
	hopTime      = time.Millisecond
	serviceTime  = 4 * time.Millisecond
	sliceCount   = 6
	upstreams    = 3
)

// draw returns a number from 0 up to and without n.
type draw func(label string, n int) int

// subject is a core, or a broken variant of one.
type subject interface {
	Update(now clock.Instant, msg admission.Msg) []admission.Cmd
}

// record is what the oracle knows of a request.
type record struct {
	request  admission.Request
	runs     int
	outcomes int
	notRun   bool
	barred   bool
	sent     int
	refusals int
}

// world is a core, fake upstreams and the oracle.
type world struct {
	line     *timeline.Line
	core     subject
	pool     bundle.Pool
	view     authority.View
	owners   map[ident.Slice]ident.Upstream
	fakes    map[ident.Upstream]*fake
	records  map[ident.Request]*record
	arrivals int
	broken   string
}

func newWorld(keyed bool, wrap func(*world, subject) subject) *world {
	wd := &world{line: timeline.New(), fakes: map[ident.Upstream]*fake{}, records: map[ident.Request]*record{}}
	wd.pool = bundle.Pool{Name: "s@a#0", Service: &bundle.Service{Name: "s", Keyed: keyed}}
	wd.view = authority.View{Pool: wd.pool.Name}
	wd.owners = map[ident.Slice]ident.Upstream{}
	for ix := range upstreams {
		sp := bundle.Upstream{Name: ident.Upstream(fmt.Sprint("u", ix)), Slots: 2, ColdLimit: 1}
		wd.pool.Upstreams = append(wd.pool.Upstreams, sp)
		wd.fakes[sp.Name] = newFake(wd, sp)
	}
	for sl := range ident.Slice(sliceCount) {
		wd.owners[sl] = wd.pool.Upstreams[int(sl)%upstreams].Name
	}
	wd.core = wrap(wd, admission.New(wd.pool))
	wd.renew()
	wd.tick()
	return wd
}

func sound(_ *world, co subject) subject { return co }

func (wd *world) tick() {
	wd.tell(admission.TickMsg{})
	wd.line.After(worldTick, wd.tick)
}

func (wd *world) fail(format string, args ...any) {
	if wd.broken == "" {
		wd.broken = fmt.Sprintf("at %v: ", time.Duration(wd.line.Now())) + fmt.Sprintf(format, args...)
	}
}

// renew shows the core the leases and the incarnations of now.
func (wd *world) renew() {
	vw := wd.view
	vw.Until = wd.line.Now().Add(100 * time.Millisecond)
	vw.Grants = map[ident.Upstream]authority.Grant{}
	for name, fk := range wd.fakes {
		if fk.granted {
			vw.Grants[name] = authority.Grant{Until: vw.Until, Incarnation: fmt.Sprint(fk.incarnation)}
			fk.announced = fk.incarnation
		}
	}
	vw.Owners = maps.Clone(wd.owners)
	wd.view = vw
	wd.tell(admission.ViewMsg{View: vw})
}

// tell gives the core a message and carries out what it decides.
func (wd *world) tell(msg admission.Msg) {
	for _, cmd := range wd.core.Update(wd.line.Now(), msg) {
		wd.do(cmd)
	}
}

func (wd *world) do(cmd admission.Cmd) {
	switch cm := cmd.(type) {
	case admission.DispatchCmd:
		wd.dispatch(cm)
	case admission.CancelCmd:
		fk := wd.fakes[cm.Upstream]
		wd.line.After(hopTime, func() { fk.cancel(cm.ID) })
	case admission.ProbeCmd:
		fk := wd.fakes[cm.Upstream]
		wd.line.After(2*hopTime, fk.probe)
	case admission.AnswerCmd:
		wd.outcome(cm.ID, false)
		if wd.records[cm.ID].runs == 0 {
			wd.fail("%s was answered but never ran", cm.ID)
		}
	case admission.RefuseCmd:
		wd.outcome(cm.ID, true)
	case admission.FailCmd:
		wd.outcome(cm.ID, false)
	case admission.BarredCmd:
		if rc := wd.records[cm.ID]; rc != nil && cm.Barred {
			rc.barred = true
		}
	}
}

func (wd *world) outcome(id ident.Request, notRun bool) {
	rc := wd.records[id]
	rc.outcomes++
	rc.notRun = rc.notRun || notRun
	if rc.outcomes > 1 {
		wd.fail("%s got a second outcome", id)
	}
	if wd.line.Now() > rc.request.Deadline.Add(outcomeSlack) {
		wd.fail("%s got its outcome after its deadline", id)
	}
}

// dispatch checks that the core may send, then sends.
func (wd *world) dispatch(cm admission.DispatchCmd) {
	now, rc, fk := wd.line.Now(), wd.records[cm.ID], wd.fakes[cm.Upstream]
	switch {
	case !now.Before(wd.view.Until):
		wd.fail("%s was dispatched after the lease", cm.ID)
	case wd.view.Grants[cm.Upstream].Until <= now:
		wd.fail("%s was dispatched without a grant", cm.ID)
	case !wd.listed(cm.Upstream):
		wd.fail("%s was dispatched to %s, which is out", cm.ID, cm.Upstream)
	case rc.request.Keyed && wd.view.Owners[rc.request.Slice] != cm.Upstream:
		wd.fail("%s was dispatched to %s, which does not own its slice", cm.ID, cm.Upstream)
	case rc.outcomes > 0:
		wd.fail("%s was dispatched after its outcome", cm.ID)
	}
	rc.sent++
	known := fk.announced
	wd.line.After(hopTime, func() { fk.arrive(rc, known) })
}

func (wd *world) listed(name ident.Upstream) bool {
	for _, sp := range wd.pool.Upstreams {
		if sp.Name == name {
			return !sp.Out
		}
	}
	return false
}

// check compares what the oracle saw with the promises.
func (wd *world) check() string {
	extras := 0
	for id, rc := range wd.records {
		extras += max(0, rc.sent-rc.refusals-1)
		switch {
		case rc.runs > 1 && !rc.request.Idempotent:
			wd.fail("%s ran %d times", id, rc.runs)
		case rc.runs > 0 && rc.notRun:
			wd.fail("%s ran, but its refusal said not run", id)
		case rc.runs > 0 && rc.barred:
			wd.fail("%s ran, but it was said to be barred", id)
		case rc.outcomes == 0 && wd.line.Now() > rc.request.Deadline.Add(outcomeSlack):
			wd.fail("%s has no outcome", id)
		}
	}
	if extras*20 > wd.arrivals {
		wd.fail("%d extra dispatches for %d requests", extras, wd.arrivals)
	}
	return wd.broken
}

// settle lets every request come to its end, then checks.
func (wd *world) settle() string {
	for range 100 {
		wd.line.RunUntil(wd.line.Now().Add(20 * time.Millisecond))
		wd.renew()
	}
	return wd.check()
}

// actions are the steps of a sequence.
func (wd *world) actions() map[string]func(draw) {
	return map[string]func(draw){
		"arrive":  wd.arrive,
		"burst":   wd.burst,
		"pass":    func(dw draw) { wd.line.RunUntil(wd.line.Now().Add(time.Duration(1+dw("ms", 20)) * time.Millisecond)) },
		"renew":   func(draw) { wd.renew() },
		"lapse":   func(draw) { wd.line.RunUntil(wd.view.Until) },
		"fault":   func(dw draw) { wd.pick(dw).fault(dw("fault", len(faultNames))) },
		"restart": func(dw draw) { wd.pick(dw).restart() },
		"cut":     func(dw draw) { wd.pick(dw).cut() },
		"grant":   func(dw draw) { wd.pick(dw).granted = dw("granted", 2) == 1 },
		"owner": func(dw draw) {
			wd.owners[ident.Slice(dw("slice", sliceCount))] = wd.pick(dw).spec.Name
			wd.renew()
		},
		"out":  wd.out,
		"gone": func(dw draw) { wd.some(dw, func(id ident.Request) { wd.tell(admission.CancelMsg{ID: id}) }) },
		"bar":  func(dw draw) { wd.some(dw, func(id ident.Request) { wd.tell(admission.BarMsg{ID: id}) }) },
		"report": func(dw draw) {
			wd.tell(admission.ReportMsg{Upstream: wd.pick(dw).spec.Name, Busy: dw("busy", 50)})
		},
	}
}

func (wd *world) pick(dw draw) *fake {
	return wd.fakes[ident.Upstream(fmt.Sprint("u", dw("upstream", upstreams)))]
}

func (wd *world) some(dw draw, run func(ident.Request)) {
	if wd.arrivals > 0 {
		run(ident.Request(fmt.Sprint("r", max(0, wd.arrivals-1-dw("back", 12)))))
	}
}

func (wd *world) burst(dw draw) {
	for range 5 + dw("count", 20) {
		wd.arrive(dw)
	}
}

func (wd *world) arrive(dw draw) {
	rq := admission.Request{
		ID:         ident.Request(fmt.Sprint("r", wd.arrivals)),
		Caller:     admission.Caller(fmt.Sprint("c", dw("caller", 3))),
		Keyed:      wd.pool.Service.Keyed,
		Slice:      ident.Slice(dw("slice", sliceCount)),
		Idempotent: dw("idempotent", 2) == 1,
		Deadline:   wd.line.Now().Add(time.Duration(5+dw("deadline", 200)) * time.Millisecond),
	}
	wd.arrivals++
	wd.records[rq.ID] = &record{request: rq}
	wd.tell(admission.ArriveMsg{Request: rq})
}

// out takes an upstream out of the bundle, or back in.
func (wd *world) out(dw draw) {
	ix := dw("upstream", upstreams)
	ups := append([]bundle.Upstream(nil), wd.pool.Upstreams...)
	ups[ix].Out = !ups[ix].Out
	wd.pool.Upstreams = ups
	wd.tell(admission.PoolMsg{Pool: wd.pool})
}

// doneMsg is the result of a dispatch.
func doneMsg(rc *record, up ident.Upstream, vd verdict.Verdict, rf verdict.Refusal) admission.DoneMsg {
	return admission.DoneMsg{ID: rc.request.ID, Upstream: up, Verdict: vd, Refusal: rf}
}
