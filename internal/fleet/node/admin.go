package node

import (
	"fmt"
	"net/http"
	"time"

	"chervilwalk/internal/operations/dump"
	"chervilwalk/internal/operations/metric"
)

// Paths of the operators' address.
const (
	// DumpPath gives the node's state as JSON; as text with ?format=text.
	DumpPath = "/dump"
	// MetricsPath gives the counters in the Prometheus format.
	MetricsPath = "/metrics"
	// HealthPath gives what the balancer is told.
	HealthPath = "/healthz"
)

// adminTimeout bounds the reading of an operator's request.
const adminTimeout = 5 * time.Second

// newAdmin makes the server of the operators' address.
func newAdmin(nd *Node) *http.Server {
	nd.metrics.Register(metric.NewPools(func() []dump.Pool { return nd.Snapshot().Pools }))
	mx := http.NewServeMux()
	mx.Handle("GET "+MetricsPath, nd.metrics.Handler())
	mx.HandleFunc("GET "+DumpPath, nd.serveDump)
	mx.HandleFunc("GET "+HealthPath, nd.serveHealth)
	return &http.Server{Handler: mx, ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout}
}

func (nd *Node) serveDump(rw http.ResponseWriter, rq *http.Request) {
	sn := nd.Snapshot()
	if rq.URL.Query().Get("format") == "text" {
		rw.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = fmt.Fprint(rw, dump.Text(sn))
		return
	}
	data, err := dump.Encode(sn)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(append(data, '\n'))
}

func (nd *Node) serveHealth(rw http.ResponseWriter, _ *http.Request) {
	healthy, state := nd.Health()
	if !healthy {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = fmt.Fprintln(rw, state)
}
