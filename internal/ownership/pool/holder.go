package pool

import (
	"maps"
	"slices"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/ownership/lease"
	"chervilwalk/internal/platform/table"
)

// View is what a holder may dispatch for one pool. It is never changed.
type View struct {
	Pool ident.Pool
	// Until is the end of the holder's lease, on the node's clock.
	Until clock.Instant
	// Owners gives the upstream of each slice that the pool serves.
	Owners map[ident.Slice]ident.Upstream
	// Grants gives what each upstream was granted; one without is not served.
	Grants map[ident.Upstream]Grant
}

// Grant is what an upstream was granted and confirmed.
type Grant struct {
	Token grant.Token
	// Until is the earliest end of the grant, on the node's clock.
	Until       clock.Instant
	Incarnation string
}

// Holder grants the slices of one pool, for as long as its lease lasts. It
// first collects what is known of the pool, then records its own state, and
// only then grants.
type Holder struct {
	host   ident.Host
	line   lease.Line
	defect lease.Defect
	pool   bundle.Pool
	claim  exchange.Claim
	// until is the end of the lease on the raw clock.
	until clock.Instant
	// quiet is when no earlier holder's grant can be in force.
	quiet     clock.Instant
	started   lease.Moment
	collected bool
	// placed says that slices come from the table; placeVersion is its row's.
	placed       bool
	placeVersion table.Version
	superseded   bool
	refused      exchange.Claim
	seq          uint64
	numbers      uint64
	peers        []ident.Host
	slices       map[ident.Slice]bool
	owners       map[ident.Slice]ident.Upstream
	durable      map[ident.Slice]ident.Upstream
	upstreams    map[ident.Upstream]*upstream
	record       record
	parting      parting
	changed      bool
	// steady says that every slice is granted to its owner and nothing is in
	// dispute, so that renewals need not look at the slices. Whatever changes a
	// slice, an owner, a record or a confirmed grant ends it.
	steady bool
	// shown are the owners of the latest view, kept while steady.
	shown map[ident.Slice]ident.Upstream
}

// NewHolder makes the holder of a pool that was assigned to this host.
func NewHolder(host ident.Host, ln lease.Line, df lease.Defect, pl bundle.Pool, as exchange.Assigned, now lease.Moment) *Holder {
	ho := &Holder{
		host: host, line: ln, defect: df,
		claim:     exchange.Claim{Pool: as.Pool, Term: as.Term, Epoch: as.Epoch},
		quiet:     now.Steady,
		started:   now,
		slices:    map[ident.Slice]bool{},
		owners:    map[ident.Slice]ident.Upstream{},
		durable:   map[ident.Slice]ident.Upstream{},
		upstreams: map[ident.Upstream]*upstream{},
	}
	// Numbers start at the clock, so that no answer to an earlier holder of the
	// pool on this host fits.
	ho.numbers, ho.record.number = uint64(now.Now), uint64(now.Now)
	ho.record.written, ho.record.durable = ho.record.number, ho.record.number
	if as.Quiet > 0 {
		ho.quiet = now.Steady.Add(lease.Longest(as.Quiet))
	}
	ho.SetPool(pl)
	return ho
}

// Claim is the pool with the holder's token.
func (ho *Holder) Claim() exchange.Claim { return ho.claim }

// Refused is the token that an upstream set against the holder's, if any did.
func (ho *Holder) Refused() (exchange.Claim, bool) {
	return ho.refused, ho.refused.Pool != ""
}

// Extend moves the end of the lease. After a lapse, in which no upstream was
// asked, their silence tells nothing yet.
func (ho *Holder) Extend(now lease.Moment, until clock.Instant) {
	if !ho.Live(now) {
		ho.started = now
	}
	ho.changed = ho.changed || until > ho.until
	ho.until = max(ho.until, until)
}

// Live tells whether the lease is in force.
func (ho *Holder) Live(now lease.Moment) bool { return now.Now.Before(ho.until) }

// SetPeers names the other hosts of the domain, for copies.
func (ho *Holder) SetPeers(peers []ident.Host) { ho.peers = peers }

// SetSilent says that the table has not answered this node of late, so that
// the peers are asked at once.
func (ho *Holder) SetSilent() { ho.record.silent = true }

// SetPool takes the pool's upstreams from a bundle. One that left is treated
// as out until nothing granted to it can be in force.
func (ho *Holder) SetPool(pl bundle.Pool) {
	ho.pool = pl
	ho.disturb()
	for _, us := range ho.upstreams {
		us.out = true
	}
	for _, up := range pl.Upstreams {
		us := ho.upstreams[up.Name]
		if us == nil {
			us = &upstream{name: up.Name, all: true, lapse: ho.quiet, may: map[ident.Slice]bool{}}
			ho.upstreams[up.Name] = us
		}
		us.out = up.Out
	}
}

// SetSlices says which slices belong to the pool, by the version of the row
// that says so. A slice that was taken away is revoked; Holds tells when it is
// free.
func (ho *Holder) SetSlices(version table.Version, list []ident.Slice) {
	if version < ho.placeVersion {
		return
	}
	ho.placeVersion, ho.placed = version, true
	ho.disturb()
	ho.slices = make(map[ident.Slice]bool, len(list))
	for _, sl := range list {
		ho.slices[sl] = true
	}
	for sl := range ho.owners {
		if !ho.slices[sl] {
			delete(ho.owners, sl)
			ho.touch()
		}
	}
	ho.dropParted()
}

