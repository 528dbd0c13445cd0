package roster_test

import (
	"testing"
	"time"

	"chervilwalk/internal/base/clock"
	"chervilwalk/internal/base/rate"
	"chervilwalk/internal/catalog/roster"

	. "github.com/onsi/gomega"
)

func entry(sequence uint64, incarnation roster.Incarnation) roster.Entry {
	return roster.Entry{ID: "i-1", Service: "lookup", Address: "10.0.0.1:80", Slots: 2, Sequence: sequence, Incarnation: incarnation}
}

func TestUpdate(t *testing.T) {
	draining := entry(5, 1)
	draining.Draining = true
	cases := map[string]struct {
		reads [][]roster.Entry
		// change is the kind of the last read's change, or empty; leaving is the state
		// after it.
		change  string
		leaving bool
	}{
		"joins":                           {[][]roster.Entry{{entry(1, 1)}}, "joined", false},
		"renews its entry":                {[][]roster.Entry{{entry(1, 1)}, {entry(2, 1)}}, "", false},
		"drains":                          {[][]roster.Entry{{entry(1, 1)}, {draining}}, "draining", true},
		"older entry arrives late":        {[][]roster.Entry{{draining}, {entry(4, 1)}}, "", true},
		"entry is missing":                {[][]roster.Entry{{entry(1, 1)}, {}}, "gone", true},
		"comes back":                      {[][]roster.Entry{{entry(1, 1)}, {}, {entry(2, 1)}}, "joined", false},
		"copy of the store has it again":  {[][]roster.Entry{{entry(1, 1)}, {}, {entry(1, 1)}}, "", true},
		"restarts":                        {[][]roster.Entry{{draining}, {entry(1, 2)}}, "restarted", false},
		"entry of an earlier incarnation": {[][]roster.Entry{{entry(1, 2)}, {entry(9, 1)}}, "", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rs, now := roster.New(), clock.Instant(time.Hour)
			var changes []roster.Change
			for _, read := range tc.reads {
				now = now.Add(800 * time.Millisecond)
				changes = rs.Update(now, read)
			}
			if tc.change == "" {
				gm.Expect(changes).To(BeEmpty())
			} else {
				gm.Expect(changes).To(HaveLen(1))
				gm.Expect(changes[0].Kind).To(Equal(tc.change))
			}
			up, known := rs.Get("i-1")
			gm.Expect(known).To(BeTrue())
			gm.Expect(up.Leaving()).To(Equal(tc.leaving))
		})
	}
}

// TestStoreRecovered checks that upstreams whose entries vanished during an outage
// of the store count as gone only two seconds after it, and that they are removed
// later.
func TestStoreRecovered(t *testing.T) {
	gm := NewWithT(t)
	rs, now := roster.New(), clock.Instant(time.Hour)
	rs.Update(now, []roster.Entry{entry(1, 1)})
	now = now.Add(5 * time.Second)
	rs.StoreRecovered(now)
	gm.Expect(rs.Update(now, nil)).To(BeEmpty())
	now = now.Add(1900 * time.Millisecond)
	gm.Expect(rs.Update(now, nil)).To(BeEmpty())
	now = now.Add(200 * time.Millisecond)
	gm.Expect(rs.Update(now, nil)).To(HaveLen(1))
	now = now.Add(10 * time.Second)
	rs.Update(now, nil)
	gm.Expect(rs.Len()).To(BeZero())
}

func TestDigestIgnoresSequence(t *testing.T) {
	gm := NewWithT(t)
	first, second := entry(1, 1), entry(7, 1)
	gm.Expect(roster.Digest([]roster.Entry{first})).To(Equal(roster.Digest([]roster.Entry{second})))
	second.Draining = true
	gm.Expect(roster.Digest([]roster.Entry{first})).NotTo(Equal(roster.Digest([]roster.Entry{second})))
	gm.Expect(roster.Digest(nil)).NotTo(Equal(roster.Digest([]roster.Entry{first})))
}

