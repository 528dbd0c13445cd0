package gateway

import (
	"encoding/json"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/quarantine"
	"chervilwalk/platform"
)

const (
	// suspectTable and suspectKey name the row with the suspects, which survives the loss of all
	// hosts. Hosts read it as they start, and nothing else with it.
	suspectTable = "chervilwalkSuspects"
	suspectKey   = "requests"
	// maxStored keeps it below 64 KB, the size of a row.
	maxStored = 48
	// suspectWriteInterval is the least time between two writes of that row.
	suspectWriteInterval = 2 * time.Second
)

// storedSuspect is a suspect as the store has it. Times are in Unix milliseconds, as no other
// clock lasts longer than the hosts.
type storedSuspect struct {
	Fingerprint uint64        `json:"fingerprint,string"`
	Crashes     []storedCrash `json:"crashes"`
}

type storedCrash struct {
	Upstream    string `json:"upstream"`
	Incarnation int64  `json:"incarnation"`
	Run         uint32 `json:"run"`
	AtMs        int64  `json:"atMs"`
}

// suspectsEvent carries the suspects that the store has.
type suspectsEvent struct{ suspects []protocol.Suspect }

// suspectsUnstoredEvent reports that the row was perhaps not written.
type suspectsUnstoredEvent struct{}

// storeSuspects writes the suspects to the store when they have changed, if this host leads.
func (gw *Gateway) storeSuspects(now clock.Instant) {
	su := &gw.suspects
	if !gw.agent.Leading() || now.Sub(su.storedAt) < suspectWriteInterval {
		return
	}
	list := su.core.Suspects(now, maxStored)
	content := storedContent(list)
	if content == su.stored {
		return
	}
	su.stored, su.storedAt = content, now
	body, err := json.Marshal(encodeSuspects(time.Now(), list))
	if err != nil {
		gw.config.Log.ErrorEvent("suspectsNotStored", err, eventlog.Fields{"suspects": len(list)})
		return
	}
	go func() {
		tx := platform.Transaction{Puts: []platform.Row{{Table: suspectTable, Key: suspectKey, Value: body}}}
		if outcome, _, err := gw.store.Commit(tx, time.Now().Add(writeTimeout)); outcome != platform.Done {
			gw.config.Log.ErrorEvent("suspectsNotStored", err, eventlog.Fields{"suspects": len(list), "outcome": outcome})
			gw.send(suspectsUnstoredEvent{})
		}
	}()
}

// notStored is the content of a row that is not known.
const notStored = "not stored"

// storedContent returns what identifies the content of the row, without times.
func storedContent(list []protocol.Suspect) string {
	content := ""
	for _, su := range list {
		content += su.Fingerprint.String() + ":"
		for _, cr := range su.Crashes {
			content += string(cr.Upstream) + ","
		}
	}
	return content
}

func encodeSuspects(now time.Time, list []protocol.Suspect) []storedSuspect {
	stored := make([]storedSuspect, 0, len(list))
	for _, su := range list {
		row := storedSuspect{Fingerprint: uint64(su.Fingerprint)}
		for _, cr := range su.Crashes {
			row.Crashes = append(row.Crashes, storedCrash{Upstream: string(cr.Upstream), Incarnation: int64(cr.Incarnation), Run: uint32(cr.Run), AtMs: now.Add(-cr.Age).UnixMilli()})
		}
		stored = append(stored, row)
	}
	return stored
}

// decodeSuspects decodes the row of the store.
func decodeSuspects(now time.Time, body []byte) ([]protocol.Suspect, error) {
	var stored []storedSuspect
	if err := json.Unmarshal(body, &stored); err != nil {
		return nil, err
	}
	list := make([]protocol.Suspect, 0, len(stored))
	for _, row := range stored {
		su := protocol.Suspect{Fingerprint: ident.Fingerprint(row.Fingerprint)}
		for _, cr := range row.Crashes {
			su.Crashes = append(su.Crashes, protocol.Crash{
				Upstream: ident.Upstream(cr.Upstream), Incarnation: roster.Incarnation(cr.Incarnation), Run: protocol.Run(cr.Run), Age: max(now.Sub(time.UnixMilli(cr.AtMs)), 0),
			})
		}
		list = append(list, su)
	}
	return list, nil
}

// readSuspects reads the suspects as this host starts. Without them it hears of them from the
// leader or learns anew.
func (gw *Gateway) readSuspects() {
	rows, _, err := gw.store.Read(suspectTable, "", time.Now().Add(readTimeout))
	if err != nil {
		gw.config.Log.ErrorEvent("suspectsUnread", err, nil)
		return
	}
	for _, rw := range rows {
		list, err := decodeSuspects(time.Now(), rw.Value)
		if err != nil {
			gw.config.Log.ErrorEvent("suspectsMalformed", err, eventlog.Fields{"key": rw.Key, "version": rw.Version})
			continue
		}
		gw.send(suspectsEvent{list})
	}
}

// handleStoredSuspects handles what the store has.
func (gw *Gateway) handleStoredSuspects(ev suspectsEvent) {
	gw.updateSuspects(gw.clock.Now(), quarantine.SuspectsMsg{Suspects: ev.suspects, Stored: true}, "store")
}
