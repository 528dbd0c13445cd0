package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/serving/proxy"
)

const namespace = "chervilwalk"

// Metrics are a process's counters. A nil Metrics counts nothing.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	waits     *prometheus.HistogramVec
	calls     *prometheus.CounterVec
	callTimes prometheus.Histogram
	lost      prometheus.Counter
	state     prometheus.Gauge
}

// NewMetrics makes the counters of a process, all at zero.
func NewMetrics() *Metrics {
	buckets := []float64{.005, .01, .025, .05, .1, .2, .4, .6, .8, 1.2, 2, 3, 5}
	mt := &Metrics{
		registry:  prometheus.NewRegistry(),
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Callers' requests by service, cause of their end and status."}, []string{"service", "cause", "status"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "request_duration_seconds", Help: "Time from a request's head to its answer.", Buckets: buckets}, []string{"service"}),
		waits:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "permit_wait_seconds", Help: "Time that a request waited for a permit.", Buckets: buckets}, []string{"service"}),
		calls:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store by call and outcome."}, []string{"call", "outcome"}),
		callTimes: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "store_call_duration_seconds", Help: "Time of calls to the platform's store, without watches.", Buckets: buckets}),
		lost:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "datagrams_unsent_total", Help: "Messages to other hosts that could not be sent."}),
		state:     prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "desired_state_version", Help: "Version of the desired state in force; 0 before the first."}),
	}
	mt.registry.MustRegister(mt.requests, mt.durations, mt.waits, mt.calls, mt.callTimes, mt.lost, mt.state)
	return mt
}

func (mt *Metrics) ended(en proxy.End) {
	if mt == nil {
		return
	}
	service := string(en.Service)
	mt.requests.WithLabelValues(service, en.Cause, strconv.Itoa(en.Status)).Inc()
	mt.durations.WithLabelValues(service).Observe(en.Took.Seconds())
	mt.waits.WithLabelValues(service).Observe(en.Waited.Seconds())
}

func (mt *Metrics) storeCall(call string, took time.Duration, err error) {
	if mt == nil {
		return
	}
	outcome := "answered"
	if err != nil {
		outcome = "unanswered"
	}
	mt.calls.WithLabelValues(call, outcome).Inc()
	if call != "watch" {
		mt.callTimes.Observe(took.Seconds())
	}
}

func (mt *Metrics) datagramLost() {
	if mt != nil {
		mt.lost.Inc()
	}
}

func (mt *Metrics) version(vs desired.Version) {
	if mt != nil {
		mt.state.Set(float64(vs))
	}
}

// metricsHeaderTime bounds how long a scraper may take to ask.
const metricsHeaderTime = 5 * time.Second

// serveMetrics serves the counters; without them the process works all the same.
func (gw *Gateway) serveMetrics() {
	if gw.cf.Metrics == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(gw.cf.Metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc(DumpPath, gw.serveDump)
	gw.metrics = &http.Server{Addr: gw.cf.Settings.MetricsAddress, Handler: mux, ReadHeaderTimeout: metricsHeaderTime}
	go func() {
		if err := gw.metrics.ListenAndServe(); err != nil && err != http.ErrServerClosed {
			gw.cf.Journal.Problem("metricsUnavailable", err, eventlog.Fields{"address": gw.cf.Settings.MetricsAddress})
		}
	}()
}

// observe logs and counts the end of a request.
func (gw *Gateway) observe(en proxy.End) {
	gw.cf.Metrics.ended(en)
	fields := eventlog.Fields{
		"request": en.Request, "route": en.Route, "service": en.Service, "status": en.Status, "cause": en.Cause, "upstream": en.Upstream,
		"holder": en.Holder, "attempts": en.Attempts, "waitedMs": en.Waited.Milliseconds(), "tookMs": en.Took.Milliseconds(),
		"version": en.Version, "limitMs": en.Limit.Milliseconds(),
	}
	if en.Epoch > 0 {
		fields["key"], fields["epoch"] = en.Key, en.Epoch
	}
	if en.RetryAfter > 0 {
		fields["retryAfterMs"] = en.RetryAfter.Milliseconds()
	}
	if en.Err != nil {
		fields["error"] = en.Err
	}
	gw.cf.Journal.Event("request", fields)
}
