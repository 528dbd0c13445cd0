// Package metric counts what a node does, for scraping in the Prometheus
// format. Labels are bounded by the bundle: a service, a verdict, a domain;
// never a key or a request id.
//
//	mt := metric.New()
//	mt.Request("lookup", verdict.Ran, 4*time.Millisecond)
//	http.Handle("/metrics", mt.Handler())
package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/verdict"
)

// namespace begins every name.
const namespace = "chervilwalk"

// durationBuckets are upper bounds in seconds around the 16 ms that callers
// are promised.
var durationBuckets = []float64{.001, .002, .004, .008, .016, .032, .064, .125, .25, .5, 1, 2, 5, 10, 30, 60}

// Metrics are the counters of one node. Its methods may be called from many
// goroutines.
type Metrics struct {
	registry *prometheus.Registry
	// ends holds the requests alone, so that reading them for a dump runs no
	// other collector.
	ends      *prometheus.Registry
	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	version   prometheus.Gauge
	refusals  *prometheus.CounterVec
	restores  prometheus.Counter
	notices   *prometheus.CounterVec
	calls     *prometheus.CounterVec
	answered  *prometheus.GaugeVec
}

// New makes the counters of a node, all at zero.
func New() *Metrics {
	mt := &Metrics{
		registry:  prometheus.NewRegistry(),
		ends:      prometheus.NewRegistry(),
		requests:  counters("requests_total", "Callers' requests by the verdict of their end.", "service", "verdict"),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "request_duration_seconds", Help: "Time from a caller's request to the head of its answer.", Buckets: durationBuckets}, []string{"service"}),
		version:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "bundle_version", Help: "Version of the bundle in force; 0 before the first."}),
		refusals:  counters("bundle_refusals_total", "Bundles that were not followed, by reason.", "reason"),
		restores:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "bundle_restores_total", Help: "Times that this node wrote its bundle back to a platform that showed an older one."}),
		notices:   counters("peer_notices_total", "Notices of bundle and census between nodes.", "direction"),
		calls:     counters("platform_calls_total", "Calls to the platform by kind and outcome.", "call", "outcome"),
		answered:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "platform_answered_timestamp_seconds", Help: "When the platform last answered a call of a kind."}, []string{"call"}),
	}
	mt.registry.MustRegister(mt.requests, mt.durations, mt.version, mt.refusals, mt.restores, mt.notices, mt.calls, mt.answered,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mt.ends.MustRegister(mt.requests)
	return mt
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Handler serves the counters to a scraper.
func (mt *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(mt.registry, promhttp.HandlerOpts{})
}

// Register adds a collector.
func (mt *Metrics) Register(cl prometheus.Collector) {
	mt.registry.MustRegister(cl)
}

// Request counts a caller's request and the time to the head of its answer.
func (mt *Metrics) Request(sv ident.Service, vd verdict.Verdict, took time.Duration) {
	mt.requests.WithLabelValues(string(sv), vd.String()).Inc()
	mt.durations.WithLabelValues(string(sv)).Observe(took.Seconds())
}

// InForce notes the version in force.
func (mt *Metrics) InForce(version uint64) { mt.version.Set(float64(version)) }

// Refusal counts a bundle that was not followed.
func (mt *Metrics) Refusal(reason string) { mt.refusals.WithLabelValues(reason).Inc() }

// Restore counts a row that was written back.
func (mt *Metrics) Restore() { mt.restores.Inc() }

// Notice counts a notice; direction is "sent" or "received".
func (mt *Metrics) Notice(direction string) { mt.notices.WithLabelValues(direction).Inc() }

// PlatformCall counts a call to the platform; nil means that it answered.
func (mt *Metrics) PlatformCall(call string, err error) {
	if err != nil {
		mt.calls.WithLabelValues(call, "failed").Inc()
		return
	}
	mt.calls.WithLabelValues(call, "answered").Inc()
	mt.answered.WithLabelValues(call).SetToCurrentTime()
}

// Verdicts is how many requests of a service ended with a verdict.
type Verdicts struct {
	Service ident.Service
	Verdict string
	Count   uint64
}

// Verdicts lists the counts of requests, for the dump.
func (mt *Metrics) Verdicts() []Verdicts {
	families, err := mt.ends.Gather()
	if err != nil {
		return nil
	}
	var list []Verdicts
	for _, fm := range families {
		for _, sample := range fm.GetMetric() {
			vd := Verdicts{Count: uint64(sample.GetCounter().GetValue())}
			for _, label := range sample.GetLabel() {
				switch label.GetName() {
				case "service":
					vd.Service = ident.Service(label.GetValue())
				case "verdict":
					vd.Verdict = label.GetValue()
				}
			}
			list = append(list, vd)
		}
	}
	return list
}
