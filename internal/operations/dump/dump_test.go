package dump_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/clock"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/operations/dump"
	"chervilwalk/internal/ownership/grant"
)

func sample() *dump.Snapshot {
	now := clock.Instant(90 * time.Second)
	return &dump.Snapshot{
		Host: "n1", Domain: "north", State: "serving", Clock: now, Started: now.Add(-time.Minute),
		Bundle: dump.Bundle{Version: 7, Key: "alice", OutHosts: []ident.Host{"n2"}, Leaving: []ident.Host{"n2"}, Contradictions: []string{"set --inner"}},
		Term:   dump.Term{Leader: "n1", Number: 4, Leads: true, Until: now.Add(420 * time.Millisecond)},
		Pools: []dump.Pool{{
			Name: "lookup@north#0", Term: 4, Epoch: 2, Until: now.Add(700 * time.Millisecond), Queued: 5, Ownerless: 1,
			Upstreams: []dump.Upstream{
				{Name: "l1", Slots: 2, Limit: 1, InFlight: 1, Queued: 4, Slices: 12, Token: grant.Token{Term: 4, Epoch: 2, Seq: 9}, Until: now.Add(-time.Millisecond), Why: "cold"},
				{Name: "l2", Slots: 2, Why: "not granted"},
			},
		}},
		Routes:   []dump.Route{{Pool: "lookup@north#0", Holder: "n1"}},
		Verdicts: []dump.Verdicts{{Service: "lookup", Verdict: "ran", Count: 31}},
		Peers:    []dump.Peer{{Address: "10.0.0.2:7300", Version: 7, Answered: now.Add(-300 * time.Millisecond)}},
	}
}

func TestSnapshotIsReadBackUnchanged(t *testing.T) {
	gm := NewWithT(t)
	data, err := dump.Encode(sample())
	gm.Expect(err).NotTo(HaveOccurred())
	back, err := dump.Decode(data)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(dump.Text(back)).To(Equal(dump.Text(sample())))
	again, err := dump.Encode(back)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(again).To(Equal(data))
	_, err = dump.Decode(data[:len(data)/2])
	gm.Expect(err).To(HaveOccurred())
}

func TestTextNamesWhatAnOperatorLooksFor(t *testing.T) {
	gm := NewWithT(t)
	text := dump.Text(sample())
	for _, want := range []string{
		"host n1, domain north: serving, running for 1m0s",
		"bundle: version 7, signed with key alice", "hosts out: n2", "settings contradict it: set --inner",
		"leader: this node, term 4, 420ms left",
		"pool lookup@north#0: term 4, epoch 2, lease 700ms left; 5 queued, 1 of them without an owner",
		"4.2.9", "lapsed", "cold", "not granted", "10.0.0.2:7300  bundle 7  300ms ago",
	} {
		gm.Expect(text).To(ContainSubstring(want))
	}
	gm.Expect(dump.Text(&dump.Snapshot{})).To(ContainSubstring("bundle: none in force yet"))
}
