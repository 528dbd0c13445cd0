package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/desired"
	"chervilwalk/internal/operations/eventlog"
	"chervilwalk/internal/serving/httpserver"
	"chervilwalk/internal/serving/proxy"
	"chervilwalk/platform"
)

const namespace = "chervilwalk"

// Metrics holds the metrics of a process. A nil Metrics records nothing.
type Metrics struct {
	registry           *prometheus.Registry
	requests           *prometheus.CounterVec
	durations          *prometheus.HistogramVec
	unanswered         *prometheus.CounterVec
	permitWaits        *prometheus.HistogramVec
	storeCalls         *prometheus.CounterVec
	storeCallDurations prometheus.Histogram
	unsentDatagrams    prometheus.Counter
	desiredVersion     prometheus.Gauge
	crashes            prometheus.Counter
	suspects           prometheus.Gauge
	receivedRows       prometheus.Counter
	answers            *prometheus.CounterVec
	answerBytes        *prometheus.CounterVec
	hotKeys            prometheus.Gauge
	hotKeyRefusals     prometheus.Counter
}

// NewMetrics returns metrics that are all zero, in a registry of their own.
func NewMetrics() *Metrics {
	buckets := []float64{.005, .01, .025, .05, .1, .2, .4, .6, .8, 1.2, 2, 3, 5}
	mt := &Metrics{
		registry:           prometheus.NewRegistry(),
		requests:           prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Callers' requests by service, cause and status."}, []string{"service", "cause", "status"}),
		durations:          prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "request_duration_seconds", Help: "Time from a request's header to its answer.", Buckets: buckets}, []string{"service"}),
		unanswered:         prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_unanswered_total", Help: "Callers' requests that were read and got no whole response, by why their connection ended."}, []string{"cause"}),
		permitWaits:        prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "permit_wait_seconds", Help: "Time that a request waited for a permit.", Buckets: buckets}, []string{"service"}),
		storeCalls:         prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store by call and outcome."}, []string{"call", "outcome"}),
		storeCallDurations: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "store_call_duration_seconds", Help: "Duration of calls to the platform's store, except watches.", Buckets: buckets}),
		unsentDatagrams:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "datagrams_unsent_total", Help: "Datagrams to other hosts that could not be sent."}),
		desiredVersion:     prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "desired_state_version", Help: "Version of the desired state in force; 0 until the first."}),
		crashes:            prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_connections_ended_total", Help: "Connections that upstreams ended while they ran a request."}),
		suspects:           prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "suspect_requests", Help: "Requests known here under which upstreams may have crashed, or that were cleared lately."}),
		receivedRows:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "operator_rows_received_total", Help: "Newer operator rows that another host has sent."}),
		answers:            prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_answers_total", Help: "Answers of upstreams that were passed on, by service and whether the upstream is in the host's failure domain (own) or another."}, []string{"service", "domain"}),
		answerBytes:        prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_bytes_total", Help: "Bytes of the bodies of these requests and answers."}, []string{"service", "domain"}),
		hotKeys:            prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "hot_keys", Help: "Keys whose permits this host issues and that are asked for more than their owner can run."}),
		hotKeyRefusals:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "hot_key_refusals_total", Help: "Requests refused since their key was asked for more than its owner can run."}),
	}
	mt.registry.MustRegister(mt.receivedRows, mt.hotKeys, mt.hotKeyRefusals, mt.answers, mt.answerBytes, mt.crashes, mt.suspects, mt.requests, mt.durations, mt.unanswered, mt.permitWaits, mt.storeCalls, mt.storeCallDurations, mt.unsentDatagrams, mt.desiredVersion)
	return mt
}

func (mt *Metrics) requestEnded(en proxy.End) {
	if mt == nil {
		return
	}
	service := string(en.Service)
	mt.requests.WithLabelValues(service, en.Cause, strconv.Itoa(en.Status)).Inc()
	mt.durations.WithLabelValues(service).Observe(en.Took.Seconds())
	mt.permitWaits.WithLabelValues(service).Observe(en.Waited.Seconds())
}

// answerPassedOn counts an upstream's answer and the bytes of its request and itself.
func (mt *Metrics) answerPassedOn(service ident.Service, own bool, size int64) {
	if mt == nil {
		return
	}
	domain := "other"
	if own {
		domain = "own"
	}
	mt.answers.WithLabelValues(string(service), domain).Inc()
	mt.answerBytes.WithLabelValues(string(service), domain).Add(float64(size))
}

