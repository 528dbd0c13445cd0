package admission_test

import (
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/verdict"
)

// faultNames lists what a fake upstream may do wrong; its index is the fault.
var faultNames = []string{"none", "slow", "freeze", "shed", "stale", "refuse", "loseAnswer", "ignoreCancel"}

const (
	faultSlow = iota + 1
	faultFreeze
	faultShed
	faultStale
	faultRefuse
	faultLoseAnswer
	faultIgnoreCancel
)

// warmAfter is how many requests a fake must have served before it bears all
// its slots.
const warmAfter = 4

// fake is an upstream that counts what it runs. It serves in its slots, bears
// only its cold limit after a start, and keeps a cancelled id from running.
type fake struct {
	world       *world
	spec        bundle.Upstream
	granted     bool
	faulty      int
	incarnation int
	// announced is the incarnation that the core was last told.
	announced int
	served    int
	running   map[ident.Request]*run
	cancelled map[ident.Request]bool
	waiting   []*run
}

// run is one request in a fake's slot.
type run struct {
	record *record
	// asked means that the core waits for the word that the slot is free.
	asked bool
	// lost means that the way back is broken.
	lost bool
}

func newFake(wd *world, sp bundle.Upstream) *fake {
	return &fake{
		world: wd, spec: sp, granted: true, incarnation: 1,
		running: map[ident.Request]*run{}, cancelled: map[ident.Request]bool{},
	}
}

// tell sends the core a message over the hop.
func (fk *fake) tell(msg admission.Msg) {
	fk.world.line.After(hopTime, func() { fk.world.tell(msg) })
}

// arrive takes a dispatch that was sent when the core knew the given
// incarnation.
func (fk *fake) arrive(rc *record, known int) {
	switch {
	case fk.faulty == faultRefuse:
		fk.refuse(rc, verdict.Unreachable)
	case fk.faulty == faultShed || fk.cancelled[rc.request.ID]:
		fk.refuse(rc, verdict.Shed)
	case fk.faulty == faultStale:
		fk.refuse(rc, verdict.StaleToken)
	case len(fk.running) >= fk.spec.Slots:
		fk.world.fail("%s got %s beyond its slots", fk.spec.Name, rc.request.ID)
	case fk.served < warmAfter && len(fk.running) >= fk.spec.ColdLimit && known == fk.incarnation:
		fk.world.fail("%s got %s beyond its cold limit", fk.spec.Name, rc.request.ID)
	case fk.served < warmAfter && len(fk.running) >= fk.spec.ColdLimit:
		fk.refuse(rc, verdict.Shed)
	default:
		fk.start(rc)
	}
}

func (fk *fake) refuse(rc *record, rf verdict.Refusal) {
	rc.refusals++
	fk.tell(doneMsg(rc, fk.spec.Name, verdict.NotRun, rf))
}

func (fk *fake) start(rc *record) {
	rc.runs++
	rn := &run{record: rc}
	fk.running[rc.request.ID] = rn
	took := serviceTime
	if fk.faulty == faultSlow {
		took *= 10
	}
	fk.world.line.After(took, func() { fk.finish(rn) })
}

// finish ends a run, unless the process has gone or is frozen.
func (fk *fake) finish(rn *run) {
	id := rn.record.request.ID
	if fk.running[id] != rn {
		return
	}
	if fk.faulty == faultFreeze {
		fk.waiting = append(fk.waiting, rn)
		return
	}
	delete(fk.running, id)
	fk.served++
	switch {
	case rn.asked:
		fk.tell(admission.CancelledMsg{ID: id, Upstream: fk.spec.Name})
	case rn.lost:
	case fk.faulty == faultLoseAnswer:
		fk.tell(doneMsg(rn.record, fk.spec.Name, verdict.MayHaveRun, verdict.NoRefusal))
	default:
		fk.tell(doneMsg(rn.record, fk.spec.Name, verdict.Ran, verdict.NoRefusal))
	}
}

// cancel gives a run up and confirms, or confirms only at its end.
func (fk *fake) cancel(id ident.Request) {
	fk.cancelled[id] = true
	rn := fk.running[id]
	if rn != nil && (fk.faulty == faultIgnoreCancel || fk.faulty == faultFreeze) {
		rn.asked = true
		return
	}
	delete(fk.running, id)
	fk.tell(admission.CancelledMsg{ID: id, Upstream: fk.spec.Name})
}

// cut breaks the connections of all runs; the runs go on.
func (fk *fake) cut() {
	for _, rn := range fk.running {
		if !rn.lost && !rn.asked {
			rn.lost = true
			fk.tell(doneMsg(rn.record, fk.spec.Name, verdict.MayHaveRun, verdict.NoRefusal))
		}
	}
}

// restart loses all runs; the core learns of it when a view says so.
func (fk *fake) restart() {
	fk.cut()
	for id, rn := range fk.running {
		if rn.asked {
			fk.tell(admission.CancelledMsg{ID: id, Upstream: fk.spec.Name})
		}
	}
	fk.incarnation++
	fk.served = 0
	fk.running = map[ident.Request]*run{}
	fk.waiting = nil
}

func (fk *fake) fault(number int) {
	fk.faulty = number
	if number == faultFreeze {
		return
	}
	waiting := fk.waiting
	fk.waiting = nil
	for _, rn := range waiting {
		fk.finish(rn)
	}
}

func (fk *fake) probe() {
	alive := fk.faulty != faultFreeze && fk.faulty != faultRefuse
	took := 6 * time.Millisecond
	if fk.faulty == faultSlow {
		took *= 10
	}
	fk.world.tell(admission.ProbedMsg{Upstream: fk.spec.Name, Alive: alive, Took: took})
}
