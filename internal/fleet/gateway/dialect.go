package gateway

import (
	"context"
	"net/http"
	"time"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/serving/caller"
	"chervilwalk/internal/serving/journey"
	"chervilwalk/platform"
)

// dialect lets requests speak the platform's header fields.
type dialect struct{}

// Terms implements journey.Dialect.
func (dialect) Terms(hd http.Header) (journey.Terms, error) {
	tm, err := platform.DecodeTerms(hd)
	return journey.Terms(tm), err
}

// Address implements journey.Dialect.
func (dialect) Address(hd http.Header, id ident.Upstream, left time.Duration) {
	platform.Address(hd, id, left)
}

// Report implements journey.Dialect.
func (dialect) Report(status int, hd http.Header) journey.Report {
	rp := platform.DecodeReport(status, hd)
	report := journey.Report{Sealed: rp.Sealed, NotRun: rp.NotRun}
	if rp.Load != nil {
		report.Reported, report.Running, report.Waiting, report.Pace = true, rp.Load.Running, rp.Load.Waiting, rp.Load.Pace
	}
	return report
}

// ForCaller implements journey.Dialect.
func (dialect) ForCaller(hd http.Header) {
	for name := range hd {
		if platform.InnerField(name) {
			delete(hd, name)
		}
	}
}

// Own implements journey.Dialect.
func (dialect) Own(hd http.Header, id ident.Request, retryAfter time.Duration) {
	platform.SetRequest(hd, id)
	if retryAfter > 0 {
		platform.SetRetryAfter(hd, retryAfter)
	}
}

func echo(hd http.Header) ident.Request {
	return platform.DecodeReport(http.StatusOK, hd).Request
}

// answerReady tells the platform whether callers may be sent here.
func (gw *Gateway) answerReady(_ context.Context, rq *caller.Request) *caller.Response {
	status := http.StatusServiceUnavailable
	switch {
	case rq.URI != platform.ReadyPath:
		status = http.StatusNotFound
	case gw.isReady.Load() && !gw.stopping.Load():
		status = http.StatusOK
	}
	return &caller.Response{Status: status, Header: http.Header{}}
}
