package gateway

import (
	"errors"
	"sync"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/platform"
)

// The rows in which chervilwalk keeps what must last.
const (
	ownTable      = "chervilwalk"
	leaderKey     = "leader"
	assignmentKey = "assignment"
)

const (
	// watchWait is how long the store holds a watch open. It bounds how long a
	// connection that went silent is believed.
	watchWait = 3 * time.Second
	// ledWatchWait is the same while a leader says what is newest.
	ledWatchWait = 25 * time.Second
	// newsTime is how old the entries may be that are known through a leader:
	// the time between its reads and between its heartbeats, and their way.
	newsTime = 1200 * time.Millisecond
	// nudgeTime is how long a watch may take to bring what the leader has: longer
	// than a pause between two watches, shorter than the time between two heartbeats.
	nudgeTime = 350 * time.Millisecond
	// watchPause is the time from a change to the next watch, so that changes in
	// quick succession cost a call for several of them; the platform allows two
	// seconds for a change to be in force.
	watchPause = 250 * time.Millisecond
	// watchSlack is how much later than that its answer may come.
	watchSlack = 700 * time.Millisecond
	// readTime bounds a read, also while the store is slow.
	readTime = 1200 * time.Millisecond
	// writeTime bounds a write. Keys on the move wait for it when its answer is
	// lost; a slow store answers within a third of it.
	writeTime = 700 * time.Millisecond
	// pollEvery is the time between two reads of the upstreams' entries by a host
	// for itself, leaderPollEvery by the leader for all.
	pollEvery       = 800 * time.Millisecond
	leaderPollEvery = 500 * time.Millisecond
	// pollRetry is the time to the next read after a failed one. It doubles with
	// each further failure up to lastRetry: a store that is away for seconds is
	// not asked by all hosts all the time, and its return is noticed in time.
	pollRetry = 300 * time.Millisecond
	lastRetry = 900 * time.Millisecond
	// awayTime is how long the store must not have answered to count as away.
	awayTime = 1500 * time.Millisecond
)

// operatorEvent brings what the operators want.
type operatorEvent struct {
	state platform.OperatorState
	// changedAt is the version of the newest row.
	changedAt uint64
	err       error
}

// rosterEvent brings the upstreams' entries.
type rosterEvent struct {
	entries  []roster.Entry
	problems []platform.MalformedEntry
	version  platform.Version
	// away tells that the store had not answered for long before.
	away bool
}

// againEvent lets the entries that are known be looked at again: some that were
// missing may have to go.
type againEvent struct{}

// pause waits unless the process ends; false means that it does.
func (gw *Gateway) pause(wait time.Duration) bool {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-gw.done:
		return false
	}
}

// change is the end of a read or a watch.
type change struct {
	rows    []platform.Row
	version platform.Version
	err     error
}

// watchOperators follows the operators' rows. A nudge says that they have to be
// read at once: a watch may have gone silent.
func (gw *Gateway) watchOperators() {
	rows := map[string]platform.Row{}
	var version platform.Version
	known, lost := false, false
	retry := pollRetry
	for {
		answer := make(chan change, 1)
		if known {
			go gw.watch(version, answer)
		} else {
			go gw.readOperators(answer)
		}
		var ch change
		select {
		case <-gw.done:
			return
		case <-gw.nudge:
			known = false
			continue
		case ch = <-answer:
		}
		if ch.err != nil {
			if !lost {
				gw.cf.Journal.Problem("desiredStateSourceLost", ch.err, eventlog.Fields{"version": version})
			}
			lost, known = true, known && !errors.Is(ch.err, platform.ErrHistoryGone)
			if !gw.pause(retry) {
				return
			}
			retry = min(2*retry, lastRetry)
			continue
		}
		retry = pollRetry
		if lost {
			gw.cf.Journal.Event("desiredStateSourceRegained", eventlog.Fields{"version": ch.version})
		}
		if !known {
			clear(rows)
		}
		if len(ch.rows) > 0 || !known {
			ch.err = gw.applyOperatorRows(rows, ch)
		}
		if ch.err != nil {
			gw.cf.Journal.Problem("desiredStateNotFetched", ch.err, eventlog.Fields{"version": ch.version})
			known = false
			if !gw.pause(pollRetry) {
				return
			}
			continue
		}
		version, known, lost = max(version, ch.version), true, false
		gw.operatorAt.Store(uint64(version))
		if len(ch.rows) > 0 && !gw.pause(watchPause) {
			return
		}
	}
}

