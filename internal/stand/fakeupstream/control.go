package fakeupstream

import (
	"encoding/json"
	"net/http"
)

// What a person asks of a stand-in that runs as a process of its own.
const (
	// faultsPath takes faults as JSON; an empty object takes them back.
	faultsPath = "/_stand/faults"
	// runsPath lists what was run.
	runsPath = "/_stand/runs"
)

// faultsJSON is the text form of faults.
type faultsJSON struct {
	Slow         float64 `json:"slow"`
	Truncate     float64 `json:"truncate"`
	Reset        float64 `json:"reset"`
	Shed         float64 `json:"shed"`
	Stray        float64 `json:"stray"`
	LateGrants   float64 `json:"lateGrants"`
	Unresponsive bool    `json:"deaf"`
}

func (up *Upstream) setFaults(rw http.ResponseWriter, rq *http.Request) {
	var fj faultsJSON
	dc := json.NewDecoder(rq.Body)
	dc.DisallowUnknownFields()
	if err := dc.Decode(&fj); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	up.SetFaults(Faults(fj))
}

// runJSON is the text form of a run.
type runJSON struct {
	Request string `json:"request"`
	Caller  string `json:"caller,omitempty"`
	AtMs    int64  `json:"atMs"`
	Key     int    `json:"key"`
	Held    bool   `json:"held"`
}

func (up *Upstream) listRuns(rw http.ResponseWriter) {
	list := []runJSON{}
	for _, run := range up.Runs() {
		list = append(list, runJSON{Request: run.Request, Caller: run.Caller, AtMs: run.At.UnixMilli(), Key: run.Key, Held: run.Held})
	}
	rw.Header().Set("Content-Type", "application/json")
	// A caller that left needs no answer.
	_ = json.NewEncoder(rw).Encode(list)
}
