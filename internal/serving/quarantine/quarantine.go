// Package quarantine decides which requests are refused because they crash the upstreams that
// run them. Such a request comes again, at any host: without a memory that the hosts share it
// ends one upstream after the other.
//
// A request is suspect once the connection to an upstream has ended while it ran there. Then it
// runs one at a time. From two upstreams on it runs apart from other suspects, from three on it is
// in quarantine: refused but for a few trials at growing intervals. Each trial that reaches an
// upstream counts. One that crashes beside another request in quarantine says little and is
// repeated soon. An answer to a request, anywhere, ends the suspicion, so that requests which only
// ran beside a deadly one are free again at once.
//
// The core does no I/O. What it knows is merged with what the cores of other hosts know: crashes
// are a set, and an answer removes those before it.
//
//	co := quarantine.New()
//	cmds := co.Update(now, quarantine.CrashMsg{Fingerprint: fp, Upstream: up, Incarnation: in})
//	if rf, refused := co.Admit(now, ask); refused { … }
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

const (
	// apartCrashes is the number of crashed upstreams from which a request runs apart from other
	// suspects, quarantineCrashes that from which it is in quarantine.
	apartCrashes      = 2
	quarantineCrashes = 3
	// trialSlack is how long after its deadline a trial may still end.
	trialSlack = 300 * time.Millisecond
	// crashReportDelay is how long after a trial has broken off the report of its crash may
	// take to arrive.
	crashReportDelay = 500 * time.Millisecond
	// suspectsPerTrial is how many suspects that run apart there are for each that may run in a
	// service. Few at once, so that innocent ones do not run beside the deadly one.
	suspectsPerTrial = 32
	// singleRetryAfter is the Retry-After of a request that another run of it keeps waiting.
	singleRetryAfter = 200 * time.Millisecond
	// minRetryAfter is the least Retry-After of a request in quarantine.
	minRetryAfter = 100 * time.Millisecond
	// fallbackRetryAfter is the Retry-After of a request in quarantine at a host that issues no
	// trials: until the regular holder is known again.
	fallbackRetryAfter = time.Second
	// crashTTL is how long a crash is remembered.
	crashTTL = time.Hour
	// answerTTL is how long an answer is remembered: longer than reports of crashes before it may
	// be on their way.
	answerTTL = 10 * time.Second
	// maxSuspects and maxCrashes limit the memory of the core.
	maxSuspects = 4096
	maxCrashes  = 12
	// maxShared limits what the leader tells all members.
	maxShared = 200
)

// CrashMsg reports that the connection to an upstream has ended while it ran a request.
type CrashMsg struct {
	Fingerprint ident.Fingerprint
	Upstream    ident.Upstream
	Incarnation roster.Incarnation
	Run         protocol.Run
	// Age is the time since then.
	Age time.Duration
}

// AnswerMsg reports that an upstream has answered a request.
type AnswerMsg struct{ Fingerprint ident.Fingerprint }

// SuspectsMsg tells what another host knows or, if Stored is set, what the store has.
type SuspectsMsg struct {
	Suspects []protocol.Suspect
	Stored   bool
}

// TickMsg reports that time has passed. Crashes and answers that no longer count are forgotten.
type TickMsg struct{}

// DoneMsg reports that an ask has got a refusal or that its permit was released.
type DoneMsg struct {
	Trial Trial
	End   TrialEnd
}

// TrialEnd is how a trial has ended.
type TrialEnd int

const (
	// NotSent means that the request has reached no upstream.
	NotSent TrialEnd = iota
	// NotRun means that an upstream has refused the request.
	NotRun
	// Unanswered means that an upstream may have run the request, and that nobody knows how the run
	// ended.
	Unanswered
	// Broken means that the connection to the upstream has ended. The report of the crash follows.
	Broken
	// Answered means that an upstream has run the request to its end.
	Answered
)

// Trial identifies an ask across all hosts.
type Trial struct {
	Host        ident.Host
	Incarnation uint64
	Ticket      protocol.Ticket
}

