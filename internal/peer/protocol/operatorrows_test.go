package protocol_test

import (
	"bytes"
	"compress/flate"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/era"
	"chervilwalk/internal/peer/protocol"
)

func goodRowSet() protocol.RowSet {
	return protocol.RowSet{
		Table: "op", Version: era.Position[uint64](1, 9),
		Rows:     []protocol.OperatorRow{{Key: "config", Value: `{"version":"r4"}`, Version: era.Position[uint64](1, 7)}, {Key: "evacuate/a", Version: era.Position[uint64](1, 9)}},
		Suspects: []protocol.Suspect{{Fingerprint: 3, Crashes: []protocol.Crash{{Upstream: "u", Incarnation: 7, Run: 1}}}},
	}
}

// TestMalformedRowSets guards against rows of another host that the store cannot have said, and
// against rows that count as deleted because another one is malformed.
func TestMalformedRowSets(t *testing.T) {
	gm := NewWithT(t)
	decoded, err := protocol.DecodeRowSet(protocol.EncodeRowSet(goodRowSet()))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(decoded).To(Equal(goodRowSet()))
	cases := map[string]func(rs *protocol.RowSet){
		"no version":               func(rs *protocol.RowSet) { rs.Version = 0 },
		"an era alone":             func(rs *protocol.RowSet) { rs.Version = era.Position[uint64](2, 0) },
		"a row without a version":  func(rs *protocol.RowSet) { rs.Rows[0].Version = 0 },
		"a row of another era":     func(rs *protocol.RowSet) { rs.Rows[0].Version = 7 },
		"a row without a key":      func(rs *protocol.RowSet) { rs.Rows[0].Key = "" },
		"a key of 201 bytes":       func(rs *protocol.RowSet) { rs.Rows[0].Key = strings.Repeat("k", 201) },
		"a row twice":              func(rs *protocol.RowSet) { rs.Rows[1].Key = rs.Rows[0].Key },
		"more than a host can use": func(rs *protocol.RowSet) { rs.Rows[0].Value = strings.Repeat("v", 4<<20) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			rs := goodRowSet()
			change(&rs)
			_, err := protocol.DecodeRowSet(protocol.EncodeRowSet(rs))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// FuzzDecodeRowSet checks that a set that decodes is the same when encoded and decoded again.
func FuzzDecodeRowSet(f *testing.F) {
	f.Add(protocol.EncodeRowSet(goodRowSet()))
	f.Add([]byte("{}"))
	var unended bytes.Buffer
	fw, err := flate.NewWriter(&unended, flate.BestSpeed)
	NewWithT(f).Expect(err).NotTo(HaveOccurred())
	_, _ = fw.Write([]byte{2, 'o', 'p', 9, 0xff, 0xff, 0xff, 0x7f})
	_ = fw.Close()
	f.Add(unended.Bytes())
	f.Fuzz(func(t *testing.T, body []byte) {
		rs, err := protocol.DecodeRowSet(body)
		if err != nil {
			return
		}
		again, err := protocol.DecodeRowSet(protocol.EncodeRowSet(rs))
		if err != nil || len(again.Rows) != len(rs.Rows) || again.Version != rs.Version {
			t.Fatalf("%#v decoded again as %#v: %v", rs, again, err)
		}
	})
}
