package permit

import (
	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/serving/hotkey"
)

// admitByKey decides on an ask whose key alone asks for more than its owner can run; hot is false for
// others. Keys on the move wait for their next owner instead, and owners with a limit have times of
// their own for those who return.
func (co *Core) admitByKey(now clock.Instant, ak *ask, us *upstream, es Estimate) (dc hotkey.Decision, hot bool) {
	if us == nil || es.Limit.Named || us.latency <= 0 {
		return hotkey.Decision{}, false
	}
	if _, moving := co.owner(ak); moving || co.isDisowned(now, ak) {
		return hotkey.Decision{}, false
	}
	id := hotkey.ID{Service: ak.Service, Key: ak.Key}
	ow := hotkey.Owner{PerSecond: float64(us.slots) / us.latency.Seconds(), Slots: us.slots, Latency: us.latency}
	if !co.hotKeys.Count(now, id, ow) {
		return hotkey.Decision{}, false
	}
	for _, other := range us.running {
		if other.Key == ak.Key {
			ow.Running++
		}
	}
	ow.Others = us.busy(now) - ow.Running
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

// beforeByKey is before for asks of which at least one was admitted by admitByKey. These wait behind
// those for other keys, so that a hot key takes nothing from them, and among each other in order of
// arrival, those who return first.
func (ak *ask) beforeByKey(other *ask) bool {
	switch {
	case ak.byKey != other.byKey:
		return !ak.byKey
	case ak.Priority != other.Priority:
		return ak.Priority < other.Priority
	case ak.returning != other.returning:
		return ak.returning
	default:
		return ak.arrivedAt < other.arrivedAt
	}
}
