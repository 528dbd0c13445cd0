package protocol_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/peer/protocol"
)

// TestValuesOutOfRange guards against a datagram whose numbers overflow at the host that
// reads it: ranks and counts, and terms, revisions and epochs that no other can follow.
func TestValuesOutOfRange(t *testing.T) {
	load := func(ul protocol.UpstreamLoad) protocol.Msg {
		return protocol.Status{Upstreams: []protocol.UpstreamLoad{ul}}
	}
	for name, msg := range map[string]protocol.Msg{
		"negative answers":        load(protocol.UpstreamLoad{Answers: -4}),
		"answers without end":     load(protocol.UpstreamLoad{Answers: math.MaxInt}),
		"negative failures":       load(protocol.UpstreamLoad{Answers: 5, Failures: -4}),
		"negative key count":      protocol.Status{Keys: []protocol.KeyLoad{{Count: -1}}},
		"fitness that overflows":  protocol.Status{Member: assignment.Member{Fitness: 1 << 62}},
		"highest term of status":  protocol.Status{Term: math.MaxUint64},
		"highest term":            protocol.Heartbeat{Term: math.MaxUint64},
		"highest revision":        protocol.Heartbeat{Revision: math.MaxUint64},
		"last term of an era":     protocol.Heartbeat{Term: math.MaxUint32},
		"highest epoch":           protocol.AssignmentDelta{Delta: assignment.Delta{LastEpoch: math.MaxUint64}},
		"highest epoch of claim":  protocol.AssignmentDelta{Delta: assignment.Delta{Added: []assignment.Share{{Owner: assignment.Claim{Epoch: math.MaxUint64}}}}},
		"reversed range":          protocol.AssignmentDelta{Delta: assignment.Delta{Added: []assignment.Share{{Range: keyspace.Range{From: 9, To: 8}}}}},
		"negative part":           protocol.Assignment{Part: -1, Parts: 2},
		"parts without end":       protocol.Report{Part: 0, Parts: 1 << 31},
		"negative pool":           protocol.Ask{Pool: -1, Pools: 2},
		"pools without end":       protocol.Ask{Pools: 1 << 31},
		"return after weeks":      protocol.Refusal{Ticket: 1, RetryAfter: 1000 * time.Hour},
		"highest epoch of permit": protocol.Permit{Epoch: math.MaxUint64},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := protocol.Decode(protocol.Encode(msg))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// TestWorkTimeOfAnswers guards against a mean of 0, of which the leader takes the logarithm.
func TestWorkTimeOfAnswers(t *testing.T) {
	gm := NewWithT(t)
	msg, err := protocol.Decode(protocol.Encode(protocol.Status{Upstreams: []protocol.UpstreamLoad{{Answers: 3}, {Failures: 2}}}))
	gm.Expect(err).NotTo(HaveOccurred())
	loads := msg.(protocol.Status).Upstreams
	gm.Expect(loads[0].WorkTime / 3).To(BeNumerically(">", 0))
	gm.Expect(loads[1].WorkTime).To(BeZero())
}

// TestLongDurations guards against durations that overflow and are negative at the host that
// reads them.
func TestLongDurations(t *testing.T) {
	// The number of microseconds is the last field of a pause.
	datagram := protocol.Encode(protocol.Pause{Host: "a", Upstream: "u"})
	for name, micros := range map[string][]byte{
		"highest number":    {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01},
		"highest signed":    {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
		"overflow in nanos": {0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x40},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			msg, err := protocol.Decode(append(datagram[:len(datagram)-1:len(datagram)-1], micros...))
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(msg.(protocol.Pause).Left).To(Equal(365 * 24 * time.Hour))
		})
	}
}

// TestKeysOutOfRange guards against a key that is cut off to that of another share.
func TestKeysOutOfRange(t *testing.T) {
	datagram := protocol.Encode(protocol.Status{Keys: []protocol.KeyLoad{{Key: keyspace.Last, Count: 1}}})
	// The key, 0xffff, takes three bytes; 0x1ffff is the same with another last one. A byte
	// each follows for the count, the upstreams, the operator rows and Uncertain.
	ix := len(datagram) - 5
	NewWithT(t).Expect(datagram[ix]).To(BeEquivalentTo(0x03))
	datagram[ix] = 0x07
	_, err := protocol.Decode(datagram)
	NewWithT(t).Expect(err).To(HaveOccurred())
}

// TestDoneOfOddUpstream guards against a permit that stays taken, and numbers that overflow,
// because of what the upstream has said.
func TestDoneOfOddUpstream(t *testing.T) {
	gm := NewWithT(t)
	msg, err := protocol.Decode(protocol.Encode(protocol.Done{Ticket: 3, Running: -1, Waiting: math.MinInt, LatencyPercent: math.MaxInt}))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(msg).To(Equal(protocol.Done{Ticket: 3, LatencyPercent: 1 << 24}))
}
