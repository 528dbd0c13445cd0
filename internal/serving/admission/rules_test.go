package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/policy"
	"chervilwalk/internal/serving/verdict"
)

const ms = clock.Instant(time.Millisecond)

// rig is a core with warm upstreams of two slots each.
type rig struct {
	core *admission.Core[policy.Soonest]
	now  clock.Instant
	next int
}

// newRig serves enough requests of 10 ms at every upstream that all are warm.
func newRig(count int) *rig {
	pl := bundle.Pool{Name: "s@a#0", Service: &bundle.Service{Name: "s"}}
	vw := authority.View{Pool: pl.Name, Until: clock.Never, Grants: map[ident.Upstream]authority.Grant{}}
	for ix := range count {
		name := ident.Upstream(fmt.Sprint("u", ix))
		pl.Upstreams = append(pl.Upstreams, bundle.Upstream{Name: name, Slots: 2, ColdLimit: 1})
		vw.Grants[name] = authority.Grant{Until: clock.Never, Incarnation: "1"}
	}
	rg := &rig{core: admission.New(pl)}
	rg.core.Update(0, admission.ViewMsg{View: vw})
	for range 8 * count {
		for _, dc := range rg.arrive(count, "") {
			rg.now += 10 * ms
			rg.done(dc, verdict.Ran)
			rg.now -= 10 * ms
		}
		rg.now += 20 * ms
	}
	return rg
}

// arrive brings requests and returns what was dispatched.
func (rg *rig) arrive(count int, caller admission.Caller) []admission.DispatchCmd {
	var sent []admission.DispatchCmd
	for range count {
		sent = append(sent, dispatches(rg.arriveOne(caller))...)
	}
	return sent
}

func (rg *rig) arriveOne(caller admission.Caller) []admission.Cmd {
	rg.next++
	rq := admission.Request{
		ID: ident.Request(fmt.Sprint(caller, rg.next)), Caller: caller, Idempotent: true,
		Deadline: rg.now.Add(time.Second),
	}
	return rg.core.Update(rg.now, admission.ArriveMsg{Request: rq})
}

func (rg *rig) done(dc admission.DispatchCmd, vd verdict.Verdict) []admission.Cmd {
	return rg.core.Update(rg.now, admission.DoneMsg{ID: dc.ID, Upstream: dc.Upstream, Verdict: vd})
}

func (rg *rig) tick(after time.Duration) []admission.Cmd {
	rg.now = rg.now.Add(after)
	return rg.core.Update(rg.now, admission.TickMsg{})
}

// of lists the commands of one kind.
func of[C admission.Cmd](cmds []admission.Cmd) []C {
	var found []C
	for _, cmd := range cmds {
		if cm, ok := cmd.(C); ok {
			found = append(found, cm)
		}
	}
	return found
}

func dispatches(cmds []admission.Cmd) []admission.DispatchCmd {
	return of[admission.DispatchCmd](cmds)
}

// An upstream that goes silent gets no new work before anything of it has
// ended, what it holds is sent elsewhere too, and its slots stay taken.
func TestSilentUpstreamIsAvoidedAndItsRequestsHedged(t *testing.T) {
	gm := NewWithT(t)
	rg := newRig(3)
	stuck := rg.arrive(6, "")
	gm.Expect(stuck).To(HaveLen(6))
	for _, dc := range stuck {
		if dc.Upstream != "u0" {
			rg.now += 10 * ms
			rg.done(dc, verdict.Ran)
			rg.now -= 10 * ms
		}
	}
	var hedges []admission.DispatchCmd
	for range 60 {
		hedges = append(hedges, dispatches(rg.tick(5*time.Millisecond))...)
	}
	gm.Expect(len(hedges)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)))
	for _, dc := range hedges {
		gm.Expect(dc.Upstream).NotTo(Equal(ident.Upstream("u0")))
		cmds := rg.done(dc, verdict.Ran)
		gm.Expect(of[admission.CancelCmd](cmds)).To(Equal([]admission.CancelCmd{{ID: dc.ID, Upstream: "u0"}}))
	}
	for _, dc := range rg.arrive(8, "") {
		gm.Expect(dc.Upstream).NotTo(Equal(ident.Upstream("u0")))
	}
}

// A request whose wait would pass its deadline is refused when it comes, with
// the time to come back.
func TestFloodIsRefusedAheadOfTime(t *testing.T) {
	gm := NewWithT(t)
	rg := newRig(1)
	var refused []admission.RefuseCmd
	for range 1000 {
		refused = append(refused, of[admission.RefuseCmd](rg.arriveOne("flood"))...)
	}
	gm.Expect(len(refused)).To(BeNumerically(">", 500))
	for _, rc := range refused {
		gm.Expect(rc.Err.Verdict).To(Equal(verdict.NotRun))
		gm.Expect(rc.Err.RetryAfter).To(BeNumerically(">=", time.Second))
	}
}

