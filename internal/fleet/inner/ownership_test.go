package inner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"chervilwalk/internal/fleet/inner"
	"chervilwalk/internal/fleet/inner/innerpb"
	"chervilwalk/internal/ownership/exchange"
	"chervilwalk/internal/platform/table"
)

// notices has every field of every notice of ownership set.
func notices() map[string]exchange.Notice {
	claim := exchange.Claim{Pool: "p", Term: 1, Epoch: 2}
	offer := exchange.Offer{Domain: "d", Leader: "h", Term: 3, Number: 4}
	holding := exchange.Holding{Pool: "p", Holder: "h"}
	writes := []table.Write{{Key: "k", Base: 5, Value: []byte("v")}}
	result := table.Result{Outcome: table.Conflict, Rows: []table.Row{{Key: "k", Version: 6, Value: []byte("w")}}}
	return map[string]exchange.Notice{
		"beat": exchange.Beat{
			Incarnation: 1, Reading: 2, Echo: 3, Term: 4, Promise: true, Assignment: 5, Routes: 6,
			Held: []exchange.Claim{claim}, Refused: []exchange.Claim{claim}, Leaving: true,
		},
		"lease": exchange.Lease{
			Term: 1, Counter: 2, Witnessed: true, Incarnation: 3, Reading: 4, Heard: 5, Until: 6, Assignment: 7, Changed: true,
			Pools:       []exchange.Assigned{{Pool: "p", Term: 1, Epoch: 2, Quiet: time.Second}},
			RouteNumber: 8, Routes: []exchange.Holding{holding},
		},
		"ask":        exchange.Ask{Round: 1, Term: 2, Table: true},
		"vote":       exchange.Vote{Round: 1, Granted: true, Term: 2},
		"lead":       exchange.Lead{Leader: "h", Term: 1},
		"seek":       exchange.Seek{},
		"carry":      exchange.Carry{Tag: "t", Number: 1, Key: "k", Writes: writes},
		"carried":    exchange.Carried{Tag: "t", Number: 1, Result: result},
		"copy":       exchange.Copy{Pool: "p", Number: 1, Value: []byte("v")},
		"copied":     exchange.Copied{Pool: "p", Number: 1},
		"recall":     exchange.Recall{Pool: "p"},
		"recalled":   exchange.Recalled{Pool: "p", Value: []byte("v")},
		"offer":      offer,
		"want":       exchange.Want{},
		"told":       exchange.Told{Offer: offer, Routes: []exchange.Holding{holding}},
		"place":      exchange.Place{Service: "s", Version: 1, Value: []byte("v")},
		"want place": exchange.WantPlace{Service: "s"},
	}
}

// Every notice comes off the wire as it was sent.
func TestNoticesSurviveTheWire(t *testing.T) {
	for name, notice := range notices() {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			data, err := proto.Marshal(inner.EncodeNotice("from", notice))
			gm.Expect(err).NotTo(HaveOccurred())
			var en innerpb.Envelope
			gm.Expect(proto.Unmarshal(data, &en)).To(Succeed())
			read, ok := inner.DecodeNotice(&en)
			gm.Expect(ok).To(BeTrue())
			gm.Expect(read).To(Equal(notice))
			gm.Expect(en.GetFrom()).To(Equal("from"))
		})
	}
}
