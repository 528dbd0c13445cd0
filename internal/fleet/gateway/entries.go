package gateway

import (
	"net/netip"
	"slices"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/platform"
)

// rosterEvent carries the upstream entries as this host read them.
type rosterEvent struct {
	entries   []roster.Entry
	malformed []platform.MalformedEntry
	version   platform.Version
	// away reports that the store had been unavailable before this read.
	away bool
}

// rosterTickEvent makes the loop check the known entries again: missing ones may
// have to be removed by now.
type rosterTickEvent struct{}

// pollEntries reads the upstream entries periodically unless a leader does it
// for this host.
func (gw *Gateway) pollEntries() {
	lastOK, lost := time.Now(), false
	known := map[string]platform.Version{}
	retry := minRetryDelay
	er := entryReader{store: gw.store}
	if !gw.awaitEntries() {
		return
	}
	for {
		if gw.leaderFresh() && !gw.leading.Load() {
			// The leader reads for all hosts.
			er.forget()
			lastOK, lost = time.Now(), false
			gw.send(rosterTickEvent{})
			freshFor := clock.Instant(gw.leaderReadAt.Load()).Add(maxEntriesAge).Sub(gw.clock.Now())
			if !gw.sleepUnlessWoken(max(min(freshFor, pollInterval), time.Millisecond)) {
				return
			}
			continue
		}
		answer := make(chan error, 1)
		go func() { answer <- er.read() }()
		var err error
		select {
		case <-gw.done:
			return
		case err = <-answer:
		}
		wait := pollInterval
		if gw.leading.Load() {
			wait = leaderPollInterval
		}
		if err != nil {
			wait, retry = retry, min(2*retry, maxRetryDelay)
			if !lost {
				gw.config.Log.ErrorEvent("storeLost", err, eventlog.Fields{"sinceMs": time.Since(lastOK).Milliseconds()})
			}
			lost = true
		} else {
			away := time.Since(lastOK) > storeAwayTimeout
			if lost {
				gw.config.Log.Event("storeRegained", eventlog.Fields{"awayMs": time.Since(lastOK).Milliseconds(), "version": er.version})
			}
			lost, lastOK, retry = false, time.Now(), minRetryDelay
			// A copy, as the loop marks entries.
			gw.send(rosterEvent{entries: slices.Clone(er.entries), version: er.version, malformed: newlyMalformed(er.malformed, known), away: away})
		}
		if !gw.sleep(wait) {
			return
		}
	}
}

// awaitEntries leaves it to a leader to send the entries to this host, which has just
// started, until its own first read is due. It returns false when the gateway is closed.
func (gw *Gateway) awaitEntries() bool {
	first := newFirstRead(gw.clock.Now(), gw.self.Host, gw.fitness())
	for !gw.leading.Load() && !gw.leaderFresh() {
		left := first.dueAt(gw.rowConditions().heard, int(gw.domainRank.Load())).Sub(gw.clock.Now())
		if left <= 0 {
			return true
		}
		if !gw.sleepUnlessWoken(left) {
			return false
		}
	}
	return true
}

// sleepUnlessWoken is sleep, but ends when this host begins or ceases to lead.
func (gw *Gateway) sleepUnlessWoken(wait time.Duration) bool {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-gw.entriesWake:
	case <-gw.done:
		return false
	}
	return true
}

// wake wakes the goroutine that waits for a signal.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// newlyMalformed returns the malformed entries that are new or have changed, so that
// each is logged once. The map known holds the versions of those that were, by
// key; it is updated.
func newlyMalformed(malformed []platform.MalformedEntry, known map[string]platform.Version) []platform.MalformedEntry {
	var added []platform.MalformedEntry
	seen := map[string]bool{}
	for _, me := range malformed {
		seen[me.Key] = true
		if version, before := known[me.Key]; !before || version != me.Version {
			added = append(added, me)
		}
		known[me.Key] = me.Version
	}
	for key := range known {
		if !seen[key] {
			delete(known, key)
		}
	}
	return added
}

const (
	// maxMalformedLines is how many malformed entries are logged in malformedLinesInterval:
	// hundreds of them, or some that change at each heartbeat, must leave room for other
	// events.
	maxMalformedLines      = 20
	malformedLinesInterval = time.Minute
)

// malformedLines limits the lines about malformed entries. The zero value is ready to use.
type malformedLines struct {
	lines, omitted int
	endsAt         clock.Instant
}

// take returns whether a malformed entry is logged, and how many were left out before it.
func (ml *malformedLines) take(now clock.Instant) (omitted int, logged bool) {
	if now >= ml.endsAt {
		ml.lines, ml.endsAt = 0, now.Add(malformedLinesInterval)
	}
	if ml.lines >= maxMalformedLines {
		ml.omitted++
		return 0, false
	}
	ml.lines++
	omitted, ml.omitted = ml.omitted, 0
	return omitted, true
}

// logMalformedRows logs rows of the store that name no upstream.
func (gw *Gateway) logMalformedRows(now clock.Instant, malformed []platform.MalformedEntry) {
	for _, me := range malformed {
		if omitted, logged := gw.malformedLines.take(now); logged {
			gw.config.Log.ErrorEvent("entryMalformed", me.Err, eventlog.Fields{"key": me.Key, "version": me.Version, "omitted": omitted})
		}
	}
}

// logMalformed logs the entries of a leader's message that were left out. The host's list
// then has another digest than the leader's, so the leader sends it whole lists.
func (gw *Gateway) logMalformed(now clock.Instant, malformed []error, from netip.AddrPort) {
	for _, err := range malformed {
		if omitted, logged := gw.malformedLines.take(now); logged {
			gw.config.Log.ErrorEvent("entryMalformed", err, eventlog.Fields{"from": from.String(), "omitted": omitted})
		}
	}
}
