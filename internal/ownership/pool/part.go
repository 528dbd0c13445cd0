package pool

import (
	"maps"
	"slices"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
)

// parting is how a holder gives slices to other pools: it grants them no more,
// waits until no upstream can hold them, and then moves them in the table, in
// one transaction with its own row.
type parting struct {
	to map[ident.Slice]ident.Pool
	// place is the row that is being written, on top of version.
	place   PlaceRow
	version table.Version
	sent    bool
	// unsettled are slices whose move may still take effect; only a later write
	// of the pool's row rules that out, and until then they stay withheld.
	unsettled map[ident.Slice]ident.Pool
	// given is a row that was written and not yet told to the node.
	given *exchange.Place
	// stale says that the node must read the row anew.
	stale bool
}

// Part says which slices the pool is to give away, and to which pools; one that
// is no longer named stays.
func (ho *Holder) Part(to map[ident.Slice]ident.Pool) {
	to = maps.Clone(to)
	maps.Copy(to, ho.parting.unsettled)
	if ho.parting.sent || maps.Equal(to, ho.parting.to) {
		return
	}
	ho.parting.to = to
	for sl := range to {
		if _, owned := ho.owners[sl]; owned {
			delete(ho.owners, sl)
		}
	}
	ho.touch()
}

// Settled tells whether the holder knows its slices from the table and has
// nothing left to record or to give away.
func (ho *Holder) Settled() bool {
	return ho.collected && ho.placed && len(ho.parting.to) == 0 && ho.record.written == ho.record.number
}

// Slices lists the pool's slices, in order.
func (ho *Holder) Slices() []ident.Slice { return slices.Sorted(maps.Keys(ho.slices)) }

// Ready lists the parting slices that no upstream can hold any more, once the
// holder's own row says that it owns them no longer.
func (ho *Holder) Ready(now lease.Moment) []ident.Slice {
	rc := &ho.record
	if !ho.Live(now) || !ho.placed || rc.busy || !rc.known || rc.written != rc.number || ho.parting.sent {
		return nil
	}
	var ready []ident.Slice
	for _, sl := range slices.Sorted(maps.Keys(ho.parting.to)) {
		if ho.slices[sl] && ho.free(now, sl, "") {
			ready = append(ready, sl)
		}
	}
	return ready
}

// Give moves ready slices to their pools, on top of the row that gives each
// slice its pool; none when the holder goes by another version of that row.
func (ho *Holder) Give(now lease.Moment, version table.Version, row PlaceRow, ready []ident.Slice) []exchange.Cmd {
	rc := &ho.record
	if version != ho.placeVersion {
		ho.parting.stale = true
		return nil
	}
	next := PlaceRow{Pools: slices.Clone(row.Pools)}
	for _, sl := range ready {
		if next.Pools[sl] != ho.claim.Pool {
			ho.parting.stale = true
			return nil
		}
		next.Pools[sl] = ho.parting.to[sl]
	}
	ho.parting.place, ho.parting.version, ho.parting.sent = next, version, true
	ho.touch()
	ho.numbers++
	rc.query, rc.busy, rc.doing, rc.asked = ho.numbers, true, writing, now.Now
	rc.sending = ho.state()
	return []exchange.Cmd{exchange.TableCmd{Tag: RowKey(ho.claim.Pool), Number: rc.query, Writes: []table.Write{
		{Key: RowKey(ho.claim.Pool), Base: rc.version, Value: EncodeRow(rc.sending)},
		{Key: PlaceKey(ho.pool.Service.Name), Base: version, Value: EncodePlace(next)},
	}}}
}

// gave takes the outcome of Give. All but Done is settled by reading the row
// anew; meanwhile the slices stay withheld.
func (ho *Holder) gave(oc table.Outcome) {
	pt := &ho.parting
	sent := pt.sent
	pt.sent = false
	if oc == table.Done {
		pt.unsettled = nil
	}
	if !sent {
		return
	}
	if oc != table.Done {
		pt.stale = true
		if oc != table.Conflict {
			pt.unsettled = maps.Clone(pt.to)
		}
		return
	}
	pt.given = &exchange.Place{Service: ho.pool.Service.Name, Version: pt.version + 1, Value: EncodePlace(pt.place)}
	ho.SetSlices(pt.version+1, pt.place.Of(ho.claim.Pool))
}

// dropParted forgets the parting slices that are no longer the pool's.
func (ho *Holder) dropParted() {
	left := maps.Clone(ho.parting.to)
	maps.DeleteFunc(left, func(sl ident.Slice, _ ident.Pool) bool { return !ho.slices[sl] })
	ho.parting.to = left
}

// Given returns, once, the row that the holder has written.
func (ho *Holder) Given() (exchange.Place, bool) {
	given := ho.parting.given
	ho.parting.given = nil
	if given == nil {
		return exchange.Place{}, false
	}
	return *given, true
}

// Stale tells, once, that the row which gives each slice its pool must be read.
func (ho *Holder) Stale() bool {
	stale := ho.parting.stale
	ho.parting.stale = false
	return stale
}

// Able lists the upstreams that answer and are not out.
func (ho *Holder) Able(now lease.Moment) []bundle.Upstream {
	var list []bundle.Upstream
	for _, up := range ho.pool.Upstreams {
		if us := ho.upstreams[up.Name]; us != nil && !us.out && us.reachable(now, ho.line) {
			list = append(list, up)
		}
	}
	return list
}
