package assignment_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chervilwalk/internal/base/ident"
	"chervilwalk/internal/base/keyspace"
	"chervilwalk/internal/catalog/assignment"
	"chervilwalk/internal/catalog/roster"
)

// table returns a table with one share that moves and one that doesn't.
func table() *assignment.Table {
	return &assignment.Table{
		Revision: 4, LastEpoch: 30,
		Members: []assignment.Member{{Host: "a", Domain: "d", Address: "10.0.0.1:1", Incarnation: 9, Alive: true}},
		Shares: []assignment.Share{
			{Service: "lookup", Range: keyspace.Range{From: 0, To: 999}, Owner: assignment.Claim{Upstream: "u", Incarnation: 3, Epoch: 7}},
			{Service: "lookup", Range: keyspace.Range{From: 1000, To: keyspace.Last}, Owner: assignment.Claim{Upstream: "u", Incarnation: 4, Epoch: 8}, Next: assignment.Claim{Upstream: "v", Incarnation: 1, Epoch: 12}, Fence: 9},
		},
	}
}

func TestDecodeReversesEncode(t *testing.T) {
	gm := NewWithT(t)
	body, err := assignment.Encode(table())
	gm.Expect(err).NotTo(HaveOccurred())
	decoded, err := assignment.Decode(body)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(decoded).To(Equal(table()))
}

