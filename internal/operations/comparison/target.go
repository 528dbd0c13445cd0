package comparison

import (
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/verdict"
)

// warmAfter is how many requests a cold upstream must have served before it
// bears all its slots.
const warmAfter = 4

// target is an upstream: requests beyond its slots wait in it, those beyond
// its cold limit are shed while it is cold.
type target struct {
	fleet       *fleet
	name        ident.Upstream
	domain      int
	factor      float64
	incarnation int
	cold        bool
	served      int
	running     map[*visit]bool
	waiting     []*visit
	violations  int
	// early counts what was shed because it was sent before its core could
	// know that the target is cold.
	early int
}

// visit is one request at one target.
type visit struct {
	call *call
	hold *holder
	way  time.Duration
	gone bool
	// told is the incarnation that the core knew of when it sent.
	told int
}

// arrive takes a request.
func (tg *target) arrive(vs *visit) {
	switch {
	case vs.gone:
		return
	case tg.cold && len(tg.running) >= coldLimit:
		if vs.told == tg.incarnation {
			tg.violations++
		} else {
			tg.early++
		}
		tg.answer(vs, verdict.NotRun, verdict.Shed)
	case len(tg.running) >= slots:
		tg.violations++
		tg.waiting = append(tg.waiting, vs)
	default:
		tg.start(vs)
	}
}

func (tg *target) start(vs *visit) {
	tg.running[vs] = true
	vs.call.runs++
	took := time.Duration(float64(vs.call.work) * tg.factor)
	tg.fleet.line.After(took, func() { tg.finish(vs) })
}

func (tg *target) finish(vs *visit) {
	if !tg.running[vs] {
		return
	}
	tg.served++
	tg.cold = tg.cold && tg.served < warmAfter
	tg.leave(vs)
	tg.answer(vs, verdict.Ran, verdict.NoRefusal)
}

// leave frees a slot for the next that waits.
func (tg *target) leave(vs *visit) {
	delete(tg.running, vs)
	for len(tg.waiting) > 0 && len(tg.running) < slots {
		next := tg.waiting[0]
		tg.waiting = tg.waiting[1:]
		if !next.gone {
			tg.start(next)
		}
	}
}

func (tg *target) answer(vs *visit, vd verdict.Verdict, rf verdict.Refusal) {
	incarnation := tg.incarnation
	msg := admission.DoneMsg{ID: vs.call.id, Upstream: tg.name, Verdict: vd, Refusal: rf}
	tg.fleet.line.After(vs.way, func() {
		vs.hold.idle[tg.name]++
		if vd != verdict.Ran {
			vs.hold.told[tg.name] = max(vs.hold.told[tg.name], incarnation)
		}
		vs.hold.tell(msg)
	})
}

// cancel gives a request up and confirms.
func (tg *target) cancel(vs *visit) {
	vs.gone = true
	if tg.running[vs] {
		tg.leave(vs)
	}
	msg := admission.CancelledMsg{ID: vs.call.id, Upstream: tg.name}
	tg.fleet.line.After(vs.way, func() { vs.hold.tell(msg) })
}

// restart loses what runs and starts cold.
func (tg *target) restart() {
	lost := tg.waiting
	for vs := range tg.running {
		lost = append(lost, vs)
	}
	sortVisits(lost)
	tg.running, tg.waiting = map[*visit]bool{}, nil
	tg.incarnation++
	tg.cold, tg.served = true, 0
	for _, vs := range lost {
		vs.gone = true
		tg.answer(vs, verdict.MayHaveRun, verdict.NoRefusal)
	}
}

// probe answers as slowly as the target serves.
func (tg *target) probe(hd *holder) {
	took := time.Duration(float64(probeTime) * tg.factor)
	tg.fleet.line.After(took, func() {
		hd.tell(admission.ProbedMsg{Upstream: tg.name, Alive: true, Took: took})
	})
}

// report sends the load of now, to be heard late.
func (tg *target) report(lag time.Duration) {
	busy := len(tg.running) + len(tg.waiting)
	tg.fleet.line.After(lag, func() {
		for _, hd := range tg.fleet.holders {
			hd.tell(admission.ReportMsg{Upstream: tg.name, Busy: busy})
		}
	})
}
