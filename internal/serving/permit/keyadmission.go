package permit

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/serving/hotkey"
)

// admitByKey decides on an ask whose key alone asks for more than its owner can run; hot is false for
// others. Owners with a limit have times of their own for those who return.
func (co *Core) admitByKey(now clock.Instant, ak *ask, us *upstream, es Estimate) (dc hotkey.Decision, hot bool) {
	if us == nil || es.Limit.Named || us.latency <= 0 {
		return hotkey.Decision{}, false
	}
	id := hotkey.ID{Service: ak.Service, Key: ak.Key}
	ow := hotkey.Owner{PerSecond: float64(us.slots) / us.latency.Seconds(), Slots: us.slots, Latency: us.latency}
	if !co.hotKeys.Count(now, id, ow) {
		return hotkey.Decision{}, false
	}
	if _, moving := co.owner(ak); moving {
		ow.Delay = co.moveTimeLeft(now, ak)
	} else if co.isDisowned(now, ak) {
		ow.Delay = disownedDelay
	}
	ow.Running, ow.Others = us.runningFor(now, ak)
	for _, other := range co.waiting[ak.Service] {
		if owner, _ := co.owner(other); owner != us {
			continue
		}
		if other.Key == ak.Key {
			ow.Waiting++
		} else {
			ow.Others++
		}
	}
	return co.hotKeys.Decide(now, hotkey.Ask{
		ID: id, Host: ak.Host, Domain: ak.Domain, Priority: ak.Priority, Fingerprint: ak.Fingerprint,
		ObjectiveLeft: ak.ObjectiveLeft, TimeLeft: ak.TimeLeft,
	}, ow), true
}

// runningFor counts the requests for an ask's key and those for others that run.
func (us *upstream) runningFor(now clock.Instant, ak *ask) (running, others int) {
	for _, other := range us.running {
		if other.Key == ak.Key {
			running++
		}
	}
	return running, us.busy(now) - running
}

// admittedByKey lets an ask for a hot key wait behind those for other keys, so that the key takes nothing
// from them. After half of the time that it can wait it goes before them: an ask that was admitted is not
// refused at its deadline.
func (ak *ask) admittedByKey(now clock.Instant, dc hotkey.Decision, es Estimate) {
	ak.byKey, ak.returning, ak.yields = true, dc.Returning, true
	ak.yieldUntil = now.Add((ak.TimeLeft - es.Latency) / 2)
}

// beforeByKey is before for asks of which at least one is for a hot key. Among each other these are in
// order of arrival, those who return first.
func (ak *ask) beforeByKey(other *ask) bool {
	switch {
	case ak.byKey != other.byKey:
		return ak.byKey != (ak.yields || other.yields)
	case ak.yields != other.yields:
		return !ak.yields
	case ak.Priority != other.Priority:
		return ak.Priority < other.Priority
	case ak.returning != other.returning:
		return ak.returning
	default:
		return ak.arrivedAt < other.arrivedAt
	}
}

// reportHotKeys adds the keys that have become hot or calm to commands.
func (co *Core) reportHotKeys(cmds []Cmd) []Cmd {
	for _, ch := range co.hotKeys.Changes() {
		cmds = append(cmds, HotKeyCmd{ch})
	}
	return cmds
}

// HotKeys returns the number of keys that are asked for more than their owner can run.
func (co *Core) HotKeys() int { return co.hotKeys.Len() }