// ChangedCmd reports that more crashes of a request are known than before, or none any more.
type ChangedCmd struct {
	Fingerprint ident.Fingerprint
	// Upstream is the one that has crashed last.
	Upstream ident.Upstream
	// Crashes counts the upstreams that have crashed, Before is what it was, Runs counts the runs
	// under which they have: several may end with one upstream.
	Crashes, Before, Runs int
	// NextTrial is when the request may run again, if it is in quarantine.
	NextTrial clock.Instant
}

// Quarantined reports whether the request is in quarantine.
func (cc ChangedCmd) Quarantined() bool { return cc.Crashes >= quarantineCrashes }

// Shared reports whether all hosts have to know the change.
func (cc ChangedCmd) Shared() bool { return max(cc.Runs, cc.Before) >= apartCrashes }

// IsShared reports whether all hosts have to know what a statement says.
func IsShared(st protocol.Suspect) bool { return len(st.Crashes) >= apartCrashes || st.Answered }

// subject is what a trial runs, and where.
type subject struct {
	fingerprint ident.Fingerprint
	service     ident.Service
}

// Core knows the suspects. It is not safe for concurrent use.
type Core struct {
	suspects map[ident.Fingerprint]*suspect
	// trials holds the suspects that run one at a time, by their current run.
	trials map[Trial]subject
	// forgotten holds the commands for suspects that were dropped since the last Update.
	forgotten []ChangedCmd
}

// New returns a core without suspects.
func New() *Core {
	return &Core{suspects: map[ident.Fingerprint]*suspect{}, trials: map[Trial]subject{}}
}

// Update handles one message and returns the resulting commands.
func (co *Core) Update(now clock.Instant, msg any) []ChangedCmd {
	var cmds []ChangedCmd
	switch ms := msg.(type) {
	case CrashMsg:
		cmds = co.merge(now, cmds, ms.Fingerprint, []crash{{upstream: ms.Upstream, incarnation: ms.Incarnation, run: ms.Run, at: now.Add(-ms.Age)}}, neverAnswered)
	case AnswerMsg:
		if _, known := co.suspects[ms.Fingerprint]; known {
			cmds = co.merge(now, cmds, ms.Fingerprint, nil, now)
		}
	case SuspectsMsg:
		for _, su := range ms.Suspects {
			crashes := make([]crash, 0, len(su.Crashes))
			for _, cr := range su.Crashes {
				crashes = append(crashes, crash{upstream: cr.Upstream, incarnation: cr.Incarnation, run: cr.Run, at: now.Add(-cr.Age)})
			}
			answeredAt := clock.Instant(neverAnswered)
			if su.Answered {
				answeredAt = now.Add(-su.AnsweredAge)
			}
			_, known := co.suspects[su.Fingerprint]
			cmds = co.merge(now, cmds, su.Fingerprint, crashes, answeredAt)
			if added := co.suspects[su.Fingerprint]; added != nil && !known && ms.Stored {
				added.unseen = 1
			}
		}
	case TickMsg:
		co.expire(now)
	case DoneMsg:
		cmds = co.endTrial(now, ms)
	}
	cmds, co.forgotten = append(cmds, co.forgotten...), nil
	return cmds
}

// Crashes returns how many upstreams have crashed under a request.
func (co *Core) Crashes(fp ident.Fingerprint) int {
	su, known := co.suspects[fp]
	if !known {
		return 0
	}
	return su.upstreams()
}

// Suspect reports whether upstreams have crashed under a request.
func (co *Core) Suspect(fp ident.Fingerprint) bool { return co.Crashes(fp) > 0 }

// Refused returns the refusal of a request in quarantine whose next trial is not due. Any host
// may refuse so; only Admit lets a trial run.
func (co *Core) Refused(now clock.Instant, fp ident.Fingerprint) (protocol.Refusal, bool) {
	su, known := co.suspects[fp]
	if !known || su.upstreams() < quarantineCrashes {
		return protocol.Refusal{}, false
	}
	next := co.nextTrial(now, su)
	if now >= next {
		return protocol.Refusal{}, false
	}
	// Without a further trial, when the crashes are forgotten.
	next = min(next, su.lastCrash().at.Add(crashTTL))
	return protocol.Refusal{Reason: "requestQuarantined", RetryAfter: max(next.Sub(now), minRetryAfter)}, true
}

