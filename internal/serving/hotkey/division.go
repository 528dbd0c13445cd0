package hotkey

import (
	"math"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/ident"
)

const (
	// partTime is the time over which parts are compared.
	partTime = 2 * time.Second
	// sweepInterval is how often parts are dropped that no longer ask.
	sweepInterval = 500 * time.Millisecond
	// minAsked is the number of asks, less by age, of a part that still asks.
	minAsked = 0.25
	// maxParts limits the parts that are told apart. Others are not divided.
	maxParts = 2048
	// tolerance is how far an ask may bring a part beyond its share, less than one: the next ask brings
	// it back.
	tolerance = 0.5
	// maxPriority is the lowest urgency that is told apart.
	maxPriority = 16
)

// division divides the requests for a key: those of different urgency by what they ask for, each step
// less urgent counting half; domains, the hosts of a domain and callers equally.
type division struct {
	classes parts[int]
	domains parts[ident.Domain]
	hosts   map[ident.Domain]*parts[ident.Host]
	callers parts[ident.Fingerprint]
}

func newDivision() division {
	return division{
		classes: newParts(func(priority int, asked float64) float64 { return asked * math.Exp2(-float64(priority)) }),
		domains: newParts[ident.Domain](nil), hosts: map[ident.Domain]*parts[ident.Host]{}, callers: newParts[ident.Fingerprint](nil),
	}
}

func class(ask Ask) int { return min(max(ask.Priority, 0), maxPriority) }

// ask counts an ask.
func (dv *division) ask(now clock.Instant, ask Ask) {
	dv.classes.ask(now, class(ask))
	if dv.domains.ask(now, ask.Domain) {
		for domain := range dv.hosts {
			if dv.domains.parts[domain] == nil {
				delete(dv.hosts, domain)
			}
		}
	}
	if dv.domains.parts[ask.Domain] != nil {
		if dv.hosts[ask.Domain] == nil {
			hosts := newParts[ident.Host](nil)
			dv.hosts[ask.Domain] = &hosts
		}
		dv.hosts[ask.Domain].ask(now, ask.Host)
	}
	// Earlier builds do not tell callers apart.
	if ask.Fingerprint != 0 {
		dv.callers.ask(now, ask.Fingerprint)
	}
}

// mayTake reports whether an ask is within the parts of all that it belongs to.
func (dv *division) mayTake(now clock.Instant, ask Ask) bool {
	hosts := dv.hosts[ask.Domain]
	return dv.classes.mayTake(now, class(ask)) && dv.domains.mayTake(now, ask.Domain) && (hosts == nil || hosts.mayTake(now, ask.Host)) &&
		dv.callers.mayTake(now, ask.Fingerprint)
}

// perSecond returns how many asks a second come, those of the last moment counted most.
func (dv *division) perSecond(now clock.Instant) float64 {
	dv.domains.all.age(now)
	return dv.domains.all.asked / partTime.Seconds()
}

// take counts an ask that is admitted or told when to return.
func (dv *division) take(now clock.Instant, ask Ask) {
	dv.classes.take(now, class(ask))
	dv.domains.take(now, ask.Domain)
	if hosts := dv.hosts[ask.Domain]; hosts != nil {
		hosts.take(now, ask.Host)
	}
	dv.callers.take(now, ask.Fingerprint)
}

// part counts the asks of one of those among whom a key is divided, and those admitted, both less by age.
type part struct {
	asked, taken float64
	at           clock.Instant
}

// age lets the counts decay until now.
func (pt *part) age(now clock.Instant) {
	factor := math.Exp(-now.Sub(pt.at).Seconds() / partTime.Seconds())
	pt.asked, pt.taken, pt.at = pt.asked*factor, pt.taken*factor, now
}

// parts holds the parts of those that ask.
type parts[ID comparable] struct {
	// weigh returns the weight of a part; nil if all have the same.
	weigh   func(id ID, asked float64) float64
	parts   map[ID]*part
	all     part
	sweepAt clock.Instant
}

func newParts[ID comparable](weigh func(ID, float64) float64) parts[ID] {
	return parts[ID]{weigh: weigh, parts: map[ID]*part{}}
}

// ask counts an ask. It returns whether it has dropped parts.
func (ps *parts[ID]) ask(now clock.Instant, id ID) (swept bool) {
	if now >= ps.sweepAt {
		ps.sweep(now)
		swept = true
	}
	pt := ps.parts[id]
	if pt == nil {
		if len(ps.parts) >= maxParts {
			return swept
		}
		pt = &part{at: now}
		ps.parts[id] = pt
	}
	pt.age(now)
	pt.asked++
	ps.all.age(now)
	ps.all.asked++
	return swept
}

func (ps *parts[ID]) sweep(now clock.Instant) {
	ps.sweepAt = now.Add(sweepInterval)
	for id, pt := range ps.parts {
		if pt.age(now); pt.asked < minAsked {
			delete(ps.parts, id)
		}
	}
}

// mayTake reports whether a part has not taken its share of all yet.
func (ps *parts[ID]) mayTake(now clock.Instant, id ID) bool {
	pt := ps.parts[id]
	if pt == nil {
		return true
	}
	ps.all.age(now)
	pt.age(now)
	return pt.taken < tolerance+ps.all.taken*ps.share(id, pt)
}

// share returns the fraction of all that a part should have.
func (ps *parts[ID]) share(id ID, pt *part) float64 {
	if ps.weigh == nil {
		return 1 / float64(len(ps.parts))
	}
	sum := 0.0
	for other, pt := range ps.parts {
		sum += ps.weigh(other, pt.asked)
	}
	return ps.weigh(id, pt.asked) / sum
}

func (ps *parts[ID]) take(now clock.Instant, id ID) {
	if pt := ps.parts[id]; pt != nil {
		ps.all.age(now)
		pt.age(now)
		ps.all.taken++
		pt.taken++
	}
}
