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
	"chervilwalk/internal/fleet/node"
	"chervilwalk/internal/operations/bundle"
	"chervilwalk/internal/operations/dump"
	standplatform "chervilwalk/internal/stand/platform"
)

// lone is a node with an operators' address and a platform that has no bundle.
type lone struct {
	node  *node.Node
	admin string
}

func startLone(t *testing.T) lone {
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
	admin := listen()
	nd, err := node.Start(node.Config{
		Host: bn.Hosts[0].Name, Domain: bn.Hosts[0].Domain, Platform: platform.Addr().String(),
		Callers: listen(), Inner: listen(), Admin: admin,
	})
	gm.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = nd.Close(ctx)
	})
	return lone{node: nd, admin: admin.Addr().String()}
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
	ln := startLone(t)
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
