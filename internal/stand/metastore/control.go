package metastore

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// What a person or an upstream asks of a stand-in that runs as a process of
// its own.
const (
	// faultsPath takes faults as JSON; an empty object takes them back.
	faultsPath = "/_stand/faults"
	// rowPath is followed by a table and a key: PUT writes the row.
	rowPath = "/_stand/rows/"
)

// faultsJSON is the text form of faults.
type faultsJSON struct {
	Down         bool     `json:"down"`
	Unresponsive bool     `json:"silent"`
	Refused      []string `json:"refused"`
	DelayMs      int      `json:"delayMs"`
	LoseAnswers  float64  `json:"loseAnswers"`
}

// control answers what is not part of the platform's protocol; false means
// that the request is.
func (db *Store) control(rw http.ResponseWriter, rq *http.Request, body []byte) bool {
	if rq.URL.Path == faultsPath {
		db.setFaults(rw, body)
		return true
	}
	place, found := strings.CutPrefix(rq.URL.Path, rowPath)
	if !found {
		return false
	}
	table, key, _ := strings.Cut(place, "/")
	if rq.Method == http.MethodDelete {
		db.Drop(table, key)
		return true
	}
	db.Put(table, key, body)
	return true
}

func (db *Store) setFaults(rw http.ResponseWriter, body []byte) {
	var fj faultsJSON
	if err := json.Unmarshal(body, &fj); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	fl := Faults{Down: fj.Down, Unresponsive: fj.Unresponsive, LoseAnswers: fj.LoseAnswers, Delay: time.Duration(fj.DelayMs) * time.Millisecond, Refused: map[string]bool{}}
	for _, host := range fj.Refused {
		fl.Refused[host] = true
	}
	db.SetFaults(fl)
}
