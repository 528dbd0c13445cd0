package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/rotisserie/eris"

	"chervilwalk/internal/fleet/ident"
	"chervilwalk/internal/fleet/node"
	"chervilwalk/internal/operations/setting"
)

// stopTimeout bounds the wait for requests in flight at a planned stop.
const stopTimeout = 65 * time.Second

// errStoppedAtOnce says that a second signal cut the planned stop short.
var errStoppedAtOnce = eris.New("stopped at once by a second signal")

// nodeCommand runs one node until SIGTERM or SIGINT.
type nodeCommand struct {
	Host     string   `long:"host" env:"CHERVILWALK_HOST" required:"true" description:"Name of this host in the bundle"`
	Domain   string   `long:"domain" env:"CHERVILWALK_DOMAIN" required:"true" description:"Failure domain of this host"`
	Callers  string   `long:"callers" env:"CHERVILWALK_CALLERS" required:"true" description:"IP and port for callers"`
	Inner    string   `long:"inner" env:"CHERVILWALK_INNER" required:"true" description:"IP and port of the inner protocol"`
	Admin    string   `long:"admin" env:"CHERVILWALK_ADMIN" default:"127.0.0.1:7200" description:"IP and port for operators: dump, metrics and health"`
	Platform string   `long:"platform" env:"CHERVILWALK_PLATFORM" required:"true" description:"IP and port of the platform"`
	Keys     []string `long:"trusted-key" env:"CHERVILWALK_TRUSTED_KEYS" env-delim:"," description:"NAME=BASE64 of a public key trusted before the first bundle"`
	Peers    []string `long:"peer" env:"CHERVILWALK_PEERS" env-delim:"," description:"Inner IP and port of another node to ask for a bundle at the start"`
	Steps    bool     `long:"log-requests" env:"CHERVILWALK_LOG_REQUESTS" description:"Log each step of each request"`
}

// Execute implements flags.Commander.
func (nc *nodeCommand) Execute([]string) error {
	log.SetHandler(logfmt.New(os.Stderr))
	cf, err := nc.config()
	if err != nil {
		return err
	}
	nd, err := node.Start(cf)
	if err != nil {
		return err
	}
	log.WithField("callers", nc.Callers).Info("node started")
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	log.Info("node stopping: handing over and finishing what is in flight")
	return stopNode(nd, signals)
}

// stopNode stops as planned; a second signal ends the process at once.
func stopNode(nd *node.Node, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- nd.Close(ctx) }()
	select {
	case err := <-closed:
		log.Info("node stopped")
		return err
	case <-signals:
		log.Warn("second signal: exiting at once, requests in flight are cut")
		return errStoppedAtOnce
	}
}

// settings are the node's settings as they were written.
func (nc *nodeCommand) settings() setting.Node {
	return setting.Node{
		Host: ident.Host(nc.Host), Domain: ident.Domain(nc.Domain), Callers: nc.Callers, Inner: nc.Inner,
		Admin: nc.Admin, Platform: nc.Platform, Keys: nc.Keys, Peers: nc.Peers,
	}
}

func (nc *nodeCommand) config() (node.Config, error) {
	st := nc.settings()
	if problems := st.Check(); len(problems) > 0 {
		return node.Config{}, eris.New("settings:\n  " + strings.Join(problems, "\n  "))
	}
	keys, err := setting.ParseKeys(nc.Keys)
	if err != nil {
		return node.Config{}, err
	}
	cf := node.Config{
		Host: st.Host, Domain: st.Domain, Platform: nc.Platform, Peers: nc.Peers, TrustedKeys: keys, LogRequests: nc.Steps,
	}
	for _, ls := range []struct {
		flag, address string
		listener      *net.Listener
	}{{"--callers", nc.Callers, &cf.Callers}, {"--inner", nc.Inner, &cf.Inner}, {"--admin", nc.Admin, &cf.Admin}} {
		if *ls.listener, err = net.Listen("tcp", ls.address); err != nil {
			return cf, eris.Wrapf(err, "%s %s", ls.flag, ls.address)
		}
	}
	return cf, nil
}
