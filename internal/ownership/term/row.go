package term

import (
	"encoding/json"
	"fmt"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
)

// Tag marks the table operations of this package.
const Tag = "term"

// Row is the content of a domain's lease row.
type Row struct {
	Term    uint64
	Host    ident.Host
	Counter uint64
	// Attempt tells who wrote the row, when the answer to the write was lost.
	Attempt Attempt
	// Resigned says that the leader gave the term up by itself.
	Resigned bool
}

// Attempt identifies one write.
type Attempt struct {
	Host        ident.Host
	Incarnation exchange.Incarnation
	Number      uint64
}

type rowJSON struct {
	Term        uint64 `json:"term"`
	Host        string `json:"host"`
	Counter     uint64 `json:"counter"`
	By          string `json:"by"`
	Incarnation uint64 `json:"incarnation"`
	Number      uint64 `json:"number"`
	Resigned    bool   `json:"resigned,omitempty"`
}

// RowKey is the table key of a domain's lease row.
func RowKey(dm ident.Domain) string {
	return "term/" + string(dm)
}

// EncodeRow writes a row's value.
func EncodeRow(rw Row) []byte {
	value, err := json.Marshal(rowJSON{
		Term: rw.Term, Host: string(rw.Host), Counter: rw.Counter, Resigned: rw.Resigned,
		By: string(rw.Attempt.Host), Incarnation: uint64(rw.Attempt.Incarnation), Number: rw.Attempt.Number,
	})
	if err != nil {
		panic(fmt.Sprintf("term: a row of plain fields cannot be written: %v", err))
	}
	return value
}

// DecodeRow reads a row's value.
func DecodeRow(value []byte) (Row, error) {
	var rj rowJSON
	if err := json.Unmarshal(value, &rj); err != nil {
		return Row{}, err
	}
	return Row{
		Term: rj.Term, Host: ident.Host(rj.Host), Counter: rj.Counter, Resigned: rj.Resigned,
		Attempt: Attempt{Host: ident.Host(rj.By), Incarnation: exchange.Incarnation(rj.Incarnation), Number: rj.Number},
	}, nil
}

// watching is what a node has seen of the row.
type watching struct {
	term    uint64
	counter uint64
	// since is the steady instant at which this counter was first seen.
	since    clock.Instant
	nextRead clock.Instant
	// reading is the number of the read under way; zero for none.
	reading uint64
	asked   clock.Instant
	silent  bool
}

// note remembers a counter; an older one is not news.
func (wa *watching) note(now lease.Moment, term, counter uint64) {
	if term < wa.term || (term == wa.term && counter <= wa.counter) {
		return
	}
	wa.term, wa.counter, wa.since = term, counter, now.Steady
}

// tableAnswer takes the result of a read or a write of the row.
func (co *Core) tableAnswer(now lease.Moment, mg exchange.TableMsg) []exchange.Cmd {
	switch {
	case co.row.reading != 0 && mg.Number == co.row.reading:
		co.row.reading = 0
		return co.watchAnswer(now, mg.Result)
	case co.bid != nil && co.bid.write != nil && (mg.Number == co.bid.write.number || mg.Number == co.bid.write.check):
		return co.claimAnswer(now, mg)
	case co.lead != nil && co.lead.write != nil && (mg.Number == co.lead.write.number || mg.Number == co.lead.write.check):
		return co.renewAnswer(now, mg)
	case co.resigning != nil && (mg.Number == co.resigning.number || mg.Number == co.resigning.check):
		return co.resignAnswer(now, mg)
	}
	return nil
}

// oneRow decodes a successful read; version 0 stands for no row.
func oneRow(rs table.Result) (Row, table.Version, bool) {
	if rs.Outcome != table.Done || len(rs.Rows) != 1 {
		return Row{}, 0, false
	}
	if rs.Rows[0].Version == 0 {
		return Row{}, 0, true
	}
	rw, err := DecodeRow(rs.Rows[0].Value)
	return rw, rs.Rows[0].Version, err == nil
}

// write is one write of the row that is under way.
type write struct {
	number uint64
	// check is the number of the read that settles a lost answer.
	check uint64
	row   Row
	base  table.Version
	// sent is the raw clock before the write was sent.
	sent clock.Instant
}

// put builds a write of the row.
func (co *Core) put(now lease.Moment, base table.Version, rw Row) (*write, exchange.Cmd) {
	number := co.number()
	rw.Attempt = Attempt{Host: co.host, Incarnation: co.incarnation, Number: number}
	wr := &write{number: number, row: rw, base: base, sent: now.Now}
	return wr, exchange.TableCmd{Tag: Tag, Number: number, Writes: []table.Write{
		{Key: RowKey(co.domain), Base: base, Value: EncodeRow(rw)},
	}}
}

// check reads the row back, to settle a write.
func (co *Core) check(wr *write) exchange.Cmd {
	wr.check = co.number()
	return exchange.TableCmd{Tag: Tag, Number: wr.check, Key: RowKey(co.domain)}
}
