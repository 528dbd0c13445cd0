package inner_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/ownership/exchange"
)

// listener is a node that only hears notices.
type listener struct {
	inner.Service
	heard chan exchange.Notice
}

func (ls listener) Hear(_ ident.Host, notice exchange.Notice) { ls.heard <- notice }

// hearOn serves a listener at an address until stop, which waits for a planned
// stop to end.
func hearOn(t *testing.T, address string) (at string, heard chan exchange.Notice, stop func()) {
	t.Helper()
	ls, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	heard = make(chan exchange.Notice, 64)
	server := inner.NewServer(listener{heard: heard})
	go func() { _ = server.Serve(ls) }()
	return ls.Addr().String(), heard, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			t.Errorf("an open conversation held up a planned stop: %v", err)
		}
	}
}

// A conversation outlives the restart of its peer, and holds up no planned
// stop.
func TestConversationSurvivesItsPeersRestart(t *testing.T) {
	gm := NewWithT(t)
	address, heard, stop := hearOn(t, "127.0.0.1:0")
	pe := inner.NewPeer(address)
	defer pe.Close()
	gm.Expect(pe.Tell("n1", exchange.Ask{Term: 1})).To(Succeed())
	gm.Eventually(heard, "5s").Should(Receive(Equal(exchange.Ask{Term: 1})))
	stop()

	_, heard, stop = hearOn(t, address)
	defer stop()
	gm.Eventually(func() bool {
		_ = pe.Tell("n1", exchange.Ask{Term: 2})
		select {
		case notice := <-heard:
			return notice == exchange.Ask{Term: 2}
		case <-time.After(20 * time.Millisecond):
			return false
		}
	}, "10s").Should(BeTrue())
}

// A peer that does not answer costs the sender neither time nor memory beyond
// the queue.
func TestFullConversationDropsNotices(t *testing.T) {
	gm := NewWithT(t)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ls.Close() }()
	pe := inner.NewPeer(ls.Addr().String())
	defer pe.Close()
	var dropped error
	for range 10000 {
		if dropped = pe.Tell("n1", exchange.Seek{}); dropped != nil {
			break
		}
	}
	gm.Expect(dropped).To(MatchError(inner.ErrBusy))
}