func TestDecodeRejectsMalformedTables(t *testing.T) {
	cases := map[string]string{
		"not json":               "{",
		"empty":                  "",
		"too few fields":         `{"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,0,1]]}`,
		"reversed range":         `{"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,5,1,0,1]]}`,
		"key out of range":       `{"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,5,70000,0,1]]}`,
		"unknown upstream":       `{"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,0,1,1,1]]}`,
		"unknown service":        `{"services":[],"upstreams":["u"],"lives":[1],"shares":[[0,0,1,0,1]]}`,
		"highest revision":       `{"revision":18446744073709551615,"nextEpoch":1}`,
		"highest epoch":          `{"revision":1,"nextEpoch":18446744073709551615}`,
		"last epoch of an era":   `{"revision":1,"nextEpoch":4294967295}`,
		"epoch above the last":   `{"nextEpoch":3,"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,0,1,0,4]]}`,
		"fence above the last":   `{"nextEpoch":3,"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,0,1,0,1,0,2,4]]}`,
		"overlap":                `{"nextEpoch":3,"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,0,5,0,1],[0,5,9,0,2]]}`,
		"share twice":            `{"nextEpoch":3,"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,0,5,0,1],[0,0,5,0,2]]}`,
		"shares out of order":    `{"nextEpoch":3,"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[0,6,9,0,1],[0,0,5,0,2]]}`,
		"services out of order":  `{"nextEpoch":3,"services":["t","s"],"upstreams":["u"],"lives":[1],"shares":[[0,6,9,0,1],[1,0,5,0,2]]}`,
		"member without a host":  `{"members":[{"fitness":1}]}`,
		"negative fitness":       `{"members":[{"host":"a","fitness":-1}]}`,
		"fitness that overflows": `{"members":[{"host":"a","fitness":4611686018427387904}]}`,
		"negative index":         `{"nextEpoch":3,"services":["s"],"upstreams":["u"],"lives":[1],"shares":[[-1,0,1,0,1]]}`,
		"deep list":              strings.Repeat("[", 60_000),
		"null and more":          `null {}`,
		"missing incarnation":    `{"services":["s"],"upstreams":["u"],"lives":[],"shares":[]}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := assignment.Decode(compress(t, body))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// compress returns the text of a stored table in the form that Decode reads.
func compress(t *testing.T, text string) []byte {
	var compressed bytes.Buffer
	fw, err := flate.NewWriter(&compressed, flate.BestSpeed)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = fw.Write([]byte(text))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(fw.Close()).To(Succeed())
	return compressed.Bytes()
}

func TestDecodeRejectsUncompressedTables(t *testing.T) {
	_, err := assignment.Decode([]byte(`{"services":[],"upstreams":[],"lives":[],"shares":[]}`))
	NewWithT(t).Expect(err).To(HaveOccurred())
}

// TestLargeTablesFitIntoOneRow encodes the tables of the largest deployments and
// of 300 hosts. If a table didn't fit, it couldn't be stored and no key
// could move any more.
func TestLargeTablesFitIntoOneRow(t *testing.T) {
	cases := map[string]struct{ hosts, upstreams, shares int }{
		"large site":    {142, 496, assignment.MaxShares},
		"300 hosts":     {300, 700, assignment.MaxShares},
		"largest table": {420, 1000, assignment.MaxShares},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			rng := rand.New(rand.NewSource(1))
			tb := &assignment.Table{Revision: 9000, LastEpoch: 90000}
			for ix := range tc.hosts {
				tb.Members = append(tb.Members, assignment.Member{
					Host: ident.Host(fmt.Sprintf("front-manizales-c-%d", ix)), Domain: "manizales-c", Address: fmt.Sprintf("10.%d.0.%d:7540", ix%4, ix%250),
					Incarnation: 1776684635927399 + uint64(rng.Intn(1<<30)), Fitness: 1, Alive: true,
				})
			}
			claim := func() assignment.Claim {
				number := rng.Intn(tc.upstreams)
				return assignment.Claim{Upstream: ident.Upstream(fmt.Sprintf("i-%010x", uint64(number)*0x9e3779b97f)), Incarnation: roster.Incarnation(1776684635927 + number*1009), Epoch: keyspace.Epoch(rng.Intn(90000))}
			}
			for ix := range tc.shares {
				from, to := ix*keyspace.Count/tc.shares, (ix+1)*keyspace.Count/tc.shares-1
				sh := assignment.Share{Service: "lookup", Range: keyspace.Range{From: keyspace.Key(from), To: keyspace.Key(to)}, Owner: claim()}
				if ix%3 == 0 {
					sh.Next, sh.Fence = claim(), keyspace.Epoch(rng.Intn(90000))
				}
				tb.Shares = append(tb.Shares, sh)
			}
			body, err := assignment.Encode(tb)
			gm.Expect(err).NotTo(HaveOccurred())
			t.Logf("encoded size: %d bytes", len(body))
			decoded, err := assignment.Decode(body)
			gm.Expect(err).NotTo(HaveOccurred())
			gm.Expect(decoded).To(Equal(tb))
		})
	}
}

// TestSplitKeepsAllKeys checks that every key stays in exactly one share when
// shares are split.
func TestSplitKeepsAllKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := &assignment.Table{Shares: []assignment.Share{{Service: "s", Range: keyspace.Range{To: keyspace.Last}}}}
		for range rapid.IntRange(1, 20).Draw(rt, "splits") {
			from := keyspace.Key(rapid.IntRange(0, int(keyspace.Last)).Draw(rt, "from"))
			ix := tb.Index("s", from)
			to := keyspace.Key(rapid.IntRange(int(from), int(tb.Shares[ix].To)).Draw(rt, "to"))
			at := tb.Split(ix, keyspace.Range{From: from, To: to})
			tb.Shares[at].Owner = assignment.Claim{Upstream: ident.Upstream("u"), Incarnation: roster.Incarnation(from)}
		}
		next := 0
		for _, sh := range tb.Shares {
			if int(sh.From) != next || sh.To < sh.From {
				rt.Fatalf("share from %d to %d, want one that starts at %d", sh.From, sh.To, next)
			}
			next = int(sh.To) + 1
		}
		if next != keyspace.Count {
			rt.Fatalf("shares end before key %d", next)
		}
	})
}

// FuzzDecode guards against rows that end a host, leave no room for later epochs, or give
// keys two owners.
func FuzzDecode(f *testing.F) {
	body, err := assignment.Encode(table())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		tb, err := assignment.Decode(body)
		if err != nil {
			return
		}
		last := tb.LastEpoch
		if tb.TakeEpoch() < last || tb.Revision+1 < tb.Revision {
			t.Fatalf("no epoch follows %d, or no revision %d", last, tb.Revision)
		}
		for ix, sh := range tb.Shares {
			if sh.From > sh.To || max(sh.Owner.Epoch, sh.Next.Epoch, sh.Fence) > last {
				t.Fatalf("Decode accepted share %+v with %d as the last epoch", sh, last)
			}
			if ix != tb.Index(sh.Service, sh.From) {
				t.Fatalf("share %d cannot be found by its first key", ix)
			}
		}
	})
}

// TestJoin guards against keys that get another owner, or an epoch that their owner refuses,
// because shares were joined.
func TestJoin(t *testing.T) {
	share := func(sv ident.Service, from, to keyspace.Key, up ident.Upstream, incarnation roster.Incarnation, epoch keyspace.Epoch) assignment.Share {
		return assignment.Share{Service: sv, Range: keyspace.Range{From: from, To: to}, Owner: assignment.Claim{Upstream: up, Incarnation: incarnation, Epoch: epoch}}
	}
	moving := share("a", 10, 19, "u", 1, 6)
	moving.Next = assignment.Claim{Upstream: "v", Incarnation: 1, Epoch: 8}
	for name, tc := range map[string]struct{ shares, want []assignment.Share }{
		"three neighbours":      {[]assignment.Share{share("a", 0, 9, "u", 1, 5), share("a", 10, 19, "u", 1, 6), share("a", 20, 29, "u", 1, 4)}, []assignment.Share{share("a", 0, 29, "u", 1, 21)}},
		"two pairs":             {[]assignment.Share{share("a", 0, 9, "u", 1, 5), share("a", 10, 19, "u", 1, 6), share("a", 20, 29, "v", 1, 4), share("a", 30, 39, "v", 1, 7)}, []assignment.Share{share("a", 0, 19, "u", 1, 21), share("a", 20, 39, "v", 1, 22)}},
		"one is moving":         {[]assignment.Share{share("a", 0, 9, "u", 1, 5), moving, share("a", 20, 29, "u", 1, 4)}, nil},
		"keys between them":     {[]assignment.Share{share("a", 0, 9, "u", 1, 5), share("a", 11, 19, "u", 1, 6)}, nil},
		"another incarnation":   {[]assignment.Share{share("a", 0, 9, "u", 1, 5), share("a", 10, 19, "u", 2, 6)}, nil},
		"another service":       {[]assignment.Share{share("b", 0, 9, "u", 1, 5), share("b", 10, 19, "u", 1, 6)}, nil},
		"the last and the next": {[]assignment.Share{share("a", 0, keyspace.Last, "u", 1, 5), share("b", 0, 9, "u", 1, 6)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			tb := &assignment.Table{LastEpoch: 20, Shares: slices.Clone(tc.shares)}
			want := tc.want
			if want == nil {
				want = tc.shares
			}
			gm.Expect(tb.Join("a")).To(Equal(len(tc.shares) - len(want)))
			gm.Expect(tb.Shares).To(Equal(want))
		})
	}
}
