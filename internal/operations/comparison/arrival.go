package comparison

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
)

// arrival is one request as its caller sends it; it is the same for all policies.
type arrival struct {
	id ident.Request
	at clock.Instant
	// node is the entry node that the balancer chose.
	node int
	// work is the time that a healthy upstream takes.
	work       time.Duration
	slice      ident.Slice
	idempotent bool
}

// arrivals draws a Poisson stream with exponential work, half of it idempotent.
// A scenario with a higher load has more requests, so that all last as long.
func arrivals(cf Config, sv Service, sc Scenario) []arrival {
	rn := rand.New(rand.NewPCG(cf.Seed, uint64(sv.Targets)))
	load := cf.Load
	if sc.load > 0 {
		load = sc.load
	}
	gap := float64(time.Second) / (load * capacity(cf, sv))
	list := make([]arrival, max(1, int(float64(cf.Requests)*load/cf.Load)))
	var at float64
	for ix := range list {
		at += rn.ExpFloat64() * gap
		list[ix] = arrival{
			id:         ident.Request(fmt.Sprint("r", ix)),
			at:         clock.Instant(at),
			node:       rn.IntN(entryNodes),
			work:       time.Duration(rn.ExpFloat64() * float64(cf.Service)),
			slice:      ident.Slice(rn.IntN(sliceCount)),
			idempotent: rn.IntN(2) == 0,
		}
	}
	return list
}
