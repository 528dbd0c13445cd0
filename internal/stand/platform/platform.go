// Package platform is a stand-in for the platform's table service, object
// store and census, with faults that can be set while it runs.
//
//	pf := platform.New()
//	pf.SetFaults(platform.Faults{Down: true})
//	http.ListenAndServe("127.0.0.1:7000", pf.Handler())
package platform

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilwalk/internal/platform/client"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 16 << 20

// Faults are the ways in which the stand-in misbehaves.
type Faults struct {
	// Down answers nothing but 503.
	Down bool `json:"down"`
	// SlowMillis delays every answer by this many milliseconds.
	SlowMillis int `json:"slowMillis"`
	// LoseAnswers breaks the connection after a transaction took effect.
	LoseAnswers bool `json:"loseAnswers"`
	// CutDomains lists the domains that get no answer.
	CutDomains []string `json:"cutDomains"`
	// CensusFrozen keeps the census as it is.
	CensusFrozen bool `json:"censusFrozen"`
}

// Platform is the stand-in. Its methods may be called from many goroutines.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]client.Row
	objects map[string][]byte
	census  []client.CensusEntry
	faults  Faults
	reads   int
	writes  int
}

// New makes an empty platform without faults.
func New() *Platform {
	return &Platform{rows: map[string]client.Row{}, objects: map[string][]byte{}}
}

// SetFaults replaces the faults.
func (pf *Platform) SetFaults(fa Faults) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.faults = fa
}

// SetCensus replaces the census unless it is frozen.
func (pf *Platform) SetCensus(entries []client.CensusEntry) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	if !pf.faults.CensusFrozen {
		pf.census = entries
	}
}

// Counts returns how many reads and writes were served.
func (pf *Platform) Counts() (reads, writes int) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	return pf.reads, pf.writes
}

// Handler serves the platform's HTTP interface and /fault, which replaces the
// faults by the JSON of its body.
func (pf *Platform) Handler() http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("POST /fault", pf.serveFault)
	mx.HandleFunc("POST /fault/census", pf.serveSetCensus)
	mx.Handle("/", pf.faulty(pf.service()))
	return mx
}

func (pf *Platform) service() http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("GET "+client.ReadPath, pf.serveRead)
	mx.HandleFunc("GET "+client.PrefixPath, pf.servePrefix)
	mx.HandleFunc("POST "+client.TransactPath, pf.serveTransact)
	mx.HandleFunc("PUT "+client.ObjectPath+"{digest}", pf.servePut)
	mx.HandleFunc("GET "+client.ObjectPath+"{digest}", pf.serveGet)
	mx.HandleFunc("GET "+client.CensusPath, pf.serveCensus)
	return mx
}

// faulty applies the faults that concern every call.
func (pf *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		pf.mu.Lock()
		fa := pf.faults
		pf.mu.Unlock()
		if fa.SlowMillis > 0 {
			time.Sleep(time.Duration(fa.SlowMillis) * time.Millisecond)
		}
		if fa.Down {
			http.Error(rw, "down", http.StatusServiceUnavailable)
			return
		}
		if slices.Contains(fa.CutDomains, rq.Header.Get(client.DomainHeader)) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(rw, rq)
	})
}

func (pf *Platform) serveFault(rw http.ResponseWriter, rq *http.Request) {
	var fa Faults
	dc := json.NewDecoder(io.LimitReader(rq.Body, maxBodyBytes))
	dc.DisallowUnknownFields()
	if err := dc.Decode(&fa); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	pf.SetFaults(fa)
}

func (pf *Platform) serveSetCensus(rw http.ResponseWriter, rq *http.Request) {
	var entries []client.CensusEntry
	if err := json.NewDecoder(io.LimitReader(rq.Body, maxBodyBytes)).Decode(&entries); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	pf.SetCensus(entries)
}

func (pf *Platform) serveRead(rw http.ResponseWriter, rq *http.Request) {
	key := rq.URL.Query().Get("key")
	pf.mu.Lock()
	row, ok := pf.rows[key]
	pf.reads++
	pf.mu.Unlock()
	if !ok {
		row = client.Row{Key: key}
	}
	writeJSON(rw, []client.Row{row})
}

func (pf *Platform) servePrefix(rw http.ResponseWriter, rq *http.Request) {
	prefix := rq.URL.Query().Get("prefix")
	found := []client.Row{}
	pf.mu.Lock()
	for key, row := range pf.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	pf.reads++
	pf.mu.Unlock()
	slices.SortFunc(found, func(left, right client.Row) int { return cmp.Compare(left.Key, right.Key) })
	writeJSON(rw, found)
}

func (pf *Platform) serveTransact(rw http.ResponseWriter, rq *http.Request) {
	var writes []client.Write
	if err := json.NewDecoder(io.LimitReader(rq.Body, maxBodyBytes)).Decode(&writes); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	rows, ok, lose := pf.transact(writes)
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !ok:
		http.Error(rw, "conflict", http.StatusConflict)
	default:
		writeJSON(rw, rows)
	}
}

func (pf *Platform) transact(writes []client.Write) (rows []client.Row, ok, lose bool) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	for _, wr := range writes {
		if pf.rows[wr.Key].Version != wr.Base {
			return nil, false, false
		}
	}
	for _, wr := range writes {
		row := client.Row{Key: wr.Key, Value: wr.Value, Version: wr.Base + 1}
		pf.rows[wr.Key] = row
		rows = append(rows, row)
		pf.writes++
	}
	return rows, true, pf.faults.LoseAnswers
}

func (pf *Platform) servePut(_ http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.objects[rq.PathValue("digest")] = body
	pf.writes++
}

func (pf *Platform) serveGet(rw http.ResponseWriter, rq *http.Request) {
	pf.mu.Lock()
	body, ok := pf.objects[rq.PathValue("digest")]
	pf.reads++
	pf.mu.Unlock()
	if !ok {
		http.Error(rw, "missing", http.StatusNotFound)
		return
	}
	_, _ = rw.Write(body)
}

func (pf *Platform) serveCensus(rw http.ResponseWriter, _ *http.Request) {
	pf.mu.Lock()
	entries := slices.Clone(pf.census)
	pf.reads++
	pf.mu.Unlock()
	writeJSON(rw, entries)
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}
