package trial

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/verdict"
	"chervilwalk/internal/stand/upstream"
)

// The checks of a trial see what they are there to see.

func TestDoubleOwnersAreSeen(t *testing.T) {
	tenure := func(up string, slice ident.Slice, from, to clock.Instant) upstream.Tenure {
		return upstream.Tenure{Upstream: ident.Upstream(up), Pool: "lookup@a#0", Slice: slice, From: from, To: to}
	}
	run := func(up, slice string, from, to clock.Instant) upstream.Run {
		return upstream.Run{Upstream: ident.Upstream(up), Pool: "lookup@b#0", Slice: slice, Started: from, Ended: to}
	}
	frozen := run("u1", "1", 1, 9)
	frozen.Frozen = true
	cases := map[string]struct {
		tenures []upstream.Tenure
		runs    []upstream.Run
		want    int
	}{
		"one after another":      {tenures: []upstream.Tenure{tenure("u2", 1, 5, 9), tenure("u1", 1, 1, 5)}},
		"two at once":            {tenures: []upstream.Tenure{tenure("u1", 1, 1, 6), tenure("u2", 1, 5, 9)}, want: 1},
		"one within another":     {tenures: []upstream.Tenure{tenure("u1", 1, 1, 9), tenure("u2", 1, 2, 3), tenure("u2", 1, 4, 5)}, want: 2},
		"two slices":             {tenures: []upstream.Tenure{tenure("u1", 1, 1, 6), tenure("u2", 2, 5, 9)}},
		"one upstream twice":     {tenures: []upstream.Tenure{tenure("u1", 1, 1, 6), tenure("u1", 1, 5, 9)}},
		"runs one after another": {runs: []upstream.Run{run("u1", "1", 1, 5), run("u2", "1", 5, 9)}},
		"runs at once":           {runs: []upstream.Run{run("u1", "1", 1, 6), run("u2", "1", 5, 9)}, want: 1},
		"runs without a slice":   {runs: []upstream.Run{run("u1", "", 1, 6), run("u2", "", 5, 9)}},
		"a frozen run":           {runs: []upstream.Run{frozen, run("u2", "1", 5, 9)}},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			gm.Expect(doubleTenures(cs.tenures) + doubleService(cs.runs)).To(Equal(cs.want))
		})
	}
}

func TestNewWorkAfterOutIsSeen(t *testing.T) {
	gm := NewWithT(t)
	ld := &Load{services: []bundle.Service{{Name: "lookup", Upstreams: []bundle.Upstream{{Name: "u1", Domain: "a"}, {Name: "u2", Domain: "b"}}}}}
	out := absence{domain: "a", from: 0, to: clock.Instant(10 * time.Second)}
	at := func(up string, dr time.Duration) upstream.Run {
		return upstream.Run{Upstream: ident.Upstream(up), Started: clock.Instant(dr)}
	}
	early, late, elsewhere, back := at("u1", time.Second), at("u1", 5*time.Second), at("u2", 5*time.Second), at("u1", 11*time.Second)
	gm.Expect(ld.newWork([]upstream.Run{early, late, elsewhere, back}, []absence{out})).To(Equal(1))
}

func TestAnswersAreComparedWhole(t *testing.T) {
	as := asked{method: "POST", path: "/orders/1", body: "two", bytes: 40_000}
	const id = "AAB"
	head := "AAB POST /orders/1 by u1 body 3fc4ccfe745870e2\n"
	line := id + "\n"
	piece := strings.Repeat(line, upstream.PieceBytes/len(line)+1)[:upstream.PieceBytes]
	whole := (head + piece + piece + piece)[:as.bytes]
	cases := map[string]struct {
		text             string
		truncated, wrong bool
	}{
		"whole":             {text: whole},
		"one byte short":    {text: whole[:len(whole)-1], truncated: true},
		"nothing":           {truncated: true},
		"one byte more":     {text: whole + "A", wrong: true},
		"another's body":    {text: whole[:30_000] + "B" + whole[30_001:], wrong: true},
		"another's head":    {text: strings.Replace(whole, "AAB POST", "AAC POST", 1), wrong: true},
		"another's request": {text: strings.Replace(whole, "3fc4", "0000", 1), wrong: true},
	}
	for name, cs := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			truncated, wrong := as.compare(id, []byte(cs.text))
			gm.Expect(truncated).To(Equal(cs.truncated))
			gm.Expect(wrong).To(Equal(cs.wrong))
		})
	}
}

func TestOutcomesAreHeldAgainstTheRuns(t *testing.T) {
	gm := NewWithT(t)
	var ct Counts
	ct.add(outcome{verdict: verdict.NotRun}, 1)
	ct.add(outcome{verdict: verdict.NotRun}, 0)
	ct.add(outcome{verdict: verdict.Ran}, 0)
	ct.add(outcome{verdict: verdict.Ran}, 1)
	ct.add(outcome{verdict: verdict.MayHaveRun, cut: true}, 1)
	gm.Expect(ct).To(Equal(Counts{Requests: 5, Answered: 2, RefusedNotRun: 2, MayHaveRun: 1, VisibleCuts: 1, FalseNotRun: 1, FalseRan: 1}))
	gm.Expect(ct.Broken()).To(BeTrue())
}

func TestUnservedTimeIsThePauseBetweenAnswers(t *testing.T) {
	gm := NewWithT(t)
	begin := time.Now()
	probe := func(after time.Duration, vd verdict.Verdict) outcome {
		return outcome{key: "k", verdict: vd, ended: begin.Add(after)}
	}
	probes := []outcome{probe(0, verdict.Ran), probe(time.Second, verdict.NotRun), probe(2*time.Second, verdict.Ran)}
	gm.Expect(unserved(probes)).To(Equal((2*time.Second - probeEvery).Milliseconds()))
}
