package authority

import (
	"slices"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/domain"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/ownership/lease"
)

const (
	// coverTime is how long a new leader waits for its domain's cover before it
	// takes pools from their holders.
	coverTime = 300 * time.Millisecond
	// unheardTime is the silence of another domain's leader after which its
	// routes are dropped.
	unheardTime = 1500 * time.Millisecond
)

// domains is a leader's part among the domains.
type domains struct {
	core *domain.Core
	// told is the lead that the core was last told of, and since when the term
	// is led here.
	told  domain.Lead
	since clock.Instant
	// leaders are the hosts that spoke for the other domains; turn rotates over
	// the hosts of a domain whose leader is not known.
	leaders map[ident.Domain]ident.Host
	turn    int
	allowed []ident.Pool
	nextRun clock.Instant
}

func newDomains(own ident.Domain, ln lease.Line) domains {
	return domains{core: domain.New(own, domain.WithLine(ln)), leaders: map[ident.Domain]ident.Host{}}
}

// inform tells the domain core how this node leads.
func (co *Core) inform(now lease.Moment) []Cmd {
	ld := domain.Lead{}
	if right, leads := co.term.Leads(now); leads {
		_, ld.Term = co.term.Leader()
		ld.Inner = right
		ld.Table, ld.Row = co.term.Tabled()
	}
	dm := &co.domains
	if ld == dm.told {
		return nil
	}
	if ld.Term != dm.told.Term {
		dm.since, dm.allowed = now.Now, nil
	}
	dm.told = ld
	return co.fromDomains(now, dm.core.Update(now, domain.LeadMsg{Lead: ld}))
}

// limit bounds the leader's right to what its domain may do, and gives the pools
// that may be held meanwhile. It is false while a new leader does not yet know.
func (co *Core) limit(now lease.Moment, right clock.Instant) (until clock.Instant, ok bool) {
	dm := &co.domains
	if co.bundle == nil {
		return 0, false
	}
	cutOff := dm.core.CutOff(now)
	if cutOff && now.Now.Before(dm.since.Add(coverTime)) {
		return 0, false
	}
	allowed := []ident.Pool{}
	for _, name := range co.ownPools {
		if !co.pools[name].Service.Keyed {
			allowed = append(allowed, name)
			continue
		}
		if end := dm.core.Until(name.Service()); now.Now.Before(end) {
			allowed = append(allowed, name)
			right = min(right, end)
		}
	}
	if !slices.Equal(allowed, dm.allowed) || dm.allowed == nil {
		dm.allowed = allowed
		co.leader.pools.SetPools(now, allowed)
	}
	return right, true
}

// runDomains passes time to the domain core and drops the routes of domains
// whose leader is not heard.
func (co *Core) runDomains(now lease.Moment) []Cmd {
	dm := &co.domains
	if co.leader == nil || now.Now.Before(dm.nextRun) {
		return nil
	}
	dm.nextRun = now.Now.Add(domainTick)
	cmds := co.fromDomains(now, dm.core.Update(now, domain.EmptiedMsg{Empty: co.emptied()}))
	cmds = append(cmds, co.fromDomains(now, dm.core.Update(now, domain.TickMsg{}))...)
	for other, offer := range co.routes.told {
		if offer.Leader == "" || dm.core.Heard(now, other, unheardTime) {
			continue
		}
		co.routes.told[other] = exchange.Offer{}
		delete(dm.leaders, other)
		var gone []exchange.Holding
		for name := range co.pools {
			if name.Domain() == other {
				gone = append(gone, exchange.Holding{Pool: name})
			}
		}
		co.leader.pools.Learn(gone)
	}
	return cmds
}

// domainTick is how often the domain core is told the time.
const domainTick = 20 * time.Millisecond

// emptied tells whether no slice of any service is the own domain's.
func (co *Core) emptied() bool {
	for ix := range co.bundle.Services {
		sv := &co.bundle.Services[ix]
		if !sv.Keyed {
			continue
		}
		pc := co.places.rows[sv.Name]
		owns := slices.ContainsFunc(pc.row.Pools, func(pl ident.Pool) bool { return pl.Domain() == co.domain })
		if pc.version == 0 || owns {
			return false
		}
	}
	return true
}

// fromDomains carries out what the domain core decides.
func (co *Core) fromDomains(now lease.Moment, list []domain.Cmd) []Cmd {
	var cmds []Cmd
	for _, cmd := range list {
		switch cm := cmd.(type) {
		case domain.SendCmd:
			cmds = append(cmds, co.sendDomain(now, cm.To, cm.Msg)...)
		case domain.ReadCmd:
			cmds = append(cmds, co.readDomain(now, cm.Domain))
		case domain.CharterCmd:
			cmds = append(cmds, co.writeCharter(now, cm))
		case domain.TakeCmd:
			cmds = append(cmds, co.takeOver(now, cm)...)
		}
	}
	return cmds
}

