package capacity

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/ownership/grant"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/stand/upstream"
)

// orderSlices is how many slices an order of the probes grants.
const orderSlices = 64

// controlProbes measure what renewals cost on the wire and in the processor.
func controlProbes() []Probe {
	counts := []int{200, 500, 1000, 2000}
	return []Probe{
		{Name: "renewalBytes", Unit: "bytes", Per: "renewal", Role: "pool holder", Sizes: counts, Measure: renewalBytes},
		{Name: "renewalCpu", Unit: "ns", Per: "renewal", Role: "pool holder", Sizes: counts, Measure: renewalCPU},
		{Name: "orderBytes", Unit: "bytes", Per: "slice", Role: "pool holder", Sizes: []int{16, 64, 256, 1024}, Measure: orderBytes, Exact: true},
	}
}

// renewal is an order that moves only the deadline.
func renewal(seq uint64, until clock.Instant) grant.Order {
	return grant.Order{
		Pool: "lookup@domain-1#0", Token: grant.Token{Term: 7, Epoch: 7, Seq: seq}, Until: until, Keep: true,
	}
}

// orderBytes is the size of an order that grants slices.
func orderBytes(size int) (float64, error) {
	od := renewal(1, clock.Instant(time.Hour))
	od.Keep = false
	for sl := range ident.Slice(uint32(size)) {
		od.Slices = append(od.Slices, 100000+sl)
	}
	body, err := control.EncodeOrder(od)
	return float64(len(body)), err
}

func renewalBytes(size int) (float64, error) {
	wi, err := listenWire()
	if err != nil {
		return 0, err
	}
	err = renew(wi, size)
	return wi.total(), err
}

func renewalCPU(size int) (float64, error) {
	wi, err := listenWire()
	if err != nil {
		return 0, err
	}
	return cpuNanos(func() error { return renew(wi, size) })
}

// renew sends renewals to an upstream's stand-in, as the node's shell does.
func renew(wi *wire, size int) error {
	stop := wi.serve(&http.Server{Handler: upstream.New("lookup-1").Handler()})
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	address := "http://" + wi.Addr().String() + control.GrantPath
	first := renewal(1, clock.Instant(time.Hour))
	first.Keep = false
	for sl := range ident.Slice(orderSlices) {
		first.Slices = append(first.Slices, sl)
	}
	for ix := range size {
		od := first
		if ix > 0 {
			od = renewal(uint64(ix+1), clock.Instant(time.Hour))
		}
		if err := post(client, address, od); err != nil {
			return err
		}
	}
	return nil
}

func post(client *http.Client, address string, od grant.Order) error {
	body, err := control.EncodeOrder(od)
	if err != nil {
		return err
	}
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rs, err := client.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }()
	answer, err := io.ReadAll(rs.Body)
	if err != nil {
		return err
	}
	_, err = control.DecodeReply(answer)
	return err
}
