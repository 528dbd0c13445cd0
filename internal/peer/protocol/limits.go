package protocol

import (
	"math"
	"time"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/roster"
)

// UpstreamLimit is what an upstream has said of the requests that it takes from all hosts
// together.
type UpstreamLimit struct {
	Upstream    ident.Upstream
	Incarnation roster.Incarnation
	Limit       rate.Limit
	// Age is the time since the upstream said so.
	Age time.Duration
}

// Limits tells what upstreams have said of the requests that they take: hosts tell the
// holder and the leader, the leader tells all members.
type Limits struct{ Limits []UpstreamLimit }

func (ms *Limits) code(cd *codec) {
	list(cd, &ms.Limits, func(ul *UpstreamLimit) {
		text(cd, &ul.Upstream)
		varint(cd, &ul.Incarnation)
		boolean(cd, &ul.Limit.Named)
		perSecond(cd, &ul.Limit.PerSecond)
		duration(cd, &ul.Age)
	})
}

// perSecond codes the bits of a rate. Negative rates, infinite ones and those that are not
// a number are malformed.
func perSecond(cd *codec, value *rate.PerSecond) {
	bits := math.Float64bits(float64(*value))
	varint(cd, &bits)
	if !cd.reading {
		return
	}
	*value = rate.PerSecond(math.Float64frombits(bits))
	if !(*value >= 0 && *value <= math.MaxFloat64) {
		*value, cd.err, cd.buf = 0, errMalformed, nil
	}
}
