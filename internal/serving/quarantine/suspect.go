package quarantine

import (
	"cmp"
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/peer/protocol"
)

// suspect is a request under which upstreams may have crashed.
type suspect struct {
	// crashes are in order of their time. Each is of a run of its own.
	crashes   []crash
	changedAt clock.Instant
	// answeredAt is when the request was last answered, or neverAnswered.
	answeredAt clock.Instant
	// trial is the run of the request that others wait for, until trialUntil.
	trial      Trial
	trialUntil clock.Instant
	// runs are the runs which this host has admitted and which reached an upstream and were not
	// answered, in order of their time. Not each has a crash of its own: a crash may go unseen, and
	// while the store is away an upstream may crash again under the incarnation that is known.
	runs []run
	// unseen is how many runs more may have reached upstreams: the store may lack the last one.
	unseen int
}

// run is a run of a request that was not answered.
type run struct {
	at clock.Instant
	// refused reports whether the upstream has refused it.
	refused bool
}

// crash is a crash of one incarnation of an upstream that ended one run.
type crash struct {
	upstream    ident.Upstream
	incarnation roster.Incarnation
	run         protocol.Run
	at          clock.Instant
}

// neverAnswered is before every reading of a clock.
const neverAnswered = -clock.Never

const (
	// settleTime is how long after the third crash others come of requests that were on their
	// way. Later crashes are those of trials.
	settleTime = 700 * time.Millisecond
	// firstTrialDelay is the time from the last crash to the first trial, and to the next ones
	// within trialWindow of the third run that ended in a crash. The window is shorter than the
	// time after which the users count repeats: they want all hosts to know by then.
	firstTrialDelay = time.Second
	trialWindow     = 2500 * time.Millisecond
)

// maxSoonTrials is how many trials after the window others may follow soon: since another request
// may have crashed their upstream, or since they were refused. One is left for later.
const maxSoonTrials = 2

// trialDelays are the times from the last crash to the next trial after the window, by the number
// of trials after it that have crashed an upstream. They are also all trials that may reach
// upstreams by then: the users allow three.
var trialDelays = [...]time.Duration{30 * time.Second, time.Minute, 10 * time.Minute}

// add adds a crash unless it is known. Of two times for one crash the earlier one counts: the
// other includes the time that its report took.
func (su *suspect) add(cr crash) {
	ix := slices.IndexFunc(su.crashes, func(known crash) bool { return known.same(cr) && known.run == cr.run })
	if ix < 0 {
		su.crashes = append(su.crashes, cr)
	} else {
		su.crashes[ix].at = min(su.crashes[ix].at, cr.at)
	}
	slices.SortFunc(su.crashes, crash.compare)
	su.trim()
}

// keptFirst is how many of the first crashes, and of the first ones of an upstream each, are kept:
// they begin the quarantine. Of the others the last keptLast are kept, which are trials.
const (
	keptFirst = quarantineCrashes
	keptLast  = maxCrashes - 2*keptFirst
)

// trim keeps at most maxCrashes. Which ones does not depend on the order in which a host hears of
// them, nor on what another host has dropped before: each part holds the first or the last of all.
func (su *suspect) trim() {
	kept := make([]crash, 0, maxCrashes)
	upstreams, lastFrom := 0, len(su.crashes)-keptLast
	for ix, cr := range su.crashes {
		first := !slices.ContainsFunc(su.crashes[:ix], cr.same)
		if first {
			upstreams++
		}
		if ix < keptFirst || first && upstreams <= keptFirst || ix >= lastFrom {
			kept = append(kept, cr)
		}
	}
	su.crashes = kept
}

// compare orders crashes by time, those of one time by what they are.
func (cr crash) compare(other crash) int {
	return cmp.Or(cmp.Compare(cr.at, other.at), cmp.Compare(cr.upstream, other.upstream), cmp.Compare(cr.incarnation, other.incarnation), cmp.Compare(cr.run, other.run))
}

// addRun adds a run.
func (su *suspect) addRun(rn run) {
	su.runs = append(su.runs, rn)
	su.runs = su.runs[max(len(su.runs)-maxCrashes, 0):]
}

// nextTrial returns when the request may run again: 0 outside the quarantine, clock.Never after
// the last trial. shared reports whether another request in quarantine ran beside the last trial
// when its upstream crashed.
func (su *suspect) nextTrial(now clock.Instant, shared bool) clock.Instant {
	if su.upstreams() < quarantineCrashes {
		return 0
	}
	begins, last := su.quarantinedAt(), su.lastCrash().at
	lateFrom := su.crashes[quarantineCrashes-1].at.Add(trialWindow)
	tried, crashed, ran, refused := false, 0, 0, 0
	for _, cr := range su.crashes {
		tried = tried || cr.at > begins.Add(settleTime)
		if cr.at > lateFrom {
			crashed++
		}
	}
	for _, rn := range su.runs {
		last = max(last, rn.at)
		tried = tried || rn.at > begins.Add(settleTime)
		switch {
		case rn.at <= lateFrom:
		case rn.refused:
			refused++
		default:
			ran++
		}
	}
	soon := shared || len(su.runs) > 0 && su.runs[len(su.runs)-1].refused
	// A run that crashed an upstream is among both.
	ran = max(crashed, ran)
	switch late := ran + refused + su.unseen; {
	case late == 0 && now < lateFrom, (soon || !tried) && late < maxSoonTrials:
		return last.Add(firstTrialDelay)
	case late < len(trialDelays):
		return last.Add(trialDelays[ran+su.unseen])
	default:
		return clock.Never
	}
}

// upstreams counts the upstreams that have crashed: each incarnation once.
func (su *suspect) upstreams() int {
	count := 0
	for ix, cr := range su.crashes {
		if !slices.ContainsFunc(su.crashes[:ix], cr.same) {
			count++
		}
	}
	return count
}

// quarantinedAt returns when the upstream crashed with which the quarantine began.
func (su *suspect) quarantinedAt() clock.Instant {
	for ix, count := 0, 0; ; ix++ {
		if !slices.ContainsFunc(su.crashes[:ix], su.crashes[ix].same) {
			count++
		}
		if count == quarantineCrashes {
			return su.crashes[ix].at
		}
	}
}

// lastCrash returns the last crash of a suspect that has some.
func (su *suspect) lastCrash() crash { return su.crashes[len(su.crashes)-1] }

// crashed reports whether a crash is one of the suspect's.
func (su *suspect) crashed(cr crash) bool {
	return slices.ContainsFunc(su.crashes, cr.same)
}

// same reports whether one upstream has crashed, once.
func (cr crash) same(other crash) bool {
	return cr.upstream == other.upstream && cr.incarnation == other.incarnation
}

func (su *suspect) statement(now clock.Instant, fp ident.Fingerprint) protocol.Suspect {
	st := protocol.Suspect{Fingerprint: fp, Crashes: make([]protocol.Crash, 0, len(su.crashes))}
	for _, cr := range su.crashes {
		st.Crashes = append(st.Crashes, protocol.Crash{Upstream: cr.upstream, Incarnation: cr.incarnation, Run: cr.run, Age: now.Sub(cr.at)})
	}
	if su.answeredAt != neverAnswered {
		st.Answered, st.AnsweredAge = true, now.Sub(su.answeredAt)
	}
	return st
}