// Placed returns the version of the row that the pool's slices come from, and
// whether they were read from the table at all.
func (ho *Holder) Placed() (table.Version, bool) { return ho.placeVersion, ho.placed }

// Holds tells whether any upstream may hold the slice by this pool's grant.
func (ho *Holder) Holds(now lease.Moment, sl ident.Slice) bool {
	return !ho.free(now, sl, "")
}

// Move gives a slice to another upstream of the pool; the grant follows once
// the former owner confirmed the revocation or its grant ended.
func (ho *Holder) Move(sl ident.Slice, to ident.Upstream) {
	if us := ho.upstreams[to]; us == nil || us.out || !ho.slices[sl] || ho.owners[sl] == to {
		return
	}
	ho.owners[sl] = to
	ho.touch()
}

// Owners lists the owner of each slice that the holder has decided on.
func (ho *Holder) Owners() map[ident.Slice]ident.Upstream { return maps.Clone(ho.owners) }

// touch marks the state as not yet recorded.
func (ho *Holder) touch() {
	ho.record.number++
	ho.changed = true
	ho.disturb()
}

// disturb makes the next orders look at every slice.
func (ho *Holder) disturb() {
	ho.steady, ho.shown = false, nil
}

// settle notes whether each upstream has confirmed all that it is to own.
func (ho *Holder) settle() {
	granted := 0
	for _, us := range ho.upstreams {
		if !us.complete || us.all {
			return
		}
		for sl := range us.confirmed {
			if ho.owners[sl] != us.name {
				return
			}
		}
		granted += len(us.confirmed)
	}
	ho.steady = granted == len(ho.owners) && len(ho.owners) == len(ho.slices) && maps.Equal(ho.owners, ho.durable)
}

// Tick renews what is due and decides what can be decided.
func (ho *Holder) Tick(now lease.Moment) []exchange.Cmd {
	if ho.superseded || !ho.Live(now) {
		return nil
	}
	var cmds []exchange.Cmd
	if !ho.collected {
		cmds = append(cmds, ho.collect(now)...)
	}
	if ho.collected {
		ho.place(now)
		cmds = append(cmds, ho.persist(now)...)
	}
	return append(cmds, ho.orders(now)...)
}

// place gives an owner to each slice that has none, or whose owner is out or
// was silent until its grant had ended.
func (ho *Holder) place(now lease.Moment) {
	var able []ident.Upstream
	for _, us := range ho.upstreams {
		if !us.out && us.reachable(now, ho.line) {
			able = append(able, us.name)
		}
	}
	if len(able) == 0 || (ho.steady && !ho.bereft(now)) {
		return
	}
	for sl := range ho.slices {
		us := ho.upstreams[ho.owners[sl]]
		if ho.parting.to[sl] != "" {
			continue
		}
		if us != nil && !us.out && !us.lost(now, ho.line, ho.started, ho.defect) {
			continue
		}
		ho.owners[sl] = homeOf(ho.pool.Service.Name, sl, able)
		ho.touch()
	}
}

// bereft tells whether an owner is out, or silent until its grant had ended.
func (ho *Holder) bereft(now lease.Moment) bool {
	for _, us := range ho.upstreams {
		if len(us.confirmed) > 0 && (us.out || us.lost(now, ho.line, ho.started, ho.defect)) {
			return true
		}
	}
	return false
}

// homeOf chooses the upstream of a slice by weight.
func homeOf(sv ident.Service, sl ident.Slice, ups []ident.Upstream) ident.Upstream {
	item := Item(sv, sl)
	var best ident.Upstream
	for _, up := range ups {
		wt, top := ident.Weight(item, string(up)), ident.Weight(item, string(best))
		if best == "" || wt > top || (wt == top && up < best) {
			best = up
		}
	}
	return best
}

// View is what may be dispatched now: slices whose owner confirmed them.
func (ho *Holder) View() View {
	vw := View{Pool: ho.claim.Pool, Until: ho.until, Owners: ho.shown, Grants: map[ident.Upstream]Grant{}}
	for _, us := range ho.upstreams {
		if us.grant.Until != 0 && !us.out {
			vw.Grants[us.name] = us.grant
		}
	}
	if vw.Owners == nil {
		vw.Owners = ho.granted()
	}
	if ho.steady {
		ho.shown = vw.Owners
	}
	return vw
}

// granted gives the owner of each slice that is decided, recorded and confirmed.
func (ho *Holder) granted() map[ident.Slice]ident.Upstream {
	owners := map[ident.Slice]ident.Upstream{}
	for _, us := range ho.upstreams {
		if us.grant.Until == 0 || us.out {
			continue
		}
		for sl := range us.confirmed {
			if ho.owners[sl] == us.name && ho.durable[sl] == us.name {
				owners[sl] = us.name
			}
		}
	}
	return owners
}

// Changed tells whether the view changed since the last call.
func (ho *Holder) Changed() bool {
	changed := ho.changed
	ho.changed = false
	return changed
}

// sortedUpstreams lists the upstreams in the order of their names.
func (ho *Holder) sortedUpstreams() []*upstream {
	list := make([]*upstream, 0, len(ho.upstreams))
	for _, name := range slices.Sorted(maps.Keys(ho.upstreams)) {
		list = append(list, ho.upstreams[name])
	}
	return list
}