func (mt *Metrics) requestUnanswered(un httpserver.Unanswered) {
	if mt != nil {
		mt.unanswered.WithLabelValues(string(un.Cause)).Inc()
	}
}

func (mt *Metrics) storeCall(call string, took time.Duration, err error) {
	if mt == nil {
		return
	}
	outcome := "answered"
	if err != nil {
		outcome = "unanswered"
	}
	mt.storeCalls.WithLabelValues(call, outcome).Inc()
	if call != "watch" {
		mt.storeCallDurations.Observe(took.Seconds())
	}
}

func (mt *Metrics) upstreamCrashed() {
	if mt != nil {
		mt.crashes.Inc()
	}
}

func (mt *Metrics) rowsReceived() {
	if mt != nil {
		mt.receivedRows.Inc()
	}
}

func (mt *Metrics) setSuspects(count int) {
	if mt != nil {
		mt.suspects.Set(float64(count))
	}
}

func (mt *Metrics) datagramUnsent() {
	if mt != nil {
		mt.unsentDatagrams.Inc()
	}
}

func (mt *Metrics) setDesiredVersion(vs desired.Version) {
	if mt != nil {
		mt.desiredVersion.Set(float64(vs))
	}
}

// metricsHeaderTimeout bounds how long a scraper may take to send its request's
// header.
const metricsHeaderTimeout = 5 * time.Second

// serveMetrics serves the metrics and the dump. If the address cannot be opened,
// the process works without them.
func (gw *Gateway) serveMetrics() {
	if gw.config.Metrics == nil {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(gw.config.Metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc(DumpPath, gw.serveDump)
	gw.metricsServer = &http.Server{Addr: gw.config.Settings.MetricsAddress, Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
	go func() {
		if err := gw.metricsServer.ListenAndServe(); err != nil && err != http.ErrServerClosed {
			gw.config.Log.ErrorEvent("metricsUnavailable", err, eventlog.Fields{"address": gw.config.Settings.MetricsAddress})
		}
	}()
}

// observeRequest logs and counts a finished request.
func (gw *Gateway) observeRequest(en proxy.End) {
	gw.config.Metrics.requestEnded(en)
	fields := eventlog.Fields{
		"request": en.Request, "route": en.Route, "service": en.Service, "status": en.Status, "cause": en.Cause, "upstream": en.Upstream,
		"holder": en.Holder, "attempts": en.Attempts, "waitedMs": en.Waited.Milliseconds(), "tookMs": en.Took.Milliseconds(),
		"version": en.Version, "limitMs": en.TimeLimit.Milliseconds(),
	}
	if en.Epoch > 0 {
		fields["key"], fields["epoch"] = en.Key, en.Epoch
	}
	if en.RetryAfter > 0 {
		fields["retryAfterMs"] = en.RetryAfter.Milliseconds()
	}
	if en.Attempts > 0 && en.RefusedAfter > 0 {
		fields["refusedAfterMs"] = en.RefusedAfter.Milliseconds()
	}
	if ep, known := (*gw.endpoints.Load())[en.Upstream]; known && en.HasSignature {
		own, size := ep.domain == gw.self.Domain, en.RequestBytes+en.AnswerBytes
		gw.config.Metrics.answerPassedOn(en.Service, own, size)
		if !own {
			fields["upstreamDomain"], fields["bytes"] = ep.domain, size
		}
	}
	if en.Fingerprint != 0 && !en.HasSignature {
		fields["fingerprint"] = en.Fingerprint
	}
	if en.Err != nil {
		fields["error"] = en.Err
	}
	gw.config.Log.Event("request", fields)
}

// observeUnanswered logs and counts a request whose caller got no whole response.
func (gw *Gateway) observeUnanswered(un httpserver.Unanswered) {
	gw.config.Metrics.requestUnanswered(un)
	id := un.Request.ID
	if !un.Handled {
		// Otherwise the proxy has read it.
		if info, err := platform.DecodeRequestInfo(un.Request.Header); err == nil {
			id = info.Request
		}
	}
	fields := eventlog.Fields{
		"request": id, "cause": un.Cause, "begun": un.Begun, "handled": un.Handled, "ageMs": time.Since(un.Request.Arrived).Milliseconds(),
		"version": gw.desiredVersion(),
	}
	if un.Err != nil {
		fields["error"] = un.Err
	}
	gw.config.Log.Event("requestUnanswered", fields)
}

// hotKeyChanged counts the hot keys, and the requests that were refused while one was hot.
func (mt *Metrics) hotKeyChanged(count, refused int) {
	if mt != nil {
		mt.hotKeys.Set(float64(count))
		mt.hotKeyRefusals.Add(float64(refused))
	}
}
