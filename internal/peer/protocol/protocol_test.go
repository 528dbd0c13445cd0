package protocol_test

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/peer/protocol"
)

// messages returns one message of each type, with nearly all fields set.
func messages() map[string]protocol.Msg {
	heartbeat := protocol.Heartbeat{Term: 3, Leader: "a", Revision: 9, StoreAge: 20 * time.Millisecond, RowVersion: 7, Echo: 1 << 40, Freshness: protocol.Freshness{RosterVersion: 5, RosterAge: time.Second, OperatorVersion: 4}}
	alone := heartbeat
	alone.SendsOperatorRows = true
	asker := protocol.Process{Host: "a", Incarnation: 1 << 60}
	return map[string]protocol.Msg{
		"status": protocol.Status{
			Member: assignment.Member{Host: "a", Domain: "d", Address: "10.0.0.1:7540", Incarnation: 1 << 60, Fitness: 80, Alive: true}, Term: 3, Revision: 9, Stopping: true, RosterVersion: 5, RosterDigest: 1 << 63, SentAt: 1 << 40,
			Keys: []protocol.KeyLoad{{Service: "lookup", Key: 65535, Count: 3}},
			Upstreams: []protocol.UpstreamLoad{
				{Upstream: "u", Answers: 2, WorkTime: 300 * time.Millisecond, Failures: 1, LatencyPercent: 140, UnreachedFor: time.Second, Superseded: true},
				{Upstream: "v", Answers: 1, WorkTime: 100 * time.Millisecond, LatencyPercent: 60},
			},
			OperatorRows: 1<<40 + 6, Uncertain: true,
		},
		"heartbeat":           alone,
		"uncertainHeartbeat":  protocol.Heartbeat{Term: 1 << 33, Leader: "a", Revision: 9, RowVersion: 1 << 44, SendsOperatorRows: true, Uncertain: true},
		"recoveringHeartbeat": protocol.Heartbeat{Term: 1 << 33, Leader: "a", Revision: 9, RowVersion: 1 << 44, SendsOperatorRows: true, Recovering: true},
		"packedRoster":        protocol.PackedRoster{Term: 3, Version: 5, GraceLeft: time.Second, Part: 1, Parts: 2, Body: "{}"},
		"operatorRows":        protocol.OperatorRows{Version: 1<<44 + 6, Part: 1, Parts: 2, Body: "{}"},
		"leaving":             protocol.Leaving{Upstream: "u", Incarnation: 9},
		"pause":               protocol.Pause{Host: "a", Upstream: "u", Left: 3 * time.Second},
		"limits": protocol.Limits{Limits: []protocol.UpstreamLimit{
			{Upstream: "u", Incarnation: 7, Limit: rate.At(2.75), Age: 40 * time.Millisecond}, {Upstream: "v", Incarnation: 8},
		}},
		"report": protocol.Report{Host: "a", Revision: 1<<32 + 9, Part: 1, Parts: 2, Body: "{}"},
		"assignmentDelta": protocol.AssignmentDelta{Heartbeat: heartbeat, Delta: assignment.Delta{
			Base: 8, Revision: 9, LastEpoch: 40, Members: []assignment.Member{{Host: "a", Domain: "d", Address: "10.0.0.1:7540", Incarnation: 7, Alive: true}},
			Dropped: []assignment.ShareStart{{Service: "lookup", From: 16}},
			Added: []assignment.Share{{
				Service: "lookup", Range: keyspace.Range{From: 16, To: 99}, Owner: assignment.Claim{Upstream: "u", Incarnation: 5, Epoch: 12},
				Next: assignment.Claim{Upstream: "v", Incarnation: 6, Epoch: 16}, Fence: 13,
			}},
		}},
		"memberDelta": protocol.AssignmentDelta{Heartbeat: heartbeat, Delta: assignment.Delta{
			Base: 8, Revision: 9, LastEpoch: 40, Changed: []assignment.Member{{Host: "a", Domain: "d", Address: "10.0.0.1:7540", Incarnation: 7, Alive: true}}, Left: []ident.Host{"b"},
			Dropped: []assignment.ShareStart{}, Added: []assignment.Share{},
		}},
		"rosterDelta": protocol.RosterDelta{Term: 3, Version: 5, GraceLeft: time.Second, Delta: roster.Delta{
			Base: 1 << 63, Gone: []ident.Upstream{"w"}, Entries: []roster.Entry{{ID: "u", Service: "lookup", Address: "10.0.0.9:80", Domain: "d", Slots: 2, Incarnation: 99}},
		}},
		"assignment": protocol.Assignment{Heartbeat: heartbeat, Part: 1, Parts: 2, Body: "{}"},
		"ask":        protocol.Ask{Host: "a", Incarnation: 4, Ticket: 9, Request: "r", Service: "lookup", Domain: "d", Key: 7, Keyed: true, Pool: 1, Pools: 2, Fallback: true, Large: true, Repeatable: true, Priority: 2, ObjectiveLeft: 0, TimeLeft: time.Second, Avoid: "u", Fingerprint: 1 << 63, SizeClass: 3},
		"suspects": protocol.Suspects{Suspects: []protocol.Suspect{
			{Fingerprint: 1 << 63, Crashes: []protocol.Crash{{Upstream: "u", Incarnation: 7, Run: 1<<32 - 1, Age: time.Second}, {Upstream: "v", Incarnation: 8}}},
			{Fingerprint: 3, Crashes: []protocol.Crash{}, Answered: true, AnsweredAge: time.Minute},
		}},
		"permit":  protocol.Permit{Ticket: 9, Upstream: "u", Epoch: 12, Watched: true, Asker: asker},
		"refusal": protocol.Refusal{Ticket: 9, RetryAfter: time.Second, Reason: "noRoomInTime", Asker: asker},
		"queued":  protocol.Queued{Ticket: 9, Asker: asker},
		"done":    protocol.Done{Host: "a", Incarnation: 4, Ticket: 9, Service: "lookup", Upstream: "u", Outcome: 3, Took: time.Millisecond, Reported: true, Running: 1, Waiting: 2, LatencyPercent: 140},
		"doneAck": protocol.DoneAck{Ticket: 9, Asker: asker},
		"roster":  protocol.Roster{Term: 3, Version: 5, GraceLeft: time.Second, Part: 0, Parts: 1, Entries: []roster.Entry{{ID: "u", Service: "lookup", Address: "10.0.0.9:80", Domain: "d", Slots: 2, Draining: true, ColdLeft: time.Second, Sequence: 8, Incarnation: 99}}},
	}
}