// sendDomain sends to the leader of another domain, or to any of its hosts when
// the leader is not known or not heard.
func (co *Core) sendDomain(now lease.Moment, to ident.Domain, msg domain.Msg) []Cmd {
	dm := &co.domains
	host := dm.leaders[to]
	if host == "" || !dm.core.Heard(now, to, 2*domain.HeartbeatEvery) {
		hosts := co.bundle.HostsOf(to)
		if len(hosts) == 0 {
			return nil
		}
		dm.turn++
		host = hosts[dm.turn%len(hosts)].Name
	}
	nt := encodeDomain(msg)
	nt.To, nt.Leader = to, co.host
	return []Cmd{exchange.SendCmd{To: host, Notice: nt}}
}

// hearDomain takes a word from another domain; a host that does not lead passes
// it to its leader, unless it was passed before.
func (co *Core) hearDomain(now lease.Moment, from ident.Host, nt exchange.Neighbour) []Cmd {
	if co.bundle == nil || nt.To != co.domain {
		return nil
	}
	if co.leader == nil {
		return co.passDomain(from, nt)
	}
	if nt.Kind != exchange.NeighbourAlive {
		co.domains.leaders[nt.From] = nt.Leader
	}
	return co.fromDomains(now, co.domains.core.Update(now, decodeDomain(nt)))
}

// passDomain hands a word to the own leader, and says to the sender of a
// heartbeat that this host is up.
func (co *Core) passDomain(from ident.Host, nt exchange.Neighbour) []Cmd {
	sender, ok := co.bundle.Host(from)
	if !ok || sender.Domain == co.domain {
		return nil
	}
	var cmds []Cmd
	if nt.Kind == exchange.NeighbourBeat {
		alive := exchange.Neighbour{Kind: exchange.NeighbourAlive, From: co.domain, To: nt.From}
		cmds = append(cmds, exchange.SendCmd{To: nt.Leader, Notice: alive})
	}
	if leader, _ := co.term.Leader(); leader != "" && leader != co.host {
		cmds = append(cmds, exchange.SendCmd{To: leader, Notice: nt})
	}
	return cmds
}

func encodeDomain(msg domain.Msg) exchange.Neighbour {
	switch mg := msg.(type) {
	case domain.HeartbeatMsg:
		return exchange.Neighbour{
			Kind: exchange.NeighbourBeat, From: mg.From, Term: mg.Term, Reading: mg.Reading, Row: mg.Row,
			Flag: mg.Covered, EchoTerm: mg.Echo.Term, Echo: mg.Echo.Reading,
		}
	case domain.SupportMsg:
		return exchange.Neighbour{
			Kind: exchange.NeighbourSupport, From: mg.From, Term: mg.Term, Until: mg.Until,
			Flag: mg.Vouched, EchoTerm: mg.Word.Term, Echo: mg.Word.Reading,
		}
	case domain.AskReleaseMsg:
		return exchange.Neighbour{Kind: exchange.NeighbourAsk, From: mg.From, Term: mg.Term, About: mg.About, Reading: mg.Reading}
	case domain.ReleaseMsg:
		return exchange.Neighbour{Kind: exchange.NeighbourRelease, From: mg.From, Term: mg.Term, About: mg.About, Until: mg.Until}
	default:
		return exchange.Neighbour{}
	}
}

func decodeDomain(nt exchange.Neighbour) domain.Msg {
	echo := domain.Echo{Term: nt.EchoTerm, Reading: nt.Echo}
	switch nt.Kind {
	case exchange.NeighbourBeat:
		return domain.HeartbeatMsg{From: nt.From, Term: nt.Term, Reading: nt.Reading, Row: nt.Row, Covered: nt.Flag, Echo: echo}
	case exchange.NeighbourSupport:
		return domain.SupportMsg{From: nt.From, Term: nt.Term, Until: nt.Until, Word: echo, Vouched: nt.Flag}
	case exchange.NeighbourAsk:
		return domain.AskReleaseMsg{From: nt.From, Term: nt.Term, About: nt.About, Reading: nt.Reading}
	case exchange.NeighbourRelease:
		return domain.ReleaseMsg{From: nt.From, Term: nt.Term, About: nt.About, Until: nt.Until}
	case exchange.NeighbourAlive:
		return domain.AliveMsg{From: nt.From}
	default:
		return domain.TickMsg{}
	}
}
