package authority

import (
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/ownership/slice"
	"chervilwalk/internal/ownership/term"
	"chervilwalk/internal/platform/table"
)

// placeEvery is the time between two tries to learn the slices of a service.
const placeEvery = 200 * time.Millisecond

// tables are the table operations under way. One that failed is carried by a
// peer once, since the table may answer another host.
type tables struct {
	number uint64
	turn   int
	// silent says that the latest operation of this node had no answer, nor
	// had the peer that carried it.
	silent     bool
	operations map[uint64]*operation
}

// operation is one table operation.
type operation struct {
	command  exchange.TableCmd
	original uint64
	holder   *pool.Holder
	// reply takes the result, when set.
	reply func(lease.Moment, table.Result) []Cmd
	// asker is the peer that this node carries the operation for.
	asker   ident.Host
	carried bool
	until   clock.Instant
}

// operate numbers an operation of this node, and remembers whose it is.
func (co *Core) operate(now lease.Moment, cm exchange.TableCmd, ho *pool.Holder) Cmd {
	return co.start(now, &operation{command: cm, original: cm.Number, holder: ho})
}

func (co *Core) start(now lease.Moment, op *operation) Cmd {
	co.tables.number++
	op.command.Number = co.tables.number
	op.until = now.Now.Add(2 * co.line.Answer)
	co.tables.operations[op.command.Number] = op
	return op.command
}

// hearTable takes a result; a failure is given to a peer to carry.
func (co *Core) hearTable(now lease.Moment, mg exchange.TableMsg) []Cmd {
	op := co.tables.operations[mg.Number]
	if op == nil || op.carried {
		return nil
	}
	if mg.Result.Outcome == table.Unknown || mg.Result.Outcome == table.Failed {
		if cmd, ok := co.carry(now, op); ok {
			return []Cmd{cmd}
		}
	}
	return co.deliver(now, mg.Number, mg.Result)
}

// carry asks a peer in turn to do an operation of this node.
func (co *Core) carry(now lease.Moment, op *operation) (Cmd, bool) {
	peers := co.peers()
	if op.asker != "" || len(peers) == 0 {
		return nil, false
	}
	co.tables.turn++
	op.carried, op.until = true, now.Now.Add(2*co.line.Answer)
	return exchange.SendCmd{To: peers[co.tables.turn%len(peers)], Notice: exchange.Carry{
		Tag: op.command.Tag, Number: op.command.Number, Key: op.command.Key, Writes: op.command.Writes,
	}}, true
}

// carryFor does an operation for a peer.
func (co *Core) carryFor(from ident.Host, ca exchange.Carry) []Cmd {
	op := &operation{
		command:  exchange.TableCmd{Tag: ca.Tag, Key: ca.Key, Writes: ca.Writes},
		original: ca.Number, asker: from,
	}
	return []Cmd{co.start(lease.Moment{Now: co.watch.Last()}, op)}
}

func (co *Core) hearCarried(now lease.Moment, ca exchange.Carried) []Cmd {
	if op := co.tables.operations[ca.Number]; op != nil && op.carried {
		return co.deliver(now, ca.Number, ca.Result)
	}
	return nil
}

// expire ends the operations that nobody answered.
func (co *Core) expire(now lease.Moment) []Cmd {
	var cmds []Cmd
	for _, number := range sortedKeys(co.tables.operations) {
		op := co.tables.operations[number]
		if now.Now.Before(op.until) {
			continue
		}
		if !op.carried {
			if cmd, ok := co.carry(now, op); ok {
				cmds = append(cmds, cmd)
				continue
			}
		}
		cmds = append(cmds, co.deliver(now, number, table.Result{})...)
	}
	return cmds
}

// deliver hands a result to whoever asked.
func (co *Core) deliver(now lease.Moment, number uint64, rs table.Result) []Cmd {
	op := co.tables.operations[number]
	delete(co.tables.operations, number)
	if op.asker == "" {
		co.tables.silent = rs.Outcome == table.Unknown || rs.Outcome == table.Failed
	}
	mg := exchange.TableMsg{Tag: op.command.Tag, Number: op.original, Result: rs}
	switch {
	case op.asker != "":
		return co.send(exchange.SendCmd{To: op.asker, Notice: exchange.Carried{Tag: mg.Tag, Number: mg.Number, Result: rs}})
	case op.holder != nil:
		if co.holders[op.holder.Claim().Pool] == op.holder {
			return co.fromHolder(op.holder, op.holder.HearTable(now, mg))
		}
		return nil
	case op.reply != nil:
		return op.reply(now, rs)
	case mg.Tag == term.Tag:
		return co.fromTerm(now, co.term.Update(now, term.TableMsg{TableMsg: mg}))
	default:
		return co.placeRead(now, ident.Service(mg.Tag), rs)
	}
}