func (gw *Gateway) readOperators(answer chan<- change) {
	rows, version, err := gw.store.Read(gw.source.table(), "", time.Now().Add(readTime))
	answer <- change{rows, version, err}
}

func (gw *Gateway) watch(after platform.Version, answer chan<- change) {
	wait := watchWait
	led := gw.led() && !gw.leading.Load()
	gw.longWatch.Store(led)
	if led {
		// The leader tells of changes that a silent connection keeps back.
		wait = ledWatchWait
	}
	rows, version, err := gw.store.Watch(gw.source.table(), after, wait, time.Now().Add(wait+watchSlack))
	answer <- change{rows, version, err}
}

// led tells whether a leader knows the entries and tells of their changes.
func (gw *Gateway) led() bool {
	return gw.clock.Now().Sub(clock.Instant(gw.newsAt.Load())) < newsTime
}

// applyOperatorRows applies changed operator rows and passes on what they ask
// for. An error means that they have to be read again.
func (gw *Gateway) applyOperatorRows(rows map[string]platform.Row, ch change) error {
	changedAt := uint64(0)
	for _, rw := range ch.rows {
		changedAt = max(changedAt, uint64(rw.Version))
		if rw.Deleted {
			delete(rows, rw.Key)
			continue
		}
		rows[rw.Key] = rw
	}
	all := make([]platform.Row, 0, len(rows))
	for _, rw := range rows {
		all = append(all, rw)
	}
	state, problem, err := gw.source.decode(all)
	if err == nil {
		gw.send(operatorEvent{state, changedAt, problem})
	}
	return err
}

// pollUpstreams reads the upstreams' entries again and again.
func (gw *Gateway) pollUpstreams() {
	lastOK, lost := time.Now(), false
	known := map[string]platform.Version{}
	retry := pollRetry
	for {
		if gw.led() && !gw.leading.Load() {
			// The leader reads for all.
			lastOK, lost = time.Now(), false
			gw.send(againEvent{})
			vouched := clock.Instant(gw.newsAt.Load()).Add(newsTime).Sub(gw.clock.Now())
			if !gw.pause(max(min(vouched, pollEvery), time.Millisecond)) {
				return
			}
			continue
		}
		rows, version, err := gw.store.Read(platform.UpstreamTable, "", time.Now().Add(readTime))
		wait := pollEvery
		if gw.leading.Load() {
			wait = leaderPollEvery
		}
		if err != nil {
			wait, retry = retry, min(2*retry, lastRetry)
			if !lost {
				gw.cf.Journal.Problem("storeLost", err, eventlog.Fields{"sinceMs": time.Since(lastOK).Milliseconds()})
			}
			lost = true
		} else {
			away := time.Since(lastOK) > awayTime
			if lost {
				gw.cf.Journal.Event("storeRegained", eventlog.Fields{"awayMs": time.Since(lastOK).Milliseconds(), "version": version})
			}
			lost, lastOK, retry = false, time.Now(), pollRetry
			entries, problems := platform.DecodeEntries(rows)
			gw.send(rosterEvent{entries: entries, version: version, problems: fresh(problems, known), away: away})
		}
		if !gw.pause(wait) {
			return
		}
	}
}

