package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/ownership/agent"
	"chervilwalk/internal/ownership/election"
	"chervilwalk/platform"
)

// The store rows that hold chervilwalk's own persistent state.
const (
	ownTable      = "chervilwalk"
	leaderKey     = "leader"
	assignmentKey = "assignment"
)

const (
	// watchWait is how long the store holds a watch open. It limits how long a
	// connection that has silently failed is trusted.
	watchWait = 3 * time.Second
	// leaderWatchWait is the same for the leader, whose heartbeats tell the other hosts of a
	// change: with watchTimeoutSlack and their time, less than the three seconds after which
	// hosts count as in touch again.
	leaderWatchWait = 1500 * time.Millisecond
	// longWatchWait is the same while a leader reports the newest version.
	longWatchWait = 25 * time.Second
	// maxEntriesAge is the maximum age of entries confirmed by a leader: the
	// interval between its reads plus that between its heartbeats plus the network
	// delay.
	maxEntriesAge = 1200 * time.Millisecond
	// maxWatchLag is how long a watch may take to deliver what the leader already
	// has: longer than the pause between two watches, shorter than the interval
	// between two heartbeats.
	maxWatchLag = 350 * time.Millisecond
	// watchDelay is the time from a change to the next watch, so that several
	// changes in quick succession cost one call; the platform allows two seconds
	// for a change to take effect.
	watchDelay = 250 * time.Millisecond
	// watchTimeoutSlack is how long after the end of a watch its response may arrive.
	watchTimeoutSlack = 700 * time.Millisecond
	// readTimeout bounds a read, also while the store is slow.
	readTimeout = 1200 * time.Millisecond
	// writeTimeout bounds a write. Moving keys wait for it if the response is lost;
	// a slow store responds within a third of it.
	writeTimeout = 700 * time.Millisecond
	// pollInterval is the time between two reads of the upstream entries by a
	// host for itself, leaderPollInterval by the leader for all hosts.
	pollInterval       = 800 * time.Millisecond
	leaderPollInterval = 500 * time.Millisecond
	// minRetryDelay is the time to the next read after a failed one. It doubles
	// with each further failure up to maxRetryDelay, so that a store that is
	// unavailable for seconds is not polled constantly by all hosts and its return
	// is still noticed in time.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 900 * time.Millisecond
	// storeAwayTimeout is the time without a response after which the store counts
	// as unavailable.
	storeAwayTimeout = 1500 * time.Millisecond
)

// sleep waits for a duration and returns true, or returns false as soon as the
// gateway is closed.
func (gw *Gateway) sleep(wait time.Duration) bool {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-gw.done:
		return false
	}
}

// eraKey is the key of the row that marks an era of the store. Every write expects it:
// one from an earlier era that arrives late could otherwise find the versions that it
// expects given out again.
func eraKey(er era.Era) string { return "era/" + strconv.FormatUint(uint64(er), 10) }

// readOwnRows reads the leader's row and the assignment.
func (gw *Gateway) readOwnRows() {
	ms := agent.RowsMsg{StartedAt: gw.clock.Now(), Table: &assignment.Table{}}
	rows, version, err := gw.store.Read(ownTable, "", time.Now().Add(readTimeout))
	ms.Era = version.Era()
	for _, rw := range rows {
		if err != nil {
			break
		}
		switch rw.Key {
		case eraKey(ms.Era):
			ms.EraRowVersion = election.Version(rw.Version)
		case leaderKey:
			ms.RowVersion = election.Version(rw.Version)
			var rowErr error
			if ms.Row, rowErr = election.Decode(rw.Value); rowErr == nil && era.Of(ms.Row.Term) > ms.Era {
				rowErr = eris.Errorf("leader row: term %d is of a later era than the store's, %d", ms.Row.Term, ms.Era)
			}
			if ms.RowUnreadable = rowErr != nil; ms.RowUnreadable {
				gw.config.Log.ErrorEvent("leaderRowMalformed", rowErr, eventlog.Fields{"version": rw.Version})
			}
		case assignmentKey:
			ms.TableVersion = election.Version(rw.Version)
			tb, tableErr := assignment.Decode(rw.Value)
			if tableErr == nil && (era.Of(tb.Revision) > ms.Era || era.Of(tb.LastEpoch) > ms.Era) {
				tableErr = eris.Errorf("assignment: revision %d or epoch %d is of a later era than the store's, %d", tb.Revision, tb.LastEpoch, ms.Era)
			}
			if ms.TableUnreadable = tableErr != nil; ms.TableUnreadable {
				gw.config.Log.ErrorEvent("assignmentMalformed", tableErr, eventlog.Fields{"version": rw.Version})
				continue
			}
			ms.Table = tb
		}
	}
	if err != nil {
		gw.config.Log.ErrorEvent("ownRowsUnread", err, nil)
		ms.Failed = true
	}
	gw.send(ms)
}

