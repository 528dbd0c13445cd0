// Package metastore is a stand-in for the platform's store: rows with versions,
// transactions under conditions, and a feed of changes, with the faults that a
// test asks for. It keeps everything in memory.
//
//	db := metastore.New()
//	db.Put("op", "config", body)
//	http.Serve(listener, db)
package metastore

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are what is wrong with the store.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Unresponsive lets every call wait until its caller gives up.
	Unresponsive bool
	// Refused are the hosts, by IP number, that get 503.
	Refused map[string]bool
	// Delay holds every answer back.
	Delay time.Duration
	// LoseAnswers is the share of writes that are done and not answered.
	LoseAnswers float64
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type answer struct {
	Rows    []row   `json:"rows"`
	More    bool    `json:"has-more"`
	Version uint64  `json:"ver"`
	Now     float64 `json:"now-s"`
}

// rowBytes is the largest value that a row holds.
const rowBytes = 64 << 10

// pageRows is how many rows one answer holds at most.
const pageRows = 500

// Store is the stand-in. Its methods may be called from many goroutines.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	objects map[string][]byte
	history []row
	// oldest is the first version that the feed can continue from.
	oldest  uint64
	version uint64
	changed chan struct{}
	faults  Faults
	calls   int
	began   time.Time
	random  *rand.Rand
}

// New makes an empty store.
func New() *Store {
	return &Store{rows: map[rowKey]row{}, objects: map[string][]byte{}, changed: make(chan struct{}), began: time.Now(), random: rand.New(rand.NewSource(1))}
}

// SetFaults sets what is wrong from now on.
func (db *Store) SetFaults(fl Faults) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.faults = fl
}

// Calls counts the calls so far.
func (db *Store) Calls() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.calls
}

// Put writes a row as the operators and the upstreams do.
func (db *Store) Put(table, key string, value []byte) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.version++
	db.store(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	db.wake()
}

// Drop removes a row.
func (db *Store) Drop(table, key string) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.version++
	db.remove(rowKey{table, "", key})
	db.wake()
}

// Get returns a row's value.
func (db *Store) Get(table, key string) ([]byte, bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	rw, found := db.rows[rowKey{table, "", key}]
	value, err := base64.StdEncoding.DecodeString(rw.Value)
	return value, found && err == nil
}

// Compact forgets the history.
func (db *Store) Compact() {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.history, db.oldest = nil, db.version+1
	db.wake()
}

func (db *Store) store(rw row) {
	rw.Version = db.version
	db.rows[rowKey{rw.Table, rw.Part, rw.Key}] = rw
	db.history = append(db.history, rw)
}

func (db *Store) remove(rk rowKey) {
	if rw, found := db.rows[rk]; found {
		delete(db.rows, rk)
		rw.Value, rw.Deleted, rw.Version = "", true, db.version
		db.history = append(db.history, rw)
	}
}

func (db *Store) wake() {
	close(db.changed)
	db.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (db *Store) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	db.mu.Lock()
	db.calls++
	fl := db.faults
	db.mu.Unlock()
	host, _, _ := net.SplitHostPort(rq.RemoteAddr)
	// A server notices that a caller left only once its body was read.
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	if db.control(rw, rq, body) {
		return
	}
	rq.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(fl.Delay)
	switch {
	case fl.Unresponsive:
		<-rq.Context().Done()
		return
	case fl.Down, fl.Refused[host]:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if name, found := strings.CutPrefix(rq.URL.Path, "/api/blob-put/"); found {
		db.putObject(name, body)
		return
	}
	if name, found := strings.CutPrefix(rq.URL.Path, "/api/blob-get/"); found {
		db.getObject(rw, name)
		return
	}
	switch rq.URL.Path {
	case "/api/rows-get":
		db.get(rw, rq)
	case "/api/rows-feed":
		db.feed(rw, rq)
	case "/api/rows-tx":
		db.transact(rw, rq, fl)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (db *Store) putObject(name string, body []byte) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.objects[name] = body
}

func (db *Store) getObject(to http.ResponseWriter, name string) {
	db.mu.Lock()
	body, found := db.objects[name]
	db.mu.Unlock()
	if !found {
		to.WriteHeader(http.StatusNotFound)
		return
	}
	// A caller that is gone needs no answer.
	_, _ = to.Write(body)
}

func (db *Store) reply(to http.ResponseWriter, status int, an answer) {
	an.Now = time.Since(db.began).Seconds()
	to.Header().Set("Content-Type", "application/json")
	to.WriteHeader(status)
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(to).Encode(an)
}

func (db *Store) get(to http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	db.mu.Lock()
	an := answer{Rows: []row{}, Version: db.version}
	for rk, rw := range db.rows {
		if rk.table == query.Get("table") && rk.part == query.Get("part") && rk.key >= query.Get("from") {
			an.Rows = append(an.Rows, rw)
		}
	}
	db.mu.Unlock()
	slices.SortFunc(an.Rows, func(left, right row) int { return strings.Compare(left.Key, right.Key) })
	if len(an.Rows) > pageRows {
		an.Rows, an.More = an.Rows[:pageRows], true
	}
	db.reply(to, http.StatusOK, an)
}

func (db *Store) feed(to http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		db.mu.Lock()
		if after+1 < db.oldest {
			db.mu.Unlock()
			to.WriteHeader(http.StatusGone)
			return
		}
		an := answer{Rows: []row{}, Version: db.version}
		for _, rw := range db.history {
			if rw.Version > after && rw.Table == query.Get("table") {
				an.Rows = append(an.Rows, rw)
			}
		}
		changed := db.changed
		db.mu.Unlock()
		if len(an.Rows) > 0 {
			db.reply(to, http.StatusOK, an)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			db.reply(to, http.StatusOK, an)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expect []row `json:"expected-rev"`
	Puts   []row `json:"puts"`
	Drops  []row `json:"drops"`
}

func (db *Store) transact(to http.ResponseWriter, rq *http.Request, fl Faults) {
	var tx transaction
	if err := json.NewDecoder(rq.Body).Decode(&tx); err != nil {
		to.WriteHeader(http.StatusBadRequest)
		return
	}
	db.mu.Lock()
	status, an := db.apply(tx)
	lost := db.random.Float64() < fl.LoseAnswers
	db.mu.Unlock()
	if lost {
		<-rq.Context().Done()
		return
	}
	db.reply(to, status, an)
}

func (db *Store) apply(tx transaction) (int, answer) {
	an := answer{Rows: []row{}}
	met := true
	for _, ex := range tx.Expect {
		have := db.rows[rowKey{ex.Table, ex.Part, ex.Key}]
		met = met && have.Version == ex.Version
		if have.Version > 0 {
			an.Rows = append(an.Rows, have)
		}
	}
	an.Version = db.version
	if !met {
		return http.StatusPreconditionFailed, an
	}
	for _, put := range tx.Puts {
		if base64.StdEncoding.DecodedLen(len(put.Value)) > rowBytes+2 {
			return http.StatusBadRequest, an
		}
		if put.Table == "op" || put.Table == "servers" {
			return http.StatusForbidden, an
		}
	}
	db.version++
	for _, put := range tx.Puts {
		db.store(put)
	}
	for _, drop := range tx.Drops {
		db.remove(rowKey{drop.Table, drop.Part, drop.Key})
	}
	db.wake()
	return http.StatusOK, answer{Rows: []row{}, Version: db.version}
}