// fresh keeps the problems of entries that changed since they were last seen.
func fresh(problems []platform.MalformedEntry, known map[string]platform.Version) []platform.MalformedEntry {
	var news []platform.MalformedEntry
	seen := map[string]bool{}
	for _, pb := range problems {
		seen[pb.Key] = true
		if _, before := known[pb.Key]; !before {
			news = append(news, pb)
		}
		known[pb.Key] = pb.Version
	}
	for key := range known {
		if !seen[key] {
			delete(known, key)
		}
	}
	return news
}

// readOwn reads chervilwalk's own rows.
func (gw *Gateway) readOwn() {
	ms := agent.RowsMsg{Began: gw.clock.Now(), Table: &assignment.Table{}}
	rows, _, err := gw.store.Read(ownTable, "", time.Now().Add(readTime))
	for _, rw := range rows {
		if err != nil {
			break
		}
		switch rw.Key {
		case leaderKey:
			ms.RowAt = election.Version(rw.Version)
			ms.Row, err = election.Decode(rw.Value)
		case assignmentKey:
			ms.TableAt = election.Version(rw.Version)
			ms.Table, err = assignment.Decode(rw.Value)
		}
	}
	if err != nil {
		gw.cf.Journal.Problem("ownRowsUnread", err, nil)
		ms.Failed = true
	}
	gw.send(ms)
}

// writeOwn writes one of chervilwalk's own rows.
func (gw *Gateway) writeOwn(cmd agent.WriteCmd) {
	ms := agent.WrittenMsg{Write: cmd, Began: gw.clock.Now()}
	row := platform.Row{Table: ownTable, Key: leaderKey}
	var err error
	if cmd.Row != nil {
		row.Value, err = election.Encode(*cmd.Row)
	} else {
		row.Key = assignmentKey
		row.Value, err = assignment.Encode(cmd.Table)
	}
	if err != nil {
		gw.cf.Journal.Problem("ownRowNotEncoded", err, eventlog.Fields{"row": row.Key})
		ms.Outcome = agent.NotDone
		gw.send(ms)
		return
	}
	outcome, version, err := gw.store.Commit(platform.Transaction{
		Expect: []platform.Expected{
			{Table: ownTable, Key: leaderKey, Version: platform.Version(cmd.RowAt)},
			{Table: ownTable, Key: assignmentKey, Version: platform.Version(cmd.TableAt)},
		},
		Puts: []platform.Row{row},
	}, time.Now().Add(writeTime))
	if err != nil {
		gw.cf.Journal.Problem("ownRowNotWritten", err, eventlog.Fields{"row": row.Key, "outcome": outcome})
	}
	ms.Outcome, ms.Version = written[outcome], election.Version(version)
	gw.send(ms)
}

// written translates the store's outcomes.
var written = map[platform.Outcome]agent.Outcome{
	platform.Unknown: agent.Unknown, platform.Done: agent.Done, platform.Conflict: agent.Conflict, platform.NotDone: agent.NotDone,
}

func (gw *Gateway) observeStore(call string, took time.Duration, err error) {
	gw.cf.Metrics.storeCall(call, took, err)
	gw.calls.add(call, err)
}

const (
	// callsEvery is the time between two lines about calls to the store.
	callsEvery = 5 * time.Second
	// callsWorthALine is how many calls in that time are worth one: a host that
	// hears a leader makes fewer.
	callsWorthALine = 10
)

// storeCalls counts calls to the store since the last line about them.
type storeCalls struct {
	mu     sync.Mutex
	counts map[string]int
	at     clock.Instant
}

func (sc *storeCalls) add(call string, err error) {
	if err != nil {
		call += "Unanswered"
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.counts == nil {
		sc.counts = map[string]int{}
	}
	sc.counts[call]++
}

// line returns what was counted, once it is due and worth a line.
func (sc *storeCalls) line(now clock.Instant) (eventlog.Fields, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if now.Sub(sc.at) < callsEvery {
		return nil, false
	}
	fields, total := eventlog.Fields{}, 0
	for call, count := range sc.counts {
		fields[call] = count
		total += count
	}
	sc.at = now
	clear(sc.counts)
	return fields, total >= callsWorthALine
}
