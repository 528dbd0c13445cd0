package metastore

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Paths that control a stand-in that runs as a separate process.
const (
	// faultsPath accepts faults as JSON; an empty object clears them.
	faultsPath = "/_stand/faults"
	// rowsPath is followed by TABLE/KEY. DELETE removes the row; any other method
	// writes the body to it.
	rowsPath = "/_stand/rows/"
	// returnPath makes the store come back from a copy; the body is the copy's age,
	// such as "3s".
	returnPath = "/_stand/return"
)

// faultsJSON is the JSON form of Faults.
type faultsJSON struct {
	Down         bool     `json:"down"`
	Unresponsive bool     `json:"silent"`
	Refused      []string `json:"refused"`
	DelayMs      int      `json:"delayMs"`
	LoseAnswers  float64  `json:"loseAnswers"`
}

// handleControl answers requests that control the stand-in; false means that the
// request belongs to the platform's protocol.
func (db *Store) handleControl(rw http.ResponseWriter, rq *http.Request, body []byte) bool {
	if rq.URL.Path == faultsPath {
		db.handleFaults(rw, body)
		return true
	}
	if rq.URL.Path == returnPath {
		age, err := time.ParseDuration(string(body))
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return true
		}
		db.Return(age)
		return true
	}
	path, found := strings.CutPrefix(rq.URL.Path, rowsPath)
	if !found {
		return false
	}
	table, key, _ := strings.Cut(path, "/")
	if rq.Method == http.MethodDelete {
		db.Drop(table, key)
		return true
	}
	db.Put(table, key, body)
	return true
}

// handleFaults sets the faults from the request's body.
func (db *Store) handleFaults(rw http.ResponseWriter, body []byte) {
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
