package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/verdict"
)

func pool() bundle.Pool {
	return bundle.Pool{
		Name:      "orders@a#0",
		Service:   &bundle.Service{Name: "orders"},
		Upstreams: []bundle.Upstream{{Name: "o1", Slots: 2}},
	}
}

func granted() admission.ViewMsg {
	return admission.ViewMsg{View: authority.View{
		Pool:   "orders@a#0",
		Until:  clock.Never,
		Grants: map[ident.Upstream]authority.Grant{"o1": {Until: clock.Never}},
	}}
}

func arrive(id string, deadline time.Duration) admission.ArriveMsg {
	return admission.ArriveMsg{Request: admission.Request{ID: ident.Request(id), Deadline: clock.Instant(deadline)}}
}

// dispatched lists the ids that were sent.
func dispatched(cmds []admission.Cmd) []string {
	var ids []string
	for _, cmd := range cmds {
		if dc, ok := cmd.(admission.DispatchCmd); ok {
			ids = append(ids, string(dc.ID))
		}
	}
	return ids
}

func TestDispatchKeepsSlotsAndDeadlineOrder(t *testing.T) {
	gm := NewWithT(t)
	co := admission.New(pool())
	co.Update(0, arrive("late", 4*time.Second))
	co.Update(0, arrive("soon", 2*time.Second))
	co.Update(0, arrive("next", 3*time.Second))
	gm.Expect(dispatched(co.Update(0, granted()))).To(Equal([]string{"soon", "next"}))
	gm.Expect(dispatched(co.Update(1, admission.DoneMsg{ID: "soon", Upstream: "o1", Verdict: verdict.Ran}))).To(Equal([]string{"late"}))
}

func TestBarProvesNotRunOnlyBeforeDispatch(t *testing.T) {
	gm := NewWithT(t)
	co := admission.New(pool())
	co.Update(0, arrive("queued", time.Second))
	gm.Expect(co.Update(0, admission.BarMsg{ID: "queued"})).To(ContainElement(admission.BarredCmd{ID: "queued", Barred: true}))
	co.Update(0, granted())
	co.Update(0, arrive("sent", time.Second))
	gm.Expect(co.Update(0, admission.BarMsg{ID: "sent"})).To(ContainElement(admission.BarredCmd{ID: "sent"}))
}
