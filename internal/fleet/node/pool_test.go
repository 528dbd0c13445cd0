package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/ownership/authority"
	"chervilwalk/internal/platform/control"
	"chervilwalk/internal/serving/verdict"
)

// holding is an upstream that answers nothing and confirms no cancellation
// until it is let go.
type holding struct {
	mu        sync.Mutex
	asked     []string
	cancelled []string
	letGo     chan struct{}
}

func (ho *holding) ServeHTTP(_ http.ResponseWriter, rq *http.Request) {
	ho.mu.Lock()
	if rq.URL.Path == control.CancelPath {
		ho.cancelled = append(ho.cancelled, rq.URL.Query().Get("id"))
	} else {
		ho.asked = append(ho.asked, rq.Header.Get(control.RequestHeader))
	}
	ho.mu.Unlock()
	<-ho.letGo
}

func (ho *holding) seen() (asked, cancelled []string) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return append([]string(nil), ho.asked...), append([]string(nil), ho.cancelled...)
}

// startPool runs the task of a pool with one upstream of one slot.
func startPool(t *testing.T, ho *holding) *poolTask {
	server := httptest.NewServer(ho)
	nd := &Node{clock: clock.Boot{}, pools: map[ident.Pool]*poolTask{}}
	nd.bundles = newBundleTask(nd)
	pl := bundle.Pool{Name: "s@a#0", Service: &bundle.Service{Name: "s"}, Upstreams: []bundle.Upstream{
		{Name: "u", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1, ColdLimit: 1},
	}}
	pt := newPoolTask(nd, pl)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = pt.run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		server.Close()
	})
	pt.show(authority.View{Pool: pl.Name, Until: clock.Never, Grants: map[ident.Upstream]authority.Grant{"u": {Until: clock.Never}}})
	return pt
}

func call(id string) *inner.Call {
	return &inner.Call{ID: ident.Request(id), Method: http.MethodPost, Path: "/s/x", Deadline: time.Now().Add(time.Minute)}
}

// A caller that goes leaves its upstream's slot taken until the upstream has
// confirmed the cancellation; only then is the next request sent.
func TestSlotOfAGoneCallerIsKeptUntilTheUpstreamConfirms(t *testing.T) {
	gm := NewWithT(t)
	ho := &holding{letGo: make(chan struct{})}
	pt := startPool(t, ho)
	ctx, leave := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { _, err := pt.serve(ctx, call("first")); first <- err }()
	gm.Eventually(func() []string { asked, _ := ho.seen(); return asked }).Should(Equal([]string{"first"}))
	second := make(chan error, 1)
	go func() { _, err := pt.serve(context.Background(), call("second")); second <- err }()
	leave()
	gm.Expect(verdict.Of(<-first)).To(Equal(verdict.MayHaveRun))
	gm.Eventually(func() []string { _, cancelled := ho.seen(); return cancelled }).Should(ContainElement("first"))
	asked, _ := ho.seen()
	gm.Expect(asked).To(Equal([]string{"first"}))
	close(ho.letGo)
	gm.Expect(<-second).NotTo(HaveOccurred())
	asked, _ = ho.seen()
	gm.Expect(asked).To(Equal([]string{"first", "second"}))
}

// A pool that ends refuses what it had not sent as not run, and says of the
// rest that it may have run.
func TestEndedPoolTellsSentFromQueued(t *testing.T) {
	gm := NewWithT(t)
	ho := &holding{letGo: make(chan struct{})}
	pt := startPool(t, ho)
	defer close(ho.letGo)
	results := map[string]chan error{"first": make(chan error, 1), "second": make(chan error, 1)}
	serve := func(id string) { _, err := pt.serve(context.Background(), call(id)); results[id] <- err }
	go serve("first")
	gm.Eventually(func() []string { asked, _ := ho.seen(); return asked }).Should(Equal([]string{"first"}))
	go serve("second")
	pt.close()
	gm.Expect(verdict.Of(<-results["second"])).To(Equal(verdict.NotRun))
	gm.Consistently(results["first"], 50*time.Millisecond).ShouldNot(Receive())
}
