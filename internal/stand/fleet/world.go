package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/table"
)

func timeOf(nanos int64) time.Duration { return time.Duration(nanos) }

// Upstream is a fake that refuses lower tokens and serves only before its
// grant's deadline on its own clock.
type Upstream struct {
	name        ident.Upstream
	clock       *Clock
	frozen      bool
	waiting     []func()
	incarnation int
	holdings    map[ident.Pool]*holding
}

// holding is what a pool's holders have granted.
type holding struct {
	token  grant.Token
	slices map[ident.Slice]bool
	until  clock.Instant
}

// take applies an order, or keeps it until the upstream wakes.
func (us *Upstream) take(fl *Fleet, od grant.Order, reply func(grant.Reply)) {
	if us.frozen {
		us.waiting = append(us.waiting, func() { us.take(fl, od, reply) })
		return
	}
	ho := us.holdings[od.Pool]
	if ho == nil {
		ho = &holding{slices: map[ident.Slice]bool{}}
		us.holdings[od.Pool] = ho
	}
	accepted := !od.Token.Less(ho.token)
	if accepted {
		ho.token = od.Token
		if od.Until != 0 {
			ho.until = od.Until
		}
		if !od.Keep {
			ho.slices = map[ident.Slice]bool{}
			for _, sl := range od.Slices {
				ho.slices[sl] = true
			}
		}
		fl.checkOwners(us, od.Pool)
	}
	reply(grant.Reply{
		Accepted: accepted, Reading: us.clock.Now(), Incarnation: fmt.Sprintf("%s-%d", us.name, us.incarnation),
		Highest: ho.token, Slices: slices.Sorted(maps.Keys(ho.slices)), Until: ho.until,
	})
}

// serves tells whether the upstream would serve the slice now, by any pool.
func (us *Upstream) serves(sv ident.Service, sl ident.Slice) bool {
	for pl, ho := range us.holdings {
		if pl.Service() == sv && ho.slices[sl] && us.clock.Now().Before(ho.until) {
			return true
		}
	}
	return false
}

// Freeze stops an upstream's process; its clock runs on.
func (fl *Fleet) Freeze(up ident.Upstream) { fl.Upstreams[up].frozen = true }

// Thaw wakes an upstream, which takes all orders that came meanwhile.
func (fl *Fleet) Thaw(up ident.Upstream) {
	us := fl.Upstreams[up]
	us.frozen = false
	waiting := us.waiting
	us.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// RestartUpstream starts an upstream's process anew under its address.
func (fl *Fleet) RestartUpstream(up ident.Upstream) {
	us := fl.Upstreams[up]
	us.incarnation++
	us.frozen, us.waiting = false, nil
	us.holdings = map[ident.Pool]*holding{}
}

// JumpUpstream moves an upstream's clock forward.
func (fl *Fleet) JumpUpstream(up ident.Upstream, by time.Duration) { fl.Upstreams[up].clock.Jump(by) }

// Table is a fake of the transactional table.
type Table struct {
	Down bool
	Slow time.Duration
	// LoseAnswers is the share of answers lost after the operation's effect.
	LoseAnswers float64
	Reads       int
	Writes      int
	rows        map[string]table.Row
}

// NewTable makes an empty table without faults.
func NewTable() *Table { return &Table{rows: map[string]table.Row{}} }

// Row returns a row as it stands.
func (tb *Table) Row(key string) table.Row { return tb.rows[key] }

// Do reads a row, or compares all base versions and writes all rows or none.
func (tb *Table) Do(cm exchange.TableCmd) table.Result {
	if len(cm.Writes) == 0 {
		tb.Reads++
		row := tb.rows[cm.Key]
		row.Key = cm.Key
		return table.Result{Outcome: table.Done, Rows: []table.Row{row}}
	}
	for _, wr := range cm.Writes {
		if tb.rows[wr.Key].Version != wr.Base {
			return table.Result{Outcome: table.Conflict}
		}
	}
	rs := table.Result{Outcome: table.Done}
	for _, wr := range cm.Writes {
		tb.Writes++
		row := table.Row{Key: wr.Key, Value: wr.Value, Version: wr.Base + 1}
		tb.rows[wr.Key] = row
		rs.Rows = append(rs.Rows, row)
	}
	return rs
}
