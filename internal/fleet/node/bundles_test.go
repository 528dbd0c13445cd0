package node_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/internal/fleet/node"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/platform/client"
	"chervilwalk/internal/platform/table"
)

const (
	// soon bounds the wait for what the users' 4 s cover.
	soon  = 4 * time.Second
	often = 10 * time.Millisecond
)

// agreeing accepts a bundle that the node's settings agree with.
func agreeing(bn *bundle.Bundle, inner string) { bn.Hosts[0].Inner = inner }

// rowVersion reads which bundle the platform's row shows.
func rowVersion(ctx context.Context, cl *client.Client) (bundle.Version, table.Row) {
	res := cl.Read(ctx, bundle.RowKey)
	if res.Outcome != table.Done || res.Rows[0].Version == 0 {
		return 0, table.Row{}
	}
	pt, err := bundle.DecodePointer(res.Rows[0].Value)
	if err != nil {
		return 0, res.Rows[0]
	}
	return pt.Version, res.Rows[0]
}

// A platform that comes back with an older row is not followed, and gets the
// newer one back, after which the next bundle is accepted as usual.
func TestAnOlderRowOfThePlatformIsRestored(t *testing.T) {
	gm := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ln := startLone(t, agreeing)
	cl := client.New(ln.platform)
	defer cl.Close()
	inForce := func() bundle.Version {
		if bn := ln.node.Bundle(); bn != nil {
			return bn.Version
		}
		return 0
	}
	gm.Eventually(inForce, soon, often).Should(BeEquivalentTo(1))
	_, first := rowVersion(ctx, cl)
	ln.bundle.Version = 2
	accept(gm, ln.platform, ln.bundle, ln.key)
	gm.Eventually(inForce, soon, often).Should(BeEquivalentTo(2))

	_, row := rowVersion(ctx, cl)
	res := cl.Transact(ctx, table.Write{Key: bundle.RowKey, Base: row.Version, Value: first.Value})
	gm.Expect(res.Outcome).To(Equal(table.Done))
	gm.Eventually(func() bundle.Version { vs, _ := rowVersion(ctx, cl); return vs }, soon, often).Should(BeEquivalentTo(2))
	gm.Expect(inForce()).To(BeEquivalentTo(2))
	_, body := get(gm, "http://"+ln.admin+node.MetricsPath)
	gm.Expect(body).To(ContainSubstring(`chervilwalk_bundle_refusals_total{reason="older"} 1`))

	ln.bundle.Version = 3
	accept(gm, ln.platform, ln.bundle, ln.key)
	gm.Eventually(inForce, soon, often).Should(BeEquivalentTo(3))
}

// A bundle that a stranger put on the platform is refused, counted, and not
// passed on.
func TestAForgedRowIsRefused(t *testing.T) {
	gm := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ln := startLone(t, agreeing)
	cl := client.New(ln.platform)
	defer cl.Close()
	gm.Eventually(func() bool { return ln.node.Bundle() != nil }, soon, often).Should(BeTrue())
	ln.bundle.Version = 2
	body, err := bundle.Format(ln.bundle)
	gm.Expect(err).NotTo(HaveOccurred())
	forged := bundle.Sign(ln.bundle, body, ln.key.Name, ln.key.Private)
	forged.Signature[0] ^= 1
	value, err := bundle.EncodePointer(bundle.PointerOf(forged))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(cl.Put(ctx, bundle.PointerOf(forged).Digest, body)).To(Succeed())
	_, row := rowVersion(ctx, cl)
	gm.Expect(cl.Transact(ctx, table.Write{Key: bundle.RowKey, Base: row.Version, Value: value}).Outcome).To(Equal(table.Done))
	gm.Eventually(func() string {
		_, text := get(gm, "http://"+ln.admin+node.MetricsPath)
		return text
	}, soon, often).Should(ContainSubstring(`chervilwalk_bundle_refusals_total{reason="untrusted"}`))
	gm.Expect(ln.node.Bundle().Version).To(BeEquivalentTo(1))
}