// places are the rows that give each slice of a service its pool.
type places struct {
	rows  map[ident.Service]place
	next  clock.Instant
	turn  int
	asked bool
}

type place struct {
	version table.Version
	value   []byte
	row     pool.PlaceRow
}

// learnPlaces reads the rows that this node does not know, from the table and
// from a peer in turn.
func (co *Core) learnPlaces(now lease.Moment) []Cmd {
	if now.Now.Before(co.places.next) {
		return nil
	}
	co.places.next = now.Now.Add(placeEvery)
	var cmds []Cmd
	for ix := range co.bundle.Services {
		sv := &co.bundle.Services[ix]
		if !sv.Keyed || co.places.rows[sv.Name].version > 0 {
			continue
		}
		read := exchange.TableCmd{Tag: string(sv.Name), Key: pool.PlaceKey(sv.Name)}
		cmds = append(cmds, co.operate(now, read, nil))
		if hosts := co.bundle.Hosts; co.places.asked && len(hosts) > 1 {
			co.places.turn++
			to := hosts[co.places.turn%len(hosts)].Name
			cmds = append(cmds, co.send(exchange.SendCmd{To: to, Notice: exchange.WantPlace{Service: sv.Name}})...)
		}
	}
	co.places.asked = true
	return cmds
}

// placeRead takes a row from the table. A leader makes the one that is missing.
func (co *Core) placeRead(now lease.Moment, name ident.Service, rs table.Result) []Cmd {
	sv, ok := co.bundle.Service(name)
	if !ok || rs.Outcome != table.Done || len(rs.Rows) != 1 {
		return nil
	}
	row := rs.Rows[0]
	if row.Version > 0 {
		return co.learnPlace(now, exchange.Place{Service: name, Version: row.Version, Value: row.Value})
	}
	if _, leads := co.term.Leads(now); !leads {
		return nil
	}
	value := pool.EncodePlace(firstPlaces(sv, co.bundle))
	return []Cmd{co.operate(now, exchange.TableCmd{Tag: string(name), Writes: []table.Write{
		{Key: pool.PlaceKey(name), Value: value},
	}}, nil)}
}

// learnPlace takes a newer row, and tells the holders of its pools.
func (co *Core) learnPlace(now lease.Moment, pc exchange.Place) []Cmd {
	if pc.Version <= co.places.rows[pc.Service].version {
		return nil
	}
	row, err := pool.DecodePlace(pc.Value)
	if err != nil {
		return nil
	}
	co.places.rows[pc.Service] = place{version: pc.Version, value: pc.Value, row: row}
	co.routes.changed = true
	var cmds []Cmd
	for _, name := range sortedKeys(co.holders) {
		if ho := co.holders[name]; co.place(name, ho) {
			cmds = append(cmds, co.fromHolder(ho, ho.Tick(now))...)
		}
	}
	return append(cmds, co.showRoutes(now)...)
}

// place gives a holder the newest row that this node knows. A holder that has
// not read the row itself must do so first; its read may also come back with an
// older row than the node has learned meanwhile.
func (co *Core) place(name ident.Pool, ho *pool.Holder) bool {
	pc := co.places.rows[name.Service()]
	version, placed := ho.Placed()
	if !placed || pc.version <= version {
		return false
	}
	ho.SetSlices(pc.version, pc.row.Of(name))
	return true
}

func (co *Core) hearPlace(now lease.Moment, from ident.Host, notice exchange.Notice) []Cmd {
	switch nt := notice.(type) {
	case exchange.WantPlace:
		if pc := co.places.rows[nt.Service]; pc.version > nt.Known {
			answer := exchange.Place{Service: nt.Service, Version: pc.version, Value: pc.value}
			return co.send(exchange.SendCmd{To: from, Notice: answer})
		}
	case exchange.Place:
		return co.learnPlace(now, nt)
	}
	return nil
}

// firstPlaces gives each slice its first pool, by weight over the upstreams of
// the domains in service.
func firstPlaces(sv *bundle.Service, bn *bundle.Bundle) pool.PlaceRow {
	var in []slice.Target[ident.Pool]
	for _, pl := range sv.Pools() {
		if dm, ok := bn.Domain(pl.Domain); !ok || !dm.Out {
			in = append(in, capacityOf(pl))
		}
	}
	row := pool.PlaceRow{Pools: make([]ident.Pool, sv.Slices)}
	for sl := range ident.Slice(sv.Slices) {
		row.Pools[sl], _ = slice.Home(string(sv.Name), slice.Item{Slice: sl}.String(), in)
	}
	return row
}
