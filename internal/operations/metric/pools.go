package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"chervilwalk/internal/operations/dump"
)

// Pools reads the pools that a node holds whenever it is scraped. The pools of
// one service and domain are added up.
type Pools struct {
	read     func() []dump.Pool
	held     *prometheus.Desc
	queued   *prometheus.Desc
	inFlight *prometheus.Desc
	limited  *prometheus.Desc
}

// NewPools makes the collector.
func NewPools(read func() []dump.Pool) *Pools {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(namespace+"_"+name, help, []string{"service", "domain"}, nil)
	}
	return &Pools{
		read:     read,
		held:     desc("pools_held", "Pools that this node holds."),
		queued:   desc("queued_requests", "Requests that wait at this node for a slot."),
		inFlight: desc("in_flight_requests", "Requests that this node has at upstreams."),
		limited:  desc("limited_upstreams", "Upstreams of held pools that get less than their slots."),
	}
}

// Describe implements prometheus.Collector.
func (ps *Pools) Describe(out chan<- *prometheus.Desc) {
	for _, dc := range []*prometheus.Desc{ps.held, ps.queued, ps.inFlight, ps.limited} {
		out <- dc
	}
}

// poolLabels are the label values of a sum.
type poolLabels struct{ service, domain string }

type poolSums struct{ held, queued, inFlight, limited float64 }

// Collect implements prometheus.Collector.
func (ps *Pools) Collect(out chan<- prometheus.Metric) {
	sums := map[poolLabels]*poolSums{}
	for _, pl := range ps.read() {
		id := poolLabels{service: string(pl.Name.Service()), domain: string(pl.Name.Domain())}
		if sums[id] == nil {
			sums[id] = &poolSums{}
		}
		sums[id].add(&pl)
	}
	for id, sm := range sums {
		gauge := func(dc *prometheus.Desc, value float64) {
			out <- prometheus.MustNewConstMetric(dc, prometheus.GaugeValue, value, id.service, id.domain)
		}
		gauge(ps.held, sm.held)
		gauge(ps.queued, sm.queued)
		gauge(ps.inFlight, sm.inFlight)
		gauge(ps.limited, sm.limited)
	}
}

func (sm *poolSums) add(pl *dump.Pool) {
	sm.held++
	sm.queued += float64(pl.Queued)
	for _, up := range pl.Upstreams {
		sm.inFlight += float64(up.InFlight)
		if up.Limit < up.Slots {
			sm.limited++
		}
	}
}