// writeOwnRow writes the leader's row or the assignment, whichever cmd contains.
func (gw *Gateway) writeOwnRow(cmd agent.WriteCmd) {
	ms := agent.WrittenMsg{Write: cmd, StartedAt: gw.clock.Now()}
	row := platform.Row{Table: ownTable, Key: leaderKey}
	var err error
	if cmd.Row != nil {
		row.Value, err = election.Encode(*cmd.Row)
	} else {
		row.Key = assignmentKey
		row.Value, err = assignment.Encode(cmd.Table)
	}
	if err != nil {
		gw.config.Log.ErrorEvent("ownRowNotEncoded", err, eventlog.Fields{"row": row.Key})
		ms.Outcome = agent.NotDone
		gw.send(ms)
		return
	}
	tx := platform.Transaction{
		Expect: []platform.Expected{
			{Table: ownTable, Key: leaderKey, Version: platform.Version(cmd.RowVersion)},
			{Table: ownTable, Key: assignmentKey, Version: platform.Version(cmd.TableVersion)},
			{Table: ownTable, Key: eraKey(cmd.Era), Version: platform.Version(cmd.EraRowVersion)},
		},
		Puts: []platform.Row{row},
	}
	if cmd.EraRowVersion == 0 {
		tx.Puts = append(tx.Puts, platform.Row{Table: ownTable, Key: eraKey(cmd.Era), Value: []byte(gw.self.Host)})
		if cmd.Era > 0 {
			tx.Drops = append(tx.Drops, platform.Row{Table: ownTable, Key: eraKey(cmd.Era - 1)})
		}
	}
	outcome, version, err := gw.store.Commit(tx, time.Now().Add(writeTimeout))
	if err != nil {
		gw.config.Log.ErrorEvent("ownRowNotWritten", err, eventlog.Fields{"row": row.Key, "outcome": outcome})
	}
	ms.Outcome, ms.Version = writeOutcomes[outcome], election.Version(version)
	gw.send(ms)
}

// writeOutcomes maps the store's outcomes to the agent's.
var writeOutcomes = map[platform.Outcome]agent.Outcome{
	platform.Unknown: agent.Unknown, platform.Done: agent.Done, platform.Conflict: agent.Conflict, platform.NotDone: agent.NotDone,
}

func (gw *Gateway) observeStoreCall(call string, took time.Duration, err error) {
	gw.config.Metrics.storeCall(call, took, err)
	gw.callCounts.add(call, err)
}

const (
	// callLogInterval is the time between two log lines about calls to the store.
	callLogInterval = 5 * time.Second
	// minLoggedCalls is the number of calls in that time from which they are
	// logged: a host that gets the entries from a leader makes fewer.
	minLoggedCalls = 10
)

// storeCallCounts counts calls to the store since the last log line about them.
type storeCallCounts struct {
	mu       sync.Mutex
	counts   map[string]int
	loggedAt clock.Instant
}

func (sc *storeCallCounts) add(call string, err error) {
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

// takeFields resets the counts after each callLogInterval and returns them as log
// fields. It returns true if there were enough calls to log.
func (sc *storeCallCounts) takeFields(now clock.Instant) (eventlog.Fields, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if now.Sub(sc.loggedAt) < callLogInterval {
		return nil, false
	}
	fields, total := eventlog.Fields{}, 0
	for call, count := range sc.counts {
		fields[call] = count
		total += count
	}
	sc.loggedAt = now
	clear(sc.counts)
	return fields, total >= minLoggedCalls
}