// TestAnnounce checks that an upstream that has said in an answer that it leaves stays
// so, whatever its entry says, until it restarts.
func TestAnnounce(t *testing.T) {
	gm := NewWithT(t)
	rs, now := roster.New(), clock.Instant(time.Hour)
	rs.Update(now, []roster.Entry{entry(1, 1)})
	ch, changed := rs.Announce(now, "i-1")
	gm.Expect(changed).To(BeTrue())
	gm.Expect(ch.Kind).To(Equal("announcedLeaving"))
	_, changed = rs.Announce(now, "i-1")
	gm.Expect(changed).To(BeFalse())
	entries := []roster.Entry{entry(2, 1)}
	rs.MarkLeaving(entries)
	gm.Expect(entries[0].Draining).To(BeTrue(), "for other hosts")
	rs.Update(now, []roster.Entry{entry(2, 1)})
	up, _ := rs.Get("i-1")
	gm.Expect(up.LeavingAt).To(Equal(now))
	entries = []roster.Entry{entry(1, 2)}
	rs.MarkLeaving(entries)
	gm.Expect(entries[0].Draining).To(BeFalse())
	rs.Update(now, entries)
	up, _ = rs.Get("i-1")
	gm.Expect(up.Leaving()).To(BeFalse())
}

// TestComesBack guards against upstreams that stay out of use after their entry was missing
// for a while.
func TestComesBack(t *testing.T) {
	cases := map[string]struct {
		back    roster.Entry
		leaving bool
	}{
		"with a newer entry":            {entry(4, 1), false},
		"in an older copy of the store": {entry(1, 1), true},
		"with a restart":                {entry(1, 2), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rs, now := roster.New(), clock.Instant(time.Hour)
			rs.Update(now, []roster.Entry{entry(1, 1)})
			rs.Update(now.Add(time.Second), nil)
			// The leader marks the entries that it passes on; members get them marked.
			for range 2 {
				now = now.Add(2 * time.Second)
				entries := []roster.Entry{tc.back}
				rs.MarkLeaving(entries)
				rs.Update(now, entries)
				gm.Expect(entries[0].Draining).To(Equal(tc.leaving))
			}
			up, _ := rs.Get("i-1")
			gm.Expect(up.Leaving()).To(Equal(tc.leaving))
		})
	}
}

// TestMissingEntryKeepsStatements guards against forgetting what an upstream said of itself
// while its entry is missing.
func TestMissingEntryKeepsStatements(t *testing.T) {
	limit := rate.At(3.5)
	cases := map[string]struct {
		back    roster.Entry
		leaving bool
		limit   rate.Limit
	}{
		"the same process": {entry(4, 1), true, limit},
		"another process":  {entry(1, 2), false, rate.Limit{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rs, now := roster.New(), clock.Instant(time.Hour)
			rs.Update(now, []roster.Entry{entry(1, 1)})
			gm.Expect(rs.NameLimit("i-1", 1, now, limit)).To(BeTrue())
			rs.Announce(now, "i-1")
			rs.Update(now.Add(time.Second), nil)
			rs.Update(now.Add(3*time.Second), []roster.Entry{tc.back})
			up, _ := rs.Get("i-1")
			gm.Expect(up.Leaving()).To(Equal(tc.leaving))
			gm.Expect(up.Limit).To(Equal(tc.limit))
		})
	}
}

// TestNameLimit guards against an older statement that replaces a newer one.
func TestNameLimit(t *testing.T) {
	const start = clock.Instant(time.Hour)
	type statement struct {
		at          time.Duration
		incarnation roster.Incarnation
		limit       rate.Limit
	}
	cases := map[string]struct {
		said []statement
		want rate.Limit
	}{
		"newer one":                  {[]statement{{1, 1, rate.At(4)}, {2, 1, rate.At(2)}}, rate.At(2)},
		"older one":                  {[]statement{{2, 1, rate.At(4)}, {1, 1, rate.At(2)}}, rate.At(4)},
		"lifted":                     {[]statement{{1, 1, rate.At(4)}, {2, 1, rate.Limit{}}}, rate.Limit{}},
		"lifted before it was named": {[]statement{{2, 1, rate.At(4)}, {1, 1, rate.Limit{}}}, rate.At(4)},
		"zero":                       {[]statement{{1, 1, rate.At(0)}}, rate.At(0.5)},
		"of another incarnation":     {[]statement{{1, 2, rate.At(4)}}, rate.Limit{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rs := roster.New()
			rs.Update(start, []roster.Entry{entry(1, 1)})
			for _, st := range tc.said {
				rs.NameLimit("i-1", st.incarnation, start.Add(st.at), st.limit)
			}
			up, _ := rs.Get("i-1")
			NewWithT(t).Expect(up.Limit).To(Equal(tc.want))
		})
	}
}

