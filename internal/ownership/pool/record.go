package pool

import (
	"maps"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
)

// copies is how many other nodes keep a state that the table does not have.
const copies = 2

// doing names the table operation under way.
type doing int

const (
	writing doing = iota
	readingRow
	readingPlace
)

// record is where a holder's state stands: in the table, or with peers.
type record struct {
	// number counts the states; durable is the latest one recorded somewhere,
	// written the latest one in the table.
	number  uint64
	durable uint64
	written uint64
	row     Row
	version table.Version
	known   bool
	silent  bool

	// sending is the state being written; base the row's version before it.
	sending Row
	busy    bool
	asked   clock.Instant
	query   uint64
	doing   doing

	copied   map[ident.Host]bool
	copying  Row
	nextCopy clock.Instant

	recalled  map[ident.Host]bool
	recalling bool
	found     Row
}

// collect asks the table and the upstreams; the peers too when the table is
// silent. It ends when all have answered or had their time.
func (ho *Holder) collect(now lease.Moment) []exchange.Cmd {
	rc := &ho.record
	if !ho.pool.Service.Keyed {
		ho.collected = true
		return nil
	}
	var cmds []exchange.Cmd
	if !rc.busy || !now.Now.Before(rc.asked.Add(4*ho.line.Answer)) {
		switch {
		case !rc.known:
			cmds = append(cmds, ho.read(now, readingRow))
		case !ho.placed:
			cmds = append(cmds, ho.read(now, readingPlace))
		}
	}
	if rc.silent && !rc.recalling {
		rc.recalling, rc.recalled = true, map[ident.Host]bool{}
		for _, pe := range ho.peers {
			cmds = append(cmds, exchange.SendCmd{To: pe, Notice: exchange.Recall{Pool: ho.claim.Pool}})
		}
	}
	waited := !now.Now.Before(ho.started.Now.Add(ho.line.Answer))
	if !ho.placed && (!rc.silent || (len(rc.recalled) < len(ho.peers) && !waited)) {
		return cmds
	}
	for _, us := range ho.upstreams {
		if !us.inspected && !us.out && !waited {
			return cmds
		}
	}
	ho.recover()
	return cmds
}

// recover takes the newest state of the table, the peers and the upstreams.
func (ho *Holder) recover() {
	rc := &ho.record
	best := rc.row
	if rc.found.Compare(best) > 0 {
		best = rc.found
	}
	if !ho.placed {
		ho.placeFrom(best)
	}
	ranks := map[ident.Slice]Row{}
	for sl, up := range best.Owners {
		if ho.slices[sl] {
			ho.owners[sl], ranks[sl] = up, best
		}
	}
	for _, us := range ho.upstreams {
		seen := Row{Term: us.highest.Term, Epoch: us.highest.Epoch}
		for _, sl := range us.reported {
			held, recorded := ranks[sl]
			held.Number = 0
			if ho.slices[sl] && (!recorded || seen.Compare(held) > 0) {
				ho.owners[sl], ranks[sl] = us.name, seen
			}
		}
	}
	ho.collected = true
	ho.touch()
}

// placeFrom takes the slices from what was found, when the table is silent:
// then no slice crosses pools, so the newest state names them all.
func (ho *Holder) placeFrom(best Row) {
	for sl := range best.Owners {
		ho.slices[sl] = true
	}
	if len(best.Owners) > 0 {
		return
	}
	for _, us := range ho.upstreams {
		for _, sl := range us.reported {
			ho.slices[sl] = true
		}
	}
}

// read asks the table for the pool's row, or for the row that gives each slice
// its pool. The second is read after the first: a slice that leaves the pool
// changes both in one transaction, so that writing the first finds it out.
func (ho *Holder) read(now lease.Moment, what doing) exchange.Cmd {
	rc := &ho.record
	ho.numbers++
	rc.query, rc.busy, rc.doing, rc.asked = ho.numbers, true, what, now.Now
	key := RowKey(ho.claim.Pool)
	if what == readingPlace {
		key = PlaceKey(ho.pool.Service.Name)
	}
	return exchange.TableCmd{Tag: RowKey(ho.claim.Pool), Number: rc.query, Key: key}
}

// persist records a changed state: in the table, and with copies at peers. The
// copies count as the record only while the table does not answer.
func (ho *Holder) persist(now lease.Moment) []exchange.Cmd {
	rc := &ho.record
	if !ho.pool.Service.Keyed || (rc.written == rc.number && ho.placed) {
		return nil
	}
	cmds := ho.copy(now)
	if rc.busy && now.Now.Before(rc.asked.Add(4*ho.line.Answer)) {
		return cmds
	}
	if rc.silent && now.Now.Before(rc.asked.Add(ho.line.Answer)) {
		return cmds
	}
	switch {
	case !rc.known:
		return append(cmds, ho.read(now, readingRow))
	case !ho.placed:
		return append(cmds, ho.read(now, readingPlace))
	}
	if !ho.placed {
		return append(cmds, ho.read(now, readingPlace))
	}
	ho.numbers++
	rc.query, rc.busy, rc.doing, rc.asked = ho.numbers, true, writing, now.Now
	rc.sending = ho.state()
	return append(cmds, exchange.TableCmd{Tag: RowKey(ho.claim.Pool), Number: rc.query, Writes: []table.Write{
		{Key: RowKey(ho.claim.Pool), Base: rc.version, Value: EncodeRow(rc.sending)},
	}})
}

