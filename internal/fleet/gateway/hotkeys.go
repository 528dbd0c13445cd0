package gateway

import (
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/serving/hotkey"
)

// noteHotKey reports a key that has become hot or calm.
func (gw *Gateway) noteHotKey(ch hotkey.Change) {
	count := gw.permits.HotKeys()
	gw.config.Metrics.hotKeyChanged(count, ch.Refused)
	fields := eventlog.Fields{"service": ch.ID.Service, "key": ch.ID.Key, "hotKeys": count}
	if ch.Hot {
		gw.config.Log.Event("keyHot", fields)
		return
	}
	fields["refused"] = ch.Refused
	gw.config.Log.Event("keyCalm", fields)
}
