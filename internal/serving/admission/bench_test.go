package admission_test

import (
	"fmt"
	"testing"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/verdict"
)

// BenchmarkQueue serves one request and takes another while many are queued; an
// operation is both messages.
func BenchmarkQueue(b *testing.B) {
	for _, queued := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) { benchmarkQueue(b, queued) })
	}
}

func benchmarkQueue(b *testing.B, queued int) {
	co := admission.New(pool())
	vw := granted().View
	vw.Grants = map[ident.Upstream]authority.Grant{"o1": {Until: clock.Never}}
	co.Update(0, admission.ViewMsg{View: vw})
	var sent []admission.DispatchCmd
	arrived := 0
	step := func(now clock.Instant) {
		arrived++
		rq := admission.Request{ID: ident.Request(fmt.Sprint(arrived)), Deadline: now.Add(time.Minute)}
		sent = append(sent, dispatches(co.Update(now, admission.ArriveMsg{Request: rq}))...)
	}
	for range queued + 2 {
		step(0)
	}
	now := clock.Instant(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		dc := sent[0]
		sent = sent[1:]
		cmds := co.Update(now, admission.DoneMsg{ID: dc.ID, Upstream: dc.Upstream, Verdict: verdict.Ran})
		sent = append(sent, dispatches(cmds)...)
		step(now)
	}
}