// endings holds what a message is without its last fields, once for each field at which some
// earlier build ends the message.
func endings() map[string][]protocol.Msg {
	noSize := messages()["ask"].(protocol.Ask)
	noSize.SizeClass = 0
	noFingerprint := noSize
	noFingerprint.Fingerprint = 0
	pm := messages()["permit"].(protocol.Permit)
	pm.Asker = protocol.Process{}
	unwatched := pm
	unwatched.Watched = false
	rf := messages()["refusal"].(protocol.Refusal)
	rf.Asker = protocol.Process{}
	st := messages()["status"].(protocol.Status)
	st.Uncertain = false
	certain := st
	certain.Upstreams = slices.Clone(st.Upstreams)
	for ix := range st.Upstreams {
		st.Upstreams[ix].LatencyPercent = 0
	}
	noPercents := st
	st.OperatorRows = 0
	hb, recovering, uncertain := messages()["heartbeat"].(protocol.Heartbeat), messages()["recoveringHeartbeat"].(protocol.Heartbeat), messages()["uncertainHeartbeat"].(protocol.Heartbeat)
	hb.SendsOperatorRows, recovering.SendsOperatorRows, uncertain.SendsOperatorRows = false, false, false
	return map[string][]protocol.Msg{
		"status": {st, noPercents, certain}, "heartbeat": {hb}, "recoveringHeartbeat": {recovering}, "uncertainHeartbeat": {uncertain},
		"ask": {noFingerprint, noSize}, "permit": {unwatched, pm}, "refusal": {rf}, "queued": {protocol.Queued{Ticket: 9}}, "doneAck": {protocol.DoneAck{Ticket: 9}},
	}
}

// TestMessagesRoundTrip checks that each message decodes to what was encoded and
// that each truncated datagram is an error, unless it is what an earlier build sends.
func TestMessagesRoundTrip(t *testing.T) {
	for name, msg := range messages() {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			datagram := protocol.Encode(msg)
			decoded, err := protocol.Decode(datagram)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(decoded).To(Equal(msg))
			earlier, ended := 0, endings()[name]
			for cut := range datagram {
				decoded, err := protocol.Decode(datagram[:cut])
				if err == nil && earlier < len(ended) && reflect.DeepEqual(decoded, ended[earlier]) {
					earlier++
					continue
				}
				gm.Expect(err).To(HaveOccurred(), "truncated to %d bytes", cut)
			}
			gm.Expect(earlier).To(Equal(len(ended)), "one length is that of each earlier build")
		})
	}
}

// FuzzDecode checks that a datagram that decodes can be encoded and decoded again
// as a message of the same type.
func FuzzDecode(f *testing.F) {
	for _, msg := range messages() {
		f.Add(protocol.Encode(msg))
	}
	f.Add(protocol.Encode(protocol.Heartbeat{Term: math.MaxUint64}))
	f.Add(protocol.Encode(protocol.Status{Upstreams: []protocol.UpstreamLoad{{Answers: -1}}}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		msg, err := protocol.Decode(datagram)
		if err != nil {
			return
		}
		again, err := protocol.Decode(protocol.Encode(msg))
		if err != nil || reflect.TypeOf(again) != reflect.TypeOf(msg) {
			t.Fatalf("%#v decoded again as %#v: %v", msg, again, err)
		}
	})
}

// TestMalformedLatency guards against a processing time by which a leader would take an
// upstream for one that answers nothing.
func TestMalformedLatency(t *testing.T) {
	for name, percent := range map[string]int{"negative": -1, "too high": protocol.MaxLatencyPercent + 1} {
		t.Run(name, func(t *testing.T) {
			_, err := protocol.Decode(protocol.Encode(protocol.Status{Upstreams: []protocol.UpstreamLoad{{Upstream: "u", LatencyPercent: percent}}}))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// TestMalformedLimits guards against a rate that no bucket can be filled by.
func TestMalformedLimits(t *testing.T) {
	for name, number := range map[string]float64{"negative": -1, "not a number": math.NaN(), "infinite": math.Inf(1)} {
		t.Run(name, func(t *testing.T) {
			datagram := protocol.Encode(protocol.Limits{Limits: []protocol.UpstreamLimit{{Upstream: "u", Limit: rate.At(rate.PerSecond(number))}}})
			_, err := protocol.Decode(datagram)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
