package admission

import (
	"time"

	"chervilwalk/internal/fleet/ident"
)

const (
	// defaultMaxQueued bounds a pool's queue, in requests.
	defaultMaxQueued = 4096
	// defaultExtraShare bounds retries and hedges, as a share of the traffic.
	defaultExtraShare = 0.04
)

// Option changes a core at its making.
type Option func(*options)

type options struct {
	maxQueued  int
	extraShare float64
	// plain leaves out what a simple balancer does not have.
	plain bool
	// known gives the true times of the upstreams.
	known func(up ident.Upstream) time.Duration
}

func defaults() options {
	return options{maxQueued: defaultMaxQueued, extraShare: defaultExtraShare}
}

// WithMaxQueued bounds the queue, in requests. A node that holds many pools
// gives each a part of what it can keep, so that one pool's flood leaves the
// others theirs.
func WithMaxQueued(count int) Option {
	return func(op *options) { op.maxQueued = count }
}

// WithExtraShare bounds retries and hedges, as a share of the traffic.
func WithExtraShare(share float64) Option {
	return func(op *options) { op.extraShare = share }
}

// WithPlain leaves out ramps, probes, hedges, retries and refusals ahead of
// time, for the comparison with simple balancers.
func WithPlain() Option {
	return func(op *options) {
		op.plain = true
		op.extraShare = 0
	}
}

// WithKnownTimes replaces the estimates by the true mean times, which no router
// knows; it gives the limit for comparisons.
func WithKnownTimes(known func(up ident.Upstream) time.Duration) Option {
	return func(op *options) { op.known = known }
}