// state is the holder's present state as a row.
func (ho *Holder) state() Row {
	return Row{
		Term: ho.claim.Term, Epoch: ho.claim.Epoch, Number: ho.record.number,
		Holder: ho.host, Owners: maps.Clone(ho.owners),
	}
}

// copy leaves the state with two peers, trying others while they are silent.
func (ho *Holder) copy(now lease.Moment) []exchange.Cmd {
	rc := &ho.record
	if len(ho.peers) == 0 || now.Now.Before(rc.nextCopy) && rc.copying.Number == rc.number {
		return nil
	}
	fresh := rc.copying.Number != rc.number
	if fresh {
		rc.copying, rc.copied = ho.state(), map[ident.Host]bool{}
	}
	rc.nextCopy = now.Now.Add(ho.line.Answer)
	var cmds []exchange.Cmd
	for _, pe := range ho.peers {
		if rc.copied[pe] || (fresh && len(cmds) == copies) || len(rc.copied) >= copies {
			continue
		}
		cmds = append(cmds, exchange.SendCmd{To: pe, Notice: exchange.Copy{
			Pool: ho.claim.Pool, Number: rc.copying.Number, Value: EncodeRow(rc.copying),
		}})
	}
	return cmds
}

// HearCopied counts a peer that keeps the state.
func (ho *Holder) HearCopied(now lease.Moment, from ident.Host, number uint64) []exchange.Cmd {
	rc := &ho.record
	if number != rc.copying.Number || rc.copied == nil {
		return nil
	}
	rc.copied[from] = true
	ho.settleCopies()
	return ho.Tick(now)
}

// settleCopies takes the copies for the record while the table is silent.
func (ho *Holder) settleCopies() {
	rc := &ho.record
	if rc.silent && rc.copying.Number > rc.durable && len(rc.copied) >= min(copies, len(ho.peers)) {
		ho.recorded(rc.copying)
	}
}

// HearRecalled takes a peer's copy.
func (ho *Holder) HearRecalled(now lease.Moment, from ident.Host, value []byte) []exchange.Cmd {
	rc := &ho.record
	if !rc.recalling || ho.collected {
		return nil
	}
	rc.recalled[from] = true
	if rw, err := DecodeRow(value); err == nil && rw.Compare(rc.found) > 0 {
		rc.found = rw
	}
	return ho.Tick(now)
}

// recorded makes a state the one that grants go by.
func (ho *Holder) recorded(rw Row) {
	ho.record.durable = max(ho.record.durable, rw.Number)
	ho.durable = rw.Owners
	ho.disturb()
}

// HearTable takes the result of a read or a write of the pool's row.
func (ho *Holder) HearTable(now lease.Moment, mg exchange.TableMsg) []exchange.Cmd {
	rc := &ho.record
	if !rc.busy || mg.Number != rc.query {
		return nil
	}
	rc.busy = false
	done := mg.Result.Outcome == table.Done
	if rc.doing == writing {
		defer ho.gave(mg.Result.Outcome)
	}
	switch {
	case done && rc.doing == readingRow:
		ho.readDone(mg.Result)
	case done && rc.doing == readingPlace:
		ho.placeDone(mg.Result)
	case done:
		rc.silent = false
		rc.version, rc.written = rc.version+1, rc.sending.Number
		ho.recorded(rc.sending)
	case mg.Result.Outcome == table.Conflict:
		rc.silent, rc.known = false, false
		ho.placed = false
	default:
		rc.silent = true
		rc.known = rc.known && rc.doing != writing
		ho.settleCopies()
	}
	return ho.Tick(now)
}

// placeDone takes the slices of the pool from the table.
func (ho *Holder) placeDone(rs table.Result) {
	ho.record.silent = false
	if len(rs.Rows) != 1 || rs.Rows[0].Version == 0 {
		return
	}
	pw, err := DecodePlace(rs.Rows[0].Value)
	if err != nil {
		return
	}
	ho.SetSlices(rs.Rows[0].Version, pw.Of(ho.claim.Pool))
	if ho.collected {
		ho.complete()
	}
}

// complete adds the slices that a holder which began without the table did not
// find then; those it has found since stay where they are.
func (ho *Holder) complete() {
	for sl, up := range ho.record.row.Owners {
		if _, ok := ho.owners[sl]; !ok && ho.slices[sl] {
			ho.owners[sl] = up
			ho.touch()
		}
	}
}

// readDone compares the row with this holder's token: a newer one ends it.
func (ho *Holder) readDone(rs table.Result) {
	rc := &ho.record
	rc.silent, rc.known = false, true
	if len(rs.Rows) != 1 || rs.Rows[0].Version == 0 {
		rc.version, rc.row = 0, Row{}
		return
	}
	rw, err := DecodeRow(rs.Rows[0].Value)
	if err != nil {
		rc.version = rs.Rows[0].Version
		return
	}
	rc.version, rc.row = rs.Rows[0].Version, rw
	own := Row{Term: ho.claim.Term, Epoch: ho.claim.Epoch}
	rw.Number = 0
	switch {
	case rw.Compare(own) > 0:
		ho.superseded = true
		ho.refusedBy(grant.Token{Term: rw.Term, Epoch: rw.Epoch})
	case rw.Compare(own) == 0 && rc.row.Number >= rc.durable:
		rc.written = rc.row.Number
		ho.recorded(rc.row)
	}
}
