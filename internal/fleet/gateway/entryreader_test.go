package gateway

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/stand/metastore"
	"chervilwalk/platform"
)

// TestEntryReader changes the upstream entries in ways that a reader may meet between
// two reads. It must end with the same entries as one that reads all of them, and read
// all of them itself only if the store cannot tell what has changed.
func TestEntryReader(t *testing.T) {
	entry := func(ix int, state string) []byte {
		return fmt.Appendf(nil, `{"service":"lookup","address":"127.0.0.1:%[2]d","zone":"a","state":%[3]q,"slots":4,"cold-left-s":0,"sequence":%[1]d,"born":%[4]d}`, ix, 9000+ix, state, ix)
	}
	const count = 600
	for name, tc := range map[string]struct {
		change func(db *metastore.Store)
		whole  bool
	}{
		"nothing": {change: func(*metastore.Store) {}},
		"an upstream drains": {change: func(db *metastore.Store) {
			db.Put(platform.UpstreamTable, "i-7", entry(7, "draining"))
		}},
		"upstreams come and go": {change: func(db *metastore.Store) {
			db.Drop(platform.UpstreamTable, "i-3")
			db.Put(platform.UpstreamTable, "i-900", entry(900, "ready"))
			db.Drop(platform.UpstreamTable, "i-900")
			db.Put(platform.UpstreamTable, "i-901", entry(901, "ready"))
		}},
		"an entry is malformed": {change: func(db *metastore.Store) {
			db.Put(platform.UpstreamTable, "i-5", []byte("{"))
		}},
		"other rows change": {change: func(db *metastore.Store) { db.Put("chervilwalk", "leader", []byte("{}")) }},
		"the store forgets its history": {change: func(db *metastore.Store) {
			db.Put(platform.UpstreamTable, "i-7", entry(7, "draining"))
			db.Compact()
		}, whole: true},
		"the store returns from a copy": {change: func(db *metastore.Store) {
			time.Sleep(20 * time.Millisecond)
			db.Put(platform.UpstreamTable, "i-8", entry(8, "draining"))
			db.Return(10 * time.Millisecond)
			db.Put(platform.UpstreamTable, "i-9", entry(9, "draining"))
		}, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			db := metastore.New()
			for ix := range count {
				db.Put(platform.UpstreamTable, fmt.Sprintf("i-%d", ix), entry(ix, "ready"))
			}
			server := httptest.NewServer(db)
			defer server.Close()
			calls := map[string]int{}
			newReader := func() *entryReader {
				return &entryReader{store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(call string, _ time.Duration, _ error) { calls[call]++ })}
			}
			er := newReader()
			gm.Expect(er.read()).To(Succeed())
			gm.Expect(er.entries).To(HaveLen(count))
			tc.change(db)
			clear(calls)
			gm.Expect(er.read()).To(Succeed())
			gm.Expect(calls["read"] > 0).To(Equal(tc.whole), "%v", calls)
			other := newReader()
			gm.Expect(other.read()).To(Succeed())
			gm.Expect(er.entries).To(Equal(other.entries))
			gm.Expect(er.malformed).To(HaveLen(len(other.malformed)))
			gm.Expect(er.version).To(Equal(other.version))
		})
	}
}
