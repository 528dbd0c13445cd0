// Package metastore is an in-memory stand-in for the platform's store: versioned
// rows, conditional transactions, a feed of changes and objects. It injects the
// faults that a test sets.
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
	"maps"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the faults that the store injects.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Unresponsive leaves every call unanswered until its client disconnects.
	Unresponsive bool
	// Refused holds the IP addresses whose calls are answered with 503.
	Refused map[string]bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the share of transactions (0 to 1) that are executed but
	// never answered.
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

// answer is the body of the store's answers. Now is the store's clock in seconds.
type answer struct {
	Rows    []row   `json:"rows"`
	More    bool    `json:"has-more"`
	Version uint64  `json:"ver"`
	Now     float64 `json:"now-s"`
}

// maxRowBytes is the size limit of a row's value.
const maxRowBytes = 64 << 10

// maxPageRows is how many rows the answer to a read contains at most.
const maxPageRows = 500

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	objects map[string][]byte
	history []row
	// oldest is the lowest version that history covers.
	oldest  uint64
	version uint64
	// era counts how often the store came back from an older copy; copies holds its
	// earlier states, the oldest first.
	era    uint64
	copies []storeCopy
	// changed is closed and replaced at every change.
	changed   chan struct{}
	faults    Faults
	calls     int
	startedAt time.Time
	random    *rand.Rand
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[rowKey]row{}, objects: map[string][]byte{}, changed: make(chan struct{}), startedAt: time.Now(), random: rand.New(rand.NewSource(1))}
}

// SetFaults replaces the faults that are injected from now on.
func (db *Store) SetFaults(fl Faults) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.faults = fl
}

// Calls returns the number of calls so far.
func (db *Store) Calls() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.calls
}

// Put writes a row without a condition, as operators and upstreams do.
func (db *Store) Put(table, key string, value []byte) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.version++
	db.storeRow(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	db.notifyFeeds()
}

// Drop removes a row without a condition.
func (db *Store) Drop(table, key string) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.version++
	db.removeRow(rowKey{table, "", key})
	db.notifyFeeds()
}

// Get returns a row's value; false means that there is no row.
func (db *Store) Get(table, key string) ([]byte, bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	rw, found := db.rows[rowKey{table, "", key}]
	value, err := base64.StdEncoding.DecodeString(rw.Value)
	return value, found && err == nil
}

// Compact deletes the history, so that feeds that continue from an earlier
// version get 410.
func (db *Store) Compact() {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.history, db.oldest = nil, db.version+1
	db.notifyFeeds()
}

// storeRow writes a row at the current version.
func (db *Store) storeRow(rw row) {
	rw.Version = db.version
	db.rows[rowKey{rw.Table, rw.Part, rw.Key}] = rw
	db.history = append(db.history, rw)
}

// removeRow removes a row, if it exists, at the current version.
func (db *Store) removeRow(rk rowKey) {
	if rw, found := db.rows[rk]; found {
		delete(db.rows, rk)
		rw.Value, rw.Deleted, rw.Version = "", true, db.version
		db.history = append(db.history, rw)
	}
}

// storeCopy is the content of the store at a time.
type storeCopy struct {
	at      time.Time
	rows    map[rowKey]row
	version uint64
}

// maxCopies is how many earlier states are kept.
const maxCopies = 500

// Return makes the store come back as it was some time ago, in a new era. Objects
// stay. Operators and upstreams have to write their rows again.
func (db *Store) Return(age time.Duration) {
	db.mu.Lock()
	defer db.mu.Unlock()
	found := storeCopy{rows: map[rowKey]row{}}
	for ix, cp := range db.copies {
		if time.Since(cp.at) < age {
			db.copies = db.copies[:ix]
			break
		}
		found = cp
	}
	db.rows, db.version = maps.Clone(found.rows), found.version
	db.history, db.oldest = nil, db.version+1
	db.era++
	db.notifyFeeds()
}