// nextTrial returns when a suspect may run again, by what is known of others.
func (co *Core) nextTrial(now clock.Instant, su *suspect) clock.Instant {
	if su.upstreams() < quarantineCrashes {
		return su.nextTrial(now, false)
	}
	last := su.lastCrash()
	for _, other := range co.suspects {
		if other != su && other.upstreams() >= quarantineCrashes && other.crashed(last) {
			return su.nextTrial(now, true)
		}
	}
	return su.nextTrial(now, false)
}

// Admit decides on an ask as the holder. An ask that it admits runs alone among its repeats
// until DoneMsg. A repeated ask gets the same reply.
func (co *Core) Admit(now clock.Instant, ask protocol.Ask) (rf protocol.Refusal, refused bool) {
	su, known := co.suspects[ask.Fingerprint]
	if !known || len(su.crashes) == 0 {
		return protocol.Refusal{}, false
	}
	defer func() { rf.Ticket, rf.Asker = ask.Ticket, ask.Process() }()
	trial := Trial{Host: ask.Host, Incarnation: ask.Incarnation, Ticket: ask.Ticket}
	if now < su.trialUntil && su.trial == trial {
		return protocol.Refusal{}, false
	}
	if _, running := co.trials[su.trial]; running && now >= su.trialUntil {
		// Its host was not heard of again.
		delete(co.trials, su.trial)
		su.addRun(run{at: su.trialUntil})
	}
	if rf, refused := co.Refused(now, ask.Fingerprint); refused {
		return rf, true
	}
	if now < su.trialUntil {
		return protocol.Refusal{Reason: "requestSuspected", RetryAfter: singleRetryAfter}, true
	}
	if ask.Fallback && su.upstreams() >= quarantineCrashes {
		return protocol.Refusal{Reason: "requestQuarantined", RetryAfter: fallbackRetryAfter}, true
	}
	if su.upstreams() >= apartCrashes && !co.roomForTrial(now, ask.Service) {
		return protocol.Refusal{Reason: "requestSuspected", RetryAfter: singleRetryAfter}, true
	}
	su.trial, su.trialUntil = trial, now.Add(ask.TimeLeft+trialSlack)
	co.trials[trial] = subject{ask.Fingerprint, ask.Service}
	return protocol.Refusal{}, false
}

// roomForTrial reports whether one more request may run in a service apart from others.
func (co *Core) roomForTrial(now clock.Instant, service ident.Service) bool {
	running, suspects := 0, 0
	for _, sj := range co.trials {
		if su, known := co.suspects[sj.fingerprint]; known && sj.service == service && now < su.trialUntil && su.upstreams() >= apartCrashes {
			running++
		}
	}
	if running == 0 {
		return true
	}
	for _, su := range co.suspects {
		if su.upstreams() >= apartCrashes {
			suspects++
		}
	}
	return running < 1+suspects/suspectsPerTrial
}

// endTrial lets the next run of a suspect begin. An answer clears it: the host that got the answer
// may not know that it was one.
func (co *Core) endTrial(now clock.Instant, ms DoneMsg) []ChangedCmd {
	sj, known := co.trials[ms.Trial]
	if !known {
		return nil
	}
	delete(co.trials, ms.Trial)
	su, known := co.suspects[sj.fingerprint]
	if !known || su.trial != ms.Trial {
		return nil
	}
	su.trialUntil = now
	switch ms.End {
	case Answered:
		return co.merge(now, nil, sj.fingerprint, nil, now)
	case Broken:
		su.trialUntil = now.Add(crashReportDelay)
		su.addRun(run{at: now})
	case Unanswered:
		su.addRun(run{at: now})
	case NotRun:
		su.addRun(run{at: now, refused: true})
	}
	return nil
}

