package inner_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/ownership/exchange"
)

// What the leaders of two domains say crosses the wire whole.
func TestNeighbourCodec(t *testing.T) {
	cases := map[string]exchange.Notice{
		"heartbeat": exchange.Neighbour{
			Kind: exchange.NeighbourBeat, From: "d1", Leader: "h1", To: "d2", Term: 3, Reading: 4, Row: 5, EchoTerm: 6, Echo: 7, Flag: true,
		},
		"release": exchange.Neighbour{
			Kind: exchange.NeighbourRelease, From: "d1", Leader: "h1", To: "d2", About: "d3", Term: 3, Until: 8,
		},
		"want of a place": exchange.WantPlace{Service: "lookup", Known: 9},
	}
	for name, notice := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			decoded, ok := inner.DecodeNotice(inner.EncodeNotice("h1", notice))
			gm.Expect(ok).To(BeTrue())
			gm.Expect(decoded).To(Equal(notice))
		})
	}
}