// A flood of one caller gives places in the queue up to another.
func TestFloodLeavesAnotherCallerItsShare(t *testing.T) {
	gm := NewWithT(t)
	rg := newRig(1)
	for range 1000 {
		rg.arriveOne("flood")
	}
	var refused []string
	for range 20 {
		for _, rc := range of[admission.RefuseCmd](rg.arriveOne("quiet")) {
			refused = append(refused, string(rc.ID))
		}
	}
	gm.Expect(refused).NotTo(BeEmpty())
	gm.Expect(refused).To(HaveEach(HavePrefix("flood")))
}

// A core that is younger than a request may be proves nothing of unknown ids.
func TestYoungCoreBarsUnknownIdsWithoutProof(t *testing.T) {
	gm := NewWithT(t)
	co := admission.New(pool())
	co.Update(0, granted())
	gm.Expect(co.Update(1, admission.BarMsg{ID: "old"})).To(ContainElement(admission.BarredCmd{ID: "old"}))
	gm.Expect(of[admission.RefuseCmd](co.Update(2, arrive("old", time.Second)))).To(HaveLen(1))
	later := clock.Instant(3 * time.Minute)
	gm.Expect(co.Update(later, admission.BarMsg{ID: "new"})).To(ContainElement(admission.BarredCmd{ID: "new", Barred: true}))
}

// An id that has run is never said to be barred, nor run again.
func TestEndedRequestIsNotBarred(t *testing.T) {
	gm := NewWithT(t)
	rg := newRig(1)
	dc := rg.arrive(1, "")[0]
	rg.done(dc, verdict.Ran)
	gm.Expect(rg.core.Update(rg.now, admission.BarMsg{ID: dc.ID})).To(ContainElement(admission.BarredCmd{ID: dc.ID}))
	again := admission.ArriveMsg{Request: admission.Request{ID: dc.ID, Deadline: rg.now.Add(time.Second)}}
	gm.Expect(of[admission.FailCmd](rg.core.Update(rg.now, again))).To(HaveLen(1))
}

// Once the lease has lapsed the queue is refused as not run.
func TestLapsedLeaseRefusesTheQueueAtOnce(t *testing.T) {
	gm := NewWithT(t)
	rg := newRig(1)
	rg.arrive(5, "")
	rg.core.Update(rg.now, admission.ViewMsg{View: authority.View{Until: rg.now}})
	refused := of[admission.RefuseCmd](rg.tick(time.Millisecond))
	gm.Expect(refused).To(HaveLen(3))
}

// A new incarnation is cold again.
func TestNewIncarnationStartsAtTheColdLimit(t *testing.T) {
	gm := NewWithT(t)
	rg := newRig(1)
	vw := granted().View
	vw.Grants = map[ident.Upstream]authority.Grant{"u0": {Until: clock.Never, Incarnation: "2"}}
	rg.core.Update(rg.now, admission.ViewMsg{View: vw})
	gm.Expect(rg.arrive(5, "")).To(HaveLen(1))
}

// A request that another pool may take is sent away from a long queue with the
// estimated wait, and may come back to stay.
func TestFullPoolSendsAwayWhatMayGoElsewhere(t *testing.T) {
	gm := NewWithT(t)
	rg := newRig(1)
	rg.arrive(20, "")
	rq := admission.Request{ID: "guest", Idempotent: true, Elsewhere: true, Deadline: rg.now.Add(time.Second)}
	away := of[admission.RefuseCmd](rg.core.Update(rg.now, admission.ArriveMsg{Request: rq}))
	gm.Expect(away).To(HaveLen(1))
	gm.Expect(away[0].Err.Wait).To(BeNumerically(">", 50*time.Millisecond))
	rq.Elsewhere = false
	gm.Expect(rg.core.Update(rg.now, admission.ArriveMsg{Request: rq})).To(BeEmpty())
}

// A request that was refused may be sent again; once it is barred it may not.
func TestRefusedRequestMayComeAgainUntilItIsBarred(t *testing.T) {
	gm := NewWithT(t)
	rg := newRig(1)
	rg.arrive(2, "")
	rq := admission.ArriveMsg{Request: admission.Request{ID: "again", Deadline: rg.now.Add(time.Minute)}}
	rg.core.Update(rg.now, rq)
	gm.Expect(of[admission.RefuseCmd](rg.core.Update(rg.now, admission.CancelMsg{ID: "again"}))).To(HaveLen(1))
	gm.Expect(rg.core.Update(rg.now, rq)).To(BeEmpty())
	gm.Expect(of[admission.RefuseCmd](rg.core.Update(rg.now, admission.CancelMsg{ID: "again"}))).To(HaveLen(1))
	gm.Expect(rg.core.Update(rg.now, admission.BarMsg{ID: "again"})).To(ContainElement(admission.BarredCmd{ID: "again", Barred: true}))
	gm.Expect(of[admission.RefuseCmd](rg.core.Update(rg.now, rq))).To(HaveLen(1))
}