// TestUnannounced guards against planned stops that pass for crashes, and crashes for planned stops.
func TestUnannounced(t *testing.T) {
	first := roster.Entry{ID: "u", Service: "lookup", Slots: 2, Sequence: 1, Incarnation: 1}
	cases := map[string]struct {
		before func(en *roster.Entry)
		last   []roster.Entry
		want   bool
	}{
		"its entry is gone":             {nil, nil, true},
		"it is back as another process": {nil, []roster.Entry{{ID: "u", Service: "lookup", Slots: 2, Sequence: 1, Incarnation: 2}}, true},
		"it drained before":             {func(en *roster.Entry) { en.Draining, en.Sequence = true, 2 }, nil, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			now := clock.Instant(time.Second)
			rs := roster.New()
			rs.Update(now, []roster.Entry{first})
			if tc.before != nil {
				next := first
				tc.before(&next)
				rs.Update(now.Add(time.Second), []roster.Entry{next})
			}
			changes := rs.Update(now.Add(3*time.Second), tc.last)
			gm.Expect(changes).To(HaveLen(1))
			gm.Expect(changes[0].Unannounced).To(Equal(tc.want))
		})
	}
}

// TestEntryOfAnotherWriter guards against an entry that another writer has left under an
// upstream's id, beyond what the upstream itself writes for years: its own entries were
// ignored for as long as it ran.
func TestEntryOfAnotherWriter(t *testing.T) {
	const address = "10.0.0.66:80"
	other := func(sequence uint64, incarnation roster.Incarnation) roster.Entry {
		en := entry(sequence, incarnation)
		en.Address = address
		return en
	}
	leaving := other(roster.MaxSequence, 5)
	leaving.Draining = true
	cases := map[string]struct {
		other roster.Entry
		// gone leaves the id without an entry for a read; alternates writes the other
		// entry again at every second beat.
		gone, alternates bool
	}{
		"later start":                  {other: other(1, roster.MaxIncarnation)},
		"higher sequence":              {other: other(roster.MaxSequence, 5)},
		"higher sequence, leaving":     {other: leaving},
		"later start, then gone":       {other: other(1, roster.MaxIncarnation), gone: true},
		"higher sequence, then gone":   {other: other(roster.MaxSequence, 5), gone: true},
		"later start, alternates":      {other: other(1, roster.MaxIncarnation), alternates: true},
		"higher sequence, alternates":  {other: other(roster.MaxSequence, 5), alternates: true},
		"leaving, written once at all": {other: leaving, gone: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rs, now := roster.New(), clock.Instant(time.Hour)
			read := func(entries ...roster.Entry) {
				now = now.Add(time.Second)
				rs.MarkLeaving(entries)
				rs.Update(now, entries)
			}
			read(entry(1, 5))
			read(tc.other)
			if tc.gone {
				read()
			}
			for beat := range uint64(20) {
				if tc.alternates && beat%2 == 1 {
					read(tc.other)
					continue
				}
				read(entry(2+beat, 5))
			}
			up, known := rs.Get("i-1")
			gm.Expect(known).To(BeTrue())
			gm.Expect(up.Address).To(Equal("10.0.0.1:80"))
			gm.Expect(up.Incarnation).To(BeEquivalentTo(5))
			gm.Expect(up.Leaving()).To(BeFalse())
		})
	}
}

// TestOlderEntryOfACopy guards against an entry from a copy of the store that brings back
// an upstream which has left or an incarnation which has ended: while the store returns,
// for as long as such an entry lasts, and once a newer one has come.
func TestOlderEntryOfACopy(t *testing.T) {
	draining := entry(9, 5)
	draining.Draining = true
	for name, last := range map[string]roster.Entry{"draining": draining, "restarted": entry(1, 6)} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rs, now := roster.New(), clock.Instant(time.Hour)
			rs.Update(now, []roster.Entry{last})
			for range 3 {
				for range 8 {
					now = now.Add(time.Second)
					gm.Expect(rs.Update(now, []roster.Entry{entry(8, 5)})).To(BeEmpty())
				}
				last.Sequence++
				rs.Update(now, []roster.Entry{last})
			}
			up, _ := rs.Get("i-1")
			gm.Expect(up.Incarnation).To(Equal(last.Incarnation))
			gm.Expect(up.Leaving()).To(Equal(last.Draining))
			now = now.Add(time.Second)
			rs.Update(now, []roster.Entry{entry(8, 5)})
			now = now.Add(9 * time.Second)
			rs.StoreRecovered(now)
			now = now.Add(time.Second)
			for range 2 {
				gm.Expect(rs.Update(now, []roster.Entry{entry(8, 5)})).To(BeEmpty(), "the store has just returned")
			}
		})
	}
}
