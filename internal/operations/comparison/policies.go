package comparison

import (
	"math/rand/v2"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/serving/admission"
	"chervilwalk/internal/serving/policy"
)

// Policy is a way to route that is compared.
type Policy struct {
	Name string
	// blind policies run on every entry node by themselves, the others on one
	// holder.
	blind bool
	// byDomain policies run on one holder in each domain, for the targets there.
	byDomain bool
	core     func(fl *fleet, pl bundle.Pool, rn *rand.Rand) core
}

// Policies lists the policies that are compared.
func Policies() []Policy {
	plain := admission.WithPlain()
	return []Policy{
		{Name: "random", blind: true, core: func(_ *fleet, pl bundle.Pool, rn *rand.Rand) core {
			return admission.NewWith(pl, policy.Random{Rand: rn}, plain)
		}},
		{Name: "roundRobin", blind: true, core: func(_ *fleet, pl bundle.Pool, rn *rand.Rand) core {
			return admission.NewWith(pl, policy.NewRoundRobin(rn.IntN(len(pl.Upstreams))), plain)
		}},
		{Name: "leastReported", blind: true, core: func(_ *fleet, pl bundle.Pool, rn *rand.Rand) core {
			return admission.NewWith(pl, policy.LeastReported{Rand: rn}, plain)
		}},
		{Name: "twoChoices", blind: true, core: func(_ *fleet, pl bundle.Pool, rn *rand.Rand) core {
			return admission.NewWith(pl, policy.TwoChoices{Rand: rn}, plain)
		}},
		{Name: "sampled", core: func(_ *fleet, pl bundle.Pool, _ *rand.Rand) core {
			return admission.NewWith(pl, policy.Sampled{}, plain)
		}},
		{Name: "ours", core: func(_ *fleet, pl bundle.Pool, _ *rand.Rand) core {
			return admission.New(pl)
		}},
		{Name: "oursByDomain", byDomain: true, core: func(_ *fleet, pl bundle.Pool, _ *rand.Rand) core {
			return admission.New(pl)
		}},
		{Name: "fullInformation", core: func(fl *fleet, pl bundle.Pool, _ *rand.Rand) core {
			return admission.New(pl, admission.WithKnownTimes(fl.trueTime))
		}},
	}
}

// trueTime is the mean time that a target takes now, with the way to it.
func (fl *fleet) trueTime(name ident.Upstream) time.Duration {
	return 2*nearHop + time.Duration(float64(fl.config.Service)*fl.byName[name].factor)
}
