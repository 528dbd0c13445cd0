package fakeupstream

import (
	"encoding/json"
	"net/http"
)

// Paths that control a stand-in that runs as a separate process.
const (
	// faultsPath accepts faults as JSON; an empty object clears them.
	faultsPath = "/_stand/faults"
	// runsPath returns the requests that ran.
	runsPath = "/_stand/runs"
)

// faultsJSON is the JSON form of Faults.
type faultsJSON struct {
	Slow         float64 `json:"slow"`
	Truncate     float64 `json:"truncate"`
	Reset        float64 `json:"reset"`
	Shed         float64 `json:"shed"`
	Stray        float64 `json:"stray"`
	LateGrants   float64 `json:"lateGrants"`
	Leaving      bool    `json:"leaving"`
	Limit        string  `json:"limit"`
	PauseMs      int     `json:"pauseMs"`
	Pour         float64 `json:"pour"`
	Unresponsive bool    `json:"deaf"`
}

// handleFaults sets the faults from the request's body.
func (up *Upstream) handleFaults(rw http.ResponseWriter, rq *http.Request) {
	var fj faultsJSON
	dc := json.NewDecoder(rq.Body)
	dc.DisallowUnknownFields()
	if err := dc.Decode(&fj); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	up.SetFaults(Faults(fj))
}

// runJSON is the JSON form of a Run.
type runJSON struct {
	Request string `json:"request"`
	Caller  string `json:"caller,omitempty"`
	AtMs    int64  `json:"atMs"`
	Key     int    `json:"key"`
	Held    bool   `json:"held"`
}

// handleRuns writes the list of runs.
func (up *Upstream) handleRuns(rw http.ResponseWriter) {
	list := []runJSON{}
	for _, run := range up.Runs() {
		list = append(list, runJSON{Request: run.Request, Caller: run.CallerRequest, AtMs: run.At.UnixMilli(), Key: run.Key, Held: run.Held})
	}
	rw.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(rw).Encode(list)
}
