package authority

import (
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/ownership/pool"
	"chervilwalk/internal/ownership/slice"
)

const (
	// leaveEvery is the time between two batches of a domain that goes out, and
	// leaveParts the batches that empty it.
	leaveEvery = 250 * time.Millisecond
	leaveParts = 4
	// homeEvery is the time between two batches that bring slices home.
	homeEvery = 3 * time.Second
	// rampStep is the part of its fair share that a returning pool gains with
	// each batch, so that its cold upstreams warm up in between.
	rampStep = 0.1
	// askPlaceEvery is the time between two questions to a peer for newer rows.
	askPlaceEvery = 500 * time.Millisecond
)

// moving is when a node next plans the moves of each pool that it holds.
type moving struct {
	next    map[ident.Pool]clock.Instant
	batch   map[ident.Pool]int
	nextAsk clock.Instant
	turn    int
}

// movePools lets each pool held here give away the slices whose home is
// elsewhere: all of them when the domain is out, else a few at a time.
func (co *Core) movePools(now lease.Moment) []Cmd {
	var cmds []Cmd
	for _, name := range sortedKeys(co.holders) {
		ho, sv := co.holders[name], co.pools[name].Service
		if sv == nil || !sv.Keyed {
			continue
		}
		if pc, ok := ho.Given(); ok {
			cmds = append(cmds, co.learnPlace(now, pc)...)
			cmds = append(cmds, co.spreadPlace(pc)...)
		}
		if ho.Stale() {
			cmds = append(cmds, co.readPlace(now, sv.Name))
		}
		co.planMoves(now, name, ho, sv)
		if ready := ho.Ready(now); len(ready) > 0 {
			pc := co.places.rows[sv.Name]
			cmds = append(cmds, co.fromHolder(ho, ho.Give(now, pc.version, pc.row, ready))...)
		}
	}
	return append(cmds, co.askPlace(now)...)
}

// planMoves chooses the next batch of a pool once the last one is done.
func (co *Core) planMoves(now lease.Moment, name ident.Pool, ho *pool.Holder, sv *bundle.Service) {
	pc := co.places.rows[sv.Name]
	if !ho.Settled() || pc.version == 0 || now.Now.Before(co.moving.next[name]) {
		return
	}
	leaving := !co.inService(name.Domain())
	targets := co.targets(sv, pc.row, func(pl bundle.Pool) bool { return co.routes.holders[pl.Name] != "" })
	warm := full(targets)
	every, share := homeEvery, 0
	if leaving {
		every, share = leaveEvery, co.leaveBatch(name, len(ho.Slices()))
	} else {
		share = co.homeBatch(name, sv, pc.row)
	}
	co.moving.next[name] = now.Now.Add(every)
	part := map[ident.Slice]ident.Pool{}
	for _, sl := range ho.Slices() {
		to, ok := destination(sv.Name, sl, targets)
		if ok && to != name && len(part) < share && (leaving || to == homeAt(sv.Name, sl, warm)) {
			part[sl] = to
		}
	}
	ho.Part(part)
}

// destination is where a slice goes by what the pools bear now.
func destination(sv ident.Service, sl ident.Slice, targets []slice.Target[ident.Pool]) (ident.Pool, bool) {
	return slice.Home(string(sv), slice.Item{Slice: sl}.String(), targets)
}

// homeAt is where a slice belongs among the targets; empty for nowhere.
func homeAt(sv ident.Service, sl ident.Slice, targets []slice.Target[ident.Pool]) ident.Pool {
	home, _ := destination(sv, sl, targets)
	return home
}

// full are the targets as if all were warm.
func full(targets []slice.Target[ident.Pool]) []slice.Target[ident.Pool] {
	list := slices.Clone(targets)
	for ix := range list {
		list[ix].Ramp = 1
	}
	return list
}

// leaveBatch is the size of a batch that empties a pool in leaveParts.
func (co *Core) leaveBatch(name ident.Pool, count int) int {
	co.moving.batch[name] = max(co.moving.batch[name], (count+leaveParts-1)/leaveParts)
	return co.moving.batch[name]
}

// homeBatch is the most that one pool sends home at a time. A pool in service
// forgets the batches by which it was emptied before.
func (co *Core) homeBatch(name ident.Pool, sv *bundle.Service, row pool.PlaceRow) int {
	delete(co.moving.batch, name)
	return max(1, len(row.Pools)/(len(sv.Pools())*int(1/rampStep)))
}

// inService tells whether a domain takes slices.
func (co *Core) inService(dm ident.Domain) bool {
	found, ok := co.bundle.Domain(dm)
	return ok && !found.Out && !found.Dark
}

// targets are the pools of a service in the domains that count, by the slots of
// their upstreams. A pool that owns less than half of the slices whose home it
// is bears little more than it has, so that it fills up step by step.
func (co *Core) targets(sv *bundle.Service, row pool.PlaceRow, counts func(bundle.Pool) bool) []slice.Target[ident.Pool] {
	var list []slice.Target[ident.Pool]
	for _, pl := range sv.Pools() {
		if tg := capacityOf(pl); co.inService(pl.Domain) && counts(pl) && tg.Capacity > 0 {
			list = append(list, tg)
		}
	}
	owned, homes := map[ident.Pool]int{}, map[ident.Pool]int{}
	for sl, name := range row.Pools {
		owned[name]++
		homes[homeAt(sv.Name, ident.Slice(sl), list)]++
	}
	for ix := range list {
		if name := list[ix].Name; 2*owned[name] < homes[name] {
			list[ix].Ramp = float64(owned[name])/float64(homes[name]) + rampStep
		}
	}
	return list
}

func capacityOf(pl bundle.Pool) slice.Target[ident.Pool] {
	tg := slice.Target[ident.Pool]{Name: pl.Name, Ramp: 1}
	for _, up := range pl.Upstreams {
		if !up.Out {
			tg.Capacity += float64(max(up.Slots, 1))
		}
	}
	return tg
}

// readPlace reads the row of a service although one is known.
func (co *Core) readPlace(now lease.Moment, sv ident.Service) Cmd {
	return co.operate(now, exchange.TableCmd{Tag: string(sv), Key: pool.PlaceKey(sv)}, nil)
}

// spreadPlace tells a new row to all hosts of the bundle.
func (co *Core) spreadPlace(pc exchange.Place) []Cmd {
	var cmds []Cmd
	for _, ho := range co.bundle.Hosts {
		if ho.Name != co.host {
			cmds = append(cmds, exchange.SendCmd{To: ho.Name, Notice: pc})
		}
	}
	return cmds
}

// askPlace asks the leader and a peer in turn for rows newer than the known
// ones, in case a word of them was lost.
func (co *Core) askPlace(now lease.Moment) []Cmd {
	mv := &co.moving
	if now.Now.Before(mv.nextAsk) || len(co.bundle.Hosts) < 2 {
		return nil
	}
	mv.nextAsk = now.Now.Add(askPlaceEvery)
	mv.turn++
	to := co.bundle.Hosts[mv.turn/2%len(co.bundle.Hosts)].Name
	if leader, _ := co.term.Leader(); leader != "" && leader != co.host && mv.turn%2 == 0 {
		to = leader
	}
	var cmds []Cmd
	for ix := range co.bundle.Services {
		sv := &co.bundle.Services[ix]
		if sv.Keyed && to != co.host {
			want := exchange.WantPlace{Service: sv.Name, Known: co.places.rows[sv.Name].version}
			cmds = append(cmds, exchange.SendCmd{To: to, Notice: want})
		}
	}
	return cmds
}
