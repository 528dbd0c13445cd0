package protocol_test

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/catalog/roster"
	"chervilwalk/internal/peer/protocol"
)

// goodEntry returns an entry within all bounds.
func goodEntry(id ident.Upstream) roster.Entry {
	return roster.Entry{ID: id, Service: "lookup", Address: "10.0.0.9:80", Domain: "d", Slots: 2, ColdLeft: time.Second, Sequence: 7, Incarnation: 99}
}

// TestMalformedEntriesOfOthers guards against entries that another host passes on although
// the store's readers refuse them, and against losing the other entries of a message.
func TestMalformedEntriesOfOthers(t *testing.T) {
	cases := map[string]func(en *roster.Entry){
		"no id":                     func(en *roster.Entry) { en.ID = "" },
		"id of 50,000 letters":      func(en *roster.Entry) { en.ID = ident.Upstream(strings.Repeat("i", 50_000)) },
		"service of 50,000 letters": func(en *roster.Entry) { en.Service = ident.Service(strings.Repeat("s", 50_000)) },
		"domain is not text":        func(en *roster.Entry) { en.Domain = "\xff" },
		"no address":                func(en *roster.Entry) { en.Address = "" },
		"no slots":                  func(en *roster.Entry) { en.Slots = 0 },
		"2^62 slots":                func(en *roster.Entry) { en.Slots = 1 << 62 },
		"negative slots":            func(en *roster.Entry) { en.Slots = -1 },
		"cold for 290 years":        func(en *roster.Entry) { en.ColdLeft = math.MaxInt64 },
		"sequence near 2^64":        func(en *roster.Entry) { en.Sequence = math.MaxUint64 },
		"negative start":            func(en *roster.Entry) { en.Incarnation = -1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			bad := goodEntry("b")
			change(&bad)
			entries := []roster.Entry{goodEntry("a"), bad, goodEntry("c")}
			msg, err := protocol.Decode(protocol.Encode(protocol.Roster{Parts: 1, Entries: entries}))
			gm.Expect(err).NotTo(HaveOccurred())
			whole := msg.(protocol.Roster)
			gm.Expect(whole.Entries).To(Equal([]roster.Entry{goodEntry("a"), goodEntry("c")}))
			gm.Expect(whole.Malformed).To(HaveLen(1))
			gm.Expect(len(whole.Malformed[0].Error())).To(BeNumerically("<", 1000), "a log line")

			packed, malformed, err := protocol.UnpackEntries(string(protocol.PackEntries(entries)))
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(packed).To(Equal(whole.Entries))
			gm.Expect(malformed).To(HaveLen(1))

			msg, err = protocol.Decode(protocol.Encode(protocol.RosterDelta{Delta: roster.Delta{Base: 1, Gone: []ident.Upstream{"w"}, Entries: entries}}))
			gm.Expect(err).NotTo(HaveOccurred())
			delta := msg.(protocol.RosterDelta)
			gm.Expect(delta.Entries).To(Equal([]roster.Entry{goodEntry("a"), goodEntry("c")}))
			gm.Expect(delta.Gone).To(Equal([]ident.Upstream{"w", bad.ID}), "its earlier entry holds no longer")
			gm.Expect(delta.Malformed).To(HaveLen(1))
		})
	}
}

// TestColdTimeOfOthers guards against a number of microseconds that passes for another one
// once it has overflowed.
func TestColdTimeOfOthers(t *testing.T) {
	gm := NewWithT(t)
	en := goodEntry("b")
	const micros = 1_000_000
	datagram := protocol.Encode(protocol.Roster{Parts: 1, Entries: []roster.Entry{en}})
	// 2^61 us and a second are a second once they are multiplied by 1,000.
	short, long := "\xc0\x84\x3d", "\xc0\x84\xbd\x80\x80\x80\x80\x80\x20"
	gm.Expect(en.ColdLeft).To(Equal(micros * time.Microsecond))
	gm.Expect(strings.Count(string(datagram), short)).To(Equal(1))
	msg, err := protocol.Decode([]byte(strings.Replace(string(datagram), short, long, 1)))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(msg.(protocol.Roster).Entries).To(BeEmpty())
	gm.Expect(msg.(protocol.Roster).Malformed).To(HaveLen(1))
}