// merge adds crashes and an answer to what is known of a request.
func (co *Core) merge(now clock.Instant, cmds []ChangedCmd, fp ident.Fingerprint, crashes []crash, answeredAt clock.Instant) []ChangedCmd {
	su, known := co.suspects[fp]
	if !known {
		if fp == 0 {
			return cmds
		}
		co.makeRoom()
		su = &suspect{answeredAt: neverAnswered}
		co.suspects[fp] = su
	}
	before, runsBefore := su.upstreams(), len(su.crashes)
	su.answeredAt = max(su.answeredAt, answeredAt)
	for _, cr := range crashes {
		su.add(cr)
	}
	su.crashes = slices.DeleteFunc(su.crashes, func(cr crash) bool { return cr.at <= su.answeredAt || now.Sub(cr.at) > crashTTL })
	if len(su.crashes) == 0 {
		su.runs, su.unseen = nil, 0
	}
	if len(su.crashes) == runsBefore {
		return cmds
	}
	su.changedAt = now
	cc := ChangedCmd{Fingerprint: fp, Crashes: su.upstreams(), Before: before, Runs: len(su.crashes), NextTrial: co.nextTrial(now, su)}
	if cc.Crashes > 0 {
		cc.Upstream = su.lastCrash().upstream
	}
	return append(cmds, cc)
}

// expire forgets crashes and answers that no longer count.
func (co *Core) expire(now clock.Instant) {
	for fp, su := range co.suspects {
		su.crashes = slices.DeleteFunc(su.crashes, func(cr crash) bool { return now.Sub(cr.at) > crashTTL })
		if len(su.crashes) == 0 && su.answeredAt < now.Add(-answerTTL) {
			co.forget(fp)
		}
	}
}

func (co *Core) forget(fp ident.Fingerprint) {
	su := co.suspects[fp]
	delete(co.trials, su.trial)
	delete(co.suspects, fp)
	co.forgotten = append(co.forgotten, ChangedCmd{Fingerprint: fp, Before: su.upstreams()})
}

// makeRoom forgets a quarter of the suspects if there are too many: those with the fewest
// crashes, and of these the ones that have changed least lately.
func (co *Core) makeRoom() {
	if len(co.suspects) < maxSuspects {
		return
	}
	list := make([]ident.Fingerprint, 0, len(co.suspects))
	for fp := range co.suspects {
		list = append(list, fp)
	}
	slices.SortFunc(list, co.compare)
	for _, fp := range list[:len(list)/4] {
		co.forget(fp)
	}
}

// Len returns the number of suspects, those that were answered lately included.
func (co *Core) Len() int { return len(co.suspects) }

// Known returns what this host knows of a request, for other hosts.
func (co *Core) Known(now clock.Instant, fp ident.Fingerprint) (protocol.Suspect, bool) {
	su, known := co.suspects[fp]
	if !known {
		return protocol.Suspect{}, false
	}
	return su.statement(now, fp), true
}

// Shared returns the suspects that all hosts have to know, and those that no longer are any, if
// they have changed since a time: at most maxShared, those with the most crashes and the newest
// first.
func (co *Core) Shared(now, since clock.Instant) []protocol.Suspect {
	return co.statements(now, maxShared, func(su *suspect) bool {
		return su.changedAt >= since && (len(su.crashes) >= apartCrashes || su.answeredAt > now.Add(-answerTTL))
	})
}

// statements returns what is known of the suspects that listed selects.
func (co *Core) statements(now clock.Instant, limit int, listed func(*suspect) bool) []protocol.Suspect {
	var list []ident.Fingerprint
	for fp, su := range co.suspects {
		if listed(su) {
			list = append(list, fp)
		}
	}
	slices.SortFunc(list, func(left, right ident.Fingerprint) int { return co.compare(right, left) })
	statements := make([]protocol.Suspect, 0, min(len(list), limit))
	for _, fp := range list[:min(len(list), limit)] {
		statements = append(statements, co.suspects[fp].statement(now, fp))
	}
	return statements
}

// compare orders suspects by crashes, then by their last change.
func (co *Core) compare(left, right ident.Fingerprint) int {
	one, other := co.suspects[left], co.suspects[right]
	return cmp.Or(cmp.Compare(len(one.crashes), len(other.crashes)), cmp.Compare(one.changedAt, other.changedAt), cmp.Compare(left, right))
}

// Suspects returns the suspects, at most limit, those with the most crashes and the newest first.
func (co *Core) Suspects(now clock.Instant, limit int) []protocol.Suspect {
	return co.statements(now, limit, func(su *suspect) bool { return len(su.crashes) > 0 })
}
