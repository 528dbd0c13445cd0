package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"chervilwalk/examples"
	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/node"
	"chervilwalk/internal/operations/acceptance"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/dump"
	"chervilwalk/internal/operations/keyfile"
	"chervilwalk/internal/platform/client"
	standplatform "chervilwalk/internal/stand/platform"
)

// lone is a node with an operators' address.
type lone struct {
	node     *node.Node
	admin    string
	platform string
	bundle   *bundle.Bundle
	key      keyfile.Key
	host     ident.Host
	domain   ident.Domain
	inner    string
}

// startLone starts a node of the first example host; the platform has no
// bundle unless one is accepted for the node's settings.
func startLone(t *testing.T, accepted func(bn *bundle.Bundle, inner string)) lone {
	t.Helper()
	gm := NewWithT(t)
	listen := func() net.Listener {
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		gm.Expect(err).NotTo(HaveOccurred())
		return ls
	}
	server := &http.Server{Handler: standplatform.New().Handler(), ReadHeaderTimeout: time.Second}
	platform := listen()
	go func() { _ = server.Serve(platform) }()
	t.Cleanup(func() { _ = server.Close() })
	bn, err := bundle.Parse("mushi", examples.Mushi)
	gm.Expect(err).NotTo(HaveOccurred())
	admin, inner := listen(), listen()
	ky, err := keyfile.Generate("alice")
	gm.Expect(err).NotTo(HaveOccurred())
	host, domain := bn.Hosts[0].Name, bn.Hosts[0].Domain
	if accepted != nil {
		accepted(bn, inner.Addr().String())
		bn.TrustedKeys = []bundle.TrustedKey{ky.Trusted()}
		accept(gm, platform.Addr().String(), bn, ky)
	}
	nd, err := node.Start(node.Config{
		Host: host, Domain: domain, Platform: platform.Addr().String(), TrustedKeys: []bundle.TrustedKey{ky.Trusted()},
		Callers: listen(), Inner: inner, Admin: admin,
	})
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = nd.Close(ctx)
	})
	return lone{
		node: nd, admin: admin.Addr().String(), platform: platform.Addr().String(), bundle: bn, key: ky,
		host: host, domain: domain, inner: inner.Addr().String(),
	}
}

func accept(gm *WithT, platform string, bn *bundle.Bundle, ky keyfile.Key) {
	body, err := bundle.Format(bn)
	gm.Expect(err).NotTo(HaveOccurred())
	cl := client.New(platform)
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = acceptance.Shelf{Table: cl, Objects: cl}.Accept(ctx, bundle.Sign(bn, body, ky.Name, ky.Private))
	gm.Expect(err).NotTo(HaveOccurred())
}

func get(gm *WithT, url string) (int, string) {
	cl := &http.Client{Timeout: 5 * time.Second}
	rs, err := cl.Get(url)
	gm.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	gm.Expect(err).NotTo(HaveOccurred())
	return rs.StatusCode, string(body)
}

// A node that has no bundle yet answers its operators all the same. Scraping
// once ran the dump, which scraped again, without end.
func TestOperatorsAddressAnswersWhileStarting(t *testing.T) {
	gm := NewWithT(t)
	ln := startLone(t, nil)
	status, body := get(gm, "http://"+ln.admin+node.HealthPath)
	gm.Expect(status).To(Equal(http.StatusServiceUnavailable))
	gm.Expect(body).To(HavePrefix("starting"))
	_, body = get(gm, "http://"+ln.admin+node.MetricsPath)
	gm.Expect(body).To(ContainSubstring("chervilwalk_bundle_version 0"))
	_, body = get(gm, "http://"+ln.admin+node.DumpPath)
	sn, err := dump.Decode([]byte(body))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(sn.State).To(Equal("starting"))
	_, body = get(gm, "http://"+ln.admin+node.DumpPath+"?format=text")
	gm.Expect(body).To(ContainSubstring("bundle: none in force yet"))
}

// A node whose settings contradict the bundle says what to set and takes part
// in nothing.
func TestContradictingSettingsAreNamedAndKeepTheNodeOut(t *testing.T) {
	for name, tc := range map[string]struct {
		alter func(bn *bundle.Bundle, inner string)
		want  string
	}{
		"agrees":        {func(bn *bundle.Bundle, inner string) { bn.Hosts[0].Inner = inner }, ""},
		"other address": {func(*bundle.Bundle, string) {}, "misconfigured: bundle 1 has host \"arusha-a-entry-1\" at inner address"},
		"other domain":  {func(bn *bundle.Bundle, inner string) { bn.Hosts[0].Inner, bn.Hosts[0].Domain = inner, "arusha-b" }, "set --domain arusha-b"},
		"not in there":  {func(bn *bundle.Bundle, _ string) { bn.Hosts[0].Name = "another" }, "is not in bundle 1: set --host"},
	} {
		t.Run(name, func(t *testing.T) {
			gm := NewWithT(t)
			ln := startLone(t, tc.alter)
			gm.Eventually(func() bool { return ln.node.Bundle() != nil }, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
			if tc.want == "" {
				gm.Eventually(func() string { return string(ln.node.Snapshot().Term.Leader) }, 5*time.Second, 10*time.Millisecond).ShouldNot(BeEmpty())
				return
			}
			gm.Eventually(func() string { _, state := ln.node.Health(); return state }, 5*time.Second, 10*time.Millisecond).Should(ContainSubstring(tc.want))
			status, _ := get(gm, "http://"+ln.admin+node.HealthPath)
			gm.Expect(status).To(Equal(http.StatusServiceUnavailable))
			gm.Expect(ln.node.Snapshot().Term.Number).To(BeZero())
			gm.Expect(ln.node.Snapshot().Pools).To(BeEmpty())

			ln.bundle.Version = 2
			ln.bundle.Hosts[0] = bundle.Host{Name: ln.host, Domain: ln.domain, Inner: ln.inner}
			accept(gm, ln.platform, ln.bundle, ln.key)
			gm.Eventually(func() ident.Host { return ln.node.Snapshot().Term.Leader }, 5*time.Second, often).ShouldNot(BeEmpty(), "once the bundle is mended, the node takes part")
		})
	}
}
