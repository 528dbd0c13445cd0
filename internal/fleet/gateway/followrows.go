package gateway

import (
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/era"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/platform"
)

// operatorStateEvent carries the decoded operator rows.
type operatorStateEvent struct {
	state platform.OperatorState
	// era is that of the store; rewritten holds the domains whose rows were written in
	// it, and not before.
	era       era.Era
	rewritten map[ident.Domain]bool
	// changedVersion is the newest version at which the rows may have changed.
	changedVersion uint64
	// rows are those that the state was decoded from, as the store had them at version.
	rows    []platform.Row
	version platform.Version
	// err names what is malformed or not validly signed; state has the rest.
	err error
}

// readResult is the result of a read or a watch.
type readResult struct {
	rowAnswer
	err error
}

// followOperatorRows keeps the operator rows up to date: by what other hosts send, by
// reads and by watches. A value on rereadOperators forces an immediate read, since the
// connection of a watch may have silently failed; one on rowsWake makes the choice again.
func (gw *Gateway) followOperatorRows() {
	var rs rowSet
	rf := rowFeed{first: newFirstRead(gw.clock.Now(), gw.self.Host, gw.fitness())}
	var answer chan readResult
	current := fromPeers
	for {
		now := gw.clock.Now()
		conditions := gw.rowConditions()
		source, until := rf.next(now, conditions)
		if source != current || answer == nil {
			// An abandoned call leaves its result in its buffered channel.
			answer = gw.callForRows(source, rf.known, rs.version, conditions)
		}
		current = source
		// The loop wakes this goroutine when the leader goes silent.
		gw.listening.Store(source == fromPeers && rf.known && until == clock.Never)
		tm := time.NewTimer(min(until.Sub(now), time.Hour))
		select {
		case <-gw.done:
			tm.Stop()
			return
		case <-gw.rowsWake:
			if gw.leading.Load() && current == fromWatch {
				// A leader's watches are shorter.
				answer = nil
			}
		case <-gw.rereadOperators:
			// The connection of the watch may have failed, and with it all that are open.
			gw.store.Close()
			rf.reread()
			answer = nil
		case ra := <-gw.relayedRows:
			if rs.accepts(ra, gw.store.Era()) && gw.takeRows(&rs, &rf, ra) && current == fromRead {
				answer = nil
			}
		case rr := <-answer:
			answer = nil
			gw.takeAnswer(&rs, &rf, rr)
		case <-tm.C:
		}
		tm.Stop()
	}
}

// takeAnswer handles what the store has answered.
func (gw *Gateway) takeAnswer(rs *rowSet, rf *rowFeed, rr readResult) {
	now := gw.clock.Now()
	if rr.err != nil {
		if rf.failed(now, rr.err) {
			gw.config.Log.ErrorEvent("desiredStateSourceLost", rr.err, eventlog.Fields{"version": rs.version})
		}
		return
	}
	if rf.failing {
		gw.config.Log.Event("desiredStateSourceRegained", eventlog.Fields{"version": rr.version})
	}
	gw.takeRows(rs, rf, rr.rowAnswer)
}

// takeRows puts rows in force and returns false if they must be read again.
func (gw *Gateway) takeRows(rs *rowSet, rf *rowFeed, ra rowAnswer) bool {
	now := gw.clock.Now()
	next := rs.update(ra)
	changed := len(ra.rows) > 0
	if changed || ra.whole {
		if err := gw.applyOperatorRows(next); err != nil {
			gw.config.Log.ErrorEvent("desiredStateNotFetched", err, eventlog.Fields{"version": ra.version})
			rf.undecoded(now)
			return false
		}
	}
	*rs = next
	gw.operatorVersion.Store(uint64(rs.version))
	rf.applied(now, changed)
	return true
}

// rowConditions returns what the choice of a source depends on.
func (gw *Gateway) rowConditions() rowConditions {
	age := gw.clock.Now().Sub(clock.Instant(gw.leaderHeardAt.Load()))
	return rowConditions{
		leading: gw.leading.Load(), rank: int(gw.domainRank.Load()), heard: age < leaderSilentTimeout, sends: gw.leaderSendsRows.Load(),
		fresh: gw.leaderStoreAge() < maxEntriesAge,
	}
}

// leaderSilentTimeout is how long after its last heartbeat a leader counts as heard.
const leaderSilentTimeout = time.Second

// leaderStoreAge returns the time since the store last answered the leader that this host
// follows, as far as it knows.
func (gw *Gateway) leaderStoreAge() time.Duration {
	return gw.clock.Now().Sub(clock.Instant(gw.leaderStoreAt.Load()))
}

// callForRows starts the call that a source needs.
func (gw *Gateway) callForRows(source rowSource, known bool, version platform.Version, rc rowConditions) chan readResult {
	answer := make(chan readResult, 1)
	switch source {
	case fromRead:
		go func() {
			if !known {
				// Before there is a desired state, and so before the first request.
				gw.readSuspects()
			}
			rows, version, err := gw.store.Read(gw.source.table(), "", time.Now().Add(readTimeout))
			answer <- readResult{rowAnswer{rows, version, true}, err}
		}()
	case fromWatch:
		wait := watchWait
		long := rc.fresh && !rc.leading
		switch {
		case rc.leading:
			wait = leaderWatchWait
		case long:
			// The leader reports changes that a silently failed connection misses.
			wait = longWatchWait
		}
		gw.longWatch.Store(long)
		go func() {
			rows, version, err := gw.store.Watch(gw.source.table(), version, wait, time.Now().Add(wait+watchTimeoutSlack))
			answer <- readResult{rowAnswer{rows, version, false}, err}
		}()
	case fromPeers:
		return nil
	}
	return answer
}

// leaderFresh reports whether a leader confirmed the known entries recently enough
// to rely on it for changes.
func (gw *Gateway) leaderFresh() bool {
	return gw.clock.Now().Sub(clock.Instant(gw.leaderReadAt.Load())) < maxEntriesAge
}

// applyOperatorRows decodes operator rows and sends the resulting state to the loop. An error
// means that they must be read again.
func (gw *Gateway) applyOperatorRows(rs rowSet) error {
	rows := rs.all()
	state, decodeErr, err := gw.source.decode(rows)
	if err == nil {
		gw.send(operatorStateEvent{
			state: state, era: rs.version.Era(), rewritten: rs.rewritten, changedVersion: uint64(rs.changedVersion), rows: rows, version: rs.version, err: decodeErr,
		})
	}
	return err
}
