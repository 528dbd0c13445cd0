package inner_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/serving/dispatch"
)

// answerBytes is the size of a small answer.
const answerBytes = 200

// instant answers each call at once.
type instant struct{ inner.Service }

// Serve implements inner.Service.
func (instant) Serve(context.Context, *inner.Call) (*dispatch.Answer, error) {
	body := io.NopCloser(strings.NewReader(strings.Repeat("x", answerBytes)))
	return &dispatch.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Length: answerBytes, Body: body}, nil
}

func listen(b *testing.B, server *http.Server) string {
	b.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(ls) }()
	b.Cleanup(func() { _ = server.Close() })
	return ls.Addr().String()
}

// reportCPU adds the processor time of both ends, which share the process.
func reportCPU(b *testing.B, run func()) {
	b.Helper()
	before := processorTime()
	run()
	b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

func processorTime() time.Duration {
	var ru unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// BenchmarkForward is one small call over the inner protocol, both ends.
func BenchmarkForward(b *testing.B) {
	pe := inner.NewPeer(listen(b, inner.NewServer(instant{})))
	defer pe.Close()
	b.ReportAllocs()
	reportCPU(b, func() {
		for b.Loop() {
			forwardOnce(b, pe)
		}
	})
}

// BenchmarkForwardParallel is the same with eight callers at a time.
func BenchmarkForwardParallel(b *testing.B) {
	pe := inner.NewPeer(listen(b, inner.NewServer(instant{})))
	defer pe.Close()
	b.ReportAllocs()
	b.SetParallelism(1)
	reportCPU(b, func() {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				forwardOnce(b, pe)
			}
		})
	})
}

func forwardOnce(b *testing.B, pe *inner.Peer) {
	ca := &inner.Call{
		ID: "request-1", Pool: "lookup@a#0", Service: "lookup", Key: "batch-1", Method: http.MethodGet, Path: "/lookup/batch-1",
		Header: http.Header{"Accept": {"*/*"}, "User-Agent": {"workshop/1.0"}}, Deadline: time.Now().Add(time.Minute),
	}
	an, err := pe.Forward(context.Background(), ca)
	if err != nil {
		b.Error(err)
		return
	}
	if count, err := io.Copy(io.Discard, an.Body); err != nil || count != answerBytes {
		b.Errorf("%d bytes, %v", count, err)
	}
	_ = an.Body.Close()
}

// BenchmarkDirect is the same exchange as a plain HTTP/1.1 call without the
// inner protocol, through the connections of the dispatcher.
func BenchmarkDirect(b *testing.B) {
	answer := strings.Repeat("x", answerBytes)
	address := listen(b, &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, answer)
	})})
	ln := dispatch.New(address)
	defer ln.Close()
	b.ReportAllocs()
	reportCPU(b, func() {
		for b.Loop() {
			rq, err := http.NewRequest(http.MethodGet, "http://lookup/batch-1", nil)
			if err != nil {
				b.Fatal(err)
			}
			an, err := ln.Do(context.Background(), rq)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, an.Body)
			_ = an.Body.Close()
		}
	})
}