// notifyFeeds keeps a copy of the changed state and wakes up the feeds that wait for
// a change.
func (db *Store) notifyFeeds() {
	db.copies = append(db.copies, storeCopy{time.Now(), maps.Clone(db.rows), db.version})
	db.copies = db.copies[max(len(db.copies)-maxCopies, 0):]
	close(db.changed)
	db.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (db *Store) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	db.mu.Lock()
	db.calls++
	fl := db.faults
	rw.Header().Set("Store-Era", strconv.FormatUint(db.era, 10))
	db.mu.Unlock()
	host, _, _ := net.SplitHostPort(rq.RemoteAddr)
	// net/http cancels the request's context on a disconnect only after the body
	// was read.
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	if db.handleControl(rw, rq, body) {
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
		db.handleGet(rw, rq)
	case "/api/rows-feed":
		db.handleFeed(rw, rq)
	case "/api/rows-tx":
		db.handleTransaction(rw, rq, fl)
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
	// An error means that the client has disconnected.
	_, _ = to.Write(body)
}

// writeAnswer writes an answer as JSON, with the time set.
func (db *Store) writeAnswer(to http.ResponseWriter, status int, an answer) {
	an.Now = time.Since(db.startedAt).Seconds()
	to.Header().Set("Content-Type", "application/json")
	to.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(to).Encode(an)
}

// handleGet answers a read of a table's part, sorted by key.
func (db *Store) handleGet(to http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	db.mu.Lock()
	to.Header().Set("Store-Era", strconv.FormatUint(db.era, 10))
	an := answer{Rows: []row{}, Version: db.version}
	for rk, rw := range db.rows {
		if rk.table == query.Get("table") && rk.part == query.Get("part") && rk.key >= query.Get("from") {
			an.Rows = append(an.Rows, rw)
		}
	}
	db.mu.Unlock()
	slices.SortFunc(an.Rows, func(left, right row) int { return strings.Compare(left.Key, right.Key) })
	if len(an.Rows) > maxPageRows {
		an.Rows, an.More = an.Rows[:maxPageRows], true
	}
	db.writeAnswer(to, http.StatusOK, an)
}

// handleFeed answers with the changes of a table after a version. It waits for
// a change until the client's timeout.
func (db *Store) handleFeed(to http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		db.mu.Lock()
		to.Header().Set("Store-Era", strconv.FormatUint(db.era, 10))
		if after+1 < db.oldest || after > db.version {
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
			db.writeAnswer(to, http.StatusOK, an)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			db.writeAnswer(to, http.StatusOK, an)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// transaction is the body of a conditional write.
type transaction struct {
	Expect []row `json:"expected-rev"`
	Puts   []row `json:"puts"`
	Drops  []row `json:"drops"`
}

// handleTransaction applies a transaction and answers it, unless the answer is
// to be lost.
func (db *Store) handleTransaction(to http.ResponseWriter, rq *http.Request, fl Faults) {
	var tx transaction
	if err := json.NewDecoder(rq.Body).Decode(&tx); err != nil {
		to.WriteHeader(http.StatusBadRequest)
		return
	}
	db.mu.Lock()
	to.Header().Set("Store-Era", strconv.FormatUint(db.era, 10))
	status, an := db.apply(tx)
	lost := db.random.Float64() < fl.LoseAnswers
	db.mu.Unlock()
	if lost {
		<-rq.Context().Done()
		return
	}
	db.writeAnswer(to, status, an)
}

// apply executes a transaction if all expected versions match, and returns the
// HTTP status. Like the platform, it refuses writes to the tables of operators
// and upstreams.
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
		// DecodedLen counts up to 2 bytes of padding.
		if base64.StdEncoding.DecodedLen(len(put.Value)) > maxRowBytes+2 {
			return http.StatusBadRequest, an
		}
		if put.Table == "op" || put.Table == "servers" {
			return http.StatusForbidden, an
		}
	}
	db.version++
	for _, put := range tx.Puts {
		db.storeRow(put)
	}
	for _, drop := range tx.Drops {
		db.removeRow(rowKey{drop.Table, drop.Part, drop.Key})
	}
	db.notifyFeeds()
	return http.StatusOK, answer{Rows: []row{}, Version: db.version}
}
