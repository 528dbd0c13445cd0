package permit_test

import (
	"math"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/peer/protocol"
	"chervilwalk/internal/serving/permit"
)

// rates are how many requests a second the callers of each domain send.
type rates map[ident.Domain]float64

// domains plays one holder under the load of three domains with equal upstreams.
type domains struct {
	*simulation
	// lost says over which links requests are lost.
	lost func(from, to ident.Domain) bool
	// took is the mean time of an answer, class the size class of all requests, keys how many
	// keys, from the first on, they are for.
	took  time.Duration
	class uint8
	keys  int
	// asked and inTime count the requests by their callers' domain, sent the permits by that and
	// the upstream's, sentTo those for each upstream, refused the refusals by their reason.
	asked, inTime rates
	sent          map[[2]ident.Domain]float64
	sentTo        map[ident.Upstream]int
	refused       map[string]int
}

func allReached(_, _ ident.Domain) bool { return false }

func newDomains(keyed bool, upstreams, slots int, took time.Duration) *domains {
	dms := &domains{simulation: newSimulation(9, keyed, repeat(upstreams, took)...), lost: allReached, took: took, keys: keyspace.Count}
	ms := dms.upstreamsMsg(0)
	for ix := range ms.Upstreams {
		ms.Upstreams[ix].Slots = slots
	}
	dms.update(ms)
	return dms
}

// load sends requests for a time and waits for their ends.
func (dms *domains) load(duration time.Duration, perSecond rates) {
	dms.asked, dms.inTime, dms.sent = rates{}, rates{}, map[[2]ident.Domain]float64{}
	dms.sentTo, dms.refused = map[ident.Upstream]int{}, map[string]int{}
	for _, dm := range []ident.Domain{"d0", "d1", "d2"} {
		for at := time.Duration(0); at < duration && perSecond[dm] > 0; at += time.Duration(dms.rng.ExpFloat64() / perSecond[dm] * float64(time.Second)) {
			dms.schedule(at, func() { dms.ask(dm) })
		}
	}
	whole := duration + 5*dms.took
	for at := time.Duration(0); at < whole; at += 10 * time.Millisecond {
		dms.schedule(at, func() { dms.handle(dms.core.Update(dms.now, permit.TickMsg{})) })
	}
	dms.advance(whole)
}

func (dms *domains) ask(dm ident.Domain) {
	dms.ticket++
	dms.asked[dm]++
	dms.startedAt[dms.ticket] = dms.now
	dms.handle(dms.core.Update(dms.now, permit.AskMsg{Ask: protocol.Ask{
		Host: "a", Ticket: dms.ticket, Service: service, Domain: dm, Keyed: dms.keyed, Key: keyspace.Key(dms.rng.Intn(dms.keys)),
		Pools: 1, Repeatable: true, SizeClass: dms.class, ObjectiveLeft: 5 * dms.took, TimeLeft: 15 * dms.took,
	}}))
}

// handle executes the core's commands.
func (dms *domains) handle(cmds []permit.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case permit.RefuseCmd:
			dms.refused[cmd.Refusal.Reason]++
		case permit.IssueCmd:
			dms.run(cmd)
		}
	}
}

// run runs a request with a permit and releases it.
func (dms *domains) run(cmd permit.IssueCmd) {
	from, to := cmd.Ask.Domain, domainOf(cmd.Permit.Upstream)
	dms.sent[[2]ident.Domain{from, to}]++
	dms.sentTo[cmd.Permit.Upstream]++
	took, outcome := time.Duration(math.Exp(0.3*dms.rng.NormFloat64()-0.045)*float64(dms.took)), permit.Answered
	if dms.lost(from, to) {
		took, outcome = 350*time.Millisecond, permit.Unreached
	}
	dms.schedule(took, func() {
		if outcome == permit.Answered && dms.now.Sub(dms.startedAt[cmd.Ask.Ticket]) <= 5*dms.took {
			dms.inTime[from]++
		}
		dms.handle(dms.core.Update(dms.now, permit.DoneMsg{Done: protocol.Done{
			Host: "a", Ticket: cmd.Ask.Ticket, Service: service, Upstream: cmd.Permit.Upstream, Outcome: uint8(outcome), Took: took,
		}}))
	})
}

// sentFrom counts the permits of a domain's callers for upstreams of the others.
func (dms *domains) sentFrom(dm ident.Domain) float64 {
	count := 0.0
	for way, sent := range dms.sent {
		if way[0] == dm && way[1] != dm {
			count += sent
		}
	}
	return count
}

// domainOf returns the domain of an upstream of a simulation.
func domainOf(id ident.Upstream) ident.Domain {
	number := 0
	for _, digit := range id[1:] {
		number = 10*number + int(digit-'0')
	}
	return ident.Domain("d" + string(rune('0'+number%3)))
}
